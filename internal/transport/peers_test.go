package transport

import (
	"testing"
	"time"

	"lilacglade/internal/reducer"
)

// TestTooLateToBegin checks that no request is written to a machine that may be out, by a process
// that was paused just before, nor after the attempt's deadline, nor so long after the decision
// that the client may have left.
func TestTooLateToBegin(t *testing.T) {
	p := &proxy{clock: newClock(), inbox: newInbox()}
	future, past := p.now()+time.Hour, p.now()
	for _, effect := range []reducer.Effect{{At: future}, {At: future, StartBy: future}} {
		if p.tooLateCheck(effect, written{})() {
			t.Errorf("%+v: too late an hour before its deadline", effect)
		}
	}
	conn := &connection{inbox: p.inbox, clock: p.clock}
	for _, effect := range []reducer.Effect{{At: future, StartBy: past}, {At: past},
		{At: past, StartBy: future}} {
		conn.write(writeJob{buffers: [][]byte{[]byte("x")}, tooLate: p.tooLateCheck(effect, written{conn: conn})})
		<-p.inbox.wake
		if items := p.inbox.takeAll(nil); len(items) != 1 || items[0].(written).err == nil {
			t.Errorf("%+v: got %+v", effect, items)
		}
	}
	// After a longer delay than the rules allow for, the reducer decides again.
	late := p.tooLateCheck(reducer.Effect{At: future}, written{conn: conn})
	time.Sleep(maxWriteDelay + time.Millisecond)
	if !late() {
		t.Error("not too late after a longer delay")
	}
	<-p.inbox.wake
	if items := p.inbox.takeAll(nil); len(items) != 1 || items[0] != (requestUnsent{conn}) {
		t.Errorf("got %+v", items)
	}
}
