// Package legs is the proxy's sockets: it turns bytes into the reducer's events and carries
// out the effects that the reducer asks for. One goroutine runs the reducer and never waits
// for a socket; reading, writing and dialing happen round it, on netpoll.
package legs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/admin"
	"lilacglade/internal/http1"
	"lilacglade/internal/peers"
	"lilacglade/internal/proxystate"
	"lilacglade/internal/serverlist"
	"lilacglade/internal/settings"
)

// Descriptors are budgeted apart, so that neither side can starve the other: some stay for
// the listener, the poller and discovery, and of the rest callers get these parts.
const (
	spareSockets = 40
	callerParts  = 5
	hopParts     = 3
)

// idleParts of the keep-alive limit: an idle leg to a next hop is closed after one of them,
// well before the other side closes it under a request's hands.
const idleParts = 4

// continueWithin is how long a caller may take to read the leave to send its body.
const continueWithin = 10 * time.Second

// heldWhileBusy bounds what a caller may send ahead while its request is being worked on: some
// requests without much of a body.
const heldWhileBusy = http1.MaxHead

// mostEarly bounds the 1xx answers before the one that counts.
const mostEarly = 8

// recvBuffer is what the kernel keeps for a leg that is not read from. netpoll's own buffers grow with
// what it finds there at a time.
const recvBuffer = http1.MaxBody

type proxy struct {
	set settings.Settings
	clock
	inbox    *inbox
	state    *proxystate.State
	servers  *serverlist.Set
	watcher  *watcher
	listener *listener
	callers  map[proxystate.LegID]*leg
	hops     map[proxystate.LegID]*leg
	timer    *time.Timer
	door     *admin.Door // nil: operators can't call
	passed   bool        // the listening socket is shared with other processes of this proxy
	serve    func()      // begins to take connections; nil once that is done
	saver    *saver      // nil: nothing is handed over
	windows  windows
	limits   settings.Limits
	stale    time.Duration // until then classes that were dropped are taken
	done     bool
	peers    *peers.Node // nil: it talks to no other proxy
	loads    loads
	observed observer
}

// budget gives callers and next hops their parts of the descriptors.
func budget(l settings.Limits) (callers, hops int) {
	sockets := l.Sockets - spareSockets
	return sockets * callerParts / (callerParts + hopParts), sockets * hopParts / (callerParts + hopParts)
}

// Load is the outcome of reading a new configuration.
type Load struct {
	Node settings.Node
	Err  error // why it was turned down; nothing of it counts then
}

// Serve runs the proxy until ctx ends and all it has taken is answered. What comes from reloads
// is a new configuration. Trace may be nil.
func Serve(ctx context.Context, node settings.Node, reloads <-chan Load,
	trace proxystate.Tracer) error {
	return ServeBy(ctx, node, reloads, Options{Trace: trace})
}

// Options are what a proxy may have besides.
type Options struct {
	Decider proxystate.Decider // in place of the decision module; nil: the module
	Trace   proxystate.Tracer  // nil: none
	Peers   *peers.Config      // nil: it talks to no other proxy
}

