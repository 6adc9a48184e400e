package membership

import (
	"fmt"
	"testing"
	"time"
)

// TestTable covers the state of peers by the age of their last message, delayed messages from earlier
// processes, and the limit on the number of peers.
func TestTable(t *testing.T) {
	table := New(10 * time.Second)
	a := Member{Name: "a", Incarnation: 1, ID: 7, Boot: 2, Addr: "x"}
	if !table.Observe(time.Second, a) || table.Observe(2*time.Second, a) {
		t.Error("a process must be reported as unknown exactly once")
	}
	late := a
	late.Boot, late.Incarnation, late.Addr = 1, 9, "y"
	if table.Observe(3*time.Second, late) || table.Get("a").Addr != "x" || table.LatestBoot(7) != 2 {
		t.Error("a delayed message of an earlier process is accepted")
	}
	again := a
	again.Boot, again.Incarnation = 3, 2
	if !table.Observe(4*time.Second, again) || table.LatestBoot(7) != 3 {
		t.Error("the next process is not reported as a new one")
	}
	for at, want := range map[time.Duration]State{4: Alive, 7: Alive, 8: Suspected, 14: Suspected, 15: Lost} {
		if got := table.State(at*time.Second, "a", time.Second); got != want {
			t.Errorf("at %d s it is %v, want %v", at, got, want)
		}
	}
	if table.State(time.Hour, "b", time.Second) != Unknown {
		t.Error("a peer without any message is known")
	}
	for i := range maxMembers + 10 {
		table.Observe(time.Minute+time.Duration(i), Member{Name: fmt.Sprint("m", i), ID: uint64(100 + i), Boot: 1})
	}
	if len(table.all) > maxMembers || table.Get("a") != nil || table.Get(fmt.Sprint("m", maxMembers)) == nil {
		t.Errorf("%d peers are kept, or not the latest ones", len(table.all))
	}
}
