package agree

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
		d.Saved.Hard.GetVote() != 7 || d.Fresh != "" {
		t.Errorf("identity %x, start %d, %d entries, fresh %q", d.ID, d.Boot, n, d.Fresh)
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
	if d := open(); d.ID == id || d.Fresh == "" {
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
