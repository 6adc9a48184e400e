// Package virtual plays a scenario in virtual time: the world and all proxies' reducers in one
// process, without sockets. The same scenario, seed and policy give the same events to the byte.
package virtual

import (
	"fmt"
	"time"

	lg "lilacglade"
	"lilacglade/internal/baselines"
	"lilacglade/internal/emulator"
	"lilacglade/internal/pool"
	"lilacglade/internal/reducer"
	"lilacglade/internal/serverlist"
)

// Module is the name of the decision module among the policies.
const Module = "module"

// Policies lists what a proxy can decide by.
func Policies() []string { return append([]string{Module}, baselines.Names...) }

// Options are what a run may have beyond its scenario.
type Options struct {
	Policy string // Module where empty
	Follow uint64 // number of a request to trace, 0 for none
	Pool   string // one of Pools; the proxy's own where empty
	// Decider makes a proxy's decider in place of Policy, for tests.
	Decider func(set lg.Settings, seed uint64) (reducer.Decider, error)
	// Tamper changes or drops what a proxy does, for tests of the judge: it gets each effect and
	// returns the ones to carry out.
	Tamper func(proxy int, e reducer.Effect) []reducer.Effect
	// Deafen tells, for tests of the judge, which events a proxy does not hear.
	Deafen func(proxy int, ev reducer.Event) bool
	// Unguarded has proxies send what breaks a rule, for tests of the judge.
	Unguarded bool
	// Progress hears of the virtual time reached, now and then.
	Progress func(at, of time.Duration)
	// Clock is the wall's, for Result.Took; nil leaves that out.
	Clock func() time.Time
}

// Pools are the pools of hop legs that can be played: the proxy's own, its ways but for the order in
// which legs are used again, and two from the textbook.
var Pools = map[string]pool.Config{"own": {}, "oldest-first": {Order: pool.Oldest},
	"least-used-first": {Order: pool.LeastUsed}, "eager": {Eager: true}, "unbounded": {Eager: true,
		NoLearning: true},
	"fixed-2": {Eager: true, NoLearning: true, MaxPerServer: 2}}

// longAgo is what a proxy's clock reads when the world's reads 0: servers that started long ago
// have a start of 0, and nothing else has.
const longAgo = 24 * time.Hour

// Sim is a run. New makes one.
type Sim struct {
	sc      *emulator.Scenario
	opt     Options
	world   *emulator.World
	nodes   []*node
	crashes int
}