// ServeBy runs the proxy with options.
func ServeBy(ctx context.Context, node settings.Node, reloads <-chan Load, o Options) error {
	p := &proxy{set: node.Settings, clock: startClock(), inbox: newInbox(),
		callers: map[proxystate.LegID]*leg{}, hops: map[proxystate.LegID]*leg{}, timer: time.NewTimer(0),
		observed: newObserver()}
	p.servers = serverlist.New(p.set.ZoneNames, p.set.KindNames, p.epoch())
	callers, hops := budget(node.Limits)
	var err error
	p.passed = node.Passed != ""
	p.windows = newWindows(int64(node.Limits.MemoryMB) << 20)
	cfg := proxystate.Config{Settings: p.set.Settings, Seed: node.Seed,
		MaxCallers: calm(callers), MaxHops: hops, IdleHops: p.set.KeepAlive / idleParts,
		Discovery: node.Discovery, Decider: o.Decider, Trace: o.Trace, Work: o.Peers != nil,
		Figures: node.Admin != "" || o.Peers != nil}
	if p.passed || !p.set.AskForList {
		cfg.Confirm = p.now() + confirmWithin
	}
	if p.passed {
		cfg.Overlap = p.now() + overlapFor
	}
	p.state, err = proxystate.New(cfg)
	if err != nil {
		return err
	}
	if o.Peers != nil {
		if err := p.join(*o.Peers, node); err != nil {
			return err
		}
	}
	if node.Admin != "" {
		p.door = new(admin.Door)
		if p.peers != nil {
			p.door.Work = p.peers.Work
		}
		if err := p.door.Listen(node.Admin); err != nil {
			return err
		}
	}
	bare, err := listen(node)
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(bare.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, recvBuffer); err != nil {
		log.Printf("the listening socket keeps its own buffer: %v", err) // no reason not to serve
	}
	ln := newListener(bare, callers)
	p.listener, p.limits = ln, node.Limits
	p.confined()
	if p.passed {
		time.AfterFunc(overlapFor, func() { p.inbox.post(alone{}) })
	}
	loop, err := netpoll.NewEventLoop(onRequest, netpoll.WithOnPrepare(p.accept(ln)))
	if err != nil {
		return err
	}
	p.serve = func() {
		p.serve = nil
		go func() { p.inbox.post(failed{loop.Serve(ln)}) }()
	}
	go func() {
		<-ctx.Done()
		p.inbox.post(stopping{})
	}()
	go func() {
		for l := range reloads {
			p.inbox.post(reloaded{l})
		}
	}()
	if !p.takeOver(node) && !p.know(node.Known) {
		// Guards against a process that never asks, since it was never told anything.
		p.step(proxystate.ListTold{List: lg.List{Kind: lg.CachedList}, Whole: true})
	}
	log.Printf("%s serves on %s", node.Name, node.Listen)
	err = p.run()
	if p.peers != nil {
		p.peers.Leave()
	}
	return err
}

type legKey struct{}

// accept returns netpoll's hook for a new connection.
func (p *proxy) accept(ln *listener) netpoll.OnPrepare {
	var last atomic.Uint64
	return func(conn netpoll.Connection) context.Context {
		ln.open.Add(1)
		g := &leg{id: proxystate.LegID(last.Add(1)), caller: true, inbox: p.inbox, clock: p.clock,
			waited: ln.since, taken: time.Now()}
		g.attach(conn, func() { ln.open.Add(-1) })
		p.inbox.post(accepted{g})
		return context.WithValue(context.Background(), legKey{}, g)
	}
}

func onRequest(ctx context.Context, conn netpoll.Connection) error {
	return ctx.Value(legKey{}).(*leg).onRequest(ctx, conn)
}

// run is the reducer's goroutine.
func (p *proxy) run() error {
	var items []any
	for !p.done {
		if p.serve != nil && p.takes() {
			p.serve()
		}
		p.save()
		select {
		case <-p.inbox.wake:
		case <-p.timer.C:
			p.step(proxystate.Woken{})
		}
		items = p.inbox.take(items)
		for _, item := range items {
			if f, ok := item.(failed); ok && !p.listener.closed.Load() {
				return fmt.Errorf("listen: %w", f.err)
			}
			p.take(item)
		}
		clear(items)
	}
	return nil
}

