package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// platform holds the listening socket, as one that upgrades does.
type platform struct {
	t         *testing.T
	socket    *os.File
	addr, dir string
	discovery string
	asks      atomic.Int64
}

func newPlatform(t *testing.T, discovery string) *platform {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	ln.Close() // the file is another descriptor of the socket
	t.Cleanup(func() { socket.Close() })
	return &platform{t: t, socket: socket, addr: socket.Name(), dir: t.TempDir(), discovery: discovery}
}

// start starts a process that gets the socket as its first descriptor beyond the usual three.
func (p *platform) start(vars ...string) (n *node, admin string) {
	p.t.Helper()
	admin = free(p.t)
	n = &node{t: p.t}
	n.cmd = exec.Command(binary, "serve", "--config", example)
	n.cmd.Env = append(os.Environ(), append([]string{"NODE_LISTEN=127.0.0.1:1", "NODE_DISCOVERY=" + p.discovery,
		"NODE_ADMIN=" + admin, "NODE_PASSED_SOCKET=3", "TMPDIR=" + p.dir}, vars...)...)
	n.cmd.ExtraFiles = []*os.File{p.socket}
	n.cmd.Stderr = &n.log
	if err := n.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		n.cmd.Process.Kill()
		n.cmd.Wait()
		if p.t.Failed() {
			p.t.Logf("its log:\n%s", n.log.String())
		}
	})
	return n, admin
}

func (p *platform) serves(n *node, admin string) {
	p.t.Helper()
	n.until("serving", func() bool {
		conn, err := net.Dial("tcp", admin)
		if err != nil {
			return false
		}
		defer conn.Close()
		io.WriteString(conn, "HEALTH\n")
		b, _ := io.ReadAll(conn)
		return strings.HasPrefix(string(b), "+OK")
	})
}

// TestUpgradeUnderLoad replaces the process twice while callers ask on connections that they keep: no
// request may be lost, refused or reset, and each old process must end by itself.
func TestUpgradeUnderLoad(t *testing.T) {
	p := newPlatform(t, discovery(t, album(t, echo)))
	addr := listening(t, p.socket)
	n, admin := p.start()
	p.serves(n, admin)
	nodes := []*node{n}
	var asked, served atomic.Int64
	var unserved refusals
	var ends atomic.Bool
	var callers sync.WaitGroup
	stop := sync.OnceFunc(func() { ends.Store(true); callers.Wait() })
	defer stop()
	for c := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; !ends.Load(); i++ {
				req, _ := http.NewRequest("POST", "http://"+addr+"/api", strings.NewReader("abc"))
				req.Header.Set("Request-Id", fmt.Sprintf("%d-%d", c, i))
				req.Header.Set("Request-Class", "album-edit")
				req.Header.Set("Request-Timeout-Ms", "20000")
				asked.Add(1)
				if res, err := client.Do(req); err != nil {
					t.Errorf("request %d-%d: %v", c, i, err)
				} else {
					body, _ := io.ReadAll(res.Body)
					res.Body.Close()
					if res.StatusCode == 200 {
						served.Add(1)
					} else {
						unserved.add(req.Header.Get("Request-Id"), res, body)
					}
				}
			}
		}()
	}
	for range 2 {
		n.until("more requests", func(from int64) func() bool {
			return func() bool { return served.Load() > from+50 }
		}(served.Load()))
		next, admin := p.start()
		nodes = append(nodes, next)
		p.serves(next, admin)
		if !strings.Contains(next.log.String(), "took over") {
			t.Error("nothing was taken over")
		}
		n.cmd.Process.Signal(syscall.SIGTERM)
		if err := n.cmd.Wait(); err != nil {
			t.Errorf("the old process ended with %v", err)
		}
		n = next
	}
	stop()
	if asked.Load() != served.Load() {
		t.Errorf("%d of %d requests served", served.Load(), asked.Load())
	}
	unserved.report(t, nodes)
}

// refusal is an answer other than 200, as its client got it.
type refusal struct{ id, answer string }

// refusals collects such answers from several clients.
type refusals struct {
	mu   sync.Mutex
	list []refusal
}

// add notes the answer to a request.
func (r *refusals) add(id string, res *http.Response, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, refusal{id, fmt.Sprintf("%d, Retry-After %q, closing %t, body %.200q, at %s",
		res.StatusCode, res.Header.Get("Retry-After"), res.Close, body, time.Now().Format("15:04:05.000000"))})
}

// report fails the test for each answer, with what the processes logged of its request.
func (r *refusals) report(t *testing.T, nodes []*node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.list {
		t.Errorf("request %s: %s", one.id, one.answer)
		for i, n := range nodes {
			for _, line := range strings.Split(n.log.String(), "\n") {
				if strings.Contains(line, fmt.Sprintf("%q", one.id)) {
					t.Logf("process %d, pid %d: %s", i, n.cmd.Process.Pid, line)
				}
			}
		}
	}
}

