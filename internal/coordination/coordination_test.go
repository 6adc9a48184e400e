package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
)

// testGroup is a group of Coordinators whose messages arrive at once unless a test blocks them.
type testGroup struct {
	t            *testing.T
	now          time.Duration
	coordinators map[string]*Coordinator
	cut          func(from, to string) bool
	withheld     map[string][][]byte // messages withheld from their receiver for now
	restrictions map[string]Restrictions
	replies      []Answer
	applyAtOnce  bool // the reducers apply restrictions at once
	records      map[string][]byte
	logs         map[string]string
	configs      map[string]Config
}

func newTestGroup(t *testing.T, n int, disabled SafetyCheck, levels ...uint64) *testGroup {
	b := &testGroup{t: t, coordinators: map[string]*Coordinator{}, cut: func(_, _ string) bool { return false },
		restrictions: map[string]Restrictions{}, withheld: map[string][][]byte{}, applyAtOnce: true,
		records: map[string][]byte{}, logs: map[string]string{}, configs: map[string]Config{}}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("p", i))
	}
	for i, name := range names {
		b.configs[name] = Config{Name: name, Incarnation: uint64(i + 1), Addr: name, InitialVoters: names[:3],
			Peers: names, ID: uint64(i + 1), Boot: 1, Grace: time.Second, Seed: uint64(i), ReplaceAfter: time.Minute,
			Disabled: disabled}
		if i < len(levels) {
			b.set(name, func(c *Config) { c.Level = levels[i] })
		}
		b.start(name)
	}
	return b
}

// set changes the configuration of a proxy, which its next start uses.
func (b *testGroup) set(name string, change func(*Config)) {
	cfg := b.configs[name]
	change(&cfg)
	b.configs[name] = cfg
}

// start starts the first or a later process with that name.
func (b *testGroup) start(name string) {
	c, err := New(b.configs[name])
	if err != nil {
		b.t.Fatal(err)
	}
	b.coordinators[name], b.restrictions[name] = c, Restrictions{}
}

// step has a proxy handle an event, and executes the effects.
func (b *testGroup) step(name string, ev Event) {
	for _, e := range slices.Clone(b.coordinators[name].Step(b.now, ev)) {
		switch e := e.(type) {
		case Send:
			if b.cut(name, e.To) || b.coordinators[e.To] == nil {
				continue
			}
			if held, ok := b.withheld[e.To]; ok {
				b.withheld[e.To] = append(held, e.Raw)
				continue
			}
			b.step(e.To, MessageReceived{e.Raw})
		case Restrictions:
			if b.restrictions[name] = e; b.applyAtOnce {
				b.step(name, RestrictionsApplied{Index: e.Index, Clear: e.Marked})
			}
		case Reply:
			b.replies = append(b.replies, e.Answer)
		case PersistRecord:
			b.records[name] = e.Note
		case Log:
			b.logs[name] += e.Text + "\n"
		}
	}
}

// advance advances the clock by d, with all ticks that are due.
func (b *testGroup) advance(d time.Duration) {
	for end := b.now + d; b.now < end; b.now += TickEvery {
		for i := range len(b.coordinators) {
			b.step(fmt.Sprint("p", i), Tick{})
		}
	}
}

// waitReady waits until all proxies have a lease and there are three voters. It returns the leader.
func (b *testGroup) waitReady() (leader string) {
	b.t.Helper()
	for range 300 {
		b.advance(TickEvery)
		leased := 0
		for name, c := range b.coordinators {
			if b.restrictions[name].LeaseUntil > b.now {
				leased++
			}
			if c.IsLeader() {
				leader = name
			}
		}
		if leased == len(b.coordinators) && leader != "" && len(b.coordinators[leader].core.Voters()) == 3 {
			return leader
		}
	}
	b.t.Fatal("never ready")
	return ""
}

// submitOrder submits an order for machine m0, so that it is named.
func (b *testGroup) submitOrder(most int) {
	for name := range b.coordinators {
		b.step(name, Inventory{[]maintenance.MachineView{{Machine: maintenance.Machine{ID: "m0"}, Ready: true},
			{Machine: maintenance.Machine{ID: "m1"}, Ready: true}}})
	}
	b.step("p0", CallReceived{1, Call{ID: "c",
		Spec: &maintenance.Spec{ID: "o", Machines: []string{"m0"}, MaxOut: most}}})
}

