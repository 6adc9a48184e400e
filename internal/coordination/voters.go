package coordination

import (
	"fmt"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
	"lilacglade/internal/membership"
)

// changeAgain: a change of the voters is not asked for again before.
const changeAgain = 2 * time.Second

// steer sees to the voters: as many as there were founders, one change at a time, each proxy at most once.
func (c *Coordinator) steer() {
	if w := c.rep.Work.Active(maintenance.ProxyID(c.cfg.Name)); w != nil && w.Step.Marked() {
		c.core.Yield() // a leader whose own machine goes out gives up its lead first
	}
	if len(c.lead.want) > 0 {
		c.confirm()
	}
	if c.core.Changing() || c.now-c.lead.change < changeAgain && c.lead.change > 0 {
		return
	}
	if v, m := c.renewedVoter(); m != nil {
		c.changeVoters(m, v) // it lost its disk: its old identity must not vote again
		return
	}
	spare := c.spareVoter()
	if spare == nil {
		return
	}
	voters := c.core.Voters()
	if len(voters) < len(c.cfg.InitialVoters) {
		c.changeVoters(spare)
		return
	}
	for _, id := range voters {
		if at, ok := c.lead.voterAt[id]; id != c.cfg.ID && (!ok || c.now-at > c.cfg.ReplaceAfter) {
			c.changeVoters(spare, id)
			return
		}
	}
}

// mayGetVote tells whether a member can be reached and understands the log.
func (c *Coordinator) mayGetVote(m *membership.Member) bool {
	_, every := c.pace()
	return m.ID != 0 && m.Level >= c.rep.Work.Level && c.table.State(c.now, m.Name, every) == membership.Alive
}

// renewedVoter is a voter whose process came back as another identity, and that one; nil if there is none.
func (c *Coordinator) renewedVoter() (old uint64, now *membership.Member) {
	voters := c.core.Voters()
	for _, id := range voters {
		v, ok := c.voter(id)
		m := c.table.Get(v.Name)
		if ok && id != c.cfg.ID && m != nil && m.ID != id && c.mayGetVote(m) && !slices.Contains(voters, m.ID) {
			return id, m
		}
	}
	return 0, nil
}

// spareVoter is who may get a vote, founders first; nil if nobody may.
func (c *Coordinator) spareVoter() (spare *membership.Member) {
	isVoter := map[string]bool{}
	for _, id := range c.core.Voters() {
		if v, ok := c.voter(id); ok {
			isVoter[v.Name] = true
		}
	}
	for _, m := range c.table.All() {
		if isVoter[m.Name] || !c.mayGetVote(m) {
			continue
		}
		if spare == nil || slices.Contains(c.cfg.InitialVoters, m.Name) &&
			!slices.Contains(c.cfg.InitialVoters, spare.Name) {
			spare = m
		}
	}
	return spare
}

// changeVoters gives a member a vote, and takes it from others.
func (c *Coordinator) changeVoters(add *membership.Member, remove ...uint64) {
	c.lead.change = c.now
	who := maintenance.Encode(founding{Voters: []Voter{{add.ID, add.Name, add.Addr}}})
	if err := c.core.Change([]uint64{add.ID}, remove, who); err == nil {
		c.lead.voterAt[add.ID] = c.now
		c.do(Log{fmt.Sprintf("%s gets a vote", add.Name)})
	}
}
