package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// What the protocol's pages allow a process to know late.
const (
	newsWithin    = 6 * time.Second        // what discovery has counts as notified by then, once in reach
	newsAfterWait = 2 * time.Second        // after the wait of a watch that fell silent, if that is later
	watchGoesOn   = 200 * time.Millisecond // from an answer to the next call, if that comes
)

// callEnd is how a call for the list ended.
type callEnd string

const (
	out      callEnd = "" // it has not ended
	answered callEnd = "answered"
	refused  callEnd = "refused"
	broken   callEnd = "broken"    // its connection was reset
	givenUp  callEnd = "given up"  // by its process
	cutShort callEnd = "cut short" // its answer was
)

// callRecord is one call for the list as the service saw it.
type callRecord struct {
	life         *life
	began, ended time.Time // ended: zero while it is out
	wait         time.Duration
	silent       time.Time // from when on it was never going to be answered; zero: it was
	how          callEnd
}

// outAt tells whether the call was out at a moment.
func (c *callRecord) outAt(at time.Time) bool {
	return !c.began.After(at) && (c.ended.IsZero() || c.ended.After(at))
}

// knowledge is what bears on when one process counts as notified of a change that it was not told.
type knowledge struct {
	calls    []*callRecord // its calls, oldest first
	reach    []reach       // when the service could be reached, oldest first
	askEvery time.Duration // the settings' time for asking
}

// sentence is one of the pages on when a change counts as notified.
type sentence string

// The sentences, shortened. Where two give a time, the earlier one holds.
const (
	afterReach   sentence = "6 s after discovery had it and could be reached"
	afterSilence sentence = "6 s after a watch fell silent, or 2 s after its wait"
	betweenCalls sentence = "a watch goes on for 200 ms after its answer"
	withoutWatch sentence = "no watch for the time for asking, and so long after the change"
)

// notifiedBy tells when a process counts as notified of a change that discovery has had since a moment and
// that it was not told, and by which sentence, as far as is known at a later moment; false: not while
// discovery is out of reach. When the process started is nothing to it: no page has a sentence on that where
// lists are asked for; nor on SIGHUP, which only counts where lists are pushed.
func notifiedBy(k knowledge, changed, now time.Time) (time.Time, sentence, bool) {
	by, ok := reachableFor(k.reach, changed, now)
	if !ok {
		return time.Time{}, afterReach, false
	}
	if goesOn(k.calls, changed) {
		return changed, betweenCalls, true
	}
	if at, silent := silenceCounts(k.calls, changed, by); silent {
		return at, afterSilence, true
	}
	if at, idle := unwatchedCounts(k, changed, now); idle && at.Before(by) {
		return at, withoutWatch, true
	}
	return by, afterReach, true
}

// silenceCounts tells when a change counts that was made while a watch had fallen silent; usual is when it
// counts by reach alone. That holds where the watch was given up before its wait was over (whatever else is
// allowed after such a call), and where an outage has moved it.
func silenceCounts(calls []*callRecord, changed, usual time.Time) (time.Time, bool) {
	for _, c := range calls {
		if !c.outAt(changed) || c.silent.IsZero() || c.wait <= 0 {
			continue
		}
		over := c.began.Add(c.wait)
		at := later(c.silent.Add(newsWithin), over.Add(newsAfterWait))
		if at.After(usual) {
			return at, c.ended.IsZero() || !c.ended.Before(over)
		}
		return at, usual.Equal(changed.Add(newsWithin))
	}
	return time.Time{}, false
}

// goesOn tells whether a change was made between two calls of a watch that goes on.
func goesOn(calls []*callRecord, changed time.Time) bool {
	for i, c := range calls[:max(0, len(calls)-1)] {
		next := calls[i+1]
		watches := c.wait > 0 && c.how == answered && next.wait > 0 && next.began.Sub(c.ended) <= watchGoesOn
		if watches && !c.ended.After(changed) && next.began.After(changed) {
			return true
		}
	}
	return false
}

// unwatchedCounts tells when a change counts at a process without a watch whose last call was answered: the
// time for asking after that call, and after the change. After a call that failed it is four times that from
// the service's return, which is held to newsWithin.
func unwatchedCounts(k knowledge, changed, now time.Time) (time.Time, bool) {
	var last *callRecord
	for _, c := range k.calls {
		if !c.began.After(now) {
			last = c
		}
	}
	if last == nil || last.how != answered || last.ended.After(now) || k.askEvery <= 0 {
		return time.Time{}, false
	}
	return later(last.ended, changed).Add(k.askEvery), true
}

// reachableFor tells when discovery has been in reach for newsWithin without a break since a moment; false:
// not by what is known at a later one.
func reachableFor(all []reach, from, now time.Time) (time.Time, bool) {
	well := true
	for _, r := range all {
		switch {
		case r.at.After(now), well && r.at.After(from.Add(newsWithin)):
			return from.Add(newsWithin), well
		case r.well && !well:
			from = later(from, r.at)
		}
		well = r.well
	}
	return from.Add(newsWithin), well
}

// both is when the list service could be reached by all and by one process, of when each of them could.
func both(all, own []reach) (reachable []reach) {
	wellAll, wellOwn, well := true, true, true
	for len(all)+len(own) > 0 {
		var at time.Time
		if len(own) == 0 || len(all) > 0 && all[0].at.Before(own[0].at) {
			at, wellAll, all = all[0].at, all[0].well, all[1:]
		} else {
			at, wellOwn, own = own[0].at, own[0].well, own[1:]
		}
		if now := wellAll && wellOwn; now != well {
			well = now
			reachable = append(reachable, reach{at, well})
		}
	}
	return reachable
}

// Parts of a trace.
const (
	tracedCalls  = 3                // before the change
	tracedLatest = 6                // after it
	tracedReach  = 30 * time.Second // before the change
)

// trace words what a process did to hear of a change: when discovery could be reached, the process's start
// and its calls, in seconds from the change, up to the first call that was answered after an attempt.
func trace(l *life, all []reach, changed, attempt time.Time) string {
	var b strings.Builder
	at := func(t time.Time) string { return fmt.Sprintf("%+.3f", t.Sub(changed).Seconds()) }
	fmt.Fprintf(&b, "in s from the change: process started %s; discovery", at(l.started))
	for _, r := range all {
		switch {
		case r.at.Before(changed.Add(-tracedReach)) || r.at.After(attempt):
		case r.well:
			fmt.Fprintf(&b, " back %s", at(r.at))
		default:
			fmt.Fprintf(&b, " down %s", at(r.at))
		}
	}
	b.WriteString("; calls")
	for _, c := range tracedOf(l.calls, changed, attempt) {
		fmt.Fprintf(&b, " [%s", at(c.began))
		if !c.silent.IsZero() {
			fmt.Fprintf(&b, " silent %s", at(c.silent))
		}
		if c.how == out {
			b.WriteString(" out]")
		} else {
			fmt.Fprintf(&b, " %s %s]", c.how, at(c.ended))
		}
	}
	return b.String()
}

// tracedOf are the calls that a trace shows.
func tracedOf(calls []*callRecord, changed, attempt time.Time) []*callRecord {
	first := slices.IndexFunc(calls, func(c *callRecord) bool { return c.began.After(changed) })
	if first < 0 {
		first = len(calls)
	}
	last := first
	for last < len(calls) && last-first < tracedLatest {
		last++
		if c := calls[last-1]; c.how == answered && c.ended.After(attempt) {
			break
		}
	}
	return calls[max(0, first-tracedCalls):last]
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
