// Package listcalls decides when one proxy calls the list service for the server list, how long each
// call may wait for news, and when it is given up. It is pure: its methods take the absolute time and
// return the moment of the next call; whoever drives it owns the timers and the connection.
//
// All of it follows from one promise of the protocol: what the list service has counts as notified by
// NewsBy at the latest, whatever became of the calls for it. A Lease says until when the list may be used
// because of that. Every pause after a call that failed ends well before the lease does, whatever the
// number of proxies. Where a service can't answer all of them in that time, the lease ends first.
package listcalls

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// NotifiedAfter is the time after which what the list service has counts as notified, though no
// call brought it.
const NotifiedAfter = 6 * time.Second

// Times of the calls.
const (
	pauseAnswered = 100 * time.Millisecond  // from an answer to the next call
	pauseSoon     = 20 * time.Millisecond   // the same where calls have failed lately
	pausePushed   = 20 * time.Millisecond   // the same where lists are pushed and the settings name no grace
	graceParts    = 3                       // else a pushed list that failed is asked for so often in a grace
	crowdedPart   = 0.8                     // of the time for asking: at most between two calls of a crowd
	retryLeast    = 400 * time.Millisecond  // between the starts of two calls that fail, at least
	retryMost     = 2 * time.Second         // and at most: the rest of NewsBy is for the answers
	answeredMost  = 4 * time.Second         // from an answer of a crowded service to the next call, at most
	graceUsual    = 250 * time.Millisecond  // a drain's grace where the settings name none
	newWatch      = 300 * time.Millisecond  // after this a call is a new watch, no longer the one before
	firstMost     = 2 * time.Second         // over which the first calls of processes that start are spread
	costLeast     = time.Millisecond        // a call costs the service so much, at least
	costGuess     = 100 * time.Millisecond  // what a call costs the service, where none was measured
	costSlack     = 1.25                    // the calls of all proxies leave the service so much time
	workParts     = 8                       // a pause follows an answer, of so many times its work,
	workMost      = 150 * time.Millisecond  // up to this: a watch goes on for 200 ms without a call
	jitterPart    = 0.4                     // of the time between two calls that fail, in which it is drawn
	waitLeast     = 0.1                     // part of that time which a watch waits at least
	waitFailed    = 3500 * time.Millisecond // how long a watch may wait after calls that failed
	waitUsual     = 10 * time.Second        // how long a watch may wait where the settings name no time
	waitPushed    = 4 * time.Second         // and where lists are pushed: an answer without news costs nothing
	// The protocol counts what a silent watch misses as notified 2 s after its wait (or NewsBy after it
	// fell silent, if that is later). The watch is given up well before that, so that there is time for
	// the next call, and for one more where that is not answered either.
	silentLeast = 500 * time.Millisecond  // a watch is given up so long after its wait, where few proxies call
	silentMost  = 1200 * time.Millisecond // and where many do, whose watches end one after the other:
	silentParts = 8                       // one of so many parts of the time that all calls take
	answerLeast = 1200 * time.Millisecond // a call that doesn't wait is given up after this at a quick service
	answerMost  = 4 * time.Second         // and at any other, which answers one call after the other
	waitSlack   = 20 * time.Millisecond   // services count waits in whole milliseconds
	lagParts    = 4                       // or after so many times what it took of late
)

// Config is what the schedule goes by. It may change while a proxy runs.
type Config struct {
	Polled       bool          // the list comes only when asked for; else what there is counts as notified
	PollInterval time.Duration // the settings' time for asking; 0: they name none
	DrainGrace   time.Duration // in which a proxy must stop sending to a server that drains
	Index        int           // this proxy's number,
	Proxies      int           // of so many
}

// Call is one call for the list.
type Call struct {
	Number   int
	Wait     time.Duration // that the service may wait for news; 0: it answers at once
	Deadline time.Duration // the moment at which the call has fallen silent
	NewConn  bool          // on a new connection: the call before it was given up
}

