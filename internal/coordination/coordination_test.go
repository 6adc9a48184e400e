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

// table is a few councils and the messages between them, which arrive at once unless a test cuts them off.
type table struct {
	t       *testing.T
	now     time.Duration
	all     map[string]*Coordinator
	cut     func(from, to string) bool
	slow    map[string][][]byte // to whom nothing is delivered for now
	facts   map[string]Restrictions
	replies []Answer
	keep    bool // the reducers keep to what they are told at once
	notes   map[string][]byte
	logs    map[string]string
	cfg     map[string]Config
}

func newTable(t *testing.T, n int, without SafetyCheck, levels ...uint64) *table {
	b := &table{t: t, all: map[string]*Coordinator{}, cut: func(_, _ string) bool { return false },
		facts: map[string]Restrictions{}, slow: map[string][][]byte{}, keep: true, notes: map[string][]byte{},
		logs: map[string]string{}, cfg: map[string]Config{}}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("p", i))
	}
	for i, name := range names {
		b.cfg[name] = Config{Name: name, Incarnation: uint64(i + 1), Addr: name, InitialVoters: names[:3],
			Peers: names, ID: uint64(i + 1), Boot: 1, Grace: time.Second, Seed: uint64(i), ReplaceAfter: time.Minute,
			Disabled: without}
		if i < len(levels) {
			b.set(name, func(c *Config) { c.Level = levels[i] })
		}
		b.start(name)
	}
	return b
}

func (b *table) set(name string, change func(*Config)) {
	cfg := b.cfg[name]
	change(&cfg)
	b.cfg[name] = cfg
}

// start starts a process of that name, the first or another.
func (b *table) start(name string) {
	c, err := New(b.cfg[name])
	if err != nil {
		b.t.Fatal(err)
	}
	b.all[name], b.facts[name] = c, Restrictions{}
}

func (b *table) step(name string, ev Event) {
	for _, e := range slices.Clone(b.all[name].Step(b.now, ev)) {
		switch e := e.(type) {
		case Send:
			if b.cut(name, e.To) || b.all[e.To] == nil {
				continue
			}
			if held, ok := b.slow[e.To]; ok {
				b.slow[e.To] = append(held, e.Raw)
				continue
			}
			b.step(e.To, MessageReceived{e.Raw})
		case Restrictions:
			if b.facts[name] = e; b.keep {
				b.step(name, RestrictionsApplied{Index: e.Index, Clear: e.Marked})
			}
		case Reply:
			b.replies = append(b.replies, e.Answer)
		case PersistRecord:
			b.notes[name] = e.Note
		case Log:
			b.logs[name] += e.Text + "\n"
		}
	}
}

// pass lets time go by.
func (b *table) pass(d time.Duration) {
	for end := b.now + d; b.now < end; b.now += TickEvery {
		for i := range len(b.all) {
			b.step(fmt.Sprint("p", i), Tick{})
		}
	}
}

// ready waits until all have a lease.
func (b *table) ready() (leader string) {
	b.t.Helper()
	for range 300 {
		b.pass(TickEvery)
		leased := 0
		for name, c := range b.all {
			if b.facts[name].LeaseUntil > b.now {
				leased++
			}
			if c.IsLeader() {
				leader = name
			}
		}
		if leased == len(b.all) && leader != "" && len(b.all[leader].core.Voters()) == 3 {
			return leader
		}
	}
	b.t.Fatal("never ready")
	return ""
}

// order has machine m0 named.
func (b *table) order(most int) {
	for name := range b.all {
		b.step(name, Inventory{[]maintenance.Seen{{Machine: maintenance.Machine{ID: "m0"}, Ready: true},
			{Machine: maintenance.Machine{ID: "m1"}, Ready: true}}})
	}
	b.step("p0", CallReceived{1, Call{ID: "c",
		Spec: &maintenance.Spec{ID: "o", Machines: []string{"m0"}, Most: most}}})
}

