// Package pool keeps the connections to next hops (legs): which exist, which is given to a branch,
// which are opened and which closed. It is pure: methods take the absolute time where they need it
// and leave what is to be done in Acts, in its order. It knows neither requests nor protocols; a
// branch is a ticket to it.
package pool

import (
	"cmp"
	"slices"
	"time"

	lg "lilacglade"
)

// ConnID numbers a leg. Numbers are never used twice.
type ConnID uint64

// Config is what a Pool knows from its start on.
type Config struct {
	MaxConns    int           // legs held at once, over all next hops
	IdleTimeout time.Duration // an idle leg is closed after this at the latest
	// What the lab plays beside the pool's own ways; the proxy leaves all of it out.
	Order        Order
	Eager        bool // each branch that finds no idle leg has one opened
	NoLearning   bool // nothing is learned of legs dropped in silence, nor of openings that fail
	MaxPerServer int  // legs of a next hop at most; 0: no such bound
}

// Order is the order in which idle legs are used again.
type Order uint8

// The orders. Newest first keeps a small hot set and lets the rest age out.
const (
	Newest Order = iota
	Oldest
	LeastUsed
)

// ActionKind says what an Act asks for.
type ActionKind uint8

// The acts.
const (
	Open   ActionKind = iota // open Conn; Opened follows, or Drop. Ticket waits for it, zero when ahead
	Close                    // close Leg, which the pool has forgotten
	Assign                   // Leg is Ticket's until Free, Drop or Lost
	Refuse                   // Ticket gets no leg: it can't be opened, or its next hop takes nothing new
)

// OpenResult is how the opening of a leg went.
type OpenResult uint8

// The ways. A LocalFault is this machine's own: it says nothing of the next hop.
const (
	OpenFailed OpenResult = iota
	OpenOK
	OpenLocalFault
)

// Action is something to be done. Which fields count depends on Do.
type Action[T comparable] struct {
	Kind       ActionKind
	Conn       *Conn[T]
	Ticket     T
	LocalFault bool // Refuse: for a fault of this machine
}

// phase is where a leg stands.
type phase uint8

const (
	opening phase = iota
	fresh         // just come up
	idle
	given
	closed
)

// Conn is a connection to a next hop.
type Conn[T comparable] struct {
	ID      ConnID
	Server  *Server[T]
	IdleFor time.Duration // how long it was idle before it was given the last time; 0 when just opened
	phase   phase
	since   time.Duration // start of the phase
	uses    int
}

// State is what the server list says of the next hop.
func (h *Server[T]) State() lg.State { return h.state }

// Opening tells whether it has not come up yet.
func (l *Conn[T]) Opening() bool { return l.phase == opening }

// Idle tells whether it is nobody's.
func (l *Conn[T]) Idle() bool { return l.phase == idle }

// Server is a next hop.
type Server[T comparable] struct {
	ID      lg.ServerID
	state   lg.State
	idle    []*Conn[T] // newest last
	waiting []T        // oldest first
	opening int
	rest    rest
	doubted *Conn[T] // given although it has rested for longer than is proved

	answered time.Duration // when it last answered, on any leg
	legs     int           // of its, being opened or open
	pace     pace
	cap      int           // legs that it seems to accept from here; 0: not known
	capAt    time.Duration // when that was last learned or raised
	Counts   Counts
	openAt   time.Duration // none is opened before
	backoff  time.Duration // the wait that led to it
}

// Pool is the legs to all next hops. New makes one; one goroutine owns it.
type Pool[T comparable] struct {
	Actions []Action[T] // to be done; whoever does them empties it
	cfg     Config
	hops    map[lg.ServerID]*Server[T]
	legs    int
	last    ConnID
	trust   trust
	limit   time.Duration // an idle leg is closed after this, as far as is known

	fresh   float64    // legs lost lately that had hardly rested
	lostHop *Server[T] // the next hop that last lost a rested leg, and when
	lostAt  time.Duration
}

