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

// Times of the mechanism itself.
const (
	margin     = 5 * time.Millisecond // the final answer leaves this long before the caller gives up
	sweepEvery = 250 * time.Millisecond
	askWithin  = 2 * time.Second         // a new leg that has sent nothing by then is closed
	readWithin = 2500 * time.Millisecond // a request must come whole, the first counted from its leg's start
	soonAsked  = 250 * time.Millisecond  // callers who mean to ask have begun by then,
	soonRead   = time.Second             // and are through with it by then
	idleWithin = 10 * time.Second        // a leg that is idle longer is closed
	takeWithin = 10 * time.Second        // an answer that its caller doesn't read is given up
	partWithin = time.Second             // a leg whose sending has ended is closed at the latest
	drainFor   = 400 * time.Millisecond  // callers still come this long after a planned stop begins
	openFor    = 20 * time.Millisecond   // an answer of unknown length is held back for this
	drainEvery = 50 * time.Millisecond   // and from then on idle ones are let go so often
)

// Config is what a State knows from its start on.
type Config struct {
	Settings   lg.Settings
	Seed       uint64
	MaxCallers int           // caller legs held at once
	MaxHops    int           // hop legs held at once
	IdleHops   time.Duration // an idle hop leg is closed after this at the latest
	Discovery  string        // where to ask for the server list
	Decider    Decider       // nil: the decision module
	Pool       pool.Config   // the lab's; what is named above holds in any case
	Trace      Tracer        // nil: none
	Figures    bool          // publish figures
	// Confirm: not ready before discovery has answered, or this time has come; 0: at once
	Confirm time.Duration
	// Overlap: another process of this proxy holds its part of the hop legs until then; 0: there is none
	Overlap time.Duration
	// Unguarded: attempts are sent whatever rule they break, for tests of the lab's judge
	Unguarded bool
	// Work: machines are taken out for work by what Settled tells; nothing is sent before it told of a lease
	Work bool
}

// Decider chooses the server, whether to try again and what to refuse: the decision module
// (lg.Balancer), or what the lab plays in its place. It keeps to the contract of lg.Balancer.Handle:
// no I/O, no clock, the same events give the same actions, and the slice is its own.
type Decider interface {
	Handle(now time.Duration, ev lg.Event) []lg.Action
}

// State is the whole state of a proxy. New makes one; one goroutine owns it.
type State struct {
	cfg      Config
	bal      Decider
	now      time.Duration
	effects  []Effect
	todo     []lg.Event // for the Balancer
	clock    clock
	armed    time.Duration
	callers  map[LegID]*caller
	parting  int // of them, that get nothing more
	requests map[lg.RequestID]*request
	names    map[string]bool // of the requests
	pool     *pool.Pool[*branch]
	legs     map[LegID]*hopLeg
	lastID   lg.RequestID
	list     listCalls
	stopping bool
	drained  bool // no more callers are expected
	telling  bool // whoever has come by now is being told
	allTold  bool // and was, in this step
	counts   counts
	places   map[lg.ServerID]sendguard.Place
	broken   sendguard.Counts
	work     *work // nil: no machine is taken out by what proxies settle
}

// callerPhase is where a caller leg stands.
type callerPhase uint8

const (
	callerIdle callerPhase = iota
	callerReading
	callerAsking    // its request is being worked on
	callerAnswering // its answer is being written
	callerParting   // its last answer was written
)

type caller struct {
	id    LegID
	phase callerPhase
	since time.Duration // start of the phase; of the leg, until it has asked
	by    time.Duration // reading: when the request must be whole; 0: not known
	feed  *hopLeg       // answering: where the answer streams from
	asked bool          // it has brought something whole
	eased bool          // it is to be let go if nothing has come on it
	// wanted: its descriptor is, by others. counted: its end was counted
	wanted, counted bool
	req             *request
	last            bool // to be closed after the answer
	over            bool // beyond the cap
}

