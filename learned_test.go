package lilacglade

import (
	"math"
	"testing"
	"time"
)

// TestImport checks what the next process takes over: a slow server stays slow, an ejected one
// stays ejected and is probed when it was due, one that has restarted counts as new, and impossible
// values are ignored.
func TestImport(t *testing.T) {
	settings := Settings{Balancers: 1, MaxAttempts: 3, ColdShare: 0.3, WarmWithin: time.Second,
		TipWindow: time.Second, Classes: []Class{{Name: "a", Aim: time.Second, Deadline: time.Second, Worth: 1}}}
	newBalancer := func(now time.Duration) *Balancer {
		b, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(now, List{Kind: FullList, Servers: []Server{{ID: 1}, {ID: 2}, {ID: 3, Started: now - time.Hour},
			{ID: 4, Started: now - time.Minute}}})
		return b
	}
	old := newBalancer(2 * time.Hour)
	for id, s := range old.servers {
		s.speed = 0.25
		s.ejected, s.probationBackoff, s.probationAt = id == 2, 4*time.Second, old.now+3*time.Second
	}
	old.servers[1].speed = math.NaN()
	old.meanSentLoad, old.meanLoad = 2.5, math.Inf(1)
	learned := old.Export(old.now)
	now := 30 * time.Hour // the clock of the next process, a second later
	b := newBalancer(now + time.Second)
	b.servers[3].Started = now - time.Hour
	b.servers[4].Started = now + time.Second/2
	b.Import(now+time.Second, time.Second, learned)
	if s := b.servers; s[1].speed != 1 || s[2].speed != 0.25 || s[3].speed != 0.25 || s[4].speed != 1 {
		t.Errorf("speeds %v %v %v %v", s[1].speed, s[2].speed, s[3].speed, s[4].speed)
	}
	if s := b.servers[2]; !s.ejected || s.probationAt != b.now+3*time.Second || s.capacity != 0 {
		t.Errorf("ejected %t, probation attempt in %v, capacity %v", s.ejected, s.probationAt-b.now, s.capacity)
	}
	if b.meanSentLoad != 2.5 || math.IsInf(b.meanLoad, 0) {
		t.Errorf("mean load at sending %v, mean load %v", b.meanSentLoad, b.meanLoad)
	}
}
