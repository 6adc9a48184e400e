package maintenance

import (
	"fmt"
	"hash/fnv"
)

// Check returns the first violated invariant of a single state, nil if all hold. They hold after
// every entry on every proxy.
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

// Digest returns a hash of the encoded state. Equal states have equal digests.
func (s *State) Digest() uint64 {
	h := fnv.New64a()
	h.Write(Encode(s))
	return h.Sum64()
}

// InvariantChecker checks the safety properties over a whole run of several processes. The test
// harness reports events in the order of a single clock. The first violation is kept.
type InvariantChecker struct {
	Fault    error                     // the first violation
	Requests int                       // started
	Frees    int                       // machines that became free
	states   map[uint64]uint64         // digests by index
	steps    map[uint64]string         // machine and step, by the step's number
	open     map[string]map[string]int // requests in flight by machine and process
	free     map[string]uint64         // numbers of the steps that freed machines
	freed    map[uint64]bool
}

// NewInvariantChecker returns a checker for a new run.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{states: map[uint64]uint64{}, steps: map[uint64]string{},
		open: map[string]map[string]int{}, free: map[string]uint64{}, freed: map[uint64]bool{}}
}

func (j *InvariantChecker) fail(format string, args ...any) {
	if j.Fault == nil {
		j.Fault = fmt.Errorf(format, args...)
	}
}

// ObserveState checks the state of a proxy after the entry at the state's index. Two proxies must
// have the same state after the same entry.
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

// ObserveStep checks a machine's step, with its number, as one process sees it.
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

// RequestStarted records that a process starts a request at a machine, which must not be free.
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

// RequestEnded records that a request at a machine has ended.
func (j *InvariantChecker) RequestEnded(who, machine string) { j.open[machine][who]-- }

// ProcessDied records that a process has died, which ends its requests.
func (j *InvariantChecker) ProcessDied(who string) {
	for _, open := range j.open {
		delete(open, who)
	}
}
