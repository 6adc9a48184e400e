package reducer

import (
	"fmt"

	lg "lilacglade"
	"lilacglade/internal/pool"
)

// Tracer is called with one line for each step of a request, a server connection and the server list.
// Lines begin with a letter: A request received, S attempt started, G connection given to an attempt
// (with the time it was idle), E attempt ended, F final answer, O connection opening, D result of the
// dial, C connection closed, W discovery called, L list received, I a server in it, X a client
// connection ended. They show the load that a whole fleet puts on one server. A nil Tracer costs one
// comparison for each step.
type Tracer func(line string)

var verdictNames = [...]string{Served: "served", Rejected: "busy", Failed: "broken",
	DeadlineExceeded: "late", Invalid: "faulty", DuplicateName: "taken", ReadyNow: "ready", NotReady: "notready",
	TooSlow: "slow"}

var listKindNames = [...]string{lg.FullList: "full", lg.Changes: "changes", lg.CachedList: "cached",
	lg.ListFailed: "failed"}

// trace writes a line. The caller checks that tracing is on: otherwise the arguments would be moved to
// the heap, several for each request, only to be discarded.
func (s *State) trace(format string, args ...any) { s.cfg.Trace(fmt.Sprintf(format, args...)) }

// traceList traces an update of the server list.
func (s *State) traceList(list lg.List) {
	s.trace("L %s %d at zone %d", listKindNames[list.Kind], len(list.Servers), s.cfg.Settings.Zone)
	for _, server := range list.Servers {
		s.trace("I %x zone %d state %d started %d", uint64(server.ID), server.Zone, server.State,
			server.Started.Milliseconds())
	}
}

// traceAct traces an action of the pool.
func (s *State) traceAct(act pool.Action[*attempt]) {
	id, server := pool.ConnID(0), lg.ServerID(0)
	if act.Conn != nil {
		id, server = act.Conn.ID, act.Conn.Server.ID
	}
	request := "-"
	if act.Ticket != nil {
		request = fmt.Sprint(act.Ticket.req.id)
		server = act.Ticket.server.ID
	}
	switch act.Kind {
	case pool.Open:
		s.trace("O %d %x for %s", id, uint64(server), request)
	case pool.Close:
		s.trace("C %d %x", id, uint64(server))
	case pool.Assign:
		s.trace("G %d %x to %s rested %d", id, uint64(server), request, act.Conn.IdleFor.Milliseconds())
	}
}
