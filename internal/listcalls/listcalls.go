// Package listcalls decides when one proxy calls the list service for the server list, how long each call
// may wait for changes, and when it times out. It is pure: its methods take the current time as a duration
// on the proxy's clock and return the time of the next call; the caller owns the timers and the connection.
//
// The schedule follows from one promise of the protocol: a change at the list service counts as notified
// NotifiedAfter later at the latest, whatever became of the calls for it. A Lease determines until when the
// list may be used because of that. Every pause after a failed call ends well before the lease does,
// whatever the number of proxies. Where a service can't answer all proxies in that time, the lease ends
// first.
package listcalls

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// NotifiedAfter is the time after which a change at the list service counts as notified, though no call
// returned it.
const NotifiedAfter = 6 * time.Second

const (
	answerPause             = 100 * time.Millisecond // from the start of an answered call to the next call
	answerPauseAfterFailure = 20 * time.Millisecond  // the same where calls have failed recently
	// A failed call for a pushed list is repeated after pushRetryPause, or after 1/retriesPerGrace of
	// the drain's grace if that is longer.
	pushRetryPause  = 20 * time.Millisecond
	retriesPerGrace = 3
	// The time between two answered calls of an overloaded service is at most maxOverloadedInterval, and
	// overloadedFraction of the poll interval.
	maxOverloadedInterval = 4 * time.Second
	overloadedFraction    = 0.8
	minRetryInterval      = 400 * time.Millisecond // between the starts of two calls that fail
	maxRetryInterval      = 2 * time.Second        // leaves the rest of NotifiedAfter for the answers
	defaultGrace          = 250 * time.Millisecond // a drain's grace where the settings have none
	newWatchPause         = 300 * time.Millisecond // a call after this starts a new watch
	maxFirstSpread        = 2 * time.Second        // limits the spread of the first calls of all proxies
	minCallCost           = time.Millisecond       // service time of a call, at least
	defaultCallCost       = 100 * time.Millisecond // service time of a call before one was measured
	// The interval between a proxy's calls is costMargin times the service time of a call of each proxy.
	costMargin = 1.25
	// The pause after an answer is processingFactor times its processing time, at most maxProcessingPause: a
	// watch continues for 200 ms without a call.
	processingFactor    = 8
	maxProcessingPause  = 150 * time.Millisecond
	jitterFraction      = 0.4                     // width of the random variation of a retry interval
	minWaitFraction     = 0.1                     // of the maximum wait: the shortest wait of a watch
	maxWaitAfterFailure = 3500 * time.Millisecond // wait of a watch after failed calls
	defaultWait         = 10 * time.Second        // wait of a watch where the settings have no poll interval
	pushedWait          = 4 * time.Second         // the same for pushed lists: an answer without changes is free
	// The protocol counts what an unanswered watch misses as notified 2 s after its wait, or
	// NotifiedAfter after its start if that is later. The watch times out well before that, to leave
	// time for the next call, and for one more if that is not answered either: after the service time
	// of a call of each proxy, divided by silenceDivisor, since the watches of many proxies end one
	// after another. minSilence and maxSilence limit it.
	minSilence       = 500 * time.Millisecond
	maxSilence       = 1200 * time.Millisecond
	silenceDivisor   = 8
	minAnswerTimeout = 1200 * time.Millisecond // of a call that doesn't wait, at a fast service
	maxAnswerTimeout = 4 * time.Second         // and at any other, which answers calls sequentially
	waitTolerance    = 20 * time.Millisecond   // services count waits in whole milliseconds
	lagFactor        = 4                       // the timeout of a call is this times the recent lag
)

// Config is the configuration of a Schedule. It may change at run time.
type Config struct {
	Polled       bool          // lists are polled; else pushed, where changes count as notified at once
	PollInterval time.Duration // 0: not set
	DrainGrace   time.Duration // time in which a proxy must stop sending to a draining server; 0: not set
	Index        int           // index of this proxy, from 0
	Proxies      int           // number of proxies
}

// Call is one call for the list.
type Call struct {
	Number   int
	Wait     time.Duration // how long the service may wait for changes; 0: it answers at once
	Deadline time.Duration // time at which the call times out
	NewConn  bool          // to be made on a new connection: the call before timed out
}

