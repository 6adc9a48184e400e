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

// platform holds the listening socket across upgrades, as a process manager does.
type platform struct {
	t            *testing.T
	socket       *os.File
	addr, dir    string
	discovery    string
	requestCount atomic.Int64
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
	ln.Close() // socket is a duplicate descriptor and stays open
	t.Cleanup(func() { socket.Close() })
	return &platform{t: t, socket: socket, addr: socket.Name(), dir: t.TempDir(), discovery: discovery}
}

// start starts a proxy that inherits the socket as descriptor 3.
func (p *platform) start(vars ...string) (n *proxyProcess, admin string) {
	p.t.Helper()
	admin = unusedAddr(p.t)
	n = &proxyProcess{t: p.t}
	n.cmd = exec.Command(binary, "serve", "--config", exampleConfig)
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

// waitHealthy waits until the admin address reports that the proxy is healthy.
func (p *platform) waitHealthy(n *proxyProcess, admin string) {
	p.t.Helper()
	n.waitFor("serving", func() bool {
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

// TestUpgradeUnderLoad replaces the process twice while clients send requests on persistent connections:
// no request may be lost, rejected or reset, and each old process must exit by itself.
func TestUpgradeUnderLoad(t *testing.T) {
	p := newPlatform(t, startDiscovery(t, startServer(t, echo)))
	addr := listenAddr(t, p.socket)
	n, admin := p.start()
	p.waitHealthy(n, admin)
	nodes := []*proxyProcess{n}
	var sent, served atomic.Int64
	var failures failedResponses
	var stopping atomic.Bool
	var callers sync.WaitGroup
	stop := sync.OnceFunc(func() { stopping.Store(true); callers.Wait() })
	defer stop()
	for c := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; !stopping.Load(); i++ {
				req, _ := http.NewRequest("POST", "http://"+addr+"/api", strings.NewReader("abc"))
				req.Header.Set("Request-Id", fmt.Sprintf("%d-%d", c, i))
				req.Header.Set("Request-Class", "album-edit")
				req.Header.Set("Request-Timeout-Ms", "20000")
				sent.Add(1)
				if res, err := client.Do(req); err != nil {
					t.Errorf("request %d-%d: %v", c, i, err)
				} else {
					body, _ := io.ReadAll(res.Body)
					res.Body.Close()
					if res.StatusCode == 200 {
						served.Add(1)
					} else {
						failures.add(req.Header.Get("Request-Id"), res, body)
					}
				}
			}
		}()
	}
	for range 2 {
		n.waitFor("more requests", func(from int64) func() bool {
			return func() bool { return served.Load() > from+50 }
		}(served.Load()))
		next, admin := p.start()
		nodes = append(nodes, next)
		p.waitHealthy(next, admin)
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
	if sent.Load() != served.Load() {
		t.Errorf("%d of %d requests served", served.Load(), sent.Load())
	}
	failures.report(t, nodes)
}

// failedResponse is an answer other than 200, as its client received it.
type failedResponse struct{ id, answer string }

// failedResponses collects failed responses from several clients.
type failedResponses struct {
	mu   sync.Mutex
	list []failedResponse
}

// add records the answer to a request.
func (r *failedResponses) add(id string, res *http.Response, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, failedResponse{id, fmt.Sprintf("%d, Retry-After %q, closing %t, body %.200q, at %s",
		res.StatusCode, res.Header.Get("Retry-After"), res.Close, body, time.Now().Format("15:04:05.000000"))})
}

// report fails the test for each answer and logs the lines of the processes about its request.
func (r *failedResponses) report(t *testing.T, nodes []*proxyProcess) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, failure := range r.list {
		t.Errorf("request %s: %s", failure.id, failure.answer)
		for i, n := range nodes {
			for _, line := range strings.Split(n.log.String(), "\n") {
				if strings.Contains(line, fmt.Sprintf("%q", failure.id)) {
					t.Logf("process %d, pid %d: %s", i, n.cmd.Process.Pid, line)
				}
			}
		}
	}
}

// listenAddr returns the address of a listening socket.
func listenAddr(t *testing.T, f *os.File) string {
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestPassedSocketFaults covers invalid values of NODE_PASSED_SOCKET: each is a startup error that names
// the variable.
func TestPassedSocketFaults(t *testing.T) {
	p := newPlatform(t, "127.0.0.1:1")
	for _, wrong := range []string{"77", "x", "-1", "2"} { // not open, not a number, negative, not a socket
		n, _ := p.start("NODE_PASSED_SOCKET=" + wrong)
		if err := n.cmd.Wait(); err == nil || !strings.Contains(n.log.String(), "NODE_PASSED_SOCKET") ||
			strings.Count(n.log.String(), "\n") != 1 {
			t.Errorf("%s: %v, %q", wrong, err, n.log.String())
		}
	}
	conn, err := net.Dial("tcp", listenAddr(t, p.socket)) // a socket that doesn't listen
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

// TestMalformedHandover covers a handover file that cannot be read: the process starts from its
// configuration and logs that.
func TestMalformedHandover(t *testing.T) {
	p := newPlatform(t, startDiscovery(t, startServer(t, echo)))
	malformed := bytes.Repeat([]byte("x"), 2<<20)
	if err := os.WriteFile(filepath.Join(p.dir, "lilacglade.handover"), malformed, 0o600); err != nil {
		t.Fatal(err)
	}
	n, admin := p.start()
	p.waitHealthy(n, admin)
	if !strings.Contains(n.log.String(), "cold start: ") {
		t.Error("the log has no cold start line")
	}
}

// request sends a request on a new connection and returns the status.
func (p *platform) request(addr string) int {
	res, err := http.DefaultClient.Do(func() *http.Request {
		req, _ := http.NewRequest("POST", "http://"+addr+"/api", strings.NewReader("abc"))
		req.Header.Set("Request-Id", fmt.Sprint("ask", p.requestCount.Add(1)))
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

// TestFailedUpgrades covers new processes that exit during startup or are stopped before they can serve:
// the old process keeps serving, also after a reload in between.
func TestFailedUpgrades(t *testing.T) {
	p := newPlatform(t, startDiscovery(t, startServer(t, echo)))
	addr := listenAddr(t, p.socket)
	n, admin := p.start()
	p.waitHealthy(n, admin)
	failing, _ := p.start("NODE_ADMIN=nowhere")
	if err := failing.cmd.Wait(); err == nil || !strings.Contains(failing.log.String(), "NODE_ADMIN") {
		t.Errorf("ended with %v, %q", err, failing.log.String())
	}
	if got := p.request(addr); got != 200 {
		t.Errorf("after one that died: got %d", got)
	}
	p.dir = t.TempDir() // no handover, so it waits for discovery, which is unreachable
	stopped, _ := p.start("NODE_DISCOVERY=127.0.0.1:1")
	stopped.waitFor("started", func() bool { return strings.Contains(stopped.log.String(), "serves on") })
	n.cmd.Process.Signal(syscall.SIGHUP)
	stopped.cmd.Process.Signal(syscall.SIGTERM)
	if err := stopped.cmd.Wait(); err != nil {
		t.Errorf("stopped before it could serve, it ended with %v", err)
	}
	if got := p.request(addr); got != 200 {
		t.Errorf("after one that was stopped: got %d", got)
	}
}

// TestUploadDuringShutdown covers a large request that is partly received at SIGTERM: it is completed.
func TestUploadDuringShutdown(t *testing.T) {
	bodyStarted := make(chan struct{})
	n := startProxy(t, startDiscovery(t, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.ReadFull(r.Body, make([]byte, 100000))
		close(bodyStarted)
		reportBody(w, r)
	})))
	conn, r := n.send(requestHeader + "Content-Length: " + fmt.Sprint(len(largeBody)) + "\r\n\r\n" +
		string(largeBody[:300000]))
	<-bodyStarted
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitFor("stopping", func() bool { return n.healthStatus() == 503 })
	conn.Write(largeBody[300000:])
	res, body := n.readResponse(r)
	if res.StatusCode != 200 || !res.Close || !strings.HasPrefix(body, fmt.Sprint(len(largeBody)-100000)) {
		t.Errorf("got %d %.80q, closing %t", res.StatusCode, body, res.Close)
	}
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
