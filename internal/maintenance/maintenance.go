// Package maintenance is the replicated state machine that decides which machines may be taken out
// of service. It applies the entries of the replicated log in order, and every proxy reaches the
// same state. It is pure: it uses no clock and no sockets. Every precondition is checked when an
// entry is applied, so that no leader can bypass it. Facts that need a clock, such as an expired
// lease, are part of the entry, and the proposer is responsible for them.
package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// State is the state after an entry. New returns the initial one.
type State struct {
	Index           uint64                  `cbor:"1,keyasint"`
	Participants    map[string]*Participant `cbor:"2,keyasint"`
	Orders          []*Order                `cbor:"3,keyasint"`
	Works           []*Work                 `cbor:"4,keyasint"`  // in the order in which orders listed them
	Results         []Result                `cbor:"5,keyasint"`  // oldest first
	Steps           uint64                  `cbor:"6,keyasint"`  // number of steps taken, of all machines
	MaxParticipants int                     `cbor:"7,keyasint"`  // highest number of participants ever
	Grace           time.Duration           `cbor:"8,keyasint"`  // highest Grace of any participant ever
	LastZone        string                  `cbor:"9,keyasint"`  // zone of the last granted machine
	Boots           map[string]Boot         `cbor:"10,keyasint"` // latest start of each participant name
	Level           uint64                  `cbor:"11,keyasint,omitempty"`
}

// Boot identifies one start of a voter identity.
type Boot struct {
	ID   uint64 `cbor:"1,keyasint"`
	Boot uint64 `cbor:"2,keyasint"` // number of the start, from 1
}

// New returns the state before the first entry.
func New() *State { return &State{Participants: map[string]*Participant{}, Boots: map[string]Boot{}} }

// Active returns the work on a machine that has not ended, nil if there is none.
func (s *State) Active(machine string) *Work {
	for _, w := range s.Works {
		if w.Machine.ID == machine && !w.Step.Ended() {
			return w
		}
	}
	return nil
}

// Order returns the order with an id, nil if there is none.
func (s *State) Order(id string) *Order {
	for _, o := range s.Orders {
		if o.ID == id {
			return o
		}
	}
	return nil
}

// Named lists the announced machines, which may go out: a proxy that is cut off sends them no new
// requests. Their number is limited, so that a proxy that is cut off keeps enough capacity.
func (s *State) Named() (ids []string) {
	for _, w := range s.Works {
		if w.Announced > 0 && !w.Step.Ended() {
			ids = append(ids, w.Machine.ID)
		}
	}
	return ids
}

// Mark is a machine that must get no new requests, with the index of its grant.
type Mark struct {
	Machine string `cbor:"1,keyasint"`
	Grant   uint64 `cbor:"2,keyasint"`
}

// Marked lists the machines that must get no new requests.
func (s *State) Marked() (marks []Mark) {
	for _, w := range s.Works {
		if w.Step.Marked() {
			marks = append(marks, Mark{w.Machine.ID, w.Granted})
		}
	}
	return marks
}

// maxResults is the number of results that are kept. A repeat of an older call is not recognised by
// its id, but fails on its content: the order's id exists already, or the step doesn't fit.
const maxResults = 512

// Result is the outcome of an operator's call.
type Result struct {
	Call string `cbor:"1,keyasint"`
	Err  string `cbor:"2,keyasint,omitempty"` // empty: success
}

// Result returns the outcome of a call. ok is false if the call was not applied yet, or too long ago.
func (s *State) Result(call string) (r Result, ok bool) {
	for _, r := range s.Results {
		if r.Call == call {
			return r, true
		}
	}
	return r, false
}

// Apply applies an entry at an index; one index may have several entries. It returns why the entry
// changed nothing, nil if it was applied. A call that was applied before returns its earlier
// result. The errors are part of the replicated state (Result.Err): changing their text makes
// proxies of two versions differ.
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
