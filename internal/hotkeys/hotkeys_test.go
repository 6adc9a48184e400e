package hotkeys

import (
	"slices"
	"testing"
	"time"
)

// TestHot checks that a key with a fifth of all requests is found, among thousands of others, at its machine,
// and that no key is hot if all are equally frequent or if the windows are long over.
func TestHot(t *testing.T) {
	for _, machines := range []int{4, 40, 200} {
		var hot, even Counter[int]
		for i := range 20_000 {
			now := time.Duration(i) * 200 * time.Microsecond
			key := uint64(i)
			if i%5 == 0 {
				key = 7
			}
			hot.Record(now, key%5000, int(key%5000)%machines)
			even.Record(now, uint64(i)%5000, i%machines)
		}
		if got := hot.Hot(4*time.Second, machines); len(got) != 1 || got[0] != 7%machines {
			t.Errorf("%d machines: hot at %v, want %d", machines, got, 7%machines)
		}
		if got := even.Hot(4*time.Second, machines); len(got) > 0 {
			t.Errorf("%d machines: hot at %v among keys of equal frequency", machines, got)
		}
		if got := hot.Hot(time.Minute, machines); len(got) > 0 {
			t.Errorf("hot a minute later: %v", got)
		}
		if len(hot.current.counts)+len(hot.previous.counts) > 2*maxCounters {
			t.Error("more keys are counted than the limit")
		}
	}
}

// TestHotAtSeveral covers a key that is spread over two of four machines: both are reported, whichever got
// the last request. A machine that received a single request with that key is not.
func TestHotAtSeveral(t *testing.T) {
	for last := range 2 {
		var hot Counter[int]
		for i := range 1000 {
			now := time.Duration(i) * 2 * time.Millisecond
			switch {
			case i == 500:
				hot.Record(now, 7, 2)
			case i%2 == 0:
				hot.Record(now, 7, (i/2+last)%2)
			default:
				hot.Record(now, uint64(i), i%4)
			}
		}
		got := hot.Hot(3*time.Second, 4)
		if slices.Sort(got); !slices.Equal(got, []int{0, 1}) {
			t.Errorf("hot at %v, want 0 and 1", got)
		}
	}
}
