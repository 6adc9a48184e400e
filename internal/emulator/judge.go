package emulator

import (
	"fmt"
	"slices"
	"time"
)

// Rule is one of the rules that are never to be broken.
type Rule string

// The rules.
const (
	RuleLost    Rule = "lost"    // one final answer to every accepted request, in time, made by a server
	RuleTwice   Rule = "twice"   // an unsafe request never runs twice, a keyed one only where it does no harm
	RuleAtOnce  Rule = "at-once" // never two branches at once
	RuleRefused Rule = "refused" // 429 and 503 only where nothing may have run
	RuleDrain   Rule = "drain"   // nothing new to a next hop 250 ms after its drain or loss was told
	RuleCold    Rule = "cold"    // no cold server pushed over
	RuleTries   Rule = "tries"   // no more attempts than are allowed
	RuleCrash   Rule = "crash"   // the program goes on
)

// Break is a broken rule.
type Break struct {
	Rule  Rule          `json:"rule"`
	At    time.Duration `json:"at"`
	Ask   uint64        `json:"ask,omitempty"`
	Proxy int           `json:"proxy"`
	Why   string        `json:"why"`
}

// judge watches what crosses the proxies' sockets and knows every rule as code. It trusts nothing
// that a proxy says of itself.
type judge struct{ w *World }

// told is what a proxy was last told of an instance.
type told struct {
	name    string
	state   ListState
	at      time.Duration // when it was told of this state
	started time.Duration
}

// mostBreaks bounds what is kept; all are counted.
const mostBreaks = 50

func (j *judge) breaks(rule Rule, a *Ask, proxy int, why string) {
	b := Break{Rule: rule, At: j.w.Clock.Now(), Proxy: proxy, Why: why}
	if a != nil {
		b.Ask = a.ID
		if j.w.Followed(a) {
			j.w.Tracef("judge    %s: %s", rule, why)
		}
	}
	j.w.result.Broken[rule]++
	if len(j.w.result.Breaks) < mostBreaks {
		j.w.result.Breaks = append(j.w.result.Breaks, b)
	}
}

// tell takes in that discovery has answered a proxy.
func (j *judge) tell(proxy int, d *Doc) {
	p := j.w.proxies[proxy]
	if d.Full {
		named := make(map[string]bool, len(d.Entries))
		for _, e := range d.Entries {
			named[e.Name] = true
		}
		for address, on := range p.told {
			for _, t := range on {
				if !named[t.name] && t.state != Gone {
					j.toldOf(p, address, t.name, Gone, t.started)
				}
			}
		}
	}
	for _, e := range d.Entries {
		j.toldOf(p, e.Address, e.Name, e.State, e.Started)
	}
	p.told0, p.holds = d.Version, d.Version
	j.w.log(logTold, nil, uint64(proxy), d.Version)
}

// toldOf notes what a proxy is told of one instance. Of a machine's instances that are gone, only
// the last is kept.
func (j *judge) toldOf(p *proxy, address int, name string, state ListState, started time.Duration) {
	on := p.told[address]
	for i, t := range on {
		if t.name == name {
			if t.state != state || t.started != started {
				on[i] = told{name, state, j.w.Clock.Now(), started}
			}
			return
		}
	}
	on = slices.DeleteFunc(on, func(t told) bool { return t.state == Gone && state != Gone })
	p.told[address] = append(on, told{name, state, j.w.Clock.Now(), started})
}

// toldStart tells whether a proxy knows of a server's start.
func (j *judge) toldStart(proxy int, s *Server) bool {
	p := j.w.proxies[proxy]
	for _, t := range p.told[s.Index] {
		if t.name == s.Name && t.started == s.started {
			return true
		}
	}
	return j.deemed(proxy, s, func(e Entry) bool { return e.State == Ready && e.Started == s.started }) >= 0
}

// deemed is when a proxy counts as told of a change although it was not: it has neither watched
// nor asked for so long (four times that after a failed call); -1 when it does not.
func (j *judge) deemed(proxy int, s *Server, which func(Entry) bool) time.Duration {
	p, now := j.w.proxies[proxy], j.w.Clock.Now()
	every := j.w.sc.Proxies.AskEvery
	if p.failed {
		every *= 4
	}
	if every <= 0 || p.call != nil || now-p.lastCall < every {
		return -1
	}
	for _, c := range j.w.discovery.changes {
		if c.entry.Address == s.Index && which(c.entry) && c.version > p.told0 && c.at+every <= now {
			return max(c.at+every, p.lastCall+every)
		}
	}
	return -1
}

