package coordination

import (
	"maps"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

// Times and bounds of operators' calls.
const (
	askAgain  = 400 * time.Millisecond // a call is passed on again
	askFor    = 4 * time.Second        // and given up
	mostCalls = 64                     // in work at one proxy
	mostAsked = 256                    // in work at the leader
)

// pending is an operators' call that came to this proxy.
type pending struct {
	token  uint64
	call   Call
	until  time.Duration
	sentAt time.Duration
}

// asked is an operators' call at the leader.
type asked struct {
	from string
	call Call
}

// operators may ask for these entries.
var operators = map[maintenance.Kind]bool{maintenance.Submit: true, maintenance.Pause: true,
	maintenance.Resume: true, maintenance.Cancel: true, maintenance.SetOut: true, maintenance.Return: true,
	maintenance.Forget: true, maintenance.Fail: true}

// ask takes an operators' call.
func (c *Coordinator) ask(ev CallReceived) {
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
func (c *Coordinator) pass(p *pending) {
	p.sentAt = c.now
	to, addr := c.leaderOr(c.party.turn)
	call := p.call
	c.send(to, addr, &Envelope{Call: &call})
}

// passAgain passes calls on again that nobody has answered, and gives up those whose time is over.
func (c *Coordinator) passAgain() {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		p := c.calls[id]
		if c.now >= p.until {
			delete(c.calls, id)
			c.do(Reply{p.token, Answer{ID: id, Err: "no leader answers; the call may still be carried out: ask " +
				"again with the same id"}})
		} else if c.now-p.sentAt >= askAgain {
			c.pass(p)
		}
	}
}

// answered takes what became of a call that was passed on.
func (c *Coordinator) answered(a *Answer) {
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

// called takes an operators' call at the leader.
func (c *Coordinator) called(e *Envelope) {
	a := &asked{from: e.From, call: *e.Call}
	if !c.leads() {
		leader, _ := c.leader()
		c.reply(a, Answer{ID: a.call.ID, Leader: leader.Name})
		return
	}
	if r, ok := c.rep.Work.Result(a.call.ID); ok {
		c.reply(a, Answer{ID: r.Call, Done: r.Err == "", Err: r.Err})
		return
	}
	same := func(o *asked) bool { return o.call.ID == a.call.ID }
	if i := slices.IndexFunc(c.lead.open, same); i >= 0 {
		c.lead.open[i].from = a.from // it is being agreed on
		return
	}
	if slices.ContainsFunc(c.lead.asked, same) {
		return
	}
	switch {
	case len(c.lead.asked)+len(c.lead.open) >= mostAsked:
		c.reply(a, Answer{ID: a.call.ID, Err: "too many calls are in work"})
	case a.call.Status:
		c.lead.want = append(c.lead.want, renewer{call: a, came: c.now})
	default:
		c.toPropose(a)
	}
}

// toPropose has a call's entry proposed, if there is one that operators may ask for.
func (c *Coordinator) toPropose(a *asked) {
	switch {
	case a.call.Spec != nil:
		o, err := a.call.Spec.Resolve(c.view())
		if err != nil {
			c.reply(a, Answer{ID: a.call.ID, Err: err.Error()})
			return
		}
		a.call.Command = &maintenance.Command{Kind: maintenance.Submit, Order: o}
	case a.call.Command == nil || !operators[a.call.Command.Kind]:
		c.reply(a, Answer{ID: a.call.ID, Err: "no such call"})
		return
	}
	a.call.Command.Call = a.call.ID
	c.lead.asked = append(c.lead.asked, a)
}

// callDone answers a call whose entry was agreed on.
func (c *Coordinator) callDone(id string, err error) {
	a := Answer{ID: id, Done: err == nil}
	if err != nil {
		a.Err = err.Error()
	}
	c.lead.open = slices.DeleteFunc(c.lead.open, func(o *asked) bool {
		if o.call.ID == id {
			c.reply(o, a)
		}
		return o.call.ID == id
	})
}

// replyStatus answers a call for status with how things stand now.
func (c *Coordinator) replyStatus(to *asked) {
	a := Answer{ID: to.call.ID, Done: true, Status: c.Status()}
	if to.call.FullState {
		a.State = maintenance.Encode(c.rep.Work)
	}
	c.reply(to, a)
}

// reply sends an answer to the proxy that passed the call on.
func (c *Coordinator) reply(to *asked, a Answer) {
	addr := ""
	if m := c.table.Get(to.from); m != nil {
		addr = m.Addr
	}
	c.send(to.from, addr, &Envelope{Answer: &a})
}
