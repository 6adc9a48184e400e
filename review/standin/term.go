package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["term"] = term }

// term: a proxy is told to end while half of the album servers hang. What comes more than 0.7 s after that on
// a connection that it left open is owed its answer before SIGKILL.
func term(r *run) {
	var hang atomic.Bool
	newServe := func(i int) func(q *http.Request, body int64) string {
		return func(q *http.Request, body int64) string {
			id := q.Header.Get("Request-Id")
			r.say("s%d: request %s has come, %d bytes", i, id, body)
			if i == 0 && hang.Load() {
				time.Sleep(30 * time.Second)
			}
			time.Sleep(60 * time.Millisecond)
			return "ran " + id
		}
	}
	d := r.newDiscovery(r.newServer("s0", "harbor-st", newServe(0)), r.newServer("s1", "harbor-st", newServe(1)))
	p := r.newProxy("n0", 0, 1, d)
	p.start()
	r.await("ready", 20*time.Second, p.ready)
	for i := range 30 {
		if a := ask(p.listen, fmt.Sprint("warm-", i), "photo-upload", fmt.Sprint(i), 2000); a.status != 200 {
			r.cannot("a request before the case: %v", a)
		}
	}
	begin := time.Now()
	if r.trouble {
		hang.Store(true)
		r.say("s0 hangs")
		p.signal(syscall.SIGTERM)
	}
	const size, perSecond = 63 << 10, 64000
	kill := begin.Add(2720 * time.Millisecond) // the longest deadline, 2 s, 0.7 s, and a margin
	var clients sync.WaitGroup
	type result struct {
		id   string
		last time.Time
		got  answer
	}
	results := make(chan result, 100)
	for i := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(200 * time.Millisecond) // new connections go on coming for 0.2 to 0.4 s
			id := fmt.Sprint("slow-", i)
			conn, err := net.Dial("tcp", p.listen)
			if err != nil {
				r.say("%s: %v", id, err)
				return
			}
			defer conn.Close()
			r.say("%s: connected, sends its head", id)
			fmt.Fprint(conn, head(id, "photo-upload", id, 2000, size))
			body, start := bytes.Repeat([]byte("x"), size), time.Now()
			for len(body) > 0 {
				n := min(len(body), perSecond/50)
				if _, err := conn.Write(body[:n]); err != nil {
					r.say("%s: its connection broke before its last byte: %v", id, err)
					return
				}
				body = body[n:]
				time.Sleep(time.Until(start.Add(time.Duration(size-len(body)) * time.Second / perSecond)))
			}
			last := time.Now()
			r.say("%s: its last byte is written, %d ms after SIGTERM", id, last.Sub(begin).Milliseconds())
			conn.SetReadDeadline(last.Add(4 * time.Second))
			a := readAnswer(bufio.NewReader(conn))
			if a.err == io.ErrUnexpectedEOF || a.err == io.EOF {
				a.err = fmt.Errorf("the connection ended: %w", a.err)
			}
			r.say("%s: %v", id, a)
			results <- result{id, last, a}
		}()
	}
	if r.trouble {
		time.Sleep(time.Until(kill))
		if p.running() {
			p.signal(syscall.SIGKILL)
		} else {
			r.say("n0 has ended by itself")
		}
	}
	clients.Wait()
	close(results)
	n := 0
	for got := range results {
		n++
		if got.got.err != nil && got.last.Sub(begin) > 700*time.Millisecond {
			r.breaks("%s came %d ms after SIGTERM, and was never answered: %v", got.id,
				got.last.Sub(begin).Milliseconds(), got.got.err)
		}
	}
	if n == 0 {
		r.cannot("no request was taken")
	}
}
