// Package maintenance is the state machine of machines taken out for work: entries of the log that the
// proxies agree on come in, in their order, and the same state follows everywhere. It is pure: no clock, no
// sockets. Every guard is checked where an entry is applied, so that no leader can go round it; what only a
// clock can tell (a lease that ran out) comes in with the entry and is the proposer's to prove.
package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// State is the state after an entry. New makes the first.
type State struct {
	Index           uint64                  `cbor:"1,keyasint"`
	Participants    map[string]*Participant `cbor:"2,keyasint"`
	Orders          []*Order                `cbor:"3,keyasint"`
	Works           []*Work                 `cbor:"4,keyasint"`  // in the order in which they were named
	Results         []Result                `cbor:"5,keyasint"`  // oldest first
	Steps           uint64                  `cbor:"6,keyasint"`  // taken so far
	MaxParticipants int                     `cbor:"7,keyasint"`  // most parties that there ever were
	Grace           time.Duration           `cbor:"8,keyasint"`  // the longest of any party ever
	LastZone        string                  `cbor:"9,keyasint"`  // zone of the last grant
	Boots           map[string]Boot         `cbor:"10,keyasint"` // the latest start of each name that was taken in
	Level           uint64                  `cbor:"11,keyasint,omitempty"`
}

// Boot is a start of an identity as a voter.
type Boot struct {
	ID   uint64 `cbor:"1,keyasint"`
	Boot uint64 `cbor:"2,keyasint"`
}

// New is the state before the first entry.
func New() *State { return &State{Participants: map[string]*Participant{}, Boots: map[string]Boot{}} }

// Active is the work on a machine that is not ended, nil if there is none.
func (s *State) Active(machine string) *Work {
	for _, w := range s.Works {
		if w.Machine.ID == machine && !w.Step.Ended() {
			return w
		}
	}
	return nil
}

// Order is the order of that id, nil if there is none.
func (s *State) Order(id string) *Order {
	for _, o := range s.Orders {
		if o.ID == id {
			return o
		}
	}
	return nil
}

// Named lists the machines that may go out: who is cut off sends nothing new there. They are few at any time,
// so that a proxy that is cut off has room to go on with.
func (s *State) Named() (ids []string) {
	for _, w := range s.Works {
		if w.Announced > 0 && !w.Step.Ended() {
			ids = append(ids, w.Machine.ID)
		}
	}
	return ids
}

// Mark is a machine to which nothing new may be sent, with the index of its grant.
type Mark struct {
	Machine string `cbor:"1,keyasint"`
	Grant   uint64 `cbor:"2,keyasint"`
}

// Marked lists the machines to which nothing new may be sent.
func (s *State) Marked() (marks []Mark) {
	for _, w := range s.Works {
		if w.Step.Marked() {
			marks = append(marks, Mark{w.Machine.ID, w.Granted})
		}
	}
	return marks
}

// maxResults bounds the results that are remembered: a call that is sent again later than so many others
// is refused by what it asks for (an order's id, a step), not by its own id.
const maxResults = 512

// Result is what became of an operators' call.
type Result struct {
	Call string `cbor:"1,keyasint"`
	Err  string `cbor:"2,keyasint,omitempty"`
}

// Result is what became of a call; ok is false if it was not carried out yet, or too long ago.
func (s *State) Result(call string) (r Result, ok bool) {
	for _, r := range s.Results {
		if r.Call == call {
			return r, true
		}
	}
	return r, false
}

// Apply takes an entry at an index, at which there may be several. It returns why nothing changed, nil if the
// entry counted. A call that was carried out before gives what it gave then.
func (s *State) Apply(index uint64, c Command) error {
	if index < s.Index {
		return errors.New("an old entry")
	}
	s.Index = index
	if c.Call == "" {
		return s.apply(c)
	}
	if r, ok := s.Result(c.Call); ok {
		if r.Err != "" {
			return errors.New(r.Err)
		}
		return nil
	}
	err := s.apply(c)
	r := Result{Call: c.Call}
	if err != nil {
		r.Err = err.Error()
	}
	s.Results = append(s.Results, r)
	if n := len(s.Results) - maxResults; n > 0 {
		s.Results = slices.Delete(s.Results, 0, n)
	}
	return err
}

func (s *State) apply(c Command) error {
	switch c.Kind {
	case NoOp:
		return nil
	case Join:
		return s.join(c.Participant)
	case Leave, RemoveExpired:
		p := s.Participants[Key(c.Name, c.Inc)]
		if p == nil || c.Kind == RemoveExpired && !p.Gone {
			return fmt.Errorf("no such party: %s", Key(c.Name, c.Inc))
		}
		s.drop(p)
		return nil
	case Forget:
		return s.forget(c.Name)
	case Acknowledge:
		for _, n := range c.Reports {
			if p := s.Participants[n.Participant]; p != nil {
				p.Acknowledged = max(p.Acknowledged, min(n.Index, s.Index))
			}
		}
		return nil
	case Clear:
		return s.clear(c.Reports)
	case Submit:
		return s.submit(c.Order)
	case Pause, Resume, Cancel:
		return s.order(c)
	case RaiseLevel:
		s.Level = max(s.Level, c.Index)
		return nil
	}
	w := s.Active(c.Machine)
	if w == nil {
		return fmt.Errorf("machine %q: no order names it now", c.Machine)
	}
	return s.step(w, c)
}
