package reducer

import (
	"time"

	lg "lilacglade"
	"lilacglade/internal/pool"
	"lilacglade/internal/sendguard"
)

// send starts a branch.
func (s *State) send(a lg.Action) {
	r := s.requests[a.Request]
	if r == nil || r.done || r.branch != nil {
		return // never two at once, and nothing for a request that has its answer
	}
	b := &branch{req: r, number: r.sent, hop: s.pool.Hop(a.Server), sent: s.now, until: r.limit(s.now, a.For)}
	if a.Within > 0 {
		b.begin = s.now + a.Within
	}
	b.place = s.places[a.Server]
	r.sent++
	r.branch = b
	if s.work != nil && r.key != 0 {
		s.work.keys.Record(s.now, r.key, a.Server)
	}
	if s.cfg.Trace != nil {
		s.trace("S %d.%d %x class %d heard %d", r.id, b.number, uint64(a.Server), r.class,
			s.list.age(s.now).Milliseconds())
	}
	if b.until < r.deadline {
		s.clock.add(b.until, func() {
			if r.branch == b {
				s.timedOut(b)
			}
		})
	}
	s.assign(b)
}

// limit is when an attempt that may take so long ends: never after its request.
func (r *request) limit(now, may time.Duration) time.Duration {
	if may <= 0 {
		return r.deadline
	}
	return min(r.deadline, now+may)
}

// assign asks the pool for a leg.
func (s *State) assign(b *branch) {
	s.pool.Want(s.now, b.hop, b, b.req.unsafe)
	s.pooled()
	if r := b.req; r.branch == b && b.leg == nil {
		// Guards against waiting for a leg in use at a next hop that hangs: while nothing is sent there
		// is time for another one.
		s.clock.add(s.dialBy(b), func() {
			if r.branch == b && b.leg == nil {
				s.end(b, lg.ConnectFailed, lg.LoadReport{})
			}
		})
		if b.hop.Lacks() {
			s.clock.add(s.now+b.hop.Patience(), func() {
				if r.branch == b && b.leg == nil {
					s.pool.Press(s.now, b.hop)
					s.pooled()
				}
			})
		}
	}
}

// pooled does what the pool asks for.
func (s *State) pooled() {
	for i := 0; i < len(s.pool.Acts); i++ {
		a := s.pool.Acts[i]
		if s.cfg.Trace != nil {
			s.traceAct(a)
		}
		switch a.Do {
		case pool.Open:
			id := LegID(a.Leg.ID)
			s.legs[id] = &hopLeg{Leg: a.Leg}
			by := s.now + s.cfg.Settings.ConnectTimeout
			if a.Ticket != nil {
				by = s.dialBy(a.Ticket)
			}
			s.do(Effect{Do: Dial, Leg: id, Server: a.Leg.Hop.ID, At: by})
		case pool.Close:
			s.do(Effect{Do: CloseHop, Leg: LegID(a.Leg.ID)})
			delete(s.legs, LegID(a.Leg.ID))
		case pool.Give:
			s.forward(s.legs[LegID(a.Leg.ID)], a.Ticket)
		case pool.Refuse:
			result := lg.ConnectFailed
			if a.Local {
				result = lg.LocalFault
			}
			s.end(a.Ticket, result, lg.LoadReport{})
		}
	}
	clear(s.pool.Acts)
	s.pool.Acts = s.pool.Acts[:0]
}

// dialBy is when a leg for the branch must be open. A request that no next hop has had whole yet
// keeps time for another one: half of what is left until it should have been had.
func (s *State) dialBy(b *branch) time.Duration {
	by := min(b.until, s.now+s.cfg.Settings.ConnectTimeout)
	if b.begin > 0 {
		by = min(by, b.begin)
	}
	if r := b.req; !r.reached && r.reachBy > s.now {
		by = min(by, s.now+(r.reachBy-s.now)/2)
	}
	return by
}

