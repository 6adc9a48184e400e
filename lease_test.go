package lilacglade

import (
	"testing"
	"time"
)

// TestExpiredList guards against sending by a list that may be out of date: a request waits for half of
// its aim, and is then refused with advice; one that waits when the list holds again is sent, and a retry
// is given up.
func TestExpiredList(t *testing.T) {
	p := newProxy(t, testSettings(), 1, fleet(8)...)
	request := func() Request {
		p.asked++
		return Request{ID: p.asked, Key: uint64(p.asked), HasKey: true,
			Budget: time.Second}
	}
	looks := func() []Action { // lets a held request be looked at
		p.now += holdInterval
		var acts []Action
		for token := range p.b.heldByToken {
			acts = append(acts, p.do(Timer{Token: token})...)
		}
		return acts
	}
	tried := request()
	sent := p.one(Send, tried)
	p.do(ListLease{Expired: true})
	failed := Outcome{Request: tried.ID, Server: sent.Server, Result: ConnectFailed}
	if got := p.one(Refuse, failed); got.For <= 0 {
		t.Error("refused without advice")
	}
	if acts := p.do(request()); len(acts) > 0 {
		t.Fatalf("%+v by an expired list", acts)
	}
	began := p.now
	for acts := looks(); len(acts) == 0 || acts[0].Do != Refuse; acts = looks() {
		if len(acts) > 0 || p.now-began > 300*ms {
			t.Fatalf("%+v, %v after it came", acts, p.now-began)
		}
	}
	if waited := p.now - began; waited < 150*ms {
		t.Errorf("refused after %v", waited)
	}
	p.do(request())
	p.do(ListLease{})
	if acts := looks(); len(acts) != 1 || acts[0].Do != Send {
		t.Errorf("%+v when the list holds again", acts)
	}
}
