package coordination

import (
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

// Times and bounds of a party's renewals.
const (
	joinEvery    = 300 * time.Millisecond // between two calls while there is no lease
	busyMemory   = time.Second            // of the mean of what is in work
	mostAvoids   = 16                     // machines that a proxy names as set aside, or as holding a hot key
	roomsEach    = 16                     // machines whose room is told with one renewal; all come by turns
	keptRenewals = 16                     // renewals whose answers still count
	restTurn     = 3                      // one turn of so many goes to unlikely voters: they may vote by now
)

// party is what this proxy knows as one that sends to machines.
type party struct {
	seq      uint64
	sentAt   map[uint64]time.Duration // renewals that are out
	renewAt  time.Duration            // the next
	every    time.Duration
	hint     string // who may lead
	turn     int
	until    time.Duration
	index    uint64 // of what it was told
	level    uint64 // of the log
	reducer  uint64 // of what its reducer keeps to
	knows    uint64 // up to which it says that it knows the state
	heard    uint64 // the last renewal that was answered
	urgent   uint64 // the leader should know soon that it does, from this index on
	named    []string
	marked   []maintenance.Mark
	clear    []maintenance.Mark
	grace    time.Duration
	voters   []Voter
	handled  uint64
	refused  uint64
	avoids   []string
	hot      []string
	busy     float64 // mean of busyNow over about busyMemory
	busyNow  float64
	busyAt   time.Duration
	rooms    []Capacity
	roomTurn int
	leaving  bool
	left     bool
	told     Restrictions
	toldOnce bool
	began    time.Duration
}

// renew asks for the lease to go on, when it is time to.
func (c *Coordinator) renew() {
	p := &c.party
	if c.now < p.renewAt || p.left {
		return
	}
	if _, open := p.sentAt[p.seq]; open && p.seq > 0 { // the last one was not answered
		p.hint = ""
		p.turn++
	}
	p.seq++
	p.sentAt[p.seq] = c.now
	delete(p.sentAt, p.seq-keptRenewals)
	pace := joinEvery
	if p.until > c.now && !p.leaving {
		pace = p.every
	}
	p.renewAt = c.now + pace
	to, addr := c.leaderOr(p.turn)
	if to == "" {
		return
	}
	p.mean(c.now)
	c.send(to, addr, &Envelope{Renew: &Renew{Seq: p.seq, KnownIndex: p.knows, Clear: p.clear, Grace: c.cfg.Grace,
		Leaving: p.leaving, Handled: p.handled, Shed: p.refused, Ejected: p.avoids, LastAnswered: p.heard,
		ResumeIndex: c.told(), InFlight: p.busy, Hot: p.hot, Capacities: c.someRooms()}})
	p.handled, p.refused = 0, 0
}

// load takes in what was counted and measured since the last time.
func (p *party) load(now time.Duration, ev Load) {
	p.handled += ev.Handled
	p.refused += ev.Shed
	p.avoids = ev.Ejected[:min(len(ev.Ejected), mostAvoids)]
	p.hot = ev.Hot[:min(len(ev.Hot), mostAvoids)]
	p.rooms = ev.Capacities
	p.mean(now)
	p.busyNow = ev.InFlight
}

// mean lets the mean of what is in work follow up to now.
func (p *party) mean(now time.Duration) {
	if age := now - p.busyAt; age > 0 {
		p.busy += (p.busyNow - p.busy) * age.Seconds() / (age + busyMemory).Seconds()
		p.busyAt = now
	}
}

// told is the index that this party says it may go on by.
func (c *Coordinator) told() uint64 {
	if c.cfg.Disabled == ReportResumeIndex {
		return 0
	}
	return c.from
}

// someRooms are the rooms that are told with this renewal.
func (c *Coordinator) someRooms() (some []Capacity) {
	p := &c.party
	for range min(roomsEach, len(p.rooms)) {
		some = append(some, p.rooms[p.roomTurn%len(p.rooms)])
		p.roomTurn++
	}
	return some
}

// leaderOr is who leads as far as is known, or else one of those who may know, by turns.
func (c *Coordinator) leaderOr(turn int) (name, addr string) {
	// Guards against asking for good who led when this one lost its vote: it hears no more of elections.
	if c.core != nil && !c.held && slices.Contains(c.core.Voters(), c.cfg.ID) {
		if leader, ok := c.leader(); ok {
			return leader.Name, leader.Addr
		}
	}
	addrs := map[string]string{}
	for _, v := range c.party.voters {
		addrs[v.Name] = v.Addr
	}
	if c.party.hint != "" {
		return c.party.hint, addrs[c.party.hint]
	}
	var likely, rest []string
	for _, v := range c.party.voters {
		likely = append(likely, v.Name)
	}
	for _, n := range c.cfg.InitialVoters {
		if !slices.Contains(likely, n) && n != c.cfg.Name {
			likely = append(likely, n)
		}
	}
	for _, n := range c.cfg.Peers {
		if !slices.Contains(likely, n) {
			rest = append(rest, n)
		}
	}
	// Guards against going round hundreds of peers, who know nothing, in search of a few that vote.
	names := likely
	if len(likely) == 0 || len(rest) > 0 && turn%restTurn == restTurn-1 {
		names, turn = rest, turn/restTurn
	}
	if len(names) == 0 {
		return c.cfg.Name, c.cfg.Addr
	}
	name = names[(turn+int(c.cfg.Incarnation%uint64(len(names))))%len(names)]
	return name, addrs[name]
}

// leased takes in what a leader tells.
func (c *Coordinator) leased(e *Envelope) {
	l, p := e.Lease, &c.party
	if c.cluster == 0 && e.Cluster != 0 {
		c.adopt(e.Cluster)
	}
	if l.Level > c.cfg.Level && c.core != nil && l.Duration == 0 {
		c.tooOld()
		return
	}
	sent, mine := p.sentAt[l.Seq]
	if l.Seq != 0 {
		if !mine {
			return // an old answer, or to another process
		}
		p.renewalAnswered(e.From, l)
	}
	if c.dismissed(l) {
		return
	}
	c.informed(l)
	if mine && l.Duration > 0 && l.Index != 0 {
		c.extend(l, sent)
	}
}

// renewalAnswered notes whom the answer to a renewal came from, and who leads by it.
func (p *party) renewalAnswered(from string, l *Lease) {
	delete(p.sentAt, l.Seq)
	if l.Leader == from { // guards against taking its own answer, while it knows of no leader, for one
		p.heard = max(p.heard, l.Seq)
	}
	if l.RenewNow {
		p.renewAt = 0
	}
	if l.Seq == p.seq && l.Leader != "" && l.Leader != p.hint {
		p.hint = l.Leader
		if l.Duration == 0 && l.Leader != from {
			p.renewAt = 0
		}
	} else if l.Leader == "" {
		p.hint = ""
		p.turn++
	}
}

// dismissed tells whether an answer ends this party or the identity on its disk: there is no lease in it.
func (c *Coordinator) dismissed(l *Lease) bool {
	p := &c.party
	switch {
	case l.Retire && p.leaving:
		return true // an earlier call of this party came after it had left: its disk is as it should be
	case l.Retire:
		c.retire("the disk is older than what the log knows of it")
		return true
	case l.Left && p.leaving && !p.left:
		p.left = true
		c.do(LeaveComplete{})
		return true
	}
	return false
}

// informed takes in the state that was agreed on. It is so for good, whoever tells it.
func (c *Coordinator) informed(l *Lease) {
	p := &c.party
	if l.Index > p.index {
		news := !slices.Equal(p.named, l.Named) || p.level != l.Level
		if news {
			p.urgent = l.Index
		}
		p.index, p.named, p.marked, p.level = l.Index, l.Named, l.Marked, l.Level
		if p.grace = max(p.grace, l.Grace); news && p.level >= maintenance.LevelResume {
			c.keep()
		}
		p.clear = slices.DeleteFunc(p.clear, func(m maintenance.Mark) bool { return !slices.Contains(p.marked, m) })
	}
	if l.Index > 0 && len(l.Voters) > 0 {
		p.voters = l.Voters
	}
	p.grace = max(p.grace, l.Grace)
}

// extend has the lease last from when its renewal was sent: the leader counts from later on.
func (c *Coordinator) extend(l *Lease, sent time.Duration) {
	p := &c.party
	p.every = max(joinEvery, l.RenewInterval)
	if c.cfg.Disabled == LeaseFromSendTime {
		sent = c.now
	}
	p.until = max(p.until, sent+l.Duration)
	votes := c.core != nil && !c.core.Changing() && slices.Contains(c.core.Voters(), c.cfg.ID)
	if votes && l.Index >= c.rep.Work.Index &&
		!slices.ContainsFunc(l.Voters, func(v Voter) bool { return v.ID == c.cfg.ID }) {
		c.retire("another proxy has its vote now")
	}
}

// leave ends this party. Guards against a next process that goes on by what the disk knew: nobody waits for
// this party's word any more once it has left.
func (c *Coordinator) leave() {
	p := &c.party
	p.leaving, p.renewAt, c.resume = true, 0, nil
	if c.core != nil && c.core.Leads() {
		c.core.Yield()
	}
	if !c.kept && p.level >= maintenance.LevelResume {
		p.left = true // it is found out by its lease
		c.do(LeaveComplete{})
		return
	}
	c.keep()
}
