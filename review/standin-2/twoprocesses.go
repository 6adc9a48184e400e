package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case two-processes.
const (
	editWork     = 200 * time.Millisecond // an album-edit has 800 ms
	upgradeTries = 5
)

// twoProcesses has a bad client send the id of another client's open request, while a new version takes over
// from the old process.
func twoProcesses(r *run) int {
	var mu sync.Mutex
	begun := map[string]int{}
	var list []instance
	for i := range 3 {
		s := &server{run: r, id: fmt.Sprintf("s-%d", i), zone: "harbor-st", work: editWork}
		s.onBegin = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			begun[id]++
		}
		if err := s.serve(); err != nil {
			return r.end(couldNot, "%v", err)
		}
		list = append(list, entry(s, "ready"))
	}
	d, err := r.newDiscovery(1, list...)
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	o := options{mode: "on_request", balancers: 1, warmWithin: 8800, classes: []class{albumEdit, photoUpload},
		known: document{1, true, list}.text()}
	old, err := r.newProxy("n0", d.address, o)
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	ln, err := net.Listen("tcp", old.listen) // the platform holds the clients' listening socket
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	if old.passed, err = ln.(*net.TCPListener).File(); err != nil {
		return r.end(couldNot, "%v", err)
	}
	_ = ln.Close()
	if err := old.begin(); err != nil {
		return r.end(couldNot, "%v", err)
	}
	if !old.awaitReady(10*time.Second) || !old.awaitYes(6*time.Second) {
		old.logTail(20)
		return r.end(couldNot, "the proxy is not ready")
	}
	for try := range upgradeTries {
		id := fmt.Sprintf("edit-%d", try)
		usual := &client{address: old.listen}
		first := requestText(albumEdit, "first-"+id, "caption", 800*time.Millisecond)
		status, _, err := usual.do(first, 3*time.Second)
		r.note("usual client: a first request: status %d, %v", status, err)
		if err != nil || usual.conn == nil {
			return r.end(couldNot, "a first request has no answer")
		}
		if r.trouble {
			next := &proxy{run: r, name: old.name, listen: old.listen, admin: freeAddress(),
				discovery: old.discovery, dir: old.dir, passed: old.passed}
			if err := next.begin(); err != nil {
				return r.end(couldNot, "%v", err)
			}
			if !next.awaitYes(6 * time.Second) {
				next.logTail(20)
				return r.end(couldNot, "the new process does not say yes")
			}
			old.signal(syscall.SIGTERM)
			old = next
		}
		var wait sync.WaitGroup
		wait.Go(func() { // on the connection that it has
			r.note("usual client: sends %s", id)
			status, body, err := usual.do(requestText(albumEdit, id, "caption", 800*time.Millisecond), 3*time.Second)
			r.note("usual client: %s: status %d, %q, %v", id, status, body, err)
			usual.close()
		})
		time.Sleep(editWork / 4)
		mu.Lock()
		open := begun[id] > 0
		mu.Unlock()
		if !open { // refused
			wait.Wait()
			continue
		}
		wait.Go(func() {
			r.note("bad client: sends the id %s, which is open, on a new connection", id)
			status, _, err := exchange(old.listen, requestText(albumEdit, id, "caption", 800*time.Millisecond),
				3*time.Second)
			r.note("bad client: %s: status %d, %v", id, status, err)
		})
		wait.Wait()
		time.Sleep(3 * time.Second) // SIGKILL may come 2.7 s after SIGTERM
	}
	old.logTail(10)
	mu.Lock()
	defer mu.Unlock()
	edits := 0
	var twice []string
	for id, n := range begun {
		if !strings.HasPrefix(id, "first-") {
			edits++
		}
		if n > 1 {
			twice = append(twice, fmt.Sprintf("%s %d times", id, n))
		}
	}
	if len(twice) > 0 {
		return r.end(broken, "edits ran more than once: %s", strings.Join(twice, ", "))
	}
	if edits == 0 {
		return r.end(couldNot, "no edit was begun")
	}
	return r.end(held, "none of %d edits ran more than once", edits)
}

// awaitYes waits until a process says yes to HEALTH.
func (p *proxy) awaitYes(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", p.admin)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(conn, "HEALTH\n")
		answer, _ := io.ReadAll(conn)
		_ = conn.Close()
		if strings.HasPrefix(string(answer), "+OK") {
			p.run.note("process %d says yes", p.cmd.Process.Pid)
			return true
		}
	}
	return false
}
