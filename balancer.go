package lilacglade

// This file selects servers, retries and sheds requests. Health and speed of servers are in
// evidence.go, timers and the server list in membership.go, events and actions in api.go, and the
// state of a Balancer in state.go.

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Periods.
const (
	tickInterval     = 100 * time.Millisecond // of updateMeans
	refreshInterval  = 2 * time.Second        // of refreshCapacities
	holdInterval     = 50 * time.Millisecond  // until a held request is checked again
	reportStaleAfter = 3 * refreshInterval    // older load reports do not lower a capacity
)

// Server selection. Constants without a unit are dimensionless.
const (
	// extraHashes is the number of hash functions beyond the logarithm of the number of ranges. Each
	// hits with probability 1/2, so all of them miss for one key in thousands.
	extraHashes = 10
	// maxLoadRatio is the multiple of the fleet's mean load at which the capacity of a server is zero.
	maxLoadRatio = 4.0
	// A server qualifies up to maxLatencyOverMean times the mean latency, or while its expected answer
	// takes at most the fraction maxLatencyOfAim of Aim.
	maxLatencyOverMean = 1.6
	maxLatencyOfAim    = 0.3

	maxInFlightPerWeight = 4.0  // requests per unit of weight that a server may have in flight
	hotKeyFairShares     = 0.7  // fair shares of traffic that one key may send to a server
	keyCountDecay        = 0.99 // factor on the counters of keys per tick
	extraZoneWorth       = 0.01 // points that balancing over one more zone of servers is worth
)

// Load shedding.
const (
	// The longest accepted answer is shedBase of the target latency for the least worth, and
	// shedWorthGain more for the greatest. Up to smallFleet proxies this applies in full; with many,
	// two thirds of shedBase and half of shedWorthGain.
	shedBase      = 0.3
	shedWorthGain = 0.55
	smallFleet    = 4.0

	lateAimFraction  = 0.1  // fraction of Aim that must be left for a request to be in time
	minLateWorth     = 0.01 // minimum fraction of its worth that a late request has
	heavyAimFactor   = 1.5  // a server is too slow for a request that takes Aim divided by this there
	minLimitFraction = 0.5  // fraction of a concurrency limit that the least worth may use
	minAcceptance    = 0.05 // minimum probability that a request is not shed
)

// Estimates of load, work and speed.
const (
	loadLatencyFraction = 0.6   // fraction of the mean latency that grows with load
	speedGain           = 0.01  // weight of one answer in a server's learned speed
	kindSpeedGain       = 0.003 // weight of one answer in the speed of all servers of its kind
	regressionGain      = 0.01  // weight of one answer in the estimates over the fleet
)

// Outlier ejection.
const (
	ejectionEvidence = 4.0 // log odds, about 50:1, that a server is lost
	lostFailureRate  = 0.8 // fraction of the attempts at a lost server that fail

	// The failure rate of healthy servers starts with the counts priorAttempts and priorFailures.
	// Both counts are multiplied by failureRateDecay per attempt.
	priorAttempts    = 50.0
	priorFailures    = 0.15
	failureRateDecay = 0.997

	evidenceDecayTime  = 10 * time.Second // in which evidence against a server in use falls to 1/e
	classBlockFailures = 2.0              // failures that block a server for a class

	// The wait before the first probation attempt is minBackoff and doubles up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 16 * time.Second
)

// Retries and waits.
const (
	// The first probation attempts of two proxies at one server are spaced by probationSpacing, the
	// first retries of two proxies' failed list calls by listRetrySpacing.
	probationSpacing = 125 * time.Millisecond
	listRetrySpacing = 250 * time.Millisecond

	retriesPerRequest      = 0.2 // retry tokens earned per request, so that retries never multiply load
	maxRetryTokens         = 10.0
	expiredListAimFraction = 0.5 // fraction of Aim that a request waits for a valid list lease
)

// Slow start.
const (
	minSlowStartFleet = 0.6 // minimum fraction of the fleet's full capacity that shares arriving work
	slowStartBurst    = 0.5 // fraction of a TipWindow of work that may be sent at once
	rejectionCost     = 2.0 // requests that a rejection costs, in addition to the rejected one
)

