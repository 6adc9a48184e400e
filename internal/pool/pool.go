// Package pool manages the proxy's connections to servers: which exist, which one an attempt gets, and
// when one is opened or closed. It is pure: methods take the current time as a duration since the start
// of the proxy's clock, and append what is to be done to Actions, in order. It knows neither requests
// nor protocols; an attempt is an opaque ticket to it.
package pool

import (
	"cmp"
	"slices"
	"time"

	lg "lilacglade"
)

// ConnID numbers a connection. Numbers are never reused.
type ConnID uint64

// Config is the fixed configuration of a Pool.
type Config struct {
	MaxConns    int           // connections held at once, over all servers
	IdleTimeout time.Duration // upper limit on how long a connection stays idle before it is closed
	// The remaining fields select pool policies that the lab compares; the proxy leaves them at zero.
	Order        Order
	Eager        bool // an attempt that finds no idle connection always has one opened
	NoLearning   bool // nothing is learned from connections dropped silently, nor from failed openings
	MaxPerServer int  // connections to one server; 0: no such limit
}

// Order is the order in which idle connections are reused.
type Order uint8

// The reuse orders. Newest first keeps a small set of connections in use and lets the others expire.
const (
	Newest Order = iota
	Oldest
	LeastUsed
)

// ActionKind is what an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	Open   ActionKind = iota // open Conn; Opened or Drop follows. Ticket waits for it, zero if opened ahead
	Close                    // close Conn, which the pool has already removed
	Assign                   // Conn belongs to Ticket until Release, ReleaseUnused, Drop or PeerClosed
	Refuse                   // Ticket gets no connection: none can be opened, or its server takes nothing new
)

// OpenResult is the result of opening a connection.
type OpenResult uint8

// The results. A local fault is one of the proxy's own host, and no evidence against the server.
const (
	OpenFailed OpenResult = iota
	OpenOK
	OpenLocalFault
)

// Action is something that the pool's owner has to do. Kind determines which fields are set.
type Action[T comparable] struct {
	Kind       ActionKind
	Conn       *Conn[T]
	Ticket     T
	LocalFault bool // Refuse: the cause is a fault of the proxy's own host
}

// phase is the state of a connection's lifecycle.
type phase uint8

const (
	opening phase = iota
	opened        // established, neither assigned nor idle yet
	idle
	assigned
	closed
)

// Conn is a connection to a server.
type Conn[T comparable] struct {
	ID      ConnID
	Server  *Server[T]
	IdleFor time.Duration // how long it had been idle when it was last assigned; 0 if just opened
	phase   phase
	since   time.Duration // start of the phase
	uses    int           // how often it was assigned
	process int           // value of Server.process when it was opened
}

// State is the server's state according to the server list.
func (s *Server[T]) State() lg.State { return s.state }

// Opening reports whether the connection is not established yet.
func (c *Conn[T]) Opening() bool { return c.phase == opening }

// Idle reports whether the connection is idle.
func (c *Conn[T]) Idle() bool { return c.phase == idle }

// Server is a server with its connections and the attempts that wait for one.
type Server[T comparable] struct {
	ID           lg.ServerID
	state        lg.State
	idle         []*Conn[T] // most recently used last
	waiting      []T        // oldest first
	opening      int        // connections being opened
	liveness     liveness
	process      int      // counts the processes that the server has been
	suspectInUse *Conn[T] // assigned although it had been idle for longer than is proven safe; nil: none

	lastAnswer  time.Duration // time of the last answer on any connection
	conns       int           // connections, being opened or open
	demand      demand
	connLimit   int           // connections that the server seems to accept from this proxy; 0: not known
	connLimitAt time.Duration // when connLimit was last learned or raised
	Counts      Counts
	openAfter   time.Duration // no connection is opened before this time
	backoff     time.Duration // the delay after which openAfter was set
}

