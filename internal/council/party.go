package council

import (
	"fmt"
	"slices"
	"time"

	"lilacglade/internal/workorder"
)

// Forever is the end of a lease that never ends.
const Forever = time.Duration(1<<63 - 1)

// restTurn: of so many turns one goes to those who are not likely to vote: others may have the votes by now.
const restTurn = 3

// keptRenewals bounds the renewals whose answers still count.
const keptRenewals = 16

// renew asks for the lease to go on, when it is time to.
func (c *Council) renew() {
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
	c.send(to, addr, &Envelope{Renew: &Renew{Seq: p.seq, Knows: p.knows, Clear: p.clear, Grace: c.cfg.Grace,
		Leaving: p.leaving, Handled: p.handled, Refused: p.refused, Avoids: p.avoids, Heard: p.heard,
		From: c.told(), Busy: p.busy, Hot: p.hot, Rooms: c.someRooms()}})
	p.handled, p.refused = 0, 0
}

// mean lets the mean of what is in work follow up to now.
func (p *party) mean(now time.Duration) {
	if age := now - p.busyAt; age > 0 {
		p.busy += (p.busyNow - p.busy) * age.Seconds() / (age + busyMemory).Seconds()
		p.busyAt = now
	}
}

// told is the index that this party says it may go on by.
func (c *Council) told() uint64 {
	if c.cfg.Without == FromTold {
		return 0
	}
	return c.from
}

// someRooms are the rooms that are told with this renewal.
func (c *Council) someRooms() (some []Room) {
	p := &c.party
	for range min(roomsEach, len(p.rooms)) {
		some = append(some, p.rooms[p.roomTurn%len(p.rooms)])
		p.roomTurn++
	}
	return some
}

