// Package membership is what a proxy knows of its peers: who was heard, when, as which process. It is pure.
// What it says is a belief with an age; nothing that must be safe follows from it.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Member is a peer as last heard.
type Member struct {
	Name        string
	Incarnation uint64 // its incarnation: another start is another one
	ID          uint64 // as a voter
	Boot        uint64 // which start this is of that identity
	Addr        string // where it listens to its peers, as it says itself
	Blank       bool   // it has never been part of a log
	Level       uint64 // what it understands
	LastHeard   time.Duration
}

// State is what to think of a peer.
type State uint8

// The states.
const (
	Unknown   State = iota
	Alive           // heard lately
	Suspected       // not heard for a while
	Lost            // not heard for long
)

func (s State) String() string { return [...]string{"unknown", "alive", "suspected", "lost"}[s] }

const (
	suspectAfter = 3    // times the pace at which peers speak
	maxMembers   = 4096 // beyond, who has not been heard for longest is forgotten
)

// Table holds the peers.
type Table struct {
	lostAfter time.Duration
	all       map[string]*Member
	boots     map[uint64]uint64 // the latest start heard of each identity
}

// New is an empty table. A peer that has not been heard for so long counts as lost.
func New(lostAfter time.Duration) *Table {
	return &Table{lostAfter: lostAfter, all: map[string]*Member{}, boots: map[uint64]uint64{}}
}

// Observe takes in that a peer spoke. It tells whether this process of it was not known. Guards against a late
// word of an earlier process: only starts of one identity have an order, and there the later one counts.
func (t *Table) Observe(now time.Duration, m Member) bool {
	m.LastHeard = now
	old := t.all[m.Name]
	if old != nil && old.ID == m.ID && old.Boot > m.Boot {
		return false
	}
	if t.boots[m.ID] = max(t.boots[m.ID], m.Boot); len(t.boots) > 2*maxMembers {
		clear(t.boots)
	}
	if old == nil && len(t.all) >= maxMembers {
		t.evict()
	}
	t.all[m.Name] = &m
	return old == nil || old.Incarnation != m.Incarnation
}

// evict forgets who has not been heard for longest.
func (t *Table) evict() {
	var oldest *Member
	for _, m := range t.all {
		if oldest == nil || m.LastHeard < oldest.LastHeard ||
			m.LastHeard == oldest.LastHeard && m.Name < oldest.Name {
			oldest = m
		}
	}
	delete(t.all, oldest.Name)
	delete(t.boots, oldest.ID)
}

// LatestBoot is the latest start that was heard of an identity.
func (t *Table) LatestBoot(id uint64) uint64 { return t.boots[id] }

// Get is a peer, nil if it was never heard.
func (t *Table) Get(name string) *Member { return t.all[name] }

// State tells what to think of a peer that speaks at a pace.
func (t *Table) State(now time.Duration, name string, pace time.Duration) State {
	m := t.all[name]
	switch {
	case m == nil:
		return Unknown
	case now-m.LastHeard > max(t.lostAfter, suspectAfter*pace):
		return Lost
	case now-m.LastHeard > suspectAfter*pace:
		return Suspected
	}
	return Alive
}

// All lists the peers by name.
func (t *Table) All() []*Member {
	var all []*Member
	for _, m := range t.all {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