// Pool holds the connections to all servers. Create it with New; it must be used by one goroutine only.
type Pool[T comparable] struct {
	Actions   []Action[T] // pending actions; the owner carries them out and empties the slice
	cfg       Config
	servers   map[lg.ServerID]*Server[T]
	conns     int // connections, being opened or open, over all servers
	lastID    ConnID
	histogram idleHistogram
	idleLimit time.Duration // an idle connection is closed after this, as learned over all servers

	freshLosses    float64    // decaying count of connections lost with almost no idle time before
	lastLossServer *Server[T] // the server that last lost a connection after an idle period
	lastLossAt     time.Duration
}

// New returns an empty Pool.
func New[T comparable](cfg Config) *Pool[T] {
	return &Pool[T]{cfg: cfg, servers: map[lg.ServerID]*Server[T]{}, idleLimit: cfg.IdleTimeout}
}

// SetMaxConns changes how many connections may be held at once. Idle connections beyond that are closed
// immediately, longest idle first.
func (p *Pool[T]) SetMaxConns(limit int) {
	p.cfg.MaxConns = limit
	for held := p.conns + 1; p.conns > limit && p.conns < held; {
		held = p.conns
		p.ensureSlot()
	}
}

// Server returns a server; one that is not in the server list is returned as gone.
func (p *Pool[T]) Server(id lg.ServerID) *Server[T] {
	if s := p.servers[id]; s != nil {
		return s
	}
	return &Server[T]{ID: id, state: lg.Gone}
}

// Ready reports whether at least one server takes requests.
func (p *Pool[T]) Ready() bool {
	for _, s := range p.servers {
		if s.state == lg.Ready {
			return true
		}
	}
	return false
}

// Listed counts the servers, and those of them that take no new requests.
func (p *Pool[T]) Listed() (all, draining int) {
	for _, s := range p.servers {
		if s.state != lg.Ready {
			draining++
		}
	}
	return len(p.servers), draining
}

// Servers returns the servers, sorted by ID.
func (p *Pool[T]) Servers() []*Server[T] {
	all := make([]*Server[T], 0, len(p.servers))
	for _, s := range p.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Server[T]) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (p *Pool[T]) emit(a Action[T]) { p.Actions = append(p.Actions, a) }

// SetServerState records the state that the server list gives for a server. If the server takes no new
// requests, its idle connections are closed and its waiting tickets are refused immediately, while
// there is still time for an attempt at another server.
func (p *Pool[T]) SetServerState(id lg.ServerID, state lg.State) {
	s := p.servers[id]
	if s == nil {
		if state == lg.Gone {
			return
		}
		s = &Server[T]{ID: id, liveness: liveness{proven: p.cfg.IdleTimeout}}
		p.servers[id] = s
	}
	if s.state = state; state == lg.Ready {
		return
	}
	p.closeIdle(s, causeServerState)
	for _, t := range s.waiting {
		p.emit(Action[T]{Kind: Refuse, Ticket: t})
	}
	s.waiting = nil
	if state == lg.Gone {
		delete(p.servers, id)
	}
}

// ReplaceServer records that a server is another process from now on: no connection to the one before is
// used again.
func (p *Pool[T]) ReplaceServer(id lg.ServerID) {
	if s := p.servers[id]; s != nil {
		s.process++
		p.closeIdle(s, causeServerState)
	}
}

// closeIdle closes a server's idle connections.
func (p *Pool[T]) closeIdle(s *Server[T], cause int) {
	for len(s.idle) > 0 {
		p.closeConn(s.idle[0], cause)
	}
}