// New returns an empty Pool.
func New[T comparable](cfg Config) *Pool[T] {
	return &Pool[T]{cfg: cfg, hops: map[lg.ServerID]*Server[T]{}, limit: cfg.IdleTimeout}
}

// SetMaxConns sets how many legs may be held at once from now on. Idle ones beyond are closed at once, the
// longest idle first.
func (p *Pool[T]) SetMaxConns(most int) {
	p.cfg.MaxConns = most
	for held := p.legs + 1; p.legs > most && p.legs < held; {
		held = p.legs
		p.room()
	}
}

// Server is a next hop; one that the server list does not name takes nothing.
func (p *Pool[T]) Server(id lg.ServerID) *Server[T] {
	if h := p.hops[id]; h != nil {
		return h
	}
	return &Server[T]{ID: id, state: lg.Gone}
}

// Ready tells whether there is a next hop that takes requests.
func (p *Pool[T]) Ready() bool {
	for _, h := range p.hops {
		if h.state == lg.Ready {
			return true
		}
	}
	return false
}

// Listed counts the next hops, and those of them that take nothing new.
func (p *Pool[T]) Listed() (all, draining int) {
	for _, h := range p.hops {
		if h.state != lg.Ready {
			draining++
		}
	}
	return len(p.hops), draining
}