// listening is the address of a listening socket.
func listening(t *testing.T, f *os.File) string {
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestPassedSocketFaults covers what NODE_PASSED_SOCKET may wrongly hold: each is a fault at the start that
// names it.
func TestPassedSocketFaults(t *testing.T) {
	p := newPlatform(t, "127.0.0.1:1")
	for _, wrong := range []string{"77", "x", "-1", "2"} { // absent, no number, impossible, no socket
		n, _ := p.start("NODE_PASSED_SOCKET=" + wrong)
		if err := n.cmd.Wait(); err == nil || !strings.Contains(n.log.String(), "NODE_PASSED_SOCKET") ||
			strings.Count(n.log.String(), "\n") != 1 {
			t.Errorf("%s: %v, %q", wrong, err, n.log.String())
		}
	}
	conn, err := net.Dial("tcp", listening(t, p.socket)) // a socket that doesn't listen
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if p.socket, err = conn.(*net.TCPConn).File(); err != nil {
		t.Fatal(err)
	}
	n, _ := p.start()
	if err := n.cmd.Wait(); err == nil || !strings.Contains(n.log.String(), "NODE_PASSED_SOCKET") {
		t.Errorf("a connection: %v, %q", err, n.log.String())
	}
}

// TestSpoiltHandover covers files that can't be taken over: the process starts from its configuration and
// says so.
func TestSpoiltHandover(t *testing.T) {
	p := newPlatform(t, discovery(t, album(t, echo)))
	spoilt := bytes.Repeat([]byte("x"), 2<<20)
	if err := os.WriteFile(filepath.Join(p.dir, "lilacglade.handover"), spoilt, 0o600); err != nil {
		t.Fatal(err)
	}
	n, admin := p.start()
	p.serves(n, admin)
	if !strings.Contains(n.log.String(), "cold start: ") {
		t.Error("the log doesn't say so")
	}
}

// ask asks for something on a connection of its own and returns the status.
func (p *platform) ask(addr string) int {
	res, err := http.DefaultClient.Do(func() *http.Request {
		req, _ := http.NewRequest("POST", "http://"+addr+"/api", strings.NewReader("abc"))
		req.Header.Set("Request-Id", fmt.Sprint("ask", p.asks.Add(1)))
		req.Header.Set("Request-Class", "album-edit")
		req.Header.Set("Request-Timeout-Ms", "20000")
		req.Close = true
		return req
	}())
	if err != nil {
		p.t.Error(err)
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// TestUpgradesThatFail covers new processes that die while they start and that are stopped before they
// can serve: the old one serves on, and so it does through a new configuration in between.
func TestUpgradesThatFail(t *testing.T) {
	p := newPlatform(t, discovery(t, album(t, echo)))
	addr := listening(t, p.socket)
	n, admin := p.start()
	p.serves(n, admin)
	dies, _ := p.start("NODE_ADMIN=nowhere")
	if err := dies.cmd.Wait(); err == nil || !strings.Contains(dies.log.String(), "NODE_ADMIN") {
		t.Errorf("ended with %v, %q", err, dies.log.String())
	}
	if got := p.ask(addr); got != 200 {
		t.Errorf("after one that died: got %d", got)
	}
	p.dir = t.TempDir() // so that nothing is taken over and it waits for discovery, which is not there
	stopped, _ := p.start("NODE_DISCOVERY=127.0.0.1:1")
	stopped.until("started", func() bool { return strings.Contains(stopped.log.String(), "serves on") })
	n.cmd.Process.Signal(syscall.SIGHUP)
	stopped.cmd.Process.Signal(syscall.SIGTERM)
	if err := stopped.cmd.Wait(); err != nil {
		t.Errorf("stopped before it could serve, it ended with %v", err)
	}
	if got := p.ask(addr); got != 200 {
		t.Errorf("after one that was stopped: got %d", got)
	}
}

// TestUploadAtStop covers a large request of which a part had come when the process was to end: it is
// served.
func TestUploadAtStop(t *testing.T) {
	begun := make(chan struct{})
	n := start(t, discovery(t, album(t, func(w http.ResponseWriter, r *http.Request) {
		io.ReadFull(r.Body, make([]byte, 100000))
		close(begun)
		weigh(w, r)
	})))
	conn, r := n.say(edit + "Content-Length: " + fmt.Sprint(len(large)) + "\r\n\r\n" + string(large[:300000]))
	<-begun
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.until("stopping", func() bool { return n.ready() == 503 })
	conn.Write(large[300000:])
	res, body := n.hear(r)
	if res.StatusCode != 200 || !res.Close || !strings.HasPrefix(body, fmt.Sprint(len(large)-100000)) {
		t.Errorf("got %d %.80q, closing %t", res.StatusCode, body, res.Close)
	}
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