// request is a request that is not answered, or whose branch is still out.
type request struct {
	id       lg.RequestID
	name     string
	class    int
	unsafe   bool
	caller   *caller // nil once it has left
	count    *Handled
	key      uint64        // 0: none
	came     time.Duration // when it was told here
	deadline time.Duration
	reachBy  time.Duration // a next hop should have it whole by then
	reached  bool          // one had it whole
	payload  any
	branch   *branch   // the one that is out
	sent     int       // branches so far
	result   lg.Result // of the last one that ended
	mayRun   bool      // a branch may have run: this one
	ran      sendguard.Ran
	late     bool          // a branch has timed out
	stream   bool          // it is passed on as it comes in,
	may      time.Duration // and its time counts from its last byte,
	whole    time.Duration // which came then; 0: not yet
	gone     bool          // it can't be sent again
	flowing  bool          // its answer is passed on as it comes in
	done     bool          // the final answer is given, or none is owed
}

// branch is one attempt of a request.
type branch struct {
	req    *request
	number int
	hop    *pool.Hop[*branch]
	sent   time.Duration
	until  time.Duration
	begin  time.Duration   // its first byte must not be written later; 0: no matter
	leg    *hopLeg         // nil while it waits for one
	place  sendguard.Place // of its server, as it was when it was sent
}

// hopPhase is where a hop leg stands beyond what the pool knows.
type hopPhase uint8

const (
	hopPooled hopPhase = iota // being opened, or idle
	hopWriting
	hopWaiting   // for an answer
	hopEarly     // answered while the request is still being written
	hopStreaming // its answer is being passed on as it comes in
)

// hopLeg is a connection to a next hop: the pool's leg, and the exchange on it.
type hopLeg struct {
	*pool.Leg[*branch]
	phase  hopPhase
	branch *branch // nil when nobody waits for its answer any more
	closed bool    // the connection broke while the request was being written
	keep   bool    // early answer: the leg can be used again
}

// New returns a State. Its first effects come with the first Step.
func New(cfg Config) (*State, error) {
	bal := cfg.Decider
	if bal == nil {
		module, err := lg.New(cfg.Settings, cfg.Seed)
		if err != nil {
			return nil, err
		}
		bal = module
	}
	s := &State{cfg: cfg, bal: bal, callers: map[LegID]*caller{}, requests: map[lg.RequestID]*request{},
		names: map[string]bool{}, legs: map[LegID]*hopLeg{}, places: map[lg.ServerID]sendguard.Place{}}
	cfg.Pool.Most, cfg.Pool.Idle = cfg.MaxHops, cfg.IdleHops
	s.pool = pool.New[*branch](cfg.Pool)
	s.list = listCalls{Schedule: listcalls.New(listConfig(&s.cfg.Settings)), listLog: newListLog()}
	s.clock.add(0, s.sweep)
	if cfg.Confirm > 0 {
		s.clock.add(cfg.Confirm, s.unconfirmed)
	}
	if s.pushed() {
		s.clock.add(0, s.watch)
	}
	if cfg.Overlap > 0 {
		s.clock.add(0, s.share)
		s.clock.add(cfg.Overlap, s.share)
	}
	if cfg.Work {
		s.work = newWork()
	}
	s.counts.wanted = cfg.Figures
	s.countClasses(cfg.Settings)
	if cfg.Figures {
		s.clock.add(0, s.publish)
	}
	return s, nil
}

// Step takes one event at the given time. The slice is used again by the next call.
func (s *State) Step(now time.Duration, ev Event) []Effect {
	s.now = max(s.now, now)
	s.effects, s.allTold = s.effects[:0], false
	if s.work != nil {
		s.lookWork()
	}
	s.renew()
	s.take(ev)
	s.renew()
	s.settle()
	for do := s.clock.next(s.now); do != nil; do = s.clock.next(s.now) {
		do()
		s.renew()
		s.settle()
	}
	if s.drained && !s.answering() {
		s.finished()
	}
	if at := s.clock.first(); at != s.armed { // the sweep is always due some time
		s.armed = at
		s.do(Effect{Do: Arm, At: at})
	}
	return s.effects
}

func (s *State) do(e Effect) { s.effects = append(s.effects, e) }

// tell queues an event for the Balancer.
func (s *State) tell(ev lg.Event) { s.todo = append(s.todo, ev) }

