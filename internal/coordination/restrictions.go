package coordination

import (
	"fmt"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

// resumeAfter: without a lease for so long, what the disk knew is gone by.
const resumeAfter = time.Second

// Forever is the end of a lease that never ends.
const Forever = time.Duration(1<<63 - 1)

// stopped takes in what the reducer says. Guards against telling the leader that something is known that
// still lies before the reducer: a process paused just then would go on by what it knew before.
func (c *Coordinator) stopped(ev RestrictionsApplied) {
	p := &c.party
	p.reducer = max(p.reducer, ev.Index)
	c.known()
	if p.urgent > 0 && p.knows >= p.urgent {
		p.urgent, p.renewAt = 0, 0
	}
	if !slices.Equal(p.clear, ev.Clear) {
		p.clear, p.renewAt = slices.Clone(ev.Clear), 0
	}
}

// known notes up to where this party may say that it knows the state: its reducer keeps to it, and the disk
// knows what is named.
func (c *Coordinator) known() {
	if p := &c.party; c.kept || p.level < maintenance.LevelResume {
		p.knows = max(p.knows, min(p.reducer, p.index))
	}
}

// tell tells the reducer what holds, when it has changed.
func (c *Coordinator) tell() {
	p := &c.party
	f := Restrictions{Index: p.index, Marked: p.marked, Named: p.named, LeaseUntil: p.until, Grace: p.grace}
	if r := c.resume; r != nil && f.LeaseUntil == 0 && p.began > 0 && c.now-p.began >= resumeAfter {
		// As if its lease had run out: what it doesn't hold can't be told free, since the log waits for the word
		// of the process that was here before, or for this one's.
		if f.LeaseUntil = 1; f.Index < r.Index {
			f.Index, f.Named, f.Marked, f.Grace = r.Index, r.Named, nil, r.Grace
		}
		if p.told.LeaseUntil == 0 {
			c.do(Log{fmt.Sprintf("no lease yet: serves by what was known here at entry %d, and sends nothing to the "+
				"%d machines that might go out", f.Index, len(f.Named))})
		}
	}
	if f.LeaseUntil == 0 && c.cfg.AloneAfter > 0 && p.began > 0 && c.now-p.began >= c.cfg.AloneAfter {
		f.LeaseUntil = Forever
		if p.told.LeaseUntil != Forever {
			c.do(Log{fmt.Sprintf("no lease after %v: serves alone, as configured, and can't know which machines "+
				"are out", c.cfg.AloneAfter)})
		}
	}
	if p.toldOnce && f.Index == p.told.Index && f.LeaseUntil == p.told.LeaseUntil && f.Grace == p.told.Grace {
		return
	}
	p.told, p.toldOnce = f, true
	c.do(f)
}