// TestLeaseCountsFromItsCall guards against a lease that counts from when its answer came: the leader takes
// it to be over before.
func TestLeaseCountsFromItsCall(t *testing.T) {
	for _, without := range []SafetyCheck{None, LeaseFromSendTime} {
		b := newTable(t, 4, without)
		b.ready()
		b.pass(2 * time.Second)
		until := b.facts["p3"].LeaseUntil
		b.slow["p3"] = [][]byte{}
		b.pass(2500 * time.Millisecond)
		late := b.slow["p3"]
		delete(b.slow, "p3")
		for _, raw := range late[:1] {
			b.step("p3", MessageReceived{raw})
		}
		if good := b.facts["p3"].LeaseUntil <= until+renewEvery+TickEvery; good != (without == None) {
			t.Errorf("without guard %d: an answer that came late makes the lease end at %v, before %v", without,
				b.facts["p3"].LeaseUntil, until)
		}
	}
}

// TestOldLeaderGivesNoLease guards against a leader that was replaced and does not know it.
func TestOldLeaderGivesNoLease(t *testing.T) {
	for _, without := range []SafetyCheck{None, ConfirmLeadership} {
		b := newTable(t, 4, without)
		leader := b.ready()
		b.cut = func(from, to string) bool { // the leader and p3 hear each other and nobody else
			side := func(n string) bool { return n == leader || n == "p3" }
			return side(from) != side(to)
		}
		cutAt := b.now
		b.pass(900 * time.Millisecond) // it still takes itself for the leader
		b.all["p3"].party.renewAt, b.all["p3"].party.hint = 0, leader
		b.pass(200 * time.Millisecond)
		if good := b.facts["p3"].LeaseUntil <= cutAt+leaseParts*renewEvery; good != (without == None) {
			t.Errorf("without guard %d: a lease until %v after the cut", without, b.facts["p3"].LeaseUntil-cutAt)
		}
	}
}

// TestKnownOnceTheReducerKeepsToIt guards against telling the leader what the reducer has yet to hear.
func TestKnownOnceTheReducerKeepsToIt(t *testing.T) {
	b := newTable(t, 4, None)
	leader := b.ready()
	b.keep = false
	b.order(1)
	b.pass(3 * time.Second)
	w := b.all[leader].Maintenance().Active("m0")
	if w == nil || w.Named == 0 || w.Step != maintenance.Waiting {
		t.Fatalf("m0 is %+v while no reducer keeps to it", w)
	}
	for name, f := range b.facts {
		b.step(name, RestrictionsApplied{Index: f.Index})
	}
	b.pass(2 * time.Second)
	if w := b.all[leader].Maintenance().Active("m0"); w.Step == maintenance.Waiting {
		t.Error("never granted")
	}
}

// TestForeignMessages guards against what is no peer's message, of another log, or for somebody else.
func TestForeignMessages(t *testing.T) {
	b := newTable(t, 3, None)
	b.ready()
	c := b.all["p1"]
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
		before, facts := c.RejectedMessages, b.facts["p1"]
		b.step("p1", MessageReceived{raw})
		if c.RejectedMessages != before+1 || b.facts["p1"].Index != facts.Index {
			t.Errorf("message %d: counted %d, index %d", i, c.RejectedMessages-before, b.facts["p1"].Index)
		}
	}
}

// TestDiskThatFails covers a voter whose disk fails: it votes no more, keeps its lease, and votes again.
func TestDiskThatFails(t *testing.T) {
	b := newTable(t, 3, None)
	leader := b.ready()
	b.step(leader, DiskLost{})
	if b.all[leader].IsLeader() {
		t.Error("leads without a disk")
	}
	b.pass(8 * time.Second)
	if b.facts[leader].LeaseUntil <= b.now {
		t.Error("no lease while the others have a majority")
	}
	b.step(leader, DiskRestored{ID: 99, Boot: 1, Saved: consensus.Saved{}})
	b.pass(8 * time.Second)
	for _, c := range b.all {
		if c.IsLeader() && !slices.Contains(c.core.Voters(), 99) {
			t.Errorf("voters %v: not taken in under its new identity", c.core.Voters())
		}
	}
}