// TestLeaseCountsFromRequest covers a renewal whose answer arrives late. A lease that counted from its
// arrival would end later than the leader assumes.
func TestLeaseCountsFromRequest(t *testing.T) {
	for _, disabled := range []SafetyCheck{None, LeaseFromSendTime} {
		b := newTestGroup(t, 4, disabled)
		b.waitReady()
		b.advance(2 * time.Second)
		until := b.restrictions["p3"].LeaseUntil
		b.withheld["p3"] = [][]byte{}
		b.advance(2500 * time.Millisecond)
		late := b.withheld["p3"]
		delete(b.withheld, "p3")
		for _, raw := range late[:1] {
			b.step("p3", MessageReceived{raw})
		}
		if good := b.restrictions["p3"].LeaseUntil <= until+minRenewInterval+TickEvery; good != (disabled == None) {
			t.Errorf("disabled check %d: a late answer makes the lease end at %v; previous end: %v", disabled,
				b.restrictions["p3"].LeaseUntil, until)
		}
	}
}

// TestReplacedLeaderGrantsNoLease covers a leader that was replaced and doesn't know it: without confirmation
// by a majority it would still grant leases.
func TestReplacedLeaderGrantsNoLease(t *testing.T) {
	for _, disabled := range []SafetyCheck{None, ConfirmLeadership} {
		b := newTestGroup(t, 4, disabled)
		leader := b.waitReady()
		b.cut = func(from, to string) bool { // the leader and p3 reach only each other
			side := func(n string) bool { return n == leader || n == "p3" }
			return side(from) != side(to)
		}
		cutAt := b.now
		b.advance(900 * time.Millisecond) // it still assumes that it leads
		b.coordinators["p3"].participant.nextRenewal, b.coordinators["p3"].participant.leaderHint = 0, leader
		b.advance(200 * time.Millisecond)
		if good := b.restrictions["p3"].LeaseUntil <=
			cutAt+renewalsPerLease*minRenewInterval; good != (disabled == None) {
			t.Errorf("disabled check %d: a lease until %v after the cut", disabled,
				b.restrictions["p3"].LeaseUntil-cutAt)
		}
	}
}

// TestKnownOnceReducerApplies checks that a proxy reports a state as known only once its reducer
// applies it; otherwise a machine could be granted while the reducer still sends to it.
func TestKnownOnceReducerApplies(t *testing.T) {
	b := newTestGroup(t, 4, None)
	leader := b.waitReady()
	b.applyAtOnce = false
	b.submitOrder(1)
	b.advance(3 * time.Second)
	w := b.coordinators[leader].Maintenance().Active("m0")
	if w == nil || w.Announced == 0 || w.Step != maintenance.Waiting {
		t.Fatalf("m0 is %+v while no reducer applies the restrictions", w)
	}
	for name, f := range b.restrictions {
		b.step(name, RestrictionsApplied{Index: f.Index})
	}
	b.advance(2 * time.Second)
	if w := b.coordinators[leader].Maintenance().Active("m0"); w.Step == maintenance.Waiting {
		t.Error("never granted")
	}
}

// TestRejectedMessages checks that messages are rejected and counted that can't be decoded, come from
// another log, or are meant for another proxy.
func TestRejectedMessages(t *testing.T) {
	b := newTestGroup(t, 3, None)
	b.waitReady()
	c := b.coordinators["p1"]
	good := Envelope{Version: 1, From: "p0", Incarnation: 1, ID: 1, Boot: 1, To: "p1", Cluster: c.cluster,
		Lease: &Lease{Index: 1 << 40, Marked: []maintenance.Mark{{Machine: "m9", Grant: 1}}}}
	bad := [][]byte{nil, []byte("GET / HTTP/1.1\r\n\r\n"), make([]byte, 3000),
		[]byte(strings.Repeat("\xff", 99))}
	for _, spoil := range []func(e *Envelope){
		func(e *Envelope) { e.To = "p2" },
		func(e *Envelope) { e.Cluster++ },
		func(e *Envelope) { e.Version = 0 },
		func(e *Envelope) { e.From, e.Incarnation = "p1", 77 },
		func(e *Envelope) { e.Lease = nil },
		func(e *Envelope) { e.Lease, e.Raft = nil, []byte{1, 2, 3} },
	} {
		e := good
		spoil(&e)
		bad = append(bad, maintenance.Encode(e))
	}
	for i, raw := range bad {
		before, facts := c.RejectedMessages, b.restrictions["p1"]
		b.step("p1", MessageReceived{raw})
		if c.RejectedMessages != before+1 || b.restrictions["p1"].Index != facts.Index {
			t.Errorf("message %d: counted %d, index %d", i, c.RejectedMessages-before, b.restrictions["p1"].Index)
		}
	}
}

