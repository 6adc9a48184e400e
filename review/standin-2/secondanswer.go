package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case second-answer.
const (
	crossDelay    = 1300 * time.Microsecond // one way between two substations: 0.7 to 1.3 ms (BRIEF)
	secondEvery   = 25                      // one of so many answers is followed by a second copy
	maxSecondWait = 5 * time.Millisecond    // "some milliseconds late"
	trafficFor    = 20 * time.Second
	trafficers    = 8
)

// secondAnswer has some answers of album servers followed by a second copy, some milliseconds late, if
// nothing else has come on the connection by then.
func secondAnswer(r *run) int {
	var copies atomic.Int64
	var list []instance
	for i := range 4 {
		s := &server{run: r, id: fmt.Sprintf("s-%d", i), zone: "bluff-rd", work: 4 * time.Millisecond}
		s.afterAnswer = func(conn net.Conn, reader *bufio.Reader, answer []byte) {
			if !r.trouble || rand.IntN(secondEvery) > 0 {
				return
			}
			if quietFor(conn, reader, time.Millisecond+rand.N(maxSecondWait-time.Millisecond)) {
				copies.Add(1)
				r.note("server %s: a second copy of the last answer on %v", s.id, conn.RemoteAddr())
				_, _ = conn.Write(answer)
			}
		}
		if err := s.serve(); err != nil {
			return r.end(couldNot, "%v", err)
		}
		far, err := delayed(s.address, crossDelay)
		if err != nil {
			return r.end(couldNot, "%v", err)
		}
		in := entry(s, "ready")
		in.Address = far
		list = append(list, in)
	}
	d, err := r.newDiscovery(1, list...)
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	p, err := r.newProxy("n0", d.address, options{mode: "on_request", balancers: 1, warmWithin: 8800,
		classes: []class{albumEdit, photoUpload}, known: document{1, true, list}.text()})
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
	var sent, served, refused, failed, foreign atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(trafficFor)
	for worker := range trafficers {
		wait.Go(func() {
			c := &client{address: p.listen}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("w%d-%d", worker, n)
				sent.Add(1)
				status, body, err := c.do(requestText(albumEdit, id, "caption "+id, 800*time.Millisecond),
					2*time.Second)
				switch {
				case err == nil && status == 200 && body == answerFor(id):
					served.Add(1)
					r.note("client %d: request %s: status 200, its own answer", worker, id)
				case err == nil && status == 200:
					foreign.Add(1)
					r.note("client %d: request %s was answered 200 with %q", worker, id, body)
				case err == nil && (status == 429 || status == 503):
					refused.Add(1)
					r.note("client %d: request %s: status %d", worker, id, status)
				default:
					failed.Add(1)
					r.note("client %d: request %s: status %d, %v", worker, id, status, err)
				}
				time.Sleep(rand.N(40 * time.Millisecond))
			}
		})
	}
	wait.Wait()
	r.note("%d requests: %d served, %d refused, %d failed; servers sent %d second copies", sent.Load(),
		served.Load(), refused.Load(), failed.Load(), copies.Load())
	switch {
	case !p.alive():
		return r.end(broken, "the proxy has ended")
	case served.Load() == 0:
		return r.end(couldNot, "nothing was served")
	case foreign.Load() > 0:
		return r.end(broken, "%d of %d requests were answered 200 with what no album server made for them",
			foreign.Load(), sent.Load())
	}
	return r.end(held, "all %d answers 200 were made for their requests", served.Load())
}

// delayed returns an address that leads to a server, each way by a given time later.
func delayed(address string, delay time.Duration) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				_ = near.Close()
				continue
			}
			go relay(near, far, delay)
			go relay(far, near, delay)
		}
	}()
	return ln.Addr().String(), nil
}

// piece is what was read at one time, or the end of the input.
type piece struct {
	data []byte
	due  time.Time
	err  error
}

// relay copies what comes from one connection to the other, each piece by the delay later.
func relay(from, to net.Conn, delay time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		for {
			buffer := make([]byte, 64<<10)
			n, err := from.Read(buffer)
			pieces <- piece{buffer[:n], time.Now().Add(delay), err}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if len(p.data) > 0 {
			if _, err := to.Write(p.data); err != nil {
				_ = from.Close()
				return
			}
		}
		if p.err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if p.err != nil {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
