package coordination

import (
	"lilacglade/internal/maintenance"
	"lilacglade/internal/membership"
)

// send sends an envelope to a proxy, which may be this one.
func (c *Coordinator) send(to, addr string, e *Envelope) {
	e.Version, e.From, e.Incarnation, e.To = uint8(c.cfg.Level), c.cfg.Name, c.cfg.Incarnation, to
	if e.Addr, e.Cluster = c.cfg.Addr, c.cluster; c.core != nil {
		e.ID, e.Boot = c.cfg.ID, c.cfg.Boot
	}
	raw := maintenance.Encode(e)
	if to == c.cfg.Name {
		c.selfMessages = append(c.selfMessages, raw)
		return
	}
	c.emit(Send{to, addr, raw})
}

// handleMessage handles a message. A message that can't be decoded, or comes from another log, is counted
// and otherwise ignored.
func (c *Coordinator) handleMessage(raw []byte) {
	var e Envelope
	if err := maintenance.Decode(raw, &e); err != nil || e.Version < firstVersion || e.From == "" ||
		e.Incarnation == 0 || e.To != c.cfg.Name {
		c.RejectedMessages++
		return
	}
	if e.Cluster != 0 && c.cluster != 0 && e.Cluster != c.cluster {
		c.RejectedMessages++
		return
	}
	own := e.From == c.cfg.Name
	if own && e.Incarnation != c.cfg.Incarnation {
		c.RejectedMessages++ // another process uses this proxy's name
		return
	}
	if !own {
		m := membership.Member{Name: e.From, Incarnation: e.Incarnation, ID: e.ID, Boot: e.Boot, Addr: e.Addr,
			Level: uint64(e.Version)}
		if e.Hello != nil {
			m.Blank = e.Hello.Blank
		}
		c.table.Observe(c.now, m)
		if c.isLeader() {
			c.leadership.voterHeardAt[e.ID] = c.now
		}
	}
	switch {
	case e.Hello != nil:
		c.handleHello(&e)
	case len(e.Raft) > 0:
		c.handleRaft(&e)
	case e.Renew != nil:
		c.handleRenewal(&e)
	case e.Lease != nil:
		c.handleLease(&e)
	case e.Call != nil:
		c.handleForwardedCall(&e)
	case e.Answer != nil:
		c.handleAnswer(e.Answer)
	default:
		c.RejectedMessages++
	}
}

// handleRaft passes a message of the consensus protocol to the log.
func (c *Coordinator) handleRaft(e *Envelope) {
	if c.core == nil || c.votingHeld {
		return
	}
	if e.Cluster == 0 {
		c.RejectedMessages++
		return
	}
	if c.cluster == 0 {
		c.adoptCluster(e.Cluster)
	}
	if err := c.core.Step(e.Raft); err != nil {
		c.RejectedMessages++
	}
}
