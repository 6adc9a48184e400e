package listcalls

import (
	"fmt"
	"strings"
	"time"
)

// fleetScenario describes a simulation run of a whole fleet and one list service, in virtual time. A scenario
// always gives the same result. Zero values mean no outage, no restarts, and a service that answers without
// delay and has an unlimited queue.
type fleetScenario struct {
	Proxies      int
	PollInterval time.Duration // as in the settings
	Until        time.Duration // the end of the run
	// UntilReceived ends the run early once all proxies have received all changes.
	UntilReceived bool

	Answer        time.Duration // service time of an answer with the full list
	ChangePart    float64       // fraction of that for an answer with changes, or without any
	FullLists     bool          // changes are answered with the full list
	QueueTimeout  time.Duration // a call that has queued for this long ends with 503; 0: none does
	FreeAbandoned bool          // a call that timed out, or was abandoned in the queue, costs no service time
	QueueLimit    int           // calls that may queue, more are rejected at once; 0: unlimited

	Down   time.Duration // when the service goes down
	Outage time.Duration // for how long; 0: it never goes down
	Hangs  bool          // calls end after QueueTimeout while it is down; else at once

	Changes  []time.Duration // when the list changes, in order
	Restarts []restart
	Traced   int // the proxy whose calls are traced, counted from 1; 0: none
}

// restart is the restart of one proxy's process.
type restart struct {
	Proxy       int
	Killed      time.Duration
	Started     time.Duration
	WithoutList bool // the new process asks for the full list first; else it has the list of the one before
}

// back is when the service is reachable again.
func (p *fleetScenario) back() time.Duration { return p.Down + p.Outage }

// messageDelay is the one-way delay of a message.
const messageDelay = 500 * time.Microsecond

// simulation is a scenario being run.
type simulation struct {
	*fleetScenario
	now         time.Duration
	events      eventQueue
	eventCount  uint64
	processes   []process
	service     listService
	outstanding int // proxies times changes that have not been received
	trace       []string
}

// process is the last process of one proxy.
type process struct {
	calls      *Schedule
	generation int // number of processes that the proxy had before
	up         bool
	started    time.Duration
	since      int             // the version it asks for changes from; 0: it asks for the full list
	pending    *serviceCall    // nil: none
	received   []time.Duration // when each change was received; -1: not yet
}

// serviceCall is one call for the list.
type serviceCall struct {
	proxy, generation, number int
	wait                      time.Duration
	since                     int
	abandoned                 bool // the proxy no longer waits for its end
	stage                     callStage
}

// callStage is the stage of a call at the service.
type callStage uint8

const (
	callInTransit callStage = iota
	callParked              // waits for a change
	callQueued
	callServed
	callEnded
)

// listService is the list service. It answers calls sequentially, in order of arrival.
type listService struct {
	down    bool
	runs    int // how often it went down: work of an earlier run is discarded
	version int
	parked  []*serviceCall
	queue   []*serviceCall
	queued  int           // calls of the queue that have not timed out
	serving *serviceCall  // nil: none
	useful  time.Duration // time spent on answers that a proxy waited for, since the service is back
	wasted  time.Duration // time spent on others, since then
	calls   int           // received since the service is back
	failed  int           // those of them that ended with 503
}

// event is a scheduled event.
type event struct {
	at    time.Duration
	order uint64
	do    func(*simulation, event)
	call  *serviceCall
	proxy int
	n     int // a process's generation, a run of the service, or a version
}

// eventQueue is a heap of events, ordered by time and then by insertion.
type eventQueue []event

func (e eventQueue) before(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e *eventQueue) push(ev event) {
	h := append(*e, ev)
	for i := len(h) - 1; i > 0 && h.before(i, (i-1)/2); i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
	*e = h
}

