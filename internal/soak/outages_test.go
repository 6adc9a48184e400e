package soak

import (
	"testing"
	"time"
)

// TestDrawOutages holds that outages of all lengths are drawn, leave time for the drains after them, and come
// with kills within them and drains right after.
func TestDrawOutages(t *testing.T) {
	shortest, longestDown, doors, kills := time.Hour, time.Duration(0), 0, 0
	for seed := range uint64(300) {
		faults := DrawLength(seed)
		var down Event
		for _, e := range DrawOutages(seed, 6, 12, faults, Outages{Kills: 3}) {
			switch e.Kind {
			case DiscoveryDown, DoorDown:
				down = e
				shortest, longestDown = min(shortest, e.Lasts), max(longestDown, e.Lasts)
				if e.Kind == DoorDown {
					doors++
				}
				if e.At+e.Lasts+newsWithin > faults {
					t.Errorf("seed %d: %v leaves no time in %v", seed, e, faults)
				}
			case Kill, Restart:
				kills++
				if e.At < down.At || e.At >= down.At+down.Lasts {
					t.Errorf("seed %d: %v is not within %v", seed, e, down)
				}
			case Drain:
				if after := e.At - down.At - down.Lasts; after < 0 || after > drainWithin {
					t.Errorf("seed %d: %v is not right after %v", seed, e, down)
				}
			}
		}
	}
	if shortest > 30*time.Millisecond || longestDown < 45*time.Second || doors == 0 || kills == 0 {
		t.Errorf("outages of %v to %v, %d of one process, %d kills", shortest, longestDown, doors, kills)
	}
}

// TestDrawFleetSize holds that fleets of all sizes are drawn.
func TestDrawFleetSize(t *testing.T) {
	least, most := fleetMost, 0
	for seed := range uint64(1000) {
		n := DrawFleetSize(seed)
		least, most = min(least, n), max(most, n)
	}
	if least != fleetLeast || most > fleetMost || most < fleetMost*9/10 {
		t.Errorf("%d to %d", least, most)
	}
}
