package maintenance

import (
	"fmt"
	"slices"
)

// Step is the state of a machine in its order. Its values are encoded: their order must not change.
type Step uint8

// The steps. From Granted to Out the machine gets no new requests. A Returning machine counts as
// out of service until it is Done.
const (
	Waiting   Step = iota
	Granted        // participants that learn of it stop sending new requests there
	Draining       // the first participant has reported that it has no requests there
	Free           // no participant has requests there: it may be switched off
	Out            // an operator has reported work on it
	Returning      // it gets requests again, in slow start if it has restarted
	Done
	Failed // it was out for longer than the order allows, or an operator gave it up: it stays marked
	Cancelled
)

var stepNames = [...]string{"waiting", "granted", "draining", "free", "out", "returning", "done", "failed",
	"cancelled"}

// String returns the step's name, as operators see it.
func (s Step) String() string { return stepNames[min(int(s), len(stepNames)-1)] }

// Marked reports whether a machine in this step must get no new requests.
func (s Step) Marked() bool { return s >= Granted && s <= Out || s == Failed }

// missing reports whether a machine in this step is out of service.
func (s Step) missing() bool { return s.Marked() || s == Returning }

// Ended reports whether the order has finished with a machine. It has not with a failed one, which
// stays announced.
func (s Step) Ended() bool { return s == Done || s == Cancelled }

// transitions lists the steps from which each kind of entry is allowed, and the step to which it
// leads. Return, SetFree, Revoke and Grant have further preconditions in step.
var transitions = map[Kind]struct {
	from []Step
	to   Step
}{
	Grant:   {[]Step{Waiting}, Granted},
	SetFree: {[]Step{Granted, Draining}, Free},
	SetOut:  {[]Step{Free}, Out},
	Return:  {[]Step{Free, Out, Failed}, Returning},
	SetDone: {[]Step{Returning}, Done},
	Fail:    {[]Step{Free, Out}, Failed},
	Revoke:  {[]Step{Granted, Draining}, Waiting},
}

// step applies an entry that concerns one machine.
func (s *State) step(w *Work, c Command) error {
	if c.Kind == Announce {
		if err := s.CanAnnounce(w, c.Facts); err != nil {
			return err
		}
		w.Announced = s.Index
		return nil
	}
	next, ok := transitions[c.Kind]
	if !ok || !slices.Contains(next.from, w.Step) {
		return fmt.Errorf("machine %q is %v", w.Machine.ID, w.Step)
	}
	switch c.Kind {
	case Grant:
		if err := s.CanGrant(w, c.Facts); err != nil {
			return err
		}
		w.Granted, w.Clear, w.Voter, s.LastZone = s.Index, nil, c.Facts.Voter, w.Machine.Zone
	case Return:
		if p := w.Machine.Proxy; p != "" && !slices.ContainsFunc(s.sorted(), func(o *Participant) bool {
			return o.Name == p && o.Joined > w.Granted
		}) {
			return fmt.Errorf("machine %q: proxy %s has not started anew", w.Machine.ID, p)
		}
	case SetFree:
		if c.Index != w.Granted {
			return fmt.Errorf("machine %q: of another grant", w.Machine.ID)
		}
		if key := s.FirstHolding(w, c.Expired); key != "" {
			return fmt.Errorf("machine %q: %s may have something there", w.Machine.ID, key)
		}
	case Revoke:
		if c.Index != w.Granted {
			return fmt.Errorf("machine %q: of another grant", w.Machine.ID)
		}
	}
	s.setStep(w, next.to, c.Why)
	return nil
}

// setStep moves a machine to a step and numbers the step.
func (s *State) setStep(w *Work, step Step, why string) {
	s.Steps++
	w.Step, w.Number, w.Why = step, s.Steps, why
	if !step.Marked() {
		w.Clear = nil
	}
}