// Answer is what a call brought.
type Answer struct {
	Full         bool // the whole list, else changes
	Unchanged    bool // there was no news
	VersionKnown bool // from here on the version is known: the next call may wait for what changes
	// ProcessingTime is how long this process took to read the answer and take it in.
	ProcessingTime time.Duration
}

// Schedule decides on the calls of one proxy. One is out at a time. New makes one; one goroutine owns it.
type Schedule struct {
	cfg      Config
	rng      *rand.Rand
	number   int
	out      bool
	began    time.Duration // the call that is out, or was last
	wait     time.Duration // that it may take
	cost     time.Duration // of a call, as the quickest one that didn't wait shows; 0: not known
	held     time.Duration // after which a call failed as in a queue, at most
	known    bool          // the next call may wait for what changes
	spread   bool          // this proxy's watches end in its turn: there was no news since
	lag      time.Duration // that the service took of late beyond what calls were allowed to wait
	lagKnown bool
	lease    Lease
	reached  bool          // a connection for the call that is out has come up
	crowded  bool          // a call has failed since the last answer
	missed   time.Duration // when a call failed or fell silent last; 0: never
	misses   int           // calls that failed or fell silent since the last answer
	silent   int           // of these the last ones, that fell silent
}

// New returns the schedule of a proxy that has made no call.
func New(cfg Config) *Schedule {
	s := &Schedule{rng: rand.New(rand.NewPCG(uint64(cfg.Index), uint64(cfg.Proxies)))}
	s.Configure(cfg)
	return s
}

// Configure has the schedule go by other settings from the next call on.
func (s *Schedule) Configure(cfg Config) { s.cfg, s.lease.every = cfg, cfg.PollInterval }

// UsableUntil is the moment from which on nothing may be sent by the list. It is of no use where lists are
// pushed.
func (s *Schedule) UsableUntil() time.Duration { return s.lease.Until() }

// Connected says that a connection for the call that is out has come up: if it is not answered, that does not
// show that the service is out of reach.
func (s *Schedule) Connected() { s.reached = true }

// Pending tells whether a call is out.
func (s *Schedule) Pending() bool { return s.out }

// Number is the number of the call that is out, or was last.
func (s *Schedule) Number() int { return s.number }

// SetVersionKnown says whether the next call may wait for what changes: a version is known.
func (s *Schedule) SetVersionKnown(version bool) { s.known = version }

// AddressChanged says that the list is asked for elsewhere from now on: what was out is nobody's any more.
func (s *Schedule) AddressChanged(now time.Duration) {
	s.out, s.known, s.misses, s.silent, s.lag, s.lagKnown = false, false, 0, 0, 0, false
	s.lease.moved(now)
}

// FirstCall tells when a process that starts makes its first call: soon where few proxies call, else at a
// random moment within firstMost, since many may have started together. Until then the list that is known
// may be used.
func (s *Schedule) FirstCall(now time.Duration) time.Duration {
	first := now + time.Duration(s.rng.Float64()*float64(min(s.allCalls(), firstMost)))
	s.lease.known(first)
	return first
}

// Begin makes the next call. Whoever asks for one while one is out is told so with false.
func (s *Schedule) Begin(now time.Duration) (Call, bool) {
	if s.out {
		return Call{}, false
	}
	return s.begin(now, false), true
}

func (s *Schedule) begin(now time.Duration, anew bool) Call {
	s.number++
	s.out, s.began = true, now
	s.reached = s.number > 1 && !anew
	c := Call{Number: s.number, NewConn: anew, Deadline: now + s.answerIn()}
	if s.known {
		c.Wait = s.waitFor()
		// Guards against giving up a call that stands in the queue of a crowded service, which works on it
		// all the same: there is time for that, since what a short watch misses counts NewsBy later.
		if c.Wait > 0 {
			c.Deadline = now + max(c.Wait+s.silentAfter(), s.answerIn())
		}
		if s.misses == 0 {
			s.lease.watched(now, c.Wait)
		} else {
			s.lease.called(now, c.Wait)
		}
	}
	s.wait = c.Wait
	return c
}