// sent judges an attempt that a proxy has just written whole.
func (j *judge) sent(a *Attempt) {
	ask, class := a.Ask, &j.w.sc.Classes[a.Ask.Call.Class]
	now, proxy := j.w.Clock.Now(), a.Hop.Proxy
	if a.Number >= j.w.sc.Proxies.MaxTries {
		j.breaks(RuleTries, ask, proxy, fmt.Sprintf("attempt %d", a.Number+1))
	}
	if ask.answered && now >= ask.answeredAt+j.w.margin() || ask.done &&
		now > ask.GiveUp+j.w.sc.Rules.Slack+j.w.margin() {
		j.breaks(RuleTries, ask, proxy, "sent after its end")
	}
	var first *Attempt
	for _, o := range ask.attempts {
		if o.out {
			j.twoOut(a, o)
		}
		if first == nil && !o.never {
			first = o
		}
	}
	switch {
	case first == nil:
	case class.Effect == "unsafe":
		j.breaks(RuleTwice, ask, proxy, fmt.Sprintf("sent to server %d although server %d may have run it",
			a.Server.Index, first.Server.Index))
	case class.Effect == "keyed" && (now-first.Sent > class.Memory+j.w.margin() || !together(class.Group,
		first.Server, a.Server)):
		j.breaks(RuleTwice, ask, proxy, fmt.Sprintf("sent to server %d, %v after server %d may have run it",
			a.Server.Index, now-first.Sent, first.Server.Index))
	}
	j.drained(a)
}

// together tells whether two servers share the memory of keyed requests.
func together(group string, a, b *Server) bool {
	switch group {
	case "zone":
		return a.Zone == b.Zone
	case "cell":
		return a.Zone == b.Zone && a.Cell == b.Cell
	}
	return true
}

// twoOut judges two attempts that are out together. On real sockets the end of one and the start
// of the other may be seen in another order than they came in.
func (j *judge) twoOut(a, o *Attempt) {
	why := fmt.Sprintf("sent to server %d while it is out at server %d", a.Server.Index, o.Server.Index)
	if !j.w.realTime {
		j.breaks(RuleAtOnce, a.Ask, a.Hop.Proxy, why)
		return
	}
	j.w.Clock.After(j.w.margin(), func() {
		if o.out {
			j.breaks(RuleAtOnce, a.Ask, a.Hop.Proxy, why)
		}
	})
}

// drained judges whether the proxy had been told in time that the server takes nothing new.
func (j *judge) drained(a *Attempt) {
	s, proxy, now := a.Server, a.Hop.Proxy, j.w.Clock.Now()
	grace := j.w.sc.Rules.DrainWithin + j.w.margin()
	p := j.w.proxies[proxy]
	at, ready := time.Duration(-1), false
	for _, t := range p.told[s.Index] { // any instance that is ready at this address will do
		if t.state == Ready {
			ready = true
		} else if t.at > at {
			at = t.at
		}
	}
	if at < 0 && ready {
		if at = j.deemed(proxy, s, func(e Entry) bool { return e.State != Ready }); at >= 0 {
			ready = false
		}
	}
	if !ready && at >= 0 && now > at+grace {
		j.breaks(RuleDrain, a.Ask, proxy, fmt.Sprintf("sent to server %d %v after it was told", s.Index, now-at))
	}
}

// ran judges the beginning of work on an attempt.
func (j *judge) ran(a *Attempt) {
	ask := a.Ask
	a.ran = true
	ask.runs++
	j.w.log(logRan, ask, uint64(a.Server.Index), uint64(ask.runs))
	if ask.first == nil {
		ask.first = a
		return
	}
	class := &j.w.sc.Classes[ask.Call.Class]
	if class.Effect == "unsafe" || class.Effect == "keyed" && !together(class.Group, ask.first.Server,
		a.Server) {
		j.breaks(RuleTwice, ask, a.Hop.Proxy, fmt.Sprintf("ran at server %d and at server %d",
			ask.first.Server.Index, a.Server.Index))
	}
}

// answered judges a final answer.
func (j *judge) answered(a *Ask, ans Answer) {
	a.answered, a.answeredAt = true, j.w.Clock.Now()
	switch {
	case ans.Status == 200:
		if ans.Token != a.Token() || !a.made {
			j.lost(a, "served with what no server made for it")
		}
	case ans.Status == 429 || ans.Status == 503:
		class := &j.w.sc.Classes[a.Call.Class]
		if class.Effect == "safe" || class.Effect == "keyed" && groups[class.Group] == 0 {
			return
		}
		for _, o := range a.attempts {
			if !o.never {
				j.breaks(RuleRefused, a, a.Proxy, fmt.Sprintf("refused although server %d may have run it",
					o.Server.Index))
				return
			}
		}
	}
}

// overdue judges a request that has no answer although its client gives up.
func (j *judge) overdue(a *Ask) {
	if p := j.w.proxies[a.Proxy]; p.up && !p.restarts {
		j.lost(a, "no answer in time")
	}
}

// unasked judges an answer that belongs to no request.
func (j *judge) unasked(l *Leg) {
	j.breaks(RuleLost, nil, l.Proxy, "a second answer")
}

func (j *judge) lost(a *Ask, why string) { j.breaks(RuleLost, a, a.Proxy, why) }
