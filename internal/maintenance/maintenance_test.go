package maintenance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// order returns an order over n machines, m0, m1 and so on, in two zones.
func order(id string, n, most int) *Order {
	o := &Order{ID: id, MaxOut: most, Fleet: 10}
	for i := range n {
		o.Machines = append(o.Machines, Machine{ID: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%2), Model: "k"})
	}
	return o
}

// TestLifecycle covers the steps of a machine, from the order to its return, and their preconditions.
func TestLifecycle(t *testing.T) {
	s := New()
	index := uint64(0)
	apply := func(want string, c Command) {
		t.Helper()
		index++
		err := s.Apply(index, c)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Fatalf("entry %d: %v, want %q", index, err, want)
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
	}
	enough := &Facts{WeightLeft: 9, ZoneLeft: 3}
	a, b := Key("a", 1), Key("b", 2)
	apply("", Command{Kind: Join, Participant: &Participant{Name: "a", Inc: 1, Addr: "x"}})
	apply("", Command{Kind: Submit, Call: "c1", Order: order("o", 2, 1)})
	apply("", Command{Kind: Submit, Call: "c1", Order: order("o", 2, 1)}) // applied once
	apply("in order", Command{Kind: Submit, Order: order("p", 2, 1)})
	apply("not been told", Command{Kind: Grant, Machine: "m0", Facts: enough})
	apply("no room for those", Command{Kind: Announce, Machine: "m0", Facts: &Facts{WeightLeft: 9}})
	apply("", Command{Kind: Announce, Machine: "m0", Facts: enough})
	apply("named already", Command{Kind: Announce, Machine: "m1", Facts: enough})
	apply("does not know", Command{Kind: Grant, Machine: "m0", Facts: enough})
	apply("", Command{Kind: Acknowledge, Reports: []Report{{Participant: a, Index: index}}})
	apply("last room", Command{Kind: Grant, Machine: "m0", Facts: &Facts{WeightLeft: 9}})
	apply("", Command{Kind: Grant, Machine: "m0", Facts: enough})
	grant := index
	apply("", Command{Kind: Announce, Machine: "m1", Facts: enough})
	apply("", Command{Kind: Acknowledge, Reports: []Report{{Participant: a, Index: index}}})
	apply("out already", Command{Kind: Grant, Machine: "m1", Facts: enough})
	apply("may have something", Command{Kind: SetFree, Machine: "m0", Index: grant})
	// It learns of m0 by its lease.
	apply("", Command{Kind: Join, Participant: &Participant{Name: "b", Inc: 2, Addr: "y"}})
	apply("", Command{Kind: Clear, Reports: []Report{{Participant: a, Machine: "m0", Index: grant - 1}}})
	apply("may have something", Command{Kind: SetFree, Machine: "m0", Index: grant})
	apply("", Command{Kind: Revoke, Machine: "m0", Index: grant, Why: "room"})
	apply("", Command{Kind: Grant, Machine: "m0", Facts: enough})
	apply("another grant", Command{Kind: SetFree, Machine: "m0", Index: grant})
	grant = index - 1
	apply("may have something", Command{Kind: SetFree, Machine: "m0", Index: grant, Expired: []string{a}})
	apply("", Command{Kind: Clear, Reports: []Report{{Participant: a, Machine: "m0", Index: grant}}})
	apply("", Command{Kind: Clear, Reports: []Report{{Participant: b, Machine: "m0", Index: grant}}})
	apply("", Command{Kind: SetFree, Machine: "m0", Index: grant})
	apply("", Command{Kind: Cancel, Name: "o"})
	if w := s.Active("m0"); w == nil || w.Step != Free || s.Active("m1") != nil {
		t.Fatal("a cancelled order released a free machine, or kept a waiting one")
	}
	apply("", Command{Kind: Return, Machine: "m0"})
	apply("", Command{Kind: SetDone, Machine: "m0"})
	apply("no order names", Command{Kind: SetOut, Machine: "m0"})
	apply("", Command{Kind: Join, Participant: &Participant{Name: "a", Inc: 3, Addr: "x"}})
	if !s.Participants[a].Gone || s.Participants[b].Gone {
		t.Error("want the earlier process at the same address marked as gone, and no other")
	}
}

