package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case reset-upload.
const (
	resetTrafficFor = 20 * time.Second
	resetWorkers    = 12
	resetEvery      = 5               // one of so many uploads has its connection reset
	answerLimit     = 5 * time.Second // an edit has 0.8 s, and 0.5 s later it is lost
)

// resetUpload has connections to album servers reset under uploads that have begun. Clients keep their
// connections and send their next request on them.
func resetUpload(r *run) int {
	var resets atomic.Int64
	var list []instance
	for i := range 4 {
		s := &server{run: r, id: fmt.Sprintf("s-%d", i), zone: "harbor-st", work: 3 * time.Millisecond}
		s.readBody = func(conn net.Conn, request *http.Request) (int64, error) {
			if r.trouble && request.ContentLength > 64<<10 && rand.IntN(resetEvery) == 0 {
				n, err := io.CopyN(io.Discard, request.Body, rand.Int64N(request.ContentLength))
				if err == nil {
					resets.Add(1)
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
					err = errReset
				}
				return n, err
			}
			return io.Copy(io.Discard, request.Body)
		}
		if err := s.serve(); err != nil {
			return r.end(couldNot, "%v", err)
		}
		in := entry(s, "ready")
		in.Weight = 8
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
	var uploads, notServed, edits, answered, lost atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(resetTrafficFor)
	for worker := range resetWorkers {
		wait.Go(func() {
			c := &client{address: p.listen}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("w%d-%d", worker, n)
				size := 66<<10 + rand.IntN(200<<10)
				uploads.Add(1)
				status, _, err := c.do(requestText(photoUpload, id+"u", strings.Repeat("p", size), 2*time.Second),
					answerLimit)
				r.note("client %d: upload %su of %d bytes: status %d, %v", worker, id, size, status, err)
				if err != nil || status != 200 {
					notServed.Add(1)
				}
				if err != nil || c.conn == nil {
					continue // the proxy has closed the connection with its answer
				}
				time.Sleep(5 * time.Millisecond)
				edits.Add(1)
				sentOn := c.conn.LocalAddr()
				began := r.at()
				after := status
				status, _, err = c.do(requestText(albumEdit, id+"e", "caption", 800*time.Millisecond), answerLimit)
				if err == nil {
					answered.Add(1)
					r.note("client %d: edit %se: status %d", worker, id, status)
					continue
				}
				lost.Add(1)
				r.note("client %v: edit %s, sent at %v on the connection on which its upload was answered with %d, "+
					"has no answer after %v: %v", sentOn, id+"e", began, after, r.at()-began, err)
			}
		})
	}
	wait.Wait()
	r.note("%d uploads, of which %d were not served; servers reset %d connections under uploads; %d edits, %d "+
		"answered", uploads.Load(), notServed.Load(), resets.Load(), edits.Load(), answered.Load())
	p.logTail(10)
	switch {
	case !p.alive():
		return r.end(broken, "the proxy has ended")
	case answered.Load() == 0:
		return r.end(couldNot, "nothing was answered")
	case lost.Load() > 0:
		return r.end(broken, "%d of %d edits were never answered, though their connection stayed open", lost.Load(),
			edits.Load())
	}
	return r.end(held, "all %d edits were answered", edits.Load())
}