// Capacity and load.

// warmUpFraction returns the fraction of its capacity that s has at least now, 1 after slow start.
func (b *Balancer) warmUpFraction(s *server) float64 {
	age := b.now - s.Started
	if s.Started <= 0 || age >= b.settings.WarmWithin {
		return 1
	}
	return b.settings.ColdShare + (1-b.settings.ColdShare)*max(0, age.Seconds())/b.settings.WarmWithin.Seconds()
}

// inFlight estimates the number of requests that s is processing. If no server ever reports its
// load, this proxy's own attempts are extrapolated to all proxies.
func (b *Balancer) inFlight(s *server) float64 {
	if b.lastReportAt == 0 {
		return b.proxiesPerServer * float64(s.load.ownInFlight)
	}
	return s.load.estimate(b.meanOthersLoad*s.baseCapacity, b.now)
}

// relativeLatency returns the latency expected of s at the given in-flight count, relative to the
// fleet's mean. It also includes the latency of recent answers: load is learned with a delay and
// does not show a server that runs slowly.
func (b *Balancer) relativeLatency(s *server, inFlight float64) float64 {
	return s.latency.blend(b.expectedRelativeLatency(s, inFlight), b.now)
}

// expectedRelativeLatency returns the relative latency expected of s from its load, speed and
// warm-up alone.
func (b *Balancer) expectedRelativeLatency(s *server, inFlight float64) float64 {
	if b.meanSentLoad == 0 {
		return 1
	}
	return (1 - loadLatencyFraction + loadLatencyFraction*inFlight/s.Weight/b.meanSentLoad) /
		(s.speed * b.warmUpFraction(s))
}

// inFlightAtLatency returns the in-flight count at which expectedRelativeLatency returns the given
// latency.
func (b *Balancer) inFlightAtLatency(s *server, latency float64) float64 {
	return s.Weight * b.meanSentLoad * (latency*s.speed*b.warmUpFraction(s) - (1 - loadLatencyFraction)) /
		loadLatencyFraction
}

// effectiveCapacity returns the capacity of s in the sieve: its base capacity, lowered by the mean
// of its recently reported in-flight counts. A single report is mostly noise and would move keys
// back and forth.
func (b *Balancer) effectiveCapacity(s *server) float64 {
	if s.State != Ready || !s.inSubset || s.ejected && !b.allEjected {
		return 0
	}
	if b.allEjected || !s.hasReport || b.now-s.load.reportedAt > reportStaleAfter || b.meanLoad <= 0 {
		return s.baseCapacity
	}
	return s.baseCapacity * max(0, 1-s.meanReported/s.baseCapacity/b.meanLoad/maxLoadRatio)
}

