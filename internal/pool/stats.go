package pool

import (
	"time"

	lg "lilacglade"
)

// Counts tell an operator what became of a next hop's legs.
type Counts struct {
	Opened, OpenedAhead, Failed int    // openings begun, of them ahead of demand, and those that failed
	Closed                      [5]int // by cause, as in Causes
}

// CloseCauses are why a leg was closed, in the order of Counts.Closed.
var CloseCauses = [5]string{"rested", "for another", "no longer wanted", "broken", "at the other side"}

const (
	byRest = iota
	byRoom
	byList
	byUse
	byOther
)

// Stats is what a pool knows of one next hop.
type Stats struct {
	ID                            lg.ServerID
	Conns, Idle, Opening, Waiting int
	ConnLimit                     int           // legs accepted, as far as is known; 0: not known
	ProvenIdle                    time.Duration // legs that have rested so long are used without doubt
	Counts                        Counts
}

// Stats tells how the next hops stand, by id.
func (p *Pool[T]) Stats() []Stats {
	var all []Stats
	for _, h := range p.Servers() {
		all = append(all, Stats{ID: h.ID, Conns: h.legs, Idle: len(h.idle), Opening: h.opening,
			Waiting: len(h.waiting), ConnLimit: h.cap, ProvenIdle: min(p.limit, h.rest.proved), Counts: h.Counts})
	}
	return all
}
