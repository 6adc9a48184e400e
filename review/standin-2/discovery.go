package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is an entry of discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Type      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   float64 `json:"startedAtMs"`
}

// entry returns the entry of a server that started long ago.
func entry(s *server, lifecycle string) instance {
	return instance{s.id, s.address, s.zone, "std-2", 0, lifecycle, 1, 0}
}

// document is an answer of discovery.
type document struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

func (d document) text() string {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// discovery answers calls for the list.
type discovery struct {
	run     *run
	address string

	mu         sync.Mutex
	generation int
	list       []instance       // the whole list
	changes    map[int]document // what the watches since a version are answered with, by that version
	changed    chan struct{}    // closed at the next change
	turnAway   bool             // calls are answered with 503
	told       map[int]time.Duration
}

func (r *run) newDiscovery(generation int, list ...instance) (*discovery, error) {
	d := &discovery{run: r, address: freeAddress(), generation: generation, list: list,
		changes: map[int]document{}, changed: make(chan struct{}), told: map[int]time.Duration{}}
	ln, err := net.Listen("tcp", d.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, d) }()
	return d, nil
}

// publish makes a new version of the list. Watches are answered with the entries that changed, or with the
// whole list.
func (d *discovery) publish(list []instance, changed []instance, whole bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.generation
	d.generation++
	d.list = list
	next := document{d.generation, false, changed}
	if whole {
		next = document{d.generation, true, list}
	}
	d.changes[before] = next
	close(d.changed)
	d.changed = make(chan struct{})
	return d.generation
}

// setTurnAway has calls turned away from now on, or answered again.
func (d *discovery) setTurnAway(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turnAway = on
	d.run.note("discovery: turns calls away: %t", on)
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		turnAway, generation, next := d.turnAway, d.generation, d.changed
		answer, known := d.changes[since]
		list := d.list
		d.mu.Unlock()
		switch {
		case turnAway:
			d.run.note("discovery: %s is turned away", r.URL)
			http.Error(w, "too many callers", http.StatusServiceUnavailable)
			return
		case !watch || since > generation || since < generation && !known:
			d.answer(w, r, document{generation, true, list})
			return
		case since < generation:
			d.answer(w, r, answer)
			return
		}
		select {
		case <-next:
		case <-deadline:
			d.answer(w, r, document{generation, false, []instance{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a document, and records when its version was told first.
func (d *discovery) answer(w http.ResponseWriter, r *http.Request, answer document) {
	w.Header().Set("Content-Type", "application/json")
	d.run.note("discovery: answers %s with %s", r.URL, answer.text())
	_, _ = w.Write([]byte(answer.text()))
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.told[answer.Generation]; !ok {
		d.told[answer.Generation] = d.run.at()
	}
}

// toldAt returns when a version was written to a proxy; 0: not yet.
func (d *discovery) toldAt(generation int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[generation]
}
