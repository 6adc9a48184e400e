package coordination

import (
	"fmt"
	"time"

	"lilacglade/internal/maintenance"
)

const (
	proposeRetryInterval = time.Second
	maxNotes             = 256 // notes of one kind in one log entry
)

// leadership is a leader's volatile state. It is reset with each term.
type leadership struct {
	term            uint64
	since           time.Duration            // start of this leadership
	renewed         map[string]time.Duration // time of the last renewal of each participant
	loads           map[string]*loadReport
	joins           []maintenance.Command // participants that join or leave, to be proposed
	knownNotes      []maintenance.Report
	clearNotes      []maintenance.Report
	nonce           uint64 // of the outstanding proposal; 0: none
	proposedAt      time.Duration
	waiters         []waiter // answered once a majority has confirmed the leadership
	confirmations   map[uint64]*confirmation
	lastToken       uint64
	queuedCalls     []*leaderCall            // operators' calls that are not proposed yet
	proposedCalls   []*leaderCall            // proposed, not applied yet
	stepStarts      map[string]stepStart     // start of each machine's current step
	voterHeardAt    map[uint64]time.Duration // time of the last message from each voter
	votersChangedAt time.Duration            // last request to change the voters; 0: none outstanding
	pushedState     string                   // encoded state that was last pushed to the participants
	pushedIndex     uint64
	capacities      map[string][]capacityReport // reports for each machine, the latest last
}

// stepStart is the time at which a machine entered a step.
type stepStart struct {
	number uint64
	at     time.Duration
}

// isLeader reports whether this proxy leads, as far as it knows.
func (c *Coordinator) isLeader() bool {
	return c.core != nil && c.leadership.term != 0 && c.core.Leads() && c.leadership.term == c.core.Term()
}

// leader returns the leader as known from this proxy's own part in the log.
func (c *Coordinator) leader() (v Voter, ok bool) {
	if c.core == nil || c.core.Leader() == 0 {
		return Voter{}, false
	}
	return c.voterByID(c.core.Leader())
}

// trackLeadership detects when a leadership starts or ends. It starts later than the votes were cast, so
// times that count from it are on the safe side.
func (c *Coordinator) trackLeadership() {
	switch {
	case c.core == nil || !c.core.Leads():
		if c.leadership.term != 0 {
			c.leadership = leadership{}
		}
	case c.leadership.term != c.core.Term():
		c.leadership = leadership{term: c.core.Term(), since: c.now, renewed: map[string]time.Duration{},
			loads: map[string]*loadReport{}, confirmations: map[uint64]*confirmation{},
			stepStarts: map[string]stepStart{}, voterHeardAt: map[uint64]time.Duration{},
			capacities: map[string][]capacityReport{}}
		for _, id := range c.core.Voters() {
			c.leadership.voterHeardAt[id] = c.now
		}
		c.emit(Log{fmt.Sprintf("leads from now on, in term %d", c.leadership.term)})
	}
}

// propose proposes log entries, one at a time, and requests confirmation of the leadership for the
// waiters. It reports whether there is new output to process.
func (c *Coordinator) propose() bool {
	l := &c.leadership
	progressed := false
	if len(l.waiters) > 0 && len(l.confirmations) == 0 {
		c.confirmLeadership()
		progressed = true
	}
	c.recordSteps()
	c.pushState()
	if l.nonce != 0 && c.now-l.proposedAt < proposeRetryInterval {
		return progressed
	}
	b := batch{Nonce: c.rng.Uint64() | 1}
	b.Commands = append(b.Commands, l.joins...)
	if n := min(len(l.knownNotes), maxNotes); n > 0 {
		b.Commands = append(b.Commands, maintenance.Command{Kind: maintenance.Acknowledge,
			Reports: l.knownNotes[:n]})
	}
	if n := min(len(l.clearNotes), maxNotes); n > 0 {
		b.Commands = append(b.Commands, maintenance.Command{Kind: maintenance.Clear, Reports: l.clearNotes[:n]})
	}
	for _, a := range l.queuedCalls {
		b.Commands = append(b.Commands, *a.call.Command)
	}
	if level := c.commonLevel(); level > max(maintenance.LevelFirst, c.replica.Maintenance.Level) {
		b.Commands = append(b.Commands, maintenance.Command{Kind: maintenance.RaiseLevel, Index: level})
	}
	if next := c.replica.Maintenance.Next(c.view()); next.Kind != maintenance.NoOp {
		b.Commands = append(b.Commands, next)
	}
	if len(b.Commands) == 0 {
		return progressed
	}
	if err := c.core.Propose(maintenance.Encode(b)); err != nil {
		return progressed // whatever is still due is proposed again
	}
	l.joins, l.knownNotes, l.clearNotes = nil, nil, nil // the next renewals report the rest again
	l.proposedCalls = append(l.proposedCalls, l.queuedCalls...)
	l.queuedCalls = nil
	l.nonce, l.proposedAt = b.Nonce, c.now
	return true
}

// commonLevel is the protocol level that all voters and participants understand, judged by the latest
// messages of their current processes. Otherwise an entry would be applied by some and rejected by
// others, and their states would diverge.
func (c *Coordinator) commonLevel() uint64 {
	if c.cfg.Disabled == LevelWait {
		return maintenance.CurrentLevel
	}
	if len(c.replica.Voters) < len(c.cfg.InitialVoters) || c.core.Changing() {
		return maintenance.LevelFirst // the next voter may have a lower level
	}
	lowest := c.cfg.Level
	level := func(name string, inc, id uint64) {
		if name == c.cfg.Name {
			return
		}
		if m := c.table.Get(name); m == nil || inc != 0 && m.Incarnation != inc || id != 0 && m.ID != id {
			lowest = min(lowest, maintenance.LevelFirst)
		} else {
			lowest = min(lowest, m.Level)
		}
	}
	for _, p := range c.replica.Maintenance.Participants {
		if !p.Gone {
			level(p.Name, p.Inc, 0)
		}
	}
	for id, v := range c.replica.Voters {
		level(v.Name, 0, id)
	}
	for _, j := range c.leadership.joins {
		if j.Participant != nil {
			level(j.Participant.Name, j.Participant.Inc, 0)
		}
	}
	return lowest
}

// recordSteps records on this leader's clock when machines enter a step.
func (c *Coordinator) recordSteps() {
	for _, w := range c.replica.Maintenance.Works {
		if s := c.leadership.stepStarts[w.Machine.ID]; !w.Step.Ended() && s.number != w.Number {
			c.leadership.stepStarts[w.Machine.ID] = stepStart{w.Number, c.now}
		}
	}
}
