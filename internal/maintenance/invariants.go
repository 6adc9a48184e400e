package maintenance

import (
	"fmt"
	"hash/fnv"
)

// Check says what is wrong with a state by itself, nil if nothing is: the invariants that hold after every
// entry, in any proxy's eyes.
func (s *State) Check() error {
	active := map[string]bool{}
	for _, w := range s.Works {
		if !w.Step.Ended() {
			if active[w.Machine.ID] {
				return fmt.Errorf("machine %s is in two orders at once", w.Machine.ID)
			}
			active[w.Machine.ID] = true
		}
		if s.Order(w.Order) == nil {
			return fmt.Errorf("machine %s: its order %s is gone", w.Machine.ID, w.Order)
		}
		if w.Number > s.Steps {
			return fmt.Errorf("machine %s: step %d of %d", w.Machine.ID, w.Number, s.Steps)
		}
	}
	for _, o := range s.Orders {
		mine := false
		for _, w := range s.Works {
			mine = mine || w.Order == o.ID && w.Step.missing()
		}
		if !mine {
			continue
		}
		if all, _, _ := s.Missing("", ""); all > o.MaxOut {
			return fmt.Errorf("%d machines are out, order %s allows %d", all, o.ID, o.MaxOut)
		}
		for _, w := range s.Works {
			_, zone, kind := s.Missing(w.Machine.Zone, w.Machine.Model)
			if o.MaxPerZone > 0 && zone > o.MaxPerZone || o.MaxPerModel > 0 && kind > o.MaxPerModel {
				return fmt.Errorf("%d of zone %s, %d of model %s are out, order %s allows %d and %d", zone,
					w.Machine.Zone, kind, w.Machine.Model, o.ID, o.MaxPerZone, o.MaxPerModel)
			}
		}
	}
	return nil
}

// Digest is a number that two states share if they are the same.
func (s *State) Digest() uint64 {
	h := fnv.New64a()
	h.Write(Encode(s))
	return h.Sum64()
}

// InvariantChecker holds what was seen against the promises, over a whole run. Whoever plays tells it what happens, in
// the order of one true clock. The first fault stays.
type InvariantChecker struct {
	Fault    error
	Requests int // begun
	Frees    int // machines told free
	states   map[uint64]uint64
	steps    map[uint64]string // by number
	open     map[string]map[string]int
	free     map[string]uint64 // machines that were told free and are not back, with the number of that step
	freed    map[uint64]bool
}

// NewInvariantChecker is a judge before a run.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{states: map[uint64]uint64{}, steps: map[uint64]string{}, open: map[string]map[string]int{},
		free: map[string]uint64{}, freed: map[uint64]bool{}}
}

func (j *InvariantChecker) fail(format string, args ...any) {
	if j.Fault == nil {
		j.Fault = fmt.Errorf(format, args...)
	}
}

// ObserveState takes in the state that a proxy holds after the entry at its index. Guards against two proxies that
// see different things after the same entry.
func (j *InvariantChecker) ObserveState(who string, s *State) {
	if err := s.Check(); err != nil {
		j.fail("%s at entry %d: %w", who, s.Index, err)
	}
	d := s.Digest()
	if was, ok := j.states[s.Index]; ok && was != d {
		j.fail("%s differs from another proxy after entry %d", who, s.Index)
	}
	j.states[s.Index] = d
	for _, w := range s.Works {
		if w.Number > 0 {
			j.ObserveStep(w.Number, w.Machine.ID, w.Step)
		}
	}
}

// ObserveStep takes in a machine's step as somebody sees it.
func (j *InvariantChecker) ObserveStep(number uint64, machine string, step Step) {
	what := fmt.Sprint(machine, " ", step)
	if was, ok := j.steps[number]; ok && was != what {
		j.fail("step %d is %s and %s", number, was, what)
	}
	j.steps[number] = what
	switch {
	case step == Free && !j.freed[number]:
		j.freed[number] = true
		j.Frees++
		j.free[machine] = number
		for who, n := range j.open[machine] {
			if n > 0 {
				j.fail("%s is told free while %s has %d requests there", machine, who, n)
			}
		}
	case step >= Returning && step != Failed && j.free[machine] > 0 && number > j.free[machine]:
		delete(j.free, machine)
	}
}

// RequestStarted takes in that a proxy's process sends a request to a machine.
func (j *InvariantChecker) RequestStarted(who, machine string) {
	j.Requests++
	if _, off := j.free[machine]; off {
		j.fail("%s begins a request at %s, which was told free", who, machine)
	}
	if j.open[machine] == nil {
		j.open[machine] = map[string]int{}
	}
	j.open[machine][who]++
}

// RequestEnded takes in that a request is over at its machine.
func (j *InvariantChecker) RequestEnded(who, machine string) { j.open[machine][who]-- }

// ProcessDied takes in that a process is dead: what it had open is over.
func (j *InvariantChecker) ProcessDied(who string) {
	for _, open := range j.open {
		delete(open, who)
	}
}
