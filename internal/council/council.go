// Package council is one proxy's part among the proxies that talk to each other: the lease without which it
// begins nothing at machines that may be out for work, its part in the log that a few of them agree on, and
// operators' calls. It is pure: State, absolute time and event in, effects out, to be done in their order.
package council

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lilacglade/internal/agree"
	"lilacglade/internal/members"
	"lilacglade/internal/workorder"
)

// Times and bounds.
const (
	TickEvery    = 100 * time.Millisecond // between two Ticks
	renewEvery   = time.Second            // at least, between two renewals of a lease
	renewPace    = 10 * time.Millisecond  // all parties' renewals together leave the leader so much time each
	leaseParts   = 3                      // a lease lasts for so many renewals
	deafAfter    = 4                      // who has heard no answer to so many gets none
	joinEvery    = 300 * time.Millisecond // between two calls while there is no lease
	helloEvery   = 500 * time.Millisecond
	helloFresh   = 3 * time.Second // an answer counts for the founding so long
	drift        = 1.05            // two clocks of which each is wrong by 2 in 100, and some
	aliveFor     = 2 * time.Second
	askAgain     = 400 * time.Millisecond // an operators' call is passed on again
	askFor       = 4 * time.Second        // and given up
	resumeAfter  = time.Second            // without a lease, what the disk knew is gone by
	roomFor      = 30 * time.Second       // a measure of a machine's room counts so long
	busyMemory   = time.Second
	proposeAgain = time.Second
	mostCalls    = 64  // operators' calls in work at one proxy
	mostAvoids   = 16  // machines that a proxy names as set aside, or as holding a hot key
	roomsEach    = 16  // machines whose room is told with one renewal; all come by turns
	roomVoices   = 7   // proxies whose measure of a machine's room counts, the latest
	mostNotes    = 256 // of one entry
)

// Config is what a Council knows from its start on.
type Config struct {
	Name     string
	Inc      uint64 // this process; never used twice
	Addr     string // where it listens to its peers
	Founders []string
	Peers    []string      // all that the configuration names, without this one
	Grace    time.Duration // the longest that a request may take
	Seed     uint64
	// ReplaceAfter: a voter that is not heard for so long loses its vote to another proxy
	ReplaceAfter time.Duration
	WarmAfter    time.Duration // a machine that came back is done then
	AloneAfter   time.Duration // without a lease the proxy serves after this, against the promise; 0: never
	Level        uint64        // what this program understands; 0: workorder.LevelNow. For plays of two versions

	Without Guard // taken out; for plays that show what it guards against

	ID, Boot uint64 // of the disk
	Saved    agree.Saved
	Note     []byte
}

// Guard is one that a play can take out.
type Guard uint8

// The guards.
const (
	None        Guard = iota
	Confirm           // a leader answers renewals without asking a majority
	LeadWait          // a new leader takes it that nobody has a lease of the one before
	LeaseWait         // a lease counts as over once it is not renewed in time
	GraceWait         // and what was open then as over, too
	SentCount         // a lease counts from when it came, not from when it was asked for
	BootCompare       // an older disk votes
	FromTold          // a party that goes on by its disk's knowledge doesn't say so
	LevelWait         // what older programs don't understand is proposed all the same
)

// Event is something that happened: a Tick, Received, Asked, Stopped, Inventory, Load, Leaving or DiskLost.
type Event interface{ event() }

type (
	// Tick is due every TickEvery.
	Tick struct{}
	// Received brings a peer's message.
	Received struct{ Raw []byte }
	// Asked brings an operators' call; Reply with the token follows.
	Asked struct {
		Token uint64
		Call  Call
	}
	// Stopped says up to where the reducer keeps to the Facts, and that it has nothing at these machines, of
	// these grants.
	Stopped struct {
		Index uint64
		Clear []workorder.Mark
	}
	// Inventory is the machines as discovery lists them now.
	Inventory struct{ Machines []workorder.Seen }
	// Load counts requests since the last Load, those that are in work at machines now, and what was measured.
	Load struct {
		Handled, Refused uint64
		Busy             float64
		Avoids           []string // machines that it has set aside
		Hot              []string // machines where it sends a hot key
		Rooms            []Room
	}
	// Leaving says that the proxy has ended all it had open; Left follows.
	Leaving struct{}
	// DiskLost says that a Write failed: nothing behind it was done.
	DiskLost struct{}
	// DiskBack says that the disk can be written again, and what is on it.
	DiskBack struct {
		ID, Boot uint64
		Saved    agree.Saved
		Note     []byte
	}
)

