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
	headroom := b.Headroom()
	if len(headroom) != 3 || headroom[0].MaxInFlight != maxInFlightPerWeight ||
		headroom[1].MaxInFlight != 3*maxInFlightPerWeight || headroom[2].MaxInFlight != 0 ||
		!headroom[2].Ejected {
		t.Fatalf("%+v", headroom)
	}
	b.servers[1].concurrencyLimit.onRejection(2)
	b.meanSentLoad, b.meanWork = 1, 0.01
	b.servers[2].speed = 1e-3 // so slow that no answer is within Aim
	b.now = time.Second
	if headroom = b.Headroom(); headroom[0].MaxInFlight >= maxInFlightPerWeight || headroom[1].MaxInFlight != 0 {
		t.Errorf("the concurrency limit or the speed has no effect: %+v", headroom)
	}
}
