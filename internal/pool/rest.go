package pool

import "time"

// Outcome is how an exchange on a leg ended.
type Outcome uint8

// The ends.
const (
	Answered Outcome = iota
	Broken           // the leg broke before an answer
	NoAnswer         // nothing came
)

// rest learns for one next hop how long its legs may rest: what lies before it may drop resting legs
// without a word from some time on, and stop doing so. A leg that has rested for longer than is
// proved is in doubt, one that has rested as long as a lost one is closed.
type rest struct {
	proved  time.Duration // legs that have rested so long are trusted
	lostAt  time.Duration // when a leg was last lost after a rest
	lostFor time.Duration // its rest; 0: none was, or it is forgotten
	reach   time.Duration // multiple of lostFor up to which legs are tried again; at least 1
	wait    time.Duration // without a loss, before that doubles
	blamed  time.Duration // the shortest rest lately blamed for a loss; 0: none
	freshAt time.Duration // when a leg was last lost that had hardly rested
	owed    bool          // a longer rest is to be tried
	silent  time.Duration // rest of a leg on which nothing came; 0 once one as rested has answered
}

// What counts as a rest, how much sooner than the lost one a leg is closed, when two next hops count
// as having lost theirs together, and after what time a loss counts for legs twice as fresh only.
const (
	shortRest   = 50 * time.Millisecond
	closePart   = 0.75
	togetherFor = 5 * time.Second
	fadeEvery   = 20 * time.Second
	mostFade    = 160 * time.Second
	owedFor     = 5 * time.Second  // then a careful request tries it, where no other has
	freshFor    = 10 * time.Second // for so long after the loss of a fresh leg no rest is blamed
	freshMost   = 2.0              // nor while fresh legs to so many next hops were lost lately
	freshFade   = 0.97             // of that count which is left after a sweep
)

// limit is the rest from which on a leg is closed.
func (r *rest) limit() time.Duration {
	if r.lostFor == 0 {
		return 1<<63 - 1
	}
	return time.Duration(closePart * float64(r.lostFor*max(1, r.reach)))
}

// good notes that a leg was still there after a rest: one of twice that will be tried, but for a rest
// that has been blamed for a loss.
func (r *rest) good(rested time.Duration) {
	if rested >= r.blamed {
		r.blamed = 0
	}
	if rested >= r.lostFor { // it is over
		r.lostFor, r.reach, r.wait = 0, 0, 0
	}
	proved := 2 * rested
	if r.blamed > 0 {
		proved = min(proved, max(rested, r.blamed/2))
	}
	r.proved = max(r.proved, proved)
	if rested >= r.silent {
		r.silent = 0
	}
}

// lost notes that an exchange ended without an answer on a leg that had rested. The first time legs
// as rested are only in doubt: a connection may break for other reasons, and where fresh legs are lost
// as well the rest is not to blame. It tells whether it is.
func (r *rest) lost(now, rested, most time.Duration, how Outcome, others bool) bool {
	if rested < shortRest {
		*r = rest{proved: most, freshAt: now}
		return false
	}
	// Guards against taking a request that costs too much for a leg that was dropped: silence counts
	// the second time, unless a leg as rested has answered in between.
	if first := r.silent == 0; how == NoAnswer {
		if r.silent = max(r.silent, rested); first && rested <= r.proved {
			return false
		}
	}
	if others || r.freshAt > 0 && now-r.freshAt < freshFor {
		return false
	}
	if rested > r.proved {
		if r.lostFor == 0 || rested < r.lostFor {
			r.lostFor = rested
		}
		if r.reach > 1 { // it is not over: the next try comes later
			r.wait = min(2*max(fadeEvery, r.wait), mostFade)
		}
		r.reach = 1
	}
	r.warn(now, rested)
	return true
}

// warn puts in doubt legs that have rested half as long as a lost one.
func (r *rest) warn(now, rested time.Duration) {
	r.proved, r.lostAt = min(r.proved, rested/2), now
	if r.blamed == 0 || rested < r.blamed {
		r.blamed = rested
	}
}

// overdue tells whether a longer rest is to be tried and nobody who can be sent again has done so.
func (r *rest) overdue(now time.Duration) bool { return r.owed && now-r.lostAt >= owedFor }

// fade forgets, little by little: after a while without losses legs are tried that have rested longer.
func (r *rest) fade(now, most time.Duration) {
	if r.proved >= most && r.lostFor == 0 || now-r.lostAt < max(fadeEvery, r.wait) {
		return
	}
	r.lostAt, r.owed = now, true
	if r.lostFor > 0 { // till then only an answer proves a longer rest
		if r.reach = 2 * max(1, r.reach); r.lostFor*r.reach > 2*most {
			r.lostFor, r.reach, r.wait = 0, 0, 0
		}
		return
	}
	r.proved = min(most, 2*r.proved)
	if r.blamed *= 2; r.blamed > 2*most {
		r.blamed = 0
	}
}