// Acquire asks for a connection to a server: an idle one whose idle time is proven safe, else a new one.
// With unsafe set, the request must not be lost, and the ticket gets no suspect connection as long as
// another one can be opened.
func (p *Pool[T]) Acquire(now time.Duration, s *Server[T], t T, unsafe bool) {
	s.demand.requested++
	if s.state != lg.Ready {
		p.emit(Action[T]{Kind: Refuse, Ticket: t})
		return
	}
	var suspect *Conn[T]
	if len(s.idle) > 0 {
		c := p.nextIdle(s)
		switch idleFor := now - c.since; {
		case idleFor >= min(p.idleLimit, s.liveness.limit()):
			p.closeIdle(s, causeIdle) // even the next one to be used has been idle for too long
		case idleFor <= s.liveness.proven:
			p.removeIdle(s, c)
			p.assign(now, c, t)
			p.openAhead(now, s)
			return
		default:
			suspect = c
		}
	}
	// Otherwise one request after the other could be lost on connections that were dropped silently: only
	// one suspect connection is tried at a time, by a request that can be sent again.
	if suspect != nil && s.suspectInUse == nil && (!unsafe || s.liveness.probeOverdue(now)) {
		p.assignSuspect(now, s, suspect, t)
		return
	}
	if len(s.idle) >= maxUnprovenIdle { // the new connection replaces the one that has been idle longest
		p.closeConn(s.idle[0], causeIdle)
	}
	// A connection being opened whose ticket has been served or has stopped waiting serves this ticket; so
	// does a connection in use that is expected back before a new one would help.
	unserved := len(s.waiting) + 1 - s.opening
	if unserved > 0 && !p.reuseIsSooner(s, unserved) && !p.open(now, s, t) {
		if suspect != nil && suspect.phase == idle {
			p.assignSuspect(now, s, suspect, t)
			return
		}
		p.emit(Action[T]{Kind: Refuse, Ticket: t})
		return
	}
	s.waiting = append(s.waiting, t)
}

// nextIdle returns the idle connection to be used next.
func (p *Pool[T]) nextIdle(s *Server[T]) *Conn[T] {
	next := s.idle[len(s.idle)-1]
	switch p.cfg.Order {
	case Oldest:
		next = s.idle[0]
	case LeastUsed:
		for _, c := range s.idle {
			if c.uses < next.uses {
				next = c
			}
		}
	}
	return next
}

// removeIdle removes a connection from the idle ones and keeps their order.
func (p *Pool[T]) removeIdle(s *Server[T], c *Conn[T]) {
	if n := len(s.idle); s.idle[n-1] == c {
		s.idle = s.idle[:n-1]
		return
	}
	s.idle = slices.DeleteFunc(s.idle, func(other *Conn[T]) bool { return other == c })
}

// open opens a connection and reports whether it could: not while the server is backing off, holds its
// maximum of connections already, or no slot is left in the pool.
func (p *Pool[T]) open(now time.Duration, s *Server[T], t T) bool {
	if s.state != lg.Ready || now < s.openAfter || s.conns >= p.maxPerServer() ||
		s.connLimit > 0 && s.conns >= s.connLimit || !p.ensureSlot() {
		return false
	}
	s.Counts.Opened++
	s.opening++
	s.conns++
	p.lastID++
	p.conns++
	c := &Conn[T]{ID: p.lastID, Server: s, since: now, process: s.process}
	p.emit(Action[T]{Kind: Open, Conn: c, Ticket: t})
	return true
}

// inUse is the number of connections that are assigned.
func (s *Server[T]) inUse() int { return s.conns - s.opening - len(s.idle) }

// reuseIsSooner reports whether the last of the unserved tickets (tickets beyond the connections being
// opened) is expected to get a connection that is now in use before a new one would help. Otherwise a
// burst of openings could follow where exchanges are faster than connection setup: each opening costs
// the server more work than it saves a request in time.
func (p *Pool[T]) reuseIsSooner(s *Server[T], unserved int) bool {
	inUse := s.inUse()
	if p.cfg.Eager || inUse <= 0 {
		return false
	}
	return reuseMargin*s.demand.exchange*time.Duration(unserved) < s.demand.newConnCost()*time.Duration(inUse)
}

// reuseMargin is how many times sooner a connection in use must be expected back than a new one would
// help, for a ticket to wait for it. Exchanges vary in length, and one that has taken long already will
// probably take even longer.
const reuseMargin = 4

// openAhead opens a connection ahead of demand, when the last idle one was assigned and the traffic
// needs more.
func (p *Pool[T]) openAhead(now time.Duration, s *Server[T]) {
	if p.cfg.Eager || len(s.idle) > 0 || s.opening > 0 || p.conns >= p.cfg.MaxConns ||
		s.conns >= s.demand.target() {
		return
	}
	var none T
	if p.open(now, s, none) {
		s.Counts.OpenedAhead++
	}
}