// updateMeans updates the means over the fleet and refills the slow-start budgets and tenant
// tokens. It runs every tickInterval and after each list.
func (b *Balancer) updateMeans() {
	var inFlightSum, reportedCapacity, othersSum, othersWeight,
		currentCapacity, fullCapacity, latencySum, capacitySum float64
	for _, s := range b.sortedServers {
		if s.load.advance(tickInterval); s.load.ownInFlight == 0 {
			s.concurrencyLimit.onIdle(tickInterval)
		}
		s.baseCapacity = s.Weight * s.speed * b.warmUpFraction(s)
		if s.State == Ready && s.inSubset && b.inPreferredZone(s) && !(s.ejected && b.usesSubset()) {
			fullCapacity += s.Weight * s.speed
			currentCapacity += s.baseCapacity
		}
		if s.State == Ready && !s.ejected {
			latencySum += s.baseCapacity * b.relativeLatency(s, b.inFlight(s))
			capacitySum += s.baseCapacity
			if s.hasReport {
				inFlightSum += b.inFlight(s)
				reportedCapacity += s.baseCapacity
				othersSum += s.load.othersMean * s.load.othersWeight
				othersWeight += s.baseCapacity * s.load.othersWeight
			}
		}
	}
	b.meanRelativeLatency = latencySum / max(capacitySum, 1e-9)
	if reportedCapacity > 0 {
		b.meanLoad = inFlightSum / reportedCapacity
		b.meanOthersLoad = othersSum / max(othersWeight, 1e-9)
	}
	if b.now-b.lastReportAt > refreshInterval {
		// Otherwise the proxy sheds forever based on the last reports before it shed everything.
		b.meanLoad, b.meanOthersLoad = b.meanLoad*0.9, b.meanOthersLoad*0.9
	}
	b.keyTotal *= keyCountDecay
	for i := range b.keyCounts {
		b.keyCounts[i] *= keyCountDecay
	}
	seconds := tickInterval.Seconds()
	// Rejected requests may have arrived before this tick, so arrivedWork can be negative.
	b.arrivalRate += (max(0, b.arrivedWork)/seconds - b.arrivalRate) * seconds / 3
	b.arrivedWork = 0
	b.slowStartDue = b.slowStartDue[:0]
	for _, s := range b.sortedServers {
		rate := b.arrivalRate / max(currentCapacity, minSlowStartFleet*fullCapacity, 1e-9) * s.baseCapacity
		if !b.inPreferredZone(s) || !s.inSubset {
			// It gets its traffic from the proxies of its zone whose subset it is in.
			rate = 0
		}
		s.maxSlowStartBudget = rate * slowStartBurst * b.settings.TipWindow.Seconds()
		if s.slowStartBudget = min(s.slowStartBudget+rate*seconds, s.maxSlowStartBudget); s.slowStartBudget > 0 &&
			b.warmUpFraction(s) < 1 {
			b.slowStartDue = append(b.slowStartDue, s)
		}
	}
	for i, t := range b.settings.Tenants {
		tokenRate := t.Allowance / float64(b.settings.Balancers)
		b.tenantTokens[i] = min(b.tenantTokens[i]+tokenRate*seconds, tokenRate*refreshInterval.Seconds())
	}
}

// refreshCapacities recomputes the capacity of every server. Servers that shrink go first, to free
// ranges.
func (b *Balancer) refreshCapacities() {
	if b.shedCount > shedLogThreshold && !b.shedding || b.shedCount == 0 && b.shedding {
		b.shedding = !b.shedding
		b.logf("shedding load for lack of capacity: %t", b.shedding)
	}
	b.nextRefresh, b.shedCount = b.now+refreshInterval, 0
	ready := 0
	b.allEjected = true
	for _, s := range b.sortedServers {
		if s.State == Ready {
			ready++
			b.allEjected = b.allEjected && s.ejected
		}
	}
	b.splitRanges(ready)
	b.selectSubset()
	b.totalCapacity = 0
	for _, s := range b.sortedServers {
		s.capacity = b.effectiveCapacity(s)
		b.totalCapacity += s.capacity
	}
	for _, grow := range []bool{false, true} {
		for _, s := range b.sortedServers {
			b.adjustRanges(s, grow)
		}
	}
}

// Server selection.

// eligible reports whether r may be sent to s now. If strict, it also excludes servers that are
// merely undesirable: one blocked for r's class, and one that r was already sent to and whose
// connection broke.
func (b *Balancer) eligible(s *server, r *request, strict bool) bool {
	health := &s.classHealth[r.Class]
	blocked, attempted := health.failures >= classBlockFailures && b.now < health.blockedUntil,
		slices.Contains(r.attempted, s)
	if s.State != Ready || s.ejected && !b.allEjected || attempted && !r.connectionBroke ||
		strict && (blocked || attempted) {
		return false
	}
	// A keyed request that may have run goes only to servers that drop its repeats.
	if r.mayHaveRunOn != nil && r.class.Group != GroupAll && r.class.Effect == Keyed &&
		(s.Zone != r.mayHaveRunOn.Zone || r.class.Group == GroupCell && s.Cell != r.mayHaveRunOn.Cell) {
		return false
	}
	// Limit the queue at a server: requests behind a long queue are late and slow the others down.
	// This proxy's own attempts are scaled by the number of proxies. They end on their own, whereas
	// a report may stay outdated.
	if float64(s.load.ownInFlight)*b.proxiesPerServer >= maxInFlightPerWeight*s.Weight ||
		r.arriving && !b.mayBegin(s) {
		return false
	}
	// Keep queues from staying full, which chokes a server: the less a request is worth, the more
	// of the concurrency limit is reserved for others.
	if s.concurrencyLimit.limit > 0 &&
		!s.concurrencyLimit.allows(b.inFlight(s)+1, minLimitFraction+(1-minLimitFraction)*r.relativeWorth) {
		return false
	}
	// A server in slow start gets no more than this proxy's share of what cannot overload it.
	return b.warmUpFraction(s) == 1 || s.slowStartBudget > 0
}

