// Package transport is the proxy's socket layer. It turns bytes into the reducer's events and
// executes the effects that the reducer returns. One goroutine runs the reducer and never waits for
// a socket; reading, writing and dialing run on other goroutines, on netpoll.
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

// File descriptors are divided between the two sides, so that neither can starve the other. Some
// are reserved for the listener, the poller and discovery; clients and servers get the rest in the
// ratio clientSocketShare : serverSocketShare.
const (
	reservedSockets   = 40
	clientSocketShare = 5
	serverSocketShare = 3
)

// idleTimeoutDivisor divides the servers' keep-alive limit: an idle server connection is closed after that
// fraction of it. Otherwise the server might close the connection while a request is being sent.
const idleTimeoutDivisor = 4

// maxPipelinedBytes limits what a client may send ahead while its request is being processed: a few
// requests with small bodies.
const maxPipelinedBytes = http1.MaxHead

// maxInterimResponses limits the 1xx responses before the final one.
const maxInterimResponses = 8

// receiveBufferSize is the kernel's receive buffer of a connection in bytes: what the kernel keeps
// of a connection that is not being read. netpoll's own buffers grow with the amount they find
// there at a time.
const receiveBufferSize = http1.MaxBody

// proxy is one running proxy: the reducer with its inbox, the connections and the listener. Its fields are
// owned by the reducer's goroutine.
type proxy struct {
	settings settings.Settings
	clock
	inbox             *inbox
	memory            *requestMemory // of all unfinished requests
	paused            pausedReads
	state             *reducer.State
	servers           *serverlist.Store
	decoder           *serverlist.Decoder
	watcher           *watcher
	listener          *listener
	clientConns       map[reducer.ConnID]*connection
	serverConns       map[reducer.ConnID]*connection
	timer             *time.Timer
	adminServer       *admin.Server   // nil: no operator interface
	socketShared      bool            // the listening socket is shared with other processes of this proxy
	startAccepting    func()          // starts accepting connections; nil once that is done
	handoverWriter    *handoverWriter // nil: no handover to a next process
	names             *nameSharing    // nil: no other process
	buffers           *bufferPool
	peeks             peekBuffer
	limits            settings.Limits
	staleClassesUntil time.Duration // classes that a reload dropped are accepted until then
	done              bool
	peers             *peers.Node // nil: this proxy has no peers
	lastPublished     publishedLoad
	observer          observer
}

// connectionLimits returns the number of descriptors for clients and for servers.
func connectionLimits(limits settings.Limits) (clients, servers int) {
	sockets := limits.Sockets - reservedSockets
	return sockets * clientSocketShare / (clientSocketShare + serverSocketShare),
		sockets * serverSocketShare / (clientSocketShare + serverSocketShare)
}

// Reload is the result of reading a new configuration.
type Reload struct {
	Node settings.Node
	Err  error // why it was rejected; Node is then ignored
}

// Serve runs the proxy until ctx ends and all accepted requests are answered. Each value from
// reloads is a new configuration. Trace may be nil.
func Serve(ctx context.Context, node settings.Node, reloads <-chan Reload,
	trace reducer.Tracer) error {
	return ServeWithOptions(ctx, node, reloads, Options{Trace: trace})
}

// Options are the optional parts of a proxy.
type Options struct {
	Decider reducer.Decider // replaces the decision module; nil: the module
	Trace   reducer.Tracer  // nil: no trace
	Peers   *peers.Config   // nil: this proxy has no peers
}

// ServeWithOptions is Serve with options.
func ServeWithOptions(ctx context.Context, node settings.Node, reloads <-chan Reload, options Options) error {
	return newProxy(node).serve(ctx, node, reloads, options)
}

// serve is ServeWithOptions of a new proxy.
func (p *proxy) serve(ctx context.Context, node settings.Node, reloads <-chan Reload, options Options) error {
	var err error
	if p.state, err = reducer.New(p.reducerConfig(node, options)); err != nil {
		return err
	}
	if options.Peers != nil {
		if err := p.joinPeers(*options.Peers, node); err != nil {
			return err
		}
	}
	if err := p.startAdmin(node); err != nil {
		return err
	}
	if err := p.prepareListening(node); err != nil {
		return err
	}
	p.joinProcesses(node)
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
		// Without this first event the reducer would never ask discovery for a list.
		p.step(reducer.ListReceived{List: lg.List{Kind: lg.CachedList}, NextFull: true})
	}
	log.Printf("%s serves on %s", node.Name, node.Listen)
	err = p.run()
	p.keepNames()
	if p.peers != nil {
		p.peers.Leave()
	}
	return err
}

