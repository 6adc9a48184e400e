package lilacglade

import (
	"testing"
	"time"
)

// TestRetuneKeepsStateByClass checks classes that change places, are dropped and are added:
// estimates and class health follow the name, open requests keep their class, and invalid settings
// change nothing.
func TestRetuneKeepsStateByClass(t *testing.T) {
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
	b.workEstimators[1].meanY = 0.125
	b.servers[1].classHealth[1].failures = 9
	b.tenantTokens[1] = 0.5

	invalid := old
	invalid.MaxAttempts = 0
	if b.Retune(time.Hour, invalid) == nil || b.settings.MaxAttempts != 3 {
		t.Error("invalid settings were applied")
	}
	settings := old
	settings.Classes = []Class{class("c", 3), class("b", 2)}
	settings.Tenants = []Tenant{{"u", 20}, {"v", 30}}
	settings = settings.RetainingClasses(old)
	if err := b.Retune(time.Hour, settings); err != nil {
		t.Fatal(err)
	}
	if len(settings.Classes) != 3 || settings.Offered != 2 || settings.Classes[2].Name != "a" {
		t.Fatalf("classes %+v, %d offered", settings.Classes, settings.Offered)
	}
	if r := b.requests; r[1].Class != 2 || r[1].class.Name != "a" || r[2].Class != 1 || r[1].maxAttempts != 3 {
		t.Errorf("open requests: %+v %+v", r[1], r[2])
	}
	if s := b.servers[1]; b.workEstimators[1].meanY != 0.125 || s.classHealth[1].failures != 9 ||
		s.classHealth[0].failures != 0 {
		t.Errorf("work estimates %+v, class health %+v", b.workEstimators, s.classHealth)
	}
	if want := (0.25 + 0.125) / 2; b.workEstimators[0].meanY != want {
		t.Errorf("the work of a new class is %v, want the mean %v", b.workEstimators[0].meanY, want)
	}
	if b.tenantTokens[0] != 0.5 || b.tenantTokens[1] != 15 {
		t.Errorf("tenant tokens %v", b.tenantTokens)
	}
	if reverted := old.RetainingClasses(settings); len(reverted.Classes) != 3 ||
		reverted.Classes[2].Name != "c" {
		t.Errorf("after reverting: %+v", reverted.Classes)
	}
	server := b.requests[1].attempted[0].ID
	for _, a := range b.Handle(time.Hour, Outcome{Request: 1, Server: server, Closed: true, Latency: 1}) {
		t.Errorf("unexpected action %+v", a)
	}
}