// selectServer walks the servers that the key hashes to and returns the first one that is eligible
// for r and within the latency limit, preferring the local zone if leaving it is costly. If every
// hash function misses, it returns the server with the most capacity left.
func (b *Balancer) selectServer(r *request) *server {
	maxLatency := max(maxLatencyOverMean*b.meanRelativeLatency, maxLatencyOfAim*r.class.Aim.Seconds()/r.work)
	// In a large fleet, a proxy's budget for a server in slow start is less than one request, and a
	// key seldom maps to it while the budget lasts, so the server would stay idle. So the next
	// request goes there once the budget is available.
	for _, s := range b.slowStartDue {
		if s.maxSlowStartBudget < b.slowStartThreshold()*r.work && b.warmUpFraction(s) < 1 &&
			b.eligible(s, r, true) && b.relativeLatency(s, b.inFlight(s)+1) <= maxLatency {
			return s
		}
	}
	// Spread a hot key, which otherwise overloads the one server it maps to: it may use as many of
	// its hits as it has fair shares of this proxy's traffic.
	skip := int(b.uniform() * b.keyShare(r) * float64(len(b.sortedServers)) / hotKeyFairShares)
	var remote *server
	for j := range bits.Len(uint(len(b.ranges))) - 1 + extraHashes {
		s := b.lookup(j, r.key)
		if s == nil || s == remote || !b.eligible(s, r, true) ||
			b.relativeLatency(s, b.inFlight(s)+1) > maxLatency {
			continue
		}
		if skip--; skip >= 0 {
			continue
		}
		if b.inPreferredZone(s) {
			return s
		}
		if remote == nil {
			remote = s
		}
	}
	if remote != nil {
		return remote
	}
	var best *server
	// Servers outside the subset are better than none, and finally those that strict excludes.
	for pass := range 3 {
		bestCapacity, strict := math.Inf(-1), pass < 2
		for _, s := range b.sortedServers {
			if pass == 0 && !s.inSubset {
				continue
			}
			capacityLeft := s.baseCapacity / (1 + b.inFlight(s)/max(1e-9, s.baseCapacity*b.meanLoad))
			if capacityLeft > bestCapacity && b.eligible(s, r, strict) {
				best, bestCapacity = s, capacityLeft
			}
		}
		if best != nil {
			break
		}
	}
	return best
}

// inPreferredZone reports whether s is in the zone that this proxy prefers, if it prefers one.
func (b *Balancer) inPreferredZone(s *server) bool {
	return s.Zone == b.settings.Zone || !b.preferLocalZone
}

// probationServer returns an ejected server that is due for a probation attempt, if r can be sent
// again afterwards.
func (b *Balancer) probationServer(r *request) *server {
	if len(r.attempted) > 0 || r.class.Effect == Unsafe || r.overAllowance || r.Stream {
		return nil
	}
	for _, s := range b.sortedServers {
		if s.ejected && s.inSubset && !b.allEjected && s.State == Ready && s.load.ownInFlight == 0 &&
			b.now >= s.probationAt && (b.warmUpFraction(s) == 1 || s.slowStartBudget > 0) &&
			b.canRetryElsewhere(r, s) {
			s.probationAt = b.now + s.probationBackoff
			return s
		}
	}
	return nil
}

// canRetryElsewhere reports whether r can be sent to another server after an attempt at s has
// failed.
func (b *Balancer) canRetryElsewhere(r *request, s *server) bool {
	return slices.ContainsFunc(b.sortedServers, func(o *server) bool {
		return o != s && !o.ejected && o.State == Ready && (r.class.Effect == Safe || r.class.Group == GroupAll ||
			o.Zone == s.Zone && (r.class.Group == GroupZone || o.Cell == s.Cell))
	})
}