func (Tick) event()      {}
func (Received) event()  {}
func (Asked) event()     {}
func (Stopped) event()   {}
func (Inventory) event() {}
func (Load) event()      {}
func (Leaving) event()   {}
func (DiskLost) event()  {}
func (DiskBack) event()  {}

// Effect is something to do: a Persist, Keep, Send, Facts, Reply, Retire, Left or Log. If a Persist or Keep
// fails, what is behind it is not done, and DiskLost is told.
type Effect any

type (
	// Persist is to be on the disk, synced, before what comes behind it is done.
	Persist struct{ Write *agree.Write }
	// Keep is the same for the note.
	Keep struct{ Note []byte }
	// Send has a message sent to a peer; it may be lost. Addr is where it listens, "" if only the name is known.
	Send struct {
		To, Addr string
		Raw      []byte
	}
	// Facts tells the reducer what holds now.
	Facts struct {
		Index  uint64
		Marked []workorder.Mark // nothing new there
		Named  []string         // nothing new there from Until on, and nothing at all Grace later
		Until  time.Duration    // on the clock of now; 0: no lease yet, nothing new anywhere
		Grace  time.Duration
	}
	// Reply ends an Asked.
	Reply struct {
		Token  uint64
		Answer Answer
	}
	// Retire wants the disk set aside and a new identity: DiskBack follows.
	Retire struct{ Why string }
	// Left ends Leaving.
	Left struct{}
	// Log is a line for the operator.
	Log struct{ Text string }
)

// Council is the state. New makes one; one goroutine owns it.
type Council struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	out     []Effect
	local   [][]byte // messages to itself
	table   *members.Table
	core    *agree.Core // nil while there is no disk
	rep     *replica
	cluster uint64
	held    bool // a voter that has started may not vote yet
	blank   map[string]time.Duration
	helloAt time.Duration
	agreed  map[string]bool // peers that know no later start of this identity
	resume  *Note           // what an earlier process here has said that it knows; nil: nothing is known of it
	from    uint64          // index of it, for good
	kept    bool            // the disk has, or is about to have, what there is to keep

	party  party
	lead   lead
	calls  map[string]*pending
	seen   map[string]workorder.Seen // the machines as discovery lists them
	seenAt time.Duration

	Foreign uint64 // messages that were not understood, or not for this one
}

// party is what this proxy knows as one that sends to machines.
type party struct {
	seq      uint64
	sentAt   map[uint64]time.Duration // renewals that are out
	renewAt  time.Duration            // the next
	every    time.Duration
	hint     string // who may lead
	turn     int
	until    time.Duration
	index    uint64 // of what it was told
	level    uint64 // of the log
	reducer  uint64 // of what its reducer keeps to
	knows    uint64 // up to which it says that it knows the state
	heard    uint64 // the last renewal that was answered
	urgent   uint64 // the leader should know soon that it does, from this index on
	named    []string
	marked   []workorder.Mark
	clear    []workorder.Mark
	grace    time.Duration
	voters   []Voter
	handled  uint64
	refused  uint64
	avoids   []string
	hot      []string
	busy     float64 // mean of busyNow over about busyMemory
	busyNow  float64
	busyAt   time.Duration
	rooms    []Room
	roomTurn int
	leaving  bool
	left     bool
	told     Facts
	toldOnce bool
	began    time.Duration
}

