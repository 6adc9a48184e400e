package emulator

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Driver is what stands between a World and its proxies. What it is asked for happens at once, at
// the proxy's end; the delays of the network are the World's.
type Driver interface {
	Dial(l *Leg)               // open a caller leg to l.Proxy; World.Dialed follows
	Ask(l *Leg, a *Ask)        // write a whole request on it
	Close(l *Leg)              // close it, as its client does
	Accepted(h *Hop, ok bool)  // a connection to a server has come up, or was refused
	Answer(h *Hop, r *Reply)   // a whole answer of a server
	Reset(h *Hop)              // the server's side broke the connection
	End(h *Hop)                // the server's side closed it, idle
	Tell(c *Lookup, d *Doc)    // discovery's answer; nil: the call failed
	Moved(proxy int)           // discovery is at another address, and the proxy is told to reload
	Stop(proxy int, hard bool) // end the proxy: at once, or as planned; World.ProxyEnded follows
	Start(proxy int)           // start it anew; World.ProxyReady follows
	Reach(s *Server, r Reach)  // what new connections to a server meet from now on
}

// Reach is what a new connection to a server meets.
type Reach uint8

// What it meets.
const (
	Open    Reach = iota
	Refused       // at once
	Silent        // nothing, ever
)

// Leg is a client's connection to a proxy.
type Leg struct {
	ID    uint64
	Proxy int
	Data  any // the driver's
	up    bool
	gone  bool
	ask   *Ask
	place int // in the front's list of the proxy's legs
}

// Gone tells whether the client has closed it.
func (l *Leg) Gone() bool { return l.gone }

// Hop is a proxy's connection to a server.
type Hop struct {
	ID     uint64
	Proxy  int
	Server *Server
	Data   any // the driver's

	open     bool // at the proxy's end
	atServer bool // at the server's
	over     bool // beyond the cap
	epoch    int  // of the process that accepted it
	delay    time.Duration
	last     time.Duration // when the server last had or gave something on it
	hand     *job          // its handshake, until that is through
	queued   *job          // what waits for the handshake
	cur      *job
	attempt  *Attempt // the last one written on it, until it has come back
	place    int
}

// ReplyKind is what a server answers.
type ReplyKind uint8

// The kinds of reply.
const (
	Done       ReplyKind = iota // 200
	Failed                      // 500
	NotStarted                  // 503 that says so
	Garbled                     // what can't be read
)

// Reply is a server's answer to an attempt.
type Reply struct {
	Attempt *Attempt
	Kind    ReplyKind
	Load    Report
	Last    bool // the server closes the connection behind it
}

// Ask is one try of a client: one request as the proxy sees it.
type Ask struct {
	ID     uint64
	Name   string
	Call   *Call
	Proxy  int
	Repeat bool
	Sent   time.Duration
	GiveUp time.Duration // when the client stops waiting

	leg      *Leg
	attempts []*Attempt
	first    *Attempt // the first that may have run
	runs     int
	made     bool // a server has made an answer for it
	answered bool

	answeredAt time.Duration
	resent     bool // once more on a new leg, since the proxy had closed the first unread
	done       bool // its client waits no more
}

// Token is what only a server that has run the request can know: the body of its answer.
func (a *Ask) Token() uint64 { return mix(a.ID ^ 0x5eed) }

// Attempt is one branch of a request as the world sees it.
type Attempt struct {
	Ask    *Ask
	Number int
	Server *Server
	Hop    *Hop
	Sent   time.Duration

	arrived  time.Duration
	out      bool // sent, and nothing back yet
	never    bool // proved not to have run
	ran      bool // it has, in truth
	doneWork float64
}

// work is what the attempt costs at a server, in seconds on a core of speed 1.
func (a *Attempt) work(s *Server) float64 {
	c := a.Ask.Call
	if s.knows(c.Key) {
		return c.Work * (1 - s.w.sc.Servers.Cache.Saves)
	}
	return c.Work
}

// Answer is what a client gets.
type Answer struct {
	Status     int
	RetryAfter time.Duration
	Token      uint64 // of a 200
	Last       bool   // the proxy closes the leg behind it
}

// World is a scenario being played. One goroutine owns it. New makes one.
type World struct {
	Clock     Clock
	sc        *Scenario
	driver    Driver
	servers   []*Server
	proxies   []*proxy
	discovery *discovery
	clients   *clients
	judge     *judge
	result    *Result
	delays    [][]time.Duration // one way, by zones
	meanWork  float64           // seconds, over the classes
	lastID    uint64
	lastAsk   uint64
	jobs      uint64
	events    *xxhash.Digest
	buf       [41]byte
	follow    uint64   // the ask that is traced
	trace     []string // of it
	notes     []string
	realTime  bool
}