// Servers lists the next hops, by id.
func (p *Pool[T]) Servers() []*Server[T] {
	all := make([]*Server[T], 0, len(p.hops))
	for _, h := range p.hops {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *Server[T]) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (p *Pool[T]) do(a Action[T]) { p.Actions = append(p.Actions, a) }

// SetServerState notes what the server list says of a next hop. One that takes nothing new needs no idle legs,
// and who waits for one hears at once: there is time for another next hop.
func (p *Pool[T]) SetServerState(id lg.ServerID, state lg.State) {
	h := p.hops[id]
	if h == nil {
		if state == lg.Gone {
			return
		}
		h = &Server[T]{ID: id, rest: rest{proved: p.cfg.IdleTimeout}}
		p.hops[id] = h
	}
	if h.state = state; state == lg.Ready {
		return
	}
	p.empty(h, byList)
	for _, t := range h.waiting {
		p.do(Action[T]{Kind: Refuse, Ticket: t})
	}
	h.waiting = nil
	if state == lg.Gone {
		delete(p.hops, id)
	}
}

// empty closes the idle legs of a next hop.
func (p *Pool[T]) empty(h *Server[T], why int) {
	for len(h.idle) > 0 {
		p.drop(h.idle[0], why)
	}
}

// Acquire asks for a leg: the newest idle one that is trusted, or one that is opened. A careful ticket,
// whose request must not be lost, gets none that is in doubt while another can be opened.
func (p *Pool[T]) Acquire(now time.Duration, h *Server[T], t T, careful bool) {
	h.pace.asked++
	if h.state != lg.Ready {
		p.do(Action[T]{Kind: Refuse, Ticket: t})
		return
	}
	var doubtful *Conn[T]
	if len(h.idle) > 0 {
		l := p.next(h)
		switch rested := now - l.since; {
		case rested >= min(p.limit, h.rest.limit()):
			p.empty(h, byRest) // the newest is no longer trusted
		case rested <= h.rest.proved:
			p.take(h, l)
			p.give(now, l, t)
			p.ahead(now, h)
			return
		default:
			doubtful = l
		}
	}
	// Guards against losing one request after the other to legs that were dropped in silence: only
	// one in doubt is tried at a time, by a request that can be sent again.
	if doubtful != nil && h.doubted == nil && (!careful || h.rest.overdue(now)) {
		p.doubt(now, h, doubtful, t)
		return
	}
	if len(h.idle) >= mostDoubtful { // in place of, not beside, the one that has rested longest
		p.drop(h.idle[0], byRest)
	}
	// What is being opened and for which nobody waits any more does for this one; and so does a leg in
	// use that is expected back before a new one would be of use.
	lacks := len(h.waiting) + 1 - h.opening
	if lacks > 0 && !p.sooner(h, lacks) && !p.open(now, h, t) {
		if doubtful != nil && doubtful.phase == idle {
			p.doubt(now, h, doubtful, t)
			return
		}
		p.do(Action[T]{Kind: Refuse, Ticket: t})
		return
	}
	h.waiting = append(h.waiting, t)
}

// next is the idle leg to be used next.
func (p *Pool[T]) next(h *Server[T]) *Conn[T] {
	l := h.idle[len(h.idle)-1]
	switch p.cfg.Order {
	case Oldest:
		l = h.idle[0]
	case LeastUsed:
		for _, o := range h.idle {
			if o.uses < l.uses {
				l = o
			}
		}
	}
	return l
}

// take takes a leg from the idle ones, in order.
func (p *Pool[T]) take(h *Server[T], l *Conn[T]) {
	if n := len(h.idle); h.idle[n-1] == l {
		h.idle = h.idle[:n-1]
		return
	}
	h.idle = slices.DeleteFunc(h.idle, func(o *Conn[T]) bool { return o == l })
}

// open opens a leg, unless that has failed just now, the next hop has its part of the legs already,
// or there is no descriptor.
func (p *Pool[T]) open(now time.Duration, h *Server[T], t T) bool {
	if h.state != lg.Ready || now < h.openAt || h.legs >= p.part() || h.cap > 0 && h.legs >= h.cap || !p.room() {
		return false
	}
	h.Counts.Opened++
	h.opening++
	h.legs++
	p.last++
	p.legs++
	p.do(Action[T]{Kind: Open, Conn: &Conn[T]{ID: p.last, Server: h, since: now}, Ticket: t})
	return true
}

// busy is how many legs are in use.
func (h *Server[T]) busy() int { return h.legs - h.opening - len(h.idle) }

// sooner tells whether the last of so many tickets that lack a leg is expected to get one that is in
// use before a new one would be of use to it. Guards against a storm of openings: where answers come
// faster than connections do, each costs the next hop more work than it saves anybody time.
func (p *Pool[T]) sooner(h *Server[T], lacks int) bool {
	busy := h.busy()
	if p.cfg.Eager || busy <= 0 {
		return false
	}
	return waitParts*h.pace.hold*time.Duration(lacks) < h.pace.price()*time.Duration(busy)
}

// waitParts: a wait for a leg in use may be expected to take one of so many parts of what a new leg
// costs. Exchanges differ, and one that has taken long already will most likely take longer still.
const waitParts = 4

// HasUnservedWaiters tells whether more tickets wait than legs are being opened.
func (h *Server[T]) HasUnservedWaiters() bool { return len(h.waiting) > h.opening }

// WaitTimeout is how long a ticket that waits for a leg in use does so before Press is worth a call.
func (h *Server[T]) WaitTimeout() time.Duration { return h.pace.price() / 2 }

// OpenForWaiters opens legs for the tickets that wait for legs in use, which are late: they may never
// come back.
func (p *Pool[T]) OpenForWaiters(now time.Duration, h *Server[T]) {
	for len(h.waiting) > h.opening && p.open(now, h, h.waiting[h.opening]) {
	}
}

// ahead opens a leg before it is wanted, when the last idle one was taken and traffic wants more.
func (p *Pool[T]) ahead(now time.Duration, h *Server[T]) {
	if p.cfg.Eager || len(h.idle) > 0 || h.opening > 0 || p.legs >= p.cfg.MaxConns || h.legs >= h.pace.want() {
		return
	}
	var nobody T
	if p.open(now, h, nobody) {
		h.Counts.OpenedAhead++
	}
}

// ConnLimitReached says that a next hop turned away the first request on a leg and closed it: it holds as
// many as it accepts. Of these this proxy's are so many.
func (p *Pool[T]) ConnLimitReached(now time.Duration, l *Conn[T]) {
	if h := l.Server; l.uses == 1 && !p.cfg.NoLearning {
		h.cap, h.capAt = max(1, h.legs-1), now
	}
}

// stranded sees to tickets that wait for legs in use when none is in use any more.
func (p *Pool[T]) stranded(now time.Duration, h *Server[T]) {
	for len(h.waiting) > h.opening && h.busy() <= 0 {
		t := h.waiting[h.opening]
		if p.open(now, h, t) {
			continue
		}
		h.waiting = slices.Delete(h.waiting, h.opening, h.opening+1)
		p.do(Action[T]{Kind: Refuse, Ticket: t})
	}
}

// part is how many legs one next hop may hold. Guards against one that hangs and takes them all.
func (p *Pool[T]) part() int {
	if p.cfg.MaxPerServer > 0 {
		return p.cfg.MaxPerServer
	}
	if len(p.hops) < 2 {
		return p.cfg.MaxConns
	}
	return max(1, p.cfg.MaxConns/hopParts)
}

// hopParts: a next hop among several may hold one of so many parts of all legs.
const hopParts = 2

// After an opening that failed none is tried for a while, which doubles from firstBackoff to
// mostBackoff: whoever would wait for it is better off elsewhere, at once.
const (
	firstBackoff = 20 * time.Millisecond
	mostBackoff  = time.Second
)

// capFor is how long a learned cap holds before one leg more is tried: others may have closed theirs.
const capFor = 5 * time.Second

// mostDoubtful idle legs are kept while none of them is trusted.
const mostDoubtful = 3

// doubt gives a leg that is in doubt.
func (p *Pool[T]) doubt(now time.Duration, h *Server[T], l *Conn[T], t T) {
	p.take(h, l)
	h.doubted, h.rest.owed = l, false
	p.give(now, l, t)
}

// room makes sure of a descriptor for one more leg: at the cap the leg that has been idle longest,
// of any next hop, is closed.
func (p *Pool[T]) room() bool {
	if p.legs < p.cfg.MaxConns {
		return true
	}
	var oldest *Conn[T]
	for _, h := range p.hops {
		if len(h.idle) == 0 {
			continue
		}
		l := h.idle[0]
		if oldest == nil || l.since < oldest.since || l.since == oldest.since && l.ID < oldest.ID {
			oldest = l
		}
	}
	if oldest != nil {
		p.drop(oldest, byRoom)
	}
	return oldest != nil
}

func (p *Pool[T]) give(now time.Duration, l *Conn[T], t T) {
	l.IdleFor = 0
	if l.phase == idle {
		l.IdleFor = now - l.since
	}
	l.phase, l.since = given, now
	l.uses++
	p.do(Action[T]{Kind: Assign, Conn: l, Ticket: t})
}

// CancelWait says that a ticket waits no more.
func (p *Pool[T]) CancelWait(h *Server[T], t T) {
	h.waiting = slices.DeleteFunc(h.waiting, func(o T) bool { return o == t })
}

// Opened says how the opening of a leg went.
func (p *Pool[T]) Opened(now time.Duration, l *Conn[T], how OpenResult) {
	h := l.Server
	h.opening--
	if how == OpenOK {
		l.phase = fresh
		h.openAt, h.backoff = 0, 0
		h.pace.opened(now - l.since)
		p.free(now, l)
		return
	}
	p.legs--
	h.legs--
	l.phase = closed
	local := how == OpenLocalFault
	if !local {
		h.Counts.Failed++
		h.backoff = min(max(firstBackoff, 2*h.backoff), mostBackoff)
		h.openAt = now + h.backoff
	}
	// Whoever waits longest hears of it at once: nothing of it has been sent.
	if len(h.waiting) > h.opening && (h.busy() <= 0 || !p.sooner(h, len(h.waiting)-h.opening)) {
		t := h.waiting[0]
		h.waiting = h.waiting[1:]
		p.do(Action[T]{Kind: Refuse, Ticket: t, LocalFault: local})
	}
	p.stranded(now, h)
}

// Release takes a leg back after an exchange.
func (p *Pool[T]) Release(now time.Duration, l *Conn[T]) {
	l.Server.pace.held(now-l.since, l.uses == 1)
	p.free(now, l)
}

// ReleaseUnused takes a leg back that was given and on which nothing was written.
func (p *Pool[T]) ReleaseUnused(now time.Duration, l *Conn[T]) {
	if l.IdleFor > 0 { // how long it has rested by now would be lost
		p.drop(l, byRest)
		return
	}
	l.uses--
	p.free(now, l)
}

// free gives a leg that is nobody's to the ticket that has waited longest, or keeps it idle. The
// server list counts as it is now: the next hop may have begun to drain while the leg was opened or in
// use.
func (p *Pool[T]) free(now time.Duration, l *Conn[T]) {
	h := l.Server
	switch {
	case h.state != lg.Ready:
		p.drop(l, byList)
	case len(h.waiting) > 0:
		t := h.waiting[0]
		h.waiting = h.waiting[1:]
		p.give(now, l, t)
	default:
		l.phase, l.since = idle, now
		h.idle = append(h.idle, l)
	}
}

// Drop closes a leg after an exchange that left it of no more use.
func (p *Pool[T]) Drop(now time.Duration, l *Conn[T]) {
	p.drop(l, byUse)
	p.stranded(now, l.Server)
}

func (p *Pool[T]) drop(l *Conn[T], why int) {
	p.do(Action[T]{Kind: Close, Conn: l})
	p.forget(l, why)
}

// PeerClosed forgets a leg that the other side has closed.
func (p *Pool[T]) PeerClosed(now time.Duration, l *Conn[T]) {
	p.forget(l, byOther)
	p.stranded(now, l.Server)
}

func (p *Pool[T]) forget(l *Conn[T], why int) {
	h := l.Server
	p.legs--
	h.legs--
	h.Counts.Closed[why]++
	if h.doubted == l {
		h.doubted = nil
	}
	switch l.phase {
	case opening:
		h.opening--
	case idle:
		p.take(h, l)
	}
	l.phase = closed
}

// RecordOutcome takes in how an exchange on a leg ended: with an answer, with the leg broken, or in silence.
func (p *Pool[T]) RecordOutcome(now time.Duration, l *Conn[T], how Outcome) {
	h := l.Server
	if h.doubted == l {
		h.doubted = nil
	}
	if p.cfg.NoLearning {
		return
	}
	if how == NoAnswer && h.answered <= l.since {
		return // it has answered on no leg since: it hangs, and the leg is not to blame
	}
	p.trust.add(l.IdleFor, how != Answered)
	p.limit = p.trust.limit(p.cfg.IdleTimeout)
	if how == Answered {
		h.rest.good(l.IdleFor)
		h.answered = now
		return
	}
	if l.IdleFor < shortRest {
		p.fresh++
	}
	if !h.rest.lost(now, l.IdleFor, p.cfg.IdleTimeout, how, p.fresh > freshMost) {
		return
	}
	// Two next hops that lose rested legs within a short while: what drops them may lie before all.
	if p.lostHop != h && now-p.lostAt < togetherFor {
		for _, o := range p.hops {
			o.rest.warn(now, l.IdleFor)
		}
	}
	p.lostHop, p.lostAt = h, now
}

// Sweep closes what has been idle too long, and lets what was learned fade. It is called every
// quarter of a second.
func (p *Pool[T]) Sweep(now time.Duration) {
	p.trust.forget()
	p.limit = p.trust.limit(p.cfg.IdleTimeout)
	p.fresh *= freshFade
	for _, h := range p.Servers() {
		h.rest.fade(now, p.cfg.IdleTimeout)
		h.pace.sweep()
		if h.cap > 0 && now-h.capAt >= capFor {
			if h.cap, h.capAt = h.cap+1, now; h.cap > p.part() {
				h.cap = 0
			}
		}
		for len(h.idle) > 0 && now-h.idle[0].since >= min(p.limit, h.rest.limit()) {
			p.drop(h.idle[0], byRest)
		}
	}
}