// take turns an item into the reducer's events.
func (p *proxy) take(item any) {
	switch item := item.(type) {
	case accepted:
		p.callers[item.leg.id] = item.leg
		p.step(proxystate.CallerOpened{Leg: item.leg.id})
	case bytesIn:
		g := item.leg
		g.unread.Add(-int64(len(item.data)))
		if item.pulled {
			g.pulling = false
		}
		if g.parted {
			return
		}
		g.parser.Feed(item.data)
		g.read, g.late = item.read, max(g.late, item.late)
		p.read(g, item.cut)
	case detached:
		g := item.leg
		g.isRaw = true
		switch {
		case g.shut:
			g.close()
		case g.parted:
			go g.drain()
		default:
			p.read(g, false)
		}
	case whole:
		item.flow.ended = true
		p.step(proxystate.CallerWhole{Leg: item.flow.from.id, Read: p.at(item.read)})
	case spoilt:
		answer := unreadable(item.leg.id, item.err)
		p.step(proxystate.CallerSpoilt{Leg: item.leg.id, Payload: answer.Payload, Slow: errors.Is(item.err,
			os.ErrDeadlineExceeded)})
	case unfit:
		p.step(proxystate.HopUnfit{Leg: item.leg.id})
	case unsent:
		item.leg.busy, item.leg.flow = false, nil
		p.step(proxystate.HopUnsent{Leg: item.leg.id})
	case left:
		p.step(proxystate.CallerClosed{Leg: item.leg.id})
	case broken:
		p.broke(item.leg, item.reset)
	case written:
		g := item.leg
		if item.flow != nil {
			p.passedOn(item)
			return
		}
		if !g.caller {
			p.step(proxystate.HopWritten{Leg: g.id, OK: item.err == nil})
			return
		}
		g.busy = false
		g.asking.Store(false)
		p.observed.unanswered(g, item.err, p.now())
		p.step(proxystate.CallerWritten{Leg: g.id, OK: item.err == nil})
		p.read(g, false)
	case dialed:
		g := item.leg
		if g.parted { // closed while it was being opened
			if item.conn != nil {
				_ = item.conn.Close()
			}
			return
		}
		ok := item.conn != nil && g.open(item.conn)
		if !ok {
			delete(p.hops, g.id)
		}
		p.step(proxystate.HopDialed{Leg: g.id, OK: ok, Local: item.local})
	case document:
		if item.from == p.watcher {
			p.told(item)
		} else if p.watcher != nil && item.from.address == p.watcher.address {
			p.toldLate(item)
		}
	case reloaded:
		n := item.load.Node
		if item.load.Err != nil {
			log.Printf("reload: %v; the configuration stays as it was", item.load.Err)
			p.step(proxystate.ReloadFailed{})
			return
		}
		log.Printf("a new configuration: discovery at %s", n.Discovery)
		known := p.retune(n.Settings)
		p.limits = n.Limits
		p.confined()
		callers, hops := budget(n.Limits)
		p.listener.most.Store(int64(callers))
		p.step(proxystate.Reloaded{Settings: &p.set.Settings, Discovery: n.Discovery,
			MaxCallers: calm(callers), MaxHops: hops})
		if known != nil {
			p.know(known)
		}
	case settled:
		p.step(proxystate.Settled{Facts: item.facts, Own: item.own})
	case easing:
		if !item.leg.parted && !item.leg.busy && item.leg.quiet() {
			p.step(proxystate.CallerQuiet{Leg: item.leg.id})
		}
	case allTold:
		p.step(proxystate.CallersTold{})
	case alone:
		p.confined()
	case stopping:
		p.listener.closed.Store(p.passed) // where nobody else takes them, callers still come for a while
		p.confined()
		p.step(proxystate.Stopping{})
	}
}

// readCaller looks for the next request on a caller leg. Requests are taken one at a time. Cut
// says that the caller had sent more than is read ahead.
func (p *proxy) readCaller(g *leg, cut bool) {
	if g.parted {
		return
	}
	if g.busy {
		// Guards against a caller that sends on and on without waiting for answers. What it asked
		// first is still answered.
		if cut || g.parser.Held() > heldWhileBusy {
			g.deaf.Store(true)
			p.step(proxystate.CallerFlooding{Leg: g.id})
		}
		return
	}
	m, err := g.parser.Next()
	if err != nil || m != nil || cut {
		g.busy = true
		g.asking.Store(true)
	}
	switch {
	case err != nil:
		p.step(unreadable(g.id, err))
	case m != nil:
		p.ask(g, m)
		p.readCaller(g, cut)
	case cut:
		p.step(unreadable(g.id, http1.ErrBodySize))
	case g.parser.Partial():
		if g.parser.WantsContinue() {
			g.write(job{bufs: http1.Continue(), by: p.now() + continueWithin})
		}
		if g.parser.Large() && g.isRaw {
			p.upload(g)
			return
		}
		if g.parser.Head() && g.headAt.IsZero() {
			g.headAt = g.read
		}
		ev := proxystate.CallerReading{Leg: g.id}
		if !g.headAt.IsZero() {
			ev.Took = time.Duration(g.parser.Came()) * time.Second / uploadRate
			ev.By = p.at(g.headAt) + uploadGrace + ev.Took
		}
		p.step(ev)
		if g.parser.Large() {
			g.pause(false)
		}
	}
}