// TestRandomEntries checks the invariants after random entries, including meaningless ones, and
// that a state restored from its encoding is the same.
func TestRandomEntries(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := New()
		id := rapid.SampledFrom([]string{"m0", "m1", "m2", "m3", "m9", ""})
		for index := uint64(1); index < 80; index++ {
			c := Command{Kind: Kind(rapid.IntRange(0, 23).Draw(r, "kind")), Machine: id.Draw(r, "machine"),
				Name: rapid.SampledFrom([]string{"a", "b", "o1", "o2"}).Draw(r, "name"), Inc: 1,
				Index: rapid.Uint64Range(0, 80).Draw(r, "index"), Facts: &Facts{WeightLeft: 9, ZoneLeft: 1},
				Call: rapid.SampledFrom([]string{"", "", "c1", "c2"}).Draw(r, "call")}
			switch c.Kind {
			case Join:
				c.Participant = &Participant{Name: c.Name, Inc: uint64(rapid.IntRange(1, 3).Draw(r, "inc")), Addr: "x"}
			case Submit:
				c.Order = order(c.Name, rapid.IntRange(1, 4).Draw(r, "n"), rapid.IntRange(0, 3).Draw(r, "most"))
			case Acknowledge, Clear:
				for p := range s.Participants {
					c.Reports = append(c.Reports, Report{Participant: p, Machine: c.Machine, Index: index - 1})
					if w := s.Active(c.Machine); w != nil && c.Kind == Clear {
						c.Reports[len(c.Reports)-1].Index = w.Granted
					}
				}
			case SetFree, Revoke:
				if w := s.Active(c.Machine); w != nil {
					c.Index = w.Granted
				}
			}
			steps := s.Steps
			if err := s.Apply(index, c); err != nil && s.Steps != steps {
				r.Fatalf("%+v returned an error and took a step", c)
			}
			if err := s.Check(); err != nil {
				r.Fatal(err)
			}
			if again, err := Restore(Encode(s)); err != nil || again.Digest() != s.Digest() {
				r.Fatalf("the restored state differs: %v", err)
			}
		}
	})
}

// TestNext covers the order in which the leader grants machines: those that proxies avoid first,
// then zones in round-robin order, and none while grants are blocked.
func TestNext(t *testing.T) {
	s := New()
	if err := s.Apply(1, Command{Kind: Submit, Order: order("o", 4, 4)}); err != nil {
		t.Fatal(err)
	}
	v := View{Machines: map[string]MachineView{}, Expired: func(string) bool { return false }}
	for i := range 8 {
		m := MachineView{Machine: Machine{ID: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%2)}, Ready: true,
			Avoided: i == 3}
		v.Machines[m.ID] = m
	}
	var got []string
	for index := uint64(2); len(got) < 4 && index < 40; index++ {
		c := s.Next(v)
		if c.Kind == Announce {
			if err := s.Apply(index, c); err != nil {
				t.Fatal(err)
			}
			continue
		}
		got = append(got, c.Machine)
		if err := s.Apply(index, c); err != nil {
			t.Fatal(err)
		}
		if err := s.Apply(index, Command{Kind: SetFree, Machine: c.Machine, Index: index}); err != nil {
			t.Fatal(err)
		}
	}
	if want := "[m3 m0 m1 m2]"; fmt.Sprint(got) != want {
		t.Errorf("granted in the order %v, want %s", got, want)
	}
	for name, v := range map[string]View{"old": {Now: time.Hour}, "refused": {ShedFraction: 0.02}} {
		if s.BlockedReason(v) == "" {
			t.Error("not blocked with " + name)
		}
	}
}

// TestInvalidSpecs covers specs that are rejected, since they could take out more than the operator
// meant.
func TestInvalidSpecs(t *testing.T) {
	v := View{Machines: map[string]MachineView{
		"m0": {Machine: Machine{ID: "m0", Zone: "z0", Model: "k"}, Ready: true}}}
	for want, sp := range map[string]Spec{
		"machines[0]": {ID: "o", Machines: []string{"x"}, MaxOut: 1},
		"zones[0]":    {ID: "o", Zones: []string{"x"}, MaxOut: 1},
		"models[0]":   {ID: "o", Models: []string{"x"}, MaxOut: 1},
		"most: 0":     {ID: "o", All: true},
		"most: 2":     {ID: "o", All: true, MaxOut: 2},
		"keep":        {ID: "o", All: true, MaxOut: 1, Keep: 1},
		"machines: n": {ID: "o", MaxOut: 1},
		"id":          {All: true, MaxOut: 1},
		"done":        {ID: "o", All: true, MaxOut: 1, Done: "maybe"},
		"out-for":     {ID: "o", All: true, MaxOut: 1, OutFor: -1},
	} {
		if _, err := sp.Resolve(v); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %q", sp, err, want)
		}
	}
}

