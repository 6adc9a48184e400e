package listcalls

import (
	"fmt"
	"strings"
	"time"
)

// fleetPlay describes one play of a whole fleet against one list service, in virtual time. The same
// description always gives the same result. Zero values mean: no outage, no restart, a service that answers
// in no time and whose queue has no bound.
type fleetPlay struct {
	Proxies int
	Every   time.Duration // the settings' time for asking
	Until   time.Duration // the end of the play
	// UntilHeard: it ends earlier where all proxies have been answered with all changes
	UntilHeard bool

	Answer     time.Duration // what an answer with the whole list costs the service
	ChangePart float64       // of that for an answer with changes, or without news
	Whole      bool          // news come as whole lists
	TimeOut    time.Duration // a call whose turn has not come by then ends with 503; 0: none does
	Unpaid     bool          // a call that timed out or was given up in the queue costs no work
	Queue      int           // calls that may wait for their turn, more are turned away at once; 0: any number

	Down    time.Duration // the service goes down then
	DownFor time.Duration // for so long; 0: never
	Hangs   bool          // while it is down calls end after TimeOut; else at once

	Changes  []time.Duration // when the list changes, in order
	Restarts []fleetRestart
	Follow   int // the proxy whose calls are traced, counted from 1; 0: none
}

// fleetRestart is one proxy's process that is killed and started anew.
type fleetRestart struct {
	Proxy       int
	Killed      time.Duration
	Started     time.Duration
	KnowsNoList bool // the new process asks for the whole list first; else it knows the list of the one before
}

// back is when the service can be reached again.
func (p *fleetPlay) back() time.Duration { return p.Down + p.DownFor }

// fleetWay is how long a message takes one way.
const fleetWay = 500 * time.Microsecond

// fleet is a play as it goes on.
type fleet struct {
	*fleetPlay
	now       time.Duration
	events    fleetEvents
	added     uint64
	processes []fleetProcess
	service   fleetService
	unheard   int // proxies times changes of which they were not answered with
	trace     []string
}

// fleetProcess is the process of one proxy that runs now, or ran last.
type fleetProcess struct {
	calls   *Schedule
	life    int // how many processes the proxy had before
	up      bool
	started time.Duration
	since   int             // the version that it asks from; 0: it asks for the whole list
	out     *fleetCall      // the call that is out
	heard   []time.Duration // when it was answered with each change, -1: not yet
}

// fleetCall is one call for the list.
type fleetCall struct {
	proxy, life, number int
	wait                time.Duration
	since               int
	over                bool // nobody waits for its end any more
	at                  callStage
}

// callStage is where a call stands at the service.
type callStage uint8

const (
	callOnItsWay callStage = iota
	callParked
	callQueued
	callServed
	callEnded
)

// fleetService is the one list service. It answers one call after the other, first come first served.
type fleetService struct {
	down    bool
	runs    int // how often it went down: work of an earlier run comes to nothing
	version int
	parked  []*fleetCall
	queue   []*fleetCall
	queued  int           // calls of the queue whose time is not out
	serving *fleetCall    // what is worked on; nil: nothing
	useful  time.Duration // worked on answers for which somebody waited, since the service is back
	wasted  time.Duration // worked on others
	calls   int           // that came in since the service is back
	failed  int           // of these that ended with 503
}

// fleetEvent is something that is due.
type fleetEvent struct {
	at    time.Duration
	order uint64
	do    func(*fleet, fleetEvent)
	call  *fleetCall
	proxy int
	n     int // a process's life, a run of the service, or a version
}

// fleetEvents is a heap of what is due, in order of time; of what is due at once, what was added first.
type fleetEvents []fleetEvent

func (e fleetEvents) before(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e *fleetEvents) push(ev fleetEvent) {
	h := append(*e, ev)
	for i := len(h) - 1; i > 0 && h.before(i, (i-1)/2); i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
	*e = h
}

