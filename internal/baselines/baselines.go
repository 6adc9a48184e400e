// Package baselines holds the policies that a proxy's decision module is measured against: random,
// round robin, least in flight and power of two choices, as the textbooks have them. They keep the
// house's rules (nothing to a server that drains, nothing that may have run is repeated unless that
// does no harm, refusals only where nothing may have run), so that they differ from the module in
// what they choose and not in what they dare. Like it they do no I/O and have no clock.
package baselines

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	lg "lilacglade"
)

// Names lists the policies. One that ends in "-once" never tries again.
var Names = []string{"random", "round-robin", "least", "two-choices", "random-once", "two-choices-once"}

// Policy is one of them, for one proxy. It fills the place of lg.Balancer.
type Policy struct {
	set      lg.Settings
	choose   func(p *Policy, able []*server) *server
	once     bool
	rng      *rand.Rand
	now      time.Duration
	servers  map[lg.ServerID]*server
	order    []*server // by id
	able     []*server // scratch
	requests map[lg.RequestID]*request
	turn     int
	acts     []lg.Action
	started  bool
	failures int // calls for the list in a row
}

type server struct {
	lg.Server
	out  int
	down time.Duration // not chosen until then, after a connection that failed
}

type request struct {
	lg.Request
	deadline time.Duration
	tried    []lg.ServerID
	at       time.Duration // when the last attempt was sent
	first    *server       // where it may have run
	firstAt  time.Duration
	out      bool
}

// New returns the policy of that name.
func New(name string, set lg.Settings, seed uint64) (*Policy, error) {
	kind, once := strings.CutSuffix(name, "-once")
	choose, ok := map[string]func(*Policy, []*server) *server{
		"random":      func(p *Policy, able []*server) *server { return able[p.rng.IntN(len(able))] },
		"round-robin": func(p *Policy, able []*server) *server { p.turn++; return able[p.turn%len(able)] },
		"least":       least,
		"two-choices": twoChoices,
	}[kind]
	if !ok || !slices.Contains(Names, name) {
		return nil, fmt.Errorf("policy %q is none of %s", name, strings.Join(Names, ", "))
	}
	return &Policy{set: set, choose: choose, once: once, rng: rand.New(rand.NewPCG(seed, 0)),
		servers: map[lg.ServerID]*server{}, requests: map[lg.RequestID]*request{}}, nil
}

// least takes the server with the fewest own attempts out for its weight, the first of equals in
// an order that turns.
func least(p *Policy, able []*server) *server {
	p.turn++
	best := able[p.turn%len(able)]
	for i := range able {
		if s := able[(p.turn+i)%len(able)]; float64(s.out)/s.Weight < float64(best.out)/best.Weight {
			best = s
		}
	}
	return best
}

// twoChoices draws two servers and takes the one with fewer own attempts out.
func twoChoices(p *Policy, able []*server) *server {
	a, b := able[p.rng.IntN(len(able))], able[p.rng.IntN(len(able))]
	if float64(b.out)/b.Weight < float64(a.out)/a.Weight {
		return b
	}
	return a
}

// listToken asks for the list again.
const listToken = 1

// How long a server is left alone after a connection to it failed, and the wait before the list is
// asked for again.
const (
	downFor  = time.Second
	listWait = 500 * time.Millisecond
)

// Handle takes one event at the given time and returns what to do about it. The slice is used
// again by the next call.
func (p *Policy) Handle(now time.Duration, ev lg.Event) []lg.Action {
	p.acts, p.now = p.acts[:0], now
	if !p.started {
		p.started = true
		p.acts = append(p.acts, lg.Action{Do: lg.Subscribe})
	}
	switch ev := ev.(type) {
	case lg.Request:
		p.arrive(ev)
	case lg.Outcome:
		p.outcome(ev)
	case lg.Departed:
		if r := p.requests[ev.Request]; r != nil && !r.out {
			delete(p.requests, ev.Request)
		}
	case lg.Timer:
		if ev.Token == listToken {
			p.acts = append(p.acts, lg.Action{Do: lg.Subscribe})
		}
	case lg.List:
		p.list(ev)
	}
	return p.acts
}

