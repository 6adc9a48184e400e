package reducer

import (
	"cmp"
	"slices"
	"time"

	lg "lilacglade"
	"lilacglade/internal/listcalls"
	"lilacglade/internal/pool"
	"lilacglade/internal/sendguard"
)

// Timeouts and intervals of the state machine.
const (
	answerMargin        = 5 * time.Millisecond // the final answer is given this long before the client gives up
	sweepInterval       = 250 * time.Millisecond
	firstRequestTimeout = 2 * time.Second         // a new connection that has sent nothing is closed after this
	requestReadTimeout  = 2500 * time.Millisecond // to receive a request; the first counts from its connection
	briefPause          = 50 * time.Millisecond   // clients usually pause for less while they send a request
	newClientGrace      = 250 * time.Millisecond  // clients about to send a request have begun by then,
	usualReadTime       = time.Second             // and have sent all of it by then
	clientIdleTimeout   = 10 * time.Second        // an idle client connection is closed after this
	closeWriteTimeout   = time.Second             // from closing the write side to closing the connection
	streamDelay         = 20 * time.Millisecond   // an answer of unknown length is held back for this long
)

// Config is the initial configuration of a State.
type Config struct {
	Settings          lg.Settings
	Seed              uint64
	MaxClients        int           // client connections open at once
	MaxServerConns    int           // server connections open at once
	ServerIdleTimeout time.Duration // an idle server connection is closed after this at the latest
	Discovery         string        // address of the list service
	Decider           Decider       // nil: the decision module
	Pool              pool.Config   // options of the lab; the fields above override its limits
	Trace             Tracer        // nil: no trace
	PublishMetrics    bool          // emit Publish effects
	// ConfirmTimeout is the time until which the proxy is not ready unless discovery has answered; 0
	// means that it does not wait.
	ConfirmTimeout time.Duration
	// OverlapUntil is the time until which another process of this proxy holds its share of the server
	// connections; 0 if there is none.
	OverlapUntil time.Duration
	// SkipSendChecks sends attempts that break a rule, too, for tests of the lab's checks.
	SkipSendChecks bool
	// Maintenance means that servers are taken out for maintenance as FencingUpdated reports; nothing
	// is sent before it has reported a lease.
	Maintenance bool
}

// Decider chooses servers, retries and rejections: the decision module (lg.Balancer), or a substitute
// of the lab. It follows the contract of lg.Balancer.Handle: no I/O, no clock, equal events give equal
// actions, and it owns the returned slice.
type Decider interface {
	Handle(now time.Duration, ev lg.Event) []lg.Action
}

// State is the complete state of a proxy. Use New to create one; it belongs to one goroutine.
type State struct {
	cfg                 Config
	decider             Decider
	now                 time.Duration
	effects             []Effect
	pendingEvents       []lg.Event // for the decider
	timers              timerQueue
	armedAt             time.Duration
	clients             map[ConnID]*clientConn
	closingClients      int // clients with countedClosing
	requests            map[lg.RequestID]*request
	openNames           map[string]bool // of all requests in requests
	abandoned           abandonedNames
	namesShared         bool         // another process of this proxy runs: names are claimed
	claimedAbandoned    []sharedName // claimed names of abandoned, the oldest first
	pool                *pool.Pool[*attempt]
	serverConns         map[ConnID]*serverConn
	lastRequestID       lg.RequestID
	list                listState
	stopping            bool
	stopDeadline        time.Duration // when the requests of a process that stops must be answered; see stop.go
	drained             bool          // no more clients are expected
	drainingAcceptQueue bool          // DrainAcceptQueue was requested and is unanswered
	acceptQueueDrained  bool          // it was answered in this step
	counters            counters
	locations           map[lg.ServerID]sendguard.Location
	violations          sendguard.Counts
	maintenance         *maintenance // nil: no maintenance is coordinated between proxies
}

// clientPhase is the phase of a client connection.
type clientPhase uint8