// leaderOr is who leads as far as is known, or else one of those who may know, by turns.
func (c *Council) leaderOr(turn int) (name, addr string) {
	// Guards against asking for good who led when this one lost its vote: it hears no more of elections.
	if c.core != nil && !c.held && slices.Contains(c.core.Voters(), c.cfg.ID) {
		if v, ok := c.voter(c.core.Leader()); ok && c.core.Leader() != 0 {
			return v.Name, v.Addr
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
	for _, n := range c.cfg.Founders {
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
	name = names[(turn+int(c.cfg.Inc%uint64(len(names))))%len(names)]
	return name, addrs[name]
}

// leased takes in what a leader tells.
func (c *Council) leased(e *Envelope) {
	l, p := e.Lease, &c.party
	if c.cluster == 0 && e.Cluster != 0 {
		c.adopt(e.Cluster)
	}
	if l.Level > c.cfg.Level && c.core != nil && l.For == 0 {
		c.tooOld()
		return
	}
	sent, mine := p.sentAt[l.Seq]
	if l.Seq != 0 {
		if !mine {
			return // an old answer, or to another process
		}
		delete(p.sentAt, l.Seq)
		if l.Leader == e.From { // guards against taking its own answer, while it knows of no leader, for one
			p.heard = max(p.heard, l.Seq)
		}
		if l.Again {
			p.renewAt = 0
		}
		if l.Seq == p.seq && l.Leader != "" && l.Leader != p.hint {
			p.hint = l.Leader
			if l.For == 0 && l.Leader != e.From {
				p.renewAt = 0
			}
		} else if l.Leader == "" {
			p.hint = ""
			p.turn++
		}
	}
	switch {
	case l.Retire && p.leaving:
		return // an earlier call of this party came to the leader after it had left: its disk is as it should be
	case l.Retire:
		c.retire("the disk is older than what the log knows of it")
		return
	case l.Left && p.leaving && !p.left:
		p.left = true
		c.do(Left{})
		return
	}
	if l.Index > p.index { // agreed for good, whoever tells it
		news := !slices.Equal(p.named, l.Named) || p.level != l.Level
		if news {
			p.urgent = l.Index
		}
		p.index, p.named, p.marked, p.level = l.Index, l.Named, l.Marked, l.Level
		if p.grace = max(p.grace, l.Grace); news && p.level >= workorder.LevelResume {
			c.keep()
		}
		p.clear = slices.DeleteFunc(p.clear, func(m workorder.Mark) bool { return !slices.Contains(p.marked, m) })
	}
	if l.Index > 0 && len(l.Voters) > 0 {
		p.voters = l.Voters
	}
	p.grace = max(p.grace, l.Grace)
	if !mine || l.For <= 0 || l.Index == 0 {
		return
	}
	p.every = max(joinEvery, l.Every)
	if c.cfg.Without == SentCount {
		sent = c.now
	}
	p.until = max(p.until, sent+l.For) // from when it was sent: the leader counts from later on
	votes := c.core != nil && !c.core.Changing() && slices.Contains(c.core.Voters(), c.cfg.ID)
	if votes && l.Index >= c.rep.Work.Index &&
		!slices.ContainsFunc(l.Voters, func(v Voter) bool { return v.ID == c.cfg.ID }) {
		c.retire("another proxy has its vote now")
	}
}

// stopped takes in what the reducer says. Guards against telling the leader that something is known that
// still lies before the reducer: a process paused just then would go on by what it knew before.
func (c *Council) stopped(ev Stopped) {
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
func (c *Council) known() {
	if p := &c.party; c.kept || p.level < workorder.LevelResume {
		p.knows = max(p.knows, min(p.reducer, p.index))
	}
}

// tell tells the reducer what holds, when it has changed.
func (c *Council) tell() {
	p := &c.party
	f := Facts{Index: p.index, Marked: p.marked, Named: p.named, Until: p.until, Grace: p.grace}
	if r := c.resume; r != nil && f.Until == 0 && p.began > 0 && c.now-p.began >= resumeAfter {
		// As if its lease had run out: what it doesn't hold can't be told free, since the log waits for the word
		// of the process that was here before, or for this one's.
		if f.Until = 1; f.Index < r.Index {
			f.Index, f.Named, f.Marked, f.Grace = r.Index, r.Named, nil, r.Grace
		}
		if p.told.Until == 0 {
			c.do(Log{fmt.Sprintf("no lease yet: serves by what was known here at entry %d, and sends nothing to the "+
				"%d machines that might go out", f.Index, len(f.Named))})
		}
	}
	if f.Until == 0 && c.cfg.AloneAfter > 0 && p.began > 0 && c.now-p.began >= c.cfg.AloneAfter {
		f.Until = Forever
		if p.told.Until != Forever {
			c.do(Log{fmt.Sprintf("no lease after %v: serves alone, as configured, and can't know which machines "+
				"are out", c.cfg.AloneAfter)})
		}
	}
	if p.toldOnce && f.Index == p.told.Index && f.Until == p.told.Until && f.Grace == p.told.Grace {
		return
	}
	p.told, p.toldOnce = f, true
	c.do(f)
}

// ask takes an operators' call.
func (c *Council) ask(ev Asked) {
	if ev.Call.ID == "" {
		c.do(Reply{ev.Token, Answer{Err: "id: not set"}})
		return
	}
	if len(c.calls) >= mostCalls {
		c.do(Reply{ev.Token, Answer{ID: ev.Call.ID, Err: "too many calls are in work here"}})
		return
	}
	if old := c.calls[ev.Call.ID]; old != nil { // the same call again, while the first is out
		c.do(Reply{old.token, Answer{ID: ev.Call.ID, Err: "asked again meanwhile"}})
	}
	p := &pending{token: ev.Token, call: ev.Call, until: c.now + askFor}
	c.calls[ev.Call.ID] = p
	c.pass(p)
}

// pass passes an operators' call on to the leader.
func (c *Council) pass(p *pending) {
	p.sentAt = c.now
	to, addr := c.leaderOr(c.party.turn)
	call := p.call
	c.send(to, addr, &Envelope{Call: &call})
}

func (c *Council) answered(a *Answer) {
	p := c.calls[a.ID]
	if p == nil {
		return
	}
	if !a.Done && a.Err == "" { // whom it was passed on to doesn't lead
		if a.Leader != "" && a.Leader != c.party.hint {
			c.party.hint = a.Leader
			c.pass(p)
		}
		return
	}
	delete(c.calls, a.ID)
	c.do(Reply{p.token, *a})
}