// lead is what a leader knows besides the log. It begins anew with each term.
type lead struct {
	term    uint64
	since   time.Duration // this lead
	renewed map[string]time.Duration
	said    map[string]*said
	joins   []workorder.Command // parties that come and go, to be proposed
	knows   []workorder.Note
	clears  []workorder.Note
	nonce   uint64 // of the proposal that is out; 0: none
	propAt  time.Duration
	want    []renewer // to be answered once a majority has confirmed the lead
	reads   map[uint64]*reading
	token   uint64
	asked   []*asked                 // operators' calls to be proposed
	open    []*asked                 // proposed
	steps   map[string]stepped       // when each machine came to its step
	voterAt map[uint64]time.Duration // when each voter was last heard
	change  time.Duration            // when the voters were last to be changed
	pushed  string                   // what the parties were told last
	pushAt  uint64
	rooms   map[string][]voice // of each machine, the latest last
}

// voice is what a party measured of a machine's room.
type voice struct {
	key  string
	most float64
	at   time.Duration
}

// said is what a party said of itself with its last renewal.
type said struct {
	at               time.Duration
	handled, refused uint64
	avoids, hot      []string
	busy             float64
}

type renewer struct {
	from  string
	inc   uint64
	renew *Renew
	call  *asked // a status that is asked for
	came  time.Duration
}

type reading struct {
	index   uint64 // 0: not confirmed yet
	waiting []renewer
}

type asked struct {
	from string
	call Call
}

type stepped struct {
	number uint64
	at     time.Duration
}

// pending is an operators' call that came to this proxy.
type pending struct {
	token  uint64
	call   Call
	until  time.Duration
	sentAt time.Duration
}

// New returns a Council.
func New(cfg Config) (*Council, error) {
	c := &Council{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Inc)), table: members.New(cfg.ReplaceAfter),
		blank: map[string]time.Duration{}, calls: map[string]*pending{}, agreed: map[string]bool{}}
	c.party = party{sentAt: map[uint64]time.Duration{}, every: joinEvery}
	c.cfg.Level = cmp.Or(cfg.Level, workorder.LevelNow)
	if err := c.load(cfg.Saved, cfg.Note); err != nil {
		return c, err
	}
	var n Note
	if len(cfg.Note) > 0 && workorder.Decode(cfg.Note, &n) == nil && n.Index > 0 &&
		c.cfg.Level >= workorder.LevelResume {
		c.resume, c.from = &n, n.Index
	}
	return c, nil
}

// load begins with what is on the disk.
func (c *Council) load(saved agree.Saved, note []byte) error {
	c.rep = &replica{Work: workorder.New(), Voters: map[uint64]Voter{}}
	c.lead = lead{}
	if len(note) > 0 {
		var n Note
		if err := workorder.Decode(note, &n); err != nil {
			return err
		}
		c.cluster = n.Cluster
	}
	c.kept = true
	core, state, err := agree.Open(c.cfg.ID, saved)
	if err != nil {
		return err
	}
	if state != nil {
		if err := c.install(state); err != nil {
			return err
		}
	}
	c.core = core
	c.held = saved.Hard != nil && c.cfg.Boot > 1 && c.cfg.Without != BootCompare
	clear(c.agreed)
	return nil
}

// ErrLater is of a log that this program is too old for.
var ErrLater = errors.New("all other proxies understand more than this program: it takes no part, and is " +
	"not ready; start a later one")

func (c *Council) install(state []byte) error {
	rep := &replica{}
	if err := workorder.Decode(state, rep); err != nil {
		return err
	}
	if rep.Work == nil {
		return errors.New("a snapshot without a state")
	}
	rep.Work.Filled()
	if rep.Work.Level > c.cfg.Level {
		return ErrLater
	}
	if rep.Voters == nil {
		rep.Voters = map[uint64]Voter{}
	}
	c.rep = rep
	return nil
}

// Step takes one event at the given time. The slice is used again by the next call.
func (c *Council) Step(now time.Duration, ev Event) []Effect {
	c.now = max(c.now, now)
	c.out = c.out[:0]
	c.take(ev)
	c.settle()
	c.tell()
	return c.out
}

