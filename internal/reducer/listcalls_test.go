package reducer

import (
	"slices"
	"testing"
	"time"

	lg "lilacglade"
)

// TestReloadCallsNewAddress checks that after a reload the old discovery is not waited for, and that
// only one call is open at a time, until its answer or a new address.
func TestReloadCallsNewAddress(t *testing.T) {
	m := newModel(t)
	calls := func(ev Event) (addresses []string) {
		for _, e := range m.s.Step(m.now, ev) {
			if e.Do == Watch {
				addresses = append(addresses, e.Text)
			}
		}
		return addresses
	}
	for i, tc := range []struct {
		address string
		want    []string
	}{{"a", []string{"a"}}, {"a", nil}, {"b", []string{"b"}}} {
		if got := calls(Reloaded{nil, tc.address, 12, 8}); !slices.Equal(got, tc.want) {
			t.Errorf("reload %d: called %q, want %q", i, got, tc.want)
		}
	}
	m.s.execute(lg.Action{Do: lg.Subscribe})
	if m.now += 3500 * ms; len(calls(TimerFired{})) != 0 {
		t.Error("called while a call is open")
	}
	m.now += 2 * time.Second
	if got := calls(TimerFired{}); !slices.Equal(got, []string{"b"}) ||
		!m.s.effects[slices.IndexFunc(m.s.effects, func(e Effect) bool { return e.Do == Watch })].NewConn {
		t.Errorf("called %q 2 s after a full list was due", got)
	}
	m.now += 100 * ms
	if got := calls(ListReceived{}); !slices.Equal(got, []string{"b"}) {
		t.Errorf("called %q after an answer", got)
	}
}

// TestListCallsArePaced covers the time between calls after discovery has failed one: it grows with the
// number of proxies and the time that discovery takes for a full list, up to the limit of the settings.
// A few proxies call again at once, as they do without a failure.
func TestListCallsArePaced(t *testing.T) {
	for _, tc := range []struct {
		proxies    int
		failed     bool // the previous call failed
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
		calledAt := func(ev Event) (next time.Duration) {
			for _, e := range s.Step(now, ev) {
				if e.Do == Watch {
					next = now
				}
			}
			return next
		}
		start := calledAt(ListReceived{List: lg.List{Kind: lg.CachedList, Servers: []lg.Server{{ID: 1}}}})
		call := func() {
			for ; start == 0 && now < 2*time.Hour; now += 10 * ms {
				start = calledAt(TimerFired{})
			}
		}
		if call(); tc.failed {
			start = calledAt(ListReceived{List: lg.List{Kind: lg.ListFailed}})
			call()
		}
		now = start + tc.took
		next := calledAt(ListReceived{List: lg.List{Kind: lg.FullList, Servers: []lg.Server{{ID: 1}}}})
		for ; next == 0 && now < 2*time.Hour; now += 10 * ms {
			next = calledAt(TimerFired{})
		}
		if deviation := next - start - tc.want; deviation < -tc.took || deviation > 20*ms+tc.took {
			t.Errorf("%d proxies, %v a list: next call after %v, want %v", tc.proxies, tc.took, next-start, tc.want)
		}
	}
}