// forward has a branch written on a leg that the pool gave it. Guards against a leg that comes up in the
// moment in which the time of what waits for it is over, before its timer: nothing is written any more.
func (s *State) forward(l *hopLeg, b *branch) {
	if s.now >= b.until || b.begin > 0 && s.now >= b.begin {
		s.pool.Unused(s.now, l.Leg)
		s.end(b, lg.ConnectFailed, lg.LoadReport{})
		return
	}
	if s.expired() && !s.cfg.Unguarded { // while it waited for its connection
		s.list.withheld++
		s.pool.Unused(s.now, l.Leg)
		s.end(b, lg.Moot, lg.LoadReport{})
		return
	}
	if rule := sendguard.Check(s.attempt(b)); rule != sendguard.None && !s.cfg.Unguarded {
		s.violated(rule, b.req)
		s.pool.Unused(s.now, l.Leg)
		s.end(b, lg.Moot, lg.LoadReport{})
		return
	}
	l.phase, l.branch, b.leg = hopWriting, b, l
	s.list.sent(s.now)
	at := b.until
	if r := b.req; r.stream && r.whole == 0 {
		at = s.now + r.may // counted from its last byte: as long as an answer may take
	}
	e := Effect{Do: Forward, Leg: LegID(l.ID), Client: b.req.caller.id, Payload: b.req.payload, At: at,
		Begin: b.begin}
	if s.work != nil {
		if until := s.work.set.LeaseUntil(l.Hop.ID); until > 0 && (e.Begin == 0 || until < e.Begin) {
			e.Begin = until
		}
	}
	s.do(e)
}

// release gives a leg back to the pool.
func (s *State) release(l *hopLeg) {
	l.phase, l.branch = hopPooled, nil
	s.pool.Free(s.now, l.Leg)
	s.pooled()
}

// drop closes a leg.
func (s *State) drop(l *hopLeg) {
	s.pool.Drop(s.now, l.Leg)
	s.pooled()
}

// ends says what a branch's result says of its leg.
var ends = [lg.LocalFault + 1]pool.End{lg.Reset: pool.Broke, lg.ConnectFailed: pool.Broke,
	lg.TimedOut: pool.Silence}

// end takes a branch from its request and tells the Balancer how it went.
func (s *State) end(b *branch, res lg.Result, load lg.LoadReport) {
	r := b.req
	r.branch, r.result = nil, res
	if b.leg != nil {
		s.pool.Learn(s.now, b.leg.Leg, ends[res])
		b.leg.branch = nil
	} else {
		s.pool.Forget(b.hop, b)
	}
	if s.cfg.Trace != nil {
		said := load // guards against the report's moving to the heap where nothing is traced
		s.trace("E %d.%d %x %s %d load %v", r.id, b.number, uint64(b.hop.ID), res,
			(s.now - b.sent).Milliseconds(), said.Values[:said.N])
	}
	s.counts.attempts[res]++
	s.changed()
	since := b.sent
	if r.stream { // an attempt begins with a request's last byte
		since = max(since, r.whole)
		if r.whole == 0 {
			since = s.now
		}
	}
	if !res.NeverRan() && !r.mayRun {
		r.mayRun = true
		r.ran = sendguard.Ran{At: b.sent, Place: b.place}
	}
	r.late = r.late || res == lg.TimedOut
	s.tell(lg.Outcome{Request: r.id, Attempt: b.number, Server: b.hop.ID, Result: res, Closed: r.done,
		Latency: s.now - since, Load: load, Gone: r.gone})
	if r.done && !r.flowing {
		s.remove(r)
	}
}

// timedOut ends a branch whose time is over. One that waits for a leg was never sent. A leg
// that still owes its answer is closed: that ends the attempt where the next hop drops what
// waits for nobody, and keeps legs from piling up at one that has stopped answering.
func (s *State) timedOut(b *branch) {
	l := b.leg
	if l == nil {
		s.end(b, lg.ConnectFailed, lg.LoadReport{})
		return
	}
	s.end(b, lg.TimedOut, lg.LoadReport{})
	s.drop(l)
}

