package reducer

import (
	"slices"
	"testing"
	"time"

	lg "lilacglade"
)

// TestReloadAsksAnew guards against waiting for the old discovery after a reload, and against
// two calls at once: one is out until its answer or a new address.
func TestReloadAsksAnew(t *testing.T) {
	m := newModel(t)
	calls := func(ev Event) (at []string) {
		for _, e := range m.s.Step(m.now, ev) {
			if e.Do == Watch {
				at = append(at, e.Text)
			}
		}
		return at
	}
	for i, tc := range []struct {
		address string
		want    []string
	}{{"a", []string{"a"}}, {"a", nil}, {"b", []string{"b"}}} {
		if got := calls(Reloaded{nil, tc.address, 12, 8}); !slices.Equal(got, tc.want) {
			t.Errorf("reload %d: asked at %q, want %q", i, got, tc.want)
		}
	}
	m.s.act(lg.Action{Do: lg.Subscribe})
	if m.now += 3500 * ms; len(calls(Woken{})) != 0 {
		t.Error("asked while a call is out")
	}
	m.now += 2 * time.Second
	if got := calls(Woken{}); !slices.Equal(got, []string{"b"}) || !m.s.effects[slices.IndexFunc(m.s.effects,
		func(e Effect) bool { return e.Do == Watch })].Anew {
		t.Errorf("asked at %q where no whole list had come 2 s after it should have", got)
	}
	m.now += 100 * ms
	if got := calls(ListTold{}); !slices.Equal(got, []string{"b"}) {
		t.Errorf("asked at %q after an answer", got)
	}
}

// TestCallsForTheRouteSetArePaced covers the fleet's part in discovery's time where it turns calls
// away: the more proxies and the
// dearer a whole
// list, the later the next call, but never later than the settings allow; few proxies ask at once, as ever.
func TestCallsForTheRouteSetArePaced(t *testing.T) {
	for _, tc := range []struct {
		proxies    int
		failed     bool // the call before
		took, want time.Duration
	}{{4, true, ms, 20 * ms}, {36, true, 20 * ms, 900 * ms}, {36, true, 250 * ms, 4 * time.Second},
		{300, true, 250 * ms, 4 * time.Second}, {300, false, 50 * ms, 100 * ms}} {
		cfg := testConfig()
		cfg.Settings.Balancers = tc.proxies
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		asked := func(ev Event) (at time.Duration) {
			for _, e := range s.Step(now, ev) {
				if e.Do == Watch {
					at = now
				}
			}
			return at
		}
		began := asked(ListTold{List: lg.List{Kind: lg.CachedList, Servers: []lg.Server{{ID: 1}}}})
		call := func() {
			for ; began == 0 && now < 2*time.Hour; now += 10 * ms {
				began = asked(Woken{})
			}
		}
		if call(); tc.failed {
			began = asked(ListTold{List: lg.List{Kind: lg.ListFailed}})
			call()
		}
		now = began + tc.took
		at := asked(ListTold{List: lg.List{Kind: lg.FullList, Servers: []lg.Server{{ID: 1}}}})
		for ; at == 0 && now < 2*time.Hour; now += 10 * ms {
			at = asked(Woken{})
		}
		if got := at - began - tc.want; got < -tc.took || got > 20*ms+tc.took {
			t.Errorf("%d proxies, %v a list: asked again after %v, want %v", tc.proxies, tc.took, at-began, tc.want)
		}
	}
}