// ask brings a whole request.
func (p *proxy) ask(g *leg, m *http1.Message) {
	g.old, g.headAt = m.Old, time.Time{}
	m.Close = m.Close || m.Old
	p.step(p.asked(g, m))
}

// asked words a request's event. Guards against refusing what was on its way when its class was dropped.
func (p *proxy) asked(g *leg, m *http1.Message) proxystate.Event {
	read := p.at(g.read)
	ev := asked(&p.set, read < p.stale, g.id, m, read-g.late)
	g.late = 0
	if ask, ok := ev.(proxystate.CallerAsked); ok {
		g.asked = ask.Name
	}
	return ev
}

// upload begins to pass on a request whose body is large.
func (p *proxy) upload(g *leg) {
	g.busy = true
	g.asking.Store(true)
	m, body, rest := g.parser.Stream()
	if body.Done { // all of it had been read before reading could be paused
		g.parser.Feed(bytes.Clone(rest))
		p.ask(g, m)
		return
	}
	closes := m.Close || m.Old
	m.Close = true // nothing that is answered before its end can be followed by another request
	g.old, g.headAt = m.Old, time.Time{}
	ev := p.asked(g, m)
	if ask, ok := ev.(proxystate.CallerAsked); ok {
		f := &flow{m: m, from: g, length: body.Known(), windows: p.windows, upload: true, body: body}
		g.streaming = true
		left := f.length - body.Came()
		if f.length < 0 {
			left = http1.MaxLarge
		}
		ask.Stream, ask.May, ask.Last, ask.Payload = true, ask.Deadline-p.at(g.read), closes, f
		ask.Deadline += uploadGrace + time.Duration(left)*time.Second/uploadRate
		ev = ask
	}
	p.step(ev)
}

// passedOn takes in that a flow has ended, at a leg that got it.
func (p *proxy) passedOn(w written) {
	to, f, ok, rest := w.leg, w.flow, w.err == nil, w.rest
	from := f.from
	if to.caller {
		to.busy, from.streaming = false, false
		to.asking.Store(false)
		p.observed.unanswered(to, w.err, p.now())
		keep := ok && len(rest) == 0 && !f.m.Close
		p.step(proxystate.CallerWritten{Leg: to.id, OK: ok, Keep: keep})
		p.read(to, false)
		from.pull()
		return
	}
	to.flow = nil
	gone := f.stop(to)
	if ok {
		from.streaming = false
		if len(rest) > 0 {
			from.parser.Feed(rest)
		}
		p.read(from, false)
	}
	p.step(proxystate.HopWritten{Leg: to.id, OK: ok, Gone: gone})
}

// pass passes a flow on to a leg, on the goroutine that writes on that leg.
func (p *proxy) pass(f *flow, to *leg, head [][]byte) job {
	f.aim(to)
	return job{pass: func() {
		rest, err := f.pass(to, head, func() {
			if f.upload {
				p.inbox.post(whole{f, time.Now()})
			}
		})
		if err != nil && to.caller && f.length < 0 && f.old {
			to.abort()
		}
		switch {
		case err == nil, errors.Is(err, errStopped), errors.Is(err, errTaker), !f.upload:
		case errors.Is(err, os.ErrDeadlineExceeded), err == http1.ErrMalformed, err == http1.ErrBodySize:
			p.inbox.post(spoilt{f.from, err})
		default:
			p.inbox.post(broken{f.from, true})
		}
		p.inbox.post(written{leg: to, err: err, flow: f, rest: rest})
	}}
}

// read looks at what has come on a leg, and goes on reading where that has to be asked for.
func (p *proxy) read(g *leg, cut bool) {
	if g.caller {
		p.readCaller(g, cut)
	} else {
		p.readHop(g, cut)
	}
	if !g.deaf.Load() {
		g.pull()
	}
}