func (s *State) dialed(ev HopDialed) {
	l := s.legs[ev.Leg]
	if l == nil || !l.Opening() {
		return
	}
	if !ev.OK {
		delete(s.legs, ev.Leg)
	}
	if s.cfg.Trace != nil {
		s.trace("D %d %x %t", l.ID, uint64(l.Hop.ID), ev.OK)
	}
	s.pool.Opened(s.now, l.Leg, ev.opening())
	s.pooled()
}

// unsent takes back an attempt of which nothing was written, on a leg that is as good as before: its client
// had left, or too much time had passed since it was decided. It is decided anew.
func (s *State) unsent(id LegID) {
	l := s.legs[id]
	if l == nil || l.phase != hopWriting {
		return
	}
	b := l.branch
	l.phase, l.branch = hopPooled, nil
	s.pool.Unused(s.now, l.Leg)
	s.pooled()
	s.reassign(b)
}

// reassign has an attempt of which nothing was written get another leg, if its request still wants it.
func (s *State) reassign(b *branch) {
	if b == nil {
		return
	}
	b.leg = nil
	if b.req.done {
		s.end(b, lg.Moot, lg.LoadReport{})
		return
	}
	s.assign(b)
}

// unfit drops a leg on which nothing could be written; its branch gets another.
func (s *State) unfit(id LegID) {
	l := s.legs[id]
	if l == nil || l.phase != hopWriting {
		return
	}
	b := l.branch
	l.branch = nil
	s.drop(l)
	s.reassign(b)
}

func (s *State) hopWritten(ev HopWritten) {
	l := s.legs[ev.Leg]
	if l != nil && l.phase == hopStreaming && ev.OK {
		l.keep = true
		s.counts.tries++
	}
	if l == nil || l.phase != hopWriting && l.phase != hopEarly {
		return
	}
	if l.branch != nil {
		l.branch.req.gone = l.branch.req.gone || ev.Gone
	}
	if ev.OK && l.branch != nil {
		l.branch.req.reached = true
		s.counts.tries++
		s.changed()
	}
	switch {
	case l.phase == hopEarly && ev.OK && l.keep:
		s.release(l)
	case l.phase == hopWriting && ev.OK && !l.closed:
		l.phase = hopWaiting
	default:
		// Before the last byte is written nothing can have run; after it, it may have.
		if l.branch != nil && ev.OK {
			s.end(l.branch, lg.Reset, lg.LoadReport{})
		} else if l.branch != nil {
			s.end(l.branch, lg.ConnectFailed, lg.LoadReport{})
		}
		s.drop(l)
	}
}

func (s *State) answered(ev HopAnswered) {
	l := s.legs[ev.Leg]
	if l == nil || l.phase != hopWriting && l.phase != hopWaiting {
		if l != nil && l.Idle() {
			s.drop(l) // an answer that nobody asked for
		}
		return
	}
	if b := l.branch; b != nil {
		b.req.gone = b.req.gone || ev.Gone
		if ev.Result == lg.OK {
			s.finish(b.req, Effect{Verdict: Served, Payload: ev.Payload})
		}
		if ev.Result == lg.Full && !ev.Keep {
			s.pool.Capped(s.now, l.Leg)
		}
		s.end(b, ev.Result, ev.Load)
	}
	// Guards against a leg that can't be used again and counts as one of its next hop's until all of a request
	// that is answered already has been written.
	switch {
	case l.phase == hopWriting && ev.Keep:
		l.phase, l.keep = hopEarly, true
	case ev.Keep:
		s.release(l)
	default:
		s.drop(l)
	}
}

func (s *State) hopClosed(id LegID) {
	l := s.legs[id]
	if l == nil {
		return
	}
	switch l.phase {
	case hopStreaming:
		return // how far the answer came tells
	case hopWriting, hopEarly:
		l.closed, l.keep = true, false // how far the writing came tells what it means
		return
	case hopWaiting:
		if l.branch != nil {
			s.end(l.branch, lg.Reset, lg.LoadReport{})
		}
	}
	if s.cfg.Trace != nil {
		s.trace("C %d %x lost", l.ID, uint64(l.Hop.ID))
	}
	delete(s.legs, id)
	s.pool.Lost(s.now, l.Leg)
	s.pooled()
}
