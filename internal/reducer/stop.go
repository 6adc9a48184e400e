package reducer

import "time"

// Times of a planned stop, from Stopping on. The platform may kill the process as early as the longest
// deadline of the deployment, of which maxKillDeadline counts at most, and killGrace after it asked it to
// stop. What has arrived by then and is not answered is lost.
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	// killMargin covers a process that is held up before it writes its answers.
	killMargin    = 150 * time.Millisecond
	drainDelay    = 400 * time.Millisecond // new clients still arrive this long after a stop begins
	drainInterval = 50 * time.Millisecond  // after drainDelay, between two closings of idle connections
)

// stop begins a planned stop.
func (s *State) stop() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.stopDeadline = s.now + min(s.longestDeadline(), maxKillDeadline) + killGrace - killMargin
	s.limitOpenRequests()
	s.limitServerConns()
	s.publishReadiness()
	s.timers.add(s.now+drainDelay, s.drain)
}

// longestDeadline returns the longest deadline of the classes that the deployment offers.
func (s *State) longestDeadline() (longest time.Duration) {
	classes := s.cfg.Settings.Classes
	if offered := s.cfg.Settings.Offered; offered > 0 {
		classes = classes[:offered]
	}
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	return longest
}

// limitedByStop returns the deadline of a request, or an earlier one if the process may be killed before.
// A process that was not killed then has no end that is known: requests have their clients' time again.
func (s *State) limitedByStop(deadline time.Duration) time.Duration {
	if !s.stopping || s.now >= s.stopDeadline+killMargin {
		return deadline
	}
	return min(deadline, s.stopDeadline)
}

// limitOpenRequests has the open requests answered in time for a stop. One that is still arriving is
// limited once its last byte has come.
func (s *State) limitOpenRequests() {
	for _, req := range sortedValues(s.requests) {
		if req.done || req.stream && req.arrivedAt == 0 {
			continue
		}
		req.deadline = s.limitedByStop(req.deadline)
		if req.attempt != nil {
			req.attempt.deadline = min(req.attempt.deadline, req.deadline)
		}
		s.scheduleExpiry(req)
	}
}

// drain closes idle clients, and repeats this for those that still connect.
func (s *State) drain() {
	s.drained = true
	s.timers.add(s.now+drainInterval, s.drain)
	s.closeIdleClients()
}

// closeIdleClients closes idle clients, except those that have just connected and are about to send a
// request.
func (s *State) closeIdleClients() {
	for _, client := range sortedValues(s.clients) {
		if client.phase == clientIdle && (client.hasRequested || s.now-client.since >= newClientGrace) {
			s.checkIdle(client)
		}
	}
}

// finishOrDrain ends the process once nothing is due to any client. It drains the accept queue first:
// otherwise a client that has connected, but is not reported yet, would get no answer.
func (s *State) finishOrDrain() {
	switch {
	case s.acceptQueueDrained:
		s.emit(Effect{Do: Finish})
	case !s.drainingAcceptQueue:
		s.drainingAcceptQueue = true
		s.emit(Effect{Do: DrainAcceptQueue})
	}
}

// hasOpenClients reports whether any client connection may still be sent something.
func (s *State) hasOpenClients() bool {
	for _, client := range s.clients {
		if client.phase != clientClosing {
			return true
		}
	}
	return false
}
