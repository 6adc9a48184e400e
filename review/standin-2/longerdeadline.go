package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Deadlines of photo-upload, in milliseconds, and how long a server works on the request of the case.
const (
	shortDeadline = 2000.0
	longDeadline  = 10000.0
	longWork      = 9 * time.Second
)

// longerDeadline has a new configuration with a longer deadline, and later stops a proxy by a signal while a
// request of it is in work at a machine that is to go out.
func longerDeadline(r *run) int {
	servers := map[string]*server{}
	var list []instance
	var mu sync.Mutex
	begun := map[string]string{} // the server of each request
	for _, name := range []string{"s-a", "s-b", "s-c"} {
		s := &server{run: r, id: name, zone: "harbor-st", work: longWork}
		s.onBegin = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			begun[id] = name
		}
		if err := s.serve(); err != nil {
			return r.end(couldNot, "%v", err)
		}
		servers[name] = s
		list = append(list, entry(s, "ready"))
	}
	d, err := r.newDiscovery(10, list...)
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	long, short := photoUpload, photoUpload
	long.deadline, short.deadline = longDeadline, shortDeadline
	first := short
	if !r.trouble {
		first = long // the same settings, from the start on
	}
	c, err := r.newCluster(d, 8800, albumEdit, first)
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	if r.trouble {
		for i, p := range c.proxies {
			if err := p.writeConfig(options{mode: "on_request", balancers: len(c.proxies), me: i,
				warmWithin: 8800, classes: []class{albumEdit, long}}); err != nil {
				return r.end(couldNot, "%v", err)
			}
			p.signal(syscall.SIGHUP)
		}
		time.Sleep(2 * time.Second) // clients use a new configuration 1.2 s later
	}
	paused := c.proxies[2]
	var wait sync.WaitGroup
	wait.Go(func() {
		conn, err := net.Dial("tcp", paused.listen)
		if err != nil {
			r.note("client: %v", err)
			return
		}
		defer conn.Close()
		r.note("client: sends request long-1 to n2, and waits 10 s for the answer")
		_, _ = io.WriteString(conn, requestText(long, "long-1", "photo", 10*time.Second))
		_ = conn.SetReadDeadline(time.Now().Add(16 * time.Second))
		status, _, err := readAnswer(bufio.NewReader(conn))
		r.note("client: request long-1: status %d, %v", status, err)
	})
	machine := ""
	for end := time.Now().Add(3 * time.Second); machine == "" && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		machine = begun["long-1"]
		mu.Unlock()
	}
	if machine == "" {
		return r.end(couldNot, "no server has begun the request")
	}
	if err := c.submit("call-1", fmt.Sprintf("id: kernel-12\nmachines: [%s]\nmost: 1\nkeep: 0.3\nmargin: 0.01\n"+
		"out-for: 45m\ndone: said\n", machine)); err != nil {
		return r.end(couldNot, "%v", err)
	}
	if c.await(machine, 5*time.Second, "granted", "draining") == "" {
		return r.end(couldNot, "%s is not granted", machine)
	}
	paused.signal(syscall.SIGSTOP)
	if c.await(machine, 40*time.Second, "free") == "" {
		return r.end(couldNot, "%s is not told free", machine)
	}
	told, inWork := r.at(), servers[machine].inFlight.Load()
	r.note("staff: %s is free; it has %d requests in work", machine, inWork)
	paused.signal(syscall.SIGCONT)
	wait.Wait()
	if inWork > 0 {
		return r.end(broken, "%s was told free at %v while it worked on a request that proxy n2 had sent, whose "+
			"deadline had not passed and whose connection was open", machine, told)
	}
	return r.end(held, "%s had nothing in work when it was told free", machine)
}