func (c *Council) do(e Effect) { c.out = append(c.out, e) }

func (c *Council) take(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		c.tick()
	case Received:
		c.received(ev.Raw)
	case Asked:
		c.ask(ev)
	case Stopped:
		c.stopped(ev)
	case Inventory:
		c.listed(ev.Machines)
	case Load:
		c.party.handled += ev.Handled
		c.party.refused += ev.Refused
		c.party.avoids = ev.Avoids[:min(len(ev.Avoids), mostAvoids)]
		c.party.hot = ev.Hot[:min(len(ev.Hot), mostAvoids)]
		c.party.rooms = ev.Rooms
		c.party.mean(c.now)
		c.party.busyNow = ev.Busy
	case Leaving:
		c.leave()
	case DiskLost:
		c.core = nil // it votes no more until the disk is back, and goes on as a party
		c.lead = lead{}
		c.kept, c.party.toldOnce = false, false // what stood behind the write was not done
		if c.party.leaving && !c.party.left {   // the disk still knows what it would go on by
			c.party.left = true
			c.do(Left{})
		}
		c.do(Log{"the disk can't be written: this proxy gives up its vote until it can"})
	case DiskBack:
		c.cfg.ID, c.cfg.Boot = ev.ID, ev.Boot
		if err := c.load(ev.Saved, ev.Note); err != nil {
			c.core = nil
			c.do(Retire{err.Error()})
			return
		}
		if c.party.index > 0 {
			c.keep()
			c.known()
		}
	}
}

// leave ends this party. Guards against a next process that goes on by what the disk knew: nobody waits for
// this party's word any more once it has left.
func (c *Council) leave() {
	p := &c.party
	p.leaving, p.renewAt, c.resume = true, 0, nil
	if c.core != nil && c.core.Leads() {
		c.core.Yield()
	}
	if !c.kept && p.level >= workorder.LevelResume {
		p.left = true // it is found out by its lease
		c.do(Left{})
		return
	}
	c.keep()
}

// settle does what the log wants done, and what this one has to say to itself.
func (c *Council) settle() {
	for again := true; again; {
		again = false
		for len(c.local) > 0 {
			raw := c.local[0]
			c.local = c.local[1:]
			c.received(raw)
			again = true
		}
		if c.core == nil {
			continue
		}
		out, err := c.core.Next(func() []byte { return workorder.Encode(c.rep) })
		if err != nil {
			c.core = nil
			c.do(Retire{err.Error()})
			return
		}
		if out != nil {
			again = true
			c.carry(out)
		}
		if c.leads() && c.propose() {
			again = true
		}
	}
}

// carry turns what the log wants into effects.
func (c *Council) carry(out *agree.Out) {
	if out.Write != nil {
		c.do(Persist{out.Write})
	}
	for _, m := range out.Messages {
		if v, ok := c.voter(m.GetTo()); ok {
			c.send(v.Name, v.Addr, &Envelope{Raft: agree.Marshal(m)})
		}
	}
	if out.Install != nil {
		if err := c.install(out.Install); err != nil {
			c.core = nil
			c.do(Retire{err.Error()})
			return
		}
	}
	for _, e := range out.Entries {
		c.apply(e)
	}
	for _, r := range out.Reads {
		if rd := c.lead.reads[r.Token]; rd != nil {
			rd.index = r.Index
		}
	}
	c.confirmed()
}

// voter is where a voter is, also one that the log has not told of yet.
func (c *Council) voter(id uint64) (Voter, bool) {
	if v, ok := c.rep.Voters[id]; ok {
		return v, true
	}
	for _, m := range c.table.All() {
		if m.ID == id {
			return Voter{id, m.Name, m.Addr}, true
		}
	}
	return Voter{}, false
}

