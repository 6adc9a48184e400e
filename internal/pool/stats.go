package pool

import (
	"time"

	lg "lilacglade"
)

// Counts are counters of one server's connections.
type Counts struct {
	Opened, OpenedAhead, Failed int    // openings started, those of them ahead of demand, and those that failed
	Closed                      [5]int // by cause, indexed as CloseCauses
}

// CloseCauses names why a connection was closed, in the order of Counts.Closed.
var CloseCauses = [5]string{"rested", "for another", "no longer wanted", "broken", "at the other side"}

// Indices of CloseCauses.
const (
	causeIdle        = iota // idle for too long
	causeEvicted            // closed to make a slot for a connection to another server
	causeServerState        // the server takes no new requests
	causeUnusable           // unusable after an exchange
	causePeer               // closed by the server's side
)

// Stats describes the connections to one server.
type Stats struct {
	ID                            lg.ServerID
	Conns, Idle, Opening, Waiting int
	ConnLimit                     int           // connections that the server accepts; 0: not known
	ProvenIdle                    time.Duration // idle time up to which connections are used without doubt
	Counts                        Counts
}

// Stats returns the statistics of all servers, sorted by ID.
func (p *Pool[T]) Stats() []Stats {
	var all []Stats
	for _, s := range p.Servers() {
		all = append(all, Stats{ID: s.ID, Conns: s.conns, Idle: len(s.idle), Opening: s.opening,
			Waiting: len(s.waiting), ConnLimit: s.connLimit, ProvenIdle: min(p.idleLimit, s.liveness.proven),
			Counts: s.Counts})
	}
	return all
}