// TestDiskFailure covers a voter whose disk fails: it stops voting, keeps its lease, and votes again
// after the disk is restored.
func TestDiskFailure(t *testing.T) {
	b := newTestGroup(t, 3, None)
	leader := b.waitReady()
	b.step(leader, DiskLost{})
	if b.coordinators[leader].IsLeader() {
		t.Error("leads without a disk")
	}
	b.advance(8 * time.Second)
	if b.restrictions[leader].LeaseUntil <= b.now {
		t.Error("no lease although the others have a majority")
	}
	b.step(leader, DiskRestored{ID: 99, Boot: 1, Saved: consensus.Saved{}})
	b.advance(8 * time.Second)
	for _, c := range b.coordinators {
		if c.IsLeader() && !slices.Contains(c.core.Voters(), 99) {
			t.Errorf("voters %v: the restored proxy is not a voter under its new identity", c.core.Voters())
		}
	}
}

// TestResumesFromRecord covers a restarted proxy whose messages arrive but that receives none. It resumes
// from its durable record, and no machine that it doesn't restrict is granted until it has reported the
// current state as known.
func TestResumesFromRecord(t *testing.T) {
	for _, disabled := range []SafetyCheck{None, ReportResumeIndex} {
		b := newTestGroup(t, 4, disabled)
		leader := b.waitReady()
		b.advance(3 * time.Second)
		b.set("p3", func(c *Config) { c.Incarnation, c.Boot, c.Note = 99, 2, b.records["p3"] })
		b.cut = func(from, to string) bool { return from == "p3" || to == "p3" }
		b.submitOrder(1) // named while p3 is unreachable
		b.advance(time.Second)
		b.start("p3")
		b.cut = func(_, to string) bool { return to == "p3" }
		b.advance(3 * time.Second)
		taken := b.coordinators[leader].Maintenance().Participants[maintenance.Key("p3", 99)]
		if f := b.restrictions["p3"]; f.LeaseUntil != 1 || f.Index == 0 || taken == nil {
			t.Fatalf("disabled check %d: restrictions %+v, or not added as a participant", disabled, f)
		}
		b.advance(15 * time.Second)
		w := b.coordinators[leader].Maintenance().Active("m0")
		if granted := w == nil || w.Step != maintenance.Waiting; granted != (disabled == ReportResumeIndex) ||
			slices.Contains(b.restrictions["p3"].Named, "m0") {
			t.Errorf("disabled check %d: m0 is %+v, p3 restricts %v", disabled, w, b.restrictions["p3"].Named)
		}
		b.cut = func(_, _ string) bool { return false }
		b.advance(15 * time.Second)
		if w := b.coordinators[leader].Maintenance().Active("m0"); w != nil && w.Step == maintenance.Waiting {
			t.Errorf("disabled check %d: never granted", disabled)
		}
	}
}

// TestNoRecordToResumeFrom covers proxies that must not resume from their disk: one that has left, and one
// with another disk.
func TestNoRecordToResumeFrom(t *testing.T) {
	b := newTestGroup(t, 5, None)
	b.waitReady()
	b.advance(3 * time.Second)
	b.step("p3", Leaving{})
	b.advance(time.Second)
	b.set("p3", func(c *Config) { c.Incarnation, c.Boot, c.Note = 99, 2, b.records["p3"] })
	b.set("p4", func(c *Config) { c.Incarnation, c.ID = 99, 99 })
	b.cut = func(from, to string) bool { return from > "p2" || to > "p2" }
	for _, name := range []string{"p3", "p4"} {
		b.start(name)
	}
	b.advance(10 * time.Second)
	if b.restrictions["p3"].LeaseUntil != 0 || b.restrictions["p4"].LeaseUntil != 0 {
		t.Errorf("resumed from %+v and %+v", b.restrictions["p3"], b.restrictions["p4"])
	}
}