func (p *Policy) arrive(ev lg.Request) {
	if ev.Class < 0 || ev.Class >= len(p.set.Classes) {
		p.acts = append(p.acts, lg.Action{Do: lg.Fail, Request: ev.ID})
		return
	}
	r := &request{Request: ev, deadline: p.now + ev.Budget}
	p.requests[ev.ID] = r
	p.dispatch(r)
}

func (p *Policy) dispatch(r *request) {
	p.able = p.able[:0]
	for _, again := range []bool{false, true} { // one that was tried is better than none
		for _, s := range p.order {
			if s.State == lg.Ready && s.down <= p.now && p.together(r, s) && (again || !slices.Contains(r.tried,
				s.ID)) {
				p.able = append(p.able, s)
			}
		}
		if len(p.able) > 0 {
			break
		}
	}
	if len(p.able) == 0 || p.now >= r.deadline || len(r.tried) >= p.set.MaxAttempts {
		p.end(r)
		return
	}
	s := p.choose(p, p.able)
	r.tried, r.at, r.out = append(r.tried, s.ID), p.now, true
	s.out++
	p.acts = append(p.acts, lg.Action{Do: lg.Send, Request: r.ID, Server: s.ID})
}

// together tells whether a repeat at s does no harm.
func (p *Policy) together(r *request, s *server) bool {
	if c := &p.set.Classes[r.Class]; r.first != nil && c.Effect == lg.Keyed && c.Group != lg.GroupAll {
		return s.Zone == r.first.Zone && (c.Group == lg.GroupZone || s.Cell == r.first.Cell)
	}
	return true
}

func (p *Policy) outcome(ev lg.Outcome) {
	s, r := p.servers[ev.Server], p.requests[ev.Request]
	if s != nil {
		s.out = max(0, s.out-1)
		if ev.Result == lg.ConnectFailed {
			s.down = p.now + downFor
		}
	}
	if r == nil {
		return
	}
	r.out = false
	if ev.Closed {
		delete(p.requests, r.ID)
		return
	}
	c := &p.set.Classes[r.Class]
	if !ev.Result.NeverRan() && r.first == nil {
		if r.first = s; s == nil {
			r.first = &server{Server: lg.Server{Zone: -1, Cell: -1}}
		}
		r.firstAt = r.at
	}
	harm := r.first != nil && (c.Effect == lg.Unsafe || c.Effect == lg.Keyed && p.now-r.firstAt >= c.Memory)
	if p.once || harm || ev.Result == lg.Moot || p.now >= r.deadline {
		p.end(r)
		return
	}
	p.dispatch(r)
}

// end gives a request its final answer.
func (p *Policy) end(r *request) {
	do, c := lg.Fail, &p.set.Classes[r.Class]
	if r.first == nil || c.Effect == lg.Safe || c.Effect == lg.Keyed && c.Group == lg.GroupAll {
		do = lg.Refuse
	}
	p.acts = append(p.acts, lg.Action{Do: do, Request: r.ID, For: p.set.MaxRetryAfter})
	delete(p.requests, r.ID)
}

func (p *Policy) list(ev lg.List) {
	if ev.Kind == lg.ListFailed {
		p.failures++
		p.acts = append(p.acts, lg.Action{Do: lg.SetTimer, For: listWait * time.Duration(min(p.failures, 10)),
			Token: listToken})
		return
	}
	p.failures = 0
	seen := map[lg.ServerID]bool{}
	for _, l := range ev.Servers {
		seen[l.ID] = true
		s := p.servers[l.ID]
		if l.State == lg.Gone {
			delete(p.servers, l.ID)
			continue
		}
		if s == nil {
			s = &server{}
			p.servers[l.ID] = s
		}
		s.Server = l
		if !(s.Weight > 0) {
			s.Weight = 1
		}
	}
	p.order = p.order[:0]
	for id, s := range p.servers {
		if ev.Kind != lg.Changes && !seen[id] {
			delete(p.servers, id)
			continue
		}
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}
