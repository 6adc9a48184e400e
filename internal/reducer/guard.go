package reducer

import (
	"time"

	lg "lilacglade"
	"lilacglade/internal/sendguard"
)

// lateAnswer is how long after its client gave up a request's answer still counts as one.
const lateAnswer = 500 * time.Millisecond

// Violations are the rules that were found broken so far.
func (s *State) Violations() sendguard.Counts { return s.broken }

// place notes where a server stands.
func (s *State) place(l lg.Server) {
	if l.State == lg.Gone {
		delete(s.places, l.ID)
		return
	}
	s.places[l.ID] = sendguard.Place{Zone: l.Zone, Cell: l.Cell}
}

// attempt is what the guard asks of a branch that is about to be written.
func (s *State) attempt(b *branch) sendguard.Attempt {
	r := b.req
	a := sendguard.Attempt{Now: s.now, State: b.hop.State(), Place: b.place,
		Class: s.cfg.Settings.Classes[r.class], Ended: r.done || r.caller == nil, AtOnce: r.branch != b,
		Unconfirmed: s.pushed() && !s.list.confirmed && s.now < s.cfg.Confirm, Expired: s.expired()}
	if r.mayRun {
		a.Ran = &r.ran
	}
	return a
}

// violated counts a broken rule. It is a fault of the program.
func (s *State) violated(rule sendguard.Rule, r *request) {
	s.broken[rule]++
	name := ""
	if r != nil {
		name = r.name
	}
	s.do(Effect{Do: Log, Text: "INVARIANT " + rule.String() + ": request " + name})
	s.changed()
}

// checkClose holds that no client's connection is ended while an answer is owed on it.
func (s *State) checkClose(c *caller, cause CloseCause) {
	if c.req != nil && cause != ClosedForWork {
		s.violated(sendguard.Abandoned, c.req)
	}
}

// checkAnswer holds that a request gets its final answer while its client still waits.
func (s *State) checkAnswer(r *request) {
	if r.caller != nil && !r.stream && s.now > r.deadline+margin+lateAnswer {
		s.violated(sendguard.Overdue, r)
	}
}
