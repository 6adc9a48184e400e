package coordination

import (
	"fmt"
	"maps"
	"slices"

	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
)

// settle does what the log wants done, and what this one has to say to itself.
func (c *Coordinator) settle() {
	for again := true; again; {
		again = false
		for len(c.local) > 0 {
			raw := c.local[0]
			c.local = c.local[1:]
			c.received(raw)
			again = true
		}
		if c.core == nil {
			continue
		}
		out, err := c.core.Next(func() []byte { return maintenance.Encode(c.rep) })
		if err != nil {
			c.core = nil
			c.do(Retire{err.Error()})
			return
		}
		if out != nil {
			again = true
			c.carry(out)
		}
		if c.leads() && c.propose() {
			again = true
		}
	}
}

// carry turns what the log wants into effects.
func (c *Coordinator) carry(out *consensus.Out) {
	if out.Write != nil {
		c.do(Persist{out.Write})
	}
	for _, m := range out.Messages {
		if v, ok := c.voter(m.GetTo()); ok {
			c.send(v.Name, v.Addr, &Envelope{Raft: consensus.Marshal(m)})
		}
	}
	if out.Install != nil {
		if err := c.install(out.Install); err != nil {
			c.core = nil
			c.do(Retire{err.Error()})
			return
		}
	}
	for _, e := range out.Entries {
		c.apply(e)
	}
	for _, r := range out.Reads {
		if rd := c.lead.reads[r.Token]; rd != nil {
			rd.index = r.Index
		}
	}
	c.confirmed()
}

// apply takes in an agreed entry.
func (c *Coordinator) apply(e consensus.Entry) {
	if c.core == nil {
		return // given up at an entry before
	}
	if e.IsConf {
		c.changed(e)
		return
	}
	if len(e.Data) == 0 {
		return
	}
	var b batch
	if err := maintenance.Decode(e.Data, &b); err != nil {
		c.do(Log{fmt.Sprintf("entry %d: %v", e.Index, err)})
		return
	}
	if slices.ContainsFunc(b.Commands, func(cmd maintenance.Command) bool {
		return cmd.Kind == maintenance.Raise && cmd.Index > c.cfg.Level
	}) {
		c.tooOld()
		return
	}
	for _, cmd := range b.Commands {
		err := c.rep.Work.Apply(e.Index, cmd)
		if cmd.Call != "" {
			c.callDone(cmd.Call, err)
		}
	}
	if b.Nonce == c.lead.nonce {
		c.lead.nonce = 0
	}
}

// changed takes in a change of the voters.
func (c *Coordinator) changed(e consensus.Entry) {
	var f founding
	if len(e.Conf) > 0 {
		if err := maintenance.Decode(e.Conf, &f); err != nil {
			c.do(Log{fmt.Sprintf("entry %d: %v", e.Index, err)})
		}
	}
	if f.Cluster != 0 {
		c.rep.Cluster = f.Cluster
		c.adopt(f.Cluster)
	}
	for _, v := range f.Voters {
		c.rep.Voters[v.ID] = v
	}
	c.lead.change = 0
	maps.DeleteFunc(c.rep.Voters, func(id uint64, _ Voter) bool { return !slices.Contains(e.Voters, id) })
}

// voter is where a voter is, also one that the log has not told of yet.
func (c *Coordinator) voter(id uint64) (Voter, bool) {
	if v, ok := c.rep.Voters[id]; ok {
		return v, true
	}
	for _, m := range c.table.All() {
		if m.ID == id {
			return Voter{id, m.Name, m.Addr}, true
		}
	}
	return Voter{}, false
}

func (c *Coordinator) lastIndex() uint64 {
	if c.core == nil {
		return 0
	}
	return c.core.Last()
}
