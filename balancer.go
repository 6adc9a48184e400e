package lilacglade

// Choosing a server, retrying and refusing are in this file, what attempts say of servers in
// evidence.go, timers and the list in membership.go; types, events and actions are in api.go, what a
// Balancer remembers in state.go.

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// The constants, all dimensionless or plain times of the mechanism itself.
const (
	tick        = 100 * time.Millisecond // means over the fleet are renewed this often
	interval    = 2 * time.Second        // capacities are refreshed this often, as the design has it
	staleAfter  = 3 * interval           // a report older than this lowers nothing
	extraFuncs  = 10                     // f: at a hit in two, all L functions miss once in thousands of keys
	loadSpan    = 4.0                    // at this multiple of the fleet's mean load, capacity is zero
	boundOver   = 1.6                    // a server qualifies up to this multiple of the mean wait,
	boundAim    = 0.3                    // or while it answers within this part of the aim
	crowd       = 4.0                    // requests for its size that a server may hold
	hotSpread   = 0.7                    // fair shares of traffic that one key may bring to a server
	hotMemory   = 0.99                   // of a key's count that is left after a tick
	zoneWorth   = 0.01                   // what one more zone's servers are worth for spreading load, in points
	refuseBase  = 0.3                    // expected answer, as a part of the aim, at which the least
	refuseWorth = 0.55                   // worth is refused, and what the greatest worth adds to it
	fewProxies  = 4.0                    // up to so many, all of that; of many, two thirds and half
	lateAim     = 0.1                    // part of its aim with which a request is still in time
	lateLeast   = 0.01                   // of its worth that counts beyond that, at the least
	heavyAim    = 1.5                    // times what it takes, over its aim: too heavy for a server
	leastPart   = 0.5                    // of a server's bound that the least worth may fill
	leastTaken  = 0.05                   // of the requests that would be refused
	loadPart    = 0.6                    // part of the mean latency that grows with load
	speedGain   = 0.01                   // weight of one answer in a server's learned speed
	kindGain    = 0.003                  // and in the speed of all servers of its kind
	fitGain     = 0.01                   // weight of one answer in the fleet's fit of latency to load
	certain     = 4.0                    // evidence that sets a server aside: the logarithm of odds of one in 50
	lostFails   = 0.8                    // part of the attempts at a lost server that fail
	soundTries  = 50.0                   // what is held of sound ones at the start: so many attempts,
	soundFails  = 0.15                   // of which so many failed
	soundFade   = 0.997                  // left of both counts after an attempt
	doubtFade   = 10 * time.Second       // in which evidence against a server in use falls to a third
	classRun    = 2.0                    // and that bar it from a class
	firstWait   = 500 * time.Millisecond // wait before the first trial of such a server; doubles,
	longestWait = 16 * time.Second       // up to this
	trialEvery  = 125 * time.Millisecond // between two proxies' first trials of one server
	listEvery   = 250 * time.Millisecond // between two proxies' first repeats of a failed call for the list
	retryShare  = 0.2                    // retries earned by each request, so that load never multiplies
	retryStock  = 10.0
	holdFor     = 50 * time.Millisecond // a request that no server may take now is looked at again
	expiredWait = 0.5                   // part of its aim that a request waits for a list that may be used
	coldLeast   = 0.6                   // part of the fleet that a cold server's share counts among, at least
	coldBurst   = 0.5                   // of a tip window, what it may take at once
	coldDebt    = 2.0                   // what a request that it turned away costs besides, in requests
)

// Capacity and load.

// cold gives the part of its capacity that s has at least now, 1 once it is warm.
func (b *Balancer) cold(s *server) float64 {
	age := b.now - s.Started
	if s.Started <= 0 || age >= b.set.WarmWithin {
		return 1
	}
	return b.set.ColdShare + (1-b.set.ColdShare)*max(0, age.Seconds())/b.set.WarmWithin.Seconds()
}

