// Package maintenancesim plays the proxies that settle who goes out for work in virtual time: the real
// coordination and fencing of each, over a simulated network, disks, clocks and machines, with faults drawn
// from a seed. What happens is held against maintenance.InvariantChecker, which checks real processes too.
package maintenancesim

import (
	"container/heap"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lilacglade/internal/coordination"
	"lilacglade/internal/fencing"
	"lilacglade/internal/maintenance"
)

// Config is one play.
type Config struct {
	Seed     uint64
	Proxies  int // 0: 3 to 9
	Machines int // 0: 4 to 9
	Faults   int // 0: 4 to 14; under 0: none
	Trouble  time.Duration
	Kinds    []int // of the faults that are drawn; nil: all
	Lose     int   // so many proxies, a voter among them, are lost for good while orders go on
	// AloneAfter is the time after which a proxy without a lease serves nevertheless; 0: never. What it sends
	// until its first lease is not held against the promises.
	AloneAfter time.Duration
	Trace      func(string)
	// Break and Without take a guard out, to show that the judge finds what it guards against.
	Break   Break
	Without coordination.SafetyCheck
}

// Break is a guard that is taken out.
type Break int

// The guards.
const (
	Whole       Break = iota
	NoLapse           // a proxy whose lease has run out goes on as before
	NoClear           // proxies say that they are clear with requests in flight
	ForgetVotes       // a disk forgets what it has confirmed
	ForgetNote        // a disk forgets what the council keeps besides the log
	NoCut             // what was open when the lease ran out stays open
)

// Report is what came of a play.
type Report struct {
	Fault    error
	Requests int
	Frees    int
	Done     int // machines that came through their orders
	Steps    int
	Took     time.Duration // until all orders were through after the last fault was over; 0: not through
	Messages int
	Bytes    int
	Ran      time.Duration
	Calls    []*Call
}

// Call is an operators' call as its callers saw it.
type Call struct {
	Kind         maintenance.Kind
	Order        string
	Began, Ended time.Duration
	Known, Done  bool // it was answered, and how
}

const (
	grace      = 800 * time.Millisecond
	healedWait = 90 * time.Second
	forever    = time.Duration(math.MaxInt64)
)

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// world is one play.
type world struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	events   events
	order    int
	proxies  []*proxy
	machines []*machine
	cut      map[[2]string]bool
	slow     map[[2]string]time.Duration
	loss     float64
	judge    *maintenance.InvariantChecker
	calls    map[string]string // id -> what it gave
	made     map[string]*Call
	lastCall int
	orders   []string
	report   Report
	healed   bool
}

type machine struct {
	maintenance.Machine
	ready bool
	busy  bool // staff work on it
	never bool // it does not come back
}

// proxy is a process of one, or its place.
type proxy struct {
	w        *world
	name     string
	inc      uint64
	alive    bool
	paused   bool
	left     bool
	backlog  []func()
	rate     float64
	offset   time.Duration
	council  *coordination.Coordinator
	holds    *fencing.Fence[string]
	disk     *disk
	old      *disk
	aged     bool // it had an older disk once: the library may find out
	open     map[string]int
	flights  []*flight
	seenWork uint64
	lost     bool   // for good
	killAt   int    // effects until it is killed; 0: not to be
	level    uint64 // what its program understands; 0: all
	wakeAt   time.Duration
}

// Play plays one schedule. The agreement library takes its random numbers from the system's reader, which is
// the seed's meanwhile: one play runs at a time.
func Play(cfg Config) Report {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], cfg.Seed)
	defer func(old io.Reader) { crand.Reader = old }(crand.Reader)
	crand.Reader = rand.NewChaCha8(key)
	w := &world{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), judge: maintenance.NewInvariantChecker(),
		cut: map[[2]string]bool{}, slow: map[[2]string]time.Duration{}, calls: map[string]string{},
		made: map[string]*Call{}}
	w.build()
	w.run()
	w.report.Ran = w.now
	w.report.Requests, w.report.Frees = w.judge.Requests, w.judge.Frees
	if w.report.Fault == nil {
		w.report.Fault = w.judge.Fault
	}
	return w.report
}

func (w *world) at(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)+1))
}

func (w *world) trace(format string, args ...any) {
	if w.cfg.Trace != nil {
		w.cfg.Trace(fmt.Sprintf("%8.3f ", w.now.Seconds()) + fmt.Sprintf(format, args...))
	}
}