// TestTwoProtocolLevels covers an older program among newer ones: no entry is proposed that it doesn't
// understand until it is upgraded, and afterwards a downgrade gets no lease.
func TestTwoProtocolLevels(t *testing.T) {
	for _, disabled := range []SafetyCheck{None, LevelWait} {
		b := newTestGroup(t, 4, disabled, 0, 0, maintenance.LevelFirst)
		b.advance(10 * time.Second)
		leased := b.restrictions["p2"].LeaseUntil > b.now
		if said := strings.Count(b.logs["p2"], ErrProgramTooOld.Error()); leased != (disabled == None) ||
			said > 1 || leased != (said == 0) {
			t.Fatalf("disabled check %d: the older program has a lease: %t, log: %s", disabled, leased, b.logs["p2"])
		}
		if disabled != None {
			continue
		}
		// Restarted under a new identity.
		b.set("p2", func(c *Config) { c.Incarnation, c.ID, c.Level = 99, 99, maintenance.CurrentLevel })
		b.start("p2")
		b.advance(20 * time.Second)
		for name, c := range b.coordinators {
			if name != "p3" && c.Maintenance().Level != maintenance.CurrentLevel ||
				b.restrictions[name].LeaseUntil <= b.now {
				t.Errorf("%s is at level %d with a lease until %v", name, c.Maintenance().Level,
					b.restrictions[name].LeaseUntil-b.now)
			}
		}
		b.set("p3", func(c *Config) { c.Incarnation, c.Level = 99, maintenance.LevelFirst })
		b.start("p3")
		b.advance(5 * time.Second)
		if b.restrictions["p3"].LeaseUntil != 0 {
			t.Error("an older program gets a lease of a log that it doesn't understand")
		}
	}
}

// TestCapacityNeedsSeveralReports checks that the capacity estimates and hot key report of a single proxy
// have no effect.
func TestCapacityNeedsSeveralReports(t *testing.T) {
	b := newTestGroup(t, 5, None)
	leader := b.waitReady()
	b.submitOrder(1)
	for i := range 30 {
		for name := range b.coordinators {
			l := Load{Handled: 10, InFlight: 2, Capacities: []Capacity{{"m0", 9}, {"m1", 11}, {"unknown", 5}}}
			if name == "p4" {
				l.Capacities, l.Hot, l.InFlight = []Capacity{{"m0", 1e300}, {"m1", 0.1}}, []string{"m1"}, 2
			}
			b.step(name, l)
		}
		if b.advance(TickEvery); i == 20 {
			b.advance(2 * time.Second)
		}
	}
	v := b.coordinators[leader].view()
	m0, m1 := v.Machines["m0"], v.Machines["m1"]
	if m0.Capacity != 9 || m1.Capacity != 11 || m1.HotKey || v.InFlight < 8 || v.InFlight > 10.01 {
		t.Errorf("capacity %v and %v, hot %t, in flight %v", m0.Capacity, m1.Capacity, m1.HotKey, v.InFlight)
	}
	b.step("p3", Load{Hot: []string{"m1"}})
	b.step("p4", Load{Hot: []string{"m1"}})
	b.advance(2 * time.Second)
	if !b.coordinators[leader].view().Machines["m1"].HotKey {
		t.Error("hot key reports of two proxies have no effect")
	}
}

// TestFindsNextLeader covers the loss of the leader among many proxies, few of which vote. Proxies
// that asked all others in turn would take too long to find the next leader.
func TestFindsNextLeader(t *testing.T) {
	b := newTestGroup(t, 60, None)
	leader := b.waitReady()
	b.advance(3 * time.Second)
	b.cut = func(from, to string) bool { return from == leader || to == leader }
	lostAt := b.now
	for b.advance(TickEvery); ; b.advance(TickEvery) {
		leased := 0
		for name := range b.coordinators {
			if name != leader && b.restrictions[name].LeaseUntil >
				lostAt+renewalsPerLease*minRenewInterval+time.Second {
				leased++
			}
		}
		if leased == len(b.coordinators)-1 {
			break
		}
		if b.now-lostAt > 6*time.Second {
			t.Fatalf("%v after the loss of the leader, %d of %d proxies have a lease from the next one", b.now-lostAt,
				leased, len(b.coordinators)-1)
		}
	}
}

// TestLeavingKeepsDisk covers a renewal that reaches the leader after its sender has left. The
// leader's answer to an unknown process must not make a voter give up its disk.
func TestLeavingKeepsDisk(t *testing.T) {
	b := newTestGroup(t, 3, None)
	leader := b.waitReady()
	c := b.coordinators["p2"]
	b.cut = func(from, to string) bool { return from == "p2" || to == "p2" }
	b.step("p2", Leaving{})
	b.advance(time.Second)
	b.step("p2", MessageReceived{maintenance.Encode(Envelope{Version: 1, From: leader,
		Incarnation: b.coordinators[leader].cfg.Incarnation, To: "p2", Cluster: c.cluster,
		Lease: &Lease{Seq: c.participant.seq, Retire: true, Leader: leader}})})
	if c.core == nil || c.cluster == 0 {
		t.Error("a leaving proxy retired its identity")
	}
}
