package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Participant is a process that may send requests to machines.
type Participant struct {
	Name         string        `cbor:"1,keyasint"`
	Inc          uint64        `cbor:"2,keyasint"`           // incarnation of the process
	Addr         string        `cbor:"3,keyasint"`           // address at which its peers reach it
	Joined       uint64        `cbor:"4,keyasint"`           // index at which it joined
	Acknowledged uint64        `cbor:"5,keyasint,omitempty"` // it has acknowledged the state up to this index
	Gone         bool          `cbor:"6,keyasint,omitempty"` // another process has its address, so it is dead
	Grace        time.Duration `cbor:"7,keyasint,omitempty"` // maximum duration of one of its requests
	ID           uint64        `cbor:"8,keyasint,omitempty"` // its identity as a voter
	Boot         uint64        `cbor:"9,keyasint,omitempty"` // number of this start of that identity
	// Resumed: before its first lease it may send, by the state that its disk had at Acknowledged.
	// Without it, it sends nothing before that lease.
	Resumed bool `cbor:"10,keyasint,omitempty"`
}

// Key returns the key of a participant: its name and incarnation.
func Key(name string, inc uint64) string { return fmt.Sprintf("%s/%x", name, inc) }

// Key returns the participant's key.
func (p *Participant) Key() string { return Key(p.Name, p.Inc) }

// knows reports whether the participant, if it sends at all, knows the announcements up to an
// index. One that joined later sends nothing before it has received a newer state, unless it has
// resumed from an older one.
func (p *Participant) knows(index uint64) bool { return p.KnownIndex() >= index }

// KnownIndex returns the index up to which the participant certainly knows the announcements, if it
// sends at all.
func (p *Participant) KnownIndex() uint64 {
	if p.Resumed {
		return p.Acknowledged
	}
	return max(p.Acknowledged, p.Joined)
}

// join adds a participant. Two processes may have the same name: only the same address, which one
// process can hold at a time, proves that the earlier one is dead.
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

// drop removes a participant.
func (s *State) drop(p *Participant) {
	delete(s.Participants, p.Key())
	for _, w := range s.Works {
		delete(w.Clear, p.Key())
	}
}

// forget removes all participants of a name.
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

// sorted lists the participants in the order of their keys.
func (s *State) sorted() []*Participant {
	all := make([]*Participant, 0, len(s.Participants))
	for _, p := range s.Participants {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *Participant) int { return cmp.Compare(a.Key(), b.Key()) })
	return all
}

// FirstUnaware returns the key of the first participant that may not know that a machine is
// announced, "" if all know.
func (s *State) FirstUnaware(w *Work) string {
	for _, p := range s.sorted() {
		if w.concerns(p) && !p.knows(w.Announced) {
			return p.Key()
		}
	}
	return ""
}

// FirstHolding returns the key of the first participant that may still have requests at a machine,
// "" if there is none. Such a participant has not reported that it is clear, its lease is not among
// the expired ones, and it joined before the grant. One that joined later learns of the machine
// with its first lease, or knew it from its disk.
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
