package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Discovery is a stand-in list service. Each process asks it at an address of its own, so that it is known
// who was told what, and when. Its methods may be called from any goroutine.
type Discovery struct {
	judge   *Judge
	network *network
	servers []*Server
	// wholeEvery: one answer of so many is the whole list, though the call asked for changes; 0 and 1: each
	wholeEvery int

	mu      sync.Mutex
	version uint64
	news    chan struct{}     // closed at each change
	said    map[string]string // what the version in force says of each server's state
	changed map[string]uint64 // the version that changed a server last
	gone    map[string]entry  // servers that the list no longer names, as it named them last
	history map[string][]line // what the list has said of each server, oldest first
	whole   []byte            // the whole list of the version in force, nil where nobody has asked for it
	down    bool
	late    time.Duration // an answer is late by so much
	cut     bool          // answers are cut short
	silent  bool          // calls that wait for news are not answered
	doors   map[string]*door
	// shutDoors are the processes whose calls are turned away
	shutDoors map[string]bool
}

// door is where one process asks.
type door struct {
	name    string
	server  *http.Server
	ln      net.Listener
	mute    chan struct{} // closed: the calls that are out are never answered
	silent  int           // so many of the next calls are never answered
	answers int

	mu     sync.Mutex
	conns  map[net.Conn]bool
	resets int // so often its connections were broken
}

// entry is one line of the list in discovery's form.
type entry struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
}

// line is what the list says of a server from a version on.
type line struct {
	version uint64
	entry   entry // State is "" where the list doesn't name the server
}

// document is the list in discovery's form.
type document struct {
	Version   uint64  `json:"generation"`
	Whole     bool    `json:"reset"`
	Instances []entry `json:"instances"`
}

func newDiscovery(j *Judge, n *network, wholeEvery int) *Discovery {
	return &Discovery{judge: j, network: n, wholeEvery: wholeEvery, version: 1, news: make(chan struct{}),
		said: map[string]string{}, changed: map[string]uint64{}, gone: map[string]entry{},
		history: map[string][]line{}, doors: map[string]*door{}, shutDoors: map[string]bool{}}
}

// names adds a server to the list before the run begins.
func (d *Discovery) names(s *Server) {
	d.servers = append(d.servers, s)
	d.said[s.ID], d.changed[s.ID] = s.state(), d.version
	d.history[s.ID] = append(d.history[s.ID], line{d.version, s.entry()})
	d.judge.listed(s.ID, s.state() == "ready", d.version, time.Now())
}

// open has a process's address be a new one, and returns it. What is open at the one before breaks.
func (d *Discovery) open(name string) (string, error) {
	ln, err := d.network.listen(discoveryHost)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	before := d.doors[name]
	d.serve(name, ln)
	d.mu.Unlock()
	if before != nil {
		_ = before.server.Close()
	}
	return ln.Addr().String(), nil
}

// serve answers a process's calls on a listener from now on.
func (d *Discovery) serve(name string, ln net.Listener) {
	at := &door{ln: ln, name: name, mute: make(chan struct{}), conns: map[net.Conn]bool{}}
	at.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.answer(at, w, r)
	}), ConnState: at.follow}
	d.doors[name] = at
	go at.server.Serve(ln)
}

func (d *Discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.doors {
		_ = at.server.Close()
	}
}

// lastHad is the list as a process had it last, and its version.
func (d *Discovery) lastHad(name string) (document, uint64) {
	version := d.judge.lastTold(name)
	d.mu.Lock()
	defer d.mu.Unlock()
	if version == 0 {
		version = d.version
	}
	doc := document{Version: version, Whole: true, Instances: []entry{}}
	for _, s := range d.servers {
		var last entry
		for _, l := range d.history[s.ID] {
			if l.version <= version {
				last = l.entry
			}
		}
		if last.State != "" {
			doc.Instances = append(doc.Instances, last)
		}
	}
	return doc, version
}

// change makes a change to servers' states, tells those who watch, and notes when it was there to be had.
func (d *Discovery) change(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
	d.version++
	now := time.Now()
	for _, s := range d.servers {
		state, before := s.state(), d.said[s.ID]
		if state == before && !s.takeRestarted() {
			continue
		}
		d.said[s.ID], d.changed[s.ID] = state, d.version
		d.history[s.ID] = append(d.history[s.ID], line{d.version, s.entry()})
		d.judge.listed(s.ID, state == "ready", d.version, now)
		if state != "" {
			delete(d.gone, s.ID)
			continue
		}
		last := s.entry()
		last.State = "gone"
		d.gone[s.ID] = last
	}
	d.whole = nil
	close(d.news)
	d.news = make(chan struct{})
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

// well tells whether calls are answered, however late, and whole.
func (d *Discovery) well() bool { return !d.down && !d.cut && !d.silent }

// breakWatches resets every connection that is open.
func (d *Discovery) breakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.doors {
		at.reset()
	}
}

// breakWatch resets the connections of one process.
func (d *Discovery) breakWatch(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := d.doors[name]; at != nil {
		at.reset()
	}
}

