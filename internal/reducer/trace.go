package reducer

import (
	"fmt"

	lg "lilacglade"
	"lilacglade/internal/pool"
)

// Tracer takes one line for each step of a request, of a hop leg and of the server list. Lines begin with
// a letter: A request taken, S branch to a next hop, G leg given (with its rest), E branch ended,
// F final answer, O leg opened, D how that went, C leg closed, W discovery asked, L what it told, I a
// line of that, X a client's connection ended. Whoever counts what a whole fleet
// does to one next hop reads these; nil costs one check.
type Tracer func(line string)

var verdicts = [...]string{Served: "served", Busy: "busy", Broken: "broken", Late: "late", Faulty: "faulty",
	Taken: "taken", ReadyNow: "ready", NotReady: "notready", TooSlow: "slow"}

var lists = [...]string{lg.FullList: "full", lg.Changes: "changes", lg.CachedList: "cached",
	lg.ListFailed: "failed"}

// trace writes a line. Callers check that any are wanted: guards against arguments that are moved to the
// heap, several for each request, to be thrown away.
func (s *State) trace(format string, args ...any) { s.cfg.Trace(fmt.Sprintf(format, args...)) }

// traceList writes what the server list told.
func (s *State) traceList(list lg.List) {
	s.trace("L %s %d at zone %d", lists[list.Kind], len(list.Servers), s.cfg.Settings.Zone)
	for _, l := range list.Servers {
		s.trace("I %x zone %d state %d started %d", uint64(l.ID), l.Zone, l.State, l.Started.Milliseconds())
	}
}

// traceAct writes what the pool asked for.
func (s *State) traceAct(a pool.Act[*branch]) {
	id, hop := pool.LegID(0), lg.ServerID(0)
	if a.Leg != nil {
		id, hop = a.Leg.ID, a.Leg.Hop.ID
	}
	of := "-"
	if a.Ticket != nil {
		of = fmt.Sprint(a.Ticket.req.id)
		hop = a.Ticket.hop.ID
	}
	switch a.Do {
	case pool.Open:
		s.trace("O %d %x for %s", id, uint64(hop), of)
	case pool.Close:
		s.trace("C %d %x", id, uint64(hop))
	case pool.Give:
		s.trace("G %d %x to %s rested %d", id, uint64(hop), of, a.Leg.Rested.Milliseconds())
	}
}
