package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"lilacglade/internal/emulator"
	"lilacglade/internal/lab/virtual"
)

// Find is a scenario on which something is wrong, in its smallest form.
type Find struct {
	Why      string // what is wrong
	Kind     string // a rule's name, "unsettled" or "behind"
	Scenario *emulator.Scenario
	From     uint64 // the number of the random scenario
	Steps    int    // reductions that kept the fault
}

// Search plays random scenarios.
type Search struct {
	Seed   uint64
	Policy string  // what is tried; the module where empty
	Behind float64 // service (G) that it may lack against the best textbook policy; 0: not compared
	Short  bool    // shorter, smaller scenarios
	// Decider replaces the policy, for tests.
	Options func(o *virtual.Options)
}

// rivals are the textbook policies that service is compared with.
var rivals = []string{"least", "two-choices", "round-robin"}

// Scenario is the n-th random scenario.
func (s *Search) Scenario(n uint64) *emulator.Scenario {
	rng := rand.New(rand.NewPCG(s.Seed, n))
	sc := emulator.Lakeshore()
	sc.Name = fmt.Sprintf("found-%d-%d", s.Seed, n)
	sc.Seed = rng.Uint64() >> 1
	span := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rng.Float64()*float64(to-from))
	}
	sc.Duration = span(20*time.Second, 45*time.Second).Round(time.Second)
	if s.Short {
		sc.Duration = span(8*time.Second, 14*time.Second).Round(time.Second)
	}
	sc.Zones = sc.Zones[:1+rng.IntN(4)]
	sc.Proxies.Count = 1 + rng.IntN(6)
	sc.Proxies.Sockets = []int{128, 256, 512, 1024}[rng.IntN(4)]
	sc.Proxies.Step = []time.Duration{0, 6 * time.Microsecond, 20 * time.Microsecond}[rng.IntN(3)]
	sc.Servers.Count = 3 + rng.IntN(18)
	sc.Servers.Room = []int{4, 12, 24, 100}[rng.IntN(4)]
	sc.Servers.Slots = []float64{1, 1, 2, 8}[rng.IntN(4)]
	sc.Servers.DropsWait = rng.IntN(2) == 0
	sc.Servers.Connections = []int{20, 100, 100}[rng.IntN(3)]
	sc.Servers.Weights = []string{"rough", "exact", "none"}[rng.IntN(3)]
	if rng.IntN(2) == 0 {
		sc.Servers.Crowd.Waiting = 0
	}
	cores := float64(sc.Servers.Count) * 2 * 0.88
	can := cores / 0.050 // requests a second that the fleet can do, about
	sc.Clients.Rate = math.Round(can * (0.2 + 1.3*rng.Float64()))
	if rng.IntN(4) == 0 {
		sc.Clients.Burst = emulator.Burst{Every: 7 * time.Second, For: time.Second, Times: 1 + 3*rng.Float64()}
	}
	sc.Clients.Keys = []int{0, 50, 1200}[rng.IntN(3)]
	sc.Clients.Skew = []float64{0.6, 0.9, 1.3}[rng.IntN(3)]
	sc.Clients.Retries.How = []string{"none", "at-once", "after", "advised"}[rng.IntN(4)]
	sc.Clients.Retries.Most = rng.IntN(4)
	if rng.IntN(3) == 0 {
		sc.Classes[1].Group = []string{"all", "cell"}[rng.IntN(2)]
	}
	if rng.IntN(4) == 0 {
		sc.Classes = append(sc.Classes, emulator.Class{Name: "album-list", Share: 0.5,
			Work: 12 * time.Millisecond, Spread: 0.3,
			Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 2, LateWorth: 0.2, Effect: "safe"})
	}
	kinds := emulator.Kinds()
	for range 1 + rng.IntN(4) {
		k := kinds[rng.IntN(len(kinds))]
		t := emulator.Trouble{Kind: k.Name, At: span(time.Second, sc.Duration/2).Round(10 * time.Millisecond),
			For:  span(time.Second, sc.Duration/2).Round(10 * time.Millisecond),
			Size: math.Round(100*(k.Sizes.From+rng.Float64()*(k.Sizes.To-k.Sizes.From))) / 100, Hard: rng.IntN(2) == 0,
			Same: rng.IntN(2) == 0}
		if k.Servers {
			t.Part = math.Round(100*(0.05+0.5*rng.Float64())) / 100
			if rng.IntN(6) == 0 {
				t.Part = 0
				t.Zone = sc.Zones[rng.IntN(len(sc.Zones))]
			}
		}
		if (k.Name == "hang" || k.Name == "tail") && rng.IntN(2) == 0 {
			t.Class = sc.Classes[rng.IntN(len(sc.Classes))].Name
		}
		if t.Size <= 0 {
			t.Size = k.Size
		}
		sc.Troubles = append(sc.Troubles, t)
	}
	return &sc
}

func (s *Search) play(sc *emulator.Scenario, policy string) (*emulator.Result, error) {
	o := virtual.Options{Policy: policy}
	if s.Options != nil {
		s.Options(&o)
	}
	return virtual.Run(sc, o)
}

