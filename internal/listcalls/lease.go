package listcalls

import "time"

const (
	watchGrace          = 2 * time.Second        // after the wait of a watch, what it missed counts as notified
	moveGrace           = 4 * time.Second        // after the list service's address changed, the same
	firstCallSlack      = 100 * time.Millisecond // how late the first call may be made after its due time
	maxAnswerAge        = time.Second            // how long an answer may have been in transit when it is read
	failedPollIntervals = 4                      // for so many a list may be used after a failed call
)

// Lease is the time until which a process may send requests by the server list it holds: what has changed
// since the list was received counts as notified at that time at the earliest, even if this process has
// not received it. It is extended only by an answer, by a watch that waits for changes, and by a call that
// shows the service to be unreachable; not by time that passes, by a pause or by a call without an answer.
// The zero value has expired: a process that starts has received nothing. A Lease applies to polled lists.
type Lease struct {
	pollInterval time.Duration // the settings' interval for polling; 0: not set
	base         time.Duration // expiry by answers received and by calls that failed
	watch        time.Duration // expiry by the pending watch; 0: none
	// call is an upper limit on the expiry, by the pending call where that does not continue a watch; 0: none
	call time.Duration
	// silent is an upper limit on the expiry since a call timed out with no call answered since; 0: none
	silent time.Duration
}

// Until is the time from which on nothing may be sent by the list.
func (l *Lease) Until() time.Duration {
	until := max(l.base, l.watch)
	if l.call > 0 {
		until = min(until, l.call)
	}
	if l.silent > 0 {
		until = min(until, l.silent)
	}
	return until
}

// cached records that a list from an earlier process is known, and when the first call will be made.
func (l *Lease) cached(firstCall time.Duration) { l.base = max(l.base, firstCall+firstCallSlack) }

// watchContinued records a call made now that continues a watch and may wait for changes for the given time.
func (l *Lease) watchContinued(now, wait time.Duration) { l.watch, l.call = now+wait+watchGrace, 0 }

// called records a call made now after others failed, which may wait for changes for the given time. Until
// it is answered it can't be told from a call that is lost, and what a lost call misses counts as notified
// soon after its wait.
func (l *Lease) called(now, wait time.Duration) { l.call = now + wait + watchGrace }

// answered records that the pending call is answered. Without a watch, a proxy may use its list for one poll
// interval only.
func (l *Lease) answered(now time.Duration) {
	l.watch, l.call, l.silent = 0, 0, 0
	l.base = l.afterAnswer(now)
}

// afterAnswer is the expiry by an answer that was received now.
func (l *Lease) afterAnswer(now time.Duration) time.Duration {
	if l.pollInterval > 0 {
		return now + min(NotifiedAfter-maxAnswerAge, l.pollInterval)
	}
	return now + NotifiedAfter - maxAnswerAge
}

// unusable records that the pending call was answered with a document that can't be used. The service was
// reached, so that does not extend the lease. Only the answer to a watch that continues shows that nothing
// had changed until shortly before.
func (l *Lease) unusable(now time.Duration) {
	if l.watch > 0 {
		l.base = max(l.base, l.afterAnswer(now))
	}
	l.watch, l.call = 0, 0
}

// failed records that the pending call has failed: the service was unreachable.
func (l *Lease) failed(now time.Duration) {
	l.watch, l.call = 0, 0
	l.unreachable(now)
}

// timedOut records that a call got no answer in time that had reached the service. It started at start and
// was allowed to wait for the given time. What it missed counts as notified NotifiedAfter after its start,
// or watchGrace after its wait if that is later, regardless of the calls after it.
func (l *Lease) timedOut(start, wait time.Duration) {
	limit := start + NotifiedAfter
	switch {
	case l.watch > 0:
		limit = max(limit, start+wait+watchGrace)
		l.watch = limit
	case l.call > 0:
		limit = l.call
	}
	if l.silent == 0 || limit < l.silent {
		l.silent = limit
	}
}

// unreachable records that the service was unreachable at a time: what has changed there counts as notified
// NotifiedAfter later at the earliest.
func (l *Lease) unreachable(at time.Duration) {
	extension := NotifiedAfter
	if l.pollInterval > 0 {
		extension = min(extension, failedPollIntervals*l.pollInterval)
	}
	l.base = max(l.base, at+extension)
}

// addressChanged records that the list service has a new address from now on. Several changes in a row do
// not extend the lease.
func (l *Lease) addressChanged(now time.Duration) {
	l.base, l.watch, l.call, l.silent = min(l.Until(), now+moveGrace), 0, 0, 0
}
