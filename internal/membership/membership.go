// Package membership tracks what a proxy knows of its peers: from whom it has received messages, when,
// and from which process. It is pure. The information may be out of date, so nothing that must be safe
// depends on it.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Member is a peer as of its latest message.
type Member struct {
	Name        string
	Incarnation uint64 // identifies the process; each start has a new one
	ID          uint64 // identity as a voter
	Boot        uint64 // number of this start of the identity ID
	Addr        string // address for its peers, as reported by itself
	Blank       bool   // the peer has never been part of a log
	Level       uint64 // protocol level that it understands
	LastHeard   time.Duration
}

// State is the assumed liveness of a peer.
type State uint8

// The states of a peer.
const (
	Unknown   State = iota
	Alive           // a message arrived recently
	Suspected       // no message for a short time
	Lost            // no message for a long time
)

func (s State) String() string { return [...]string{"unknown", "alive", "suspected", "lost"}[s] }

const (
	suspectAfter = 3    // multiple of the interval at which a peer sends
	maxMembers   = 4096 // above, the peer with the oldest last message is evicted
)

// Table holds the known peers.
type Table struct {
	lostAfter time.Duration
	all       map[string]*Member
	boots     map[uint64]uint64 // latest start received of each identity
}

// New returns an empty Table. A peer without a message for longer than lostAfter counts as lost.
func New(lostAfter time.Duration) *Table {
	return &Table{lostAfter: lostAfter, all: map[string]*Member{}, boots: map[uint64]uint64{}}
}

// Observe records a message from a peer at time now. It reports whether the peer's process was unknown
// before. A delayed message from an earlier process is ignored where the order is known: only the starts
// of one identity are ordered, and the latest counts.
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

// evict removes the peer whose last message is the oldest.
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

// LatestBoot returns the latest start received of an identity; 0 if none.
func (t *Table) LatestBoot(id uint64) uint64 { return t.boots[id] }

// Get returns a peer; nil if no message from it was received.
func (t *Table) Get(name string) *Member { return t.all[name] }

// State returns the assumed liveness of a peer that sends at the given interval.
func (t *Table) State(now time.Duration, name string, interval time.Duration) State {
	m := t.all[name]
	switch {
	case m == nil:
		return Unknown
	case now-m.LastHeard > max(t.lostAfter, suspectAfter*interval):
		return Lost
	case now-m.LastHeard > suspectAfter*interval:
		return Suspected
	}
	return Alive
}

// All lists the peers, sorted by name.
func (t *Table) All() []*Member {
	var all []*Member
	for _, m := range t.all {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
