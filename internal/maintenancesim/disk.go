package maintenancesim

import (
	"math/rand/v2"

	"lilacglade/internal/consensus"
	"lilacglade/internal/coordination"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// disk is a disk that keeps what was written: there is no more to a sync here than that a process that is
// killed before an effect has not done it.
type disk struct {
	id, boot uint64
	used     bool
	hard     *pb.HardState
	snap     *pb.Snapshot
	entries  []*pb.Entry
	note     []byte
	full     bool
}

func newDisk(rng *rand.Rand) *disk { return &disk{id: rng.Uint64()>>1 + 1} }

func (d *disk) write(w *consensus.Write) bool {
	if d.full {
		return false
	}
	d.used = true
	if w.Hard != nil {
		d.hard = proto.CloneOf(w.Hard)
	}
	if w.Snap != nil {
		d.snap = w.Snap
	}
	keep := d.entries[:0:0]
	for _, e := range d.entries {
		if e.GetIndex() >= w.First && (len(w.Entries) == 0 || e.GetIndex() < w.Entries[0].GetIndex()) {
			keep = append(keep, e)
		}
	}
	for _, e := range w.Entries {
		keep = append(keep, proto.CloneOf(e))
	}
	d.entries = keep
	return true
}

func (d *disk) copy() *disk {
	c := *d
	c.entries = append([]*pb.Entry(nil), d.entries...)
	return &c
}

// open is a start on this disk.
func (d *disk) open() coordination.DiskRestored {
	d.boot++
	b := coordination.DiskRestored{ID: d.id, Boot: d.boot, Note: d.note}
	if d.hard != nil {
		b.Saved.Hard = proto.CloneOf(d.hard)
	}
	b.Saved.Snap = d.snap
	for _, e := range d.entries {
		b.Saved.Entries = append(b.Saved.Entries, proto.CloneOf(e))
	}
	return b
}
