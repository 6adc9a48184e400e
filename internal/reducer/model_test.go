package reducer

import (
	"slices"
	"testing"
	"time"

	lg "lilacglade"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{Figures: true, MaxCallers: 12, MaxHops: 8, IdleHops: time.Second, Settings: lg.Settings{
		Balancers: 1, Zones: 1, MaxAttempts: 4, AskForList: true, AskEvery: 5 * time.Second,
		ConnectTimeout: 200 * ms, MaxRetryAfter: time.Second, WarmWithin: time.Second, ColdShare: 0.5,
		TipWindow: time.Second, Report: []lg.LoadField{lg.LoadInFlight},
		Classes: []lg.Class{
			{Name: "edit", Aim: 400 * ms, Deadline: 800 * ms, Worth: 5, Effect: lg.Unsafe},
			{Name: "upload", Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 15, Effect: lg.Keyed,
				Group: lg.GroupZone, Memory: 1200 * ms}}}}
}

// call is a request as the model sees it.
type call struct {
	leg      LegID
	class    int
	deadline time.Duration
	out      bool // a branch of it is on a hop leg
	mayRun   bool
	ranAt    time.Duration // when the first branch was forwarded that may have run, or else the last one
	answers  int
	left     bool
	verdict  Verdict
	stream   bool // it is passed on as it comes in
	whole    bool // and its last byte has come
	gone     bool // it can't be sent again
	cut      bool // its answer was not passed on whole
}

type hopModel struct {
	server  lg.ServerID
	open    bool
	busy    *call // the exchange that is on it, nil when idle
	written bool
	feeds   *call // the answer to it is passed on from here
}

// model plays both sides of a State and holds what must be true of the connections.
type model struct {
	t        *testing.T
	s        *State
	now      time.Duration
	armed    time.Duration
	callers  map[LegID]*call // nil: idle
	writing  map[LegID]bool  // answers being written, and whether they are the last
	flooding map[LegID]bool  // sent too far ahead
	hops     map[LegID]*hopModel
	state    map[lg.ServerID]lg.State
	calls    []*call
	next     LegID
	stopped  bool
	done     bool
	figures  *Figures
	easing   []LegID
	parted   map[LegID]bool
	last     bool // the proxy asks who has connected
	lasts    int  // callers that come at that moment
	flows    map[*call]bool
	tries    uint64
}

func newModel(t *testing.T) *model {
	s, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, s: s, now: time.Hour, callers: map[LegID]*call{}, writing: map[LegID]bool{},
		flooding: map[LegID]bool{}, flows: map[*call]bool{}, parted: map[LegID]bool{},
		hops: map[LegID]*hopModel{}, state: map[lg.ServerID]lg.State{}}
	m.routes(lg.CachedList, lg.Ready, 1, 2, 3)
	m.routes(lg.FullList, lg.Ready, 1, 2, 3)
	return m
}

func (m *model) routes(kind lg.ListKind, state lg.State, ids ...lg.ServerID) {
	list := lg.List{Kind: kind}
	for _, id := range ids {
		m.state[id] = state
		list.Servers = append(list.Servers, lg.Server{ID: id, State: state, Weight: 1})
	}
	m.step(ListTold{List: list})
}

func (m *model) step(ev Event) {
	m.t.Helper()
	for _, e := range slices.Clone(m.s.Step(m.now, ev)) {
		m.see(e)
	}
	for len(m.easing) > 0 {
		leg := m.easing[0]
		m.easing = m.easing[1:]
		m.step(CallerQuiet{leg})
	}
	if m.last {
		if m.last = false; m.lasts > 0 {
			m.lasts--
			m.next += 1000
			m.open(m.next)
			m.ask(m.next, 0)
		}
		m.step(CallersTold{})
	}
}