// Requests.

// handleRequest starts a new request.
func (b *Balancer) handleRequest(ev Request) {
	if b.requests[ev.ID] != nil {
		return // a repeated id is the same request
	}
	if ev.Class < 0 || ev.Class >= len(b.settings.Classes) {
		b.actions = append(b.actions, Action{Do: Fail, Request: ev.ID})
		return
	}
	r := &request{Request: ev, class: &b.settings.Classes[ev.Class], key: mix(ev.Key), arrivedAt: b.now,
		deadline: b.now + ev.Budget, maxAttempts: b.settings.MaxAttempts, arriving: ev.Stream}
	if !ev.HasKey {
		r.key = b.random()
	}
	if ev.Tenant >= 0 && ev.Tenant < len(b.tenantTokens) {
		b.tenantTokens[ev.Tenant]--
		if r.overAllowance = b.tenantTokens[ev.Tenant] < 0; r.overAllowance {
			b.tenantTokens[ev.Tenant]++
		}
	}
	r.elapsed = b.firstAttempts[ev.Class].elapsed(ev.Budget, r.class.Deadline)
	b.estimateWork(r)
	b.meanWork += (r.work - b.meanWork) * regressionGain
	b.keyCounts[r.key%keyCounters]++
	b.keyTotal++
	b.retryTokens = min(maxRetryTokens, max(0, b.retryTokens)+retriesPerRequest)
	b.requests[ev.ID] = r
	b.dispatch(r)
}

// estimateWork updates the expected work of r and its relative worth with what was learned since it
// arrived. Otherwise a held request is shed although there is headroom: the first guess of its work
// would be multiplied by a relative latency computed from newer estimates.
func (b *Balancer) estimateWork(r *request) {
	work := b.workEstimators[r.Class].predict(r.Cost.Seconds())
	b.arrivedWork += work - r.work
	r.work = work
	r.relativeWorth, r.targetLatency = b.relativeWorth(r)
}

// worthPerWork returns the worth of a request per unit of work.
func (b *Balancer) worthPerWork(class int, overAllowance bool) float64 {
	worth := b.settings.Classes[class].Worth
	if !b.settings.WorthByWork {
		worth /= b.workEstimators[class].meanY
	}
	if overAllowance {
		worth *= b.settings.OverShareWorth
	}
	return worth
}

// relativeWorth returns the worth of r for its work relative to the best that may come, from 0 to
// 1, and its target latency. Time that the client spent on earlier attempts counts toward Aim;
// after that r only has its late worth.
func (b *Balancer) relativeWorth(r *request) (float64, time.Duration) {
	aim, worth := r.class.Aim, b.worthPerWork(r.Class, r.overAllowance)
	best := b.worthPerWork(r.Class, false)
	if remaining := aim - r.elapsed; float64(remaining) > lateAimFraction*float64(aim) {
		aim = remaining
	} else {
		worth *= max(minLateWorth, r.class.LateWorth)
	}
	for i := range b.settings.offeredClasses() {
		if other := b.worthPerWork(i, false); other > worth {
			aim, best = min(aim, b.settings.Classes[i].Aim), max(best, other)
		}
	}
	return math.Sqrt(worth / max(best, 1e-9)), aim
}

// maxExpectedAnswer returns the longest expected answer time, in seconds, at which r is accepted: a
// fraction of its target latency that grows with its relative worth.
func (b *Balancer) maxExpectedAnswer(r *request) float64 {
	// In a large fleet, each proxy hears from a server seldom and would notice a queue only when it
	// is full.
	fleetFactor := min(1, smallFleet/float64(b.settings.Balancers))
	return r.targetLatency.Seconds() *
		(shedBase*(2+fleetFactor)/3 + shedWorthGain*(1+fleetFactor)/2*r.relativeWorth)
}

// expectedAnswer returns the expected answer time of r, in seconds, that is compared with
// maxExpectedAnswer. If worth counts per unit of work, a heavy request is not shed for its own work
// as long as its answer is expected in time.
func (b *Balancer) expectedAnswer(r *request, latency float64) float64 {
	ownTime := latency * r.work
	if !b.settings.WorthByWork {
		return ownTime
	}
	return latency * b.meanWork * max(1, heavyAimFactor*ownTime/r.class.Aim.Seconds())
}

