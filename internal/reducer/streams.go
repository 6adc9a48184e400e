package reducer

import (
	"time"

	lg "lilacglade"
)

// arrivingRequest returns the streamed request that is arriving on a client connection, nil if there is
// none.
func (s *State) arrivingRequest(id ConnID) *request {
	client := s.clients[id]
	if client == nil || client.req == nil || !client.req.stream || client.req.completeAt > 0 {
		return nil
	}
	return client.req
}

// bodyArrived handles a streamed request whose last byte is here but can't be read, because its server
// takes nothing or it waits for one.
func (s *State) bodyArrived(ev RequestBodyArrived) {
	if req := s.arrivingRequest(ev.Conn); req != nil {
		s.startTimeout(req, ev.ArrivedAt)
	}
}

// bodyComplete handles the end of a streamed request.
func (s *State) bodyComplete(ev RequestBodyComplete) {
	if req := s.arrivingRequest(ev.Conn); req != nil {
		req.completeAt = max(1, s.now)
		s.startTimeout(req, ev.ReadAt)
	}
}

// startTimeout has the timeout of a streamed request count from the arrival of its last byte, unless it
// does already.
func (s *State) startTimeout(req *request, arrivedAt time.Duration) {
	if req.arrivedAt > 0 {
		return
	}
	req.arrivedAt = max(1, arrivedAt)
	req.deadline = s.limitedByStop(min(req.deadline, arrivedAt+req.timeout-answerMargin))
	if req.attempt != nil {
		req.attempt.deadline = req.deadline
	}
	s.scheduleExpiry(req)
	s.notify(lg.Arrived{Request: req.id})
}

// bodyFailed ends a request whose rest can't be received.
func (s *State) bodyFailed(ev RequestBodyFailed) {
	req := s.arrivingRequest(ev.Conn)
	if req == nil {
		return
	}
	effect := Effect{Verdict: Invalid, Payload: ev.Payload, Last: true}
	if ev.TimedOut {
		effect.Verdict = TooSlow
	}
	s.finish(req, effect)
	s.cancelIncomplete(req)
	s.notify(lg.Departed{Request: req.id})
}

// cancelIncomplete ends the attempt of a streamed request that can't be completed any more. Its server
// never receives all of it, which is not the server's fault.
func (s *State) cancelIncomplete(req *request) {
	if attempt := req.attempt; req.stream && req.completeAt == 0 && attempt != nil && attempt.conn != nil {
		conn := attempt.conn
		s.endAttempt(attempt, lg.Canceled, lg.LoadReport{})
		s.closeConn(conn)
	}
}

// responseStarted holds back an answer of unknown length for streamDelay: most are complete by then,
// and can be retried elsewhere if they break off. After that it is passed on, since the first bytes of
// a long, slow answer must not be held back.
func (s *State) responseStarted(id ConnID) {
	conn := s.serverConns[id]
	if conn == nil || conn.attempt == nil {
		return
	}
	attempt := conn.attempt
	attempt.streamTimer = s.timers.add(s.now+streamDelay, func() {
		if s.serverConns[id] == conn && conn.attempt == attempt {
			s.emit(Effect{Do: StreamResponse, Conn: id})
		}
	})
}

// responseStreaming handles an answer that has begun and is passed on while it arrives: for the decider
// the attempt has succeeded, and the request has its final answer.
func (s *State) responseStreaming(ev ResponseStreaming) {
	conn := s.serverConns[ev.Conn]
	if conn == nil || conn.phase != connWaiting && conn.phase != connAnsweredEarly && conn.phase != connWriting {
		return
	}
	attempt := conn.attempt
	if attempt == nil || attempt.req.done || conn.phase == connAnsweredEarly {
		s.closeConn(conn)
		return
	}
	req, client := attempt.req, attempt.req.client
	conn.reusable = conn.phase == connWaiting // otherwise set once all of the request was written
	conn.phase, req.done, req.streaming, client.source = connStreaming, true, true, conn
	req.payload = nil
	s.endAttempt(attempt, lg.OK, ev.Load)
	s.recordExecuted(client, req)
	if s.cfg.Trace != nil {
		s.trace("F %d streams", req.id)
	}
	s.setPhase(client, clientAnswering)
	client.closeAfterAnswer = client.closeAfterAnswer || s.stopping
	s.emit(Effect{Do: AnswerClient, Conn: client.id, Verdict: Served, Payload: ev.Payload,
		Last: client.closeAfterAnswer})
}

// streamEnded handles the end of an answer that was passed on, or that its client has left.
func (s *State) streamEnded(client *clientConn, ev ResponseWritten) {
	req, conn := client.req, client.source
	client.req, client.source, req.streaming = nil, nil, false
	if ev.OK {
		s.countEnded(req.counts, Served)
	} else {
		s.countEnded(req.counts, Failed)
	}
	s.removeRequest(req)
	if ev.OK && ev.Reusable && conn.reusable {
		s.releaseConn(conn)
	} else {
		s.closeConn(conn)
	}
}