// New makes the world of a scenario and its proxies, ready to Run.
func New(sc *emulator.Scenario, opt Options) (*Sim, error) {
	if err := sc.Check(); err != nil {
		return nil, err
	}
	if opt.Policy == "" {
		opt.Policy = Module
	}
	if _, ok := Pools[opt.Pool]; !ok && opt.Pool != "" {
		return nil, fmt.Errorf("pool %q is unknown", opt.Pool)
	}
	s := &Sim{sc: sc, opt: opt}
	s.world = emulator.New(sc, s)
	s.world.Follow(opt.Follow)
	for i := range sc.Proxies.Count {
		s.nodes = append(s.nodes, &node{sim: s, id: i})
	}
	for i := range s.nodes {
		if err := s.start(i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// World is the world of the run.
func (s *Sim) World() *emulator.World { return s.world }

// Run plays the scenario to its end and past it, until nothing can be out any more.
func (s *Sim) Run() *emulator.Result {
	var began time.Time
	if s.opt.Clock != nil {
		began = s.opt.Clock()
	}
	s.world.Start()
	end := s.world.End()
	for at := time.Duration(0); at < end; {
		at = min(end, at+time.Second)
		s.world.Clock.Run(at)
		if s.opt.Progress != nil {
			s.opt.Progress(at, end)
		}
	}
	r := s.world.Result()
	r.Policy, r.Mode = s.opt.Policy, "virtual"
	if s.opt.Pool != "" {
		r.Policy += ", pool " + s.opt.Pool
	}
	r.Hash = fmt.Sprintf("%016x", s.world.Hash())
	if s.opt.Clock != nil {
		r.Took = s.opt.Clock().Sub(began)
	}
	return r
}

// Run plays a scenario.
func Run(sc *emulator.Scenario, opt Options) (*emulator.Result, error) {
	s, err := New(sc, opt)
	if err != nil {
		return nil, err
	}
	return s.Run(), nil
}

// node is a proxy: a reducer, and what stands for its sockets.
type node struct {
	sim       *Sim
	id        int
	life      int // counts its processes
	state     *reducer.State
	busy      time.Duration // its processor is, until then
	armed     int           // counts what ArmTimer asked for; older ones do nothing
	callers   map[reducer.ConnID]*callerLeg
	hops      map[reducer.ConnID]*hopLeg
	last      reducer.ConnID
	addresses map[lg.ServerID]int
	version   uint64
	watch     *emulator.Lookup
	address   string // where it asks discovery
	asked     *emulator.Ask
	ids       map[lg.RequestID]bool // that of the followed request
	stopping  bool
}

type callerLeg struct {
	id   reducer.ConnID
	leg  *emulator.Leg
	ask  *emulator.Ask
	part bool
}

type hopLeg struct {
	id     reducer.ConnID
	server lg.ServerID
	hop    *emulator.Hop
	open   bool // it has come up
	busy   bool // an answer is owed
	stray  bool // something came that nobody asked for
}

// decider makes what a proxy decides by.
func (s *Sim) decider(n *node, set lg.Settings, seed uint64) (reducer.Decider, error) {
	var d reducer.Decider
	var err error
	switch {
	case s.opt.Decider != nil:
		d, err = s.opt.Decider(set, seed)
	case s.opt.Policy == Module:
		d, err = lg.New(set, seed)
	default:
		d, err = baselines.New(s.opt.Policy, set, seed)
	}
	if err != nil || s.opt.Follow == 0 {
		return d, err
	}
	return &followed{Decider: d, node: n}, nil
}

// budget is a proxy's part of its descriptors, as the program divides them.
func budget(sockets int) (callers, hops int) {
	sockets -= 40
	return sockets * 5 / 8, sockets * 3 / 8
}

// start starts a proxy's process.
func (s *Sim) start(i int) error {
	n := s.nodes[i]
	set := s.sc.Settings(i)
	n.life++
	seed := s.sc.Seed<<20 ^ uint64(i)<<8 ^ uint64(n.life)
	d, err := s.decider(n, set, seed*0x9e3779b97f4a7c15)
	if err != nil {
		return err
	}
	callers, hops := budget(s.sc.Proxies.Sockets)
	n.address = s.world.DiscoveryAddress()
	n.state, err = reducer.New(reducer.Config{Settings: set, Seed: seed, MaxClients: callers,
		SkipSendChecks:    s.opt.Unguarded,
		MaxServerConns:    hops,
		ServerIdleTimeout: s.sc.Servers.KeepAlive / 4, Discovery: n.address, Decider: d, Pool: Pools[s.opt.Pool]})
	if err != nil {
		return err
	}
	n.callers, n.hops = map[reducer.ConnID]*callerLeg{}, map[reducer.ConnID]*hopLeg{}
	n.addresses, n.version, n.stopping, n.busy = map[lg.ServerID]int{}, 0, false, 0
	n.ids = map[lg.RequestID]bool{}
	list := n.list(s.world.Known(i))
	list.Kind = lg.CachedList
	n.post(reducer.ListReceived{List: list})
	s.world.ProxyReady(i)
	return nil
}

// post has an event taken when the node's processor comes to it.
func (n *node) post(ev reducer.Event) { n.postFor(nil, ev) }

// postFor posts an event that belongs to a request.
func (n *node) postFor(ask *emulator.Ask, ev reducer.Event) {
	w := n.sim.world
	at := max(w.Clock.Now(), n.busy)
	n.busy = at + n.sim.sc.Proxies.Step
	life := n.life
	w.Clock.At(n.busy, func() {
		if n.state == nil || n.life != life {
			return
		}
		n.step(ask, ev)
	})
}

func (n *node) step(ask *emulator.Ask, ev reducer.Event) {
	if n.sim.opt.Deafen != nil && n.sim.opt.Deafen(n.id, ev) {
		return
	}
	if q, ok := ev.(reducer.ClientIdleConfirmed); ok &&
		(n.callers[q.Conn] == nil || n.callers[q.Conn].ask != nil) {
		return // something has come meanwhile
	}
	w := n.sim.world
	if w.Followed(ask) {
		w.Tracef("event    proxy %d: %T%+v", n.id, ev, brief(ev))
	}
	n.asked = ask
	for _, e := range n.state.Step(longAgo+w.Clock.Now(), ev) {
		if n.sim.opt.Tamper == nil {
			n.carryOut(e)
			continue
		}
		for _, e := range n.sim.opt.Tamper(n.id, e) {
			n.carryOut(e)
		}
	}
	n.asked = nil
}

// brief leaves payloads out of what a trace shows.
func brief(ev reducer.Event) any {
	switch ev := ev.(type) {
	case reducer.RequestReceived:
		ev.Payload = nil
		return ev
	case reducer.ServerAnswered:
		ev.Payload = nil
		return ev
	}
	return ev
}

// effects names what an effect asks for, in traces.
var effects = map[reducer.Do]string{reducer.AnswerClient: "AnswerCaller", reducer.Dial: "Dial",
	reducer.Forward: "Forward", reducer.CloseServerConn: "CloseHop"}

func (n *node) carryOut(e reducer.Effect) {
	w := n.sim.world
	w.LogEffect(n.id, uint64(e.Do), uint64(e.Conn), uint64(e.Server))
	switch e.Do {
	case reducer.AnswerClient:
		c := n.callers[e.Conn]
		if c == nil {
			return
		}
		ask := c.ask
		c.ask = nil
		if w.Followed(ask) {
			w.Tracef("effect   proxy %d: %s verdict %d, advice %v", n.id, effects[e.Do], e.Verdict, e.RetryAfter)
		}
		ans := emulator.Answer{RetryAfter: e.RetryAfter, Last: e.Last}
		switch e.Verdict {
		case reducer.Served:
			ans.Status = 200
			if r, ok := e.Payload.(*emulator.Reply); ok {
				ans.Token = r.Attempt.Ask.Token()
			}
		case reducer.Rejected:
			ans.Status = 503
		case reducer.DeadlineExceeded:
			ans.Status = 504
		default:
			ans.Status = 502
		}
		w.Clock.At(w.Clock.Now(), func() { w.Answered(c.leg, ans) })
		n.postFor(ask, reducer.ResponseWritten{Conn: e.Conn, OK: true})
	case reducer.CheckClientIdle:
		n.post(reducer.ClientIdleConfirmed{Conn: e.Conn})
	case reducer.DrainAcceptQueue:
		n.post(reducer.AcceptQueueDrained{})
	case reducer.CloseClientWrite:
		if c := n.callers[e.Conn]; c != nil {
			c.part = true
			w.Clock.At(w.Clock.Now(), func() { w.Closed(c.leg) })
		}
	case reducer.CloseClientConn:
		if c := n.callers[e.Conn]; c != nil {
			delete(n.callers, e.Conn)
			c.leg.Data = nil
			w.Clock.At(w.Clock.Now(), func() { w.Closed(c.leg) })
		}
	case reducer.Dial:
		n.dial(e)
	case reducer.Forward:
		n.forward(e)
	case reducer.CloseServerConn:
		if h := n.hops[e.Conn]; h != nil {
			n.close(h)
		}
	case reducer.ArmTimer:
		n.armed++
		mine, life := n.armed, n.life
		w.Clock.At(e.At-longAgo, func() {
			if n.armed == mine && n.life == life {
				n.post(reducer.TimerFired{})
			}
		})
	case reducer.Watch:
		n.ask(e.Text, e.At-longAgo, e.GiveUpAt-longAgo)
	case reducer.Finish:
		n.end(false)
	}
}

// dial opens a hop leg; it must be up by the effect's time.
func (n *node) dial(e reducer.Effect) {
	w := n.sim.world
	at, ok := n.addresses[e.Server]
	if !ok {
		n.post(reducer.ServerDialed{Conn: e.Conn})
		return
	}
	if w.Followed(n.asked) {
		w.Tracef("effect   proxy %d: Dial hop leg %d to server %d until %v", n.id, e.Conn, at, e.At-longAgo)
	}
	h := &hopLeg{id: e.Conn, server: e.Server}
	n.hops[e.Conn] = h
	h.hop = w.Open(n.id, at, h)
	life := n.life
	w.Clock.At(e.At-longAgo, func() {
		if n.life == life && n.hops[h.id] == h && !h.open {
			n.close(h)
			n.post(reducer.ServerDialed{Conn: h.id})
		}
	})
}

func (n *node) forward(e reducer.Effect) {
	w := n.sim.world
	ask, ok := e.Payload.(*emulator.Ask)
	h := n.hops[e.Conn]
	if !ok {
		return
	}
	if w.Followed(ask) {
		w.Tracef("effect   proxy %d: Forward on hop leg %d until %v", n.id, e.Conn, e.At-longAgo)
	}
	if h == nil || h.stray {
		n.postFor(ask, reducer.ServerConnUnusable{Conn: e.Conn})
		return
	}
	h.busy = true
	w.Forward(h.hop, ask)
	n.postFor(ask, reducer.RequestWritten{Conn: e.Conn, OK: true})
}

func (n *node) close(h *hopLeg) {
	delete(n.hops, h.id)
	h.hop.Data = nil
	n.sim.world.CloseHop(h.hop)
}

// giveUpSlack is how much later than the reducer a call ends itself, as on sockets.
const giveUpSlack = time.Second

// ask calls discovery, which may wait for news until a moment, and gives the call up at another.
func (n *node) ask(address string, until, giveUp time.Duration) {
	w := n.sim.world
	if n.watch != nil {
		w.GiveUp(n.watch)
	}
	if n.address != address {
		n.address, n.version = address, 0
	}
	c := w.Lookup(n.id, address, n.version, until, nil)
	n.watch = c
	life := n.life
	w.Clock.At(giveUp+giveUpSlack, func() {
		if n.life == life && n.watch == c {
			n.watch = nil
			w.GiveUp(c)
			n.post(reducer.ListReceived{List: lg.List{Kind: lg.ListFailed}, NextFull: n.version == 0})
		}
	})
}

var states = [...]lg.State{emulator.Ready: lg.Ready, emulator.Draining: lg.Draining, emulator.Gone: lg.Gone}

// list turns discovery's answer into the reducer's.
func (n *node) list(d *emulator.Doc) lg.List {
	list := lg.List{Kind: lg.Changes}
	if d.Full {
		list.Kind = lg.FullList
		clear(n.addresses)
	}
	for _, e := range d.Entries {
		id := serverlist.ID(e.Name)
		l := lg.Server{ID: id, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: states[e.State], Weight: e.Weight}
		if e.Started > 0 {
			l.Started = longAgo + e.Started
		}
		if e.State == emulator.Gone {
			delete(n.addresses, id)
		} else {
			n.addresses[id] = e.Address
		}
		list.Servers = append(list.Servers, l)
	}
	n.version = d.Version
	return list
}

// end ends the process.
func (n *node) end(crashed bool) {
	n.life++
	n.state = nil
	n.watch = nil
	for _, c := range n.callers {
		c.leg.Data = nil
	}
	for _, h := range n.hops {
		h.hop.Data = nil
	}
	n.sim.world.ProxyEnded(n.id, crashed)
}

// The world's driver.

// Dial opens a caller leg.
func (s *Sim) Dial(l *emulator.Leg) {
	n := s.nodes[l.Proxy]
	if n.state == nil || n.stopping && len(n.callers) == 0 {
		s.world.Clock.At(s.world.Clock.Now(), func() { s.world.Dialed(l, false) })
		return
	}
	n.last++
	c := &callerLeg{id: n.last, leg: l}
	l.Data = c
	n.callers[c.id] = c
	n.post(reducer.ClientOpened{Conn: c.id})
	s.world.Clock.At(s.world.Clock.Now(), func() { s.world.Dialed(l, true) })
}

// Ask brings a request in.
func (s *Sim) Ask(l *emulator.Leg, a *emulator.Ask) {
	n := s.nodes[l.Proxy]
	c, ok := l.Data.(*callerLeg)
	if !ok || n.state == nil {
		return // what closed it is on its way
	}
	c.ask = a
	n.postFor(a, reducer.RequestReceived{Conn: c.id, Name: a.Name, Class: a.Call.Class, Tenant: a.Call.Tenant,
		Key: a.Call.Key, HasKey: a.Call.Key != 0, Deadline: longAgo + a.GiveUp, Repeat: a.Repeat, Payload: a})
}

// Close closes a caller leg from the client's side.
func (s *Sim) Close(l *emulator.Leg) {
	n := s.nodes[l.Proxy]
	c, ok := l.Data.(*callerLeg)
	if !ok || n.state == nil {
		return
	}
	l.Data = nil
	delete(n.callers, c.id)
	n.postFor(c.ask, reducer.ClientClosed{Conn: c.id})
}

// hop finds the leg of a connection, unless the proxy has closed it or is gone.
func (s *Sim) hop(h *emulator.Hop) (*node, *hopLeg) {
	l, ok := h.Data.(*hopLeg)
	n := s.nodes[h.Proxy]
	if !ok || n.state == nil || n.hops[l.id] != l {
		return nil, nil
	}
	return n, l
}

// Accepted ends a Dial.
func (s *Sim) Accepted(h *emulator.Hop, ok bool) {
	n, l := s.hop(h)
	if n == nil {
		return
	}
	l.open = ok
	if !ok {
		delete(n.hops, l.id)
	}
	n.post(reducer.ServerDialed{Conn: l.id, OK: ok})
}

// Answer brings a server's answer.
func (s *Sim) Answer(h *emulator.Hop, r *emulator.Reply) {
	n, l := s.hop(h)
	if n == nil {
		return
	}
	ask := r.Attempt.Ask
	if !l.busy {
		l.stray = true
		n.post(reducer.UnexpectedServerData{Conn: l.id})
		return
	}
	l.busy = false
	ev := reducer.ServerAnswered{Conn: l.id, Result: lg.OK, Payload: r, Reusable: !r.Last}
	switch r.Kind {
	case emulator.Failed:
		ev.Result = lg.ServerError
	case emulator.NotStarted:
		ev.Result = lg.Full
	case emulator.Garbled:
		ev.Result, ev.Reusable = lg.ServerError, false
	}
	if r.Kind != emulator.Garbled {
		ev.Load = lg.LoadReport{N: 2, Values: [4]float64{r.Load.InFlight, r.Load.LatencyMS}}
	}
	n.postFor(ask, ev)
}

// Reset breaks a hop leg.
func (s *Sim) Reset(h *emulator.Hop) { s.End(h) }

// End closes a hop leg from the server's side.
func (s *Sim) End(h *emulator.Hop) {
	n, l := s.hop(h)
	if n == nil {
		return
	}
	delete(n.hops, l.id)
	if !l.open {
		n.post(reducer.ServerDialed{Conn: l.id})
		return
	}
	n.post(reducer.ServerClosed{Conn: l.id})
}

// Tell brings discovery's answer.
func (s *Sim) Tell(c *emulator.Lookup, d *emulator.Doc) {
	n := s.nodes[c.Proxy]
	if n.state == nil || n.watch != c {
		return
	}
	n.watch = nil
	if d == nil {
		n.post(reducer.ListReceived{List: lg.List{Kind: lg.ListFailed}, NextFull: n.version == 0})
		return
	}
	list := n.list(d)
	n.post(reducer.ListReceived{List: list, NextFull: n.version == 0})
}

// Moved has a proxy reload.
func (s *Sim) Moved(proxy int) {
	n := s.nodes[proxy]
	if n.state == nil {
		return
	}
	callers, hops := budget(s.sc.Proxies.Sockets)
	n.post(reducer.Reloaded{Discovery: s.world.DiscoveryAddress(), MaxClients: callers, MaxServerConns: hops})
}

// killAfter is how long a planned stop may take beyond the longest deadline.
const killAfter = 700 * time.Millisecond

// Stop ends a proxy: at once, or as planned.
func (s *Sim) Stop(proxy int, hard bool) {
	n := s.nodes[proxy]
	if n.state == nil {
		return
	}
	if hard {
		n.end(false)
		return
	}
	n.stopping = true
	n.post(reducer.Stopping{})
	longest := 3 * time.Second
	for _, c := range s.sc.Classes {
		longest = max(longest, c.Deadline)
	}
	life := n.life
	s.world.Clock.After(longest+killAfter, func() {
		if n.life == life {
			n.end(false)
		}
	})
}

// Start starts a proxy anew.
func (s *Sim) Start(proxy int) {
	if err := s.start(proxy); err != nil {
		panic(err) // the same settings were taken at the run's start
	}
}

// Reach is nothing to do here: the world itself refuses connections, or keeps silent.
func (s *Sim) Reach(*emulator.Server, emulator.Reach) {}

// followed shows a decider's events and actions for the request that is traced.
type followed struct {
	reducer.Decider
	node *node
}

// Handle hands an event on.
func (f *followed) Handle(now time.Duration, ev lg.Event) []lg.Action {
	w := f.node.sim.world
	var id lg.RequestID
	switch ev := ev.(type) {
	case lg.Request:
		if id = ev.ID; w.Followed(f.node.asked) {
			f.node.ids[id] = true
		}
	case lg.Outcome:
		id = ev.Request
	case lg.Departed:
		id = ev.Request
	}
	if f.node.ids[id] {
		w.Tracef("decider  proxy %d hears %T%+v", f.node.id, ev, ev)
	}
	acts := f.Decider.Handle(now, ev)
	for _, a := range acts {
		if f.node.ids[a.Request] && (a.Do == lg.Send || a.Do == lg.Refuse || a.Do == lg.Fail) {
			w.Tracef("decision proxy %d: %s server %x for %v", f.node.id,
				map[lg.Do]string{lg.Send: "send to", lg.Refuse: "refuse", lg.Fail: "fail"}[a.Do], uint64(a.Server), a.For)
		}
	}
	return acts
}
