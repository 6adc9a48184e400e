package listcalls

import "time"

// Times of a lease.
const (
	afterWait   = 2 * time.Second        // what a watch misses counts as notified so long after its wait
	afterMove   = 4 * time.Second        // and what the list service has so long after its address has changed
	firstSlack  = 100 * time.Millisecond // a call may be made so long after it was due
	answerLag   = time.Second            // an answer may have been under way for so long when it is read
	failedTimes = 4                      // asking times that a list may be used after a call that failed
)

// Lease is until when the server list that a process holds may be used to send by: what changed since then
// counts as notified by then at the earliest, whether or not this process has heard of it. Only an answer,
// a watch that waits and a call that shows the service to be out of reach extend it; time that passes, a
// pause or a call that is not answered do not. Its zero value has run out: a process that starts has heard
// nothing. It is for lists that are asked for.
type Lease struct {
	every time.Duration // the settings' time for asking; 0: they name none
	until time.Duration // by what was heard and what failed
	watch time.Duration // by the watch that is out; 0: none
	// call is when it ends at the latest by the call that is out, where that does not go on with a watch;
	// 0: no matter
	call time.Duration
	// most is when it ends at the latest, since a call fell silent and none was answered since; 0: no
	// matter
	most time.Duration
}

// Until is the moment from which on nothing may be sent by the list.
func (l *Lease) Until() time.Duration {
	until := max(l.until, l.watch)
	if l.call > 0 {
		until = min(until, l.call)
	}
	if l.most > 0 {
		until = min(until, l.most)
	}
	return until
}

// known takes in that a list from before is there, and that the first call is made at a moment.
func (l *Lease) known(first time.Duration) { l.until = max(l.until, first+firstSlack) }

// watched takes in that a watch goes on with a call that is made at a moment, and may wait so long for
// news.
func (l *Lease) watched(now, wait time.Duration) { l.watch, l.call = now+wait+afterWait, 0 }

// called takes in that a call is made at a moment after others failed, which may wait so long for news.
// Until it is answered nobody can tell it from one that is lost, and what that misses counts as notified
// soon.
func (l *Lease) called(now, wait time.Duration) { l.call = now + wait + afterWait }

// answered takes in that the call that was out is answered. A proxy without a watch is held to its list for
// the time for asking.
func (l *Lease) answered(now time.Duration) {
	l.watch, l.call, l.most = 0, 0, 0
	l.until = now + NotifiedAfter - answerLag
	if l.every > 0 {
		l.until = min(l.until, now+l.every)
	}
}

// failed takes in that the call that was out has failed: the service was out of reach.
func (l *Lease) failed(now time.Duration) {
	l.watch, l.call = 0, 0
	l.unreachable(now)
}

// silent takes in that a call was given up that began at a moment, reached the service and was allowed to
// wait so long. What it misses counts as notified NewsBy after it fell silent, or after its wait, if that
// is later, whatever becomes of the calls after it.
func (l *Lease) silent(began, wait time.Duration) {
	by := began + NotifiedAfter
	switch {
	case l.watch > 0:
		by = max(by, began+wait+afterWait)
		l.watch = by
	case l.call > 0:
		by = l.call
	}
	if l.most == 0 || by < l.most {
		l.most = by
	}
}

// unreachable takes in that the service was out of reach at a moment: what it has counts as notified NewsBy
// later at the earliest.
func (l *Lease) unreachable(at time.Duration) {
	least := NotifiedAfter
	if l.every > 0 {
		least = min(least, failedTimes*l.every)
	}
	l.until = max(l.until, at+least)
}

// moved takes in that the list is asked for elsewhere from now on. Several moves in a row do not extend it.
func (l *Lease) moved(now time.Duration) {
	l.until, l.watch, l.call, l.most = min(l.Until(), now+afterMove), 0, 0, 0
}