// ConnLimitReached records that a server rejected the first request on a connection and closed it: it
// holds as many connections as it accepts. This proxy's share of them is what it holds besides this one.
func (p *Pool[T]) ConnLimitReached(now time.Duration, c *Conn[T]) {
	if s := c.Server; c.uses == 1 && !p.cfg.NoLearning {
		s.connLimit, s.connLimitAt = max(1, s.conns-1), now
	}
}

// maxPerServer is how many connections one server may hold. Otherwise a server that hangs could take all
// of them.
func (p *Pool[T]) maxPerServer() int {
	if p.cfg.MaxPerServer > 0 {
		return p.cfg.MaxPerServer
	}
	if len(p.servers) < 2 {
		return p.cfg.MaxConns
	}
	return max(1, p.cfg.MaxConns/serverShareDivisor)
}

// serverShareDivisor: one server among several may hold 1/serverShareDivisor of all connections.
const serverShareDivisor = 2

// After a failed opening no other one is tried for a delay that doubles from initialBackoff to
// maxBackoff. Tickets are refused meanwhile: an attempt at another server is better than waiting.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// connLimitTTL is how long a learned connection limit holds before it is raised by one: other proxies may
// have closed some of theirs.
const connLimitTTL = 5 * time.Second

// maxUnprovenIdle idle connections are kept while none of them is proven safe to use.
const maxUnprovenIdle = 3

// assignSuspect assigns a connection that has been idle for longer than is proven safe.
func (p *Pool[T]) assignSuspect(now time.Duration, s *Server[T], c *Conn[T], t T) {
	p.removeIdle(s, c)
	s.suspectInUse, s.liveness.probeDue = c, false
	p.assign(now, c, t)
}

// ensureSlot reports whether one more connection may be held. At the limit it first closes the connection
// that has been idle longest, of any server.
func (p *Pool[T]) ensureSlot() bool {
	if p.conns < p.cfg.MaxConns {
		return true
	}
	var oldest *Conn[T]
	for _, s := range p.servers {
		if len(s.idle) == 0 {
			continue
		}
		c := s.idle[0]
		if oldest == nil || c.since < oldest.since || c.since == oldest.since && c.ID < oldest.ID {
			oldest = c
		}
	}
	if oldest != nil {
		p.closeConn(oldest, causeEvicted)
	}
	return oldest != nil
}

// assign assigns a connection to a ticket.
func (p *Pool[T]) assign(now time.Duration, c *Conn[T], t T) {
	c.IdleFor = 0
	if c.phase == idle {
		c.IdleFor = now - c.since
	}
	c.phase, c.since = assigned, now
	c.uses++
	p.emit(Action[T]{Kind: Assign, Conn: c, Ticket: t})
}

// Opened reports the result of opening a connection.
func (p *Pool[T]) Opened(now time.Duration, c *Conn[T], result OpenResult) {
	s := c.Server
	s.opening--
	if result == OpenOK {
		c.phase = opened
		s.openAfter, s.backoff = 0, 0
		s.demand.dialed(now - c.since)
		p.release(now, c)
		return
	}
	p.conns--
	s.conns--
	c.phase = closed
	local := result == OpenLocalFault
	if !local {
		s.Counts.Failed++
		s.backoff = min(max(initialBackoff, 2*s.backoff), maxBackoff)
		s.openAfter = now + s.backoff
	}
	// The ticket that has waited longest is refused immediately: nothing of its request has been sent.
	if len(s.waiting) > s.opening && (s.inUse() <= 0 || !p.reuseIsSooner(s, len(s.waiting)-s.opening)) {
		t := s.takeWaiting()
		p.emit(Action[T]{Kind: Refuse, Ticket: t, LocalFault: local})
	}
	p.resolveStranded(now, s)
}

// Release returns a connection after an exchange.
func (p *Pool[T]) Release(now time.Duration, c *Conn[T]) {
	c.Server.demand.exchanged(now-c.since, c.uses == 1)
	p.release(now, c)
}

// ReleaseUnused returns a connection that was assigned and on which nothing was written.
func (p *Pool[T]) ReleaseUnused(now time.Duration, c *Conn[T]) {
	if c.IdleFor > 0 { // put back, its idle time so far would no longer be counted
		p.closeConn(c, causeIdle)
		return
	}
	c.uses--
	p.release(now, c)
}

