package emulator

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestClock checks against a sorted list: in order of time, of what is due at once in the order added,
// and what a due thing adds for the same instant comes after all that was there.
func TestClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Clock
		type item struct{ at, n int }
		var want, got []item
		n := 0
		add := func(at int, then func()) {
			n++
			it := item{max(at, int(c.Now())), n}
			want = append(want, it)
			c.At(time.Duration(at), func() {
				got = append(got, it)
				if int(c.Now()) != it.at {
					t.Fatalf("due at %d, done at %d", it.at, c.Now())
				}
				if then != nil {
					then()
				}
			})
		}
		for range rapid.IntRange(0, 60).Draw(t, "items") {
			at := rapid.IntRange(0, 9).Draw(t, "at")
			if rapid.Bool().Draw(t, "more") {
				next := rapid.IntRange(0, 9).Draw(t, "next")
				add(at, func() { add(next, nil) })
			} else {
				add(at, nil)
			}
		}
		c.Run(20)
		slices.SortStableFunc(want, func(a, b item) int { return (a.at-b.at)*1000 + a.n - b.n })
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// mute is a driver that notes when answers come.
type mute struct {
	w       *World
	answers map[uint64]time.Duration
	kinds   map[uint64]ReplyKind
	resets  int
	refused int
}

func (m *mute) Dial(*Leg)      {}
func (m *mute) Ask(*Leg, *Ask) {}
func (m *mute) Close(*Leg)     {}
func (m *mute) Accepted(_ *Hop, ok bool) {
	if !ok {
		m.refused++
	}
}
func (m *mute) Answer(_ *Hop, r *Reply) {
	m.answers[r.Attempt.Ask.ID], m.kinds[r.Attempt.Ask.ID] = m.w.Clock.Now(), r.Kind
}
func (m *mute) Reset(*Hop)           { m.resets++ }
func (m *mute) End(*Hop)             {}
func (m *mute) Tell(*Lookup, *Doc)   {}
func (m *mute) Moved(int)            {}
func (m *mute) Stop(int, bool)       {}
func (m *mute) Start(int)            {}
func (m *mute) Reach(*Server, Reach) {}

// one is a world of one server without delays, handshakes, noise or keys.
func one(change func(*Scenario)) (*World, *mute) {
	sc := Lakeshore()
	sc.Zones, sc.Servers.Count, sc.Proxies.Count = sc.Zones[:1], 1, 1
	sc.Servers.Models = []Model{{Name: "m", Share: 1, Cores: 2, Speed: Range{1, 1}}}
	sc.Network, sc.Servers.Handshake, sc.Servers.Cache.Keys = Network{}, Span{}, 0
	sc.Servers.Crowd.Waiting, sc.Servers.Room, sc.Servers.Slots = 0, 1000, 500
	sc.Duration = time.Hour
	change(&sc)
	m := &mute{answers: map[uint64]time.Duration{}, kinds: map[uint64]ReplyKind{}}
	m.w = New(&sc, m)
	m.w.ProxyReady(0)
	return m.w, m
}

// forward sends a request of so many seconds of work on a connection of its own.
func forward(w *World, at time.Duration, work float64) *Ask {
	a := &Ask{ID: w.id(), Call: &Call{Work: work}, GiveUp: time.Hour}
	w.Clock.At(at, func() {
		h := w.Open(0, 0, nil)
		w.Clock.After(0, func() { w.Forward(h, a) })
	})
	return a
}

// TestProcessorSharing checks when jobs are through against small steps of time: two cores shared
// evenly by all that is in work, whose speed changes now and then.
func TestProcessorSharing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, m := one(func(*Scenario) {})
		type job struct {
			ask  *Ask
			at   float64
			left float64
			end  float64
		}
		var jobs []*job
		for range rapid.IntRange(1, 8).Draw(t, "jobs") {
			at := rapid.IntRange(0, 400).Draw(t, "at")
			work := float64(rapid.IntRange(1, 300).Draw(t, "work")) / 1000
			jobs = append(jobs, &job{forward(w, time.Duration(at)*time.Millisecond, work), float64(at) / 1000,
				work, 0})
		}
		s := w.servers[0]
		slowAt := rapid.IntRange(0, 500).Draw(t, "slow at")
		slow := rapid.SampledFrom([]float64{1, 2, 5}).Draw(t, "slow")
		w.Clock.At(time.Duration(slowAt)*time.Millisecond, func() { s.set(func() { s.slow = slow }) })
		w.Clock.Run(time.Minute)
		const step = 0.0001
		for now := 0.0; now < 30; now += step {
			n := 0
			for _, j := range jobs {
				if j.at <= now && j.left > 0 {
					n++
				}
			}
			rate := min(1, 2/float64(max(1, n)))
			if now >= float64(slowAt)/1000 {
				rate /= slow
			}
			for _, j := range jobs {
				if j.at <= now && j.left > 0 {
					if j.left -= rate * step; j.left <= 0 {
						j.end = now + step
					}
				}
			}
		}
		for _, j := range jobs {
			if got := m.answers[j.ask.ID].Seconds(); math.Abs(got-j.end) > 0.002 {
				t.Fatalf("job from %v: through at %v, want %v", j.at, got, j.end)
			}
		}
	})
}

