package coordination

import (
	"errors"

	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
)

// load initializes the state from the disk's content.
func (c *Coordinator) load(saved consensus.Saved, note []byte) error {
	c.replica = &replica{Maintenance: maintenance.New(), Voters: map[uint64]Voter{}}
	c.leadership = leadership{}
	if len(note) > 0 {
		var n DurableRecord
		if err := maintenance.Decode(note, &n); err != nil {
			return err
		}
		c.cluster = n.Cluster
	}
	c.recordWritten = true
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
	c.votingHeld = saved.Hard != nil && c.cfg.Boot > 1 && c.cfg.Disabled != CompareBoots
	clear(c.bootConfirmed)
	return nil
}

// install replaces the replica by a snapshot.
func (c *Coordinator) install(state []byte) error {
	restored := &replica{}
	if err := maintenance.Decode(state, restored); err != nil {
		return err
	}
	if restored.Maintenance == nil {
		return errors.New("a snapshot without a state")
	}
	restored.Maintenance.InitMaps()
	if restored.Maintenance.Level > c.cfg.Level {
		return ErrProgramTooOld
	}
	if restored.Voters == nil {
		restored.Voters = map[uint64]Voter{}
	}
	c.replica = restored
	return nil
}

// diskLost stops voting after a failed write.
func (c *Coordinator) diskLost() {
	c.core = nil // no vote until the disk is restored; it remains a participant
	c.leadership = leadership{}
	c.recordWritten, c.participant.publishedOnce = false, false // effects behind the failed write were skipped
	if c.participant.leaving && !c.participant.left {           // the record to resume from could not be cleared
		c.participant.left = true
		c.emit(LeaveComplete{})
	}
	c.emit(Log{"the disk can't be written: this proxy gives up its vote until it can"})
}

// diskRestored reloads the state from a disk that is writable again.
func (c *Coordinator) diskRestored(ev DiskRestored) {
	c.cfg.ID, c.cfg.Boot = ev.ID, ev.Boot
	if err := c.load(ev.Saved, ev.Note); err != nil {
		c.core = nil
		c.emit(Retire{err.Error()})
		return
	}
	if c.participant.index > 0 {
		c.persistRecord()
		c.updateKnownIndex()
	}
}

// adoptCluster makes this proxy a permanent member of a log's cluster.
func (c *Coordinator) adoptCluster(cluster uint64) {
	if c.cluster != cluster {
		c.cluster = cluster
		c.persistRecord()
	}
}

// persistRecord writes the durable record. Otherwise a participant could report a state as known, be
// killed, and resume without knowing which machines may go out.
func (c *Coordinator) persistRecord() {
	n := DurableRecord{Cluster: c.cluster}
	switch p := &c.participant; {
	case p.leaving || p.level < maintenance.LevelResume && c.resumeRecord == nil:
	case p.index == 0 && c.resumeRecord != nil: // no state yet: the earlier process's record remains valid
		n = *c.resumeRecord
		n.Cluster = c.cluster
	default:
		n.Index, n.Named, n.Grace = p.index, p.named, p.grace
	}
	c.emit(PersistRecord{maintenance.Encode(n)})
}

// ErrProgramTooOld says that the log contains entries that this program does not understand.
var ErrProgramTooOld = errors.New("all other proxies understand more than this program: it takes no part, " +
	"and is not ready; start a later one")

// abandonLog stops following a log whose entries this program does not understand.
func (c *Coordinator) abandonLog() {
	c.core, c.leadership, c.resumeRecord = nil, leadership{}, nil
	c.emit(Log{ErrProgramTooOld.Error()})
}

// retireIdentity gives up the identity on the disk; a new one follows with DiskRestored.
func (c *Coordinator) retireIdentity(reason string) {
	c.core = nil
	c.leadership = leadership{}
	c.cluster, c.resumeRecord = 0, nil
	c.emit(Retire{reason})
}
