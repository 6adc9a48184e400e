package transport

import (
	"testing"
	"time"

	"lilacglade/internal/reducer"
)

// TestTooLateToBegin guards against a request written at a machine that may be out, by a process that was
// paused just before, or after its time, or so long after it was decided that its client may have left.
func TestTooLateToBegin(t *testing.T) {
	p := &proxy{clock: startClock(), inbox: newInbox()}
	soon, over := p.now()+time.Hour, p.now()
	for _, e := range []reducer.Effect{{At: soon}, {At: soon, Begin: soon}} {
		if p.late(e, written{})() {
			t.Errorf("%+v: too late an hour before", e)
		}
	}
	g := &leg{inbox: p.inbox, clock: p.clock}
	for _, e := range []reducer.Effect{{At: soon, Begin: over}, {At: over}, {At: over, Begin: soon}} {
		g.write(job{bufs: [][]byte{[]byte("x")}, late: p.late(e, written{leg: g})})
		<-p.inbox.wake
		if items := p.inbox.take(nil); len(items) != 1 || items[0].(written).err == nil {
			t.Errorf("%+v: got %+v", e, items)
		}
	}
	// Held up for longer than the rules allow for, it is decided anew.
	late := p.late(reducer.Effect{At: soon}, written{leg: g})
	time.Sleep(heldFor + time.Millisecond)
	if !late() {
		t.Error("begun though it was held up")
	}
	<-p.inbox.wake
	if items := p.inbox.take(nil); len(items) != 1 || items[0] != (unsent{g}) {
		t.Errorf("got %+v", items)
	}
}
