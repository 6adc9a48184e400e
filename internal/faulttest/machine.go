package faulttest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Machine is a stand-in album server that can really be switched off. While it is off for work, whatever
// still reaches its address is a fault: somebody was told that it is free.
type Machine struct {
	ID, Zone, Kind string
	addr           string
	fault          func(error)

	mu      sync.Mutex
	server  *http.Server
	trip    net.Listener
	Started int64 // Unix time in milliseconds
	open    int   // whole requests in work
	runs    map[string]int
	Served  int
	Silent  bool          // takes requests and answers none
	slow    time.Duration // what each request takes besides
	on      bool
	most    int // connections that it takes; 0: any number
	opened  int // connections, all in all
	refused int // and of them those beyond most
	conns   int
	held    int           // most at once
	gone    bool          // for good: another one has its address
	drains  bool          // staff have discovery list it as draining
	desk    chan struct{} // requests wait here to be worked on; nil: all are at once
	gen     int
}

// NewMachine starts a machine at a new address.
func NewMachine(id, zone, kind string, fault func(error)) (*Machine, error) {
	m := &Machine{ID: id, Zone: zone, Kind: kind, fault: fault, runs: map[string]int{}}
	if err := m.Move(); err != nil {
		return nil, err
	}
	return m, m.On()
}

// Addr is where it listens, the same after it was off.
func (m *Machine) Addr() string { return m.addr }

// On starts it anew.
func (m *Machine) On() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.on {
		return nil
	}
	if m.trip != nil {
		_ = m.trip.Close()
		m.trip = nil
	}
	ln, err := listen(m.addr)
	if err != nil {
		return err
	}
	m.addr = ln.Addr().String()
	m.gen++
	m.on, m.open = true, 0
	if m.gen > 1 {
		m.Started = time.Now().UnixMilli()
	}
	gen := m.gen
	m.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.serve(gen, w, r)
	})}
	m.server.ConnState = m.counted
	m.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_, over := c.(beyond)
		return context.WithValue(ctx, beyond{}, over)
	}
	m.conns = 0
	go m.server.Serve(door{ln, m})
	return nil
}

// door tells connections beyond what a machine takes from the others.
type door struct {
	net.Listener
	m *Machine
}

// beyond is a connection on which the first request is turned away as never started.
type beyond struct{ net.Conn }

// Accept takes the next connection.
func (d door) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	d.m.opened++
	if d.m.most > 0 && d.m.conns >= d.m.most {
		d.m.refused++
		return beyond{conn}, nil
	}
	d.m.conns++
	d.m.held = max(d.m.held, d.m.conns)
	return conn, nil
}

// counted counts the connections that are open.
func (m *Machine) counted(c net.Conn, s http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, over := c.(beyond); !over && (s == http.StateClosed || s == http.StateHijacked) {
		m.conns--
	}
}

func (m *Machine) serve(gen int, w http.ResponseWriter, r *http.Request) {
	if over, _ := r.Context().Value(beyond{}).(bool); over {
		w.Header().Set("Not-Started", "1")
		w.Header().Set("Connection", "close")
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // it was never whole
	}
	id := r.Header.Get("Request-Id")
	m.mu.Lock()
	m.open++
	if m.runs[id]++; m.runs[id] > 1 && r.Header.Get("Idempotency-Key") == "" {
		m.fault(fmt.Errorf("request %s ran twice at %s", id, m.ID))
	}
	n, silent, work := m.open, m.Silent, 2*time.Millisecond+m.slow
	m.mu.Unlock()
	if len(id)%7 == 0 {
		work += 58 * time.Millisecond
	}
	if m.desk != nil {
		select {
		case m.desk <- struct{}{}:
			defer func() { <-m.desk }()
		case <-r.Context().Done():
		}
	}
	if silent {
		<-r.Context().Done()
	} else {
		time.Sleep(work)
	}
	m.mu.Lock()
	if gen == m.gen {
		m.open--
		m.Served++
	}
	m.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("inflight=%d,latency_ms=%d", n, work.Milliseconds()))
	fmt.Fprintf(w, "%s %d", id, len(body))
}

// Runs is how often a request ran here.
func (m *Machine) Runs(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[id]
}

// Die switches it off as a failure does: what is open is lost, and nobody is to blame.
func (m *Machine) Die() {
	m.mu.Lock()
	server := m.server
	m.on = false
	m.gen++
	m.mu.Unlock()
	_ = server.Close()
}

// Off switches it off since it was told free. Nothing may be in work there, and nothing may come any more.
func (m *Machine) Off() error {
	m.mu.Lock()
	if !m.on {
		m.mu.Unlock()
		return nil
	}
	m.on = false
	if m.open > 0 {
		m.fault(fmt.Errorf("machine %s is told free with %d requests in work", m.ID, m.open))
	}
	server := m.server
	m.gen++
	m.mu.Unlock()
	_ = server.Close()
	ln, err := listen(m.addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.trip = ln
	m.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				b := make([]byte, 64)
				if n, _ := conn.Read(b); n > 0 {
					m.fault(fmt.Errorf("machine %s gets a request after it was told free: %q", m.ID, b[:n]))
				}
			}()
		}
	}()
	return nil
}

// Move has it start at another address the next time.
func (m *Machine) Move() error {
	at, err := freeAddress()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addr = at
	return err
}

// silence has it take requests and answer none from now on.
func (m *Machine) silence() {
	m.mu.Lock()
	m.Silent = true
	m.mu.Unlock()
}

// retire takes it away for good, and gives up its address.
func (m *Machine) retire() (addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.trip != nil {
		_ = m.trip.Close()
		m.trip = nil
	}
	m.on, m.gone = false, true
	return m.addr
}

// close ends all that listens at its address.
func (m *Machine) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server != nil {
		_ = m.server.Close()
	}
	if m.trip != nil {
		_ = m.trip.Close()
	}
}

// Running tells whether it is on.
func (m *Machine) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.on
}