// TestGoesOnByItsDisk covers a proxy that starts again and is heard by the others, but hears nothing: it goes
// on by what its disk knows, and what it doesn't hold is not granted until it has said that it knows of it.
func TestGoesOnByItsDisk(t *testing.T) {
	for _, without := range []SafetyCheck{None, ReportResumeIndex} {
		b := newTable(t, 4, without)
		leader := b.ready()
		b.pass(3 * time.Second)
		b.set("p3", func(c *Config) { c.Incarnation, c.Boot, c.Note = 99, 2, b.notes["p3"] })
		b.cut = func(from, to string) bool { return from == "p3" || to == "p3" }
		b.order(1) // named while p3 is away
		b.pass(time.Second)
		b.start("p3")
		b.cut = func(_, to string) bool { return to == "p3" }
		b.pass(3 * time.Second)
		taken := b.all[leader].Maintenance().Parties[maintenance.Key("p3", 99)]
		if f := b.facts["p3"]; f.LeaseUntil != 1 || f.Index == 0 || taken == nil {
			t.Fatalf("without guard %d: goes on by %+v, or was not taken in", without, f)
		}
		b.pass(15 * time.Second)
		w := b.all[leader].Maintenance().Active("m0")
		if granted := w == nil || w.Step != maintenance.Waiting; granted != (without == ReportResumeIndex) ||
			slices.Contains(b.facts["p3"].Named, "m0") {
			t.Errorf("without guard %d: m0 is %+v, p3 holds %v", without, w, b.facts["p3"].Named)
		}
		b.cut = func(_, _ string) bool { return false }
		b.pass(15 * time.Second)
		if w := b.all[leader].Maintenance().Active("m0"); w != nil && w.Step == maintenance.Waiting {
			t.Errorf("without guard %d: never granted", without)
		}
	}
}

// TestNothingToGoOnBy covers proxies whose disk must not be gone by: one that has left, and one with another
// disk.
func TestNothingToGoOnBy(t *testing.T) {
	b := newTable(t, 5, None)
	b.ready()
	b.pass(3 * time.Second)
	b.step("p3", Leaving{})
	b.pass(time.Second)
	b.set("p3", func(c *Config) { c.Incarnation, c.Boot, c.Note = 99, 2, b.notes["p3"] })
	b.set("p4", func(c *Config) { c.Incarnation, c.ID = 99, 99 })
	b.cut = func(from, to string) bool { return from > "p2" || to > "p2" }
	for _, name := range []string{"p3", "p4"} {
		b.start(name)
	}
	b.pass(10 * time.Second)
	if b.facts["p3"].LeaseUntil != 0 || b.facts["p4"].LeaseUntil != 0 {
		t.Errorf("serve by %+v and %+v", b.facts["p3"], b.facts["p4"])
	}
}

// TestTwoVersions covers an earlier program among later ones: nothing is proposed that it doesn't understand
// until it is upgraded, and then it can't be gone back to.
func TestTwoVersions(t *testing.T) {
	for _, without := range []SafetyCheck{None, LevelWait} {
		b := newTable(t, 4, without, 0, 0, maintenance.LevelFirst)
		b.pass(10 * time.Second)
		leased := b.facts["p2"].LeaseUntil > b.now
		if said := strings.Count(b.logs["p2"], ErrProgramTooOld.Error()); leased != (without == None) || said > 1 ||
			leased != (said == 0) {
			t.Fatalf("without guard %d: the earlier program has a lease: %t, log: %s", without, leased, b.logs["p2"])
		}
		if without != None {
			continue
		}
		// with a new disk
		b.set("p2", func(c *Config) { c.Incarnation, c.ID, c.Level = 99, 99, maintenance.LevelNow })
		b.start("p2")
		b.pass(20 * time.Second)
		for name, c := range b.all {
			if name != "p3" && c.Maintenance().Level != maintenance.LevelNow || b.facts[name].LeaseUntil <= b.now {
				t.Errorf("%s is at level %d with a lease until %v", name, c.Maintenance().Level,
					b.facts[name].LeaseUntil-b.now)
			}
		}
		b.set("p3", func(c *Config) { c.Incarnation, c.Level = 99, maintenance.LevelFirst })
		b.start("p3")
		b.pass(5 * time.Second)
		if b.facts["p3"].LeaseUntil != 0 {
			t.Error("an earlier program gets a lease of a log that it doesn't understand")
		}
	}
}