// Answer describes the answer to a call.
type Answer struct {
	Full           bool          // the full list, else changes
	Unchanged      bool          // there were no changes
	VersionKnown   bool          // the version is known from now on: the next call may wait for changes
	ProcessingTime time.Duration // of this process, to read the answer and apply it
}

// Schedule decides on the calls of one proxy, of which one is pending at a time. Create it with New; it must
// be used by one goroutine only.
type Schedule struct {
	cfg              Config
	rng              *rand.Rand
	number           int
	pending          bool
	start            time.Duration // of the last call
	wait             time.Duration // of the last call
	callCost         time.Duration // service time of a call: the shortest without a wait; 0: not known
	maxTimeToFailure time.Duration // the longest time after which a call failed, as in a queue
	versionKnown     bool          // the next call may wait for changes
	staggered        bool          // this proxy's watches end staggered: there was no change since
	lag              time.Duration // recent time to an answer, beyond the wait that calls were allowed
	lagKnown         bool
	lease            Lease
	connected        bool          // a connection for the pending call has been established
	overloaded       bool          // a call has failed, or two timed out in a row, since the last answer
	lastFailure      time.Duration // time at which a call last failed or timed out; 0: never
	failures         int           // calls that failed or timed out since the last answer
	timeouts         int           // calls that timed out since the last answer or failure
}

// New returns the schedule of a proxy that has made no call yet.
func New(cfg Config) *Schedule {
	s := &Schedule{rng: rand.New(rand.NewPCG(uint64(cfg.Index), uint64(cfg.Proxies)))}
	s.Configure(cfg)
	return s
}

// Configure applies another configuration from the next call on.
func (s *Schedule) Configure(cfg Config) { s.cfg, s.lease.pollInterval = cfg, cfg.PollInterval }

// UsableUntil is the time from which on nothing may be sent by the list. It has no meaning for pushed lists.
func (s *Schedule) UsableUntil() time.Duration { return s.lease.Until() }

// Connected records that a connection for the pending call was established: if the call is not answered,
// that does not show that the service is unreachable.
func (s *Schedule) Connected() { s.connected = true }

// Pending reports whether a call is pending.
func (s *Schedule) Pending() bool { return s.pending }

// Number is the number of the last call.
func (s *Schedule) Number() int { return s.number }

// SetVersionKnown sets whether the next call may wait for changes because a version is known.
func (s *Schedule) SetVersionKnown(known bool) { s.versionKnown = known }

// AddressChanged records that the list service has a new address from now on. A pending call is abandoned.
func (s *Schedule) AddressChanged(now time.Duration) {
	s.pending, s.versionKnown, s.failures, s.timeouts, s.lag, s.lagKnown = false, false, 0, 0, 0, false
	s.lease.addressChanged(now)
}

// FirstCall returns when a process that starts makes its first call: soon where few proxies call, else at a
// random time within maxFirstSpread, since many may have started together. Until then a list known from
// before may be used.
func (s *Schedule) FirstCall(now time.Duration) time.Duration {
	first := now + time.Duration(s.rng.Float64()*float64(min(s.fleetCost(), maxFirstSpread)))
	s.lease.cached(first)
	return first
}

// Begin starts the next call. It returns false if a call is pending already.
func (s *Schedule) Begin(now time.Duration) (Call, bool) {
	if s.pending {
		return Call{}, false
	}
	return s.begin(now, false), true
}

// begin starts the next call, with its wait and deadline.
func (s *Schedule) begin(now time.Duration, newConn bool) Call {
	s.number++
	s.pending, s.start = true, now
	s.connected = s.number > 1 && !newConn
	c := Call{Number: s.number, NewConn: newConn, Deadline: now + s.answerTimeout()}
	if s.versionKnown {
		c.Wait = s.callWait()
		// Otherwise a call could time out in the queue of an overloaded service, which processes it all the
		// same. There is time for it: what a short watch misses counts as notified NotifiedAfter later.
		if c.Wait > 0 {
			c.Deadline = now + max(c.Wait+s.silenceTimeout(), s.answerTimeout())
		}
		if s.failures == 0 {
			s.lease.watchContinued(now, c.Wait)
		} else {
			s.lease.called(now, c.Wait)
		}
	}
	s.wait = c.Wait
	return c
}