// proxy is what the world keeps of one.
type proxy struct {
	up       bool
	inFront  bool // the front sends clients there
	restarts bool // it is to start again when it has ended
	legs     []*Leg
	idle     []*Leg // newest last
	hops     []*Hop
	told     map[int][]told // by address
	told0    uint64         // version it was last told
	holds    uint64         // version that it holds, told or known from its start
	call     *Lookup        // out
	lastCall time.Duration
	failed   bool // the last call failed
}

// New makes the world of a scenario, whose Check must have passed.
func New(sc *Scenario, driver Driver) *World {
	w := &World{sc: sc, driver: driver, events: xxhash.New()}
	w.result = newResult(sc)
	w.judge = &judge{w: w}
	w.clients = newClients(w)
	rng := w.rng("network")
	for i := range sc.Zones {
		w.delays = append(w.delays, make([]time.Duration, len(sc.Zones)))
		w.delays[i][i] = sc.Network.Within.at(rng.Float64())
		for j := range i {
			w.delays[i][j] = sc.Network.Between.at(rng.Float64())
			w.delays[j][i] = w.delays[i][j]
		}
	}
	share := 0.0
	for _, c := range sc.Classes {
		w.meanWork += c.Share * c.Work.Seconds()
		share += c.Share
	}
	w.meanWork /= share
	w.fleet()
	w.discovery = newDiscovery(w)
	for range sc.Proxies.Count {
		w.proxies = append(w.proxies, &proxy{told: map[int][]told{}})
	}
	return w
}

// fleet makes the servers. The models are dealt out by their shares, spread over the zones.
func (w *World) fleet() {
	sc := w.sc
	rng := w.rng("fleet")
	all := 0.0
	for _, m := range sc.Servers.Models {
		all += m.Share
	}
	given := make([]float64, len(sc.Servers.Models))
	for i := range sc.Servers.Count {
		kind := 0
		for k, m := range sc.Servers.Models { // the one that lacks most goes next
			if m.Share/all*float64(i+1)-given[k] > sc.Servers.Models[kind].Share/all*float64(i+1)-given[kind] {
				kind = k
			}
		}
		given[kind]++
		m := sc.Servers.Models[kind]
		zone := i % len(sc.Zones)
		s := &Server{w: w, Index: i, Name: fmt.Sprintf("s-%d", i), Zone: zone, Kind: kind,
			Cell: zone*sc.Servers.Cells + i/len(sc.Zones)%sc.Servers.Cells, Cores: m.Cores,
			Speed: m.Speed.at(rng.Float64()), up: true, slow: 1, hangs: make([]int, len(sc.Classes)+1),
			crowdedAt: -1, idleFrom: -1, keys: map[uint64]time.Duration{}}
		w.servers = append(w.servers, s)
		every := sc.Servers.ReportEvery.at(rng.Float64())
		if every > 0 {
			w.Clock.At(time.Duration(rng.Float64()*float64(every)), func() { s.renew(every) })
		}
	}
}

// Start plans the troubles and the clients' arrivals. The driver has started the proxies, which
// must be ready; it calls ProxyReady for each.
func (w *World) Start() {
	w.plan()
	w.clients.start()
	w.result.sample(w)
}

// rng gives a source of chance of its own to a part of the world.
func (w *World) rng(part string, more ...uint64) *rand.Rand {
	h := xxhash.Sum64String(part)
	for _, m := range more {
		h = mix(h ^ m)
	}
	return rand.New(rand.NewPCG(w.sc.Seed, h))
}

// chance is a number from 0 to 1 that depends on nothing but the seed and what it is for, so that
// the same request meets the same luck whatever happened before it.
func (w *World) chance(a, b, c uint64) float64 {
	h := mix(mix(mix(w.sc.Seed^a)+b) + c)
	return float64(h>>11) / (1 << 53)
}

// mix scrambles x (the finisher of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// id numbers legs, hops and calls; tries have numbers of their own, from 1 on.
func (w *World) id() uint64 {
	w.lastID++
	return w.lastID
}

// Kinds of line in the log of events.
const (
	logDial = iota
	logAsk
	logAnswer
	logLeft
	logOpen
	logSent
	logBack
	logClosed
	logRan
	logTold
	logNote
	logEffect
)

