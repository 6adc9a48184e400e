package reducer

import lg "lilacglade"

func (s *State) phase(c *caller, p callerPhase) { c.phase, c.since, c.eased = p, s.now, false }

// reading notes that a request has begun to come in. The first one's time counts from the start
// of its leg, so that a caller can't stretch it by saying nothing first.
func (s *State) reading(c *caller, ev CallerReading) {
	if c.by = ev.By; c.by > 0 && !c.asked {
		c.by = min(c.by, c.since+readWithin+ev.Took)
	}
	if c.phase == callerReading {
		return
	}
	since := s.now
	if !c.asked {
		since = c.since
	}
	c.phase, c.since, c.eased = callerReading, since, false
}

// opened takes in a caller leg. From half the cap on, the one that can be missed most makes
// room; at the cap, with all busy, the new one is refused once it has asked. Guards against
// callers who ask once and keep their legs for good: where callers have only so many themselves,
// the idle ones would leave them none to ask on, long before the proxy runs out.
func (s *State) opened(id LegID) {
	c := &caller{id: id}
	if 2*len(s.callers) >= s.cfg.MaxCallers {
		c.over = s.held() >= s.cfg.MaxCallers
		if spare := s.spare(c.over); spare != nil {
			s.miss(spare)
		}
	}
	s.phase(c, callerIdle)
	s.callers[id] = c
}

// held is how many legs may still ask, or wait for an answer.
func (s *State) held() int { return len(s.callers) - s.parting }

// miss gives up a leg that can be missed. What has come of a request is answered: the rest of it may have
// come by now.
func (s *State) miss(c *caller) {
	switch c.phase {
	case callerParting:
		s.closeCaller(c, ClosedForRoom)
	case callerReading:
		s.reply(c.id, Effect{Verdict: TooSlow, Last: true})
	default:
		c.wanted = true
		s.ease(c)
	}
}

// spare is the leg that can be missed most, nil if there is none: of those of the least use, the
// one that has stood longest. One that has just opened is missed only where there is no room: its caller
// has most likely asked by now, and would be left without an answer.
func (s *State) spare(full bool) *caller {
	var best *caller
	least := inUse
	if !full {
		least = justOpen
	}
	for _, c := range s.callers {
		if c.eased {
			continue // it goes already
		}
		u := s.use(c)
		if u < least || best != nil && u == least && (c.since < best.since || c.since == best.since &&
			c.id < best.id) {
			best, least = c, u
		}
	}
	return best
}

// What a leg is of use for, the least first.
const (
	doneWith = iota // its last answer is written
	stuck           // it has said nothing, or half of something, for longer than callers take
	resting         // idle after an answer
	justOpen
	inUse
)

func (s *State) use(c *caller) int {
	stood := s.now - c.since
	switch {
	case c.phase == callerParting:
		return doneWith
	case c.phase == callerIdle && c.asked:
		return resting
	case c.phase == callerIdle && stood < soonAsked:
		return justOpen
	case c.phase == callerIdle, c.phase == callerReading && stood >= soonRead:
		return stuck
	}
	return inUse
}

func (s *State) asked(ev CallerAsked) {
	c := s.callers[ev.Leg]
	if c == nil || c.phase > callerReading {
		return
	}
	switch {
	case s.outgoing() && s.work.closed, c.over && s.held() > s.cfg.MaxCallers:
		s.ended(s.began(s.counts.classes[ev.Class]), Busy)
		s.reply(c.id, Effect{Verdict: Busy, Last: true})
		return
	case s.names[ev.Name]:
		// Guards against a request in another's name: two of them at the album servers are the
		// same to whoever looks for repeats.
		s.reply(c.id, Effect{Verdict: Taken, Last: ev.Last || ev.Stream})
		return
	}
	c.over = false
	s.lastID++
	r := &request{id: s.lastID, name: ev.Name, class: ev.Class, caller: c, came: s.now,
		deadline: ev.Deadline - margin, payload: ev.Payload, count: s.began(s.counts.classes[ev.Class])}
	r.unsafe = s.cfg.Settings.Classes[ev.Class].Effect == lg.Unsafe
	if r.stream, r.may = ev.Stream, ev.May; ev.HasKey {
		r.key = ev.Key
	}
	r.reachBy = s.now + max(0, r.deadline-s.now)/2
	s.phase(c, callerAsking)
	c.asked = true
	c.last = c.last || ev.Last
	c.req = r
	s.requests[r.id] = r
	s.names[r.name] = true
	if !r.stream {
		s.clock.add(r.deadline, func() { s.overdue(r) })
	}
	if s.cfg.Trace != nil {
		s.trace("A %d class %d by %d name %q", r.id, r.class, (r.deadline - s.now).Milliseconds(), r.name)
	}
	s.tell(lg.Request{ID: r.id, Class: ev.Class, Tenant: ev.Tenant, Key: ev.Key, HasKey: ev.HasKey,
		Budget: max(0, r.deadline-s.now), Cost: ev.Cost, Repeat: ev.Repeat, Stream: ev.Stream})
}

