package lilacglade

import (
	"testing"
	"time"
)

// TestHeadroom checks that the headroom of a server depends on its weight and on what was learned
// about it, and that an ejected server has none.
func TestHeadroom(t *testing.T) {
	b, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(0, List{Servers: []Server{{ID: 1, Weight: 1}, {ID: 2, Weight: 3}, {ID: 3, Weight: 1},
		{ID: 4, State: Draining, Weight: 1}}})
	b.servers[3].ejected, b.allEjected = true, false
	rooms := b.Headroom()
	if len(rooms) != 3 || rooms[0].MaxInFlight != maxInFlightPerWeight ||
		rooms[1].MaxInFlight != 3*maxInFlightPerWeight || rooms[2].MaxInFlight != 0 ||
		!rooms[2].Ejected {
		t.Fatalf("%+v", rooms)
	}
	b.servers[1].concurrencyLimit.onRejection(2)
	b.meanSentLoad, b.meanWork = 1, 0.01
	b.servers[2].speed = 1e-3 // so slow that no answer is within Aim
	b.now = time.Second
	if rooms = b.Headroom(); rooms[0].MaxInFlight >= maxInFlightPerWeight || rooms[1].MaxInFlight != 0 {
		t.Errorf("the concurrency limit or the speed has no effect: %+v", rooms)
	}
}
