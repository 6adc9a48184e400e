package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case left-upload.
const (
	leaversFor     = 45 * time.Second
	leaveEvery     = 4                     // one of so many uploads is given up early
	leavers        = 24                    // clients at once: a third of the descriptors is 85
	minPatience    = 60 * time.Millisecond // of a client that leaves early; a photo-upload has 2 s
	maxPatience    = 400 * time.Millisecond
	restBefore     = 12 * time.Second // idle connections are kept for 10 s
	lastClients    = 60               // clients that wait, at once, at the end: a third of the descriptors is 85
	lastRounds     = 2
	fewDescriptors = 256
)

// leftUpload has clients leave while their uploads wait for a server, in a busy fleet. At the end they have
// all gone, and some other clients ask.
func leftUpload(r *run) int {
	var list []instance
	for i := range 4 {
		s := &server{run: r, id: fmt.Sprintf("s-%d", i), zone: "harbor-st", work: 150 * time.Millisecond}
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
		classes: []class{albumEdit, photoUpload}, known: document{1, true, list}.text(), sockets: fewDescriptors})
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
	r.note("the proxy holds %d descriptors", descriptors(p))
	var left, statuses sync.Map
	var uploads, gone atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(leaversFor)
	for worker := range leavers {
		wait.Go(func() {
			for n := 0; time.Now().Before(end) && p.alive(); n++ {
				id := fmt.Sprintf("w%d-%d", worker, n)
				patience := 4 * time.Second
				if r.trouble && rand.IntN(leaveEvery) == 0 {
					patience = minPatience + rand.N(maxPatience-minPatience)
				}
				uploads.Add(1)
				status, err := leave(p.listen, id, patience)
				r.note("client %d: upload %s: status %d, %v (patience %v)", worker, id, status, err, patience)
				if err != nil {
					gone.Add(1)
					left.Store(id, true)
				}
				counter, _ := statuses.LoadOrStore(status, new(atomic.Int64))
				counter.(*atomic.Int64).Add(1)
				time.Sleep(rand.N(50 * time.Millisecond))
			}
		})
	}
	for time.Now().Before(end) && p.alive() {
		time.Sleep(5 * time.Second)
		r.note("the proxy holds %d descriptors", descriptors(p))
	}
	wait.Wait()
	statuses.Range(func(status, n any) bool {
		r.note("uploads with status %v (0: none came in time): %d", status, n.(*atomic.Int64).Load())
		return true
	})
	r.note("all clients have closed their connections: %d uploads, %d left early", uploads.Load(), gone.Load())
	time.Sleep(restBefore)
	r.note("%v later no client is connected, and the proxy holds %d descriptors", restBefore, descriptors(p))
	var unanswered, answered atomic.Int64
	for round := range lastRounds {
		for worker := range lastClients {
			wait.Go(func() {
				id := fmt.Sprintf("last-%d-%d", round, worker)
				status, _, err := exchange(p.listen, requestText(albumEdit, id, "caption", 800*time.Millisecond),
					3*time.Second)
				if err != nil {
					unanswered.Add(1)
					r.note("client: request %s, on a new connection: no answer (%v)", id, err)
				} else {
					answered.Add(1)
					r.note("client: request %s: status %d", id, status)
				}
			})
		}
		wait.Wait()
		time.Sleep(time.Second)
	}
	p.logTail(10)
	switch {
	case !p.alive():
		return r.end(broken, "the proxy has ended")
	case unanswered.Load() > 0:
		return r.end(broken, "%d of %d requests on new connections, %d at a time, were closed with no answer",
			unanswered.Load(), lastRounds*lastClients, lastClients)
	}
	return r.end(held, "all of the last requests were answered")
}

// leave sends an upload, waits for its answer for some time and closes the connection.
func leave(address, id string, patience time.Duration) (status int, _ error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	body := strings.Repeat("p", 70<<10+rand.IntN(60<<10))
	if _, err := io.WriteString(conn, requestText(photoUpload, id, body, 2*time.Second)); err != nil {
		return 0, err
	}
	status, _, err = readAnswer(newReader(conn))
	return status, err
}

// descriptors returns how many descriptors the process of a proxy holds.
func descriptors(p *proxy) int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(all)
}
