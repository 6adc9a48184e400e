package coordination

import (
	"fmt"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

const (
	helloEvery = 500 * time.Millisecond
	helloFresh = 3 * time.Second // an answer counts for the founding so long
)

// founding begins the log, once all founders are there and none knows of one. Guards against a second log:
// a founder that has lost its disk hears from the others that there is one, and is taken in anew.
func (c *Coordinator) founding() {
	if c.now < c.helloAt {
		return
	}
	c.helloAt = c.now + helloEvery
	if c.held && c.core != nil {
		c.mayVote()
	}
	if !c.blankNow() || !slices.Contains(c.cfg.InitialVoters, c.cfg.Name) {
		return
	}
	all := true
	for _, f := range c.cfg.InitialVoters {
		if f == c.cfg.Name {
			continue
		}
		c.send(f, "", &Envelope{Hello: &Hello{Blank: true, WantReply: true}})
		at, ok := c.blank[f]
		all = all && ok && c.now-at < helloFresh
	}
	if !all || c.cfg.InitialVoters[0] != c.cfg.Name {
		return
	}
	c.adopt(c.rng.Uint64() | 1)
	self := Voter{c.cfg.ID, c.cfg.Name, c.cfg.Addr}
	c.rep.Voters[self.ID] = self
	if err := c.core.Found(maintenance.Encode(founding{c.cluster, []Voter{self}})); err != nil {
		c.do(Log{"founding: " + err.Error()})
		return
	}
	c.do(Log{"the founders have found each other: the log begins"})
}

// blankNow tells whether this proxy has never been part of a log.
func (c *Coordinator) blankNow() bool {
	return c.core != nil && c.cluster == 0 && c.core.Applied() == 0 && len(c.core.Voters()) == 0
}

func (c *Coordinator) hello(e *Envelope) {
	h := e.Hello
	if h.Blank && e.Cluster == 0 {
		c.blank[e.From] = c.now
	} else {
		delete(c.blank, e.From)
	}
	if h.ForID != 0 && h.ForID == c.cfg.ID && !c.sameStart(e) {
		return
	}
	if h.WantReply {
		c.answerHello(e)
	}
}

// sameStart takes what a peer knows of this identity, and retires it if it has forgotten any of that.
func (c *Coordinator) sameStart(e *Envelope) bool {
	h := e.Hello
	if h.LatestBoot > c.cfg.Boot && c.cfg.Disabled != CompareBoots {
		c.retire(fmt.Sprintf("the disk is older than what %s knows of it (start %d, not %d)", e.From, h.LatestBoot,
			c.cfg.Boot))
		return false
	}
	if last := c.lastIndex(); h.Match > last {
		c.retire(fmt.Sprintf("the disk is older than what the leader knows of it (entry %d, not %d)", h.Match,
			last))
		return false
	}
	if h.Leader == "" || h.Leader == e.From { // else the leader's own answer counts
		c.agreed[e.From] = true
	}
	return true
}

// answerHello tells a peer what is known of its identity.
func (c *Coordinator) answerHello(e *Envelope) {
	seen := c.table.LatestBoot(e.ID)
	if b := c.rep.Work.Boots[e.From]; b.ID == e.ID {
		seen = max(seen, b.Boot)
	}
	a := &Hello{Blank: c.blankNow(), LatestBoot: seen, ForID: e.ID}
	if c.core != nil && !c.held {
		if leader, ok := c.leader(); ok {
			a.Leader = leader.Name
		}
		a.Match = c.core.Match(e.ID)
	}
	c.send(e.From, e.Addr, &Envelope{Hello: a})
}

// mayVote lets a voter that has started vote again, once enough others know no later start of it. Guards
// against an older copy of its disk: it would have forgotten votes that it gave.
func (c *Coordinator) mayVote() {
	voters := c.core.Voters()
	others := 0
	for _, id := range voters {
		v, ok := c.voter(id)
		if !ok || id == c.cfg.ID {
			continue
		}
		others++
		c.send(v.Name, v.Addr, &Envelope{Hello: &Hello{WantReply: true}})
	}
	if len(c.agreed) >= min(others, len(voters)/2) {
		c.held = false
	}
}
