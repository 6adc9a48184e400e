package legs

import (
	"testing"
	"time"

	"lilacglade/internal/proxystate"
)

// TestTooLateToBegin guards against a request written at a machine that may be out, by a process that was
// paused just before; and against any work for it where no proxies talk to each other.
func TestTooLateToBegin(t *testing.T) {
	p := &proxy{clock: startClock(), inbox: newInbox()}
	if p.late(proxystate.Effect{}, written{}) != nil {
		t.Error("asked though its time does not matter")
	}
	if p.late(proxystate.Effect{Begin: p.now() + time.Hour}, written{})() {
		t.Error("too late an hour before")
	}
	g := &leg{inbox: p.inbox, clock: p.clock}
	g.write(job{bufs: [][]byte{[]byte("x")}, late: p.late(proxystate.Effect{Begin: p.now()}, written{leg: g})})
	<-p.inbox.wake
	if items := p.inbox.take(nil); len(items) != 1 || items[0].(written).err == nil {
		t.Errorf("got %+v", items)
	}
}