// callWait is how long a call may wait for changes. After failed calls it must be answered while the list
// may still be used, and after a timeout it shows at once whether the service answers at all.
func (s *Schedule) callWait() time.Duration {
	switch {
	case s.timeouts > 0:
		return 0
	case s.failures > 0 && s.cfg.Polled:
		return min(s.maxWait(), maxWaitAfterFailure)
	}
	return s.watchWait()
}

// TimeOut ends a call at its deadline and starts the next one. It returns false if the call is not pending
// any more.
func (s *Schedule) TimeOut(now time.Duration, number int) (Call, bool) {
	if !s.pending || s.number != number {
		return Call{}, false
	}
	if !s.connected {
		s.lease.unreachable(s.start)
	} else {
		s.lease.timedOut(s.start, s.wait)
	}
	s.failures++
	s.timeouts++
	s.lastFailure, s.overloaded, s.staggered = now, s.overloaded || s.timeouts > 1, false
	return s.begin(now, true), true
}

// Failed records that the pending call has failed, and returns when to make the next one. Calls of several
// proxies that broke together are repeated staggered by the proxies' indices.
func (s *Schedule) Failed(now time.Duration) time.Duration {
	s.lease.failed(now)
	return s.retryAt(now)
}

// Unusable records that the pending call was answered with a document that can't be used, and returns when
// to make the next one.
func (s *Schedule) Unusable(now time.Duration) time.Duration {
	s.lease.unusable(now)
	return s.retryAt(now)
}

// retryAt returns when to make the call after one that has just failed.
func (s *Schedule) retryAt(now time.Duration) time.Duration {
	s.pending, s.timeouts = false, 0
	s.failures++
	s.lastFailure, s.overloaded, s.staggered = now, true, false
	if took := now - s.start; took <= maxAnswerTimeout {
		s.maxTimeToFailure = max(s.maxTimeToFailure, took)
	}
	switch {
	case !s.cfg.Polled:
		return now + max(pushRetryPause, s.cfg.DrainGrace/retriesPerGrace)
	case s.failures == 1:
		return now + s.withinLease(now, s.stagger(min(s.fleetCost(), s.retryInterval())))
	}
	// Without newWatchPause the call would continue a watch: what changes in between would count as notified
	// at once, and this service does not answer in time.
	return now + max(newWatchPause, s.withinLease(now, s.start+s.jitter(s.retryInterval())-now))
}

// withinLease shortens a pause so that the call after it can be answered while the list may be used.
func (s *Schedule) withinLease(now, pause time.Duration) time.Duration {
	return max(0, min(pause, s.lease.Until()-minAnswerTimeout-now))
}

// retryInterval is the time between the starts of two calls that fail: what the service needs for the calls
// of all proxies, as far as NotifiedAfter allows. It does not grow with the number of failed calls. No
// schedule lets a service that needs longer answer all proxies in time: there the lease ends first.
func (s *Schedule) retryInterval() time.Duration {
	needed := time.Duration(costMargin * float64(s.fleetCost()))
	return min(max(minRetryInterval, min(needed, s.maxWait())), maxRetryInterval)
}

// Answered records the answer to the pending call, and returns when to make the next one. A watch continues
// for 200 ms after an answer: what changes meanwhile counts as notified at once, whether or not the next
// call has been made. So that call comes soon, and sooner where calls have failed recently: an overloaded
// service may not answer it before what it missed counts as notified. Where many proxies call an overloaded
// service, the interval leaves it the time that their calls are known to cost.
func (s *Schedule) Answered(now time.Duration, a Answer) time.Duration {
	s.observe(now-s.start, a)
	overloaded := s.overloaded
	s.pending, s.overloaded, s.timeouts, s.failures = false, false, 0, 0
	s.lease.answered(now)
	s.versionKnown = a.VersionKnown
	s.staggered = s.staggered && a.Unchanged
	next := s.start + answerPause
	switch {
	case overloaded && s.fleetOverloads():
		next = max(now+newWatchPause, s.start+s.overloadedInterval())
	case s.lastFailure > 0 && now-s.lastFailure < s.maxWait():
		next = s.start + answerPauseAfterFailure
	}
	return max(now+min(processingFactor*a.ProcessingTime, maxProcessingPause), next)
}

