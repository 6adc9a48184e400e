package pool

import (
	"time"

	lg "lilacglade"
)

// Counts tell an operator what became of a next hop's legs.
type Counts struct {
	Opened, Ahead, Failed int    // openings begun, of them ahead of demand, and those that failed
	Closed                [5]int // by cause, as in Causes
}

// Causes are why a leg was closed, in the order of Counts.Closed.
var Causes = [5]string{"rested", "for another", "no longer wanted", "broken", "at the other side"}

const (
	byRest = iota
	byRoom
	byList
	byUse
	byOther
)

// Stats is what a pool knows of one next hop.
type Stats struct {
	ID                        lg.ServerID
	Legs, Idle, Opening, Wait int
	Cap                       int           // legs accepted, as far as is known; 0: not known
	Trusted                   time.Duration // legs that have rested so long are used without doubt
	Counts                    Counts
}

// Stats tells how the next hops stand, by id.
func (p *Pool[T]) Stats() []Stats {
	var all []Stats
	for _, h := range p.Hops() {
		all = append(all, Stats{ID: h.ID, Legs: h.legs, Idle: len(h.idle), Opening: h.opening, Wait: len(h.waiting),
			Cap: h.cap, Trusted: min(p.limit, h.rest.proved), Counts: h.Counts})
	}
	return all
}
