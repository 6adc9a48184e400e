package lilacglade

import (
	"testing"
	"time"
)

// TestHeadroom holds that a server's room follows its weight and what was learned of it, and that one set aside
// has none.
func TestHeadroom(t *testing.T) {
	b, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(0, List{Servers: []Server{{ID: 1, Weight: 1}, {ID: 2, Weight: 3}, {ID: 3, Weight: 1},
		{ID: 4, State: Draining, Weight: 1}}})
	b.servers[3].aside, b.noneUp = true, false
	rooms := b.Headroom()
	if len(rooms) != 3 || rooms[0].MaxInFlight != crowd || rooms[1].MaxInFlight != 3*crowd || rooms[2].MaxInFlight != 0 ||
		!rooms[2].Ejected {
		t.Fatalf("%+v", rooms)
	}
	b.servers[1].bound.full(2)
	b.usual, b.meanWork = 1, 0.01
	b.servers[2].speed = 1e-3 // it got so slow that nothing comes within its aim there
	b.now = time.Second
	if rooms = b.Headroom(); rooms[0].MaxInFlight >= crowd || rooms[1].MaxInFlight != 0 {
		t.Errorf("a bound or a slow server changes nothing: %+v", rooms)
	}
}
