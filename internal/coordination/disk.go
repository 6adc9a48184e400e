package coordination

import (
	"errors"

	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
)

// load begins with what is on the disk.
func (c *Coordinator) load(saved consensus.Saved, note []byte) error {
	c.rep = &replica{Work: maintenance.New(), Voters: map[uint64]Voter{}}
	c.lead = lead{}
	if len(note) > 0 {
		var n DurableRecord
		if err := maintenance.Decode(note, &n); err != nil {
			return err
		}
		c.cluster = n.Cluster
	}
	c.kept = true
	core, state, err := consensus.Open(c.cfg.ID, saved)
	if err != nil {
		return err
	}
	if state != nil {
		if err := c.install(state); err != nil {
			return err
		}
	}
	c.core = core
	c.held = saved.Hard != nil && c.cfg.Boot > 1 && c.cfg.Disabled != CompareBoots
	clear(c.agreed)
	return nil
}

func (c *Coordinator) install(state []byte) error {
	rep := &replica{}
	if err := maintenance.Decode(state, rep); err != nil {
		return err
	}
	if rep.Work == nil {
		return errors.New("a snapshot without a state")
	}
	rep.Work.Filled()
	if rep.Work.Level > c.cfg.Level {
		return ErrProgramTooOld
	}
	if rep.Voters == nil {
		rep.Voters = map[uint64]Voter{}
	}
	c.rep = rep
	return nil
}

// diskLost gives up the vote, since a write failed.
func (c *Coordinator) diskLost() {
	c.core = nil // it votes no more until the disk is back, and goes on as a party
	c.lead = lead{}
	c.kept, c.party.toldOnce = false, false // what stood behind the write was not done
	if c.party.leaving && !c.party.left {   // the disk still knows what it would go on by
		c.party.left = true
		c.do(LeaveComplete{})
	}
	c.do(Log{"the disk can't be written: this proxy gives up its vote until it can"})
}

// diskBack begins again with what is on a disk that can be written.
func (c *Coordinator) diskBack(ev DiskRestored) {
	c.cfg.ID, c.cfg.Boot = ev.ID, ev.Boot
	if err := c.load(ev.Saved, ev.Note); err != nil {
		c.core = nil
		c.do(Retire{err.Error()})
		return
	}
	if c.party.index > 0 {
		c.keep()
		c.known()
	}
}

// adopt makes this proxy part of a log for good.
func (c *Coordinator) adopt(cluster uint64) {
	if c.cluster != cluster {
		c.cluster = cluster
		c.keep()
	}
}

// keep has the note kept. Guards against a party that says it knows what may go out, is killed, and goes on
// without knowing it.
func (c *Coordinator) keep() {
	n := DurableRecord{Cluster: c.cluster}
	switch p := &c.party; {
	case p.leaving || p.level < maintenance.LevelResume && c.resume == nil:
	case p.index == 0 && c.resume != nil: // nothing was heard yet: an earlier process's words still hold
		n = *c.resume
		n.Cluster = c.cluster
	default:
		n.Index, n.Named, n.Grace = p.index, p.named, p.grace
	}
	c.do(PersistRecord{maintenance.Encode(n)})
}

// ErrProgramTooOld is of a log that this program is too old for.
var ErrProgramTooOld = errors.New("all other proxies understand more than this program: it takes no part, and " +
	"is not ready; start a later one")

// tooOld gives up the part in a log that this program does not understand.
func (c *Coordinator) tooOld() {
	c.core, c.lead, c.resume = nil, lead{}, nil
	c.do(Log{ErrProgramTooOld.Error()})
}

func (c *Coordinator) retire(why string) {
	c.core = nil
	c.lead = lead{}
	c.cluster, c.resume = 0, nil
	c.do(Retire{why})
}