// inFlight estimates what s holds. Where nothing is ever reported, own attempts stand for those of all
// proxies.
func (b *Balancer) inFlight(s *server) float64 {
	if b.reported == 0 {
		return b.peers * float64(s.load.out)
	}
	return s.load.held(b.others*s.base, b.now)
}

// slowness is the latency expected of s when it holds that much, against the fleet's mean. What its
// answers lately took counts besides: load is learned late, and says nothing of a server that runs slow.
func (b *Balancer) slowness(s *server, held float64) float64 {
	return s.pace.blend(b.expected(s, held), b.now)
}

func (b *Balancer) expected(s *server, held float64) float64 {
	if b.usual == 0 {
		return 1
	}
	return (1 - loadPart + loadPart*held/s.Weight/b.usual) / (s.speed * b.cold(s))
}

// holds is the in-flight count at which slowness expects that latency of s.
func (b *Balancer) holds(s *server, slow float64) float64 {
	return s.Weight * b.usual * (slow*s.speed*b.cold(s) - (1 - loadPart)) / loadPart
}

// capacity is what the sieve gives s: its base, lowered by the mean of the in-flight counts that
// it lately reported. A single one is mostly chance, and would move keys back and forth.
func (b *Balancer) capacity(s *server) float64 {
	if s.State != Ready || !s.mine || s.aside && !b.noneUp {
		return 0
	}
	if b.noneUp || !s.reported || b.now-s.load.at > staleAfter || b.meanLoad <= 0 {
		return s.base
	}
	return s.base * max(0, 1-s.usual/s.base/b.meanLoad/loadSpan)
}

// tally renews the means over the fleet and what is measured out by time.
func (b *Balancer) tally() {
	var load, known, others, seen, present, all, slow, size float64
	for _, s := range b.order {
		if s.load.pass(tick); s.load.out == 0 {
			s.bound.idle(tick)
		}
		s.base = s.Weight * s.speed * b.cold(s)
		if s.State == Ready && s.mine && b.near(s) && !(s.aside && b.parted()) {
			all += s.Weight * s.speed
			present += s.base
		}
		if s.State == Ready && !s.aside {
			slow += s.base * b.slowness(s, b.inFlight(s))
			size += s.base
			if s.reported {
				load += b.inFlight(s)
				known += s.base
				others += s.load.others * s.load.seen
				seen += s.base * s.load.seen
			}
		}
	}
	b.meanSlow = slow / max(size, 1e-9)
	if known > 0 {
		b.meanLoad = load / known
		b.others = others / max(seen, 1e-9)
	}
	if b.now-b.reported > interval {
		// Guards against refusing for ever on the last reports before all was refused.
		b.meanLoad, b.others = b.meanLoad*0.9, b.others*0.9
	}
	b.counted *= hotMemory
	for i := range b.counts {
		b.counts[i] *= hotMemory
	}
	step := tick.Seconds()
	// What was turned away may have come before this tick: guards against traffic below nothing.
	b.arrivals += (max(0, b.arrived)/step - b.arrivals) * step / 3
	b.arrived = 0
	b.due = b.due[:0]
	for _, s := range b.order {
		rate := b.arrivals / max(present, coldLeast*all, 1e-9) * s.base
		if !b.near(s) || !s.mine {
			rate = 0 // its own zone's proxies see to a cold server, those whose part it is of
		}
		s.burst = rate * coldBurst * b.set.TipWindow.Seconds()
		if s.purse = min(s.purse+rate*step, s.burst); s.purse > 0 && b.cold(s) < 1 {
			b.due = append(b.due, s)
		}
	}
	for i, t := range b.set.Tenants {
		part := t.Allowance / float64(b.set.Balancers)
		b.tenants[i] = min(b.tenants[i]+part*step, part*interval.Seconds())
	}
}