// fleetOverloads reports whether the calls of all proxies keep the service busy for longer than a drain's
// grace. Where the cost of a call was not measured yet, that is a guess, and the limit is the longer time
// for which a list may be used without a call.
func (s *Schedule) fleetOverloads() bool {
	if s.callCost == 0 {
		return s.cfg.Polled && s.fleetCost() > NotifiedAfter
	}
	return s.cfg.Polled && s.fleetCost() > cmp.Or(s.cfg.DrainGrace, defaultGrace)
}

// overloadedInterval is the time from one call to the next where the service can't answer all proxies in a
// drain's grace. The next call begins a new watch: what changed between two calls of one watch counts as
// notified at once, and the service would not return it in time.
func (s *Schedule) overloadedInterval() time.Duration {
	needed := time.Duration(costMargin * float64(s.fleetCost()))
	return min(needed, maxOverloadedInterval, time.Duration(overloadedFraction*float64(s.maxWait())))
}

// fleetCost is how long the service takes for one call of each proxy.
func (s *Schedule) fleetCost() time.Duration {
	return cmp.Or(s.callCost, defaultCallCost) * time.Duration(max(1, s.cfg.Proxies))
}

// answerTimeout is the timeout of a call that doesn't wait for changes: several times the recent lag, and
// twice the last timeout after a call that timed out, within bounds. Before the lag is known, and where calls
// fail, it is the maximum. A call that times out in the queue of a slow service costs that service all the
// same, the next one waits from the end of the queue, and what a timed-out call misses counts as notified
// sooner than what a failed one misses.
func (s *Schedule) answerTimeout() time.Duration {
	if !s.lagKnown || s.failures > 0 && s.timeouts == 0 {
		return maxAnswerTimeout
	}
	least := max(minAnswerTimeout, s.callCost*time.Duration(s.cfg.Proxies)) <<
		min(max(0, s.timeouts-1), maxDoublings)
	return min(max(lagFactor*s.lag, least, s.maxTimeToFailure+waitTolerance), maxAnswerTimeout)
}

// maxDoublings limits how often a timeout is doubled, besides the limit on the timeout itself.
const maxDoublings = 2

// observe updates the estimates of cost and lag from the time that a call took. The lag of earlier calls is
// halved.
func (s *Schedule) observe(took time.Duration, a Answer) {
	switch {
	case a.Full, s.wait == 0:
		if s.callCost == 0 || took < s.callCost {
			s.callCost = max(took, minCallCost)
		}
	case a.Unchanged && took >= s.wait-waitTolerance:
		took = max(0, took-s.wait)
	default: // the change came at an unknown time within the wait
		if !s.lagKnown {
			s.lag, s.lagKnown = took, true
		}
		return
	}
	s.lag, s.lagKnown = max(took, s.lag/2), true
}

// silenceTimeout is how long after its wait a watch times out.
func (s *Schedule) silenceTimeout() time.Duration {
	return min(max(s.fleetCost()/silenceDivisor, minSilence), maxSilence)
}

// stagger is this proxy's offset where the calls of all proxies are spread over a duration.
func (s *Schedule) stagger(over time.Duration) time.Duration {
	return over * time.Duration(s.cfg.Index) / time.Duration(max(1, s.cfg.Proxies))
}

// jitter varies a duration randomly. Otherwise the calls of several proxies could stay in step: a service
// that rejects every second call, say, would reject the same proxies each time.
func (s *Schedule) jitter(d time.Duration) time.Duration {
	return d + time.Duration(jitterFraction*(s.rng.Float64()-0.5)*float64(d))
}

// maxWait is how long a watch may wait.
func (s *Schedule) maxWait() time.Duration {
	if !s.cfg.Polled {
		return pushedWait
	}
	return cmp.Or(s.cfg.PollInterval, defaultWait)
}

// watchWait is how long the next watch may wait. Watches that began together, at a start or after a change,
// end staggered over the poll interval. Otherwise all proxies would call at once, and more than the service
// can answer at a time. After a watch without changes the next one waits for the full time, which keeps the
// stagger.
func (s *Schedule) watchWait() time.Duration {
	full := s.maxWait()
	if !s.cfg.Polled || s.staggered {
		return full
	}
	s.staggered = true
	part := float64(s.cfg.Index+1) / float64(max(1, s.cfg.Proxies))
	return time.Duration((minWaitFraction + (1-minWaitFraction)*part) * float64(full))
}
