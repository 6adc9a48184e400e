package coordination

import (
	"fmt"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

const (
	helloInterval = 500 * time.Millisecond // interval between two Hellos
	helloMaxAge   = 3 * time.Second        // maximum age of a blank peer's Hello at the bootstrap
)

// bootstrap creates the log once all initial voters are reachable and none knows of a log. This prevents
// a second log: an initial voter that has lost its disk learns from the others that a log exists, and is
// added to it.
func (c *Coordinator) bootstrap() {
	if c.now < c.nextHello {
		return
	}
	c.nextHello = c.now + helloInterval
	if c.votingHeld && c.core != nil {
		c.resumeVoting()
	}
	if !c.isBlank() || !slices.Contains(c.cfg.InitialVoters, c.cfg.Name) {
		return
	}
	allBlank := true
	for _, name := range c.cfg.InitialVoters {
		if name == c.cfg.Name {
			continue
		}
		c.send(name, "", &Envelope{Hello: &Hello{Blank: true, WantReply: true}})
		at, ok := c.blankAt[name]
		allBlank = allBlank && ok && c.now-at < helloMaxAge
	}
	if !allBlank || c.cfg.InitialVoters[0] != c.cfg.Name {
		return
	}
	c.adoptCluster(c.rng.Uint64() | 1)
	self := Voter{c.cfg.ID, c.cfg.Name, c.cfg.Addr}
	c.replica.Voters[self.ID] = self
	if err := c.core.Bootstrap(maintenance.Encode(voterChange{c.cluster, []Voter{self}})); err != nil {
		c.emit(Log{"founding: " + err.Error()})
		return
	}
	c.emit(Log{"all initial voters are reachable: the log is created"})
}

// isBlank reports whether this proxy has never been part of a log.
func (c *Coordinator) isBlank() bool {
	return c.core != nil && c.cluster == 0 && c.core.Applied() == 0 && len(c.core.Voters()) == 0
}

// handleHello handles a Hello, and answers it if a reply is requested.
func (c *Coordinator) handleHello(e *Envelope) {
	h := e.Hello
	if h.Blank && e.Cluster == 0 {
		c.blankAt[e.From] = c.now
	} else {
		delete(c.blankAt, e.From)
	}
	if h.ForID != 0 && h.ForID == c.cfg.ID && !c.checkBoot(e) {
		return
	}
	if h.WantReply {
		c.answerHello(e)
	}
}

// checkBoot compares this identity with what a peer knows of it, and retires the identity if its disk is
// older. It reports whether the identity is still valid.
func (c *Coordinator) checkBoot(e *Envelope) bool {
	h := e.Hello
	if h.LatestBoot > c.cfg.Boot && c.cfg.Disabled != CompareBoots {
		c.retireIdentity(fmt.Sprintf("the disk is older than what %s knows of it (start %d, not %d)", e.From,
			h.LatestBoot, c.cfg.Boot))
		return false
	}
	if last := c.lastIndex(); h.Match > last {
		c.retireIdentity(fmt.Sprintf("the disk is older than what the leader knows of it (entry %d, not %d)",
			h.Match, last))
		return false
	}
	if h.Leader == "" || h.Leader == e.From { // otherwise the leader's own reply decides
		c.bootConfirmed[e.From] = true
	}
	return true
}

// answerHello tells a peer what this proxy knows of the peer's identity.
func (c *Coordinator) answerHello(e *Envelope) {
	latestBoot := c.table.LatestBoot(e.ID)
	if b := c.replica.Maintenance.Boots[e.From]; b.ID == e.ID {
		latestBoot = max(latestBoot, b.Boot)
	}
	a := &Hello{Blank: c.isBlank(), LatestBoot: latestBoot, ForID: e.ID}
	if c.core != nil && !c.votingHeld {
		if leader, ok := c.leader(); ok {
			a.Leader = leader.Name
		}
		a.Match = c.core.Match(e.ID)
	}
	c.send(e.From, e.Addr, &Envelope{Hello: a})
}

// resumeVoting lets a restarted voter vote again once enough other voters know of no later start of its
// identity. Otherwise a voter with an older copy of its disk could vote, although the copy lacks votes
// that it has cast.
func (c *Coordinator) resumeVoting() {
	voters := c.core.Voters()
	others := 0
	for _, id := range voters {
		v, ok := c.voterByID(id)
		if !ok || id == c.cfg.ID {
			continue
		}
		others++
		c.send(v.Name, v.Addr, &Envelope{Hello: &Hello{WantReply: true}})
	}
	if len(c.bootConfirmed) >= min(others, len(voters)/2) {
		c.votingHeld = false
	}
}