// reshape refreshes every server's capacity; those that shrink go first, to fill the pool.
func (b *Balancer) reshape() {
	if b.refused > logAfter && !b.refusing || b.refused == 0 && b.refusing {
		b.refusing = !b.refusing
		b.logf("refusing for want of capacity: %t", b.refusing)
	}
	b.refresh, b.refused = b.now+interval, 0
	ready := 0
	b.noneUp = true
	for _, s := range b.order {
		if s.State == Ready {
			ready++
			b.noneUp = b.noneUp && s.aside
		}
	}
	b.double(ready)
	b.portion()
	b.total = 0
	for _, s := range b.order {
		s.d = b.capacity(s)
		b.total += s.d
	}
	for _, grow := range []bool{false, true} {
		for _, s := range b.order {
			b.fill(s, grow)
		}
	}
}

// Choosing.

// may tells whether r may be sent to s at all now. What is only to be avoided counts if so asked:
// a bar from its class, and a server that it has tried and whose connection broke.
func (b *Balancer) may(s *server, r *request, avoid bool) bool {
	c := &s.classes[r.Class]
	barred, tried := c.fails >= classRun && b.now < c.until, slices.Contains(r.tried, s)
	if s.State != Ready || s.aside && !b.noneUp || tried && !r.broke || avoid && (barred || tried) {
		return false
	}
	// A keyed request that may have run goes only where its repeats are dropped.
	if r.ran != nil && r.class.Group != GroupAll && r.class.Effect == Keyed &&
		(s.Zone != r.ran.Zone || r.class.Group == GroupCell && s.Cell != r.ran.Cell) {
		return false
	}
	// Guards against a crowd: what waits behind so many is late, and slows the others down. Own
	// attempts count, as this proxy's part: they end by themselves, where a report may stay old.
	if float64(s.load.out)*b.peers >= crowd*s.Weight {
		return false
	}
	// Guards against queues kept full, which choke a server: the less a request is worth, the more room
	// is left for the others.
	if s.bound.most > 0 && !s.bound.leaves(b.inFlight(s)+1, leastPart+(1-leastPart)*r.rank) {
		return false
	}
	// A cold server takes no more than this proxy's part of what cannot tip it over.
	return b.cold(s) == 1 || s.purse > 0
}

// pick walks the key's sequence of owned hits and returns the first server that may take r
// and is not over its bound; one in the own zone goes first where crossing has its price.
// After L misses the server with the largest capacity left takes it.
func (b *Balancer) pick(r *request) *server {
	bound := max(boundOver*b.meanSlow, boundAim*r.class.Aim.Seconds()/r.work)
	// Guards against a cold server left idle by a large fleet: a proxy's budget there is less than one
	// request, and a hit seldom comes while it lasts. So the next request goes there once it is due.
	for _, s := range b.due {
		if s.burst < b.waits()*r.work && b.cold(s) < 1 && b.may(s, r, true) &&
			b.slowness(s, b.inFlight(s)+1) <= bound {
			return s
		}
	}
	// Guards against a hot key swamping the one server it names: it may use as many of its
	// hits as it has fair shares of this proxy's traffic.
	skip := int(b.uniform() * b.share(r) * float64(len(b.order)) / hotSpread)
	var away *server
	for j := range bits.Len(uint(len(b.ranges))) - 1 + extraFuncs {
		s := b.hit(j, r.key)
		if s == nil || s == away || !b.may(s, r, true) || b.slowness(s, b.inFlight(s)+1) > bound {
			continue
		}
		if skip--; skip >= 0 {
			continue
		}
		if b.near(s) {
			return s
		}
		if away == nil {
			away = s
		}
	}
	if away != nil {
		return away
	}
	var best *server
	for pass := range 3 { // servers beyond its part, and those to be avoided, are better than none
		most, avoid := math.Inf(-1), pass < 2
		for _, s := range b.order {
			if pass == 0 && !s.mine {
				continue
			}
			left := s.base / (1 + b.inFlight(s)/max(1e-9, s.base*b.meanLoad))
			if left > most && b.may(s, r, avoid) {
				best, most = s, left
			}
		}
		if best != nil {
			break
		}
	}
	return best
}

