package reducer

import (
	"time"

	lg "lilacglade"
	"lilacglade/internal/pool"
	"lilacglade/internal/sendguard"
)

// startAttempt starts the attempt that the decider asked for.
func (s *State) startAttempt(action lg.Action) {
	req := s.requests[action.Request]
	if req == nil || req.done || req.attempt != nil {
		return // a request has one attempt at a time, and none after its answer
	}
	attempt := &attempt{req: req, number: req.attempts, server: s.pool.Server(action.Server), sentAt: s.now,
		deadline: req.attemptDeadline(s.now, action.For)}
	if action.Within > 0 {
		attempt.startBy = s.now + action.Within
	}
	attempt.location = s.locations[action.Server]
	req.attempts++
	req.attempt = attempt
	if s.maintenance != nil && req.key != 0 {
		s.maintenance.hotKeys.Record(s.now, req.key, action.Server)
	}
	if s.cfg.Trace != nil {
		s.trace("S %d.%d %x class %d heard %d", req.id, attempt.number, uint64(action.Server), req.classIndex,
			s.list.sinceAnswer(s.now).Milliseconds())
	}
	if attempt.deadline < req.deadline {
		attempt.expiry = s.timers.add(attempt.deadline, func() {
			if req.attempt == attempt {
				s.attemptTimedOut(attempt)
			}
		})
	}
	s.acquireConn(attempt)
}

// attemptDeadline returns when an attempt with the given timeout ends: never after its request.
func (r *request) attemptDeadline(now, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return r.deadline
	}
	return min(r.deadline, now+timeout)
}

// acquireConn requests a connection from the pool.
func (s *State) acquireConn(attempt *attempt) {
	s.pool.Acquire(s.now, attempt.server, attempt, attempt.req.unsafe)
	s.runPoolActions()
	if req := attempt.req; req.attempt == attempt && attempt.conn == nil {
		// If the wait for a connection in use takes too long, because its server hangs, the attempt
		// ends here: nothing was sent, and there is time for another server.
		attempt.connTimer = s.timers.add(s.connDeadline(attempt), func() {
			if req.attempt == attempt && attempt.conn == nil {
				s.endAttempt(attempt, lg.ConnectFailed, lg.LoadReport{})
			}
		})
		if attempt.server.HasUnservedWaiters() {
			attempt.waitTimer = s.timers.add(s.now+attempt.server.WaitTimeout(), func() {
				if req.attempt == attempt && attempt.conn == nil {
					s.pool.OpenForWaiters(s.now, attempt.server)
					s.runPoolActions()
				}
			})
		}
	}
}

// removeWaitTimers removes the timers of an attempt that no longer waits for a connection.
func (s *State) removeWaitTimers(attempt *attempt) {
	s.timers.remove(attempt.connTimer)
	s.timers.remove(attempt.waitTimer)
}

// runPoolActions carries out the actions of the pool.
func (s *State) runPoolActions() {
	for i := 0; i < len(s.pool.Actions); i++ {
		act := s.pool.Actions[i]
		if s.cfg.Trace != nil {
			s.traceAct(act)
		}
		switch act.Kind {
		case pool.Open:
			id := ConnID(act.Conn.ID)
			s.serverConns[id] = &serverConn{Conn: act.Conn}
			deadline := s.now + s.cfg.Settings.ConnectTimeout
			if act.Ticket != nil {
				deadline = s.connDeadline(act.Ticket)
			}
			s.emit(Effect{Do: Dial, Conn: id, Server: act.Conn.Server.ID, At: deadline})
		case pool.Close:
			s.emit(Effect{Do: CloseServerConn, Conn: ConnID(act.Conn.ID)})
			delete(s.serverConns, ConnID(act.Conn.ID))
		case pool.Assign:
			s.forward(s.serverConns[ConnID(act.Conn.ID)], act.Ticket)
		case pool.Refuse:
			result := lg.ConnectFailed
			if act.LocalFault {
				result = lg.LocalFault
			}
			s.endAttempt(act.Ticket, result, lg.LoadReport{})
		}
	}
	clear(s.pool.Actions)
	s.pool.Actions = s.pool.Actions[:0]
}

// connDeadline returns when a connection for the attempt must be open. As long as no server has
// received all of the request, half of the time until deliverBy is left for another server.
func (s *State) connDeadline(attempt *attempt) time.Duration {
	deadline := min(attempt.deadline, s.now+s.cfg.Settings.ConnectTimeout)
	if attempt.startBy > 0 {
		deadline = min(deadline, attempt.startBy)
	}
	if req := attempt.req; !req.delivered && req.deliverBy > s.now {
		deadline = min(deadline, s.now+(req.deliverBy-s.now)/2)
	}
	return deadline
}

