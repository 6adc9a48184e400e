package lilacglade

import (
	"testing"
	"time"
)

// TestRetuneMovesWhatIsKnownByClass covers classes that change places, are dropped and come: what was
// learned and who is barred goes with the name, open requests with their class, and bad settings change
// nothing.
func TestRetuneMovesWhatIsKnownByClass(t *testing.T) {
	class := func(name string, worth float64) Class {
		return Class{Name: name, Aim: time.Second, Deadline: time.Second, Worth: worth}
	}
	old := Settings{Balancers: 2, MaxAttempts: 3, WarmWithin: time.Second, TipWindow: time.Second,
		Classes: []Class{class("a", 1), class("b", 2)}, Tenants: []Tenant{{"t", 10}, {"u", 20}}}
	b, err := New(old, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(time.Hour, List{Kind: FullList, Servers: []Server{{ID: 1}, {ID: 2}}})
	b.Handle(time.Hour, Request{ID: 1, Class: 0, Tenant: -1, Budget: time.Second})
	b.Handle(time.Hour, Request{ID: 2, Class: 1, Tenant: -1, Budget: time.Second})
	b.works[1].y = 0.125
	b.servers[1].classes[1].fails = 9
	b.tenants[1] = 0.5

	bad := old
	bad.MaxAttempts = 0
	if b.Retune(time.Hour, bad) == nil || b.set.MaxAttempts != 3 {
		t.Error("impossible settings were taken")
	}
	set := old
	set.Classes = []Class{class("c", 3), class("b", 2)}
	set.Tenants = []Tenant{{"u", 20}, {"v", 30}}
	set = set.RetainingClasses(old)
	if err := b.Retune(time.Hour, set); err != nil {
		t.Fatal(err)
	}
	if len(set.Classes) != 3 || set.Offered != 2 || set.Classes[2].Name != "a" {
		t.Fatalf("classes %+v, %d offered", set.Classes, set.Offered)
	}
	if r := b.requests; r[1].Class != 2 || r[1].class.Name != "a" || r[2].Class != 1 || r[1].most != 3 {
		t.Errorf("open requests: %+v %+v", r[1], r[2])
	}
	if s := b.servers[1]; b.works[1].y != 0.125 || s.classes[1].fails != 9 || s.classes[0].fails != 0 {
		t.Errorf("works %+v, standings %+v", b.works, s.classes)
	}
	if want := (0.25 + 0.125) / 2; b.works[0].y != want {
		t.Errorf("a new class is taken for work of %v, want the mean %v", b.works[0].y, want)
	}
	if b.tenants[0] != 0.5 || b.tenants[1] != 15 {
		t.Errorf("allowances %v", b.tenants)
	}
	if again := old.RetainingClasses(set); len(again.Classes) != 3 || again.Classes[2].Name != "c" {
		t.Errorf("back again: %+v", again.Classes)
	}
	server := b.requests[1].tried[0].ID
	for _, a := range b.Handle(time.Hour, Outcome{Request: 1, Server: server, Closed: true, Latency: 1}) {
		t.Errorf("asked for %+v", a)
	}
}