// follow keeps count of a door's connections.
func (at *door) follow(c net.Conn, state http.ConnState) {
	at.mu.Lock()
	defer at.mu.Unlock()
	switch state {
	case http.StateNew:
		at.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(at.conns, c)
	}
}

// reset breaks a door's connections.
func (at *door) reset() {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.resets++
	for c := range at.conns {
		reset(c)
	}
}

// brokenSince tells how a call ended that was not answered: broken here, or given up by its process. The
// argument is how often the door's connections had been broken when the call began.
func (at *door) brokenSince(resets int) callEnd {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.resets > resets {
		return broken
	}
	return givenUp
}

// resetsSoFar is how often the door's connections were broken.
func (at *door) resetsSoFar() int {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.resets
}

// silence has the call that a process has out never be answered, nor so many of those that follow. All other
// processes are answered as ever.
func (d *Discovery) silence(name string, following int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.doors[name]
	if at == nil {
		return
	}
	close(at.mute)
	at.mute, at.silent = make(chan struct{}), following
}

// document words the list: what has changed since a version, or all of it. The caller holds the lock, or
// knows that nothing changes.
func (d *Discovery) document(since uint64, whole bool) document {
	doc := document{Version: d.version, Whole: whole, Instances: []entry{}}
	for _, s := range d.servers {
		switch {
		case !whole && d.changed[s.ID] <= since:
		case d.said[s.ID] != "":
			doc.Instances = append(doc.Instances, s.entry())
		case !whole:
			doc.Instances = append(doc.Instances, d.gone[s.ID])
		}
	}
	return doc
}

// word is the answer to a call, as bytes. The caller holds the lock.
func (d *Discovery) word(at *door, since uint64, asksChanges bool) ([]byte, error) {
	at.answers++
	if asksChanges && since > 0 && since <= d.version && d.wholeEvery > 1 && at.answers%d.wholeEvery != 0 {
		return json.Marshal(d.document(since, false))
	}
	if d.whole == nil {
		raw, err := json.Marshal(d.document(0, true))
		if err != nil {
			return nil, err
		}
		d.whole = raw
	}
	return d.whole, nil
}

// await waits until there is news for a call that may wait. It returns false where the call gets no answer.
func (d *Discovery) await(at *door, r *http.Request, since uint64, c *callRecord) bool {
	wait := c.wait
	d.mu.Lock()
	news, mute, silent := d.news, at.mute, d.silent
	current := since == d.version
	if at.silent > 0 {
		at.silent--
		silent = true
	}
	d.mu.Unlock()
	if silent {
		d.judge.callSilent(c, time.Now())
		<-r.Context().Done()
		return false
	}
	if wait <= 0 || !current {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-mute:
		d.judge.callSilent(c, time.Now())
		<-r.Context().Done()
		return false
	case <-r.Context().Done():
		return false
	}
	return true
}

// shut has one process's calls be turned away, or answered again.
func (d *Discovery) shut(name string, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shutDoors[name] != down {
		d.shutDoors[name] = down
		d.judge.reachableBy(name, !down, time.Now())
	}
}

// isDown tells whether a process's calls are turned away.
func (d *Discovery) isDown(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down || d.shutDoors[name]
}

// answer answers one call.
func (d *Discovery) answer(at *door, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, errSince := strconv.ParseUint(query.Get("since"), 10, 64)
	ms, errWait := strconv.Atoi(query.Get("timeout_ms"))
	waits := errSince == nil && errWait == nil
	wait := time.Duration(0)
	if waits {
		wait = time.Duration(ms) * time.Millisecond
	}
	resets := at.resetsSoFar()
	c := d.judge.called(at.name, time.Now(), wait)
	how := refused
	if !d.isDown(at.name) {
		how = d.serveCall(at, w, r, since, waits, c)
	}
	if how == refused {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
	if how == givenUp {
		how = at.brokenSince(resets)
	}
	d.judge.callEnded(c, time.Now(), how)
}

// serveCall answers a call that was let in. It returns how the call ended; one that is refused has yet to be
// told so.
func (d *Discovery) serveCall(at *door, w http.ResponseWriter, r *http.Request, since uint64, waits bool,
	c *callRecord) callEnd {
	if !d.await(at, r, since, c) {
		return givenUp
	}
	d.mu.Lock()
	late := d.late
	d.mu.Unlock()
	time.Sleep(late)
	if r.Context().Err() != nil {
		return givenUp // with its connection: nobody is told
	}
	d.mu.Lock()
	raw, err := d.word(at, since, waits)
	version, cut, down := d.version, d.cut, d.down || d.shutDoors[at.name]
	d.mu.Unlock()
	switch {
	case err != nil, down:
		return refused
	case cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		_, _ = w.Write(raw[:len(raw)/2])
		return cutShort
	}
	if _, err := w.Write(raw); err != nil || http.NewResponseController(w).Flush() != nil {
		return givenUp
	}
	d.judge.told(c, version, time.Now())
	return answered
}