// readHop looks for the answer on a hop leg. Whatever is not the one answer that is owed makes
// the leg unfit: the next request could take it for its own.
func (p *proxy) readHop(g *leg, cut bool) {
	if !g.busy {
		if g.parser.Partial() {
			p.step(proxystate.HopStray{Leg: g.id})
		}
		return
	}
	m, err := g.parser.Next()
	for ; err == nil && m != nil && m.Status < 200; m, err = g.parser.Next() {
		if g.early++; g.early > mostEarly || m.Status == 101 {
			err = http1.ErrMalformed
			break
		}
	}
	switch {
	case err != nil, m == nil && cut:
		p.answered(g, proxystate.HopAnswered{Leg: g.id, Result: lg.ServerError})
	case m != nil:
		p.answered(g, answered(&p.set, g.id, m, !g.parser.Partial() && !cut))
	case g.parser.Large() && !g.isRaw:
		g.pause(false)
	case g.parser.Large() && g.pulling: // whose bytes come first
		g.hush()
	case g.parser.Large():
		p.download(g)
	case g.parser.Open() && g.parser.Status() == 200 && !g.begun:
		g.begun = true
		p.step(proxystate.HopBegins{Leg: g.id})
	}
}

// answered takes in that a hop leg owes nothing any more. What is still being passed on to it is stopped.
func (p *proxy) answered(g *leg, ev proxystate.HopAnswered) {
	g.busy = false
	if g.flow != nil {
		ev.Gone = g.flow.stop(g)
	}
	p.step(ev)
}

// download begins to pass on an answer whose body is large.
func (p *proxy) download(g *leg) {
	m, body, rest := g.parser.Stream()
	ev := answered(&p.set, g.id, m, len(rest) == 0)
	early := g.flow != nil && !g.flow.ended
	if body.Done || ev.Result != lg.OK || early {
		if !body.Done || early { // one that comes before its request is whole is not passed on either
			ev = proxystate.HopAnswered{Leg: g.id, Result: lg.ServerError, Load: ev.Load}
		}
		p.answered(g, ev)
		return
	}
	g.busy, g.streaming = false, true
	p.step(proxystate.HopStreams{Leg: g.id, Load: ev.Load, Payload: &flow{m: m, from: g, length: body.Known(),
		windows: p.windows, body: body}})
}

func (p *proxy) broke(g *leg, reset bool) {
	owes := g.busy && !g.parted
	if g.isRaw {
		g.close()
	}
	if g.flow != nil {
		g.flow.stop(g)
	}
	if g.caller {
		delete(p.callers, g.id)
		p.step(proxystate.CallerClosed{Leg: g.id})
		return
	}
	// Guards against losing a large answer that had come whole with its connection's end, before the leg could
	// be paused.
	var m *http1.Message
	if !reset {
		m = g.parser.End()
	}
	if m == nil && g.parser.Large() {
		if large, body, _ := g.parser.Stream(); body.Done || body.TillClose() && !reset {
			m = large
		}
	}
	if m != nil && owes {
		p.answered(g, answered(&p.set, g.id, m, false))
	}
	delete(p.hops, g.id)
	p.step(proxystate.HopClosed{Leg: g.id})
}

// toldLate takes in what came on a watch in the moment in which it was given up: it counts as told.
func (p *proxy) toldLate(d document) {
	if d.err != nil {
		return
	}
	if list, ok := p.servers.ApplyLate(d.raw, p.now()); ok {
		p.logChanges()
		p.step(proxystate.ListTold{List: list, Late: true})
		p.inventory()
	}
}

func (p *proxy) told(d document) {
	list, err := lg.List{Kind: lg.ListFailed}, d.err
	if err == nil {
		var told lg.List
		if told, err = p.servers.Apply(d.raw, p.now()); err == nil {
			list = told
		}
	}
	p.observed.called(d, err, p.now())
	if err == nil {
		p.logChanges()
	}
	p.step(proxystate.ListTold{List: list, Whole: !p.servers.Watches()})
	if err == nil {
		p.inventory()
	}
}

