package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"lilacglade/internal/settings"
)

// running is a proxy in this process, between callers, album servers and discovery that a test scripts byte
// by byte. Each of them acts only when it has seen the step before.
type running struct {
	t      *testing.T
	addr   string
	disc   *party
	stop   context.CancelFunc // as SIGTERM
	loads  chan Load          // as SIGHUP
	ended  chan error
	node   settings.Node
	closed bool
}

// party is a listening socket whose connections a test takes one at a time.
type party struct {
	t     *testing.T
	addr  string
	conns chan *peer
}

// peer is a side of a connection that a test scripts.
type peer struct {
	*net.TCPConn
	t *testing.T
	r *bufio.Reader
}

func newPeer(t *testing.T, c net.Conn) *peer {
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(far))
	return &peer{TCPConn: c.(*net.TCPConn), t: t, r: bufio.NewReader(c)}
}

func newParty(t *testing.T) *party {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &party{t: t, addr: ln.Addr().String(), conns: make(chan *peer, 64)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.conns <- newPeer(t, c)
		}
	}()
	return p
}

// next is the next connection that came.
func (p *party) next() *peer {
	p.t.Helper()
	select {
	case c := <-p.conns:
		return c
	case <-time.After(far):
		p.t.Fatal("no connection came")
		return nil
	}
}

// send writes raw bytes.
func (p *peer) send(raw string) {
	p.t.Helper()
	if _, err := io.WriteString(p, raw); err != nil {
		p.t.Fatal(err)
	}
}

// request reads one request with its body.
func (p *peer) request() *http.Request {
	p.t.Helper()
	req, err := http.ReadRequest(p.r)
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		p.t.Fatal(err)
	}
	return req
}

// whole reads one request and returns its id, empty where it does not come whole.
func (p *peer) whole() string {
	req, err := http.ReadRequest(p.r)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	return req.Header.Get("Request-Id")
}

// answer reads one answer; the error is that of its body.
func (p *peer) answer() (status int, body string, _ error) {
	p.t.Helper()
	res, err := http.ReadResponse(p.r, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// reset ends the connection with a reset.
func (p *peer) reset() {
	_ = p.SetLinger(0)
	_ = p.Close()
}

// known is a whole list of album servers that are ready.
func known(generation int, servers ...*party) string {
	var all []string
	for i, s := range servers {
		all = append(all, line(fmt.Sprint("s-", i), s.addr, "ready"))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(all, ","))
}

func line(id, addr, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"harbor-st","machineType":"std-2","cell":0,`+
		`"lifecycle":%q,"weight":1,"startedAtMs":0}`, id, addr, state)
}

func answerOf(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serve starts a proxy that knows the given list from its start; what it asks discovery is left to the test.
func serve(t *testing.T, list string, change ...func(*settings.Node)) *running {
	t.Helper()
	r := &running{t: t, addr: freeAddr(t), disc: newParty(t), loads: make(chan Load, 1),
		ended: make(chan error, 1)}
	raw, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	r.node, err = settings.ParseNode(raw, func(key string) string {
		return map[string]string{"NODE_LISTEN": r.addr, "NODE_DISCOVERY": r.disc.addr}[key]
	})
	if err != nil {
		t.Fatal(err)
	}
	r.node.Known = []byte(list)
	for _, c := range change {
		c(&r.node)
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.ended <- Serve(ctx, r.node, r.loads, nil) }()
	t.Cleanup(func() {
		if stop(); !r.closed {
			r.end()
		}
	})
	return r
}

// freeAddr is an address on which nobody listens, of a host of its own: no other process's connections are
// given its port meanwhile.
func freeAddr(t *testing.T) string {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(200), rand.IntN(200), 1+rand.IntN(200))
	free, err := net.Listen("tcp", host)
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// resting is a caller whose connection rests after an answer, and the server's side that gave it.
func (r *running) resting(server *party) (caller, s *peer) {
	r.t.Helper()
	caller = r.caller()
	caller.send(edit("resting"))
	s = server.next()
	s.request()
	s.send(answerOf("one"))
	caller.answer()
	return caller, s
}

// figure asks at the operators' door until one of the lines is among the figures.
func (r *running) figure(door string, wants ...string) {
	r.t.Helper()
	for end := time.Now().Add(far); ; {
		if c, err := net.Dial("tcp", door); err == nil {
			p := newPeer(r.t, c)
			p.send("DUMP\n")
			all, _ := io.ReadAll(p)
			p.Close()
			for _, want := range wants {
				if strings.Contains(string(all), "\n"+want+"\n") {
					return
				}
			}
		}
		if time.Now().After(end) {
			r.t.Fatalf("never told: %s", wants)
		}
	}
}

// end waits for the program's end.
func (r *running) end() {
	r.t.Helper()
	r.closed = true
	select {
	case err := <-r.ended:
		if err != nil {
			r.t.Error(err)
		}
	case <-time.After(far):
		r.t.Error("the proxy did not end")
	}
}

// caller opens a caller's connection once the proxy listens.
func (r *running) caller() *peer {
	r.t.Helper()
	for end := time.Now().Add(far); ; {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			return newPeer(r.t, c)
		}
		if time.Now().After(end) {
			r.t.Fatal(err)
		}
	}
}

// edit is a request that is unsafe to repeat.
func edit(id string) string {
	return "POST /api HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: album-edit\r\n" +
		"Tenant: port-alder\r\nRequest-Timeout-Ms: 20000\r\nContent-Length: 3\r\n\r\nabc"
}