const (
	clientIdle clientPhase = iota
	clientReading
	clientWaiting   // its request is in progress
	clientAnswering // its answer is being written
	clientClosing   // its last answer was written
)

// clientConn is a connection to a client and the request on it.
type clientConn struct {
	id           ConnID
	phase        clientPhase
	since        time.Duration // start of the phase; until the first request, of the connection
	readDeadline time.Duration // reading: when the request must be complete; 0 if unknown
	progressAt   time.Duration // reading: when more of the request last arrived
	source       *serverConn   // answering: the server connection that the answer streams from
	hasRequested bool          // it has sent a complete request, or was answered
	idleCheck    bool          // it is to be closed if no input is pending
	// evicted means that its descriptor is needed elsewhere, closeCounted that its end was counted.
	evicted, closeCounted bool
	countedClosing        bool // it takes no more requests: closing, or given its last answer to make room
	req                   *request
	closeAfterAnswer      bool // close it after the answer
	// executed stands for the name of its last request that must not run again; 0: none.
	executed  uint64
	overLimit bool // it exceeds MaxClients
}

// request is a request that is unanswered, or of which an attempt is still open.
type request struct {
	id           lg.RequestID
	name         string
	nameClaimed  bool      // from other processes of this proxy
	class        *lg.Class // as it was when the request came: new settings number the classes anew
	classIndex   int       // at that time, for the trace
	unsafe       bool
	client       *clientConn // nil once it has left
	counts       *RequestCounts
	key          uint64        // 0: none
	receivedAt   time.Duration // when the reducer received it
	deadline     time.Duration
	deliverBy    time.Duration // a server should have received all of it by then
	delivered    bool          // a server has received all of it
	payload      any           // what a server is sent; nil once no attempt can follow
	attempt      *attempt      // the open one; nil if there is none
	attempts     int           // attempts so far
	lastResult   lg.Result     // of the last attempt that ended
	mayHaveRun   bool          // an attempt may have run: firstRun
	firstRun     sendguard.PriorAttempt
	timedOut     bool          // an attempt has timed out
	stream       bool          // it is forwarded while it arrives,
	timeout      time.Duration // and its timeout counts from its last byte,
	arrivedAt    time.Duration // which arrived at this time; 0 if it has not, as far as is known,
	completeAt   time.Duration // and was read at this time; 0 if it was not
	bodyConsumed bool          // it can't be sent again
	streaming    bool          // its answer is passed on while it arrives
	done         bool          // the final answer was given, or none is due
	clientLeft   bool          // before its final answer
	expiry       *timer        // ends it at its deadline; nil while its body arrives
}

// attempt is one attempt of a request.
type attempt struct {
	req      *request
	number   int
	server   *pool.Server[*attempt]
	sentAt   time.Duration
	deadline time.Duration
	startBy  time.Duration      // the latest time for its first byte; 0 means no limit
	conn     *serverConn        // nil while it waits for a connection
	location sendguard.Location // of its server at the time of sending
	// Its timers, nil if there is none: at its deadline, while it waits for a connection, and while an
	// answer of unknown length is held back.
	expiry, connTimer, waitTimer, streamTimer *timer
}

// serverConnPhase is the phase of a server connection, in addition to its state in the pool.
type serverConnPhase uint8

const (
	connPooled serverConnPhase = iota // being opened, or idle
	connWriting
	connWaiting       // for an answer
	connAnsweredEarly // answered while the request is still being written
	connStreaming     // its answer is passed on while it arrives
)

// serverConn is a connection to a server: the pool's connection and the exchange on it.
type serverConn struct {
	*pool.Conn[*attempt]
	phase    serverConnPhase
	attempt  *attempt // nil if nobody waits for the answer
	closed   bool     // the connection broke while the request was being written
	reusable bool     // the connection can be used again after the exchange
}

