package coordination

import (
	"maps"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

// Times of leases, by the leader's clock.
const (
	renewEvery = time.Second           // at least, between two renewals of a lease
	renewPace  = 10 * time.Millisecond // all parties' renewals together leave the leader so much time each
	leaseParts = 3                     // a lease lasts for so many renewals
	deafAfter  = 4                     // who has heard no answer to so many gets none
	drift      = 1.05                  // two clocks of which each is wrong by 2 in 100, and some
)

// renewer is who waits until a majority has confirmed the lead: a party, or an operators' call for status.
type renewer struct {
	from  string
	inc   uint64
	renew *Renew
	call  *asked // a status that is asked for
	came  time.Duration
}

// said is what a party said of itself with its last renewal.
type said struct {
	at               time.Duration
	handled, refused uint64
	avoids, hot      []string
	busy             float64
}

// reading is a confirmation that was asked of a majority, and who waits for it.
type reading struct {
	index   uint64 // 0: not confirmed yet
	waiting []renewer
}

// pace is how long a lease lasts, and how often it is renewed: by the most proxies that there ever were,
// so that a leader's work has a bound, and no leader takes an earlier one's leases for shorter than they are.
func (c *Coordinator) pace() (lasts, every time.Duration) {
	every = max(renewEvery, time.Duration(c.rep.Work.Crowd)*renewPace)
	return leaseParts * every, every
}

// expired tells whether a party has surely stopped by itself: its last lease has run out, and the longest
// deadline has passed since.
func (c *Coordinator) expired(key string) bool {
	last := max(c.lead.since, c.lead.renewed[key])
	lasts, every := c.pace()
	grace := c.rep.Work.Grace
	switch c.cfg.Disabled {
	case LeadWait:
		last = c.lead.renewed[key]
	case LeaseWait:
		lasts = every
	case GraceWait:
		grace = 0
	}
	return c.now-last > time.Duration(drift*float64(lasts+grace))+TickEvery
}

// renewing takes a party's renewal.
func (c *Coordinator) renewing(e *Envelope) {
	if !c.leads() {
		c.refer(e)
		return
	}
	if !c.mayRenew(e) {
		return
	}
	r, key := e.Renew, maintenance.Key(e.From, e.Incarnation)
	c.lead.said[key] = &said{c.now, r.Handled, r.Shed, r.Ejected, r.Hot, r.InFlight}
	c.measured(key, r.Capacities)
	c.noteKnown(key, r.KnownIndex)
	c.noteClear(key, r.Clear)
	c.lead.want = append(c.lead.want, renewer{from: e.From, inc: e.Incarnation, renew: r, came: c.now})
	if c.cfg.Disabled == ConfirmLeadership {
		c.lead.token++
		c.lead.reads[c.lead.token] = &reading{index: 1, waiting: c.lead.want}
		c.lead.want = nil
		c.confirmed()
	}
}

// refer answers a renewal, at a proxy that doesn't lead, with who may.
func (c *Coordinator) refer(e *Envelope) {
	no := &Lease{Seq: e.Renew.Seq}
	if c.party.until > c.now && c.party.hint != e.From {
		no.Leader = c.party.hint // who was heard to lead lately
	}
	if leader, ok := c.leader(); ok {
		no.Leader = leader.Name
	}
	c.send(e.From, e.Addr, &Envelope{Lease: no})
}

// mayRenew tells whether a renewal is of a party that may have a lease. If not, it sees to what there is to
// do instead: the party is taken in, or leaves, or is told why it gets none.
func (c *Coordinator) mayRenew(e *Envelope) bool {
	r, work := e.Renew, c.rep.Work
	p := work.Parties[maintenance.Key(e.From, e.Incarnation)]
	answer := func(l *Lease) {
		l.Seq, l.Leader = r.Seq, c.cfg.Name
		c.send(e.From, e.Addr, &Envelope{Lease: l})
	}
	switch b := work.Boots[e.From]; {
	case r.Leaving && p == nil:
		answer(&Lease{Left: true})
	case r.Leaving:
		c.joining(maintenance.Command{Kind: maintenance.Leave, Name: e.From, Inc: e.Incarnation})
	case p == nil && e.ID != 0 && b.ID == e.ID && b.Boot >= e.Boot:
		answer(&Lease{Retire: true})
	case uint64(e.Version) < work.Level:
		answer(&Lease{Level: work.Level}) // it can't know what it would be told
	case p == nil:
		c.joining(c.joinOf(e))
		answer(&Lease{})
	case r.Seq > r.LastAnswered+deafAfter:
		// Guards against leases that never arrive: who can be heard but hears nothing would hold every machine
		// up for good, since its lease seems to go on.
		answer(&Lease{RenewNow: true})
	case p.Gone:
		answer(&Lease{}) // another process has its address
	default:
		return true
	}
	return false
}

// joinOf is the entry that takes in the party of a renewal.
func (c *Coordinator) joinOf(e *Envelope) maintenance.Command {
	p := &maintenance.Party{Name: e.From, Inc: e.Incarnation, Addr: e.Addr, Grace: e.Renew.Grace,
		ID: e.ID, Boot: e.Boot}
	if e.Renew.ResumeIndex > 0 && c.rep.Work.Level >= maintenance.LevelResume {
		p.Resumed, p.Knows = true, e.Renew.ResumeIndex
	}
	return maintenance.Command{Kind: maintenance.Join, Party: p}
}

// noteKnown has it agreed on that a party knows the state, where that is new for a machine in work.
func (c *Coordinator) noteKnown(key string, knows uint64) {
	p := c.rep.Work.Parties[key]
	news := func(w *maintenance.Work) bool {
		return !w.Step.Ended() && w.Named > p.Known() && w.Named <= knows
	}
	if slices.ContainsFunc(c.rep.Work.Works, news) {
		c.lead.knows = append(c.lead.knows, maintenance.Note{Party: key, Index: knows})
	}
}

// noteClear has it agreed on at which machines a party has nothing any more.
func (c *Coordinator) noteClear(key string, marks []maintenance.Mark) {
	for _, m := range marks {
		w := c.rep.Work.Active(m.Machine)
		if w != nil && w.Granted == m.Grant && !w.Clear[key] &&
			(w.Step == maintenance.Granted || w.Step == maintenance.Draining) {
			c.lead.clears = append(c.lead.clears, maintenance.Note{Party: key, Index: m.Grant, Machine: m.Machine})
		}
	}
}

// joining notes a party's coming or going, once.
func (c *Coordinator) joining(cmd maintenance.Command) {
	same := func(o maintenance.Command) bool {
		return o.Kind == cmd.Kind && (o.Party != nil && cmd.Party != nil && o.Party.Key() == cmd.Party.Key() ||
			o.Party == nil && o.Name == cmd.Name && o.Inc == cmd.Inc)
	}
	if !slices.ContainsFunc(c.lead.joins, same) {
		c.lead.joins = append(c.lead.joins, cmd)
	}
}

// confirm asks a majority whether this proxy still leads, for all who wait.
func (c *Coordinator) confirm() {
	c.lead.token++
	c.lead.reads[c.lead.token] = &reading{waiting: c.lead.want}
	c.lead.want = nil
	c.core.Confirm(c.lead.token)
}

// confirmed answers those for whom a majority has confirmed the lead after they asked, with the state that
// was agreed by then. Guards against a leader that was replaced and doesn't know it: what it tells is old.
func (c *Coordinator) confirmed() {
	for _, token := range slices.Sorted(maps.Keys(c.lead.reads)) {
		rd := c.lead.reads[token]
		if rd.index == 0 || c.core.Applied() < rd.index {
			continue
		}
		delete(c.lead.reads, token)
		for _, r := range rd.waiting {
			if r.call != nil {
				c.replyStatus(r.call)
			} else {
				c.grantLease(r)
			}
		}
	}
}

// grantLease has a party's lease go on.
func (c *Coordinator) grantLease(r renewer) {
	key := maintenance.Key(r.from, r.inc)
	p := c.rep.Work.Parties[key]
	if p == nil || p.Gone {
		return
	}
	c.lead.renewed[key] = max(c.lead.renewed[key], r.came)
	l := c.state()
	l.Seq = r.renew.Seq
	l.Duration, _ = c.pace()
	c.send(p.Name, p.Addr, &Envelope{Lease: l})
}

// state words what all parties are to know.
func (c *Coordinator) state() *Lease {
	_, every := c.pace()
	w := c.rep.Work
	l := &Lease{RenewInterval: every, Grace: w.Grace, Index: max(1, w.Index), Named: w.Named(),
		Marked: w.Marked(), Leader: c.cfg.Name, Level: w.Level}
	for _, id := range slices.Sorted(maps.Keys(c.rep.Voters)) {
		l.Voters = append(l.Voters, c.rep.Voters[id])
	}
	return l
}

// push tells all parties at once when what they must know has changed. It is no lease: what was agreed is
// true whoever tells it.
func (c *Coordinator) push() {
	work := c.rep.Work
	if c.lead.pushAt == work.Index {
		return
	}
	c.lead.pushAt = work.Index
	l := c.state()
	what := string(maintenance.Encode([]any{l.Named, l.Marked}))
	if what == c.lead.pushed {
		return
	}
	c.lead.pushed = what
	for _, key := range slices.Sorted(maps.Keys(work.Parties)) {
		if p := work.Parties[key]; !p.Gone {
			l := *l
			c.send(p.Name, p.Addr, &Envelope{Lease: &l})
		}
	}
}