// apply takes in an agreed entry.
func (c *Council) apply(e agree.Entry) {
	if c.core == nil {
		return // given up at an entry before
	}
	if e.IsConf {
		c.changed(e)
		return
	}
	if len(e.Data) == 0 {
		return
	}
	var b batch
	if err := workorder.Decode(e.Data, &b); err != nil {
		c.do(Log{fmt.Sprintf("entry %d: %v", e.Index, err)})
		return
	}
	if slices.ContainsFunc(b.Commands, func(cmd workorder.Command) bool {
		return cmd.Kind == workorder.Raise && cmd.Index > c.cfg.Level
	}) {
		c.tooOld()
		return
	}
	for _, cmd := range b.Commands {
		err := c.rep.Work.Apply(e.Index, cmd)
		if cmd.Call != "" {
			c.callDone(cmd.Call, err)
		}
	}
	if b.Nonce == c.lead.nonce {
		c.lead.nonce = 0
	}
}

// changed takes in a change of the voters.
func (c *Council) changed(e agree.Entry) {
	var f founding
	if len(e.Conf) > 0 {
		if err := workorder.Decode(e.Conf, &f); err != nil {
			c.do(Log{fmt.Sprintf("entry %d: %v", e.Index, err)})
		}
	}
	if f.Cluster != 0 {
		c.rep.Cluster = f.Cluster
		c.adopt(f.Cluster)
	}
	for _, v := range f.Voters {
		c.rep.Voters[v.ID] = v
	}
	c.lead.change = 0
	maps.DeleteFunc(c.rep.Voters, func(id uint64, _ Voter) bool { return !slices.Contains(e.Voters, id) })
}

// adopt makes this proxy part of a log for good.
func (c *Council) adopt(cluster uint64) {
	if c.cluster != cluster {
		c.cluster = cluster
		c.keep()
	}
}

// keep has the note kept. Guards against a party that says it knows what may go out, is killed, and goes on
// without knowing it.
func (c *Council) keep() {
	n := Note{Cluster: c.cluster}
	switch p := &c.party; {
	case p.leaving || p.level < workorder.LevelResume && c.resume == nil:
	case p.index == 0 && c.resume != nil: // nothing was heard yet: an earlier process's words still hold
		n = *c.resume
		n.Cluster = c.cluster
	default:
		n.Index, n.Named, n.Grace = p.index, p.named, p.grace
	}
	c.do(Keep{workorder.Encode(n)})
}

// tooOld gives up the part in a log that this program does not understand.
func (c *Council) tooOld() {
	c.core, c.lead, c.resume = nil, lead{}, nil
	c.do(Log{ErrLater.Error()})
}

// send has an envelope sent, to itself too.
func (c *Council) send(to, addr string, e *Envelope) {
	e.Version, e.From, e.Inc, e.To = uint8(c.cfg.Level), c.cfg.Name, c.cfg.Inc, to
	if e.Addr, e.Cluster = c.cfg.Addr, c.cluster; c.core != nil {
		e.ID, e.Boot = c.cfg.ID, c.cfg.Boot
	}
	raw := workorder.Encode(e)
	if to == c.cfg.Name {
		c.local = append(c.local, raw)
		return
	}
	c.do(Send{to, addr, raw})
}

// received takes a message. What is not understood, or from another log, is counted and changes nothing.
func (c *Council) received(raw []byte) {
	var e Envelope
	if err := workorder.Decode(raw, &e); err != nil || e.Version < firstVersion || e.From == "" || e.Inc == 0 ||
		e.To != c.cfg.Name {
		c.Foreign++
		return
	}
	if e.Cluster != 0 && c.cluster != 0 && e.Cluster != c.cluster {
		c.Foreign++
		return
	}
	own := e.From == c.cfg.Name
	if own && e.Inc != c.cfg.Inc {
		c.Foreign++ // another process under this one's name
		return
	}
	if !own {
		m := members.Member{Name: e.From, Inc: e.Inc, ID: e.ID, Boot: e.Boot, Addr: e.Addr,
			Level: uint64(e.Version)}
		if e.Hello != nil {
			m.Blank = e.Hello.Blank
		}
		c.table.Heard(c.now, m)
		if c.leads() {
			c.lead.voterAt[e.ID] = c.now
		}
	}
	switch {
	case e.Hello != nil:
		c.hello(&e)
	case len(e.Raft) > 0:
		c.raft(&e)
	case e.Renew != nil:
		c.renewing(&e)
	case e.Lease != nil:
		c.leased(&e)
	case e.Call != nil:
		c.called(&e)
	case e.Answer != nil:
		c.answered(e.Answer)
	default:
		c.Foreign++
	}
}

