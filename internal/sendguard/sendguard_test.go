package sendguard

import (
	"testing"
	"time"

	lg "lilacglade"
)

// TestCheck checks which rule an attempt violates.
func TestCheck(t *testing.T) {
	safe := lg.Class{Effect: lg.Safe}
	zoned := lg.Class{Effect: lg.Keyed, Group: lg.GroupZone, Memory: time.Second}
	celled := lg.Class{Effect: lg.Keyed, Group: lg.GroupCell, Memory: time.Second}
	wide := lg.Class{Effect: lg.Keyed, Group: lg.GroupAll, Memory: time.Second}
	unsafe := lg.Class{Effect: lg.Unsafe}
	prior := &PriorAttempt{SentAt: time.Second, Location: Location{1, 2}}
	for _, tc := range []struct {
		name    string
		attempt Attempt
		want    Rule
	}{
		{"first attempt", Attempt{Class: unsafe}, None},
		{"draining", Attempt{Class: safe, State: lg.Draining}, Drained},
		{"gone", Attempt{Class: safe, State: lg.Gone}, Drained},
		{"client left", Attempt{Class: safe, Ended: true}, Ended},
		{"another attempt pending", Attempt{Class: safe, AtOnce: true}, AtOnce},
		{"unconfirmed list", Attempt{Class: safe, Unconfirmed: true}, Unconfirmed},
		{"expired list", Attempt{Class: safe, Expired: true}, Expired},
		{"safe, repeated", Attempt{Class: safe, Prior: prior, Now: time.Hour}, None},
		{"unsafe, repeated", Attempt{Class: unsafe, Prior: prior}, Repeated},
		{"keyed, same zone", Attempt{Class: zoned, Prior: prior, Now: 1999 * time.Millisecond,
			Location: Location{1, 9}}, None},
		{"keyed, other zone", Attempt{Class: zoned, Prior: prior, Location: Location{0, 2}}, Repeated},
		{"keyed, window over", Attempt{Class: zoned, Prior: prior, Now: 2 * time.Second, Location: Location{1, 2}},
			Repeated},
		{"keyed, same cell", Attempt{Class: celled, Prior: prior, Location: Location{1, 2}}, None},
		{"keyed, other cell", Attempt{Class: celled, Prior: prior, Location: Location{1, 3}}, Repeated},
		{"keyed, keys shared by all servers", Attempt{Class: wide, Prior: prior, Location: Location{7, 7}}, None},
	} {
		if got := Check(tc.attempt); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
