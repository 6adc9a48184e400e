package lilacglade

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ruleChecker observes one proxy from outside. It checks four rules without knowledge of the
// algorithms: (1) each request gets exactly one final answer, in time; (2) a request that may have
// run is only repeated as its class allows, one attempt at a time; (3) nothing is sent to a server
// that is draining or gone; (4) a server in slow start is not overloaded.
type ruleChecker struct {
	settings       Settings
	now            time.Duration
	requests       map[RequestID]*trackedRequest
	servers        map[ServerID]Server
	down           map[ServerID]bool
	slowStartSends []slowStartSend
	violations     []string
}

// trackedRequest is a request with the attempts seen so far.
type trackedRequest struct {
	Request
	deadline time.Duration
	answered bool
	attempts []testAttempt
}

// testAttempt is one Send of a request.
type testAttempt struct {
	server   Server
	sentAt   time.Duration
	ended    bool
	neverRan bool // proved never to have run
}

// slowStartSend is a Send to a server in slow start.
type slowStartSend struct {
	id     ServerID
	sentAt time.Duration
}

// violation records a violation of a rule.
func (c *ruleChecker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// mayHaveRun returns the first attempt of r that is not proved never to have run, nil if there is
// none.
func (r *trackedRequest) mayHaveRun() *testAttempt {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// observe checks an action against the rules.
func (c *ruleChecker) observe(a Action) {
	r := c.requests[a.Request]
	if a.Do != Send && a.Do != Refuse && a.Do != Fail {
		return
	}
	if r == nil || r.answered {
		c.violation("rule 1: %+v after the final answer or for an unknown request", a)
		return
	}
	class, firstRan := c.settings.Classes[r.Class], r.mayHaveRun()
	switch a.Do {
	case Fail:
		r.answered = true
	case Refuse:
		if firstRan != nil && (class.Effect == Unsafe || class.Effect == Keyed && class.Group != GroupAll) {
			c.violation("rule 2: %s refused though it may have run", class.Name)
		}
		r.answered = true
	case Send:
		s, ok := c.servers[a.Server]
		if !ok || c.down[a.Server] {
			c.violation("rule 3: sent to server %d, which is draining or gone", a.Server)
		}
		for _, t := range r.attempts {
			if !t.ended {
				c.violation("rule 2: a second attempt while one is outstanding")
			}
		}
		if firstRan != nil {
			switch {
			case class.Effect == Unsafe:
				c.violation("rule 2: an unsafe request sent again")
			case class.Effect == Keyed && c.now-firstRan.sentAt > class.Memory:
				c.violation("rule 2: a keyed request sent again after %v", c.now-firstRan.sentAt)
			case class.Effect == Keyed && class.Group == GroupZone && s.Zone != firstRan.server.Zone,
				class.Effect == Keyed && class.Group == GroupCell && s.Cell != firstRan.server.Cell:
				c.violation("rule 2: a keyed request sent outside its group")
			}
		}
		if s.Started > 0 && c.now-s.Started < c.settings.WarmWithin {
			c.slowStartSends = append(c.slowStartSends, slowStartSend{s.ID, c.now})
			n := 0
			for _, x := range c.slowStartSends {
				if x.id == s.ID && c.now-x.sentAt < c.settings.TipWindow {
					n++
				}
			}
			// At most 200 requests per second arrive here, for at least four servers. A quarter of
			// that, as this proxy's share, is all that a warm server would get.
			if maxSends := 2 + int(200*c.settings.TipWindow.Seconds()/4); n > maxSends {
				c.violation("rule 4: %d requests to a server in slow start in one window, want at most %d", n, maxSends)
			}
		}
		r.attempts = append(r.attempts, testAttempt{server: s, sentAt: c.now})
	}
}

// checkDeadlines reports requests whose answer is overdue.
func (c *ruleChecker) checkDeadlines() {
	for id, r := range c.requests {
		if !r.answered && c.now > r.deadline+20*ms {
			c.violation("rule 1: request %d has no answer %v after its deadline", id, c.now-r.deadline)
			r.answered = true
		}
	}
}

// runHistory runs a random history of n steps with valid and invalid events, and returns the
// violations.
func runHistory(t *testing.T, seed uint64, n int) []string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := testSettings()
	settings.AskForList = true
	b, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &ruleChecker{settings: settings, now: time.Minute, requests: map[RequestID]*trackedRequest{},
		servers: map[ServerID]Server{}, down: map[ServerID]bool{}}
	type due struct {
		at time.Duration
		ev Event
	}
	var queue []due
	var live []RequestID
	deliver := func(ev Event) {
		for _, a := range b.Handle(c.now, ev) {
			switch a.Do {
			case SetTimer:
				queue = append(queue, due{c.now + a.For, Timer{a.Token}})
			case Subscribe:
				kind := []ListKind{Changes, ListFailed}[rng.IntN(2)]
				queue = append(queue, due{c.now + time.Duration(rng.IntN(900))*ms, List{Kind: kind}})
			case Send:
				c.observe(a)
				r := c.requests[a.Request]
				if r == nil {
					continue
				}
				result := Result(rng.IntN(8))
				if rng.IntN(3) > 0 {
					result = OK
				}
				at := c.now + time.Duration(rng.IntN(300))*ms
				if result == TimedOut || at > r.deadline {
					result, at = TimedOut, r.deadline
				}
				if a.For > 0 && at > c.now+a.For {
					result, at = TimedOut, c.now+a.For
				}
				queue = append(queue, due{at, Outcome{Request: a.Request, Attempt: len(r.attempts) - 1,
					Server: a.Server, Result: result, Latency: at - c.now,
					Load: LoadReport{N: rng.IntN(2), Values: [4]float64{float64(rng.IntN(40))}}}})
			default:
				c.observe(a)
			}
		}
	}
	list := fleet(8)
	updateList := func(kind ListKind, servers []Server) {
		if kind != Changes {
			for id := range c.servers {
				c.down[id] = true
			}
		}
		for _, s := range servers {
			c.servers[s.ID], c.down[s.ID] = s, s.State != Ready
		}
		deliver(List{Kind: kind, Servers: servers})
	}
	updateList(CachedList, list)
	for id := RequestID(1); int(id) <= n; id++ {
		c.now += 5 * ms
		slices.SortStableFunc(queue, func(a, b due) int { return int(a.at - b.at) })
		for len(queue) > 0 && queue[0].at <= c.now {
			ev := queue[0].ev
			queue = queue[1:]
			if o, ok := ev.(Outcome); ok {
				r := c.requests[o.Request]
				r.attempts[o.Attempt].ended, r.attempts[o.Attempt].neverRan = true, o.Result.NeverRan()
				if o.Result == OK {
					r.answered = true
				}
				o.Closed = r.answered
				ev = o
			}
			deliver(ev)
			if rng.IntN(20) == 0 {
				deliver(ev) // repeated: the outcome of an attempt that has ended, or a timer that has expired
			}
		}
		c.checkDeadlines()
		if int(id) < n-400 {
			r := Request{ID: id, Class: rng.IntN(5), Key: rng.Uint64N(30), HasKey: rng.IntN(9) > 0,
				Budget: time.Duration(50+rng.IntN(900)) * ms}
			c.requests[id] = &trackedRequest{Request: r, deadline: c.now + r.Budget}
			live = append(live, id)
			deliver(r)
		}
		switch s := &list[4+rng.IntN(4)]; rng.IntN(25) {
		case 0:
			s.State = State(rng.IntN(3))
			updateList(Changes, []Server{*s})
		case 1:
			s.State, s.Started = Ready, c.now
			updateList(Changes, []Server{*s})
		case 2:
			updateList(FullList, slices.DeleteFunc(slices.Clone(list), func(s Server) bool { return s.State == Gone }))
		case 3:
			deliver(List{Kind: ListFailed})
		case 4:
			if len(live) > 0 {
				if id := live[rng.IntN(len(live))]; !c.requests[id].answered {
					c.requests[id].answered = true
					deliver(Departed{id})
				}
			}
		case 5:
			deliver(Outcome{Request: RequestID(rng.IntN(n)) + 1<<20, Server: s.ID, Result: Result(rng.IntN(8))})
		}
	}
	if len(b.requests) != 0 || len(b.heldByToken) != 0 {
		c.violation("leak: %d requests and %d held at the end", len(b.requests), len(b.heldByToken))
	}
	for _, s := range b.servers {
		if c.down[s.ID] && s.State == Ready {
			c.violation("leak: server %d is gone but remembered as ready", s.ID)
		}
	}
	return c.violations
}

// TestRulesUnderRandomHistories checks the rules of ruleChecker under valid and invalid events.
func TestRulesUnderRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		if violations := runHistory(t, seed, 1500); len(violations) > 0 {
			t.Fatalf("seed %d: %d violations, the first: %s", seed, len(violations), violations[0])
		}
	}
}