// near tells whether s goes first at this proxy.
func (b *Balancer) near(s *server) bool { return s.Zone == b.set.Zone || !b.homely }

// trial returns a server set aside whose next trial is due, for a request that can be sent again.
func (b *Balancer) trial(r *request) *server {
	if len(r.tried) > 0 || r.class.Effect == Unsafe || r.over || r.Stream {
		return nil
	}
	for _, s := range b.order {
		if s.aside && s.mine && !b.noneUp && s.State == Ready && s.load.out == 0 && b.now >= s.trialAt &&
			(b.cold(s) == 1 || s.purse > 0) && b.covered(r, s) {
			s.trialAt = b.now + s.wait
			return s
		}
	}
	return nil
}

// covered tells whether r can be sent again once an attempt at s has failed.
func (b *Balancer) covered(r *request, s *server) bool {
	return slices.ContainsFunc(b.order, func(o *server) bool {
		return o != s && !o.aside && o.State == Ready && (r.class.Effect == Safe || r.class.Group == GroupAll ||
			o.Zone == s.Zone && (r.class.Group == GroupZone || o.Cell == s.Cell))
	})
}

// Requests.

func (b *Balancer) arrive(ev Request) {
	if b.requests[ev.ID] != nil {
		return // a repeated id is one request
	}
	if ev.Class < 0 || ev.Class >= len(b.set.Classes) {
		b.acts = append(b.acts, Action{Do: Fail, Request: ev.ID})
		return
	}
	r := &request{Request: ev, class: &b.set.Classes[ev.Class], key: mix(ev.Key), arrived: b.now,
		deadline: b.now + ev.Budget, most: b.set.MaxAttempts}
	if !ev.HasKey {
		r.key = b.random()
	}
	if ev.Tenant >= 0 && ev.Tenant < len(b.tenants) {
		b.tenants[ev.Tenant]--
		if r.over = b.tenants[ev.Tenant] < 0; r.over {
			b.tenants[ev.Tenant]++
		}
	}
	r.elapsed = b.firsts[ev.Class].elapsed(ev.Budget, r.class.Deadline)
	b.estimate(r)
	b.meanWork += (r.work - b.meanWork) * fitGain
	b.counts[r.key%hotCounts]++
	b.counted++
	b.retries = min(retryStock, max(0, b.retries)+retryShare)
	b.requests[ev.ID] = r
	b.dispatch(r)
}

// estimate takes what was learned up to now into what r takes and what it is worth for that. Guards against
// refusing a held request where there is room: its work as first guessed, times how much slower the server is
// than what was learned since.
func (b *Balancer) estimate(r *request) {
	work := b.works[r.Class].at(r.Cost.Seconds())
	b.arrived += work - r.work
	r.work = work
	r.rank, r.wanted = b.rank(r)
}

// worth is a request's worth for each unit of work.
func (b *Balancer) worth(class int, over bool) float64 {
	w := b.set.Classes[class].Worth
	if !b.set.WorthByWork {
		w /= b.works[class].y
	}
	if over {
		w *= b.set.OverShareWorth
	}
	return w
}

// rank is what r is worth now for its work against the best that may come, from 0 to 1, and the time in
// which it is wanted. What its caller has waited for in vain before is only worth a late answer.
func (b *Balancer) rank(r *request) (float64, time.Duration) {
	aim, mine := r.class.Aim, b.worth(r.Class, r.over)
	best := b.worth(r.Class, false)
	if left := aim - r.elapsed; float64(left) > lateAim*float64(aim) {
		aim = left
	} else {
		mine *= max(lateLeast, r.class.LateWorth)
	}
	for i := range b.set.offered() {
		if w := b.worth(i, false); w > mine {
			aim, best = min(aim, b.set.Classes[i].Aim), max(best, w)
		}
	}
	return math.Sqrt(mine / max(best, 1e-9)), aim
}

