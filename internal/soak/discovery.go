package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Discovery is a stand-in list service. Each process asks it at an address of its own, so that it is known
// who was told what, and when.
type Discovery struct {
	judge   *Judge
	servers []*Server

	mu      sync.Mutex
	version uint64
	news    chan struct{} // closed at each change
	down    bool
	late    time.Duration // an answer is late by so much
	cut     bool          // answers are cut short
	silent  bool          // watches are not answered
	doors   map[string]*door
}

// door is where one process asks.
type door struct {
	name   string
	server *http.Server
	ln     net.Listener
}

func newDiscovery(j *Judge) *Discovery {
	return &Discovery{judge: j, version: 1, news: make(chan struct{}), doors: map[string]*door{}}
}

// open has a process's address be a new one, and returns it. What is open at the one before breaks.
func (d *Discovery) open(name string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	at := &door{name: name, ln: ln}
	at.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.answer(name, w, r)
	})}
	d.mu.Lock()
	before := d.doors[name]
	d.doors[name] = at
	d.mu.Unlock()
	go at.server.Serve(ln)
	if before != nil {
		_ = before.server.Close()
	}
	return ln.Addr().String(), nil
}

func (d *Discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.doors {
		_ = at.server.Close()
	}
}

// forget notes that a process starts anew and knows nothing of what was told before.
func (d *Discovery) forget(name string) { d.judge.restarted(name, time.Now()) }

// change makes a change to servers' states, tells those who watch, and notes when it was there to be had.
func (d *Discovery) change(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
	d.version++
	close(d.news)
	d.news = make(chan struct{})
	d.judge.listed(d.states(), time.Now())
}

// set changes how the service itself behaves.
func (d *Discovery) set(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	well := d.well()
	do()
	if now := d.well(); now != well {
		d.judge.reachable(now, time.Now())
	}
}

// well tells whether calls are answered in time and whole.
func (d *Discovery) well() bool { return !d.down && !d.cut && !d.silent && d.late == 0 }

// breakWatches resets every connection that is open.
func (d *Discovery) breakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, at := range d.doors {
		address := at.ln.Addr().String()
		_ = at.server.Close()
		ln, err := net.Listen("tcp", address)
		if err != nil {
			d.judge.violation("harness", "discovery can't listen again: %v", err)
			continue
		}
		again := &door{name: name, ln: ln}
		again.server = &http.Server{Handler: at.server.Handler}
		d.doors[name] = again
		go again.server.Serve(ln)
	}
}

func (d *Discovery) states() map[string]string {
	states := map[string]string{}
	for _, s := range d.servers {
		if state := s.state(); state != "" {
			states[s.ID] = state
		}
	}
	return states
}

// document words the whole list. The caller holds no lock, or knows that nothing changes.
func (d *Discovery) document() map[string]any {
	list := []any{}
	for _, s := range d.servers {
		if s.state() != "" {
			list = append(list, s.entry())
		}
	}
	return map[string]any{"generation": d.version, "reset": true, "instances": list}
}

func (d *Discovery) answer(name string, w http.ResponseWriter, r *http.Request) {
	since, wait := r.URL.Query().Get("since"), r.URL.Query().Get("timeout_ms")
	d.mu.Lock()
	news, silent, late := d.news, d.silent, d.late
	current := since == strconv.FormatUint(d.version, 10)
	down := d.down
	d.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if ms, err := strconv.Atoi(wait); err == nil && (current || silent) {
		if silent {
			news = nil
		}
		timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-news:
		case <-timer.C:
			if silent {
				<-r.Context().Done()
				return
			}
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(late)
	if r.Context().Err() != nil {
		return // given up, and with its connection: nobody is told
	}
	d.mu.Lock()
	raw, err := json.Marshal(d.document())
	states, cut, down := d.states(), d.cut, d.down
	d.mu.Unlock()
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	case down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		_, _ = w.Write(raw[:len(raw)/2])
	default:
		if _, err := w.Write(raw); err == nil && http.NewResponseController(w).Flush() == nil {
			d.judge.told(name, states, time.Now())
		}
	}
}

func (d *Discovery) String() string { return fmt.Sprintf("version %d", d.version) }