// New returns a State. The first call of Step returns its first effects.
func New(cfg Config) (*State, error) {
	decider := cfg.Decider
	if decider == nil {
		balancer, err := lg.New(cfg.Settings, cfg.Seed)
		if err != nil {
			return nil, err
		}
		decider = balancer
	}
	s := &State{cfg: cfg, decider: decider, clients: map[ConnID]*clientConn{},
		requests: map[lg.RequestID]*request{}, openNames: map[string]bool{},
		abandoned:   newAbandonedNames(),
		serverConns: map[ConnID]*serverConn{}, locations: map[lg.ServerID]sendguard.Location{}}
	cfg.Pool.MaxConns, cfg.Pool.IdleTimeout = cfg.MaxServerConns, cfg.ServerIdleTimeout
	s.pool = pool.New[*attempt](cfg.Pool)
	s.list = listState{Schedule: listcalls.New(scheduleConfig(&s.cfg.Settings)), listLog: newListLog()}
	s.timers.add(0, s.sweep)
	if cfg.ConfirmTimeout > 0 {
		s.timers.add(cfg.ConfirmTimeout, s.confirmTimedOut)
	}
	if s.listPushed() {
		s.timers.add(0, s.watch)
	}
	if cfg.OverlapUntil > 0 {
		s.timers.add(0, s.limitServerConns)
		s.timers.add(cfg.OverlapUntil, s.limitServerConns)
	}
	if cfg.Maintenance {
		s.maintenance = newMaintenance()
	}
	s.counters.enabled = cfg.PublishMetrics
	s.addClassCounts(cfg.Settings)
	if cfg.PublishMetrics {
		s.timers.add(0, s.publish)
	}
	return s, nil
}

// Step handles one event at the given time. The returned slice is reused by the next call.
func (s *State) Step(now time.Duration, ev Event) []Effect {
	s.now = max(s.now, now)
	clear(s.effects) // they hold the bodies of answers and requests
	s.effects, s.acceptQueueDrained = s.effects[:0], false
	if s.maintenance != nil {
		s.checkLease()
	}
	s.updateListLease()
	s.handle(ev)
	s.updateListLease()
	s.runDecider()
	for run := s.timers.next(s.now); run != nil; run = s.timers.next(s.now) {
		run()
		s.updateListLease()
		s.runDecider()
	}
	if s.drained && !s.hasOpenClients() {
		s.finishOrDrain()
	}
	// Never empty: a sweep is always scheduled. If what was armed for is gone, the timer still fires
	// then, which costs less than to arm it anew at the end of each request.
	if at := s.timers.first(); at < s.armedAt || s.armedAt <= s.now {
		s.armedAt = at
		s.emit(Effect{Do: ArmTimer, At: at})
	}
	return s.effects
}

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

// notify queues an event for the decider.
func (s *State) notify(ev lg.Event) { s.pendingEvents = append(s.pendingEvents, ev) }

// runDecider passes the queued events to the decider and executes its actions, which may queue more.
func (s *State) runDecider() {
	for len(s.pendingEvents) > 0 {
		ev := s.pendingEvents[0]
		s.pendingEvents = s.pendingEvents[1:]
		for _, action := range s.decider.Handle(s.now, ev) {
			s.execute(action)
		}
	}
	s.pendingEvents = s.pendingEvents[:0]
}

// execute carries out an action of the decider.
func (s *State) execute(action lg.Action) {
	switch action.Do {
	case lg.Send:
		s.startAttempt(action)
	case lg.Refuse:
		if req := s.requests[action.Request]; req != nil {
			s.finish(req, Effect{Verdict: Rejected, RetryAfter: action.For})
		}
	case lg.Fail:
		if req := s.requests[action.Request]; req != nil {
			s.finish(req, Effect{Verdict: Failed})
		}
	case lg.SetTimer:
		s.timers.add(s.now+action.For, func() { s.notify(lg.Timer{Token: action.Token}) })
	case lg.Subscribe: // callEnded schedules all later calls
		s.scheduleFirstCall()
	case lg.Log:
		s.emit(Effect{Do: Log, Text: action.Text, Server: action.Server})
	}
}