// TestRoomIsManyVoices holds that one proxy's measures of machines' room, and its word for a hot key, move
// nothing.
func TestRoomIsManyVoices(t *testing.T) {
	b := newTable(t, 5, None)
	leader := b.ready()
	b.order(1)
	for i := range 30 {
		for name := range b.all {
			l := Load{Handled: 10, InFlight: 2, Capacities: []Capacity{{"m0", 9}, {"m1", 11}, {"unknown", 5}}}
			if name == "p4" {
				l.Capacities, l.Hot, l.InFlight = []Capacity{{"m0", 1e300}, {"m1", 0.1}}, []string{"m1"}, 2
			}
			b.step(name, l)
		}
		if b.pass(TickEvery); i == 20 {
			b.pass(2 * time.Second)
		}
	}
	v := b.all[leader].view()
	m0, m1 := v.Machines["m0"], v.Machines["m1"]
	if m0.Room != 9 || m1.Room != 11 || m1.Hot || v.Busy < 8 || v.Busy > 10.01 {
		t.Errorf("room %v and %v, hot %t, busy %v", m0.Room, m1.Room, m1.Hot, v.Busy)
	}
	b.step("p3", Load{Hot: []string{"m1"}})
	b.step("p4", Load{Hot: []string{"m1"}})
	b.pass(2 * time.Second)
	if !b.all[leader].view().Machines["m1"].Hot {
		t.Error("two proxies' word for a hot key counts nothing")
	}
}

// TestFindsTheNextLeader guards against many proxies that go round all the others in search of a leader after
// theirs was lost: few of them vote, and the others know nothing.
func TestFindsTheNextLeader(t *testing.T) {
	b := newTable(t, 60, None)
	leader := b.ready()
	b.pass(3 * time.Second)
	b.cut = func(from, to string) bool { return from == leader || to == leader }
	lostAt := b.now
	for b.pass(TickEvery); ; b.pass(TickEvery) {
		leased := 0
		for name := range b.all {
			if name != leader && b.facts[name].LeaseUntil > lostAt+leaseParts*renewEvery+time.Second {
				leased++
			}
		}
		if leased == len(b.all)-1 {
			break
		}
		if b.now-lostAt > 6*time.Second {
			t.Fatalf("%v after the leader was lost %d of %d proxies have a lease of the next one", b.now-lostAt,
				leased, len(b.all)-1)
		}
	}
}

// TestLeavingKeepsItsDisk guards against a call of a party that comes to the leader after the party has left:
// the answer to a process that it doesn't know any more would cost a voter its disk.
func TestLeavingKeepsItsDisk(t *testing.T) {
	b := newTable(t, 3, None)
	leader := b.ready()
	c := b.all["p2"]
	b.cut = func(from, to string) bool { return from == "p2" || to == "p2" }
	b.step("p2", Leaving{})
	b.pass(time.Second)
	b.step("p2", MessageReceived{maintenance.Encode(Envelope{Version: 1, From: leader,
		Incarnation: b.all[leader].cfg.Incarnation, To: "p2", Cluster: c.cluster, Lease: &Lease{Seq: c.party.seq, Retire: true, Leader: leader}})})
	if c.core == nil || c.cluster == 0 {
		t.Error("a proxy that leaves gives up its disk")
	}
}