func (e *eventQueue) pop() event {
	h := *e
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
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

func (f *simulation) add(ev event) {
	f.eventCount++
	ev.order = f.eventCount
	f.events.push(ev)
}

// run runs a scenario to its end.
func (p *fleetScenario) run() *simulation {
	f := &simulation{fleetScenario: p, processes: make([]process, p.Proxies), service: listService{version: 1},
		outstanding: p.Proxies * len(p.Changes)}
	for proxy := range p.Proxies {
		f.add(event{do: (*simulation).start, proxy: proxy, n: 1})
	}
	for _, r := range p.Restarts {
		known := 1
		if r.WithoutList {
			known = 0
		}
		f.add(event{at: r.Killed, do: (*simulation).kill, proxy: r.Proxy})
		f.add(event{at: r.Started, do: (*simulation).start, proxy: r.Proxy, n: known})
	}
	for _, at := range p.Changes {
		f.add(event{at: at, do: (*simulation).change})
	}
	if p.Outage > 0 {
		f.add(event{at: p.Down, do: (*simulation).goDown})
		f.add(event{at: p.back(), do: (*simulation).comeBack})
	}
	for len(f.events) > 0 && f.events[0].at <= p.Until && !f.complete() {
		ev := f.events.pop()
		f.now = ev.at
		ev.do(f, ev)
	}
	return f
}

// complete reports whether the run can end early: all proxies have received all changes.
func (f *simulation) complete() bool {
	return f.UntilReceived && f.now > f.back() && f.outstanding == 0
}

// start starts a process as the reducer does: the schedule determines its first call.
func (f *simulation) start(ev event) {
	p := &f.processes[ev.proxy]
	p.calls = New(Config{Polled: true, PollInterval: f.PollInterval, DrainGrace: 250 * time.Millisecond,
		Index: ev.proxy, Proxies: f.Proxies})
	if p.up, p.started = true, f.now; ev.n == 0 {
		p.since = 0
	}
	p.calls.SetVersionKnown(p.since > 0)
	if p.received == nil {
		p.received = make([]time.Duration, len(f.Changes))
		for i := range p.received {
			p.received[i] = -1
		}
	}
	f.tracef(ev.proxy, "process starts with version %d", p.since)
	f.beginAt(ev.proxy, p.calls.FirstCall(f.now))
}

// kill ends a process: the service sees its connection close.
func (f *simulation) kill(ev event) {
	p := &f.processes[ev.proxy]
	f.tracef(ev.proxy, "process killed")
	p.up, p.pending = false, f.abandon(p.pending)
	p.generation++
}

func (f *simulation) beginAt(proxy int, at time.Duration) {
	f.add(event{at: at, do: (*simulation).begin, proxy: proxy, n: f.processes[proxy].generation})
}

// begin makes a process's next call, if it is still running.
func (f *simulation) begin(ev event) {
	p := &f.processes[ev.proxy]
	if !p.up || p.generation != ev.n {
		return
	}
	if c, ok := p.calls.Begin(f.now); ok {
		f.issue(ev.proxy, c)
	}
}

// issue sends a call to the service and schedules its timeout.
func (f *simulation) issue(proxy int, c Call) {
	p := &f.processes[proxy]
	p.pending = &serviceCall{proxy: proxy, generation: p.generation, number: c.Number, wait: c.Wait,
		since: p.since}
	f.tracef(proxy, "call %d starts, may wait %v, times out after %v", c.Number, c.Wait, c.Deadline-f.now)
	f.add(event{at: f.now + messageDelay, do: (*simulation).arrive, call: p.pending})
	f.add(event{at: c.Deadline, do: (*simulation).expire, call: p.pending})
}

// expire times out a call that is still pending.
func (f *simulation) expire(ev event) {
	if ev.call.abandoned {
		return
	}
	f.tracef(ev.call.proxy, "call %d timed out", ev.call.number)
	if next, ok := f.processes[ev.call.proxy].calls.TimeOut(f.now, ev.call.number); ok {
		f.abandon(ev.call)
		f.issue(ev.call.proxy, next)
	}
}

// abandon marks a call that the proxy no longer waits for.
func (f *simulation) abandon(c *serviceCall) *serviceCall {
	if c != nil {
		c.abandoned = true
		if f.FreeAbandoned {
			f.service.leave(c)
		}
	}
	return nil
}

// failed reports to a process that its call has failed.
func (f *simulation) failed(ev event) {
	if ev.call.abandoned {
		return
	}
	ev.call.abandoned = true
	next := f.processes[ev.call.proxy].calls.Failed(f.now)
	f.tracef(ev.call.proxy, "call %d failed, the next one comes after %v", ev.call.number, next-f.now)
	f.beginAt(ev.call.proxy, next)
}

// answered reports the answer of a call to its process: all changes up to a version.
func (f *simulation) answered(ev event) {
	if ev.call.abandoned {
		return
	}
	ev.call.abandoned = true
	p := &f.processes[ev.call.proxy]
	for i, at := range p.received {
		if at < 0 && ev.n >= i+2 {
			p.received[i] = f.now
			f.outstanding--
		}
	}
	a := Answer{Full: f.isFull(ev.call), Unchanged: ev.n == ev.call.since, VersionKnown: true}
	p.since = ev.n
	next := p.calls.Answered(f.now, a)
	f.tracef(ev.call.proxy, "call %d answered with version %d, the next one comes after %v",
		ev.call.number, ev.n, next-f.now)
	f.beginAt(ev.call.proxy, next)
}

// tracef records an event of the traced proxy.
func (f *simulation) tracef(proxy int, format string, args ...any) {
	if f.Traced == proxy+1 {
		f.trace = append(f.trace, fmt.Sprintf("%9.3f s  ", f.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// isFull reports whether a call is answered with the full list.
func (f *simulation) isFull(c *serviceCall) bool {
	return c.since == 0 || f.FullLists && c.since != f.service.version
}

// arrive handles a call that reaches the service: it waits for a change, or queues.
func (f *simulation) arrive(ev event) {
	c, s := ev.call, &f.service
	if c.abandoned {
		return
	}
	if f.now >= f.back() {
		s.calls++
	}
	switch {
	case s.down:
		f.refuse(c)
	case c.wait > 0 && c.since == s.version:
		c.stage = callParked
		s.parked = append(s.parked, c)
		f.add(event{at: f.now + c.wait, do: (*simulation).waited, call: c})
	default:
		f.enqueue(c)
	}
}

// refuse fails a call at a service that is down.
func (f *simulation) refuse(c *serviceCall) {
	c.stage = callEnded
	if f.Hangs {
		f.add(event{at: f.now + f.QueueTimeout, do: (*simulation).hung, call: c})
		return
	}
	f.fail(c)
}

// hung fails a call that a service that was down has held for QueueTimeout.
func (f *simulation) hung(ev event) { f.fail(ev.call) }

// fail ends a call with 503.
func (f *simulation) fail(c *serviceCall) {
	if f.now >= f.back() {
		f.service.failed++
	}
	c.stage = callEnded
	f.add(event{at: f.now + messageDelay, do: (*simulation).failed, call: c})
}

// waited queues a call whose wait is over.
func (f *simulation) waited(ev event) {
	if ev.call.stage == callParked && !ev.call.abandoned {
		f.enqueue(ev.call)
	}
}

// change changes the list: all watches end.
func (f *simulation) change(event) {
	f.service.version++
	parked := f.service.parked
	f.service.parked = nil
	for _, c := range parked {
		if c.stage == callParked && !c.abandoned {
			f.enqueue(c)
		}
	}
}

// enqueue queues a call, or rejects it where the queue is full.
func (f *simulation) enqueue(c *serviceCall) {
	s := &f.service
	if f.QueueLimit > 0 && s.queued >= f.QueueLimit {
		f.fail(c)
		return
	}
	c.stage = callQueued
	s.queue = append(s.queue, c)
	s.queued++
	if f.QueueTimeout > 0 {
		f.add(event{at: f.now + f.QueueTimeout, do: (*simulation).timeOut, call: c})
	}
	f.work()
}

// timeOut fails a call that has queued for too long.
func (f *simulation) timeOut(ev event) {
	if ev.call.stage != callQueued {
		return
	}
	if f.FreeAbandoned {
		f.service.leave(ev.call)
	}
	f.fail(ev.call)
}

// leave removes a call from the queue, so that it costs no service time.
func (s *listService) leave(c *serviceCall) {
	if c.stage == callQueued {
		c.stage = callEnded
		s.queued--
	}
}

// work starts to serve the next call of the queue, if none is being served. A call that ended in the queue
// costs service time unless leave has removed it.
func (f *simulation) work() {
	s := &f.service
	for s.serving == nil && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		if f.FreeAbandoned && c.stage != callQueued {
			continue
		}
		s.queued--
		if c.stage == callQueued {
			c.stage = callServed
		}
		s.serving = c
		f.add(event{at: f.now + f.cost(c), do: (*simulation).worked, call: c, n: s.runs})
	}
}

// cost is the service time of a call.
func (f *simulation) cost(c *serviceCall) time.Duration {
	if f.isFull(c) {
		return f.Answer
	}
	return time.Duration(f.ChangePart * float64(f.Answer))
}

// worked ends the service of a call, with an answer if the proxy still waits for it.
func (f *simulation) worked(ev event) {
	c, s := ev.call, &f.service
	if ev.n != s.runs {
		return
	}
	s.serving = nil
	useful := c.stage == callServed && !c.abandoned
	if f.now >= f.back() {
		s.count(f.cost(c), useful)
	}
	if c.stage = callEnded; useful {
		f.add(event{at: f.now + messageDelay, do: (*simulation).answered, call: c, n: s.version})
	}
	f.work()
}

// count adds up service time.
func (s *listService) count(cost time.Duration, useful bool) {
	if useful {
		s.useful += cost
	} else {
		s.wasted += cost
	}
}

// goDown takes the service down: watches break, and calls that queue or are being served fail.
func (f *simulation) goDown(event) {
	s := &f.service
	parked, queue := s.parked, s.queue
	if s.serving != nil {
		queue = append(queue, s.serving)
	}
	s.parked, s.queue, s.queued, s.serving = nil, nil, 0, nil
	s.down = true
	s.runs++
	for _, c := range parked {
		if c.stage == callParked && !c.abandoned {
			f.fail(c)
		}
	}
	for _, c := range queue {
		if c.stage != callEnded {
			f.refuse(c)
		}
	}
}

// comeBack ends the outage.
func (f *simulation) comeBack(event) { f.service.down = false }

// lateness summarizes when the running proxies received the changes of a run. The delay of a change
// starts when the service has the change and is reachable, and the process is running.
type lateness struct {
	Total   int           // running proxies, times changes
	Late    int           // those that were received later than NotifiedAfter
	Behind  int           // proxies with at least one of those
	Sum     time.Duration // of the time beyond NotifiedAfter
	Longest time.Duration // the longest delay; up to the end of the run where a change was not received
	Proxy   int           // whose delay that was
	At      time.Duration // when that change was received
}

// lateness summarizes a run that has ended.
func (f *simulation) lateness() (l lateness) {
	for proxy := range f.processes {
		p := &f.processes[proxy]
		if !p.up {
			continue
		}
		lateBefore := l.Late
		for i, at := range p.received {
			if at < 0 {
				at = f.Until
			}
			delay := at - max(f.Changes[i], f.available(f.Changes[i]), p.started)
			l.add(delay, at, proxy)
		}
		if l.Late > lateBefore {
			l.Behind++
		}
	}
	return l
}

// available is when the service could first return a change.
func (f *simulation) available(changed time.Duration) time.Duration {
	if f.Outage > 0 && changed >= f.Down-NotifiedAfter && changed < f.back() {
		return f.back()
	}
	return changed
}

func (l *lateness) add(delay, at time.Duration, proxy int) {
	l.Total++
	if delay > NotifiedAfter {
		l.Late++
		l.Sum += delay - NotifiedAfter
	}
	if delay > l.Longest {
		l.Longest, l.At, l.Proxy = delay, at, proxy
	}
}

// traceLines is the number of trace lines that a failure shows.
const traceLines = 12

// traceOf runs a scenario once more and returns the last trace lines of one proxy before a time.
func traceOf(p fleetScenario, proxy int, until time.Duration) string {
	p.Traced, p.Until = proxy+1, until
	lines := p.run().trace
	return strings.Join(lines[max(0, len(lines)-traceLines):], "\n")
}
