package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// run is one run of a case: its record, its processes and its verdict.
type run struct {
	trouble bool
	root    string // of the repository
	tmp     string
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	broken  []string
	proxies []*proxy
}

// say writes a line to the record.
func (r *run) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.say("BROKEN: %s", line)
	r.mu.Lock()
	r.broken = append(r.broken, line)
	r.mu.Unlock()
}

// unable ends a run that can't say anything.
type unable string

func (r *run) cannot(format string, args ...any) { panic(unable(fmt.Sprintf(format, args...))) }

// end ends all processes that the run started.
func (r *run) end() {
	for _, p := range r.proxies {
		p.kill()
	}
}

// freeAddr returns a loopback address that nobody listens on.
func (r *run) freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("no free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// server is a stand-in for an album server. Serve answers a request whose last byte has come; it may wait.
type server struct {
	id, zone, addr string
	started        float64
	serve          func(req *http.Request, body int64) string

	open atomic.Int64 // requests that have begun to arrive and are not answered

	mu   sync.Mutex
	cond *sync.Cond
	cut  bool // nothing is read, accepted or sent
}

// setCut cuts the server off, or ends that.
func (s *server) setCut(cut bool) {
	s.mu.Lock()
	s.cut = cut
	s.cond.Broadcast()
	s.mu.Unlock()
}

func (s *server) pass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.cut {
		s.cond.Wait()
	}
}

type cutListener struct {
	net.Listener
	s *server
}

func (l cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.s.pass()
	if err != nil {
		return nil, err
	}
	return cutConn{c, l.s}, nil
}

type cutConn struct {
	net.Conn
	s *server
}

func (c cutConn) Read(b []byte) (int, error) {
	c.s.pass()
	return c.Conn.Read(b)
}

func (c cutConn) Write(b []byte) (int, error) {
	c.s.pass()
	return c.Conn.Write(b)
}

// newServer starts an album server.
func (r *run) newServer(id, zone string, serve func(req *http.Request, body int64) string) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("listen: %v", err)
	}
	s := &server{id: id, zone: zone, addr: ln.Addr().String(), serve: serve}
	s.cond = sync.NewCond(&s.mu)
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
		n, err := io.Copy(io.Discard, q.Body)
		if err != nil {
			r.say("%s: request %s broke off after %d bytes", s.id, q.Header.Get("Request-Id"), n)
			return
		}
		if q.URL.Path != "/api" || q.Header.Get("Request-Id") == "" {
			http.NotFound(w, q)
			return
		}
		answer := s.serve(q, n)
		w.Header().Set("Server-Load", "inflight=1,latency_ms=20")
		if _, err := io.WriteString(w, answer); err != nil {
			r.say("%s: the answer to %s could not be written: %v", s.id, q.Header.Get("Request-Id"), err)
		}
	})
	go http.Serve(cutListener{ln, s}, handler)
	return s
}

// discovery is a stand-in for discovery with a list that changes at will.
type discovery struct {
	addr    string
	mu      sync.Mutex
	gen     int
	servers []*server
	changed chan struct{}
}

func (d *discovery) entries() string {
	out := ""
	for i, s := range d.servers {
		if i > 0 {
			out += ","
		}
		out += fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":"std-2","cell":0,`+
			`"lifecycle":"ready","weight":1.0,"startedAtMs":%.0f}`, s.id, s.addr, s.zone, s.started)
	}
	return out
}