// dispatch sends r to a server, holds it, or ends it.
func (b *Balancer) dispatch(r *request) {
	remaining := r.deadline - b.now
	if remaining <= 0 || len(r.attempted) >= r.maxAttempts {
		b.refuseOrFail(r)
		return
	}
	if b.listExpired {
		b.awaitValidList(r)
		return
	}
	s := b.probationServer(r)
	probation := s != nil
	if !probation {
		s = b.selectServer(r)
	}
	if s == nil {
		if len(r.attempted) > 0 || b.now-r.arrivedAt >= r.class.Aim {
			b.refuseOrFail(r)
			return
		} else if b.anyConcurrencyLimit() {
			b.shed(r) // holding it here would only move the queue
			return
		}
		b.hold(r)
		return
	}
	inFlight := b.inFlight(s) + 1
	// Shed in proportion, never everything: a proxy that sends nothing learns nothing.
	if len(r.attempted) == 0 && !probation && b.uniform() > max(minAcceptance,
		math.Pow(b.maxExpectedAnswer(r)/b.expectedAnswer(r, b.relativeLatency(s, inFlight)), 3)) {
		b.shed(r)
		return
	}
	if b.warmUpFraction(s) < 1 {
		s.slowStartBudget -= r.work
	}
	if len(r.attempted) > 0 {
		b.arrivedWork += r.work
	}
	r.attempted, r.sentLoads = append(r.attempted, s), append(r.sentLoads, inFlight/s.Weight)
	r.sentAt = b.now
	if health := &s.classHealth[r.Class]; health.failures >= classBlockFailures {
		// Blocked again, so that one request at a time checks whether it has recovered.
		health.blockedUntil = b.now + health.backoff
	}
	r.outstanding++
	s.load.began(r.arriving)
	timeout := time.Duration(0) // until the client gives up: a shorter timeout leaves useless work behind
	if probation {
		timeout = max(tickInterval, min(remaining, r.class.Aim)/2)
	}
	sendWithin := time.Duration(0)
	// The connection must not deliver the request after the deduplication window.
	if r.mayHaveRunOn != nil && r.class.Effect == Keyed {
		sendWithin = r.mayHaveRunSentAt + r.class.Memory - b.now
	}
	b.actions = append(b.actions, Action{Do: Send, Request: r.ID, Server: s.ID, For: timeout,
		Within: sendWithin})
}

// hold schedules another check of r. From the second time on, r is also checked when an attempt
// ends.
func (b *Balancer) hold(r *request) {
	b.lastToken = max(b.lastToken+1, firstHoldToken)
	b.heldByToken[b.lastToken] = r.ID
	b.setTimer(min(holdInterval, r.deadline-b.now), b.lastToken)
	if r.wasHeld && !r.queued {
		b.firstQueued() // removes ended requests, so that the queue does not grow while no attempt ends
		r.queued = true
		b.waitQueue = append(b.waitQueue, r.ID)
	}
	r.wasHeld = true
}

// firstQueued returns the first waiting request, nil if there is none, and removes those that have
// ended.
func (b *Balancer) firstQueued() *request {
	for len(b.waitQueue) > 0 {
		if r := b.requests[b.waitQueue[0]]; r != nil && !r.answered && len(r.attempted) == 0 {
			return r
		}
		b.waitQueue = b.waitQueue[1:]
	}
	return nil
}

// resumeQueued dispatches the first waiting request, now that an attempt at s has ended, if s is
// eligible. Otherwise a held request may find no headroom at each check, because newer requests
// take all of it in between, until it is shed. This only applies where answers take less time than
// holdInterval. Where they take longer, requests that have waited would make the others late.
func (b *Balancer) resumeQueued(s *server) {
	r := b.firstQueued()
	if r == nil || b.listExpired || !b.eligible(s, r, true) {
		return
	}
	b.estimateWork(r)
	if b.expectedAnswer(r, b.relativeLatency(s, b.inFlight(s)+1)) < holdInterval.Seconds() {
		b.waitQueue, r.queued = b.waitQueue[1:], false
		b.dispatch(r)
	}
}