// step hands the reducer an event and carries out what it asks for.
func (p *proxy) step(ev proxystate.Event) {
	t := time.Now()
	now := p.at(t)
	p.observed.lookAtClock(t, now)
	for _, e := range p.state.Step(now, ev) {
		p.carryOut(e)
	}
}

func (p *proxy) carryOut(e proxystate.Effect) {
	switch e.Do {
	case proxystate.AnswerCaller:
		if g := p.callers[e.Leg]; g != nil {
			g.busy = true
			g.asking.Store(true)
			if f, ok := e.Payload.(*flow); ok && e.Verdict == proxystate.Served {
				f.old = g.old
				g.write(p.pass(f, g, f.m.BackHead(fieldLoad, f.length, f.old, e.Last)))
				return
			}
			g.write(job{bufs: answer(e), by: e.At, report: true})
		}
	case proxystate.EaseCaller:
		if g := p.callers[e.Leg]; g != nil {
			p.inbox.post(easing{g})
		}
	case proxystate.PartCaller:
		if g := p.callers[e.Leg]; g != nil {
			g.part()
		}
	case proxystate.CloseCaller:
		if g := p.callers[e.Leg]; g != nil {
			g.close()
		}
	case proxystate.Dial:
		g := &leg{id: e.Leg, inbox: p.inbox, clock: p.clock, parser: http1.Parser{Responses: true}}
		p.hops[e.Leg] = g
		go g.dial(p.servers.Address(e.Server), e.At)
	case proxystate.Forward:
		if g := p.hops[e.Leg]; g != nil {
			if !g.fit() {
				p.inbox.post(unfit{g})
				return
			}
			if client := p.callers[e.Client]; client != nil && client.left() {
				p.inbox.post(left{client})
				p.inbox.post(unsent{g})
				return
			}
			g.busy, g.begun, g.early = true, false, 0
			ms := fmt.Sprint(max(1, (e.At - p.now()).Milliseconds()))
			if f, ok := e.Payload.(*flow); ok {
				g.flow = f
				j := p.pass(f, g, f.m.ForwardHead(fieldTimeout, ms, f.length))
				j.late = p.late(e, written{leg: g, flow: f})
				g.write(j)
				return
			}
			bufs := e.Payload.(*http1.Message).Forward(fieldTimeout, ms)
			g.write(job{bufs: bufs, by: e.At, report: true, late: p.late(e, written{leg: g})})
		}
	case proxystate.CloseHop:
		if g := p.hops[e.Leg]; g != nil {
			delete(p.hops, e.Leg)
			if g.flow != nil {
				g.flow.stop(g)
			}
			g.close()
		}
	case proxystate.StreamHop:
		if g := p.hops[e.Leg]; g != nil && g.busy {
			g.parser.Enlarge()
			if g.pulling {
				g.hush()
			} else {
				p.inbox.post(bytesIn{leg: g, read: time.Now()}) // looked at once this effect is done
			}
		}
	case proxystate.Arm:
		p.timer.Reset(p.until(e.At))
	case proxystate.Watch:
		if p.watcher == nil || p.watcher.address != e.Text || e.Anew {
			if p.watcher != nil {
				p.watcher.stop()
			}
			if p.watcher != nil && p.watcher.address != e.Text {
				p.servers.Forget()
			}
			p.watcher = newWatcher(e.Text, p.inbox, p.clock)
			go p.watcher.run()
		}
		p.watcher.ask(call{p.servers.Query(p.now(), e.At), e.At + answerWithin})
	case proxystate.Publish:
		figures := e.Payload.(*proxystate.Figures)
		figures.Sockets = p.observed.figures
		p.published(figures)
	case proxystate.Stop:
		stopped := e.Payload.(proxystate.Stopped)
		p.peers.Stopped(stopped.Index, stopped.Clear, stopped.Own)
	case proxystate.Log:
		p.logServer(e)
	case proxystate.TellCallers:
		go p.listener.settle(func() { p.inbox.post(allTold{}) })
	case proxystate.Finish:
		p.done = true
	}
}