func (c *Council) raft(e *Envelope) {
	if c.core == nil || c.held {
		return
	}
	if e.Cluster == 0 {
		c.Foreign++
		return
	}
	if c.cluster == 0 {
		c.adopt(e.Cluster)
	}
	if err := c.core.Step(e.Raft); err != nil {
		c.Foreign++
	}
}

func (c *Council) tick() {
	if c.party.began == 0 {
		c.party.began = max(1, c.now)
	}
	c.founding()
	if c.core != nil && !c.held {
		c.core.Tick()
	}
	c.watchLead()
	if c.leads() {
		c.steer()
	}
	c.renew()
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		p := c.calls[id]
		if c.now >= p.until {
			delete(c.calls, id)
			c.do(Reply{p.token, Answer{ID: id, Err: "no leader answers; the call may still be carried out: ask " +
				"again with the same id"}})
		} else if c.now-p.sentAt >= askAgain {
			c.pass(p)
		}
	}
}

// blankNow tells whether this proxy has never been part of a log.
func (c *Council) blankNow() bool {
	return c.core != nil && c.cluster == 0 && c.core.Applied() == 0 && len(c.core.Voters()) == 0
}

// founding begins the log, once all founders are there and none knows of one. Guards against a second log:
// a founder that has lost its disk hears from the others that there is one, and is taken in anew.
func (c *Council) founding() {
	if c.now < c.helloAt {
		return
	}
	c.helloAt = c.now + helloEvery
	if c.held && c.core != nil {
		c.mayVote()
	}
	if !c.blankNow() || !slices.Contains(c.cfg.Founders, c.cfg.Name) {
		return
	}
	all := true
	for _, f := range c.cfg.Founders {
		if f == c.cfg.Name {
			continue
		}
		c.send(f, "", &Envelope{Hello: &Hello{Blank: true, Want: true}})
		at, ok := c.blank[f]
		all = all && ok && c.now-at < helloFresh
	}
	if !all || c.cfg.Founders[0] != c.cfg.Name {
		return
	}
	c.adopt(c.rng.Uint64() | 1)
	self := Voter{c.cfg.ID, c.cfg.Name, c.cfg.Addr}
	c.rep.Voters[self.ID] = self
	if err := c.core.Found(workorder.Encode(founding{c.cluster, []Voter{self}})); err != nil {
		c.do(Log{"founding: " + err.Error()})
		return
	}
	c.do(Log{"the founders have found each other: the log begins"})
}

// mayVote lets a voter that has started vote again, once enough others know no later start of it. Guards
// against an older copy of its disk: it would have forgotten votes that it gave.
func (c *Council) mayVote() {
	voters := c.core.Voters()
	others := 0
	for _, id := range voters {
		v, ok := c.voter(id)
		if !ok || id == c.cfg.ID {
			continue
		}
		others++
		c.send(v.Name, v.Addr, &Envelope{Hello: &Hello{Want: true}})
	}
	if len(c.agreed) >= min(others, len(voters)/2) {
		c.held = false
	}
}