// TestMeasuredCapacity checks that a machine goes out only if the others can handle the requests in
// flight and a margin, that a machine with a hot key goes last and not before the key is gone, and
// that the grant of a machine that is not free is revoked when its capacity is needed.
func TestMeasuredCapacity(t *testing.T) {
	s := New()
	v := View{Now: time.Minute, Listed: time.Minute, Machines: map[string]MachineView{}, InFlight: 12,
		Level:   LevelResume,
		Expired: func(string) bool { return false }}
	for i := range 4 {
		id := fmt.Sprint("m", i)
		v.Machines[id] = MachineView{Machine: Machine{ID: id, Zone: fmt.Sprint("z", i%2)}, Ready: true, Capacity: 8}
	}
	index := uint64(0)
	apply := func(c Command) error {
		index++
		return s.Apply(index, c)
	}
	o, err := Spec{ID: "o", Machines: []string{"m0", "m1"}, MaxOut: 1}.Resolve(v)
	if err != nil || o.Margin != defaultMargin {
		t.Fatal(o, err)
	}
	for _, c := range []Command{{Kind: RaiseLevel, Index: LevelResume}, {Kind: Submit, Order: o}} {
		if err := apply(c); err != nil {
			t.Fatal(err)
		}
	}
	next := func(kind Kind, machine string) {
		t.Helper()
		if c := s.Next(v); c.Kind != kind || c.Machine != machine {
			t.Fatalf("next is %v of %q, want %v of %q; m0 waits: %s", c.Kind, c.Machine, kind, machine,
				s.WaitReason(s.Works[0], v))
		} else if c.Kind != NoOp && apply(c) != nil {
			t.Fatalf("%+v was rejected", c)
		}
	}
	v.InFlight = 17 // capacity 24, less than 17 and the margin of 50 %
	next(NoOp, "")
	w := s.Works[0]
	if why := s.WaitReason(w, v); !strings.Contains(why, "could hold 24 requests, 17 are in work") {
		t.Errorf("reason %q", why)
	}
	bad := &Facts{WeightLeft: 3, ZoneLeft: 1, Capacity: 24, InFlight: 17}
	if err := apply(Command{Kind: Announce, Machine: "m0", Facts: bad}); err == nil {
		t.Error("a machine whose capacity is needed can be announced")
	}
	v.InFlight = 12
	m := v.Machines["m0"]
	m.HotKey = true
	v.Machines["m0"] = m
	next(Announce, "m1")
	x := &Participant{Name: "x", Inc: 1, Acknowledged: index} // it has not reported that it is clear
	s.Participants[x.Key()] = x
	next(Grant, "m1")
	v.InFlight = 25 // more than the others can handle: the grant is revoked
	next(Revoke, "m1")
	v.InFlight = 1
	s.Works[1].Step = Done
	next(Announce, "m0")
	x.Acknowledged = index
	if err := s.CanGrant(w, s.assess(w, v, false)); err == nil || !strings.Contains(err.Error(), "hot key") {
		t.Errorf("a machine with a hot key can be granted: %v", err)
	}
	m.HotKey = false
	v.Machines["m0"] = m
	if err := s.CanGrant(w, s.assess(w, v, false)); err != nil {
		t.Errorf("can't be granted without the hot key: %v", err)
	}
	s.Level = 0 // an older version among the proxies doesn't understand these facts
	v.InFlight = 1000
	if f := s.assess(w, v, false); f.Capacity != 0 || f.InFlight != 0 || f.HotKey {
		t.Errorf("%+v has facts that an older version doesn't understand", f)
	}
}

// TestInvalidMargins covers margins that an order rejects.
func TestInvalidMargins(t *testing.T) {
	for _, margin := range []float64{-0.1, 11} {
		o := order("o", 1, 1)
		o.Margin = margin
		err := New().Apply(1, Command{Kind: Submit, Order: o})
		if err == nil || !strings.Contains(err.Error(), "margin") {
			t.Errorf("margin %v: %v", margin, err)
		}
	}
}