// patience is the longest expected answer for which r is taken on: a part of its aim, or of
// that of a class worth more, and the smaller the less it is worth for its work.
func (b *Balancer) patience(r *request) float64 {
	// Guards against queues that are seen when they are full: of many proxies each hears of a server seldom.
	few := min(1, fewProxies/float64(b.set.Balancers))
	return r.wanted.Seconds() * (refuseBase*(2+few)/3 + refuseWorth*(1+few)/2*r.rank)
}

// answerIn is the expected answer that patience is held against. Where worth is counted by work, what a
// heavy request takes itself is no reason to turn it away, as long as it is answered in time.
func (b *Balancer) answerIn(r *request, slow float64) float64 {
	own := slow * r.work
	if !b.set.WorthByWork {
		return own
	}
	return slow * b.meanWork * max(1, heavyAim*own/r.class.Aim.Seconds())
}

// dispatch sends r to a server, holds it, or ends it.
func (b *Balancer) dispatch(r *request) {
	left := r.deadline - b.now
	if left <= 0 || len(r.tried) >= r.most {
		b.finish(r)
		return
	}
	if b.expired {
		b.await(r)
		return
	}
	s := b.trial(r)
	probing := s != nil
	if !probing {
		s = b.pick(r)
	}
	if s == nil {
		if len(r.tried) > 0 || b.now-r.arrived >= r.class.Aim {
			b.finish(r)
			return
		} else if b.bounded() {
			b.refuse(r) // waiting here would only move the queue
			return
		}
		b.hold(r)
		return
	}
	held := b.inFlight(s) + 1
	// Refused in proportion, never all: a proxy that sends nothing learns nothing either.
	if len(r.tried) == 0 && !probing && b.uniform() > max(leastTaken,
		math.Pow(b.patience(r)/b.answerIn(r, b.slowness(s, held)), 3)) {
		b.refuse(r)
		return
	}
	if b.cold(s) < 1 {
		s.purse -= r.work
	}
	if len(r.tried) > 0 {
		b.arrived += r.work
	}
	r.tried, r.loads = append(r.tried, s), append(r.loads, held/s.Weight)
	r.sentAt = b.now
	if c := &s.classes[r.Class]; c.fails >= classRun {
		c.until = b.now + c.wait // one at a time tries whether it is over
	}
	r.out++
	s.load.out++
	limit := time.Duration(0) // till the client gives up: an early end leaves dead work behind
	if probing {
		limit = max(tick, min(left, r.class.Aim)/2)
	}
	within := time.Duration(0)
	if r.ran != nil && r.class.Effect == Keyed { // guards against a connection that outlasts the repeats' window
		within = r.ranAt + r.class.Memory - b.now
	}
	b.acts = append(b.acts, Action{Do: Send, Request: r.ID, Server: s.ID, For: limit, Within: within})
}

// hold has r looked at again after a while, and if that was in vain, also when attempts end.
func (b *Balancer) hold(r *request) {
	b.token = max(b.token+1, firstToken)
	b.held[b.token] = r.ID
	b.timer(min(holdFor, r.deadline-b.now), b.token)
	if r.held && !r.waits {
		b.firstWaiting() // guards against a list that grows while no attempt ends
		r.waits = true
		b.waiting = append(b.waiting, r.ID)
	}
	r.held = true
}

// firstWaiting returns the first of the waiting requests, nil if there is none, and forgets those that ended.
func (b *Balancer) firstWaiting() *request {
	for len(b.waiting) > 0 {
		if r := b.requests[b.waiting[0]]; r != nil && !r.answered && len(r.tried) == 0 {
			return r
		}
		b.waiting = b.waiting[1:]
	}
	return nil
}

