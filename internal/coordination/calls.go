package coordination

import (
	"maps"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

// Times and limits of operators' calls.
const (
	callRetryInterval = 400 * time.Millisecond // interval at which an unanswered call is forwarded again
	callTimeout       = 4 * time.Second        // time after which a call is answered with an error
	maxPendingCalls   = 64                     // unanswered calls at one proxy
	maxLeaderCalls    = 256                    // unanswered calls at the leader
)

// pendingCall is an operator's call that this proxy has received and not answered yet.
type pendingCall struct {
	token    uint64
	call     Call
	deadline time.Duration
	sentAt   time.Duration
}

// leaderCall is an operator's call at the leader.
type leaderCall struct {
	from string
	call Call
}

// operatorKinds are the kinds of commands that operators may submit.
var operatorKinds = map[maintenance.Kind]bool{maintenance.Submit: true, maintenance.Pause: true,
	maintenance.Resume: true, maintenance.Cancel: true, maintenance.SetOut: true, maintenance.Return: true,
	maintenance.Forget: true, maintenance.Fail: true}

// startCall accepts an operator's call.
func (c *Coordinator) startCall(ev CallReceived) {
	if ev.Call.ID == "" {
		c.emit(Reply{ev.Token, Answer{Err: "id: not set"}})
		return
	}
	if len(c.pendingCalls) >= maxPendingCalls {
		c.emit(Reply{ev.Token, Answer{ID: ev.Call.ID, Err: "too many calls are in work here"}})
		return
	}
	if old := c.pendingCalls[ev.Call.ID]; old != nil { // the same call is repeated while the first is pending
		c.emit(Reply{old.token, Answer{ID: ev.Call.ID, Err: "asked again meanwhile"}})
	}
	p := &pendingCall{token: ev.Token, call: ev.Call, deadline: c.now + callTimeout}
	c.pendingCalls[ev.Call.ID] = p
	c.forwardCall(p)
}

// forwardCall forwards an operator's call to the leader.
func (c *Coordinator) forwardCall(p *pendingCall) {
	p.sentAt = c.now
	to, addr := c.presumedLeader(c.participant.attempt)
	call := p.call
	c.send(to, addr, &Envelope{Call: &call})
}

// retryCalls forwards unanswered calls again, and fails those whose deadline has passed.
func (c *Coordinator) retryCalls() {
	for _, id := range slices.Sorted(maps.Keys(c.pendingCalls)) {
		p := c.pendingCalls[id]
		if c.now >= p.deadline {
			delete(c.pendingCalls, id)
			c.emit(Reply{p.token, Answer{ID: id, Err: "no leader answers; the call may still be carried out: ask " +
				"again with the same id"}})
		} else if c.now-p.sentAt >= callRetryInterval {
			c.forwardCall(p)
		}
	}
}

// handleAnswer handles the answer to a forwarded call.
func (c *Coordinator) handleAnswer(a *Answer) {
	p := c.pendingCalls[a.ID]
	if p == nil {
		return
	}
	if !a.Done && a.Err == "" { // the receiver doesn't lead
		if a.Leader != "" && a.Leader != c.participant.leaderHint {
			c.participant.leaderHint = a.Leader
			c.forwardCall(p)
		}
		return
	}
	delete(c.pendingCalls, a.ID)
	c.emit(Reply{p.token, *a})
}

// handleForwardedCall handles an operator's call that another proxy forwarded to this one.
func (c *Coordinator) handleForwardedCall(e *Envelope) {
	a := &leaderCall{from: e.From, call: *e.Call}
	if !c.isLeader() {
		leader, _ := c.leader()
		c.sendAnswer(a, Answer{ID: a.call.ID, Leader: leader.Name})
		return
	}
	if r, ok := c.replica.Maintenance.Result(a.call.ID); ok {
		c.sendAnswer(a, Answer{ID: r.Call, Done: r.Err == "", Err: r.Err})
		return
	}
	same := func(o *leaderCall) bool { return o.call.ID == a.call.ID }
	if i := slices.IndexFunc(c.leadership.proposedCalls, same); i >= 0 {
		c.leadership.proposedCalls[i].from = a.from // already proposed; the latest sender gets the answer
		return
	}
	if slices.ContainsFunc(c.leadership.queuedCalls, same) {
		return
	}
	switch {
	case len(c.leadership.queuedCalls)+len(c.leadership.proposedCalls) >= maxLeaderCalls:
		c.sendAnswer(a, Answer{ID: a.call.ID, Err: "too many calls are in work"})
	case a.call.Status:
		c.leadership.waiters = append(c.leadership.waiters, waiter{call: a, receivedAt: c.now})
	default:
		c.queueCall(a)
	}
}

// queueCall queues the call's command for proposal, if operators may submit it.
func (c *Coordinator) queueCall(a *leaderCall) {
	switch {
	case a.call.Spec != nil:
		o, err := a.call.Spec.Resolve(c.view())
		if err != nil {
			c.sendAnswer(a, Answer{ID: a.call.ID, Err: err.Error()})
			return
		}
		a.call.Command = &maintenance.Command{Kind: maintenance.Submit, Order: o}
	case a.call.Command == nil || !operatorKinds[a.call.Command.Kind]:
		c.sendAnswer(a, Answer{ID: a.call.ID, Err: "no such call"})
		return
	}
	a.call.Command.Call = a.call.ID
	c.leadership.queuedCalls = append(c.leadership.queuedCalls, a)
}

// finishCall answers a call whose command was applied.
func (c *Coordinator) finishCall(id string, err error) {
	a := Answer{ID: id, Done: err == nil}
	if err != nil {
		a.Err = err.Error()
	}
	c.leadership.proposedCalls = slices.DeleteFunc(c.leadership.proposedCalls, func(o *leaderCall) bool {
		if o.call.ID == id {
			c.sendAnswer(o, a)
		}
		return o.call.ID == id
	})
}

// replyStatus answers a status call with the current state.
func (c *Coordinator) replyStatus(to *leaderCall) {
	a := Answer{ID: to.call.ID, Done: true, Status: c.Status()}
	if to.call.FullState {
		a.State = maintenance.Encode(c.replica.Maintenance)
	}
	c.sendAnswer(to, a)
}

// sendAnswer sends an answer to the proxy that forwarded the call.
func (c *Coordinator) sendAnswer(to *leaderCall, a Answer) {
	addr := ""
	if m := c.table.Get(to.from); m != nil {
		addr = m.Addr
	}
	c.send(to.from, addr, &Envelope{Answer: &a})
}
