package hotkeys

import (
	"testing"
	"time"
)

// TestHot finds a key that makes up a fifth among thousands of others, at the machine that it went to last,
// and none where all keys are alike or the windows are long past.
func TestHot(t *testing.T) {
	for _, machines := range []int{4, 40, 200} {
		var hot, even Counter[int]
		for i := range 20_000 {
			now := time.Duration(i) * 200 * time.Microsecond
			key := uint64(i)
			if i%5 == 0 {
				key = 7
			}
			hot.Sent(now, key%5000, int(key%5000)%machines)
			even.Sent(now, uint64(i)%5000, i%machines)
		}
		if got := hot.Hot(4*time.Second, machines); len(got) != 1 || got[0] != 7%machines {
			t.Errorf("%d machines: hot at %v, want %d", machines, got, 7%machines)
		}
		if got := even.Hot(4*time.Second, machines); len(got) > 0 {
			t.Errorf("%d machines: hot at %v among keys that are alike", machines, got)
		}
		if got := hot.Hot(time.Minute, machines); len(got) > 0 {
			t.Errorf("hot a minute later: %v", got)
		}
		if len(hot.now.keys)+len(hot.was.keys) > 2*counters {
			t.Error("more keys are counted than there is room for")
		}
	}
}
