package coordination

import (
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

// Times and limits of a participant's renewals.
const (
	joinInterval           = 300 * time.Millisecond // interval between two renewals while there is no lease
	inFlightAveraging      = time.Second            // time constant of the mean of requests in flight
	maxReportedMachines    = 16                     // ejected machines, and machines with a hot key
	capacitiesPerRenewal   = 16                     // reported in round-robin order
	maxOutstandingRenewals = 16                     // latest renewals whose answers are accepted
	otherPeersInterval     = 3                      // every third attempt goes to another peer
)

// participant is the state of this proxy as a lease holder that sends to machines.
type participant struct {
	seq           uint64
	sentAt        map[uint64]time.Duration // send times of the unanswered renewals
	nextRenewal   time.Duration            // time of the next renewal
	renewInterval time.Duration
	leaderHint    string // probable leader
	attempt       int    // number of the attempt to find the leader
	leaseUntil    time.Duration
	index         uint64 // of the latest state received
	level         uint64 // protocol level of the log
	reducerIndex  uint64 // of the state that the reducer enforces
	knownIndex    uint64 // of the state that it reports as known
	lastAnswered  uint64 // sequence number of the last answered renewal
	urgentIndex   uint64 // once knownIndex reaches it, the next renewal is sent at once; 0: none
	named         []string
	marked        []maintenance.Mark
	clear         []maintenance.Mark
	grace         time.Duration
	voters        []Voter
	handled       uint64
	shed          uint64
	ejected       []string
	hot           []string
	meanInFlight  float64 // mean over about inFlightAveraging
	inFlight      float64
	meanAt        time.Duration
	capacities    []Capacity
	nextCapacity  int
	leaving       bool
	left          bool
	published     Restrictions
	publishedOnce bool
	startedAt     time.Duration
}

// renew requests a renewal of the lease when it is due.
func (c *Coordinator) renew() {
	p := &c.participant
	if c.now < p.nextRenewal || p.left {
		return
	}
	if _, open := p.sentAt[p.seq]; open && p.seq > 0 { // the last renewal is unanswered
		p.leaderHint = ""
		p.attempt++
	}
	p.seq++
	p.sentAt[p.seq] = c.now
	delete(p.sentAt, p.seq-maxOutstandingRenewals)
	interval := joinInterval
	if p.leaseUntil > c.now && !p.leaving {
		interval = p.renewInterval
	}
	p.nextRenewal = c.now + interval
	to, addr := c.presumedLeader(p.attempt)
	if to == "" {
		return
	}
	p.updateMean(c.now)
	c.send(to, addr, &Envelope{Renew: &Renew{Seq: p.seq, KnownIndex: p.knownIndex, Clear: p.clear,
		Grace: c.cfg.Grace, Leaving: p.leaving, Handled: p.handled, Shed: p.shed, Ejected: p.ejected,
		LastAnswered: p.lastAnswered, ResumeIndex: c.reportedResumeIndex(), InFlight: p.meanInFlight, Hot: p.hot,
		Capacities: c.nextCapacities()}})
	p.handled, p.shed = 0, 0
}

// addLoad adds what was counted and measured since the last call.
func (p *participant) addLoad(now time.Duration, ev Load) {
	p.handled += ev.Handled
	p.shed += ev.Shed
	p.ejected = ev.Ejected[:min(len(ev.Ejected), maxReportedMachines)]
	p.hot = ev.Hot[:min(len(ev.Hot), maxReportedMachines)]
	p.capacities = ev.Capacities
	p.updateMean(now)
	p.inFlight = ev.InFlight
}

// updateMean updates the mean of requests in flight up to now.
func (p *participant) updateMean(now time.Duration) {
	if age := now - p.meanAt; age > 0 {
		p.meanInFlight += (p.inFlight - p.meanInFlight) * age.Seconds() / (age + inFlightAveraging).Seconds()
		p.meanAt = now
	}
}

// reportedResumeIndex is the index of the state from which this participant reports to have resumed.
func (c *Coordinator) reportedResumeIndex() uint64 {
	if c.cfg.Disabled == ReportResumeIndex {
		return 0
	}
	return c.resumeIndex
}

// nextCapacities returns the capacities to report in this renewal.
func (c *Coordinator) nextCapacities() (next []Capacity) {
	p := &c.participant
	for range min(capacitiesPerRenewal, len(p.capacities)) {
		next = append(next, p.capacities[p.nextCapacity%len(p.capacities)])
		p.nextCapacity++
	}
	return next
}

// renewalTarget returns the leader as far as it is known, or otherwise one of the proxies that may know
// it, in round-robin order.
func (c *Coordinator) presumedLeader(attempt int) (name, addr string) {
	// Only a voter may use its own part in the log: a proxy that has lost its vote no longer learns of
	// elections, and would keep addressing an old leader.
	if c.core != nil && !c.votingHeld && slices.Contains(c.core.Voters(), c.cfg.ID) {
		if leader, ok := c.leader(); ok {
			return leader.Name, leader.Addr
		}
	}
	addrs := map[string]string{}
	for _, v := range c.participant.voters {
		addrs[v.Name] = v.Addr
	}
	if c.participant.leaderHint != "" {
		return c.participant.leaderHint, addrs[c.participant.leaderHint]
	}
	var probableVoters, otherPeers []string
	for _, v := range c.participant.voters {
		probableVoters = append(probableVoters, v.Name)
	}
	for _, n := range c.cfg.InitialVoters {
		if !slices.Contains(probableVoters, n) && n != c.cfg.Name {
			probableVoters = append(probableVoters, n)
		}
	}
	for _, n := range c.cfg.Peers {
		if !slices.Contains(probableVoters, n) {
			otherPeers = append(otherPeers, n)
		}
	}
	// Prefer probable voters over going through hundreds of peers that don't know the leader. The other
	// peers get only a share of the attempts; one of them may be a voter by now.
	names := probableVoters
	if len(probableVoters) == 0 || len(otherPeers) > 0 && attempt%otherPeersInterval == otherPeersInterval-1 {
		names, attempt = otherPeers, attempt/otherPeersInterval
	}
	if len(names) == 0 {
		return c.cfg.Name, c.cfg.Addr
	}
	name = names[(attempt+int(c.cfg.Incarnation%uint64(len(names))))%len(names)]
	return name, addrs[name]
}

// handleLease handles a Lease message.
func (c *Coordinator) handleLease(e *Envelope) {
	l, p := e.Lease, &c.participant
	if c.cluster == 0 && e.Cluster != 0 {
		c.adoptCluster(e.Cluster)
	}
	if l.Level > c.cfg.Level && c.core != nil && l.Duration == 0 {
		c.abandonLog()
		return
	}
	sent, pending := p.sentAt[l.Seq]
	if l.Seq != 0 {
		if !pending {
			return // an old answer, or one to another process
		}
		p.recordAnswer(e.From, l)
	}
	if c.handleDismissal(l) {
		return
	}
	c.updateState(l)
	if pending && l.Duration > 0 && l.Index != 0 {
		c.extendLease(l, sent)
	}
}

// recordAnswer records the answer to a renewal, and the leader that it names.
func (p *participant) recordAnswer(from string, l *Lease) {
	delete(p.sentAt, l.Seq)
	if l.Leader == from { // not this proxy's own answer, sent while it knows of no leader
		p.lastAnswered = max(p.lastAnswered, l.Seq)
	}
	if l.RenewNow {
		p.nextRenewal = 0
	}
	if l.Seq == p.seq && l.Leader != "" && l.Leader != p.leaderHint {
		p.leaderHint = l.Leader
		if l.Duration == 0 && l.Leader != from {
			p.nextRenewal = 0
		}
	} else if l.Leader == "" {
		p.leaderHint = ""
		p.attempt++
	}
}

// handleDismissal reports whether an answer ends this participant or the identity on its disk, so that it
// grants no lease.
func (c *Coordinator) handleDismissal(l *Lease) bool {
	p := &c.participant
	switch {
	case l.Retire && p.leaving:
		return true // an earlier renewal reached the leader after the leave: the disk is valid
	case l.Retire:
		c.retireIdentity("the disk is older than what the log knows of it")
		return true
	case l.Left && p.leaving && !p.left:
		p.left = true
		c.emit(LeaveComplete{})
		return true
	}
	return false
}

// updateState records the committed state. It is final, whoever sent it.
func (c *Coordinator) updateState(l *Lease) {
	p := &c.participant
	if l.Index > p.index {
		changed := !slices.Equal(p.named, l.Named) || p.level != l.Level
		if changed {
			p.urgentIndex = l.Index
		}
		p.index, p.named, p.marked, p.level = l.Index, l.Named, l.Marked, l.Level
		if p.grace = max(p.grace, l.Grace); changed && p.level >= maintenance.LevelResume {
			c.persistRecord()
		}
		p.clear = slices.DeleteFunc(p.clear, func(m maintenance.Mark) bool { return !slices.Contains(p.marked, m) })
	}
	if l.Index > 0 && len(l.Voters) > 0 {
		p.voters = l.Voters
	}
	p.grace = max(p.grace, l.Grace)
}

// extendLease extends the lease, counted from the sending of its renewal: the leader counts from its
// arrival, which is later.
func (c *Coordinator) extendLease(l *Lease, sent time.Duration) {
	p := &c.participant
	p.renewInterval = max(joinInterval, l.RenewInterval)
	if c.cfg.Disabled == LeaseFromSendTime {
		sent = c.now
	}
	p.leaseUntil = max(p.leaseUntil, sent+l.Duration)
	votes := c.core != nil && !c.core.Changing() && slices.Contains(c.core.Voters(), c.cfg.ID)
	if votes && l.Index >= c.replica.Maintenance.Index &&
		!slices.ContainsFunc(l.Voters, func(v Voter) bool { return v.ID == c.cfg.ID }) {
		c.retireIdentity("another proxy has its vote now")
	}
}

// startLeaving ends this participant. It clears the durable record, because a later process must not
// resume from it: nobody waits for this participant's reports once it has left.
func (c *Coordinator) startLeaving() {
	p := &c.participant
	p.leaving, p.nextRenewal, c.resumeRecord = true, 0, nil
	if c.core != nil && c.core.Leads() {
		c.core.TransferLeadership()
	}
	if !c.recordWritten && p.level >= maintenance.LevelResume {
		p.left = true // the others wait for the expiry of its lease
		c.emit(LeaveComplete{})
		return
	}
	c.persistRecord()
}
