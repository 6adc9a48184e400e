// Package coordination implements one proxy's part in the coordination group of proxies: the lease
// without which it sends no new requests to machines that may be out for maintenance, its role in the
// replicated log that a few voters agree on, and operators' calls. It is pure: it takes the state, an
// absolute time and an event, and returns effects, which the driver executes in their order.
package coordination

import (
	"cmp"
	"math/rand/v2"
	"time"

	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
	"lilacglade/internal/membership"
)

// TickEvery is the interval between two Ticks.
const TickEvery = 100 * time.Millisecond

// Config is the configuration of a Coordinator, fixed from its start.
type Config struct {
	Name          string
	Incarnation   uint64        // identifies this process; never reused
	Addr          string        // address on which it listens for its peers
	InitialVoters []string      // their names; the first one creates the log
	Peers         []string      // all configured peers, without this proxy
	Grace         time.Duration // longest time that a request may take
	Seed          uint64
	// ReplaceAfter is the time without a message after which a voter loses its vote to another proxy.
	ReplaceAfter time.Duration
	WarmAfter    time.Duration // time after which a machine that has returned counts as done
	// AloneAfter is the time without a lease after which the proxy serves all machines nevertheless, although
	// it can't know which of them are out for maintenance; 0: never.
	AloneAfter time.Duration
	// Level is the protocol level of this program; 0: LevelNow. Only tests of two versions set it.
	Level uint64

	Disabled SafetyCheck // check that a simulation disables, to show what it prevents

	ID, Boot uint64          // identity on the disk, and the number of its current start
	Saved    consensus.Saved // content of the log on the disk
	Note     []byte          // encoded DurableRecord on the disk; empty if none
}

// SafetyCheck is a check that a simulation can disable.
type SafetyCheck uint8

// The safety checks, each with what happens while it is disabled.
const (
	None              SafetyCheck = iota // no check is disabled
	ConfirmLeadership                    // a leader answers renewals without confirmation by a majority
	LeadWait                             // a new leader assumes that the previous leader's leases have expired
	LeaseWait                            // a lease counts as expired as soon as one renewal is late
	GraceWait                            // requests open at the end of a lease count as completed at once
	LeaseFromSendTime                    // a lease counts from the arrival of the answer, not from the request
	CompareBoots                         // an older copy of a disk may vote
	ReportResumeIndex                    // a participant that resumes from its durable record does not report it
	LevelWait                            // entries that older programs don't understand are proposed
)

// Coordinator is the state of one proxy in the coordination group. New creates it. It is not safe for
// concurrent use.
type Coordinator struct {
	cfg           Config
	rng           *rand.Rand
	now           time.Duration
	effects       []Effect
	selfMessages  [][]byte // encoded messages to itself
	table         *membership.Table
	core          *consensus.Core // nil while the disk is unavailable
	replica       *replica
	cluster       uint64
	votingHeld    bool                     // a restarted voter may not vote yet
	blankAt       map[string]time.Duration // time of the last Hello from each blank peer
	nextHello     time.Duration
	bootConfirmed map[string]bool // peers that know of no later start of this identity
	resumeRecord  *DurableRecord  // record of an earlier process on this disk, if any
	resumeIndex   uint64          // index of that record; kept when resumeRecord is cleared
	recordWritten bool            // the record is up to date on the disk, or an earlier effect writes it

	participant  participant
	leadership   leadership
	pendingCalls map[string]*pendingCall
	inventory    map[string]maintenance.MachineView // machines by ID, as discovery lists them
	inventoryAt  time.Duration

	// RejectedMessages counts messages that could not be decoded or were not meant for this proxy.
	RejectedMessages uint64
}

// New returns a Coordinator with the state loaded from the disk.
func New(cfg Config) (*Coordinator, error) {
	c := &Coordinator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		table: membership.New(cfg.ReplaceAfter), blankAt: map[string]time.Duration{},
		pendingCalls: map[string]*pendingCall{}, bootConfirmed: map[string]bool{}}
	c.participant = participant{sentAt: map[uint64]time.Duration{}, renewInterval: joinInterval}
	c.cfg.Level = cmp.Or(cfg.Level, maintenance.CurrentLevel)
	if err := c.load(cfg.Saved, cfg.Note); err != nil {
		return c, err
	}
	var n DurableRecord
	if len(cfg.Note) > 0 && maintenance.Decode(cfg.Note, &n) == nil && n.Index > 0 &&
		c.cfg.Level >= maintenance.LevelResume {
		c.resumeRecord, c.resumeIndex = &n, n.Index
	}
	return c, nil
}

// Step handles one event at the given time. The next call reuses the returned slice.
func (c *Coordinator) Step(now time.Duration, ev Event) []Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0]
	c.handle(ev)
	c.processOutputs()
	c.publishRestrictions()
	return c.effects
}

// emit appends an effect to the result of Step.
func (c *Coordinator) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Coordinator) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		c.tick()
	case MessageReceived:
		c.handleMessage(ev.Raw)
	case CallReceived:
		c.startCall(ev)
	case RestrictionsApplied:
		c.handleRestrictionsApplied(ev)
	case Inventory:
		c.setInventory(ev.Machines)
	case Load:
		c.participant.addLoad(c.now, ev)
	case Leaving:
		c.startLeaving()
	case DiskLost:
		c.diskLost()
	case DiskRestored:
		c.diskRestored(ev)
	}
}

// tick performs the periodic work.
func (c *Coordinator) tick() {
	if c.participant.startedAt == 0 {
		c.participant.startedAt = max(1, c.now)
	}
	c.bootstrap()
	if c.core != nil && !c.votingHeld {
		c.core.Tick()
	}
	c.trackLeadership()
	if c.isLeader() {
		c.manageVoters()
	}
	c.renew()
	c.retryCalls()
}

// Maintenance returns this proxy's replica of the maintenance state. It may lag behind the leader's and
// must not be modified.
func (c *Coordinator) Maintenance() *maintenance.State { return c.replica.Maintenance }

// IsLeader reports whether this proxy leads, as far as it knows.
func (c *Coordinator) IsLeader() bool { return c.isLeader() }

// Table returns the peers from which this proxy has received messages.
func (c *Coordinator) Table() *membership.Table { return c.table }
