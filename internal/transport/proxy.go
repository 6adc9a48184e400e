// Package transport is the proxy's sockets: it turns bytes into the reducer's events and carries
// out the effects that the reducer asks for. One goroutine runs the reducer and never waits
// for a socket; reading, writing and dialing happen round it, on netpoll.
package transport

import (
	"context"
	"fmt"
	"log"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/admin"
	"lilacglade/internal/http1"
	"lilacglade/internal/peers"
	"lilacglade/internal/reducer"
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
	state    *reducer.State
	servers  *serverlist.Set
	decoder  *serverlist.Decoder
	watcher  *watcher
	listener *listener
	callers  map[reducer.LegID]*leg
	hops     map[reducer.LegID]*leg
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
	trace reducer.Tracer) error {
	return ServeBy(ctx, node, reloads, Options{Trace: trace})
}

// Options are what a proxy may have besides.
type Options struct {
	Decider reducer.Decider // in place of the decision module; nil: the module
	Trace   reducer.Tracer  // nil: none
	Peers   *peers.Config   // nil: it talks to no other proxy
}

// ServeBy runs the proxy with options.
func ServeBy(ctx context.Context, node settings.Node, reloads <-chan Load, o Options) error {
	p := &proxy{set: node.Settings, clock: startClock(), inbox: newInbox(),
		callers: map[reducer.LegID]*leg{}, hops: map[reducer.LegID]*leg{}, timer: time.NewTimer(0),
		observed: newObserver(), decoder: new(serverlist.Decoder)}
	p.servers = serverlist.New(p.set.ZoneNames, p.set.KindNames, p.epoch())
	callers, hops := budget(node.Limits)
	var err error
	p.passed = node.Passed != ""
	p.windows = newWindows(int64(node.Limits.MemoryMB) << 20)
	cfg := reducer.Config{Settings: p.set.Settings, Seed: node.Seed,
		MaxCallers: calm(callers), MaxHops: hops, IdleHops: p.set.KeepAlive / idleParts,
		Discovery: node.Discovery, Decider: o.Decider, Trace: o.Trace, Work: o.Peers != nil,
		Figures: node.Admin != "" || o.Peers != nil}
	if p.passed || !p.set.AskForList {
		cfg.Confirm = p.now() + confirmWithin
	}
	if p.passed {
		cfg.Overlap = p.now() + overlapFor
	}
	p.state, err = reducer.New(cfg)
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
		p.step(reducer.ListTold{List: lg.List{Kind: lg.CachedList}, Whole: true})
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
		g := &leg{id: reducer.LegID(last.Add(1)), caller: true, inbox: p.inbox, clock: p.clock,
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
			began := time.Now()
			p.step(reducer.Woken{})
			p.handled(reducer.Woken{}, began)
		}
		items = p.inbox.take(items)
		for _, item := range items {
			if f, ok := item.(failed); ok && !p.listener.closed.Load() {
				return fmt.Errorf("listen: %w", f.err)
			}
			began := time.Now()
			p.take(item)
			p.handled(item, began)
		}
		clear(items)
	}
	return nil
}