// forward has an attempt written on a connection from the pool. If the connection comes up just as the
// attempt's time is over, but before its timer has fired, nothing is written any more.
func (s *State) forward(conn *serverConn, attempt *attempt) {
	s.removeWaitTimers(attempt)
	if s.now >= attempt.deadline || attempt.startBy > 0 && s.now >= attempt.startBy {
		s.pool.ReleaseUnused(s.now, conn.Conn)
		s.endAttempt(attempt, lg.ConnectFailed, lg.LoadReport{})
		return
	}
	if s.listExpired() && !s.cfg.SkipSendChecks { // the lease ran out while it waited for the connection
		s.list.withheldAttempts++
		s.pool.ReleaseUnused(s.now, conn.Conn)
		s.endAttempt(attempt, lg.Moot, lg.LoadReport{})
		return
	}
	if rule := sendguard.Check(s.sendCheckInput(attempt)); rule != sendguard.None && !s.cfg.SkipSendChecks {
		s.recordViolation(rule, attempt.req)
		s.pool.ReleaseUnused(s.now, conn.Conn)
		s.endAttempt(attempt, lg.Moot, lg.LoadReport{})
		return
	}
	conn.phase, conn.attempt, attempt.conn = connWriting, attempt, conn
	s.list.attemptSent(s.now)
	deadline := attempt.deadline
	if req := attempt.req; req.stream && req.arrivedAt == 0 {
		deadline = s.now + req.timeout // it counts from the last byte, so all of it is left
	}
	effect := Effect{Do: Forward, Conn: ConnID(conn.ID), Client: attempt.req.client.id,
		Payload: attempt.req.payload, At: deadline, StartBy: attempt.startBy}
	if s.maintenance != nil {
		if until := s.maintenance.fence.LeaseUntil(conn.Server.ID); until > 0 &&
			(effect.StartBy == 0 || until < effect.StartBy) {
			effect.StartBy = until
		}
	}
	s.emit(effect)
}

// releaseConn returns a connection to the pool.
func (s *State) releaseConn(conn *serverConn) {
	conn.phase, conn.attempt = connPooled, nil
	s.pool.Release(s.now, conn.Conn)
	s.runPoolActions()
}

// closeConn closes a connection.
func (s *State) closeConn(conn *serverConn) {
	s.pool.Drop(s.now, conn.Conn)
	s.runPoolActions()
}

// poolOutcomes maps the result of an attempt to what the pool learns of its connection.
var poolOutcomes = [lg.LocalFault + 1]pool.Outcome{lg.Reset: pool.Broken, lg.ConnectFailed: pool.Broken,
	lg.TimedOut: pool.NoAnswer}

// endAttempt ends an attempt of a request and notifies the decider of the result.
func (s *State) endAttempt(attempt *attempt, result lg.Result, load lg.LoadReport) {
	req := attempt.req
	req.attempt, req.lastResult = nil, result
	s.removeWaitTimers(attempt)
	s.timers.remove(attempt.expiry)
	s.timers.remove(attempt.streamTimer)
	if attempt.conn != nil {
		s.pool.RecordOutcome(s.now, attempt.conn.Conn, poolOutcomes[result])
		attempt.conn.attempt = nil
	} else {
		s.pool.CancelWait(attempt.server, attempt)
	}
	if s.cfg.Trace != nil {
		traced := load // a copy, so that the report is moved to the heap only when traced
		s.trace("E %d.%d %x %s %d load %v", req.id, attempt.number, uint64(attempt.server.ID), result,
			(s.now - attempt.sentAt).Milliseconds(), traced.Values[:traced.N])
	}
	s.counters.attempts[result]++
	s.metricsChanged()
	start := attempt.sentAt
	if req.stream { // the latency of a streamed request counts from its last byte
		start = max(start, req.arrivedAt, req.completeAt)
		if req.arrivedAt == 0 {
			start = s.now
		}
	}
	if !result.NeverRan() && !req.mayHaveRun {
		req.mayHaveRun = true
		req.firstRun = sendguard.PriorAttempt{SentAt: attempt.sentAt, Location: attempt.location}
	}
	req.timedOut = req.timedOut || result == lg.TimedOut
	s.notify(lg.Outcome{Request: req.id, Attempt: attempt.number, Server: attempt.server.ID,
		Result: result, Closed: req.done, Latency: s.now - start, Load: load, Gone: req.bodyConsumed})
	if req.done && !req.streaming {
		s.removeRequest(req)
	}
}

// attemptTimedOut ends an attempt whose time is over. One that waits for a connection was never sent. A
// connection on which the answer is still due is closed: this cancels the request at servers that stop
// when the connection closes, and keeps connections from accumulating at a server that has stopped
// answering.
func (s *State) attemptTimedOut(attempt *attempt) {
	conn := attempt.conn
	if conn == nil {
		s.endAttempt(attempt, lg.ConnectFailed, lg.LoadReport{})
		return
	}
	s.endAttempt(attempt, lg.TimedOut, lg.LoadReport{})
	s.closeConn(conn)
}