func (s *State) handle(ev Event) {
	switch ev := ev.(type) {
	case ClientOpened:
		s.clientOpened(ev.Conn)
	case ClientReading:
		if client := s.clients[ev.Conn]; client != nil &&
			(client.phase == clientIdle || client.phase == clientReading) {
			s.requestStarted(client, ev)
		}
	case RequestReceived:
		s.requestReceived(ev)
	case NamesShared:
		s.shareNames(ev.On)
	case NamesLeft:
		s.namesLeft(ev.Hashes)
	case RequestBodyArrived:
		s.bodyArrived(ev)
	case RequestBodyComplete:
		s.bodyComplete(ev)
	case RequestBodyFailed:
		s.bodyFailed(ev)
	case ResponseStarted:
		s.responseStarted(ev.Conn)
	case ResponseStreaming:
		s.responseStreaming(ev)
	case RequestInvalid:
		s.answerClient(ev.Conn, Effect{Verdict: Invalid, Payload: ev.Payload, Last: ev.Last})
	case RequestUnread:
		s.answerClient(ev.Conn, Effect{Verdict: Rejected, RetryAfter: s.cfg.Settings.MaxRetryAfter, Last: true})
	case ClientFlooding:
		if client := s.clients[ev.Conn]; client != nil {
			client.closeAfterAnswer = true
		}
	case HealthChecked:
		verdict := NotReady
		if s.ready() {
			verdict = ReadyNow
		}
		s.answerClient(ev.Conn, Effect{Verdict: verdict, Last: ev.Last})
	case ResponseWritten:
		s.responseWritten(ev)
	case ClientClosed:
		if client := s.clients[ev.Conn]; client != nil && client.phase == clientAnswering {
			s.rememberExecuted(client)
		}
		s.clientClosed(ev.Conn)
	case ServerDialed:
		s.serverDialed(ev)
	case RequestWritten:
		s.requestWritten(ev)
	case ServerConnUnusable:
		s.connUnusable(ev.Conn)
	case RequestUnsent:
		s.requestUnsent(ev.Conn)
	case UnexpectedServerData:
		if conn := s.serverConns[ev.Conn]; conn != nil && conn.Idle() {
			s.closeConn(conn)
		} else if conn != nil {
			conn.reusable = false
		}
	case ServerAnswered:
		s.serverAnswered(ev)
	case ServerClosed:
		s.serverClosed(ev.Conn)
	case ListReceived:
		s.metricsChanged()
		if !ev.Late {
			s.list.SetVersionKnown(!ev.NextFull)
		}
		s.listReceived(ev)
	case ListConnected:
		s.list.Connected()
	case FencingUpdated:
		s.fencingUpdated(ev)
	case ClientIdleConfirmed:
		s.idleConfirmed(ev.Conn)
	case AcceptQueueDrained:
		s.drainingAcceptQueue, s.acceptQueueDrained = false, true
	case Reloaded:
		s.counters.configLoads++
		s.metricsChanged()
		s.configReloaded(ev)
	case LearnedReceived:
		if importer, ok := s.decider.(interface {
			Import(now, age time.Duration, learned lg.Learned)
		}); ok {
			importer.Import(s.now, ev.Age, ev.Learned)
		}
	case ReloadFailed:
		s.counters.configLoadErrors++
		s.metricsChanged()
	case Stopping:
		s.stop()
	}
}

// ready reports whether the proxy accepts requests: some server does, and the server list may be used.
func (s *State) ready() bool {
	return !s.stopping && !s.leaving() && (s.list.confirmed || s.now >= s.cfg.ConfirmTimeout) &&
		s.pool.Ready() && (s.list.everUsable || s.listPushed())
}