// settle hands the Balancer what is queued and does what it asks for, which may queue more.
func (s *State) settle() {
	for len(s.todo) > 0 {
		ev := s.todo[0]
		s.todo = s.todo[1:]
		for _, a := range s.bal.Handle(s.now, ev) {
			s.act(a)
		}
	}
	s.todo = s.todo[:0]
}

func (s *State) act(a lg.Action) {
	switch a.Do {
	case lg.Send:
		s.send(a)
	case lg.Refuse:
		if r := s.requests[a.Request]; r != nil {
			s.finish(r, Effect{Verdict: Busy, Advice: a.For})
		}
	case lg.Fail:
		if r := s.requests[a.Request]; r != nil {
			s.finish(r, Effect{Verdict: Broken})
		}
	case lg.SetTimer:
		s.clock.add(s.now+a.For, func() { s.tell(lg.Timer{Token: a.Token}) })
	case lg.Subscribe: // from here on calls follow each other by themselves
		s.firstCall()
	case lg.Log:
		s.do(Effect{Do: Log, Text: a.Text, Server: a.Server})
	}
}

func (s *State) take(ev Event) {
	switch ev := ev.(type) {
	case CallerOpened:
		s.opened(ev.Leg)
	case CallerReading:
		if c := s.callers[ev.Leg]; c != nil && (c.phase == callerIdle || c.phase == callerReading) {
			s.reading(c, ev)
		}
	case CallerAsked:
		s.asked(ev)
	case CallerWhole:
		s.wholly(ev)
	case CallerSpoilt:
		s.spoilt(ev)
	case HopBegins:
		s.begins(ev.Leg)
	case HopStreams:
		s.streams(ev)
	case CallerFaulty:
		s.reply(ev.Leg, Effect{Verdict: Faulty, Payload: ev.Payload, Last: ev.Last})
	case CallerFlooding:
		if c := s.callers[ev.Leg]; c != nil {
			c.last = true
		}
	case CallerProbed:
		verdict := NotReady
		if s.ready() {
			verdict = ReadyNow
		}
		s.reply(ev.Leg, Effect{Verdict: verdict, Last: ev.Last})
	case CallerWritten:
		s.callerWritten(ev)
	case CallerClosed:
		s.callerClosed(ev.Leg)
	case HopDialed:
		s.dialed(ev)
	case HopWritten:
		s.hopWritten(ev)
	case HopUnfit:
		s.unfit(ev.Leg)
	case HopUnsent:
		s.unsent(ev.Leg)
	case HopStray:
		if l := s.legs[ev.Leg]; l != nil && l.Idle() {
			s.drop(l)
		} else if l != nil {
			l.keep = false
		}
	case HopAnswered:
		s.answered(ev)
	case HopClosed:
		s.hopClosed(ev.Leg)
	case ListTold:
		s.changed()
		if !ev.Late {
			s.list.Know(!ev.Whole)
		}
		s.told(ev)
	case ListReached:
		s.list.Reached()
	case Settled:
		s.settled(ev)
	case CallerQuiet:
		s.quiet(ev.Leg)
	case CallersTold:
		s.telling, s.allTold = false, true
	case Reloaded:
		s.counts.loads++
		s.changed()
		s.reloaded(ev)
	case Remembered:
		if m, ok := s.bal.(interface {
			Import(now, ago time.Duration, l lg.Learned)
		}); ok {
			m.Import(s.now, ev.Ago, ev.Learned)
		}
	case ReloadFailed:
		s.counts.loadFails++
		s.changed()
	case Stopping:
		if !s.stopping {
			s.stopping = true
			s.share()
			s.readiness()
			s.clock.add(s.now+drainFor, s.drain)
		}
	}
}

// ready tells whether there is a next hop that takes requests.
func (s *State) ready() bool {
	return !s.stopping && !s.outgoing() && (s.list.confirmed || s.now >= s.cfg.Confirm) && s.pool.Ready() &&
		(s.list.used || s.pushed())
}

// Ready tells whether this process can serve.
func (s *State) Ready() bool { return s.ready() }

// Learned is what another process of this proxy should know, if the decider tells; it is gone when that is
// too old.
func (s *State) Learned() (l lg.Learned) {
	if m, ok := s.bal.(interface {
		Export(time.Duration) lg.Learned
	}); ok {
		l = m.Export(s.now)
	}
	return l
}