// awaitValidList holds r until the list lease is valid again, as long as it can still be answered
// in time. A request that was already sent once ends at once.
func (b *Balancer) awaitValidList(r *request) {
	switch {
	case len(r.attempted) > 0:
		b.refuseOrFail(r)
	case float64(b.now-r.arrivedAt) >= expiredListAimFraction*float64(r.class.Aim):
		b.shed(r)
	default:
		b.hold(r)
	}
}

// shed refuses r before it was sent anywhere.
func (b *Balancer) shed(r *request) {
	b.shedCount++
	// Otherwise the budgets of servers in slow start grow with work that is not sent.
	b.arrivedWork -= r.work
	b.refuseOrFail(r)
}

// refuseOrFail gives r its final answer: Refuse if a repeat by the client is harmless, else Fail.
func (b *Balancer) refuseOrFail(r *request) {
	if r.mayHaveRunOn == nil || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll {
		b.actions = append(b.actions, Action{Do: Refuse, Request: r.ID, For: b.settings.MaxRetryAfter})
	} else {
		b.actions = append(b.actions, Action{Do: Fail, Request: r.ID})
	}
	b.closeRequest(r)
}

// handleOutcome learns from the end of an attempt, and retries or ends its request.
func (b *Balancer) handleOutcome(ev Outcome) {
	s := b.servers[ev.Server]
	r := b.requests[ev.Request]
	// Only the last attempt can be outstanding. A repeated or unexpected outcome changes nothing.
	valid := r != nil && r.outstanding > 0 && ev.Attempt == len(r.attempted)-1 &&
		r.attempted[ev.Attempt].ID == ev.Server
	if s != nil && valid {
		s.load.ended(r.arriving)
		b.addLoadReport(s, ev.Load)
		b.updateHealth(s, r, ev)
		if ev.Result == OK {
			s.concurrencyLimit.onAccepted(r.sentLoads[ev.Attempt] * s.Weight)
		} else if ev.Result == Full {
			s.concurrencyLimit.onRejection(max(r.sentLoads[ev.Attempt]*s.Weight, b.inFlight(s)+1))
			// Charge the rejection to a server in slow start, which could otherwise be overloaded
			// by the requests it rejects, and do not count rejected work as traffic that the
			// servers can handle.
			s.slowStartBudget -= rejectionCost * r.work
			b.arrivedWork -= r.work
		}
		if r.attempted[ev.Attempt] == s && (ev.Result == OK || ev.Result == TimedOut) && ev.Latency > 0 {
			s.latency.add(ev.Latency.Seconds()/r.work, ev.Result == OK, b.now)
			b.updateEstimates(s, r, r.sentLoads[ev.Attempt], ev.Latency.Seconds())
		}
	}
	if !valid {
		return
	}
	r.outstanding--
	if s != nil {
		defer b.resumeQueued(s)
	}
	if ev.Closed || r.answered {
		b.closeRequest(r)
		return
	}
	if !ev.Result.NeverRan() && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSentAt = r.attempted[ev.Attempt], r.sentAt
	}
	r.connectionBroke, r.cannotResend = ev.Result == Reset || ev.Result == LocalFault, r.cannotResend || ev.Gone
	if b.shouldRetry(r, ev.Result) {
		b.dispatch(r)
	} else {
		b.refuseOrFail(r)
	}
}

// shouldRetry reports whether r may and should be sent again.
func (b *Balancer) shouldRetry(r *request, result Result) bool {
	// A request that may have run is only repeated if that is harmless.
	harmful := r.mayHaveRunOn != nil && (r.class.Effect == Unsafe ||
		r.class.Effect == Keyed && b.now-r.mayHaveRunSentAt >= r.class.Memory)
	tooLate := b.now-r.arrivedAt > r.class.Aim && r.class.LateWorth == 0
	if harmful || tooLate || r.cannotResend || b.now >= r.deadline || result == Moot {
		return false
	}
	if result != ConnectFailed && result != LocalFault { // these put no load on any server
		b.retryTokens--
	}
	return b.retryTokens >= 0
}