// Ready reports whether this process can serve requests.
func (s *State) Ready() bool { return s.ready() }

// Learned returns what another process of this proxy should know, if the decider exports it. It expires
// there when it is too old.
func (s *State) Learned() (learned lg.Learned) {
	if exporter, ok := s.decider.(interface {
		Export(time.Duration) lg.Learned
	}); ok {
		learned = exporter.Export(s.now)
	}
	return learned
}

// limitServerConns sets the limit of server connections: half of it while another process of this proxy
// holds its own.
func (s *State) limitServerConns() {
	limit := s.cfg.MaxServerConns
	if s.cfg.OverlapUntil > 0 && (s.now < s.cfg.OverlapUntil || s.stopping) {
		limit = max(1, limit/2)
	}
	s.pool.SetMaxConns(limit)
	s.runPoolActions()
}

// retuner is a decider that accepts new settings at run time.
type retuner interface {
	Retune(now time.Duration, settings lg.Settings) error
}

// SupportsRetune reports whether new settings can be applied at run time.
func (s *State) SupportsRetune() bool {
	_, ok := s.decider.(retuner)
	return ok
}

// configReloaded applies a new configuration. If the address of discovery has changed, the pending call
// to the old address is given up at once, because it may never be answered.
func (s *State) configReloaded(ev Reloaded) {
	s.cfg.MaxClients, s.cfg.MaxServerConns = ev.MaxClients, ev.MaxServerConns
	if decider, ok := s.decider.(retuner); ok && ev.Settings != nil {
		if err := decider.Retune(s.now, *ev.Settings); err != nil {
			// They were validated when they were read.
			s.emit(Effect{Do: Log, Text: "the settings are unchanged: " + err.Error()})
		} else {
			s.cfg.Settings = *ev.Settings
			s.list.Configure(scheduleConfig(&s.cfg.Settings))
			s.addClassCounts(s.cfg.Settings)
		}
	}
	s.limitServerConns()
	if ev.Discovery != s.cfg.Discovery {
		s.cfg.Discovery = ev.Discovery
		s.list.AddressChanged(s.now)
		s.watch()
	}
}

// sweep closes idle connections and requests whose timeouts have passed.
func (s *State) sweep() {
	s.timers.add(s.now+sweepInterval, s.sweep)
	s.sweepClaimed()
	s.pool.Sweep(s.now)
	s.runPoolActions()
	for _, client := range sortedValues(s.clients) {
		switch elapsed := s.now - client.since; client.phase {
		case clientReading:
			if client.readDeadline > 0 && s.now >= client.readDeadline ||
				client.readDeadline == 0 && elapsed >= requestReadTimeout {
				s.answerClient(client.id, Effect{Verdict: TooSlow, Last: true})
			}
		case clientIdle:
			if !client.hasRequested && elapsed >= firstRequestTimeout || elapsed >= clientIdleTimeout {
				s.checkIdle(client)
			}
		}
	}
}

// sortedValues returns the values of a map in the order of its keys. Otherwise the order of effects
// would differ from run to run, and equal events must give equal effects.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	values := make([]V, len(keys))
	for i, k := range keys {
		values[i] = m[k]
	}
	return values
}

// checkIdle closes an idle connection if no input is pending on it: the transport checks, and
// ClientIdleConfirmed follows. Otherwise a request that is on its way to the reducer would be lost;
// this way it is answered. An idle connection is closed in no other way.
func (s *State) checkIdle(client *clientConn) {
	client.idleCheck = true
	s.emit(Effect{Do: CheckClientIdle, Conn: client.id})
}

// idleConfirmed shuts down a connection that is idle and to be closed.
func (s *State) idleConfirmed(id ConnID) {
	if client := s.clients[id]; client != nil && client.phase == clientIdle && client.idleCheck {
		cause := ClosedIdle
		if client.evicted {
			cause = ClosedForCapacity
		}
		s.closeWrite(client, cause)
	}
}