func (w *world) build() {
	n := w.cfg.Proxies
	if n == 0 {
		n = 3 + w.rng.IntN(7)
	}
	m := w.cfg.Machines
	if m == 0 {
		m = 4 + w.rng.IntN(6)
	}
	for i := range m {
		w.machines = append(w.machines, &machine{Machine: maintenance.Machine{ID: fmt.Sprintf("m%d", i),
			Zone: fmt.Sprintf("z%d", i%2), Model: fmt.Sprintf("k%d", i%3), Weight: 1}, ready: true})
	}
	old := w.rng.IntN(4) == 0 // some programs are of the version before
	for i := range n {
		p := &proxy{w: w, name: fmt.Sprintf("p%d", i), rate: 0.98 + 0.04*w.rng.Float64(),
			offset: w.between(0, time.Hour), disk: newDisk(w.rng)}
		if old && w.rng.IntN(2) == 0 {
			p.level = maintenance.LevelFirst
		}
		w.proxies = append(w.proxies, p)
		w.at(w.between(0, time.Second), p.start)
	}
	w.at(3*time.Second, w.operate)
	faults := w.cfg.Faults
	if faults == 0 {
		faults = 4 + w.rng.IntN(11)
	}
	trouble := w.cfg.Trouble
	if trouble == 0 {
		trouble = w.between(10*time.Second, 40*time.Second)
	}
	for range max(0, faults) {
		w.at(w.between(2*time.Second, trouble), w.fault)
	}
	for i := range w.cfg.Lose {
		w.at(w.between(5*time.Second, 10*time.Second), func() { w.lose(w.proxies[i*(n-1)/max(1, w.cfg.Lose-1)]) })
	}
	w.at(trouble, w.heal)
}

func (w *world) run() {
	for len(w.events) > 0 && w.judge.Fault == nil && w.report.Fault == nil {
		ev := heap.Pop(&w.events).(event)
		w.now = ev.at
		ev.do()
		if w.healed && w.through() {
			return
		}
	}
}

// through tells whether all orders are through, after all faults are over.
func (w *world) through() bool {
	for _, p := range w.proxies {
		if !p.alive || !p.council.IsLeader() {
			continue
		}
		work := p.council.Maintenance()
		done := 0
		for _, x := range work.Works {
			if !x.Step.Ended() && x.Step != maintenance.Failed {
				return false
			}
			if x.Step == maintenance.Done {
				done++
			}
		}
		w.report.Done = done
		return len(w.calls) == 0 || w.lastCall > 0
	}
	return false
}

func (w *world) founders() []string {
	n := 3
	if len(w.proxies) >= 7 {
		n = 5
	}
	var names []string
	for _, p := range w.proxies[:n] {
		names = append(names, p.name)
	}
	return names
}

// start starts the proxy's process.
func (p *proxy) start() {
	if p.alive || p.lost {
		return
	}
	w := p.w
	p.inc = w.rng.Uint64() | 1
	back := p.disk.open()
	if p.aged { // staff wipe what a proxy would go on by before they put an older disk back
		back.Note = nil
	}
	if w.rng.IntN(2) == 0 {
		p.level = 0 // it was upgraded
	}
	var peers []string
	for _, o := range w.proxies {
		if o != p {
			peers = append(peers, o.name)
		}
	}
	c, err := coordination.New(coordination.Config{Name: p.name, Incarnation: p.inc, Addr: "a-" + p.name,
		InitialVoters: w.founders(), Peers: peers, Grace: grace, Seed: w.rng.Uint64(),
		ReplaceAfter: 8 * time.Second, WarmAfter: time.Second, AloneAfter: w.cfg.AloneAfter,
		Disabled: w.cfg.Without, Level: p.level, ID: back.ID, Boot: back.Boot, Saved: back.Saved, Note: back.Note})
	if err != nil {
		w.report.Fault = fmt.Errorf("%s does not start: %w", p.name, err)
		return
	}
	p.council, p.holds, p.open = c, fencing.New[string](), map[string]int{}
	p.flights = nil
	p.alive, p.paused, p.left, p.backlog = true, false, false, nil
	p.seenWork, p.killAt, p.wakeAt = 0, 0, 0
	w.trace("%s starts as %x, boot %d", p.name, p.inc, back.Boot)
	inc := p.inc
	p.every(coordination.TickEvery, inc, func() { p.step(coordination.Tick{}) })
	p.every(w.between(15*time.Millisecond, 60*time.Millisecond), inc, p.ask)
	p.every(700*time.Millisecond, inc, p.discovery)
	p.discovery()
}

// every does something again and again while this process lives. A paused process does it once when it goes
// on.
func (p *proxy) every(d time.Duration, inc uint64, do func()) {
	var again func()
	again = func() {
		if !p.alive || p.inc != inc {
			return
		}
		if p.paused {
			p.backlog = append(p.backlog, again)
			return
		}
		do()
		p.w.at(d, again)
	}
	p.w.at(d, again)
}

// later does something in this process, when it is not paused.
func (p *proxy) later(d time.Duration, do func()) {
	inc := p.inc
	var run func()
	run = func() {
		if !p.alive || p.inc != inc {
			return
		}
		if p.paused {
			p.backlog = append(p.backlog, run)
			return
		}
		do()
	}
	p.w.at(d, run)
}

// clock is what the process's monotonic clock reads.
func (p *proxy) clock() time.Duration { return p.offset + time.Duration(p.rate*float64(p.w.now)) }

func (p *proxy) key() string { return maintenance.Key(p.name, p.inc) }

