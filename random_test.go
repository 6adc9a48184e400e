package lilacglade

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checker follows one proxy from outside and knows the four rules, nothing of the decisions.
type checker struct {
	set     Settings
	now     time.Duration
	reqs    map[RequestID]*seen
	servers map[ServerID]Server
	down    map[ServerID]bool
	sent    []sending // to cold servers
	faults  []string
}

type seen struct {
	Request
	until    time.Duration
	answered bool
	tries    []try
}

type try struct {
	server Server
	at     time.Duration
	ended  bool
	never  bool // proved never to have run
}

type sending struct {
	id ServerID
	at time.Duration
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// mayHaveRun returns the first attempt of r that is not proved never to have run.
func (r *seen) mayHaveRun() *try {
	for i := range r.tries {
		if !r.tries[i].never {
			return &r.tries[i]
		}
	}
	return nil
}

// see takes in an action.
func (c *checker) see(a Action) {
	r := c.reqs[a.Request]
	if a.Do != Send && a.Do != Refuse && a.Do != Fail {
		return
	}
	if r == nil || r.answered {
		c.fault("rule 1: %+v after the final answer or for an unknown request", a)
		return
	}
	class, ran := c.set.Classes[r.Class], r.mayHaveRun()
	switch a.Do {
	case Fail:
		r.answered = true
	case Refuse:
		if ran != nil && (class.Effect == Unsafe || class.Effect == Keyed && class.Group != GroupAll) {
			c.fault("rule 2: %s refused though it may have run", class.Name)
		}
		r.answered = true
	case Send:
		s, ok := c.servers[a.Server]
		if !ok || c.down[a.Server] {
			c.fault("rule 3: sent to server %d, which drains or is gone", a.Server)
		}
		for _, t := range r.tries {
			if !t.ended {
				c.fault("rule 2: a second attempt while one is out")
			}
		}
		if ran != nil {
			switch {
			case class.Effect == Unsafe:
				c.fault("rule 2: an unsafe request sent again")
			case class.Effect == Keyed && c.now-ran.at > class.Memory:
				c.fault("rule 2: a keyed request sent again after %v", c.now-ran.at)
			case class.Effect == Keyed && class.Group == GroupZone && s.Zone != ran.server.Zone,
				class.Effect == Keyed && class.Group == GroupCell && s.Cell != ran.server.Cell:
				c.fault("rule 2: a keyed request sent out of its group")
			}
		}
		if s.Started > 0 && c.now-s.Started < c.set.WarmWithin {
			c.sent = append(c.sent, sending{s.ID, c.now})
			n := 0
			for _, x := range c.sent {
				if x.id == s.ID && c.now-x.at < c.set.TipWindow {
					n++
				}
			}
			// Requests come at most at 200 a second here, to four servers at the least; a
			// quarter of that, at this proxy's part, is all a warm server would get.
			if most := 2 + int(200*c.set.TipWindow.Seconds()/4); n > most {
				c.fault("rule 4: %d requests to a cold server in one window, at most %d", n, most)
			}
		}
		r.tries = append(r.tries, try{server: s, at: c.now})
	}
}

// overdue reports requests that should have had their answer.
func (c *checker) overdue() {
	for id, r := range c.reqs {
		if !r.answered && c.now > r.until+20*ms {
			c.fault("rule 1: request %d has no answer at %v past its time", id, c.now-r.until)
			r.answered = true
		}
	}
}

// history plays one seeded history of n steps, legal and hostile, and returns the faults.
func history(t *testing.T, seed uint64, n int) []string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	set := testSettings()
	set.AskForList = true
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &checker{set: set, now: time.Minute, reqs: map[RequestID]*seen{}, servers: map[ServerID]Server{},
		down: map[ServerID]bool{}}
	type due struct {
		at time.Duration
		ev Event
	}
	var queue []due
	var live []RequestID
	give := func(ev Event) {
		for _, a := range b.Handle(c.now, ev) {
			switch a.Do {
			case SetTimer:
				queue = append(queue, due{c.now + a.For, Timer{a.Token}})
			case Subscribe:
				kind := []ListKind{Changes, ListFailed}[rng.IntN(2)]
				queue = append(queue, due{c.now + time.Duration(rng.IntN(900))*ms, List{Kind: kind}})
			case Send:
				c.see(a)
				r := c.reqs[a.Request]
				if r == nil {
					continue
				}
				res := Result(rng.IntN(8))
				if rng.IntN(3) > 0 {
					res = OK
				}
				at := c.now + time.Duration(rng.IntN(300))*ms
				if res == TimedOut || at > r.until {
					res, at = TimedOut, r.until
				}
				if a.For > 0 && at > c.now+a.For {
					res, at = TimedOut, c.now+a.For
				}
				queue = append(queue, due{at, Outcome{Request: a.Request, Attempt: len(r.tries) - 1,
					Server: a.Server, Result: res, Latency: at - c.now,
					Load: LoadReport{N: rng.IntN(2), Values: [4]float64{float64(rng.IntN(40))}}}})
			default:
				c.see(a)
			}
		}
	}
	list := fleet(8)
	relist := func(kind ListKind, servers []Server) {
		if kind != Changes {
			for id := range c.servers {
				c.down[id] = true
			}
		}
		for _, s := range servers {
			c.servers[s.ID], c.down[s.ID] = s, s.State != Ready
		}
		give(List{Kind: kind, Servers: servers})
	}
	relist(CachedList, list)
	for id := RequestID(1); int(id) <= n; id++ {
		c.now += 5 * ms
		slices.SortStableFunc(queue, func(a, b due) int { return int(a.at - b.at) })
		for len(queue) > 0 && queue[0].at <= c.now {
			ev := queue[0].ev
			queue = queue[1:]
			if o, ok := ev.(Outcome); ok {
				r := c.reqs[o.Request]
				r.tries[o.Attempt].ended, r.tries[o.Attempt].never = true, o.Result.NeverRan()
				if o.Result == OK {
					r.answered = true
				}
				o.Closed = r.answered
				ev = o
			}
			give(ev)
			if rng.IntN(20) == 0 {
				give(ev) // repeated: an outcome of an attempt that has ended, a timer that is spent
			}
		}
		c.overdue()
		if int(id) < n-400 {
			r := Request{ID: id, Class: rng.IntN(5), Key: rng.Uint64N(30), HasKey: rng.IntN(9) > 0,
				Budget: time.Duration(50+rng.IntN(900)) * ms}
			c.reqs[id] = &seen{Request: r, until: c.now + r.Budget}
			live = append(live, id)
			give(r)
		}
		switch s := &list[4+rng.IntN(4)]; rng.IntN(25) {
		case 0:
			s.State = State(rng.IntN(3))
			relist(Changes, []Server{*s})
		case 1:
			s.State, s.Started = Ready, c.now
			relist(Changes, []Server{*s})
		case 2:
			relist(FullList, slices.DeleteFunc(slices.Clone(list), func(s Server) bool { return s.State == Gone }))
		case 3:
			give(List{Kind: ListFailed})
		case 4:
			if len(live) > 0 {
				if id := live[rng.IntN(len(live))]; !c.reqs[id].answered {
					c.reqs[id].answered = true
					give(Departed{id})
				}
			}
		case 5:
			give(Outcome{Request: RequestID(rng.IntN(n)) + 1<<20, Server: s.ID, Result: Result(rng.IntN(8))})
		}
	}
	if len(b.requests) != 0 || len(b.heldByToken) != 0 {
		c.fault("leak: %d requests and %d held at the end", len(b.requests), len(b.heldByToken))
	}
	for _, s := range b.servers {
		if c.down[s.ID] && s.State == Ready {
			c.fault("leak: server %d is gone but remembered as ready", s.ID)
		}
	}
	return c.faults
}

func TestRulesUnderRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		if faults := history(t, seed, 1500); len(faults) > 0 {
			t.Fatalf("seed %d: %d faults, the first: %s", seed, len(faults), faults[0])
		}
	}
}
