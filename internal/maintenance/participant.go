package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Participant is a process that may send to machines.
type Participant struct {
	Name         string        `cbor:"1,keyasint"`
	Inc          uint64        `cbor:"2,keyasint"` // its incarnation
	Addr         string        `cbor:"3,keyasint"` // where it listens to its peers
	Joined       uint64        `cbor:"4,keyasint"`
	Acknowledged uint64        `cbor:"5,keyasint,omitempty"` // it knows the state up to this index
	Gone         bool          `cbor:"6,keyasint,omitempty"` // another process has its address: it is dead
	Grace        time.Duration `cbor:"7,keyasint,omitempty"` // the longest that a request of it may take
	ID           uint64        `cbor:"8,keyasint,omitempty"` // as a voter
	Boot         uint64        `cbor:"9,keyasint,omitempty"` // which start this is of that identity
	// Resumed: until its first lease it may go on by what its disk knew at Knows; else it sends nothing then
	Resumed bool `cbor:"10,keyasint,omitempty"`
}

// Key names a party: a name and an incarnation.
func Key(name string, inc uint64) string { return fmt.Sprintf("%s/%x", name, inc) }

// Key names the party.
func (p *Participant) Key() string { return Key(p.Name, p.Inc) }

// knows tells whether the party, if it sends at all, knows what was named at an index. One that joined
// later sends nothing before it was told the state as it is then, unless it goes on by an older one.
func (p *Participant) knows(index uint64) bool { return p.KnownIndex() >= index }

// KnownIndex is the index up to which the party surely knows what was named, if it sends at all.
func (p *Participant) KnownIndex() uint64 {
	if p.Resumed {
		return p.Acknowledged
	}
	return max(p.Acknowledged, p.Joined)
}

// join takes in a party. Guards against two processes of one name being taken for one: only the address,
// which one process can hold at a time, proves that the earlier one is dead.
func (s *State) join(p *Participant) error {
	if p == nil || p.Name == "" || p.Inc == 0 {
		return errors.New("join: no party")
	}
	if s.Participants[p.Key()] != nil {
		return nil
	}
	for _, o := range s.Participants {
		if o.Name == p.Name && o.Addr == p.Addr {
			o.Gone = true
		}
	}
	n := *p
	n.Joined, n.Gone = s.Index, false
	if n.Acknowledged = min(n.Acknowledged, s.Index); !n.Resumed {
		n.Acknowledged = 0
	}
	s.Participants[n.Key()] = &n
	if b := s.Boots[n.Name]; b.ID != n.ID || b.Boot < n.Boot {
		s.Boots[n.Name] = Boot{n.ID, n.Boot}
	}
	s.MaxParticipants = max(s.MaxParticipants, len(s.Participants))
	s.Grace = max(s.Grace, n.Grace)
	return nil
}

// drop takes a party out.
func (s *State) drop(p *Participant) {
	delete(s.Participants, p.Key())
	for _, w := range s.Works {
		delete(w.Clear, p.Key())
	}
}

// forget takes out all parties of a name.
func (s *State) forget(name string) error {
	found := false
	for _, p := range s.sorted() {
		if p.Name == name {
			s.drop(p)
			found = true
		}
	}
	if !found {
		return fmt.Errorf("party %q: unknown", name)
	}
	return nil
}

// sorted lists the parties by key.
func (s *State) sorted() []*Participant {
	all := make([]*Participant, 0, len(s.Participants))
	for _, p := range s.Participants {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *Participant) int { return cmp.Compare(a.Key(), b.Key()) })
	return all
}

// FirstUnaware is the first party that has not said that it knows a machine as named, "" if all have.
func (s *State) FirstUnaware(w *Work) string {
	for _, p := range s.sorted() {
		if w.concerns(p) && !p.knows(w.Announced) {
			return p.Key()
		}
	}
	return ""
}

// FirstHolding is the first party that may still have something at a machine, "" if there is none: it has not
// said that it is clear, its lease is not among those that have surely run out, and it joined before the
// grant (one that joins later knows of it with its first lease, or by what its disk knew before).
func (s *State) FirstHolding(w *Work, expired []string) string {
	for _, p := range s.sorted() {
		stopped := slices.Contains(expired, p.Key()) && p.knows(w.Announced)
		later := p.Joined > w.Granted && p.knows(w.Announced)
		if w.concerns(p) && !later && !w.Clear[p.Key()] && !stopped {
			return p.Key()
		}
	}
	return ""
}