// resume has the first of the waiting requests sent if s may take it, now that an attempt there has ended.
// Guards against one that finds no room at each look, since requests that come later take all that is free in
// between: it was refused in the end. That is so only where answers take less time than passes between two
// looks; where they take longer, those that have waited would make the others late.
func (b *Balancer) resume(s *server) {
	r := b.firstWaiting()
	if r == nil || b.expired || !b.may(s, r, true) {
		return
	}
	b.estimate(r)
	if b.answerIn(r, b.slowness(s, b.inFlight(s)+1)) < holdFor.Seconds() {
		b.waiting, r.waits = b.waiting[1:], false
		b.dispatch(r)
	}
}

// await holds r for a list that may be used, as long as it can still be answered in time; what was tried
// before is given up at once.
func (b *Balancer) await(r *request) {
	switch {
	case len(r.tried) > 0:
		b.finish(r)
	case float64(b.now-r.arrived) >= expiredWait*float64(r.class.Aim):
		b.refuse(r)
	default:
		b.hold(r)
	}
}

// refuse turns r away before it was sent anywhere.
func (b *Balancer) refuse(r *request) {
	b.refused++
	b.arrived -= r.work // guards against a cold server's budget that grows with what nobody is sent
	b.finish(r)
}

// finish gives r its final answer: a refusal where that is harmless, else a failure.
func (b *Balancer) finish(r *request) {
	if r.ran == nil || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll {
		b.acts = append(b.acts, Action{Do: Refuse, Request: r.ID, For: b.set.MaxRetryAfter})
	} else {
		b.acts = append(b.acts, Action{Do: Fail, Request: r.ID})
	}
	b.end(r)
}

func (b *Balancer) outcome(ev Outcome) {
	s := b.servers[ev.Server]
	r := b.requests[ev.Request]
	// Only the last attempt can be out: a repeated or stray outcome changes nothing.
	known := r != nil && r.out > 0 && ev.Attempt == len(r.tried)-1 && r.tried[ev.Attempt].ID == ev.Server
	if s != nil && known {
		s.load.out = max(0, s.load.out-1)
		b.report(s, ev.Load)
		b.judge(s, r, ev)
		if ev.Result == OK {
			s.bound.took(r.loads[ev.Attempt] * s.Weight)
		} else if ev.Result == Full {
			s.bound.full(max(r.loads[ev.Attempt]*s.Weight, b.inFlight(s)+1))
			// Guards against pushing over a cold server by what it turns away, and against taking for
			// traffic that servers can bear what they turn away.
			s.purse -= coldDebt * r.work
			b.arrived -= r.work
		}
		if r.tried[ev.Attempt] == s && (ev.Result == OK || ev.Result == TimedOut) && ev.Latency > 0 {
			s.pace.add(ev.Latency.Seconds()/r.work, ev.Result == OK, b.now)
			b.learn(s, r, r.loads[ev.Attempt], ev.Latency.Seconds())
		}
	}
	if !known {
		return
	}
	r.out--
	if s != nil {
		defer b.resume(s)
	}
	if ev.Closed || r.answered {
		b.end(r)
		return
	}
	if !ev.Result.NeverRan() && r.ran == nil {
		r.ran, r.ranAt = r.tried[ev.Attempt], r.sentAt
	}
	r.broke, r.stream = ev.Result == Reset || ev.Result == LocalFault, r.stream || ev.Gone
	if b.again(r, ev.Result) {
		b.dispatch(r)
	} else {
		b.finish(r)
	}
}

// again tells whether r may and should be sent once more.
func (b *Balancer) again(r *request, res Result) bool {
	// What may have run is repeated only where that does no harm.
	harm := r.ran != nil && (r.class.Effect == Unsafe ||
		r.class.Effect == Keyed && b.now-r.ranAt >= r.class.Memory)
	late := b.now-r.arrived > r.class.Aim && r.class.LateWorth == 0
	if harm || late || r.stream || b.now >= r.deadline || res == Moot {
		return false
	}
	if res != ConnectFailed && res != LocalFault { // which put no load on anyone
		b.retries--
	}
	return b.retries >= 0
}
