package faulttest

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machineWeight is what each machine is listed with: as many requests as the harness has find room at few.
const machineWeight = 4.0

// Discovery is a stand-in list service for some machines.
type Discovery struct {
	server *http.Server
	at     string

	mu       sync.Mutex
	gen      uint64
	machines []*Machine
	hidden   map[string]bool // not listed
	news     chan struct{}   // closed at each change
	Down     bool
	Calls    int
	work     time.Duration // that a whole list takes, one after the other; 0: none
	waits    int           // calls that may wait; others are turned away; 0: any number
	waiting  int
	desk     sync.Mutex
	short    bool // lists are sent cut short
	back     bool // it has gone back to the list of then
	old      []any
	kept     uint64 // generation of old
	seconds  map[int64]int
	Turned   int           // calls that were turned away
	late     time.Duration // an answer comes so much later
	half     bool          // each second call is turned away
}

// NewDiscovery lists the machines.
func NewDiscovery(machines []*Machine) (*Discovery, error) {
	d := &Discovery{gen: 1, machines: machines, hidden: map[string]bool{}, news: make(chan struct{}),
		seconds: map[int64]int{}}
	return d, d.Move()
}

// Addr is where it answers.
func (d *Discovery) Addr() string { return d.at }

// Move has it answer at another address from now on. What is open at the old one breaks.
func (d *Discovery) Move() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.Close()
	d.server, d.at = &http.Server{Handler: d}, ln.Addr().String()
	go d.server.Serve(ln)
	return nil
}

// Close ends it.
func (d *Discovery) Close() {
	if d.server != nil {
		_ = d.server.Close()
	}
}

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
	d.seconds[time.Now().Unix()]++
	gen, news, down, late, away := d.gen, d.news, d.Down, d.late, d.half && d.Calls%2 == 0
	if d.back {
		gen = d.kept
	}
	d.mu.Unlock()
	if wait, err := strconv.Atoi(watch); err == nil && since == strconv.FormatUint(gen, 10) && !down {
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-news:
		case <-timer.C: // no news up to the generation that was asked from: a change may be made just now
			_ = json.NewEncoder(w).Encode(map[string]any{"generation": gen, "reset": false, "instances": []any{}})
			return
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(late)
	if away || !d.turn() {
		http.Error(w, "too many callers", http.StatusServiceUnavailable)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	gen, list := d.gen, d.list()
	if d.back {
		gen, list = d.kept, d.old
	}
	raw, err := json.Marshal(map[string]any{"generation": gen, "reset": true, "instances": list})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if d.short {
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		raw = raw[:len(raw)/2]
	}
	_, _ = w.Write(raw)
}

// list words the machines as they are listed.
func (d *Discovery) list() []any {
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
	return list
}

// then is the list that it kept, as a configuration names it.
func (d *Discovery) then() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"generation": d.kept, "reset": true, "instances": d.old}
}

// turn waits until a whole list can be worked on; false: there are too many who wait.
func (d *Discovery) turn() bool {
	d.mu.Lock()
	work := d.work
	if d.waits > 0 && d.waiting >= d.waits {
		d.Turned++
		d.mu.Unlock()
		return false
	}
	d.waiting++
	d.mu.Unlock()
	if work > 0 {
		d.desk.Lock()
		time.Sleep(work)
		d.desk.Unlock()
	}
	d.mu.Lock()
	d.waiting--
	d.mu.Unlock()
	return true
}

// Peak is the most calls in one second.
func (d *Discovery) Peak() (most int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.seconds {
		most = max(most, n)
	}
	return most
}
