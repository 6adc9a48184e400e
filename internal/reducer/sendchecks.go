package reducer

import (
	"time"

	lg "lilacglade"
	"lilacglade/internal/sendguard"
)

// lateAnswerGrace is how long after its client's deadline the answer to a request is not yet counted as
// a violation.
const lateAnswerGrace = 500 * time.Millisecond

// Violations returns the number of violations of each rule so far.
func (s *State) Violations() sendguard.Counts { return s.violations }

// setLocation records the zone and cell of a server.
func (s *State) setLocation(server lg.Server) {
	if server.State == lg.Gone {
		delete(s.locations, server.ID)
		return
	}
	s.locations[server.ID] = sendguard.Location{Zone: server.Zone, Cell: server.Cell}
}

// sendCheckInput returns the input of sendguard.Check for an attempt that is about to be written.
func (s *State) sendCheckInput(attempt *attempt) sendguard.Attempt {
	req := attempt.req
	input := sendguard.Attempt{Now: s.now, State: attempt.server.State(), Location: attempt.location,
		Class: *req.class, Ended: req.done || req.client == nil,
		AtOnce:      req.attempt != attempt,
		Unconfirmed: s.listPushed() && !s.list.confirmed && s.now < s.cfg.ConfirmTimeout, Expired: s.listExpired()}
	if req.mayHaveRun {
		input.Prior = &req.firstRun
	}
	return input
}

// recordViolation counts a broken rule, which is a bug in the program.
func (s *State) recordViolation(rule sendguard.Rule, req *request) {
	s.violations[rule]++
	name := ""
	if req != nil {
		name = req.name
	}
	s.emit(Effect{Do: Log, Text: "INVARIANT " + rule.String() + ": request " + name})
	s.metricsChanged()
}

// checkClientClose checks that no client connection is closed while an answer is due on it.
func (s *State) checkClientClose(client *clientConn, cause CloseCause) {
	if client.req != nil && cause != ClosedForMaintenance {
		s.recordViolation(sendguard.Abandoned, client.req)
	}
}

// checkAnswer checks that a request gets its final answer while its client still waits.
func (s *State) checkAnswer(req *request) {
	arrived := !req.stream || req.arrivedAt > 0
	if req.client != nil && arrived && s.now > req.deadline+answerMargin+lateAnswerGrace {
		s.recordViolation(sendguard.Overdue, req)
	}
}