// TestServer covers what a server does with connections and requests in each of its states.
func TestServer(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name   string
		change func(*Scenario)
		play   func(w *World, m *mute)
		ok     func(w *World, m *mute) bool
	}{
		{"a full waiting room turns away", func(s *Scenario) { s.Servers.Room, s.Servers.Slots = 1, 1 },
			func(w *World, _ *mute) {
				for range 5 {
					forward(w, 0, 0.1)
				}
			}, func(w *World, m *mute) bool { return w.result.Turned["full"] == 2 && len(m.answers) == 5 }},
		{"a handshake delays the first request", func(s *Scenario) { s.Servers.Handshake = Span{10 * ms, 10 * ms} },
			func(w *World, _ *mute) { forward(w, 0, 0.1) },
			func(_ *World, m *mute) bool {
				for _, at := range m.answers {
					return at == 110*ms
				}
				return false
			}},
		{"too many connections are turned away", func(s *Scenario) { s.Servers.Connections = 1 },
			func(w *World, _ *mute) { forward(w, 0, 0.1); forward(w, ms, 0.1) },
			func(w *World, m *mute) bool { return w.result.Turned["connections"] == 1 }},
		{"a known key costs less", func(s *Scenario) {
			s.Servers.Cache = Cache{Keys: 2, For: time.Second,
				Saves: 0.5}
		},
			func(w *World, _ *mute) {
				for i := range 2 {
					a := forward(w, time.Duration(i)*200*ms, 0.1)
					a.Call.Key = 9
				}
			}, func(w *World, _ *mute) bool { return math.Abs(w.result.Work-0.15) < 1e-6 }},
		{"a crowd slows it, and idleness ends that",
			func(s *Scenario) {
				s.Servers.Slots, s.Servers.Crowd = 1, Crowd{Waiting: 2, After: 500 * ms, Slower: 3,
					Idle: time.Second, Most: time.Hour}
			},
			func(w *World, _ *mute) {
				for range 20 {
					forward(w, 0, 0.2)
				}
				forward(w, 30*time.Second, 0.2)
			}, func(w *World, m *mute) bool {
				last := time.Duration(0)
				for _, at := range m.answers {
					last = max(last, at)
				}
				return w.result.Crowded == 1 && last-30*time.Second-200*ms < 10*time.Microsecond
			}},
		{"a cancel drops what waits and not what runs", func(s *Scenario) { s.Servers.Slots = 0.5 },
			func(w *World, _ *mute) {
				for range 2 {
					a := forward(w, 0, 0.1)
					w.Clock.At(50*ms, func() { w.CloseHop(a.attempts[0].Hop) })
				}
			}, func(w *World, m *mute) bool { return math.Abs(w.result.Work-0.1) < 1e-6 && w.result.Wasted > 0.09 }},
		{"a cancel that crosses its answer ends in neither an answer nor lost work of others",
			func(s *Scenario) { s.Network.Within = Span{ms, ms} },
			func(w *World, _ *mute) {
				a := forward(w, 0, 0.1)
				w.Clock.At(101*ms+500*time.Microsecond, func() { w.CloseHop(a.attempts[0].Hop) })
				forward(w, 110*ms, 0.1)
			}, func(w *World, m *mute) bool {
				return len(m.answers) == 1 && w.servers[0].conns == 0 && math.Abs(w.result.Work-0.2) < 1e-6
			}},
		{"a cold server is slower, and pushed over by too much", func(*Scenario) {},
			func(w *World, _ *mute) {
				w.servers[0].crash()
				w.Clock.At(time.Second, w.servers[0].start)
				forward(w, time.Second, 0.1)
				for i := range 100 {
					forward(w, 3*time.Second+time.Duration(i)*ms, 0.1)
				}
			}, func(w *World, m *mute) bool { return w.result.Tipped == 1 && !w.servers[0].up && m.resets > 0 }},
		{"what a soft cut holds arrives behind it", func(*Scenario) {},
			func(w *World, _ *mute) {
				w.servers[0].cut++
				forward(w, 0, 0.1)
				w.Clock.At(time.Second, func() { w.servers[0].back(false) })
			}, func(_ *World, m *mute) bool {
				for _, at := range m.answers {
					return at >= 1100*ms
				}
				return false
			}},
		{"old bytes meet a reset at a machine that came back", func(*Scenario) {},
			func(w *World, _ *mute) {
				a := forward(w, 0, 10)
				w.Clock.At(100*ms, func() { w.servers[0].cut++ })
				w.Clock.At(time.Second, func() { w.servers[0].back(true) })
				w.Clock.At(2*time.Second, func() { w.Forward(a.attempts[0].Hop, a) })
			}, func(w *World, m *mute) bool { return m.resets == 1 && len(m.answers) == 0 && w.servers[0].up }},
	} {
		w, m := one(tc.change)
		tc.play(w, m)
		w.Clock.Run(2 * time.Minute)
		if !tc.ok(w, m) {
			t.Errorf("%s: answers %v, resets %d, result %+v", tc.name, m.answers, m.resets, w.result.Turned)
		}
	}
}
