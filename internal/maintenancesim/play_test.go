package maintenancesim

import (
	"flag"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lilacglade/internal/coordination"
	"lilacglade/internal/maintenance"
)

var (
	plays = flag.Int("plays", 150, "schedules to play")
	from  = flag.Uint64("from", 1, "seed of the first")
	steps = flag.Bool("steps", false, "log each step")
)

func play(t *testing.T, cfg Config) Report {
	if *steps {
		cfg.Trace = func(s string) { t.Log(s) }
	}
	return Play(cfg)
}

// TestRandomSchedules plays faults drawn from seeds: nothing is promised that does not hold, and once the
// faults are over all orders come through.
func TestRandomSchedules(t *testing.T) {
	frees, done := 0, 0
	for seed := *from; seed < *from+uint64(*plays); seed++ {
		r := play(t, Config{Seed: seed})
		if r.Fault != nil {
			t.Fatalf("seed %d: %v", seed, r.Fault)
		}
		frees += r.Frees
		done += r.Done
		if !linearizable(r.Calls) {
			t.Fatalf("seed %d: the operators' calls have no order that explains their answers", seed)
		}
	}
	t.Logf("%d schedules: %d machines told free, %d through", *plays, frees, done)
	if frees < *plays/2 {
		t.Errorf("only %d machines were told free", frees)
	}
}

// TestAloneIsOverWithFirstLease guards against a proxy that once served without a lease and then never
// honoured the end of one: it sent to machines that staff were told are free.
func TestAloneIsOverWithFirstLease(t *testing.T) {
	frees := 0
	for seed := uint64(1); seed <= 60; seed++ {
		r := play(t, Config{Seed: seed, AloneAfter: 300 * time.Millisecond})
		if r.Fault != nil {
			t.Fatalf("seed %d: %v", seed, r.Fault)
		}
		frees += r.Frees
	}
	if frees < 30 {
		t.Errorf("only %d machines were told free", frees)
	}
}

// TestFiveOfManyLost plays a large fleet that loses proxies for good, the first voter among them: orders come
// through, once staff have vouched for the lost.
func TestFiveOfManyLost(t *testing.T) {
	for _, n := range []int{20, 60} {
		r := play(t, Config{Seed: 1, Proxies: n, Machines: 8, Faults: -1, Lose: 5, Trouble: 20 * time.Second})
		if r.Fault != nil || r.Done == 0 || r.Frees == 0 {
			t.Errorf("%d proxies: %v, %d free, %d through", n, r.Fault, r.Frees, r.Done)
		}
		t.Logf("%d proxies: %d bytes a second each, %d free, through %v after the last fault", n,
			int(float64(r.Bytes)/float64(n)/r.Ran.Seconds()), r.Frees, r.Took)
	}
}

// Where an order stands for its callers.
const (
	unknown = iota
	given
	paused
	ended
)

// linearizable tells whether there is one order of the calls, each between its beginning and its answer, in
// which every answer makes sense. A call without an answer may have been carried out, at any time, or not.
func linearizable(calls []*Call) bool {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{unknown} },
		Step: func(state, in, out any) []any {
			c, s := in.(*Call), state.(int)
			may := s == given || s == paused
			if c.Kind == maintenance.Submit {
				may = s == unknown
			}
			next := map[maintenance.Kind]int{maintenance.Submit: given, maintenance.Pause: paused,
				maintenance.Resume: given, maintenance.Cancel: ended}[c.Kind]
			switch {
			case !c.Known && may:
				return []any{s, next}
			case !c.Known, !c.Done && (!may || c.Kind == maintenance.Submit): // its machines may be in another order
				return []any{s}
			case c.Done && may:
				return []any{next}
			}
			return nil
		},
		Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
			by := map[string]int{}
			for _, o := range history {
				id := o.Input.(*Call).Order
				if _, ok := by[id]; !ok {
					by[id] = len(parts)
					parts = append(parts, nil)
				}
				parts[by[id]] = append(parts[by[id]], o)
			}
			return parts
		},
	}
	var history []porcupine.Operation
	for i, c := range calls {
		op := porcupine.Operation{ClientId: i, Input: c, Call: int64(c.Began), Return: int64(c.Ended)}
		if !c.Known {
			op.Return = int64(forever)
		}
		history = append(history, op)
	}
	return porcupine.CheckOperations(model.ToModel(), history)
}

// TestHistoryCheck shows that a history that makes no sense is found: an order paused after its end.
func TestHistoryCheck(t *testing.T) {
	good := []*Call{{Kind: maintenance.Submit, Order: "o", Began: 1, Ended: 2, Known: true, Done: true},
		{Kind: maintenance.Cancel, Order: "o", Began: 3, Ended: 9, Known: true, Done: true},
		{Kind: maintenance.Pause, Order: "o", Began: 4, Ended: 8, Known: true, Done: true}}
	if !linearizable(good) {
		t.Error("calls at once may go in either order")
	}
	good[2].Began, good[2].Ended = 10, 11
	if linearizable(good) {
		t.Error("paused after its end")
	}
}

// TestGuardsMatter takes one guard out at a time: some schedule must then break a promise, and be found.
// Guards that only rare schedules need have tests of their own in coordination.
func TestGuardsMatter(t *testing.T) {
	again := []int{13, 0, 6} // processes that start again, cut off
	for name, cfg := range map[string]Config{
		"lapse":      {Seed: 1, Break: NoLapse},
		"clear":      {Seed: 1, Break: NoClear},
		"disk":       {Seed: 1, Break: ForgetVotes},
		"cut":        {Seed: 3, Break: NoCut},
		"lead wait":  {Seed: 25, Without: coordination.LeadWait},
		"lease wait": {Seed: 30, Without: coordination.LeaseWait},
		"grace wait": {Seed: 318, Without: coordination.GraceWait},
		"note":       {Seed: 1, Break: ForgetNote, Kinds: again},
	} {
		t.Run(name, func(t *testing.T) {
			for last := cfg.Seed + 60; cfg.Seed < last; cfg.Seed++ {
				if r := play(t, cfg); r.Fault != nil {
					t.Logf("seed %d: %v", cfg.Seed, r.Fault)
					return
				}
			}
			t.Error("no schedule finds it")
		})
	}
}
