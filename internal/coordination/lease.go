package coordination

import (
	"maps"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

// Times of leases, on the leader's clock.
const (
	minRenewInterval      = time.Second           // minimum interval between two renewals of a lease
	renewalSpacing        = 10 * time.Millisecond // minimum mean interval between all renewals at the leader
	renewalsPerLease      = 3                     // duration of a lease in renewal intervals
	maxUnansweredRenewals = 4                     // unanswered renewals after which a participant gets no lease
	clockDriftFactor      = 1.05                  // covers two clocks that are each wrong by 2%, and a margin
)

// waiter waits until a majority has confirmed the leadership: a participant that renews its lease, or an
// operator's status call.
type waiter struct {
	from       string
	inc        uint64
	renew      *Renew
	call       *leaderCall // the status call; nil for a renewal
	receivedAt time.Duration
}

// loadReport is the load that a participant reported with its last renewal.
type loadReport struct {
	at            time.Duration
	handled, shed uint64
	ejected, hot  []string
	inFlight      float64
}

// confirmation is a request to a majority to confirm the leadership, and those who wait for it.
type confirmation struct {
	index   uint64 // log index at the confirmation; 0: not confirmed yet
	waiters []waiter
}

// leaseTimes returns the duration of a lease and the interval of its renewals. Both follow from the
// largest number of proxies that there ever was, so that a leader's load is bounded and no leader assumes
// a shorter duration than an earlier leader granted.
func (c *Coordinator) leaseTimes() (duration, interval time.Duration) {
	interval = max(minRenewInterval, time.Duration(c.replica.Maintenance.MaxParticipants)*renewalSpacing)
	return renewalsPerLease * interval, interval
}

// leaseExpired reports whether a participant has certainly stopped by itself: its last lease has expired,
// and the longest request deadline has passed since.
func (c *Coordinator) leaseExpired(key string) bool {
	last := max(c.leadership.since, c.leadership.renewed[key])
	duration, interval := c.leaseTimes()
	grace := c.replica.Maintenance.Grace
	switch c.cfg.Disabled {
	case LeadWait:
		last = c.leadership.renewed[key]
	case LeaseWait:
		duration = interval
	case GraceWait:
		grace = 0
	}
	return c.now-last > time.Duration(clockDriftFactor*float64(duration+grace))+TickEvery
}

// handleRenewal handles a participant's renewal.
func (c *Coordinator) handleRenewal(e *Envelope) {
	if !c.isLeader() {
		c.redirectRenewal(e)
		return
	}
	if !c.admitRenewal(e) {
		return
	}
	r, key := e.Renew, maintenance.Key(e.From, e.Incarnation)
	c.leadership.loads[key] = &loadReport{c.now, r.Handled, r.Shed, r.Ejected, r.Hot, r.InFlight}
	c.addCapacities(key, r.Capacities)
	c.queueKnown(key, r.KnownIndex)
	c.queueClear(key, r.Clear)
	c.leadership.waiters = append(c.leadership.waiters, waiter{from: e.From, inc: e.Incarnation,
		renew: r, receivedAt: c.now})
	if c.cfg.Disabled == ConfirmLeadership {
		c.leadership.lastToken++
		c.leadership.confirmations[c.leadership.lastToken] = &confirmation{index: 1, waiters: c.leadership.waiters}
		c.leadership.waiters = nil
		c.answerConfirmed()
	}
}

// redirectRenewal answers a renewal at a proxy that doesn't lead, with the name of the probable leader.
func (c *Coordinator) redirectRenewal(e *Envelope) {
	answer := &Lease{Seq: e.Renew.Seq}
	if c.participant.leaseUntil > c.now && c.participant.leaderHint != e.From {
		answer.Leader = c.participant.leaderHint // the presumed leader, while this proxy has a lease
	}
	if leader, ok := c.leader(); ok {
		answer.Leader = leader.Name
	}
	c.send(e.From, e.Addr, &Envelope{Lease: answer})
}

// admitRenewal reports whether a renewal comes from a participant that may have a lease. Otherwise it
// takes the necessary action: it queues the participant's joining or leaving, or answers why it gets no
// lease.
func (c *Coordinator) admitRenewal(e *Envelope) bool {
	r, work := e.Renew, c.replica.Maintenance
	p := work.Participants[maintenance.Key(e.From, e.Incarnation)]
	answer := func(l *Lease) {
		l.Seq, l.Leader = r.Seq, c.cfg.Name
		c.send(e.From, e.Addr, &Envelope{Lease: l})
	}
	switch b := work.Boots[e.From]; {
	case r.Leaving && p == nil:
		answer(&Lease{Left: true})
	case r.Leaving:
		c.queueJoinOrLeave(maintenance.Command{Kind: maintenance.Leave, Name: e.From, Inc: e.Incarnation})
	case p == nil && e.ID != 0 && b.ID == e.ID && b.Boot >= e.Boot:
		answer(&Lease{Retire: true})
	case uint64(e.Version) < work.Level:
		answer(&Lease{Level: work.Level}) // it would not understand the state
	case p == nil:
		c.queueJoinOrLeave(c.joinCommand(e))
		answer(&Lease{})
	case r.Seq > r.LastAnswered+maxUnansweredRenewals:
		// A lease that never arrives must not count as granted: a participant whose messages arrive but
		// that receives none would block every machine indefinitely, because its lease would seem to be
		// renewed.
		answer(&Lease{RenewNow: true})
	case p.Gone:
		answer(&Lease{}) // another process has taken over its address
	default:
		return true
	}
	return false
}

// joinCommand returns the command that adds the sender of a renewal as a participant.
func (c *Coordinator) joinCommand(e *Envelope) maintenance.Command {
	p := &maintenance.Participant{Name: e.From, Inc: e.Incarnation, Addr: e.Addr, Grace: e.Renew.Grace,
		ID: e.ID, Boot: e.Boot}
	if e.Renew.ResumeIndex > 0 && c.replica.Maintenance.Level >= maintenance.LevelResume {
		p.Resumed, p.Acknowledged = true, e.Renew.ResumeIndex
	}
	return maintenance.Command{Kind: maintenance.Join, Participant: p}
}

// queueKnown queues a note that a participant knows the state, if that is new for a machine under
// maintenance.
func (c *Coordinator) queueKnown(key string, knownIndex uint64) {
	p := c.replica.Maintenance.Participants[key]
	isNew := func(w *maintenance.Work) bool {
		return !w.Step.Ended() && w.Announced > p.KnownIndex() && w.Announced <= knownIndex
	}
	if slices.ContainsFunc(c.replica.Maintenance.Works, isNew) {
		c.leadership.knownNotes = append(c.leadership.knownNotes,
			maintenance.Report{Participant: key, Index: knownIndex})
	}
}

// queueClear queues notes of the machines at which a participant has nothing open any more.
func (c *Coordinator) queueClear(key string, marks []maintenance.Mark) {
	for _, m := range marks {
		w := c.replica.Maintenance.Active(m.Machine)
		if w != nil && w.Granted == m.Grant && !w.Clear[key] &&
			(w.Step == maintenance.Granted || w.Step == maintenance.Draining) {
			c.leadership.clearNotes = append(c.leadership.clearNotes, maintenance.Report{Participant: key,
				Index: m.Grant, Machine: m.Machine})
		}
	}
}

// queueJoinOrLeave queues the joining or leaving of a participant, once.
func (c *Coordinator) queueJoinOrLeave(cmd maintenance.Command) {
	same := func(o maintenance.Command) bool {
		return o.Kind == cmd.Kind && (o.Participant != nil && cmd.Participant != nil &&
			o.Participant.Key() == cmd.Participant.Key() ||
			o.Participant == nil && o.Name == cmd.Name && o.Inc == cmd.Inc)
	}
	if !slices.ContainsFunc(c.leadership.joins, same) {
		c.leadership.joins = append(c.leadership.joins, cmd)
	}
}

// confirmLeadership asks a majority to confirm that this proxy still leads, for all waiters.
func (c *Coordinator) confirmLeadership() {
	c.leadership.lastToken++
	c.leadership.confirmations[c.leadership.lastToken] = &confirmation{waiters: c.leadership.waiters}
	c.leadership.waiters = nil
	c.core.Confirm(c.leadership.lastToken)
}

// answerConfirmed answers the waiters for whom a majority has confirmed the leadership after their
// request arrived, with the state committed by then. A leader that was replaced and doesn't know it would
// otherwise answer with an old state.
func (c *Coordinator) answerConfirmed() {
	for _, token := range slices.Sorted(maps.Keys(c.leadership.confirmations)) {
		confirmed := c.leadership.confirmations[token]
		if confirmed.index == 0 || c.core.Applied() < confirmed.index {
			continue
		}
		delete(c.leadership.confirmations, token)
		for _, w := range confirmed.waiters {
			if w.call != nil {
				c.replyStatus(w.call)
			} else {
				c.grantLease(w)
			}
		}
	}
}

// grantLease grants or renews a participant's lease.
func (c *Coordinator) grantLease(r waiter) {
	key := maintenance.Key(r.from, r.inc)
	p := c.replica.Maintenance.Participants[key]
	if p == nil || p.Gone {
		return
	}
	c.leadership.renewed[key] = max(c.leadership.renewed[key], r.receivedAt)
	l := c.stateMessage()
	l.Seq = r.renew.Seq
	l.Duration, _ = c.leaseTimes()
	c.send(p.Name, p.Addr, &Envelope{Lease: l})
}

// stateMessage returns the state that all participants must know.
func (c *Coordinator) stateMessage() *Lease {
	_, interval := c.leaseTimes()
	w := c.replica.Maintenance
	l := &Lease{RenewInterval: interval, Grace: w.Grace, Index: max(1, w.Index), Named: w.Named(),
		Marked: w.Marked(), Leader: c.cfg.Name, Level: w.Level}
	for _, id := range slices.Sorted(maps.Keys(c.replica.Voters)) {
		l.Voters = append(l.Voters, c.replica.Voters[id])
	}
	return l
}

// pushState sends the state to all participants as soon as it has changed. It grants no lease; committed
// state may come from any sender.
func (c *Coordinator) pushState() {
	work := c.replica.Maintenance
	if c.leadership.pushedIndex == work.Index {
		return
	}
	c.leadership.pushedIndex = work.Index
	l := c.stateMessage()
	encoded := string(maintenance.Encode([]any{l.Named, l.Marked}))
	if encoded == c.leadership.pushedState {
		return
	}
	c.leadership.pushedState = encoded
	for _, key := range slices.Sorted(maps.Keys(work.Participants)) {
		if p := work.Participants[key]; !p.Gone {
			l := *l
			c.send(p.Name, p.Addr, &Envelope{Lease: &l})
		}
	}
}
