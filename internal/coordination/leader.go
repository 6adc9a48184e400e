package coordination

import (
	"fmt"
	"time"

	"lilacglade/internal/maintenance"
)

const (
	proposeAgain = time.Second
	mostNotes    = 256 // of one entry
)

// lead is what a leader knows besides the log. It begins anew with each term.
type lead struct {
	term    uint64
	since   time.Duration // this lead
	renewed map[string]time.Duration
	said    map[string]*said
	joins   []maintenance.Command // parties that come and go, to be proposed
	knows   []maintenance.Note
	clears  []maintenance.Note
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

// stepped is when a machine came to a step.
type stepped struct {
	number uint64
	at     time.Duration
}

// leads tells whether this proxy leads, as far as it knows.
func (c *Coordinator) leads() bool {
	return c.core != nil && c.lead.term != 0 && c.core.Leads() && c.lead.term == c.core.Term()
}

// leader is who leads, as far as this proxy's part in the log knows.
func (c *Coordinator) leader() (v Voter, ok bool) {
	if c.core == nil || c.core.Leader() == 0 {
		return Voter{}, false
	}
	return c.voter(c.core.Leader())
}

// watchLead notes when a lead begins. What counts from it begins later than the votes were given.
func (c *Coordinator) watchLead() {
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

// propose has entries agreed on, one at a time, and the lead confirmed for those who wait for it. It tells
// whether there is something new to be done.
func (c *Coordinator) propose() bool {
	l := &c.lead
	did := false
	if len(l.want) > 0 && len(l.reads) == 0 {
		c.confirm()
		did = true
	}
	c.noteSteps()
	c.push()
	if l.nonce != 0 && c.now-l.propAt < proposeAgain {
		return did
	}
	b := batch{Nonce: c.rng.Uint64() | 1}
	b.Commands = append(b.Commands, l.joins...)
	if n := min(len(l.knows), mostNotes); n > 0 {
		b.Commands = append(b.Commands, maintenance.Command{Kind: maintenance.Know, Notes: l.knows[:n]})
	}
	if n := min(len(l.clears), mostNotes); n > 0 {
		b.Commands = append(b.Commands, maintenance.Command{Kind: maintenance.Clear, Notes: l.clears[:n]})
	}
	for _, a := range l.asked {
		b.Commands = append(b.Commands, *a.call.Command)
	}
	if level := c.understood(); level > max(maintenance.LevelFirst, c.rep.Work.Level) {
		b.Commands = append(b.Commands, maintenance.Command{Kind: maintenance.Raise, Index: level})
	}
	if next := c.rep.Work.Next(c.view()); next.Kind != maintenance.Nothing {
		b.Commands = append(b.Commands, next)
	}
	if len(b.Commands) == 0 {
		return did
	}
	if err := c.core.Propose(maintenance.Encode(b)); err != nil {
		return did // what is still wanted is proposed again
	}
	l.joins, l.knows, l.clears = nil, nil, nil // what didn't fit is said again with the next renewals
	l.open = append(l.open, l.asked...)
	l.asked = nil
	l.nonce, l.propAt = b.Nonce, c.now
	return true
}

// understood is the level that all voters and parties understand, as far as they were heard as they are now.
// Guards against an entry that counts with some and is turned down by others: their states would differ.
func (c *Coordinator) understood() uint64 {
	if c.cfg.Disabled == LevelWait {
		return maintenance.LevelNow
	}
	if len(c.rep.Voters) < len(c.cfg.InitialVoters) || c.core.Changing() {
		return maintenance.LevelFirst // who gets a vote next may understand less
	}
	least := c.cfg.Level
	level := func(name string, inc, id uint64) {
		if name == c.cfg.Name {
			return
		}
		if m := c.table.Get(name); m == nil || inc != 0 && m.Incarnation != inc || id != 0 && m.ID != id {
			least = min(least, maintenance.LevelFirst)
		} else {
			least = min(least, m.Level)
		}
	}
	for _, p := range c.rep.Work.Parties {
		if !p.Gone {
			level(p.Name, p.Inc, 0)
		}
	}
	for id, v := range c.rep.Voters {
		level(v.Name, 0, id)
	}
	for _, j := range c.lead.joins {
		if j.Party != nil {
			level(j.Party.Name, j.Party.Inc, 0)
		}
	}
	return least
}

// noteSteps notes when machines came to their steps, on this leader's clock.
func (c *Coordinator) noteSteps() {
	for _, w := range c.rep.Work.Works {
		if s := c.lead.steps[w.Machine.ID]; !w.Step.Ended() && s.number != w.Number {
			c.lead.steps[w.Machine.ID] = stepped{w.Number, c.now}
		}
	}
}
