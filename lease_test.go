package lilacglade

import (
	"testing"
	"time"
)

// TestExpiredListLease checks that nothing is sent by a list that may be outdated: a request waits
// for half of its Aim and is then refused with a Retry-After. A request that is waiting when the
// lease becomes valid again is sent, and a retry is given up.
func TestExpiredListLease(t *testing.T) {
	p := newTestProxy(t, testSettings(), 1, fleet(8)...)
	request := func() Request {
		p.lastID++
		return Request{ID: p.lastID, Key: uint64(p.lastID), HasKey: true,
			Budget: time.Second}
	}
	checkHeld := func() []Action { // has held requests checked again
		p.now += holdInterval
		var actions []Action
		for token := range p.b.heldByToken {
			actions = append(actions, p.handle(Timer{Token: token})...)
		}
		return actions
	}
	first := request()
	sent := p.handleOne(Send, first)
	p.handle(ListLease{Expired: true})
	failed := Outcome{Request: first.ID, Server: sent.Server, Result: ConnectFailed}
	if got := p.handleOne(Refuse, failed); got.For <= 0 {
		t.Error("refused without a Retry-After")
	}
	if actions := p.handle(request()); len(actions) > 0 {
		t.Fatalf("%+v with an expired lease", actions)
	}
	start := p.now
	for actions := checkHeld(); len(actions) == 0 || actions[0].Do != Refuse; actions = checkHeld() {
		if len(actions) > 0 || p.now-start > 300*ms {
			t.Fatalf("%+v, %v after the request", actions, p.now-start)
		}
	}
	if waited := p.now - start; waited < 150*ms {
		t.Errorf("refused after %v", waited)
	}
	p.handle(request())
	p.handle(ListLease{})
	if actions := checkHeld(); len(actions) != 1 || actions[0].Do != Send {
		t.Errorf("%+v after the lease became valid again", actions)
	}
}
