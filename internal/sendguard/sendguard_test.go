package sendguard

import (
	"testing"
	"time"

	lg "lilacglade"
)

func TestCheck(t *testing.T) {
	safe := lg.Class{Effect: lg.Safe}
	zoned := lg.Class{Effect: lg.Keyed, Group: lg.GroupZone, Memory: time.Second}
	celled := lg.Class{Effect: lg.Keyed, Group: lg.GroupCell, Memory: time.Second}
	wide := lg.Class{Effect: lg.Keyed, Group: lg.GroupAll, Memory: time.Second}
	unsafe := lg.Class{Effect: lg.Unsafe}
	ran := &PriorAttempt{SentAt: time.Second, Location: Location{1, 2}}
	for _, tc := range []struct {
		name string
		a    Attempt
		want Rule
	}{
		{"first", Attempt{Class: unsafe}, None},
		{"draining", Attempt{Class: safe, State: lg.Draining}, Drained},
		{"gone", Attempt{Class: safe, State: lg.Gone}, Drained},
		{"client left", Attempt{Class: safe, Ended: true}, Ended},
		{"beside another", Attempt{Class: safe, AtOnce: true}, AtOnce},
		{"by an old list", Attempt{Class: safe, Unconfirmed: true}, Unconfirmed},
		{"by a list out of date", Attempt{Class: safe, Expired: true}, Expired},
		{"safe once more", Attempt{Class: safe, Prior: ran, Now: time.Hour}, None},
		{"unsafe once more", Attempt{Class: unsafe, Prior: ran}, Repeated},
		{"keyed, same zone", Attempt{Class: zoned, Prior: ran, Now: 1999 * time.Millisecond,
			Location: Location{1, 9}}, None},
		{"keyed, other zone", Attempt{Class: zoned, Prior: ran, Location: Location{0, 2}}, Repeated},
		{"keyed, window over", Attempt{Class: zoned, Prior: ran, Now: 2 * time.Second, Location: Location{1, 2}},
			Repeated},
		{"keyed, same cell", Attempt{Class: celled, Prior: ran, Location: Location{1, 2}}, None},
		{"keyed, other cell", Attempt{Class: celled, Prior: ran, Location: Location{1, 3}}, Repeated},
		{"keyed, known everywhere", Attempt{Class: wide, Prior: ran, Location: Location{7, 7}}, None},
	} {
		if got := Check(tc.a); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
