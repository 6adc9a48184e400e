package reducer

import lg "lilacglade"

// wholly takes in the end of a request that streams: its time counts from here.
func (s *State) wholly(ev CallerWhole) {
	c := s.callers[ev.Leg]
	if c == nil || c.req == nil || !c.req.stream || c.req.whole > 0 {
		return
	}
	r := c.req
	r.whole = max(1, s.now)
	r.deadline = min(r.deadline, ev.Read+r.may-margin)
	if r.branch != nil {
		r.branch.until = r.deadline
	}
	s.clock.add(r.deadline, func() { s.overdue(r) })
}

// spoilt ends a request whose rest can't be had.
func (s *State) spoilt(ev CallerSpoilt) {
	c := s.callers[ev.Leg]
	if c == nil || c.req == nil || !c.req.stream || c.req.whole > 0 {
		return
	}
	r, e := c.req, Effect{Verdict: Faulty, Payload: ev.Payload, Last: true}
	if ev.Slow {
		e.Verdict = TooSlow
	}
	s.finish(r, e)
	s.cancel(r)
	s.tell(lg.Departed{Request: r.id})
}

// cancel ends the branch of a request that streams and can't become whole any more: its next hop never
// gets all of it, which is no fault of its own.
func (s *State) cancel(r *request) {
	if b := r.branch; r.stream && r.whole == 0 && b != nil && b.leg != nil {
		l := b.leg
		s.end(b, lg.Canceled, lg.LoadReport{})
		s.drop(l)
	}
}

// begins holds back an answer of unknown length for a moment: most are whole by then, and can be had
// elsewhere if they break off. Guards against holding back the first bytes of a long one that comes
// slowly: they count.
func (s *State) begins(id LegID) {
	l := s.legs[id]
	if l == nil || l.branch == nil {
		return
	}
	b := l.branch
	s.clock.add(s.now+openFor, func() {
		if s.legs[id] == l && l.branch == b {
			s.do(Effect{Do: StreamHop, Leg: id})
		}
	})
}

// streams takes in an answer that has begun and is passed on as it comes: for the module the attempt
// has ended well, and the request has its final answer.
func (s *State) streams(ev HopStreams) {
	l := s.legs[ev.Leg]
	if l == nil || l.phase != hopWaiting && l.phase != hopEarly && l.phase != hopWriting {
		return
	}
	b := l.branch
	if b == nil || b.req.done || l.phase == hopEarly {
		s.drop(l)
		return
	}
	r, c := b.req, b.req.caller
	l.keep = l.phase == hopWaiting // else once it is known that the request was written
	l.phase, r.done, r.flowing, c.feed = hopStreaming, true, true, l
	s.end(b, lg.OK, ev.Load)
	if s.cfg.Trace != nil {
		s.trace("F %d streams", r.id)
	}
	s.phase(c, callerAnswering)
	c.last = c.last || s.stopping
	s.do(Effect{Do: AnswerCaller, Leg: c.id, Verdict: Served, Payload: ev.Payload, Last: c.last,
		At: s.now + takeWithin})
}

// streamed takes in the end of an answer that was passed on, or that its caller has left.
func (s *State) streamed(c *caller, ev CallerWritten) {
	r, l := c.req, c.feed
	c.req, c.feed, r.flowing = nil, nil, false
	if ev.OK {
		s.ended(r.count, Served)
	} else {
		s.ended(r.count, Broken)
	}
	s.remove(r)
	if ev.OK && ev.Keep && l.keep {
		s.release(l)
	} else {
		s.drop(l)
	}
}