// newProxy returns a proxy without its reducer, listener and peers.
func newProxy(node settings.Node) *proxy {
	p := &proxy{settings: node.Settings, limits: node.Limits, clock: newClock(), inbox: newInbox(),
		memory: new(requestMemory), clientConns: map[reducer.ConnID]*connection{},
		serverConns: map[reducer.ConnID]*connection{},
		timer:       time.NewTimer(0), observer: newObserver(), decoder: new(serverlist.Decoder),
		socketShared: node.PassedSocket != "", buffers: newBufferPool(int64(node.Limits.MemoryMB) << 20)}
	p.servers = serverlist.New(p.settings.ZoneNames, p.settings.KindNames, p.epoch())
	return p
}

// reducerConfig returns the configuration of the reducer.
func (p *proxy) reducerConfig(node settings.Node, options Options) reducer.Config {
	maxClients, maxServers := connectionLimits(node.Limits)
	cfg := reducer.Config{Settings: p.settings.Settings, Seed: node.Seed,
		MaxClients: softClientLimit(maxClients), MaxServerConns: maxServers,
		ServerIdleTimeout: p.settings.KeepAlive / idleTimeoutDivisor, Discovery: node.Discovery,
		Decider: options.Decider, Trace: options.Trace, Maintenance: options.Peers != nil,
		PublishMetrics: node.Admin != "" || options.Peers != nil}
	if p.socketShared || !p.settings.AskForList {
		cfg.ConfirmTimeout = p.now() + confirmTimeout
	}
	if p.socketShared {
		cfg.OverlapUntil = p.now() + overlapDuration
	}
	return cfg
}

// startAdmin opens the operator interface, if there is to be one.
func (p *proxy) startAdmin(node settings.Node) error {
	if node.Admin == "" {
		return nil
	}
	p.adminServer = new(admin.Server)
	if p.peers != nil {
		p.adminServer.Work = p.peers.Work
	}
	return p.adminServer.Listen(node.Admin)
}

// prepareListening opens the clients' listening socket. Nothing is accepted before startAccepting is
// called.
func (p *proxy) prepareListening(node settings.Node) error {
	socket, err := listen(node)
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(socket.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF,
		receiveBufferSize); err != nil {
		// The proxy can serve without it.
		log.Printf("can't set the receive buffer of the listening socket: %v", err)
	}
	maxClients, _ := connectionLimits(node.Limits)
	p.listener = newListener(socket, maxClients)
	p.applyLimits()
	if p.socketShared {
		time.AfterFunc(overlapDuration, func() { p.inbox.post(overlapEnded{}) })
	}
	eventLoop, err := netpoll.NewEventLoop(onRequest, netpoll.WithOnPrepare(p.onPrepare(p.listener)))
	if err != nil {
		return err
	}
	p.startAccepting = func() {
		p.startAccepting = nil
		go func() { p.inbox.post(serveFailed{eventLoop.Serve(p.listener)}) }()
	}
	return nil
}

type connKey struct{}

// onPrepare returns netpoll's hook for a new connection.
func (p *proxy) onPrepare(ln *listener) netpoll.OnPrepare {
	var lastID atomic.Uint64
	return func(socket netpoll.Connection) context.Context {
		ln.openConns.Add(1)
		conn := &connection{id: reducer.ConnID(lastID.Add(1)), isClient: true, inbox: p.inbox, memory: p.memory,
			clock: p.clock, waitingSince: ln.waitingSince, acceptedAt: time.Now()}
		conn.attach(socket, func() { ln.openConns.Add(-1) })
		p.inbox.post(accepted{conn})
		return context.WithValue(context.Background(), connKey{}, conn)
	}
}

func onRequest(ctx context.Context, socket netpoll.Connection) error {
	return ctx.Value(connKey{}).(*connection).onRequest(ctx, socket)
}

// run is the loop of the reducer's goroutine.
func (p *proxy) run() error {
	var items []any
	for !p.done {
		if p.startAccepting != nil && p.readyToAccept() {
			if !p.namesReady() {
				log.Print("another process of this proxy does not claim the names of its requests")
			}
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
		yield()
	}
	return nil
}
