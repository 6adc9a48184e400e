package reducer

import lg "lilacglade"

func (s *State) setPhase(client *clientConn, phase clientPhase) {
	client.phase, client.since, client.idleCheck = phase, s.now, false
}

// requestStarted records that a request has begun to arrive. The time of the first request counts from
// the start of its connection, so that a client can't extend it by staying silent first.
func (s *State) requestStarted(client *clientConn, ev ClientReading) {
	client.progressAt = s.now
	if client.readDeadline = ev.Deadline; client.readDeadline > 0 && !client.hasRequested {
		client.readDeadline = min(client.readDeadline, client.since+requestReadTimeout+ev.BodyAllowance)
	}
	if client.phase == clientReading {
		return
	}
	since := s.now
	if !client.hasRequested {
		since = client.since
	}
	client.phase, client.since, client.idleCheck = clientReading, since, false
}

// clientOpened adds a client connection. From half of MaxClients on, the connection that is needed least
// is evicted for it; at the limit, with all of them busy, the new one's request is rejected. Otherwise
// clients that send one request and keep their connections would block others: where clients are limited
// in connections themselves, idle ones would leave them none for requests, long before the proxy reaches
// its own limit.
func (s *State) clientOpened(id ConnID) {
	client := &clientConn{id: id}
	if 2*len(s.clients) >= s.cfg.MaxClients {
		client.overLimit = s.openClients() >= s.cfg.MaxClients
		need := s.pressure()
		if candidate := s.evictionCandidate(need, nil); candidate != nil {
			s.evict(candidate)
			// One that is closing frees a descriptor, but it is not among the open ones.
			if client.overLimit && candidate.phase == clientClosing {
				s.evictOpen(need, nil)
			}
		}
	}
	s.setPhase(client, clientIdle)
	s.clients[id] = client
}

// requestReceived opens a request and notifies the decider, unless it is rejected at once.
func (s *State) requestReceived(ev RequestReceived) {
	client := s.clients[ev.Conn]
	if client == nil || client.phase > clientReading {
		s.releaseUnusedClaim(ev)
		return
	}
	switch {
	case s.leaving() && s.maintenance.ownClear,
		client.overLimit && s.openClients() > s.cfg.MaxClients && !s.evictOpen(pastLimit, client):
		s.releaseUnusedClaim(ev)
		s.countEnded(s.countReceived(s.counters.classes[ev.Class]), Rejected)
		s.answerClient(client.id, Effect{Verdict: Rejected, Last: true})
		return
	case ev.NameTaken || s.openNames[ev.Name] || s.abandoned.contains(s.now, ev.Name):
		// Otherwise two requests with the same name would reach the servers, where they can't be told
		// from a repeat.
		s.releaseUnusedClaim(ev)
		s.answerClient(client.id, Effect{Verdict: DuplicateName, Last: ev.Last || ev.Stream})
		return
	}
	client.overLimit = false
	s.lastRequestID++
	req := &request{id: s.lastRequestID, name: ev.Name, client: client, receivedAt: s.now,
		deadline: ev.Deadline - answerMargin, payload: ev.Payload,
		counts: s.countReceived(s.counters.classes[ev.Class])}
	req.class, req.classIndex = &s.cfg.Settings.Classes[ev.Class], ev.Class
	req.unsafe, req.nameClaimed = req.class.Effect == lg.Unsafe, ev.NameClaimed
	if req.stream, req.timeout = ev.Stream, ev.Timeout; !req.stream {
		req.deadline = s.limitedByStop(req.deadline)
	}
	if ev.HasKey {
		req.key = ev.Key
	}
	req.deliverBy = s.now + max(0, req.deadline-s.now)/2
	s.setPhase(client, clientWaiting)
	client.hasRequested = true
	client.closeAfterAnswer = client.closeAfterAnswer || ev.Last
	client.req = req
	s.requests[req.id] = req
	s.openNames[req.name] = true
	if !req.stream {
		s.scheduleExpiry(req)
	}
	if s.cfg.Trace != nil {
		s.trace("A %d class %d by %d name %q", req.id, req.classIndex, (req.deadline - s.now).Milliseconds(),
			req.name)
	}
	s.notify(lg.Request{ID: req.id, Class: ev.Class, Tenant: ev.Tenant, Key: ev.Key, HasKey: ev.HasKey,
		Budget: max(0, req.deadline-s.now), Cost: ev.Cost, Repeat: ev.Repeat, Stream: ev.Stream})
}

// scheduleExpiry has a request end at its deadline, which replaces an earlier one.
func (s *State) scheduleExpiry(req *request) {
	s.timers.remove(req.expiry)
	req.expiry = s.timers.add(req.deadline, func() { s.expireRequest(req) })
}

// expireRequest ends a request at its deadline. The decider is notified of the timeout first; its
// actions don't affect the answer.
func (s *State) expireRequest(req *request) {
	if req.attempt != nil {
		s.attemptTimedOut(req.attempt)
		s.runDecider()
	}
	if !req.done {
		s.finish(req, Effect{Verdict: Rejected})
		s.notify(lg.Departed{Request: req.id})
	}
}

