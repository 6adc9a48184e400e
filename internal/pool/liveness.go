package pool

import "time"

// Outcome is how an exchange on a connection ended.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota
	Broken           // the connection broke before an answer
	NoAnswer         // nothing was received in time
)

// liveness learns for one server how long its connections may be idle. A middlebox on the path may start
// to drop idle connections silently after some time, and stop doing so. A connection that has been idle
// for longer than is proven safe is suspect; one that has been idle nearly as long as a lost one is
// closed.
type liveness struct {
	proven      time.Duration // idle time up to which connections are considered alive
	lossAt      time.Duration // when a connection was last lost after an idle period, or the last decay since
	lossIdle    time.Duration // idle time of the lost connection; 0: none was lost, or the loss has decayed
	retryFactor time.Duration // multiple of lossIdle up to which connections are tried again; at least 1
	retryWait   time.Duration // time without a loss before retryFactor doubles, if above decayInterval
	blamedIdle  time.Duration // the shortest idle time recently blamed for a loss; 0: none
	freshLossAt time.Duration // when a connection was last lost with almost no idle time before
	probeDue    bool          // a longer idle time should be tried
	silentIdle  time.Duration // idle time of a connection without an answer; 0 once one as idle has answered
}

const (
	minIdle           = 50 * time.Millisecond // shorter idle times don't count as idle
	closeFraction     = 0.75                  // of the idle time of a lost connection: others are closed then
	correlationWindow = 5 * time.Second       // losses at two servers within it are taken for one cause
	decayInterval     = 20 * time.Second      // without a loss, after which twice the idle time is tried
	maxDecayInterval  = 160 * time.Second
	probeDelay        = 5 * time.Second  // then an unsafe request probes, if no other request has done so
	freshLossWindow   = 10 * time.Second // after the loss of a fresh connection no idle time is blamed
	maxFreshLosses    = 2.0              // nor while the count of such losses over all servers exceeds this
	freshLossDecay    = 0.97             // factor on that count at each sweep
)

// limit is the idle time from which on a connection is closed.
func (l *liveness) limit() time.Duration {
	if l.lossIdle == 0 {
		return 1<<63 - 1
	}
	return time.Duration(closeFraction * float64(l.lossIdle*max(1, l.retryFactor)))
}

// survived records that a connection was still alive after an idle time: twice that time is considered
// safe next, unless an idle time in between has been blamed for a loss.
func (l *liveness) survived(idleFor time.Duration) {
	if idleFor >= l.blamedIdle {
		l.blamedIdle = 0
	}
	if idleFor >= l.lossIdle { // connections are no longer dropped at that idle time
		l.lossIdle, l.retryFactor, l.retryWait = 0, 0, 0
	}
	proven := 2 * idleFor
	if l.blamedIdle > 0 {
		proven = min(proven, max(idleFor, l.blamedIdle/2))
	}
	l.proven = max(l.proven, proven)
	if idleFor >= l.silentIdle {
		l.silentIdle = 0
	}
}

// lost records that an exchange ended without an answer on a connection that had been idle, and reports
// whether the idle time is to blame. After the first loss, connections as idle are only suspect: a
// connection may break for other reasons, and where fresh connections are lost as well (at this server,
// or freshLosses at others) the idle time is not the cause. limit is the configured idle timeout.
func (l *liveness) lost(now, idleFor, limit time.Duration, outcome Outcome, freshLosses bool) bool {
	if idleFor < minIdle {
		*l = liveness{proven: limit, freshLossAt: now}
		return false
	}
	// Otherwise a request that is too expensive to be answered in time would be taken for a dropped
	// connection: a missing answer counts the second time, unless a connection as idle has answered in between.
	if first := l.silentIdle == 0; outcome == NoAnswer {
		if l.silentIdle = max(l.silentIdle, idleFor); first && idleFor <= l.proven {
			return false
		}
	}
	if freshLosses || l.freshLossAt > 0 && now-l.freshLossAt < freshLossWindow {
		return false
	}
	if idleFor > l.proven {
		if l.lossIdle == 0 || idleFor < l.lossIdle {
			l.lossIdle = idleFor
		}
		if l.retryFactor > 1 { // connections are still dropped: the next retry comes later
			l.retryWait = min(2*max(decayInterval, l.retryWait), maxDecayInterval)
		}
		l.retryFactor = 1
	}
	l.distrust(now, idleFor)
	return true
}

// distrust makes connections suspect that have been idle for more than half as long as a lost one.
func (l *liveness) distrust(now, idleFor time.Duration) {
	l.proven, l.lossAt = min(l.proven, idleFor/2), now
	if l.blamedIdle == 0 || idleFor < l.blamedIdle {
		l.blamedIdle = idleFor
	}
}

// probeOverdue reports whether a longer idle time should be tried and no request that can be sent again
// has done so in time.
func (l *liveness) probeOverdue(now time.Duration) bool {
	return l.probeDue && now-l.lossAt >= probeDelay
}

// decay gradually forgets losses: after a while without one, connections that have been idle for longer
// are tried again.
func (l *liveness) decay(now, limit time.Duration) {
	if l.proven >= limit && l.lossIdle == 0 || now-l.lossAt < max(decayInterval, l.retryWait) {
		return
	}
	l.lossAt, l.probeDue = now, true
	if l.lossIdle > 0 { // until the loss has decayed only an answer proves a longer idle time
		if l.retryFactor = 2 * max(1, l.retryFactor); l.lossIdle*l.retryFactor > 2*limit {
			l.lossIdle, l.retryFactor, l.retryWait = 0, 0, 0
		}
		return
	}
	l.proven = min(limit, 2*l.proven)
	if l.blamedIdle *= 2; l.blamedIdle > 2*limit {
		l.blamedIdle = 0
	}
}