// waitFor is how long a call may wait for news. After others failed it is answered while the list may
// still be used, and after one that fell silent it shows whether there is an answer at all.
func (s *Schedule) waitFor() time.Duration {
	switch {
	case s.silent > 0:
		return 0
	case s.misses > 0 && s.cfg.Polled:
		return min(s.every(), waitFailed)
	}
	return s.nextWait()
}

// TimeOut says that the time of a call has come, and makes the next one if it is still out.
func (s *Schedule) TimeOut(now time.Duration, number int) (Call, bool) {
	if !s.out || s.number != number {
		return Call{}, false
	}
	if !s.reached {
		s.lease.unreachable(s.began)
	} else {
		s.lease.silent(s.began, s.wait)
	}
	s.misses++
	s.silent++
	s.missed, s.crowded, s.spread = now, s.crowded || s.silent > 1, false
	return s.begin(now, true), true
}

// Failed takes in that the call that is out has failed, and returns when to make the next one. Calls that
// broke together are made again in their proxies' turn.
func (s *Schedule) Failed(now time.Duration) time.Duration {
	s.lease.failed(now)
	s.out, s.silent = false, 0
	s.misses++
	s.missed, s.crowded, s.spread = now, true, false
	if took := now - s.began; took <= answerMost {
		s.held = max(s.held, took)
	}
	switch {
	case !s.cfg.Polled:
		return now + max(pausePushed, s.cfg.DrainGrace/graceParts)
	case s.misses == 1:
		return now + s.inTime(now, s.turn(min(s.allCalls(), s.apart())))
	}
	// Guards against a call that goes on with a watch: what changes in between counts as notified at once,
	// and this service does not answer in time.
	return now + max(newWatch, s.inTime(now, s.began+s.jitter(s.apart())-now))
}

// inTime shortens a pause so that the call after it can be answered while the list may be used.
func (s *Schedule) inTime(now, pause time.Duration) time.Duration {
	return max(0, min(pause, s.lease.Until()-answerLeast-now))
}

// apart is how far the starts of two calls that fail are apart: by what the service needs for all proxies,
// as far as NewsBy allows. It does not grow with the number of calls that failed. A service that needs
// longer for all proxies can't tell all in time by any schedule: there the lease ends first.
func (s *Schedule) apart() time.Duration {
	all := time.Duration(costSlack * float64(s.allCalls()))
	return min(max(retryLeast, min(all, s.every())), retryMost)
}

// Answered takes in what the call that is out has brought, and returns when to make the next one. A watch
// goes on for 200 ms after an answer: what changes meanwhile counts as notified at once, whether or not
// the next call has come. So that one comes soon, and sooner where calls have failed lately: a crowded
// service may not answer it before what it missed is due. The calls of many proxies leave a crowded
// service the time that they are known to cost.
func (s *Schedule) Answered(now time.Duration, a Answer) time.Duration {
	s.seen(now-s.began, a)
	crowded := s.crowded
	s.out, s.crowded, s.silent, s.misses = false, false, 0, 0
	s.lease.answered(now)
	s.known = a.VersionKnown
	s.spread = s.spread && a.Unchanged
	next := s.began + pauseAnswered
	switch {
	case crowded && s.crowd():
		next = max(now+newWatch, s.began+s.whenCrowded())
	case s.missed > 0 && now-s.missed < s.every():
		next = s.began + pauseSoon
	}
	return max(now+min(workParts*a.ProcessingTime, workMost), next)
}

