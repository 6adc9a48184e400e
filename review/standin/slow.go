package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow"] = slow }

// slow: many large answers, together far over the memory limit, are read slowly. What the album server still
// gives must not be held back for 2 s.
func slow(r *run) {
	const size = 8 << 20
	large := strings.Repeat("0123456789abcdef", size/16)
	serve := func(q *http.Request, _ int64) string {
		if strings.HasPrefix(q.Header.Get("Request-Id"), "large") {
			return large
		}
		return "ran " + q.Header.Get("Request-Id")
	}
	var servers []*server
	for i := range 5 {
		servers = append(servers, r.newServer(fmt.Sprint("s", i), "harbor-st", serve))
	}
	d := r.newDiscovery(servers...)
	p := r.newProxy("n0", 0, 1, d)
	p.limits = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 512}
	p.start()
	r.await("ready", 20*time.Second, p.ready)
	for i := range 50 {
		if a := ask(p.listen, fmt.Sprint("warm-", i), "album-edit", fmt.Sprint(i), 800); a.status != 200 {
			r.cannot("a request before the case: %v", a)
		}
	}
	var clients sync.WaitGroup
	var begun, whole atomic.Int64
	stop := time.Now().Add(25 * time.Second)
	for i := range 160 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			id := fmt.Sprint("large-", i)
			conn, err := net.Dial("tcp", p.listen)
			if err != nil {
				r.say("%s: %v", id, err)
				return
			}
			defer conn.Close()
			fmt.Fprint(conn, head(id, "photo-upload", id, 2000, 3)+"abc")
			conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			in := bufio.NewReaderSize(conn, 4096)
			res, err := http.ReadResponse(in, nil)
			if err != nil || res.StatusCode != 200 {
				r.say("%s: not served: %v", id, err)
				return
			}
			begun.Add(1)
			piece := make([]byte, 16<<10)
			for got := 0; got < size && time.Now().Before(stop); {
				asked := time.Now()
				conn.SetReadDeadline(asked.Add(6 * time.Second))
				n, err := io.ReadFull(res.Body, piece[:min(len(piece), size-got)])
				got += n
				if waited := time.Since(asked); waited > 2050*time.Millisecond {
					r.breaks("%s: after %d of %d bytes nothing came for %d ms (%v)", id, got, size,
						waited.Milliseconds(), err)
					return
				}
				if err != nil {
					r.say("%s: cut off after %d bytes: %v", id, got, err)
					return
				}
				if r.trouble {
					time.Sleep(time.Until(asked.Add(time.Duration(n) * time.Second / 64000)))
				}
				if got == size {
					whole.Add(1)
				}
			}
		}()
	}
	clients.Wait()
	r.say("answers begun: %d, read whole: %d", begun.Load(), whole.Load())
	if begun.Load() < 130 {
		r.cannot("too few answers began")
	}
}