// step gives the council an event and does what it wants.
func (p *proxy) step(ev coordination.Event) {
	if !p.alive {
		return
	}
	w, inc := p.w, p.inc
	w.report.Steps++
	effects, ok := p.safely(ev)
	if !ok {
		p.disk = newDisk(w.rng)
		p.step(p.disk.open())
		return
	}
	if work := p.council.Maintenance(); work.Index != p.seenWork {
		p.seenWork = work.Index
		w.judge.ObserveState(p.name, work)
		w.staff(work)
	}
	for _, e := range effects {
		if p.killAt > 0 {
			if p.killAt--; p.killAt == 0 {
				p.kill()
				return
			}
		}
		if !p.effect(e) {
			p.step(coordination.DiskLost{})
			p.later(w.between(time.Second, 3*time.Second), p.tryDisk)
			return
		}
		if !p.alive || p.inc != inc {
			return
		}
	}
}

// safely steps the council. Where the library finds a state that can't be, the driver sets the disk aside.
func (p *proxy) safely(ev coordination.Event) (effects []coordination.Effect, ok bool) {
	defer func() {
		if r := recover(); r != nil {
			p.w.trace("%s: the log can't be gone on with: %v", p.name, r)
			if p.w.cfg.Break != ForgetVotes && !p.aged {
				p.w.report.Fault = fmt.Errorf("%s: %v", p.name, r)
			}
			effects, ok = nil, false
		}
	}()
	return slices.Clone(p.council.Step(p.clock(), ev)), true
}

// tryDisk opens the disk again after a write that failed.
func (p *proxy) tryDisk() {
	if p.disk.full {
		p.later(time.Second, p.tryDisk)
		return
	}
	p.step(p.disk.open())
}

// effect does one thing; false: the disk failed.
func (p *proxy) effect(e coordination.Effect) bool {
	w := p.w
	switch e := e.(type) {
	case coordination.Persist:
		if w.cfg.Break == ForgetVotes && w.rng.IntN(3) == 0 {
			return true
		}
		return p.disk.write(e.Write)
	case coordination.PersistRecord:
		if p.disk.full {
			return false
		}
		if p.disk.used = true; w.cfg.Break != ForgetNote || p.disk.note == nil || w.rng.IntN(3) > 0 {
			p.disk.note = e.Note
		}
	case coordination.Send:
		w.deliver(p.name, e.To, e.Raw)
	case coordination.Restrictions:
		f := fencing.Restrictions[string]{Index: e.Index, Named: e.Named, LeaseUntil: e.LeaseUntil, Grace: e.Grace,
			Alone: e.Alone}
		for _, m := range e.Marked {
			f.Marked = append(f.Marked, fencing.Mark[string]{Machine: m.Machine, Grant: m.Grant})
		}
		if w.cfg.Break == NoLapse && f.LeaseUntil > 0 {
			f.LeaseUntil = forever
		}
		if w.cfg.Break == NoCut {
			f.Grace = time.Hour
		}
		p.later(w.between(0, 5*time.Millisecond), func() {
			p.holds.Update(f)
			p.react()
		})
	case coordination.Reply:
		a := e.Answer
		w.trace("%s answers call %s: done %t %s", p.name, a.ID, a.Done, a.Err)
		if !strings.HasPrefix(a.Err, "no leader") && !strings.HasPrefix(a.Err, "asked again") {
			got := fmt.Sprint(a.Done, a.Err)
			if was, ok := w.calls[a.ID]; ok && was != got && a.Done != strings.HasPrefix(was, "true") {
				w.report.Fault = fmt.Errorf("call %s gave %q, then %q", a.ID, was, got)
			}
			w.calls[a.ID] = got
			if m := w.made[a.ID]; m != nil && !m.Known {
				m.Known, m.Done, m.Ended = true, a.Done, w.now
			}
		}
	case coordination.Retire:
		w.trace("%s retires: %s", p.name, e.Reason)
		p.disk = newDisk(w.rng)
		p.step(p.disk.open())
	case coordination.LeaveComplete:
		p.kill()
	case coordination.Log:
		w.trace("%s: %s", p.name, e.Text)
	}
	return true
}

// react is the reducer after an event: it looks at the clock first.
func (p *proxy) react() {
	_, cut := p.holds.Advance(p.clock())
	if cut {
		for _, id := range p.holds.Named() {
			p.endAll(id)
		}
	}
	var clear []maintenance.Mark
	for _, m := range p.holds.ClearMarks(func(id string) int {
		if p.w.cfg.Break == NoClear {
			return 0
		}
		return p.open[id]
	}) {
		clear = append(clear, maintenance.Mark{Machine: m.Machine, Grant: m.Grant})
	}
	p.step(coordination.RestrictionsApplied{Index: p.holds.Index(), Clear: clear})
	if due := p.holds.NextDeadline(); p.alive && due > 0 && due < forever && due != p.wakeAt {
		p.wakeAt = due
		d := time.Duration(float64(due-p.clock()) / p.rate)
		p.later(max(0, d)+time.Microsecond, p.react)
	}
}
