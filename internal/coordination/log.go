package coordination

import (
	"fmt"
	"maps"
	"slices"

	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
)

// processOutputs handles the output of the log and the messages to itself until there are none left.
func (c *Coordinator) processOutputs() {
	for again := true; again; {
		again = false
		for len(c.selfMessages) > 0 {
			raw := c.selfMessages[0]
			c.selfMessages = c.selfMessages[1:]
			c.handleMessage(raw)
			again = true
		}
		if c.core == nil {
			continue
		}
		out, err := c.core.Next(func() []byte { return maintenance.Encode(c.replica) })
		if err != nil {
			c.core = nil
			c.emit(Retire{err.Error()})
			return
		}
		if out != nil {
			again = true
			c.processOutput(out)
		}
		if c.isLeader() && c.propose() {
			again = true
		}
	}
}

// processOutput turns one output of the log into effects.
func (c *Coordinator) processOutput(out *consensus.Out) {
	if out.Write != nil {
		c.emit(Persist{out.Write})
	}
	for _, m := range out.Messages {
		if v, ok := c.voterByID(m.GetTo()); ok {
			c.send(v.Name, v.Addr, &Envelope{Raft: consensus.Marshal(m)})
		}
	}
	if out.Install != nil {
		if err := c.install(out.Install); err != nil {
			c.core = nil
			c.emit(Retire{err.Error()})
			return
		}
	}
	for _, e := range out.Entries {
		c.apply(e)
	}
	for _, r := range out.Reads {
		if pending := c.leadership.confirmations[r.Token]; pending != nil {
			pending.index = r.Index
		}
	}
	c.answerConfirmed()
}

// apply applies a committed entry.
func (c *Coordinator) apply(e consensus.Entry) {
	if c.core == nil {
		return // the log was abandoned at an earlier entry
	}
	if e.IsConf {
		c.applyVoterChange(e)
		return
	}
	if len(e.Data) == 0 {
		return
	}
	var b batch
	if err := maintenance.Decode(e.Data, &b); err != nil {
		c.emit(Log{fmt.Sprintf("entry %d: %v", e.Index, err)})
		return
	}
	if slices.ContainsFunc(b.Commands, func(cmd maintenance.Command) bool {
		return cmd.Kind == maintenance.RaiseLevel && cmd.Index > c.cfg.Level
	}) {
		c.abandonLog()
		return
	}
	for _, cmd := range b.Commands {
		err := c.replica.Maintenance.Apply(e.Index, cmd)
		if cmd.Call != "" {
			c.finishCall(cmd.Call, err)
		}
	}
	if b.Nonce == c.leadership.nonce {
		c.leadership.nonce = 0
	}
}

// applyVoterChange applies a committed change of the voters.
func (c *Coordinator) applyVoterChange(e consensus.Entry) {
	var change voterChange
	if len(e.Conf) > 0 {
		if err := maintenance.Decode(e.Conf, &change); err != nil {
			c.emit(Log{fmt.Sprintf("entry %d: %v", e.Index, err)})
		}
	}
	if change.Cluster != 0 {
		c.replica.Cluster = change.Cluster
		c.adoptCluster(change.Cluster)
	}
	for _, v := range change.Voters {
		c.replica.Voters[v.ID] = v
	}
	c.leadership.votersChangedAt = 0
	maps.DeleteFunc(c.replica.Voters, func(id uint64, _ Voter) bool { return !slices.Contains(e.Voters, id) })
}

// voterByID looks up a voter, including one that the log has not introduced yet.
func (c *Coordinator) voterByID(id uint64) (Voter, bool) {
	if v, ok := c.replica.Voters[id]; ok {
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
