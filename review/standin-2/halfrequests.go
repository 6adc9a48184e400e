package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case half-requests.
const (
	halfMemory  = 48 // MB
	halfClients = 600
	halfBody    = 64 << 10 // bytes that are announced; some bytes less are sent
	halfFor     = 20 * time.Second
)

// halfRequests has many bad clients stop in the middle of a request and stay, beside some usual ones. The
// platform kills a process that is over its memory.
func halfRequests(r *run) int {
	var list []instance
	for i := range 4 {
		s := &server{run: r, id: fmt.Sprintf("s-%d", i), zone: "harbor-st", work: 20 * time.Millisecond}
		if err := s.serve(); err != nil {
			return r.end(couldNot, "%v", err)
		}
		list = append(list, entry(s, "ready"))
	}
	d, err := r.newDiscovery(1, list...)
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	p, err := r.newProxy("n0", d.address, options{mode: "on_request", balancers: 1, warmWithin: 8800,
		classes: []class{albumEdit, photoUpload}, known: document{1, true, list}.text(), memory: halfMemory})
	if err == nil {
		err = p.begin()
	}
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	if !p.awaitReady(10 * time.Second) {
		p.logTail(20)
		return r.end(couldNot, "the proxy is not ready")
	}
	var wait sync.WaitGroup
	var unanswered, answered atomic.Int64
	end := time.Now().Add(halfFor)
	for worker := range 4 {
		wait.Go(func() {
			c := &client{address: p.listen}
			defer c.close()
			for n := 0; time.Now().Before(end) && p.alive(); n++ {
				id := fmt.Sprintf("w%d-%d", worker, n)
				text := requestText(albumEdit, id, "caption", 800*time.Millisecond)
				if status, _, err := c.do(text, 2*time.Second); err != nil {
					unanswered.Add(1)
					r.note("usual client: request %s: no answer (%v)", id, err)
				} else {
					r.note("usual client: request %s: status %d", id, status)
					answered.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	if r.trouble {
		for worker := range halfClients {
			wait.Go(func() {
				for n := 0; time.Now().Before(end) && p.alive(); n++ {
					half(r, p.listen, fmt.Sprintf("half-%d-%d", worker, n))
				}
			})
		}
	}
	peak, over := 0, false
	for time.Now().Before(end) && p.alive() && !over {
		time.Sleep(50 * time.Millisecond)
		kB := anonymous(p)
		if kB > peak {
			peak = kB
			r.note("the process has %d kB of its own memory", kB)
		}
		if over = kB > halfMemory<<10; over {
			r.note("platform: %d kB are over memory_mb, %d: the process is killed", kB, halfMemory)
			p.kill()
		}
	}
	wait.Wait()
	r.note("usual clients: %d requests answered, %d not", answered.Load(), unanswered.Load())
	switch {
	case over:
		return r.end(broken, "the process was over its %d MB, and was killed; %d requests of usual clients have "+
			"no answer", halfMemory, unanswered.Load())
	case !p.alive():
		return r.end(broken, "the process has ended")
	}
	return r.end(held, "the process had %d kB at most", peak)
}

// half sends most of a request and stays until it is answered or closed.
func half(r *run, address, id string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	text := requestText(albumEdit, id, strings.Repeat("c", halfBody), 800*time.Millisecond)
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	_, err = conn.Write([]byte(text[:len(text)-100]))
	answer := make([]byte, 12)
	n, readErr := conn.Read(answer)
	r.note("bad client: half of request %s (%v): %q, %v", id, err, answer[:n], readErr)
}

// anonymous returns the memory of a process that is its own, in kB: without the program's file.
func anonymous(p *proxy) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kB, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kB
		}
	}
	return 0
}
