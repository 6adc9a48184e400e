package faults

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machineWeight is what each machine is listed with: as many requests as the rig has find room at few.
const machineWeight = 4.0

// Discovery is a stand-in list service for some machines.
type Discovery struct {
	ln net.Listener

	mu       sync.Mutex
	gen      uint64
	machines []*Machine
	hidden   map[string]bool // not listed
	news     chan struct{}   // closed at each change
	Down     bool
	Calls    int
}

// NewDiscovery lists the machines.
func NewDiscovery(machines []*Machine) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{ln: ln, gen: 1, machines: machines, hidden: map[string]bool{}, news: make(chan struct{})}
	go http.Serve(ln, d)
	return d, nil
}

// Addr is where it answers.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close ends it.
func (d *Discovery) Close() { _ = d.ln.Close() }

// Change makes a change and tells those who watch.
func (d *Discovery) Change(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
	d.gen++
	close(d.news)
	d.news = make(chan struct{})
}

// Hide drops a machine from the list, or lists it again.
func (d *Discovery) Hide(id string, hidden bool) { d.Change(func() { d.hidden[id] = hidden }) }

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, watch := r.URL.Query().Get("since"), r.URL.Query().Get("timeout_ms")
	d.mu.Lock()
	d.Calls++
	gen, news, down := d.gen, d.news, d.Down
	d.mu.Unlock()
	if wait, err := strconv.Atoi(watch); err == nil && since == strconv.FormatUint(gen, 10) && !down {
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-news:
		case <-timer.C:
			d.mu.Lock()
			gen = d.gen
			d.mu.Unlock()
			_ = json.NewEncoder(w).Encode(map[string]any{"generation": gen, "reset": false, "instances": []any{}})
			return
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	list := []any{}
	for _, m := range d.machines {
		if d.hidden[m.ID] {
			continue
		}
		m.mu.Lock()
		state := "ready"
		if m.drains {
			state = "draining"
		}
		list = append(list, map[string]any{"instanceId": m.ID, "hostPort": m.addr, "zone": m.Zone,
			"machineType": m.Kind, "cell": 0, "lifecycle": state, "weight": machineWeight, "startedAtMs": m.Started})
		m.mu.Unlock()
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": d.gen, "reset": true, "instances": list})
}