// crowd tells whether the calls of all proxies keep the service busy for longer than a drain's grace.
// Where it was not seen what one costs, that goes by a guess, and for longer than a list may be used
// without a call.
func (s *Schedule) crowd() bool {
	if s.cost == 0 {
		return s.cfg.Polled && s.allCalls() > NotifiedAfter
	}
	return s.cfg.Polled && s.allCalls() > cmp.Or(s.cfg.DrainGrace, graceUsual)
}

// whenCrowded is the time from one call to the next where the service can't answer all proxies in a
// drain's grace. The next call begins a new watch: what changed between two calls of one watch counts as
// notified at once, and the service would not tell of it in time.
func (s *Schedule) whenCrowded() time.Duration {
	all := time.Duration(costSlack * float64(s.allCalls()))
	return min(all, answeredMost, time.Duration(crowdedPart*float64(s.every())))
}

// allCalls is how long the service takes for a call of each proxy.
func (s *Schedule) allCalls() time.Duration {
	return cmp.Or(s.cost, costGuess) * time.Duration(max(1, s.cfg.Proxies))
}

// answerIn is how long a call may take that doesn't wait for news: several times as long as the service was
// seen to take of late, and twice as long as the one before if that fell silent, within bounds. Where it was
// not seen, and where calls fail, the most: a call that is given up in the queue of a slow service costs that
// all the same, the next one waits from the start, and what a call misses that was given up counts as
// notified sooner than what one misses that failed.
func (s *Schedule) answerIn() time.Duration {
	if !s.lagKnown || s.misses > 0 && s.silent == 0 {
		return answerMost
	}
	least := max(answerLeast, s.cost*time.Duration(s.cfg.Proxies)) << min(max(0, s.silent-1), mostDoublings)
	return min(max(lagParts*s.lag, least, s.held+waitSlack), answerMost)
}

// mostDoublings bounds how often a time is doubled, which has a bound of its own, too.
const mostDoublings = 2

// seen takes in how long the service took for a call beyond what that was allowed to wait. Of what was seen
// before half is left.
func (s *Schedule) seen(took time.Duration, a Answer) {
	switch {
	case a.Full, s.wait == 0:
		if s.cost == 0 || took < s.cost {
			s.cost = max(took, costLeast)
		}
	case a.Unchanged && took >= s.wait-waitSlack:
		took = max(0, took-s.wait)
	default: // news came at some time within the wait
		if !s.lagKnown {
			s.lag, s.lagKnown = took, true
		}
		return
	}
	s.lag, s.lagKnown = max(took, s.lag/2), true
}

// silentAfter is how long after its wait a watch counts as fallen silent.
func (s *Schedule) silentAfter() time.Duration {
	return min(max(s.allCalls()/silentParts, silentLeast), silentMost)
}

// turn is this proxy's part of a time over which those of all proxies are spread.
func (s *Schedule) turn(over time.Duration) time.Duration {
	return over * time.Duration(s.cfg.Index) / time.Duration(max(1, s.cfg.Proxies))
}

// jitter is a time drawn from around one. Guards against proxies whose calls keep step: a service that
// turns away each second call, say, would turn away the same ones for good.
func (s *Schedule) jitter(d time.Duration) time.Duration {
	return d + time.Duration(jitterPart*(s.rng.Float64()-0.5)*float64(d))
}

// every is how long a watch may wait.
func (s *Schedule) every() time.Duration {
	if !s.cfg.Polled {
		return waitPushed
	}
	return cmp.Or(s.cfg.PollInterval, waitUsual)
}

// nextWait is how long the next watch may wait. Guards against all proxies' calls in step, for more than
// the service can work through at once: those that began together, at a start or when there was news,
// end one after the other, spread over the time between two calls. A quiet one is followed by a whole
// one: the spread stays.
func (s *Schedule) nextWait() time.Duration {
	every := s.every()
	if !s.cfg.Polled || s.spread {
		return every
	}
	s.spread = true
	part := float64(s.cfg.Index+1) / float64(max(1, s.cfg.Proxies))
	return time.Duration((waitLeast + (1-waitLeast)*part) * float64(every))
}