func (r *run) newDiscovery(servers ...*server) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("listen: %v", err)
	}
	d := &discovery{addr: ln.Addr().String(), gen: 1, servers: servers, changed: make(chan struct{})}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		since := q.URL.Query().Get("since")
		if since == "" {
			fmt.Fprintf(w, `{"generation":%d,"reset":true,"instances":[%s]}`, d.gen, d.entries())
			return
		}
		wait, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
		if since == strconv.Itoa(d.gen) {
			changed := d.changed
			d.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-q.Context().Done():
			}
			d.mu.Lock()
		}
		if since == strconv.Itoa(d.gen) {
			fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`, d.gen)
			return
		}
		fmt.Fprintf(w, `{"generation":%d,"reset":true,"instances":[%s]}`, d.gen, d.entries())
	}))
	return d
}

// proxy is one process of the program under review.
type proxy struct {
	r                         *run
	name, listen, admin, home string
	discovery                 string
	settings                  map[string]any
	peers                     string // file of its peers; empty: none
	limits                    map[string]any
	cmd                       *exec.Cmd
	ended                     chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// newProxy prepares a proxy with settings like those of lakeshore-photos.
func (r *run) newProxy(name string, me, of int, d *discovery) *proxy {
	p := &proxy{r: r, name: name, listen: r.freeAddr(), admin: r.freeAddr(), discovery: d.addr,
		home:   filepath.Join(r.tmp, name),
		limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
	p.settings = map[string]any{"azs": []string{"harbor-st", "bluff-rd"}, "models": []string{"std-2", "slow-2"},
		"balancers": of, "me": me, "zone": 0, "stage": 0, "tiers": []string{"album-web"},
		"bounds": map[string]any{"cancel": true, "connect-timeout": 200.0, "keepalive": 60000.0,
			"max-retry-after": 1000.0, "most-tries": 5, "retry-after": true, "second-copies": false},
		"classes": []any{
			map[string]any{"name": "album-edit", "aim": 400.0, "deadline": 800.0, "late-worth": 0.2,
				"semantics": "unsafe", "worth": 5.0},
			map[string]any{"name": "photo-upload", "aim": 400.0, "deadline": 2000.0, "group": "zone",
				"late-worth": 0.2, "memory-span": 1200.0, "semantics": "keyed", "worth": 15.0}},
		"counted-by": "request", "membership-mode": "on_request", "over-share-worth": 0.1,
		"prices":    map[string]any{"cross-zone": 0.025},
		"reporting": map[string]any{"how": "piggyback", "names": []string{"rif", "lat_ms"}},
		"rules": map[string]any{"answer-slack": 20.0, "ask-every": 10000.0, "cold-from": 0.3,
			"overload-for": 1000.0, "stop-sending-within": 250.0, "tip-multiple": 2.5, "warm-within": 500.0},
		"tenants": []any{map[string]any{"name": "port-alder", "allowance-per-s": 500.0}}}
	return p
}

// start starts the process with the command of the deploy file.
func (p *proxy) start() {
	raw, err := os.ReadFile(filepath.Join(p.r.root, "deploy", "balancer.toml"))
	if err != nil {
		p.r.cannot("%v", err)
	}
	line := runLine.FindSubmatch(raw)
	if line == nil {
		p.r.cannot("no run in the deploy file")
	}
	if err := os.MkdirAll(p.home, 0o700); err != nil {
		p.r.cannot("%v", err)
	}
	config, _ := json.Marshal(map[string]any{"name": p.name, "listen": p.listen, "discovery": p.discovery,
		"admin": p.admin, "seed": "8c1f30d27a5be964",
		"limits":   p.limits,
		"known":    map[string]any{"generation": 0, "reset": true, "instances": []any{}},
		"settings": p.settings})
	file := filepath.Join(p.home, "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		p.r.cannot("%v", err)
	}
	log, err := os.Create(filepath.Join(p.home, "log"))
	if err != nil {
		p.r.cannot("%v", err)
	}
	p.cmd = exec.Command("/bin/sh", "-c", string(line[1]))
	p.cmd.Dir = p.r.root
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+file, "NODE_NAME="+p.name, "NODE_LISTEN="+p.listen,
		"NODE_DISCOVERY="+p.discovery, "NODE_ADMIN="+p.admin, "NODE_PEERS="+p.peers, "NODE_PASSED_SOCKET=",
		"TMPDIR="+p.home)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.r.cannot("%v", err)
	}
	p.r.proxies = append(p.r.proxies, p)
	p.ended = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	p.r.say("%s started, listens on %s", p.name, p.listen)
}

// running reports whether the process still runs.
func (p *proxy) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *proxy) kill() {
	if p.cmd != nil && p.running() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if raw, err := os.ReadFile(filepath.Join(p.home, "log")); err == nil {
		p.r.mu.Lock()
		fmt.Fprintf(p.r.record, "--- log of %s\n%s---\n", p.name, raw)
		p.r.mu.Unlock()
	}
}

// ready asks for /healthz.
func (p *proxy) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + p.listen + "/healthz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

// await waits until a condition holds, and ends the run if it doesn't in time.
func (r *run) await(what string, within time.Duration, holds func() bool) {
	for end := time.Now().Add(within); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.cannot("not within %v: %s", within, what)
		}
	}
	r.say("%s", what)
}

// head returns the head of a request; length < 0 means chunked.
func head(id, class, key string, timeoutMS, length int) string {
	framing := fmt.Sprintf("Content-Length: %d\r\n", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	idempotency := ""
	if class == "photo-upload" {
		idempotency = "Idempotency-Key: k-" + id + "\r\n"
	}
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Tenant: port-alder\r\nAffinity-Key: %s\r\nRequest-Timeout-Ms: %d\r\n%s%s\r\n",
		id, class, key, timeoutMS, idempotency, framing)
}

// answer is what came back for a request.
type answer struct {
	status int
	body   string
	closes bool
	err    error
	at     time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %q", a.status, a.body)
}

// readAnswer reads one whole answer.
func readAnswer(in *bufio.Reader) answer {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, string(body), res.Close, err, time.Now()}
}

// ask sends one request with a small body on a new connection and returns its answer.
func ask(addr, id, class, key string, timeoutMS int) answer {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Duration(timeoutMS)*time.Millisecond + time.Second))
	if _, err := io.WriteString(conn, head(id, class, key, timeoutMS, 3)+"abc"); err != nil {
		return answer{err: err, at: time.Now()}
	}
	return readAnswer(bufio.NewReader(conn))
}

// signal sends a signal to the process.
func (p *proxy) signal(s syscall.Signal) {
	p.r.say("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}
