package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// drainLimit is stop-sending-within and the 50 ms by which each limit is longer on sockets.
const drainLimit = 300 * time.Millisecond

// addressReused has an album server replaced by a new one at its address while discovery still lists the old
// one, and answers a watch with the whole list, which leaves out another server that drains.
func addressReused(r *run) int {
	names := []string{"s-old", "s-drains", "s-c", "s-d"}
	servers := map[string]*server{}
	var list []instance
	for _, name := range names {
		s := &server{run: r, id: name, zone: "harbor-st", work: 5 * time.Millisecond}
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
	p, err := r.newProxy("n0", d.address, options{mode: "on_request", balancers: 1, warmWithin: 8800,
		classes: []class{albumEdit, photoUpload}, known: document{10, true, list}.text()})
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
	var served, other atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(12 * time.Second)
	for worker := range 8 {
		wait.Go(func() {
			c := &client{address: p.listen}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("w%d-%d", worker, n)
				status, body, err := c.do(requestText(albumEdit, id, "caption "+id, 800*time.Millisecond),
					2*time.Second)
				if err == nil && status == 200 && body == answerFor(id) {
					served.Add(1)
				} else {
					other.Add(1)
					r.note("client %d: request %s: status %d, %v", worker, id, status, err)
				}
				time.Sleep(rand.N(40 * time.Millisecond))
			}
		})
	}
	time.Sleep(3 * time.Second)
	whole := []instance{list[0], list[2], list[3]} // s-drains drains: the whole list leaves it out
	changes := []instance(nil)
	if r.trouble {
		// The process of s-old ends, and another album server starts at its address, under a new id. Discovery
		// hears of a start sooner than of an end.
		servers["s-old"].stop()
		time.Sleep(300 * time.Millisecond)
		s := &server{run: r, id: "s-new", zone: "harbor-st", address: servers["s-old"].address,
			work: 5 * time.Millisecond}
		if err := s.serve(); err != nil {
			return r.end(couldNot, "%v", err)
		}
		in := entry(s, "ready")
		in.Started = float64(time.Now().UnixMilli())
		time.Sleep(500 * time.Millisecond)
		whole = append(whole, in)
	}
	r.note("server s-drains: drains from now on; it still answers")
	generation := d.publish(whole, nil, true)
	time.Sleep(2 * time.Second)
	if r.trouble { // now discovery has noticed the end of s-old
		gone := list[0]
		gone.Lifecycle = "gone"
		changes = append(changes, gone)
		d.publish(whole[1:], changes, false)
	}
	wait.Wait()
	told := d.toldAt(generation)
	s := servers["s-drains"]
	s.mu.Lock()
	before, late, last := 0, 0, time.Duration(0)
	for _, first := range s.firstBytes {
		if told == 0 || first.at <= told+drainLimit {
			before++
			continue
		}
		late++
		last = first.at - told
		if late <= 20 {
			r.note("server s-drains: the first byte of request %s came %v after the list was written", first.id,
				last)
		}
	}
	s.mu.Unlock()
	r.note("%d served, %d not; s-drains got %d requests in time, %d later", served.Load(), other.Load(), before,
		late)
	switch {
	case !p.alive():
		return r.end(broken, "the proxy has ended")
	case told == 0 || before == 0:
		return r.end(couldNot, "the list was not asked for, or s-drains got nothing before")
	case late > 0:
		return r.end(broken, "%d requests were sent to s-drains later than %v after the proxy was told, "+
			"the last one after %v", late, drainLimit, last)
	}
	return r.end(held, "nothing was sent to s-drains later than %v after the proxy was told", drainLimit)
}