// overdue ends a request at its deadline. The module hears of the time-out first; the answer
// doesn't depend on what it makes of it.
func (s *State) overdue(r *request) {
	if r.branch != nil {
		s.timedOut(r.branch)
		s.settle()
	}
	if !r.done {
		s.finish(r, Effect{Verdict: Busy})
		s.tell(lg.Departed{Request: r.id})
	}
}

// finish gives a request its one final answer, at once.
func (s *State) finish(r *request, e Effect) {
	if r.done {
		return
	}
	// Guards against refusing what may have run, whatever asked for it.
	if e.Verdict == Busy && (r.mayRun || r.branch != nil) {
		e.Verdict = Broken
	}
	if e.Verdict == Broken && r.late {
		e.Verdict = Late
	}
	if e.Verdict != Served && e.Payload == nil {
		e.Payload = Unserved{Took: s.now - r.came, Attempts: r.sent, Last: r.result}
	}
	if s.cfg.Trace != nil {
		s.trace("F %d %s", r.id, verdicts[e.Verdict])
	}
	s.checkAnswer(r)
	c := r.caller
	s.ended(r.count, e.Verdict)
	e.Last = e.Last || r.stream && r.whole == 0 // what still comes of it is no request
	s.forget(r)
	if c != nil {
		c.req = nil
		s.reply(c.id, e)
	}
}

// forget marks a request as done; it is remembered until its branch has come back.
func (s *State) forget(r *request) {
	r.done, r.caller = true, nil
	if r.branch != nil && r.branch.leg == nil {
		s.end(r.branch, lg.Moot, lg.LoadReport{}) // it would be sent for nobody
		return
	}
	if r.branch == nil {
		s.remove(r)
	}
}

// remove ends the memory of a request of which nothing is out any more.
func (s *State) remove(r *request) {
	delete(s.requests, r.id)
	delete(s.names, r.name)
}

// reply has an answer written on a caller leg.
func (s *State) reply(id LegID, e Effect) {
	c := s.callers[id]
	if c == nil || c.req != nil || c.phase > callerAsking {
		return
	}
	s.phase(c, callerAnswering)
	c.asked = true
	c.last = c.last || e.Last || s.stopping || s.outgoing()
	e.Do, e.Leg, e.Last, e.At = AnswerCaller, id, c.last, s.now+takeWithin
	s.do(e)
}

func (s *State) callerWritten(ev CallerWritten) {
	c := s.callers[ev.Leg]
	if c == nil || c.phase != callerAnswering {
		return
	}
	if l := c.feed; l != nil {
		s.streamed(c, ev)
	}
	switch {
	case !ev.OK:
		s.closeCaller(c, ClosedUnwritten)
	case c.last:
		// Guards against a reset that overtakes the answer: the leg is closed when the caller
		// has closed it, or a while later.
		s.part(c, ClosedLastAnswer)
	default:
		s.phase(c, callerIdle)
	}
}

// part ends sending on a leg.
func (s *State) part(c *caller, cause CloseCause) {
	s.checkClose(c, cause)
	s.countClose(c, cause)
	s.phase(c, callerParting)
	s.parting++
	s.do(Effect{Do: PartCaller, Leg: c.id})
	s.clock.add(s.now+partWithin, func() {
		if s.callers[c.id] == c {
			s.closeCaller(c, cause)
		}
	})
}

func (s *State) closeCaller(c *caller, cause CloseCause) {
	s.checkClose(c, cause)
	s.countClose(c, cause)
	s.do(Effect{Do: CloseCaller, Leg: c.id})
	s.callerClosed(c.id)
}

// callerClosed forgets a caller leg. A branch that is out for it runs on.
func (s *State) callerClosed(id LegID) {
	c := s.callers[id]
	if c == nil {
		return
	}
	s.countClose(c, ClosedByClient)
	delete(s.callers, id)
	if c.phase == callerParting {
		s.parting--
	}
	if c.feed != nil {
		s.streamed(c, CallerWritten{})
	}
	if r := c.req; r != nil {
		s.ended(r.count, Broken)
		s.forget(r)
		s.cancel(r)
		s.tell(lg.Departed{Request: r.id})
	}
}