// share gives the hop legs' descriptors their bound: half while another process of this proxy holds its
// own.
func (s *State) share() {
	most := s.cfg.MaxHops
	if s.cfg.Overlap > 0 && (s.now < s.cfg.Overlap || s.stopping) {
		most = max(1, most/2)
	}
	s.pool.Limit(most)
	s.pooled()
}

// retuner is a decider that takes new settings while it runs.
type retuner interface {
	Retune(now time.Duration, set lg.Settings) error
}

// Retunes tells whether new settings can be taken while the proxy runs.
func (s *State) Retunes() bool {
	_, ok := s.bal.(retuner)
	return ok
}

// reloaded takes in a new configuration. Where discovery has moved, what it was asked at the
// old address is given up at once: there the answer may never come.
func (s *State) reloaded(ev Reloaded) {
	s.cfg.MaxCallers, s.cfg.MaxHops = ev.MaxCallers, ev.MaxHops
	if m, ok := s.bal.(retuner); ok && ev.Settings != nil {
		if err := m.Retune(s.now, *ev.Settings); err != nil {
			s.do(Effect{Do: Log, Text: "the settings stay as they were: " + err.Error()}) // checked when it was read
		} else {
			s.cfg.Settings = *ev.Settings
			s.list.Configure(listConfig(&s.cfg.Settings))
			s.countClasses(s.cfg.Settings)
		}
	}
	s.share()
	if ev.Discovery != s.cfg.Discovery {
		s.cfg.Discovery = ev.Discovery
		s.list.Move(s.now)
		s.watch()
	}
}

// sweep closes what has stood too long.
func (s *State) sweep() {
	s.clock.add(s.now+sweepEvery, s.sweep)
	s.pool.Sweep(s.now)
	s.pooled()
	for _, c := range inOrder(s.callers) {
		switch stood := s.now - c.since; c.phase {
		case callerReading:
			if c.by > 0 && s.now >= c.by || c.by == 0 && stood >= readWithin {
				s.reply(c.id, Effect{Verdict: TooSlow, Last: true})
			}
		case callerIdle:
			if !c.asked && stood >= askWithin || stood >= idleWithin {
				s.ease(c)
			}
		}
	}
}

// inOrder lists what a map holds by its keys. Guards against effects in an order that differs from
// one run to the next: the same events must give the same effects.
func inOrder[K cmp.Ordered, V any](m map[K]V) []V {
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

// drain ends the stay of idle callers, those that still come included.
func (s *State) drain() {
	s.drained = true
	s.clock.add(s.now+drainEvery, s.drain)
	s.easeIdle()
}

// easeIdle lets go of idle callers, but of those who have just come and mean to ask.
func (s *State) easeIdle() {
	for _, c := range inOrder(s.callers) {
		if c.phase == callerIdle && (c.asked || s.now-c.since >= soonAsked) {
			s.ease(c)
		}
	}
}

// ease lets an idle leg go if nothing has come on it: the sockets look, and CallerQuiet follows. Guards
// against closing a leg under a request that is on its way to this goroutine, which would be lost: it gets
// its answer. An idle leg is ended in no other way.
func (s *State) ease(c *caller) {
	c.eased = true
	s.do(Effect{Do: EaseCaller, Leg: c.id})
}

// quiet ends sending on a leg that is to be let go.
func (s *State) quiet(id LegID) {
	if c := s.callers[id]; c != nil && c.phase == callerIdle && c.eased {
		cause := ClosedIdle
		if c.wanted {
			cause = ClosedForRoom
		}
		s.part(c, cause)
	}
}

// finished ends the program once nobody is owed anything any more. Guards against leaving behind a caller
// whose connection is open by now, and not yet told here.
func (s *State) finished() {
	switch {
	case s.allTold:
		s.do(Effect{Do: Finish})
	case !s.telling:
		s.telling = true
		s.do(Effect{Do: TellCallers})
	}
}

// answering tells whether a caller leg has more to get.
func (s *State) answering() bool {
	for _, c := range s.callers {
		if c.phase != callerParting {
			return true
		}
	}
	return false
}