func (e *fleetEvents) pop() fleetEvent {
	h := *e
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], fleetEvent{}
	h = h[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if h.before(child, least) {
				least = child
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	*e = h
	return first
}

func (f *fleet) add(ev fleetEvent) {
	f.added++
	ev.order = f.added
	f.events.push(ev)
}

// run plays a description to its end.
func (p *fleetPlay) run() *fleet {
	f := &fleet{fleetPlay: p, processes: make([]fleetProcess, p.Proxies), service: fleetService{version: 1},
		unheard: p.Proxies * len(p.Changes)}
	for me := range p.Proxies {
		f.add(fleetEvent{do: (*fleet).start, proxy: me, n: 1})
	}
	for _, r := range p.Restarts {
		known := 1
		if r.KnowsNoList {
			known = 0
		}
		f.add(fleetEvent{at: r.Killed, do: (*fleet).kill, proxy: r.Proxy})
		f.add(fleetEvent{at: r.Started, do: (*fleet).start, proxy: r.Proxy, n: known})
	}
	for _, at := range p.Changes {
		f.add(fleetEvent{at: at, do: (*fleet).change})
	}
	if p.DownFor > 0 {
		f.add(fleetEvent{at: p.Down, do: (*fleet).fall})
		f.add(fleetEvent{at: p.back(), do: (*fleet).rise})
	}
	for len(f.events) > 0 && f.events[0].at <= p.Until && !f.settled() {
		ev := f.events.pop()
		f.now = ev.at
		ev.do(f, ev)
	}
	return f
}

// settled tells whether a play has shown all: each proxy was answered with each change.
func (f *fleet) settled() bool {
	return f.UntilHeard && f.now > f.back() && f.unheard == 0
}

// start begins a process, as the reducer does: its first call follows in the schedule's time.
func (f *fleet) start(ev fleetEvent) {
	p := &f.processes[ev.proxy]
	p.calls = New(Config{Polled: true, PollInterval: f.Every, DrainGrace: 250 * time.Millisecond,
		Index: ev.proxy, Proxies: f.Proxies})
	if p.up, p.started = true, f.now; ev.n == 0 {
		p.since = 0
	}
	p.calls.SetVersionKnown(p.since > 0)
	if p.heard == nil {
		p.heard = make([]time.Duration, len(f.Changes))
		for i := range p.heard {
			p.heard[i] = -1
		}
	}
	f.tracef(ev.proxy, "process starts, knows version %d", p.since)
	f.beginAt(ev.proxy, p.calls.FirstCall(f.now))
}

// kill ends a process: the service sees its connection close.
func (f *fleet) kill(ev fleetEvent) {
	p := &f.processes[ev.proxy]
	f.tracef(ev.proxy, "process is killed")
	p.up, p.out = false, f.abandon(p.out)
	p.life++
}

func (f *fleet) beginAt(proxy int, at time.Duration) {
	f.add(fleetEvent{at: at, do: (*fleet).begin, proxy: proxy, n: f.processes[proxy].life})
}

// begin makes a process's next call, if it still runs.
func (f *fleet) begin(ev fleetEvent) {
	p := &f.processes[ev.proxy]
	if !p.up || p.life != ev.n {
		return
	}
	if c, ok := p.calls.Begin(f.now); ok {
		f.issue(ev.proxy, c)
	}
}

// issue sends a call to the service, and has it given up in time.
func (f *fleet) issue(proxy int, c Call) {
	p := &f.processes[proxy]
	p.out = &fleetCall{proxy: proxy, life: p.life, number: c.Number, wait: c.Wait, since: p.since}
	f.tracef(proxy, "call %d begins, may wait %v, is given up after %v", c.Number, c.Wait, c.Deadline-f.now)
	f.add(fleetEvent{at: f.now + fleetWay, do: (*fleet).arrive, call: p.out})
	f.add(fleetEvent{at: c.Deadline, do: (*fleet).giveUp, call: p.out})
}

// giveUp has a call fall silent that is still out.
func (f *fleet) giveUp(ev fleetEvent) {
	if ev.call.over {
		return
	}
	f.tracef(ev.call.proxy, "call %d is given up", ev.call.number)
	if next, ok := f.processes[ev.call.proxy].calls.TimeOut(f.now, ev.call.number); ok {
		f.abandon(ev.call)
		f.issue(ev.call.proxy, next)
	}
}

// abandon marks a call that nobody waits for any more.
func (f *fleet) abandon(c *fleetCall) *fleetCall {
	if c != nil {
		c.over = true
		if f.Unpaid {
			f.service.leave(c)
		}
	}
	return nil
}

// failed tells a process that its call has failed.
func (f *fleet) failed(ev fleetEvent) {
	if ev.call.over {
		return
	}
	ev.call.over = true
	next := f.processes[ev.call.proxy].calls.Failed(f.now)
	f.tracef(ev.call.proxy, "call %d has failed, the next one comes after %v", ev.call.number, next-f.now)
	f.beginAt(ev.call.proxy, next)
}

// answered tells a process what its call has brought: all up to a version.
func (f *fleet) answered(ev fleetEvent) {
	if ev.call.over {
		return
	}
	ev.call.over = true
	p := &f.processes[ev.call.proxy]
	for i, at := range p.heard {
		if at < 0 && ev.n >= i+2 {
			p.heard[i] = f.now
			f.unheard--
		}
	}
	a := Answer{Full: f.whole(ev.call), Unchanged: ev.n == ev.call.since, VersionKnown: true}
	p.since = ev.n
	next := p.calls.Answered(f.now, a)
	f.tracef(ev.call.proxy, "call %d is answered with version %d, the next one comes after %v",
		ev.call.number, ev.n, next-f.now)
	f.beginAt(ev.call.proxy, next)
}

// tracef notes what befalls the proxy that is followed.
func (f *fleet) tracef(proxy int, format string, args ...any) {
	if f.Follow == proxy+1 {
		f.trace = append(f.trace, fmt.Sprintf("%9.3f s  ", f.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// whole tells whether a call is answered with the whole list.
func (f *fleet) whole(c *fleetCall) bool {
	return c.since == 0 || f.Whole && c.since != f.service.version
}

// arrive takes in a call: it waits for news, or for its turn.
func (f *fleet) arrive(ev fleetEvent) {
	c, s := ev.call, &f.service
	if c.over {
		return
	}
	if f.now >= f.back() {
		s.calls++
	}
	switch {
	case s.down:
		f.refuse(c)
	case c.wait > 0 && c.since == s.version:
		c.at = callParked
		s.parked = append(s.parked, c)
		f.add(fleetEvent{at: f.now + c.wait, do: (*fleet).waited, call: c})
	default:
		f.enqueue(c)
	}
}

// refuse fails a call that a service that is down has got.
func (f *fleet) refuse(c *fleetCall) {
	c.at = callEnded
	if f.Hangs {
		f.add(fleetEvent{at: f.now + f.TimeOut, do: (*fleet).hung, call: c})
		return
	}
	f.fail(c)
}

// hung fails a call that a service that was down has held until its time was out.
func (f *fleet) hung(ev fleetEvent) { f.fail(ev.call) }

// fail ends a call with 503.
func (f *fleet) fail(c *fleetCall) {
	if f.now >= f.back() {
		f.service.failed++
	}
	c.at = callEnded
	f.add(fleetEvent{at: f.now + fleetWay, do: (*fleet).failed, call: c})
}

// waited answers a call whose wait is over.
func (f *fleet) waited(ev fleetEvent) {
	if ev.call.at == callParked && !ev.call.over {
		f.enqueue(ev.call)
	}
}

// change is news: all watches end.
func (f *fleet) change(fleetEvent) {
	f.service.version++
	parked := f.service.parked
	f.service.parked = nil
	for _, c := range parked {
		if c.at == callParked && !c.over {
			f.enqueue(c)
		}
	}
}

// enqueue has a call wait for its turn.
func (f *fleet) enqueue(c *fleetCall) {
	s := &f.service
	if f.Queue > 0 && s.queued >= f.Queue {
		f.fail(c)
		return
	}
	c.at = callQueued
	s.queue = append(s.queue, c)
	s.queued++
	if f.TimeOut > 0 {
		f.add(fleetEvent{at: f.now + f.TimeOut, do: (*fleet).timeOut, call: c})
	}
	f.work()
}

// timeOut fails a call whose turn has not come in time.
func (f *fleet) timeOut(ev fleetEvent) {
	if ev.call.at != callQueued {
		return
	}
	if f.Unpaid {
		f.service.leave(ev.call)
	}
	f.fail(ev.call)
}

// leave takes a call out of the queue that costs no work any more.
func (s *fleetService) leave(c *fleetCall) {
	if c.at == callQueued {
		c.at = callEnded
		s.queued--
	}
}

// work begins on the next call of the queue, if nothing is worked on. One that was ended while it waited
// costs its work where leave did not take it out.
func (f *fleet) work() {
	s := &f.service
	for s.serving == nil && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		if f.Unpaid && c.at != callQueued {
			continue
		}
		s.queued--
		if c.at == callQueued {
			c.at = callServed
		}
		s.serving = c
		f.add(fleetEvent{at: f.now + f.cost(c), do: (*fleet).worked, call: c, n: s.runs})
	}
}

// cost is what an answer to a call costs the service.
func (f *fleet) cost(c *fleetCall) time.Duration {
	if f.whole(c) {
		return f.Answer
	}
	return time.Duration(f.ChangePart * float64(f.Answer))
}

// worked ends the work on a call, with an answer if somebody waits for it.
func (f *fleet) worked(ev fleetEvent) {
	c, s := ev.call, &f.service
	if ev.n != s.runs {
		return
	}
	s.serving = nil
	useful := c.at == callServed && !c.over
	if f.now >= f.back() {
		s.count(f.cost(c), useful)
	}
	if c.at = callEnded; useful {
		f.add(fleetEvent{at: f.now + fleetWay, do: (*fleet).answered, call: c, n: s.version})
	}
	f.work()
}

// count adds up what the service worked on.
func (s *fleetService) count(cost time.Duration, useful bool) {
	if useful {
		s.useful += cost
	} else {
		s.wasted += cost
	}
}

// fall takes the service down: watches break, and calls that wait for their turn, or have it, fail.
func (f *fleet) fall(fleetEvent) {
	s := &f.service
	parked, queue := s.parked, s.queue
	if s.serving != nil {
		queue = append(queue, s.serving)
	}
	s.parked, s.queue, s.queued, s.serving = nil, nil, 0, nil
	s.down = true
	s.runs++
	for _, c := range parked {
		if c.at == callParked && !c.over {
			f.fail(c)
		}
	}
	for _, c := range queue {
		if c.at != callEnded {
			f.refuse(c)
		}
	}
}

// rise has the service answer again.
func (f *fleet) rise(fleetEvent) { f.service.down = false }

// lateness is how late the proxies that live were answered with the changes of a play: for each change, how
// long after the service had it, could be reached and the process ran.
type lateness struct {
	Pairs  int           // proxies that live, times changes
	Late   int           // pairs of which the answer came later than NewsBy
	Behind int           // proxies with such a pair
	Sum    time.Duration // by which these were late, in all
	Most   time.Duration // the longest time to an answer, up to the end of the play for who got none
	Proxy  int           // whose time that was,
	At     time.Duration // and when it was answered
}

// lateness measures a play that has ended. A new process's time begins with its start.
func (f *fleet) lateness() (l lateness) {
	for me := range f.processes {
		p := &f.processes[me]
		if !p.up {
			continue
		}
		late := l.Late
		for i, at := range p.heard {
			if at < 0 {
				at = f.Until
			}
			took := at - max(f.Changes[i], f.reached(f.Changes[i]), p.started)
			l.add(took, at, me)
		}
		if l.Late > late {
			l.Behind++
		}
	}
	return l
}

// reached is when a change could first be had from the service.
func (f *fleet) reached(changed time.Duration) time.Duration {
	if f.DownFor > 0 && changed >= f.Down-NotifiedAfter && changed < f.back() {
		return f.back()
	}
	return changed
}

func (l *lateness) add(took, at time.Duration, proxy int) {
	l.Pairs++
	if took > NotifiedAfter {
		l.Late++
		l.Sum += took - NotifiedAfter
	}
	if took > l.Most {
		l.Most, l.At, l.Proxy = took, at, proxy
	}
}

// traceLines bounds what a failure shows of one proxy.
const traceLines = 12

// traceOf plays a description once more and returns what befell one proxy last before a moment.
func traceOf(p fleetPlay, proxy int, until time.Duration) string {
	p.Follow, p.Until = proxy+1, until
	lines := p.run().trace
	return strings.Join(lines[max(0, len(lines)-traceLines):], "\n")
}