func (c *Council) hello(e *Envelope) {
	h := e.Hello
	if h.Blank && e.Cluster == 0 {
		c.blank[e.From] = c.now
	} else {
		delete(c.blank, e.From)
	}
	if h.For != 0 && h.For == c.cfg.ID {
		if h.Seen > c.cfg.Boot && c.cfg.Without != BootCompare {
			c.retire(fmt.Sprintf("the disk is older than what %s knows of it (start %d, not %d)", e.From, h.Seen,
				c.cfg.Boot))
			return
		}
		if last := c.lastIndex(); h.Match > last {
			c.retire(fmt.Sprintf("the disk is older than what the leader knows of it (entry %d, not %d)", h.Match,
				last))
			return
		}
		if h.Leads == "" || h.Leads == e.From { // else the leader's own answer counts
			c.agreed[e.From] = true
		}
	}
	if h.Want {
		seen := c.table.Boot(e.ID)
		if b := c.rep.Work.Boots[e.From]; b.ID == e.ID {
			seen = max(seen, b.Boot)
		}
		a := &Hello{Blank: c.blankNow(), Seen: seen, For: e.ID}
		if c.core != nil && !c.held {
			if v, ok := c.voter(c.core.Leader()); ok && c.core.Leader() != 0 {
				a.Leads = v.Name
			}
			a.Match = c.core.Match(e.ID)
		}
		c.send(e.From, e.Addr, &Envelope{Hello: a})
	}
}

func (c *Council) lastIndex() uint64 {
	if c.core == nil {
		return 0
	}
	return c.core.Last()
}

func (c *Council) retire(why string) {
	c.core = nil
	c.lead = lead{}
	c.cluster, c.resume = 0, nil
	c.do(Retire{why})
}

// leads tells whether this proxy leads, as far as it knows.
func (c *Council) leads() bool {
	return c.core != nil && c.lead.term != 0 && c.core.Leads() && c.lead.term == c.core.Term()
}

// watchLead notes when a lead begins. What counts from it begins later than the votes were given.
func (c *Council) watchLead() {
	switch {
	case c.core == nil || !c.core.Leads():
		if c.lead.term != 0 {
			c.lead = lead{}
		}
	case c.lead.term != c.core.Term():
		c.lead = lead{term: c.core.Term(), since: c.now, renewed: map[string]time.Duration{},
			said: map[string]*said{}, reads: map[uint64]*reading{}, steps: map[string]stepped{},
			voterAt: map[uint64]time.Duration{}, rooms: map[string][]voice{}}
		for _, id := range c.core.Voters() {
			c.lead.voterAt[id] = c.now
		}
		c.do(Log{fmt.Sprintf("leads from now on, in term %d", c.lead.term)})
	}
}

// For is how long a lease lasts, and Every how often it is renewed: by the most proxies that there ever were,
// so that a leader's work has a bound, and no leader takes an earlier one's leases for shorter than they are.
func (c *Council) pace() (lasts, every time.Duration) {
	every = max(renewEvery, time.Duration(c.rep.Work.Crowd)*renewPace)
	return leaseParts * every, every
}

// expired tells whether a party has surely stopped by itself: its last lease has run out, and the longest
// deadline has passed since.
func (c *Council) expired(key string) bool {
	last := max(c.lead.since, c.lead.renewed[key])
	lasts, every := c.pace()
	grace := c.rep.Work.Grace
	switch c.cfg.Without {
	case LeadWait:
		last = c.lead.renewed[key]
	case LeaseWait:
		lasts = every
	case GraceWait:
		grace = 0
	}
	return c.now-last > time.Duration(drift*float64(lasts+grace))+TickEvery
}

// state words what all parties are to know.
func (c *Council) state() *Lease {
	_, every := c.pace()
	w := c.rep.Work
	l := &Lease{Every: every, Grace: w.Grace, Index: max(1, w.Index), Named: w.Named(), Marked: w.Marked(),
		Leader: c.cfg.Name, Level: w.Level}
	for _, id := range slices.Sorted(maps.Keys(c.rep.Voters)) {
		l.Voters = append(l.Voters, c.rep.Voters[id])
	}
	return l
}

// Work is the state that this proxy holds of the log; it lags behind the leader's. Nobody changes it.
func (c *Council) Work() *workorder.State { return c.rep.Work }

// Leads tells whether this proxy leads, as far as it knows.
func (c *Council) Leads() bool { return c.leads() }

// Table is whom this proxy has heard.
func (c *Council) Table() *members.Table { return c.table }