// fault tells what is wrong with a scenario; "" for nothing.
func (s *Search) fault(sc *emulator.Scenario, kind string) (found, why string, err error) {
	r, err := s.play(sc, s.Policy)
	if err != nil {
		return "", "", err
	}
	for _, rule := range sorted(r.Broken) {
		if kind == "" || kind == string(rule) {
			return string(rule), fmt.Sprintf("rule %s broken %d times", rule, r.Broken[rule]), nil
		}
	}
	if n := r.Unsettled(); n != 0 || r.Ended() != r.Asked {
		return "unsettled", fmt.Sprintf("%d calls open, %d tries ended of %d", n, r.Ended(), r.Asked), nil
	}
	if s.Behind <= 0 || kind != "" && kind != "behind" {
		return "", "", nil
	}
	for _, rival := range rivals {
		o, err := s.play(sc, rival)
		if err != nil {
			return "", "", err
		}
		if o.Rules() == 0 && o.G-r.G > s.Behind {
			return "behind", fmt.Sprintf("G %.3f, and %s has %.3f", r.G, rival, o.G), nil
		}
	}
	return "", "", nil
}

// Try plays the n-th random scenario; a Find comes back shrunk, nil when nothing is wrong.
func (s *Search) Try(n uint64) (*Find, error) {
	sc := s.Scenario(n)
	kind, why, err := s.fault(sc, "")
	if err != nil || kind == "" {
		return nil, err
	}
	f := &Find{Why: why, Kind: kind, Scenario: sc, From: n}
	return f, s.shrink(f)
}

// mostShrinks bounds the runs that one shrinking takes.
const mostShrinks = 120

// shrink makes the scenario smaller as long as the same thing is wrong with it.
func (s *Search) shrink(f *Find) error {
	runs := 0
	for again := true; again && runs < mostShrinks; {
		again = false
		for _, smaller := range reductions(f.Scenario) {
			if runs++; runs > mostShrinks {
				break
			}
			if smaller.Check() != nil {
				continue
			}
			kind, why, err := s.fault(smaller, f.Kind)
			if err != nil {
				return err
			}
			if kind == f.Kind {
				f.Scenario, f.Why, again = smaller, why, true
				f.Steps++
				break
			}
		}
	}
	f.Scenario.About = fmt.Sprintf("Found by search %s, scenario %d, shrunk in %d steps: %s.",
		strings.TrimPrefix(f.Scenario.Name, "found-"), f.From, f.Steps, f.Why)
	return nil
}

// reductions are scenarios a step simpler, the largest steps first.
func reductions(sc *emulator.Scenario) (all []*emulator.Scenario) {
	add := func(change func(c *emulator.Scenario) bool) {
		c := *sc
		c.Troubles = slices.Clone(sc.Troubles)
		c.Classes = slices.Clone(sc.Classes)
		if change(&c) {
			all = append(all, &c)
		}
	}
	for i := range sc.Troubles {
		add(func(c *emulator.Scenario) bool { c.Troubles = slices.Delete(c.Troubles, i, i+1); return true })
	}
	add(func(c *emulator.Scenario) bool {
		c.Duration = (c.Duration / 2).Round(time.Second)
		return c.Duration >= 2*time.Second
	})
	add(func(c *emulator.Scenario) bool {
		c.Duration = (c.Duration * 4 / 5).Round(time.Second)
		return c.Duration >= 2*time.Second
	})
	add(func(c *emulator.Scenario) bool { c.Proxies.Count /= 2; return c.Proxies.Count >= 1 })
	add(func(c *emulator.Scenario) bool { // fewer servers, and as much less to do
		n := c.Servers.Count / 2
		c.Clients.Rate *= float64(n) / float64(c.Servers.Count)
		c.Servers.Count = n
		return n >= 1
	})
	add(func(c *emulator.Scenario) bool { c.Zones = c.Zones[:len(c.Zones)-1]; return len(c.Zones) > 0 })
	add(func(c *emulator.Scenario) bool {
		c.Clients.Rate = math.Round(c.Clients.Rate / 2)
		return c.Clients.Rate >= 2
	})
	add(func(c *emulator.Scenario) bool {
		had := c.Clients.Retries.How != "none"
		c.Clients.Retries.How, c.Clients.Retries.Most = "none", 0
		return had
	})
	add(func(c *emulator.Scenario) bool { had := c.Clients.Keys > 0; c.Clients.Keys = 0; return had })
	add(func(c *emulator.Scenario) bool {
		had := c.Clients.Burst.Every > 0
		c.Clients.Burst = emulator.Burst{}
		return had
	})
	add(func(c *emulator.Scenario) bool {
		had := c.Servers.Crowd.Waiting > 0
		c.Servers.Crowd.Waiting = 0
		return had
	})
	add(func(c *emulator.Scenario) bool { had := c.Proxies.Step > 0; c.Proxies.Step = 0; return had })
	for i, t := range sc.Troubles {
		add(func(c *emulator.Scenario) bool {
			c.Troubles[i].For = (t.For / 2).Round(10 * time.Millisecond)
			return t.For > time.Second
		})
		add(func(c *emulator.Scenario) bool {
			c.Troubles[i].At = (t.At / 2).Round(10 * time.Millisecond)
			return t.At > time.Second
		})
	}
	return all
}

// SearchFor tries random scenarios on all cores until the budget is used up or so many (0: any
// number) have been played, and hands on what it finds. The same seed plays the same scenarios.
func SearchFor(s *Search, budget time.Duration, most uint64, take func(*Find) error) (played, finds int,
	err error) {
	until := time.Now().Add(budget)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var next uint64
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				mu.Lock()
				n := next
				next++
				over := err != nil || !time.Now().Before(until) || most > 0 && n >= most
				mu.Unlock()
				if over {
					return
				}
				f, e := s.Try(n)
				mu.Lock()
				played++
				if e == nil && f != nil {
					finds++
					e = take(f)
				}
				if e != nil {
					err = fmt.Errorf("scenario %d: %w", n, e)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return played, finds, err
}
