package coordination

import (
	"lilacglade/internal/maintenance"
	"lilacglade/internal/membership"
)

// send has an envelope sent, to itself too.
func (c *Coordinator) send(to, addr string, e *Envelope) {
	e.Version, e.From, e.Incarnation, e.To = uint8(c.cfg.Level), c.cfg.Name, c.cfg.Incarnation, to
	if e.Addr, e.Cluster = c.cfg.Addr, c.cluster; c.core != nil {
		e.ID, e.Boot = c.cfg.ID, c.cfg.Boot
	}
	raw := maintenance.Encode(e)
	if to == c.cfg.Name {
		c.local = append(c.local, raw)
		return
	}
	c.do(Send{to, addr, raw})
}

// received takes a message. What is not understood, or from another log, is counted and changes nothing.
func (c *Coordinator) received(raw []byte) {
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
		c.RejectedMessages++ // another process under this one's name
		return
	}
	if !own {
		m := membership.Member{Name: e.From, Incarnation: e.Incarnation, ID: e.ID, Boot: e.Boot, Addr: e.Addr,
			Level: uint64(e.Version)}
		if e.Hello != nil {
			m.Blank = e.Hello.Blank
		}
		c.table.Observe(c.now, m)
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
		c.RejectedMessages++
	}
}

func (c *Coordinator) raft(e *Envelope) {
	if c.core == nil || c.held {
		return
	}
	if e.Cluster == 0 {
		c.RejectedMessages++
		return
	}
	if c.cluster == 0 {
		c.adopt(e.Cluster)
	}
	if err := c.core.Step(e.Raft); err != nil {
		c.RejectedMessages++
	}
}