var logNames = [...]string{"caller leg opened to proxy %d", "asked at proxy %d, give-up %d us away",
	"answered by proxy %d: %d",
	"left proxy %d: %d", "proxy %d opens a hop leg to server %d", "proxy %d forwards to server %d",
	"server %d replies: kind %d", "proxy %d closes its hop leg to server %d",
	"server %d begins to run it, for the %d. time",
	"told", "note", "effect"}

// Log takes a line into the event log's hash and, where its request is followed, into the trace.
func (w *World) log(kind uint8, ask *Ask, a, b uint64) {
	var id uint64
	if ask != nil {
		id = ask.ID
	}
	buf := &w.buf
	buf[0] = kind
	binary.LittleEndian.PutUint64(buf[1:], uint64(w.Clock.Now()))
	binary.LittleEndian.PutUint64(buf[9:], id)
	binary.LittleEndian.PutUint64(buf[17:], a)
	binary.LittleEndian.PutUint64(buf[25:], b)
	_, _ = w.events.Write(buf[:33])
	if w.follow != 0 && id == w.follow && kind < logTold {
		w.Tracef("world    "+logNames[kind], a, b)
	}
}

// LogEffect takes what a proxy did into the event log's hash.
func (w *World) LogEffect(proxy int, what, leg, server uint64) {
	w.log(logEffect, nil, uint64(proxy)<<32|what, leg^server<<20)
}

// Follow has the request of that number traced.
func (w *World) Follow(ask uint64) { w.follow = ask }

// Followed tells whether a request is the one that is traced.
func (w *World) Followed(a *Ask) bool { return a != nil && a.ID == w.follow && w.follow != 0 }

// Tracef adds a line to the trace.
func (w *World) Tracef(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if i := strings.Index(line, "%!(EXTRA"); i >= 0 {
		line = line[:i]
	}
	w.trace = append(w.trace, fmt.Sprintf("%12.6f  %s", w.Clock.Now().Seconds(), line))
}

// Trace is what has been traced.
func (w *World) Trace() []string { return w.trace }

// mostNotes bounds what a run remembers of its troubles.
const mostNotes = 400

func (w *World) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log(logNote, nil, xxhash.Sum64String(text), 0)
	if len(w.notes) < mostNotes {
		w.notes = append(w.notes, fmt.Sprintf("%9.3f s  %s", w.Clock.Now().Seconds(), text))
	}
}

// Hash is the hash of all events so far. The same scenario, seed and decider give the same one.
func (w *World) Hash() uint64 { return w.events.Sum64() }

// Stray breaks a rule for what a real proxy sent that no client asked for.
func (w *World) Stray(proxy int, why string) { w.judge.breaks(RuleLost, nil, proxy, why) }

// FellSilent breaks a rule for a proxy that runs and does nothing any more.
func (w *World) FellSilent(proxy int, why string) { w.judge.breaks(RuleCrash, nil, proxy, why) }

// Figure notes a figure of the driver for the result.
func (w *World) Figure(name, value string) {
	if w.result.Figures == nil {
		w.result.Figures = map[string]string{}
	}
	w.result.Figures[name] = value
}

// RealTime says that the proxies are real programs: the judge allows its margin.
func (w *World) RealTime() { w.realTime = true }

// margin is what the judge allows for what real sockets and clocks add.
func (w *World) margin() time.Duration {
	if w.realTime {
		return w.sc.Rules.Margin
	}
	return 0
}

// End is when the last request has had its time, and so has what is still out then.
func (w *World) End() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.sc.Classes {
		longest = max(longest, c.Deadline)
	}
	return w.sc.Duration + 2*longest + w.sc.Rules.Slack + w.margin() + time.Second
}

// Result sums up; the run must be over.
func (w *World) Result() *Result {
	w.result.finish(w)
	return w.result
}

// Servers are the fleet, by address.
func (w *World) Servers() []*Server { return w.servers }

// Connections to servers, at the proxy's end.

// Open opens a connection from a proxy to the server at an address; the driver's Accepted follows
// unless the network stays silent.
func (w *World) Open(proxy, address int, data any) *Hop {
	s := w.servers[address]
	p := w.proxies[proxy]
	h := &Hop{ID: w.id(), Proxy: proxy, Server: s, Data: data, open: true, place: len(p.hops),
		delay: w.delays[w.sc.ProxyZone(proxy)][s.Zone]}
	p.hops = append(p.hops, h)
	w.log(logOpen, nil, uint64(proxy), uint64(address))
	w.Clock.After(h.delay, func() { s.open(h) })
	return h
}

