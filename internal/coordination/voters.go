package coordination

import (
	"fmt"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
	"lilacglade/internal/membership"
)

// voterChangeInterval is the minimum time between two requests to change the voters.
const voterChangeInterval = 2 * time.Second

// manageVoters keeps the number of voters at the number of initial voters, with one change at a time and
// at most one vote for each proxy.
func (c *Coordinator) manageVoters() {
	if w := c.replica.Maintenance.Active(maintenance.ProxyID(c.cfg.Name)); w != nil && w.Step.Marked() {
		c.core.TransferLeadership() // a leader transfers its leadership before its own machine goes out
	}
	if len(c.leadership.waiters) > 0 {
		c.confirmLeadership()
	}
	if c.core.Changing() || c.now-c.leadership.votersChangedAt < voterChangeInterval &&
		c.leadership.votersChangedAt > 0 {
		return
	}
	if v, m := c.voterWithNewIdentity(); m != nil {
		c.changeVoters(m, v) // the proxy lost its disk: its old identity must not vote again
		return
	}
	candidate := c.voterCandidate()
	if candidate == nil {
		return
	}
	voters := c.core.Voters()
	if len(voters) < len(c.cfg.InitialVoters) {
		c.changeVoters(candidate)
		return
	}
	for _, id := range voters {
		if at, ok := c.leadership.voterHeardAt[id]; id != c.cfg.ID && (!ok || c.now-at > c.cfg.ReplaceAfter) {
			c.changeVoters(candidate, id)
			return
		}
	}
}

// eligibleVoter reports whether a member is reachable and understands the log.
func (c *Coordinator) eligibleVoter(m *membership.Member) bool {
	_, interval := c.leaseTimes()
	return m.ID != 0 && m.Level >= c.replica.Maintenance.Level &&
		c.table.State(c.now, m.Name, interval) == membership.Alive
}

// voterWithNewIdentity returns a voter whose proxy has restarted under a new identity, and that proxy;
// nil if there is none.
func (c *Coordinator) voterWithNewIdentity() (old uint64, now *membership.Member) {
	voters := c.core.Voters()
	for _, id := range voters {
		v, ok := c.voterByID(id)
		m := c.table.Get(v.Name)
		if ok && id != c.cfg.ID && m != nil && m.ID != id && c.eligibleVoter(m) && !slices.Contains(voters, m.ID) {
			return id, m
		}
	}
	return 0, nil
}

// voterCandidate returns a proxy that may get a vote, preferring initial voters; nil if there is none.
func (c *Coordinator) voterCandidate() (candidate *membership.Member) {
	isVoter := map[string]bool{}
	for _, id := range c.core.Voters() {
		if v, ok := c.voterByID(id); ok {
			isVoter[v.Name] = true
		}
	}
	for _, m := range c.table.All() {
		if isVoter[m.Name] || !c.eligibleVoter(m) {
			continue
		}
		if candidate == nil || slices.Contains(c.cfg.InitialVoters, m.Name) &&
			!slices.Contains(c.cfg.InitialVoters, candidate.Name) {
			candidate = m
		}
	}
	return candidate
}

// changeVoters adds a member to the voters and removes others.
func (c *Coordinator) changeVoters(add *membership.Member, remove ...uint64) {
	c.leadership.votersChangedAt = c.now
	context := maintenance.Encode(voterChange{Voters: []Voter{{add.ID, add.Name, add.Addr}}})
	if err := c.core.Change([]uint64{add.ID}, remove, context); err == nil {
		c.leadership.voterHeardAt[add.ID] = c.now
		c.emit(Log{fmt.Sprintf("%s gets a vote", add.Name)})
	}
}