// see checks one effect against the rules and takes it into the model.
func (m *model) see(e Effect) {
	m.t.Helper()
	switch e.Do {
	case AnswerCaller:
		c, known := m.callers[e.Leg]
		if _, twice := m.writing[e.Leg]; !known || twice {
			m.t.Fatalf("an answer on leg %d, which is gone or being written to", e.Leg)
		}
		if m.stopped && !e.Last {
			m.t.Fatal("a leg kept open by an answer after the stop began")
		}
		if m.flooding[e.Leg] && !e.Last {
			m.t.Fatal("a leg kept open whose caller sent too far ahead")
		}
		m.writing[e.Leg] = e.Last
		if c == nil {
			return
		}
		c.verdict = e.Verdict
		if c.answers++; c.answers > 1 {
			m.t.Fatal("two answers to one request")
		}
		if c.stream && !c.whole && !e.Last {
			m.t.Fatal("a leg kept open on which the rest of a request comes")
		}
		if e.Verdict == Busy && (c.mayRun || c.out) {
			m.t.Fatal("refused, though it may have run")
		}
	case CloseCaller:
		if c, ok := m.callers[e.Leg]; !ok {
			m.t.Fatalf("caller leg %d closed twice", e.Leg)
		} else if c == nil {
			m.t.Fatal("an idle leg closed on which something may have come")
		} else if c != nil && c.answers == 0 {
			m.t.Fatal("a leg closed with its request unanswered")
		}
		m.forget(e.Leg)
	case Dial:
		if m.hops[e.Leg] = (&hopModel{server: e.Server}); len(m.hops) > m.s.cfg.MaxHops {
			m.t.Fatalf("%d hop legs", len(m.hops))
		}
		if m.state[e.Server] != lg.Ready {
			m.t.Fatal("dialed a next hop that takes nothing new")
		}
	case Forward:
		h, c := m.hops[e.Leg], e.Payload.(*call)
		switch {
		case h == nil || !h.open || h.busy != nil || h.feeds != nil:
			m.t.Fatalf("forwarded on leg %d, which is closed or busy", e.Leg)
		case c.out || c.answers > 0 || c.left:
			m.t.Fatal("a second branch, or one after the answer, or for nobody")
		case c.gone:
			m.t.Fatal("a request sent again whose bytes are gone")
		case c.mayRun && c.class == 0:
			m.t.Fatal("an unsafe request sent again after it may have run")
		case m.state[h.server] != lg.Ready:
			m.t.Fatal("forwarded to a next hop that takes nothing new")
		case m.now >= c.deadline-margin:
			m.t.Fatal("forwarded after its time")
		case c.mayRun && m.now-c.ranAt >= m.s.cfg.Settings.Classes[c.class].Memory:
			m.t.Fatal("repeated after the window in which repeats are dropped")
		}
		if !c.mayRun {
			c.ranAt = m.now
		}
		h.busy, h.written, c.out = c, false, true
	case CloseHop:
		h := m.hops[e.Leg]
		if h == nil {
			m.t.Fatalf("hop leg %d closed twice", e.Leg)
		}
		if h.busy != nil {
			h.busy.out, h.busy.mayRun = false, true
		}
		delete(m.hops, e.Leg)
	case Arm:
		m.armed = e.At
	case EaseCaller:
		if c := m.callers[e.Leg]; c != nil {
			m.t.Fatal("a leg let go that is owed an answer")
		}
		m.easing = append(m.easing, e.Leg)
	case PartCaller:
		if m.callers[e.Leg] == nil {
			m.callers[e.Leg] = &call{leg: e.Leg, answers: 1}
		}
		m.parted[e.Leg] = true
	case TellCallers:
		m.last = true
	case Finish:
		m.done = true
		for _, c := range m.callers {
			if c == nil || c.answers == 0 {
				m.t.Fatal("ended with a caller that is owed something")
			}
		}
	case Publish:
		m.figures = e.Payload.(*Figures)
	}
}

// counted checks that every request taken is counted once: as handled, in the class and the way that its
// caller saw, or as in progress.
func (m *model) counted() {
	m.t.Helper()
	for m.s.counts.due { // what is published is not the newest
		m.pass(publishEvery / 4)
	}
	open, want := 0, []Handled{{Class: "edit"}, {Class: "upload"}}
	for _, c := range m.calls {
		switch w := &want[c.class]; {
		case c.answers == 0 && !c.left, m.flows[c]:
			open++
		case c.cut:
			w.BadGateway++
		case c.answers > 0 && c.verdict == Served:
			w.Passed++
		case c.answers > 0 && c.verdict == Busy:
			w.Dropped++
		default:
			w.BadGateway++
		}
	}
	if !slices.Equal(m.figures.Handled, want) || m.figures.InProgress != open || m.figures.Tries != m.tries ||
		m.s.counts.taken != uint64(len(m.calls)) {
		m.t.Fatalf("figures %+v, want %+v, %d in progress and %d tries", m.figures, want, open, m.tries)
	}
}

// flowed ends an answer that was passed on, if it was, and tells whether its hop leg is kept.
func (m *model) flowed(leg LegID, ok, keep bool) bool {
	c := m.callers[leg]
	if c == nil || !m.flows[c] {
		return false
	}
	delete(m.flows, c)
	c.cut = !ok
	for _, h := range m.hops {
		if h.feeds == c && ok && keep {
			h.feeds = nil
		}
	}
	return ok && keep
}

func (m *model) forget(leg LegID) {
	m.flowed(leg, false, false)
	if c := m.callers[leg]; c != nil {
		c.left = true
	}
	delete(m.callers, leg)
	delete(m.writing, leg)
	delete(m.parted, leg)
}

// kept tells whether a caller leg is there and not ended by the proxy.
func (m *model) kept(leg LegID) bool {
	_, there := m.callers[leg]
	return there && !m.parted[leg]
}

// pass lets time go by, waking the State whenever it asked for it.
func (m *model) pass(by time.Duration) {
	m.t.Helper()
	for end := m.now + by; m.now < end; {
		m.now = min(end, max(m.now, m.armed))
		m.step(Woken{})
	}
	if len(m.s.legs) != len(m.hops) || len(m.s.callers) != len(m.callers) {
		m.t.Fatalf("%d hop legs remembered of %d, %d caller legs of %d", len(m.s.legs), len(m.hops),
			len(m.s.callers), len(m.callers))
	}
	for id, h := range m.hops {
		if h.feeds != nil && !m.flows[h.feeds] {
			m.t.Fatalf("hop leg %d still gives an answer that nobody gets", id)
		}
	}
	for _, c := range m.calls {
		if m.now >= c.deadline && c.answers == 0 && !c.left {
			m.t.Fatal("no answer before the caller gave up")
		}
	}
}
