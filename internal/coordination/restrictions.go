package coordination

import (
	"fmt"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

// resumeDelay is the time without a lease after which the proxy resumes from its durable record.
const resumeDelay = time.Second

// handleRestrictionsApplied records what the reducer enforces. Only that may be reported to the leader as
// known: a process that is paused just before its reducer reads an update would otherwise resume with the
// old state.
func (c *Coordinator) handleRestrictionsApplied(ev RestrictionsApplied) {
	p := &c.participant
	p.reducerIndex = max(p.reducerIndex, ev.Index)
	c.updateKnownIndex()
	if p.urgentIndex > 0 && p.knownIndex >= p.urgentIndex {
		p.urgentIndex, p.nextRenewal = 0, 0
	}
	if !slices.Equal(p.clear, ev.Clear) {
		p.clear, p.nextRenewal = slices.Clone(ev.Clear), 0
	}
}

// updateKnownIndex updates the index that this participant may report as known: its reducer enforces that
// state, and the durable record covers the named machines.
func (c *Coordinator) updateKnownIndex() {
	if p := &c.participant; c.recordWritten || p.level < maintenance.LevelResume {
		p.knownIndex = max(p.knownIndex, min(p.reducerIndex, p.index))
	}
}

// publishRestrictions sends the Restrictions to the reducer if they have changed.
func (c *Coordinator) publishRestrictions() {
	p := &c.participant
	f := Restrictions{Index: p.index, Marked: p.marked, Named: p.named, LeaseUntil: p.leaseUntil, Grace: p.grace}
	if r := c.resumeRecord; r != nil && f.LeaseUntil == 0 && p.startedAt > 0 &&
		c.now-p.startedAt >= resumeDelay {
		// Same as after the expiry of a lease. A machine that this proxy does not block can't be
		// released, since the log waits for a report of the earlier process on this disk, or of this one.
		if f.LeaseUntil = 1; f.Index < r.Index {
			f.Index, f.Named, f.Marked, f.Grace = r.Index, r.Named, nil, r.Grace
		}
		if p.published.LeaseUntil == 0 {
			c.emit(Log{fmt.Sprintf("no lease yet: serves by what was known here at entry %d, and sends nothing to "+
				"the %d machines that might go out", f.Index, len(f.Named))})
		}
	}
	if f.LeaseUntil == 0 && c.cfg.AloneAfter > 0 && p.startedAt > 0 && c.now-p.startedAt >= c.cfg.AloneAfter {
		f.Alone = true
		if !p.published.Alone {
			c.emit(Log{fmt.Sprintf("no lease after %v: serves alone, as configured, and can't know which machines "+
				"are out", c.cfg.AloneAfter)})
		}
	}
	if p.publishedOnce && f.Index == p.published.Index && f.LeaseUntil == p.published.LeaseUntil &&
		f.Grace == p.published.Grace && f.Alone == p.published.Alone {
		return
	}
	p.published, p.publishedOnce = f, true
	c.emit(f)
}
