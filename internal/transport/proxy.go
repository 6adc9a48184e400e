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
	reservedSockets   = 40
	clientSocketShare = 5
	serverSocketShare = 3
)

// idleParts of the keep-alive limit: an idle leg to a next hop is closed after one of them,
// well before the other side closes it under a request's hands.
const idleTimeoutDivisor = 4

// continueWithin is how long a caller may take to read the leave to send its body.
const continueTimeout = 10 * time.Second

// heldWhileBusy bounds what a caller may send ahead while its request is being worked on: some
// requests without much of a body.
const maxPipelinedBytes = http1.MaxHead

// mostEarly bounds the 1xx answers before the one that counts.
const maxInterimResponses = 8

// recvBuffer is what the kernel keeps for a leg that is not read from. netpoll's own buffers grow with
// what it finds there at a time.
const receiveBufferSize = http1.MaxBody

type proxy struct {
	settings settings.Settings
	clock
	inbox             *inbox
	state             *reducer.State
	servers           *serverlist.Store
	decoder           *serverlist.Decoder
	watcher           *watcher
	listener          *listener
	clientConns       map[reducer.ConnID]*connection
	serverConns       map[reducer.ConnID]*connection
	timer             *time.Timer
	adminServer       *admin.Door     // nil: operators can't call
	socketShared      bool            // the listening socket is shared with other processes of this proxy
	startAccepting    func()          // begins to take connections; nil once that is done
	handoverWriter    *handoverWriter // nil: nothing is handed over
	buffers           bufferPool
	limits            settings.Limits
	staleClassesUntil time.Duration // until then classes that were dropped are taken
	done              bool
	peers             *peers.Node // nil: it talks to no other proxy
	lastPublished     publishedLoad
	observer          observer
}

// budget gives callers and next hops their parts of the descriptors.
func connectionLimits(limits settings.Limits) (clients, servers int) {
	sockets := limits.Sockets - reservedSockets
	return sockets * clientSocketShare / (clientSocketShare + serverSocketShare), sockets * serverSocketShare / (clientSocketShare + serverSocketShare)
}

// Reload is the outcome of reading a new configuration.
type Reload struct {
	Node settings.Node
	Err  error // why it was turned down; nothing of it counts then
}

// Serve runs the proxy until ctx ends and all it has taken is answered. What comes from reloads
// is a new configuration. Trace may be nil.
func Serve(ctx context.Context, node settings.Node, reloads <-chan Reload,
	trace reducer.Tracer) error {
	return ServeWithOptions(ctx, node, reloads, Options{Trace: trace})
}

// Options are what a proxy may have besides.
type Options struct {
	Decider reducer.Decider // in place of the decision module; nil: the module
	Trace   reducer.Tracer  // nil: none
	Peers   *peers.Config   // nil: it talks to no other proxy
}

// ServeWithOptions runs the proxy with options.
func ServeWithOptions(ctx context.Context, node settings.Node, reloads <-chan Reload, options Options) error {
	p := &proxy{settings: node.Settings, clock: newClock(), inbox: newInbox(),
		clientConns: map[reducer.ConnID]*connection{}, serverConns: map[reducer.ConnID]*connection{}, timer: time.NewTimer(0),
		observer: newObserver(), decoder: new(serverlist.Decoder)}
	p.servers = serverlist.New(p.settings.ZoneNames, p.settings.KindNames, p.epoch())
	maxClients, maxServers := connectionLimits(node.Limits)
	var err error
	p.socketShared = node.Passed != ""
	p.buffers = newBufferPool(int64(node.Limits.MemoryMB) << 20)
	cfg := reducer.Config{Settings: p.settings.Settings, Seed: node.Seed,
		MaxClients: softClientLimit(maxClients), MaxServerConns: maxServers, ServerIdleTimeout: p.settings.KeepAlive / idleTimeoutDivisor,
		Discovery: node.Discovery, Decider: options.Decider, Trace: options.Trace, Maintenance: options.Peers != nil,
		PublishMetrics: node.Admin != "" || options.Peers != nil}
	if p.socketShared || !p.settings.AskForList {
		cfg.ConfirmTimeout = p.now() + confirmTimeout
	}
	if p.socketShared {
		cfg.OverlapUntil = p.now() + overlapDuration
	}
	p.state, err = reducer.New(cfg)
	if err != nil {
		return err
	}
	if options.Peers != nil {
		if err := p.joinPeers(*options.Peers, node); err != nil {
			return err
		}
	}
	if node.Admin != "" {
		p.adminServer = new(admin.Door)
		if p.peers != nil {
			p.adminServer.Work = p.peers.Work
		}
		if err := p.adminServer.Listen(node.Admin); err != nil {
			return err
		}
	}
	socket, err := listen(node)
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(socket.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize); err != nil {
		log.Printf("the listening socket keeps its own buffer: %v", err) // no reason not to serve
	}
	ln := newListener(socket, maxClients)
	p.listener, p.limits = ln, node.Limits
	p.applyLimits()
	if p.socketShared {
		time.AfterFunc(overlapDuration, func() { p.inbox.post(overlapEnded{}) })
	}
	eventLoop, err := netpoll.NewEventLoop(onRequest, netpoll.WithOnPrepare(p.onPrepare(ln)))
	if err != nil {
		return err
	}
	p.startAccepting = func() {
		p.startAccepting = nil
		go func() { p.inbox.post(serveFailed{eventLoop.Serve(ln)}) }()
	}
	go func() {
		<-ctx.Done()
		p.inbox.post(stopping{})
	}()
	go func() {
		for reload := range reloads {
			p.inbox.post(reloaded{reload})
		}
	}()
	if !p.takeOver(node) && !p.applyKnownList(node.Known) {
		// Guards against a process that never asks, since it was never told anything.
		p.step(reducer.ListReceived{List: lg.List{Kind: lg.CachedList}, NextFull: true})
	}
	log.Printf("%s serves on %s", node.Name, node.Listen)
	err = p.run()
	if p.peers != nil {
		p.peers.Leave()
	}
	return err
}

type connKey struct{}

// accept returns netpoll's hook for a new connection.
func (p *proxy) onPrepare(ln *listener) netpoll.OnPrepare {
	var lastID atomic.Uint64
	return func(socket netpoll.Connection) context.Context {
		ln.openConns.Add(1)
		conn := &connection{id: reducer.ConnID(lastID.Add(1)), isClient: true, inbox: p.inbox, clock: p.clock,
			waitingSince: ln.waitingSince, acceptedAt: time.Now()}
		conn.attach(socket, func() { ln.openConns.Add(-1) })
		p.inbox.post(accepted{conn})
		return context.WithValue(context.Background(), connKey{}, conn)
	}
}

func onRequest(ctx context.Context, socket netpoll.Connection) error {
	return ctx.Value(connKey{}).(*connection).onRequest(ctx, socket)
}

// run is the reducer's goroutine.
func (p *proxy) run() error {
	var items []any
	for !p.done {
		if p.startAccepting != nil && p.readyToAccept() {
			p.startAccepting()
		}
		p.saveHandover()
		select {
		case <-p.inbox.wake:
		case <-p.timer.C:
			start := time.Now()
			p.step(reducer.TimerFired{})
			p.recordItem(reducer.TimerFired{}, start)
		}
		items = p.inbox.takeAll(items)
		for _, item := range items {
			if failure, ok := item.(serveFailed); ok && !p.listener.closed.Load() {
				return fmt.Errorf("listen: %w", failure.err)
			}
			start := time.Now()
			p.handleItem(item)
			p.recordItem(item, start)
		}
		clear(items)
	}
	return nil
}
