// Package coordination is one proxy's part among the proxies that talk to each other: the lease without which
// it begins nothing at machines that may be out for work, its part in the log that a few of them agree on,
// and operators' calls. It is pure: State, absolute time and event in, effects out, to be done in their
// order.
package coordination

import (
	"cmp"
	"math/rand/v2"
	"time"

	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
	"lilacglade/internal/membership"
)

// TickEvery is the time between two Ticks.
const TickEvery = 100 * time.Millisecond

// Config is what a Council knows from its start on.
type Config struct {
	Name          string
	Incarnation   uint64 // this process; never used twice
	Addr          string // where it listens to its peers
	InitialVoters []string
	Peers         []string      // all that the configuration names, without this one
	Grace         time.Duration // the longest that a request may take
	Seed          uint64
	// ReplaceAfter: a voter that is not heard for so long loses its vote to another proxy
	ReplaceAfter time.Duration
	WarmAfter    time.Duration // a machine that came back is done then
	AloneAfter   time.Duration // without a lease the proxy serves after this, against the promise; 0: never
	// what this program understands; 0: maintenance.LevelNow. For plays of two versions
	Level uint64

	Disabled SafetyCheck // taken out; for plays that show what it guards against

	ID, Boot uint64 // of the disk
	Saved    consensus.Saved
	Note     []byte
}

// SafetyCheck is one that a play can take out.
type SafetyCheck uint8

// The guards.
const (
	None              SafetyCheck = iota
	ConfirmLeadership             // a leader answers renewals without asking a majority
	LeadWait                      // a new leader takes it that nobody has a lease of the one before
	LeaseWait                     // a lease counts as over once it is not renewed in time
	GraceWait                     // and what was open then as over, too
	LeaseFromSendTime             // a lease counts from when it came, not from when it was asked for
	CompareBoots                  // an older disk votes
	ReportResumeIndex             // a party that goes on by its disk's knowledge doesn't say so
	LevelWait                     // what older programs don't understand is proposed all the same
)

// Coordinator is the state. New makes one; one goroutine owns it.
type Coordinator struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	out     []Effect
	local   [][]byte // messages to itself
	table   *membership.Table
	core    *consensus.Core // nil while there is no disk
	rep     *replica
	cluster uint64
	held    bool // a voter that has started may not vote yet
	blank   map[string]time.Duration
	helloAt time.Duration
	agreed  map[string]bool // peers that know no later start of this identity
	resume  *DurableRecord  // what an earlier process here has said that it knows; nil: nothing is known of it
	from    uint64          // index of it, for good
	kept    bool            // the disk has, or is about to have, what there is to keep

	party  party
	lead   lead
	calls  map[string]*pending
	seen   map[string]maintenance.Seen // the machines as discovery lists them
	seenAt time.Duration

	RejectedMessages uint64 // messages that were not understood, or not for this one
}

// New returns a Council.
func New(cfg Config) (*Coordinator, error) {
	c := &Coordinator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		table: membership.New(cfg.ReplaceAfter), blank: map[string]time.Duration{},
		calls: map[string]*pending{}, agreed: map[string]bool{}}
	c.party = party{sentAt: map[uint64]time.Duration{}, every: joinEvery}
	c.cfg.Level = cmp.Or(cfg.Level, maintenance.LevelNow)
	if err := c.load(cfg.Saved, cfg.Note); err != nil {
		return c, err
	}
	var n DurableRecord
	if len(cfg.Note) > 0 && maintenance.Decode(cfg.Note, &n) == nil && n.Index > 0 &&
		c.cfg.Level >= maintenance.LevelResume {
		c.resume, c.from = &n, n.Index
	}
	return c, nil
}

// Step takes one event at the given time. The slice is used again by the next call.
func (c *Coordinator) Step(now time.Duration, ev Event) []Effect {
	c.now = max(c.now, now)
	c.out = c.out[:0]
	c.take(ev)
	c.settle()
	c.tell()
	return c.out
}

func (c *Coordinator) do(e Effect) { c.out = append(c.out, e) }

func (c *Coordinator) take(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		c.tick()
	case MessageReceived:
		c.received(ev.Raw)
	case CallReceived:
		c.ask(ev)
	case RestrictionsApplied:
		c.stopped(ev)
	case Inventory:
		c.listed(ev.Machines)
	case Load:
		c.party.load(c.now, ev)
	case Leaving:
		c.leave()
	case DiskLost:
		c.diskLost()
	case DiskRestored:
		c.diskBack(ev)
	}
}

// tick does what is due by time.
func (c *Coordinator) tick() {
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
	c.passAgain()
}

// Maintenance is the state that this proxy holds of the log; it lags behind the leader's. Nobody changes it.
func (c *Coordinator) Maintenance() *maintenance.State { return c.rep.Work }

// IsLeader tells whether this proxy leads, as far as it knows.
func (c *Coordinator) IsLeader() bool { return c.leads() }

// Table is whom this proxy has heard.
func (c *Coordinator) Table() *membership.Table { return c.table }