// release assigns a free connection to the ticket that has waited longest, or keeps it idle. It checks
// the server's current state: the server may have begun to drain while the connection was being opened
// or in use.
func (p *Pool[T]) release(now time.Duration, c *Conn[T]) {
	s := c.Server
	switch {
	case s.state != lg.Ready:
		p.closeConn(c, causeServerState)
	case c.process != s.process:
		p.closeConn(c, causeServerState)
		p.resolveStranded(now, s)
	case len(s.waiting) > 0:
		t := s.takeWaiting()
		p.assign(now, c, t)
	default:
		c.phase, c.since = idle, now
		s.idle = append(s.idle, c)
	}
}

// Drop closes a connection that can't be used any more after an exchange.
func (p *Pool[T]) Drop(now time.Duration, c *Conn[T]) {
	p.closeConn(c, causeUnusable)
	p.resolveStranded(now, c.Server)
}

// closeConn closes a connection and removes it.
func (p *Pool[T]) closeConn(c *Conn[T], cause int) {
	p.emit(Action[T]{Kind: Close, Conn: c})
	p.remove(c, cause)
}

// PeerClosed removes a connection that the server's side has closed.
func (p *Pool[T]) PeerClosed(now time.Duration, c *Conn[T]) {
	p.remove(c, causePeer)
	p.resolveStranded(now, c.Server)
}

// remove removes a connection that is closed, for one of the causes of CloseCauses.
func (p *Pool[T]) remove(c *Conn[T], cause int) {
	s := c.Server
	p.conns--
	s.conns--
	s.Counts.Closed[cause]++
	if s.suspectInUse == c {
		s.suspectInUse = nil
	}
	switch c.phase {
	case opening:
		s.opening--
	case idle:
		p.removeIdle(s, c)
	}
	c.phase = closed
}

// RecordOutcome learns from how an exchange on a connection ended, for how long connections may be idle.
func (p *Pool[T]) RecordOutcome(now time.Duration, c *Conn[T], outcome Outcome) {
	s := c.Server
	if s.suspectInUse == c {
		s.suspectInUse = nil
	}
	if p.cfg.NoLearning {
		return
	}
	if outcome == NoAnswer && s.lastAnswer <= c.since {
		return // the server has answered on no connection since: it hangs, and this connection is not at fault
	}
	p.histogram.add(c.IdleFor, outcome != Answered)
	p.idleLimit = p.histogram.limit(p.cfg.IdleTimeout)
	if outcome == Answered {
		s.liveness.survived(c.IdleFor)
		s.lastAnswer = now
		return
	}
	if c.IdleFor < minIdle {
		p.freshLosses++
	}
	if !s.liveness.lost(now, c.IdleFor, p.cfg.IdleTimeout, outcome, p.freshLosses > maxFreshLosses) {
		return
	}
	// Two servers lost idle connections within a short time: whatever drops them may be on the path to all.
	if p.lastLossServer != s && now-p.lastLossAt < correlationWindow {
		for _, other := range p.servers {
			other.liveness.distrust(now, c.IdleFor)
		}
	}
	p.lastLossServer, p.lastLossAt = s, now
}

// Sweep closes connections that have been idle for too long, and decays what was learned. It must be
// called every sweepInterval.
func (p *Pool[T]) Sweep(now time.Duration) {
	p.histogram.decay()
	p.idleLimit = p.histogram.limit(p.cfg.IdleTimeout)
	p.freshLosses *= freshLossDecay
	for _, s := range p.Servers() {
		s.liveness.decay(now, p.cfg.IdleTimeout)
		s.demand.sweep()
		if s.connLimit > 0 && now-s.connLimitAt >= connLimitTTL {
			if s.connLimit, s.connLimitAt = s.connLimit+1, now; s.connLimit > p.maxPerServer() {
				s.connLimit = 0
			}
		}
		for len(s.idle) > 0 && now-s.idle[0].since >= min(p.idleLimit, s.liveness.limit()) {
			p.closeConn(s.idle[0], causeIdle)
		}
	}
}
