package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["alone"] = alone }

// relay carries what one proxy sends another. While it is cut nothing passes, and nobody is told.
type relay struct {
	ln   net.Listener
	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

func (r *run) newRelay(target string) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("listen: %v", err)
	}
	l := &relay{ln: ln}
	l.cond = sync.NewCond(&l.mu)
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				l.pass()
				out, err := net.Dial("tcp", target)
				if err != nil {
					in.Close()
					return
				}
				go l.copy(out, in)
				l.copy(in, out)
			}()
		}
	}()
	return l
}

func (l *relay) pass() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.cond.Wait()
	}
}

func (l *relay) copy(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 16<<10)
	for {
		l.pass()
		n, err := from.Read(buf)
		l.pass()
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *relay) set(cut bool) {
	l.mu.Lock()
	l.cut = cut
	l.cond.Broadcast()
	l.mu.Unlock()
}

// work makes an operator's call.
func (p *proxy) work(line string) string {
	conn, err := net.DialTimeout("tcp", p.admin, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(7 * time.Second))
	fmt.Fprintf(conn, "WORK %s\n", line)
	raw, _ := io.ReadAll(conn)
	return string(raw)
}

// alone: a proxy that once served alone, since no majority was there, is later cut off from the others.
// From the end of its lease on it must send nothing to a machine that it was told may go out.
func alone(r *run) {
	var freed atomic.Pointer[string] // the machine that was told free
	var late atomic.Int64
	var mu sync.Mutex
	seen := map[string]int{}
	var servers []*server
	for i := range 4 {
		var s *server
		s = r.newServer(fmt.Sprintf("m%d", i), "harbor-st", func(q *http.Request, _ int64) string {
			id := q.Header.Get("Request-Id")
			mu.Lock()
			seen[s.id]++
			mu.Unlock()
			if f := freed.Load(); f != nil && *f == s.id {
				if late.Add(1) <= 20 {
					r.say("%s has been told free, and runs request %s", s.id, id)
				}
			}
			time.Sleep(5 * time.Millisecond)
			return s.id + " ran " + id
		})
		servers = append(servers, s)
	}
	d := r.newDiscovery(servers...)
	var proxies []*proxy
	addrs := make([]string, 3)
	for i := range 3 {
		proxies = append(proxies, r.newProxy(fmt.Sprintf("n%d", i), i, 3, d))
		addrs[i] = r.freeAddr()
	}
	relays := map[[2]int]*relay{}
	for i, p := range proxies {
		text := fmt.Sprintf("listen: %s\ndir: %s\nfounders: [n0, n1, n2]\nreplace-after: 30s\n"+
			"alone-after: 2s\npeers:\n", addrs[i], filepath.Join(p.home, "peers"))
		for j := range 3 {
			if j != i {
				relays[[2]int{i, j}] = r.newRelay(addrs[j])
				text += fmt.Sprintf("  n%d: %s\n", j, relays[[2]int{i, j}].ln.Addr())
			}
		}
		p.peers = filepath.Join(p.home, "peers.yaml")
		if err := os.MkdirAll(p.home, 0o700); err != nil {
			r.cannot("%v", err)
		}
		if err := os.WriteFile(p.peers, []byte(text), 0o600); err != nil {
			r.cannot("%v", err)
		}
	}
	// n2 comes up first, as after a power cut, and serves alone.
	n0, n2 := proxies[0], proxies[2]
	n2.start()
	if os.Getenv("ALONE") != "0" {
		r.await("n2 is ready, alone", 20*time.Second, n2.ready)
	}
	proxies[0].start()
	proxies[1].start()
	r.await("all are ready", 30*time.Second, func() bool {
		return n0.ready() && proxies[1].ready() && n2.ready()
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer func() { close(stop); clients.Wait() }()
	var served atomic.Int64
	for c, p := range proxies {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				id := fmt.Sprintf("n%d-%d", c, i)
				if a := ask(p.listen, id, "album-edit", fmt.Sprint("key", i%97), 800); a.status == 200 {
					served.Add(1)
				}
			}
		}()
	}
	status := func() string { return n0.work(`{"id":"` + fmt.Sprint(time.Since(r.began)) + `","do":"status"}`) }
	step := func(machine, is string) bool {
		for _, line := range strings.Split(status(), "\n") {
			f := strings.Fields(line)
			for i := range f {
				if f[i] == machine && strings.Contains(line, is) {
					return true
				}
			}
		}
		return false
	}
	r.await("the voters are three", 20*time.Second, func() bool {
		s := status()
		return strings.Contains(s, "+OK") && strings.Contains(s, "n0") && strings.Contains(s, "n1") &&
			strings.Contains(s, "n2")
	})
	time.Sleep(3 * time.Second)
	r.say("status:\n%s", status())
	r.say("submit: %s", n0.work(`{"id":"c1","do":"submit","order":{"id":"kernel","machines":["m0","m1"],`+
		`"most":1,"keep":0.4,"done":"said"}}`))
	r.await("m0 is free", 30*time.Second, func() bool { return step("m0", "free") })
	time.Sleep(3 * time.Second) // all proxies have renewed their leases, and know that m1 may go next
	r.say("status:\n%s", status())
	if r.trouble {
		for pair, l := range relays {
			if pair[0] == 2 || pair[1] == 2 {
				l.set(true)
			}
		}
		r.say("n2 is cut off from the others")
	}
	r.say("back m0: %s", n0.work(`{"id":"c2","do":"back","name":"m0"}`))
	r.await("m1 is free", 40*time.Second, func() bool { return step("m1", "free") })
	m1 := "m1"
	time.Sleep(100 * time.Millisecond) // beyond the slack of 50 ms
	freed.Store(&m1)
	r.say("status:\n%s", status())
	time.Sleep(4 * time.Second)
	freed.Store(nil)
	mu.Lock()
	r.say("requests run by machine: %v, answered 200: %d", seen, served.Load())
	mu.Unlock()
	if n := late.Load(); n > 0 {
		r.breaks("m1 ran %d requests in the 4 s after it was told free", n)
	}
}