// Forward takes a whole request that a proxy wrote on a connection at this instant.
func (w *World) Forward(h *Hop, ask *Ask) {
	w.log(logSent, ask, uint64(h.Proxy), uint64(h.Server.Index))
	a := &Attempt{Ask: ask, Number: len(ask.attempts), Server: h.Server, Hop: h, Sent: w.Clock.Now(), out: true}
	h.attempt = a
	w.judge.sent(a)
	ask.attempts = append(ask.attempts, a)
	w.result.attempt(w, a)
	w.Clock.After(h.delay, func() { h.Server.receive(h, a) })
}

// CloseHop takes in that a proxy closed a connection at this instant.
func (w *World) CloseHop(h *Hop) {
	if !h.open {
		return
	}
	var ask *Ask
	if h.attempt != nil {
		ask = h.attempt.Ask
	}
	w.log(logClosed, ask, uint64(h.Proxy), uint64(h.Server.Index))
	w.forget(h)
	w.Clock.After(h.delay, func() { h.Server.closed(h) })
}

// forget ends a connection at the proxy's end.
func (w *World) forget(h *Hop) {
	h.open = false
	if h.attempt != nil {
		h.attempt.out = false
	}
	p := w.proxies[h.Proxy]
	last := len(p.hops) - 1
	p.hops[h.place] = p.hops[last]
	p.hops[h.place].place = h.place
	p.hops[last] = nil
	p.hops = p.hops[:last]
}

// hopsOf lists the connections that a server's process had, in a fixed order.
func (w *World) hopsOf(s *Server, epoch int) (on []*Hop) {
	for _, p := range w.proxies {
		for _, h := range p.hops {
			if h.Server == s && h.epoch == epoch && h.atServer {
				on = append(on, h)
			}
		}
	}
	return on
}

// back has something cross the network from a server to a proxy.
func (w *World) back(h *Hop, do func()) {
	if h.Server.cut > 0 {
		h.Server.held = append(h.Server.held, func() { w.back(h, do) })
		return
	}
	w.Clock.After(h.delay, func() {
		if h.open {
			do()
		}
	})
}

func (w *World) accepted(h *Hop, ok bool) {
	if !ok {
		w.forget(h)
	}
	w.driver.Accepted(h, ok)
}

func (w *World) answer(h *Hop, r *Reply) {
	a := r.Attempt
	w.log(logBack, a.Ask, uint64(h.Server.Index), uint64(r.Kind))
	if h.attempt == a {
		h.attempt = nil
	}
	a.out = false
	a.never = r.Kind == NotStarted
	if r.Kind == Done {
		a.Ask.made = true
		if a.Ask.done {
			h.Server.waste(a)
		}
	}
	w.driver.Answer(h, r)
}

func (w *World) reset(h *Hop) {
	w.forget(h)
	w.driver.Reset(h)
}

func (w *World) ended(h *Hop) {
	w.forget(h)
	w.driver.End(h)
}

// Proxies that come and go.

// ProxyReady says that a proxy takes requests.
func (w *World) ProxyReady(i int) {
	p := w.proxies[i]
	p.up, p.inFront, p.restarts = true, true, false
	p.lastCall = w.Clock.Now()
}

// frontNotices is how long new clients still come after a planned stop begins.
const frontNotices = 300 * time.Millisecond

// restartAfter is how long a proxy's machine takes to start it again.
const restartAfter = 300 * time.Millisecond

func (w *World) restartProxy(i int, hard bool) {
	p := w.proxies[i]
	if !p.up || p.restarts {
		return
	}
	w.note("proxy %d is %s", i, map[bool]string{true: "killed", false: "told to stop"}[hard])
	p.restarts = true
	wait := frontNotices
	if hard {
		wait = w.sc.Clients.Notice
	}
	w.Clock.After(wait, func() {
		if p.restarts {
			p.inFront = false
		}
	})
	w.driver.Stop(i, hard)
}

// ProxyEnded says that a proxy's process is gone, and all it held.
func (w *World) ProxyEnded(i int, crashed bool) {
	p := w.proxies[i]
	if !p.up {
		return
	}
	p.up = false
	if crashed {
		w.judge.breaks(RuleCrash, nil, i, "the program ended by itself")
	}
	for len(p.hops) > 0 {
		w.CloseHop(p.hops[len(p.hops)-1])
	}
	if p.call != nil {
		p.call.over = true
		p.call = nil
	}
	clear(p.told)
	for len(p.legs) > 0 {
		w.Closed(p.legs[len(p.legs)-1])
	}
	if p.restarts {
		w.Clock.After(restartAfter, func() { w.driver.Start(i) })
	}
}

// finite guards sums against a division by nothing.
func finite(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return x
}
