package maintenance

import (
	"fmt"
	"slices"
)

// Step is where a machine stands in its order.
type Step uint8

// The steps. From Granted to Out nothing new is sent to the machine; Returning machines count as missing
// until they are done.
const (
	Waiting   Step = iota
	Granted        // all who hear of it stop sending there
	Draining       // the first proxy has said that it has stopped and has nothing there
	Free           // nobody has anything there: it may be switched off
	Out            // staff have said that they work on it
	Returning      // it takes requests again, as a cold one where it has started anew
	Done
	Failed // it was out for longer than the order allows, or staff gave it up: it stays marked
	Cancelled
)

var stepNames = [...]string{"waiting", "granted", "draining", "free", "out", "returning", "done", "failed",
	"cancelled"}

func (s Step) String() string { return stepNames[min(int(s), len(stepNames)-1)] }

// Marked tells whether nothing new may be sent to a machine in this step.
func (s Step) Marked() bool { return s >= Granted && s <= Out || s == Failed }

// missing tells whether a machine in this step is missing to the fleet.
func (s Step) missing() bool { return s.Marked() || s == Returning }

// Ended tells whether the order is through with a machine. A failed one is not: it stays named.
func (s Step) Ended() bool { return s == Done || s == Cancelled }

// transitions says from where each entry leads where. Free and Grant have guards of their own besides.
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

// step takes an entry on one machine.
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

// setStep takes a step.
func (s *State) setStep(w *Work, step Step, why string) {
	s.Steps++
	w.Step, w.Number, w.Why = step, s.Steps, why
	if !step.Marked() {
		w.Clear = nil
	}
}