func (s *State) serverDialed(ev ServerDialed) {
	conn := s.serverConns[ev.Conn]
	if conn == nil || !conn.Opening() {
		return
	}
	if !ev.OK {
		delete(s.serverConns, ev.Conn)
	}
	if s.cfg.Trace != nil {
		s.trace("D %d %x %t", conn.ID, uint64(conn.Server.ID), ev.OK)
	}
	s.pool.Opened(s.now, conn.Conn, ev.openResult())
	s.runPoolActions()
}

// requestUnsent takes back an attempt of which nothing was written, on a connection that can still be
// used: its client had left, or too much time had passed since the decision. It acquires a connection
// again.
func (s *State) requestUnsent(id ConnID) {
	conn := s.serverConns[id]
	if conn == nil || conn.phase != connWriting {
		return
	}
	attempt := conn.attempt
	conn.phase, conn.attempt = connPooled, nil
	s.pool.ReleaseUnused(s.now, conn.Conn)
	s.runPoolActions()
	s.reacquireConn(attempt)
}

// reacquireConn gets another connection for an attempt of which nothing was written, if the request is
// still open.
func (s *State) reacquireConn(attempt *attempt) {
	if attempt == nil {
		return
	}
	attempt.conn = nil
	if attempt.req.done {
		s.endAttempt(attempt, lg.Moot, lg.LoadReport{})
		return
	}
	s.acquireConn(attempt)
}

// connUnusable closes a connection on which nothing could be written; its attempt gets another.
func (s *State) connUnusable(id ConnID) {
	conn := s.serverConns[id]
	if conn == nil || conn.phase != connWriting {
		return
	}
	attempt := conn.attempt
	conn.attempt = nil
	s.closeConn(conn)
	s.reacquireConn(attempt)
}

// requestWritten handles the end of writing a request: its connection waits for the answer, is reused after
// an early one, or is closed.
func (s *State) requestWritten(ev RequestWritten) {
	conn := s.serverConns[ev.Conn]
	if conn != nil && conn.phase == connStreaming && ev.OK {
		conn.reusable = true
		s.counters.requestsWritten++
	}
	if conn == nil || conn.phase != connWriting && conn.phase != connAnsweredEarly {
		return
	}
	if conn.attempt != nil {
		conn.attempt.req.bodyConsumed = conn.attempt.req.bodyConsumed || ev.BodyConsumed
	}
	if ev.OK && conn.attempt != nil {
		conn.attempt.req.delivered = true
		s.counters.requestsWritten++
		s.metricsChanged()
	}
	switch {
	case conn.phase == connAnsweredEarly && ev.OK && conn.reusable:
		s.releaseConn(conn)
	case conn.phase == connWriting && ev.OK && !conn.closed:
		conn.phase = connWaiting
	default:
		// Before the last byte was written the request can't have run; after that it may have.
		if conn.attempt != nil && ev.OK {
			s.endAttempt(conn.attempt, lg.Reset, lg.LoadReport{})
		} else if conn.attempt != nil {
			s.endAttempt(conn.attempt, lg.ConnectFailed, lg.LoadReport{})
		}
		s.closeConn(conn)
	}
}

// serverAnswered handles an answer or another result of an attempt.
func (s *State) serverAnswered(ev ServerAnswered) {
	conn := s.serverConns[ev.Conn]
	if conn == nil || conn.phase != connWriting && conn.phase != connWaiting {
		if conn != nil && conn.Idle() {
			s.closeConn(conn) // an unexpected answer
		}
		return
	}
	if attempt := conn.attempt; attempt != nil {
		attempt.req.bodyConsumed = attempt.req.bodyConsumed || ev.BodyConsumed
		if ev.Result == lg.OK {
			s.finish(attempt.req, Effect{Verdict: Served, Payload: ev.Payload})
		}
		if ev.Result == lg.Full && !ev.Reusable {
			s.pool.ConnLimitReached(s.now, conn.Conn)
		}
		s.endAttempt(attempt, ev.Result, ev.Load)
	}
	// A connection that can't be used again is closed at once, even while an answered request is still
	// being written. Otherwise it would count as one of its server's until all of that is written.
	switch {
	case conn.phase == connWriting && ev.Reusable:
		conn.phase, conn.reusable = connAnsweredEarly, true
	case ev.Reusable:
		s.releaseConn(conn)
	default:
		s.closeConn(conn)
	}
}

// serverClosed handles the end of a connection. What that means for its attempt depends on the phase.
func (s *State) serverClosed(id ConnID) {
	conn := s.serverConns[id]
	if conn == nil {
		return
	}
	switch conn.phase {
	case connStreaming:
		return // ResponseWritten reports how much of the answer arrived
	case connWriting, connAnsweredEarly:
		conn.closed, conn.reusable = true, false // RequestWritten reports whether the request may have run
		return
	case connWaiting:
		if conn.attempt != nil {
			s.endAttempt(conn.attempt, lg.Reset, lg.LoadReport{})
		}
	}
	if s.cfg.Trace != nil {
		s.trace("C %d %x lost", conn.ID, uint64(conn.Server.ID))
	}
	delete(s.serverConns, id)
	s.pool.PeerClosed(s.now, conn.Conn)
	s.runPoolActions()
}
