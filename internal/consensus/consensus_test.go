package consensus

import (
	"os"
	"path/filepath"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func entry(index uint64) *pb.Entry {
	return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(1), Data: make([]byte, 500)}
}

// TestDisk covers what is there after a start, and that a file that is not whole is never gone on with.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	open := func() *Disk {
		t.Helper()
		d, err := OpenDisk(dir)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	d := open()
	id := d.ID
	for i := uint64(1); i <= 40; i++ {
		if err := d.Write(&Write{Entries: []*pb.Entry{entry(i)}, Hard: &pb.HardState{Term: proto.Uint64(1),
			Vote: proto.Uint64(7), Commit: proto.Uint64(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Write(&Write{Entries: []*pb.Entry{entry(38)}, First: 5}); err != nil { // replaces 38 to 40
		t.Fatal(err)
	}
	if _, err := OpenDisk(dir); err == nil {
		t.Error("two processes have one file")
	}
	d.Close()
	d = open()
	if n := len(d.Saved.Entries); d.ID != id || d.Boot != 2 || n != 34 || d.Saved.Entries[0].GetIndex() != 5 ||
		d.Saved.Hard.GetVote() != 7 || d.ResetReason != "" {
		t.Errorf("identity %x, start %d, %d entries, fresh %q", d.ID, d.Boot, n, d.ResetReason)
	}
	d.Close()
	path := filepath.Join(dir, diskFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := 0; cut < len(whole); cut += max(1, len(whole)/23) {
		if err := os.WriteFile(path, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		d := open()
		lost := d.ID != id && len(d.Saved.Entries) == 0 && d.Saved.Hard == nil
		if all := d.ID == id && len(d.Saved.Entries) == 34 && d.Saved.Hard.GetVote() == 7; !lost && !all {
			t.Fatalf("cut at %d of %d: goes on with less than there was", cut, len(whole))
		}
		d.Close()
		os.Remove(path)
	}
	if err := os.WriteFile(path, make([]byte, len(whole)), 0o600); err != nil {
		t.Fatal(err)
	}
	if d := open(); d.ID == id || d.ResetReason == "" {
		t.Error("a file of zeros is taken")
	} else {
		d.Close()
	}
}

// TestOpenRefusesHoles guards against a log that lacks entries.
func TestOpenRefusesHoles(t *testing.T) {
	for name, saved := range map[string]Saved{
		"hole":   {Entries: []*pb.Entry{entry(1), entry(3)}},
		"begins": {Entries: []*pb.Entry{entry(2)}},
		"agreed": {Entries: []*pb.Entry{entry(1)}, Hard: &pb.HardState{Term: proto.Uint64(1),
			Commit: proto.Uint64(2)}},
	} {
		if _, _, err := Open(1, saved); err == nil {
			t.Error("taken: " + name)
		}
	}
}

// TestVoterBehindASnapshot guards against a voter that comes after the leader's last snapshot, which doesn't
// name it: the two sent each other that snapshot for good.
func TestVoterBehindASnapshot(t *testing.T) {
	cores := map[uint64]*Core{}
	for id := uint64(1); id <= 2; id++ {
		c, _, err := Open(id, Saved{})
		if err != nil {
			t.Fatal(err)
		}
		cores[id] = c
	}
	messages := 0
	settle := func() {
		for again := true; again && messages < 1000; {
			again = false
			for id := uint64(1); id <= 2; id++ {
				out, err := cores[id].Next(func() []byte { return []byte("state") })
				if err != nil {
					t.Fatal(err)
				}
				if out == nil {
					continue
				}
				again = true
				for _, m := range out.Messages {
					messages++
					_ = cores[m.GetTo()].Step(Marshal(m))
				}
			}
		}
	}
	if err := cores[1].Bootstrap(nil); err != nil {
		t.Fatal(err)
	}
	for range 2 * electionTicks {
		cores[1].Tick()
		settle()
	}
	for range snapshotEvery + keepEntries {
		if err := cores[1].Propose([]byte("x")); err != nil {
			t.Fatal(err)
		}
		settle()
	}
	if err := cores[1].Change([]uint64{2}, nil, nil); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		cores[1].Tick()
		settle()
	}
	if a, b := cores[1].Applied(), cores[2].Applied(); a != b || messages >= 1000 {
		t.Errorf("the new voter is at entry %d of %d after %d messages", b, a, messages)
	}
}
