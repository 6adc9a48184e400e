package coordination

import (
	"lilacglade/internal/maintenance"
	"lilacglade/internal/membership"
)

// send has an envelope sent, to itself too.
func (c *Council) send(to, addr string, e *Envelope) {
	e.Version, e.From, e.Inc, e.To = uint8(c.cfg.Level), c.cfg.Name, c.cfg.Inc, to
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
func (c *Council) received(raw []byte) {
	var e Envelope
	if err := maintenance.Decode(raw, &e); err != nil || e.Version < firstVersion || e.From == "" ||
		e.Inc == 0 || e.To != c.cfg.Name {
		c.Foreign++
		return
	}
	if e.Cluster != 0 && c.cluster != 0 && e.Cluster != c.cluster {
		c.Foreign++
		return
	}
	own := e.From == c.cfg.Name
	if own && e.Inc != c.cfg.Inc {
		c.Foreign++ // another process under this one's name
		return
	}
	if !own {
		m := membership.Member{Name: e.From, Inc: e.Inc, ID: e.ID, Boot: e.Boot, Addr: e.Addr,
			Level: uint64(e.Version)}
		if e.Hello != nil {
			m.Blank = e.Hello.Blank
		}
		c.table.Heard(c.now, m)
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
		c.Foreign++
	}
}

func (c *Council) raft(e *Envelope) {
	if c.core == nil || c.held {
		return
	}
	if e.Cluster == 0 {
		c.Foreign++
		return
	}
	if c.cluster == 0 {
		c.adopt(e.Cluster)
	}
	if err := c.core.Step(e.Raft); err != nil {
		c.Foreign++
	}
}