// finish gives a request its final answer, immediately and only once.
func (s *State) finish(req *request, effect Effect) {
	if req.done {
		return
	}
	// A request that may have run is never rejected, whatever the decider asked for.
	if effect.Verdict == Rejected && (req.mayHaveRun || req.attempt != nil) {
		effect.Verdict = Failed
	}
	if effect.Verdict == Failed && req.timedOut {
		effect.Verdict = DeadlineExceeded
	}
	if effect.Verdict != Served && effect.Payload == nil {
		effect.Payload = FailureDetails{Elapsed: s.now - req.receivedAt, Attempts: req.attempts,
			LastResult: req.lastResult}
	}
	if s.cfg.Trace != nil {
		s.trace("F %d %s", req.id, verdictNames[effect.Verdict])
	}
	s.checkAnswer(req)
	client := req.client
	s.countEnded(req.counts, effect.Verdict)
	s.recordExecuted(client, req)
	// What still arrives of a streamed request is not a new request.
	effect.Last = effect.Last || req.stream && req.completeAt == 0
	s.completeRequest(req)
	if client != nil {
		client.req = nil
		s.answerClient(client.id, effect)
	}
}

// completeRequest marks a request as done. It is kept until its attempt has ended, without its payload:
// no further attempt begins.
func (s *State) completeRequest(req *request) {
	req.done, req.client, req.payload = true, nil, nil
	if req.attempt != nil && req.attempt.conn == nil {
		s.endAttempt(req.attempt, lg.Moot, lg.LoadReport{}) // unsent, and nobody waits for an answer
		return
	}
	if req.attempt == nil {
		s.removeRequest(req)
	}
}

// removeRequest deletes a request that has no open attempt.
func (s *State) removeRequest(req *request) {
	s.timers.remove(req.expiry)
	delete(s.requests, req.id)
	delete(s.openNames, req.name)
	if req.clientLeft && req.mayNotRunAgain() {
		s.abandon(NameHash(req.name))
	}
	if req.nameClaimed {
		s.releaseName(NameHash(req.name))
	}
}

// releaseUnusedClaim takes back the claim of the name of a request that is not taken on.
func (s *State) releaseUnusedClaim(ev RequestReceived) {
	if ev.NameClaimed {
		s.releaseName(NameHash(ev.Name))
	}
}

// answerClient starts the writing of an answer on a client connection.
func (s *State) answerClient(id ConnID, effect Effect) {
	client := s.clients[id]
	if client == nil || client.req != nil || client.phase > clientWaiting {
		return
	}
	s.setPhase(client, clientAnswering)
	client.hasRequested = true
	client.closeAfterAnswer = client.closeAfterAnswer || effect.Last || s.stopping || s.leaving()
	effect.Do, effect.Conn, effect.Last = AnswerClient, id, client.closeAfterAnswer
	s.emit(effect)
}

func (s *State) responseWritten(ev ResponseWritten) {
	client := s.clients[ev.Conn]
	if client == nil || client.phase != clientAnswering {
		return
	}
	streamed := client.source != nil // then its server may have broken off
	if streamed {
		s.streamEnded(client, ev)
	}
	switch {
	case !ev.OK:
		if !streamed {
			s.rememberExecuted(client)
		}
		s.closeClient(client, ClosedWriteFailed)
	case client.closeAfterAnswer:
		// Closing it here could send a reset that overtakes the answer: the connection is closed once
		// the client has closed it, or after closeWriteTimeout.
		s.closeWrite(client, ClosedLastAnswer)
	default:
		s.setPhase(client, clientIdle)
	}
}

// closeWrite shuts down the write side of a connection, and closes it after closeWriteTimeout.
func (s *State) closeWrite(client *clientConn, cause CloseCause) {
	s.checkClientClose(client, cause)
	s.countClose(client, cause)
	s.setPhase(client, clientClosing)
	s.markClosing(client)
	s.emit(Effect{Do: CloseClientWrite, Conn: client.id})
	s.timers.add(s.now+closeWriteTimeout, func() {
		if s.clients[client.id] == client {
			s.closeClient(client, cause)
		}
	})
}

// closeClient closes a connection without waiting for its client.
func (s *State) closeClient(client *clientConn, cause CloseCause) {
	s.checkClientClose(client, cause)
	s.countClose(client, cause)
	s.emit(Effect{Do: CloseClientConn, Conn: client.id})
	s.clientClosed(client.id)
}

// clientClosed removes a client connection. An attempt for its request continues.
func (s *State) clientClosed(id ConnID) {
	client := s.clients[id]
	if client == nil {
		return
	}
	s.countClose(client, ClosedByClient)
	delete(s.clients, id)
	if client.countedClosing {
		s.closingClients--
	}
	if client.source != nil {
		s.streamEnded(client, ResponseWritten{})
	}
	if req := client.req; req != nil {
		req.clientLeft = true
		s.countEnded(req.counts, Failed)
		s.completeRequest(req)
		s.cancelIncomplete(req)
		s.notify(lg.Departed{Request: req.id})
	}
}
