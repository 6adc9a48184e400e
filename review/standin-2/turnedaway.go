package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// turnAwayFor is how long discovery turns callers away after the proxy's start.
const turnAwayFor = 5 * time.Second

// turnedAway starts a proxy, where lists are pushed, while discovery turns callers away. One album server has
// begun to drain since the proxy last had the list.
func turnedAway(r *run) int {
	names := []string{"s-drains", "s-b", "s-c", "s-d"}
	var servers []*server
	var list []instance
	for _, name := range names {
		s := &server{run: r, id: name, zone: "harbor-st", work: 5 * time.Millisecond}
		if err := s.serve(); err != nil {
			return r.end(couldNot, "%v", err)
		}
		servers = append(servers, s)
		list = append(list, entry(s, "ready"))
	}
	known := document{10, true, append([]instance(nil), list...)}.text()
	list[0].Lifecycle = "draining" // as discovery and the agent have it, long before the proxy starts
	d, err := r.newDiscovery(11, list...)
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	p, err := r.newProxy("n0", d.address, options{mode: "pushed", balancers: 1, warmWithin: 8800,
		classes: []class{albumEdit, photoUpload}, known: known})
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	if r.trouble {
		d.setTurnAway(true)
		time.AfterFunc(turnAwayFor, func() { d.setTurnAway(false) })
	}
	started := r.at()
	if err := p.begin(); err != nil {
		return r.end(couldNot, "%v", err)
	}
	if !p.awaitReady(20 * time.Second) { // the front takes it in
		p.logTail(20)
		return r.end(couldNot, "the proxy is not ready")
	}
	var served, other atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
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
				}
				time.Sleep(rand.N(40 * time.Millisecond))
			}
		})
	}
	wait.Wait()
	p.logTail(20)
	s := servers[0]
	s.mu.Lock()
	late, last := 0, time.Duration(0)
	for _, first := range s.firstBytes {
		if first.at <= started+drainLimit {
			continue
		}
		late++
		if last = first.at - started; late <= 20 {
			r.note("server s-drains: the first byte of request %s came %v after the proxy's start", first.id, last)
		}
	}
	s.mu.Unlock()
	r.note("%d served, %d not; s-drains got %d requests", served.Load(), other.Load(), late)
	switch {
	case !p.alive():
		return r.end(broken, "the proxy has ended")
	case served.Load() == 0:
		return r.end(couldNot, "nothing was served")
	case late > 0:
		return r.end(broken, "%d requests were sent to s-drains, which drained before the proxy's start, the last "+
			"one %v after the start", late, last)
	}
	return r.end(held, "nothing was sent to s-drains, which drained before the proxy's start")
}
