// Package consensus is one voter of the proxies' replicated log: a deterministic wrapper of
// go.etcd.io/raft/v3, and the disk that keeps votes and entries. Core uses no clock, sockets or
// files: it takes ticks and messages, and returns what to write, then to send, then to apply.
package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Settings of raft. A follower that hears from no leader for electionTicks starts an election, and
// a leader that hears from no majority for as long steps down.
const (
	electionTicks  = 10
	heartbeatTicks = 1
	maxMessage     = 256 << 10 // bytes of entries in one message
	maxUncommitted = 1 << 20   // bytes of uncommitted entries
	maxInflight    = 64        // unconfirmed messages to one voter
	keepEntries    = 64        // kept before a snapshot, for voters that lag slightly
	snapshotEvery  = 256       // entries
)

// Saved is the stored state of a voter.
type Saved struct {
	Hard    *pb.HardState
	Snap    *pb.Snapshot
	Entries []*pb.Entry // in order
}

// Write must be synced to the disk before the later fields of Out are handled.
type Write struct {
	Hard    *pb.HardState // nil: as before
	Snap    *pb.Snapshot  // nil: as before
	Entries []*pb.Entry   // they replace all entries from the first one's index on
	First   uint64        // entries before it can be removed; 0: none
}

// Entry is a committed entry. Conf is the context of a membership change, Voters the ids after it.
type Entry struct {
	Index  uint64
	Data   []byte
	Conf   []byte
	IsConf bool
	Voters []uint64
}

// Out lists the effects that the caller must carry out, in the order of its fields.
type Out struct {
	Write    *Write
	Messages []*pb.Message
	Install  []byte // a snapshot that replaces the state; nil: none
	At       uint64 // its index
	Entries  []Entry
	Reads    []Read
}

// Read reports that a majority has confirmed this leader after Confirm(Token): a read is
// linearizable once the entries up to Index are applied.
type Read struct{ Token, Index uint64 }

// Core is a voter, or a process that may become one. It is not safe for concurrent use.
type Core struct {
	id      uint64
	store   *raft.MemoryStorage
	raw     *raft.RawNode
	conf    *pb.ConfState
	applied uint64
	snapAt  uint64
	changed bool // the voters have, since the snapshot at snapAt
}

// Open resumes from a stored state. The returned state is the snapshot's, nil if there is none.
func Open(id uint64, saved Saved) (c *Core, state []byte, err error) {
	c = &Core{id: id, store: raft.NewMemoryStorage(), conf: &pb.ConfState{}}
	if saved.Snap != nil && !raft.IsEmptySnap(saved.Snap) {
		if err := c.store.ApplySnapshot(saved.Snap); err != nil {
			return nil, nil, err
		}
		state = saved.Snap.GetData()
		c.conf = saved.Snap.GetMetadata().GetConfState()
		c.applied = saved.Snap.GetMetadata().GetIndex()
		c.snapAt = c.applied
	}
	if saved.Hard != nil {
		if err := c.store.SetHardState(saved.Hard); err != nil {
			return nil, nil, err
		}
	}
	for i, e := range saved.Entries { // reject a log with gaps
		if want := saved.Entries[0].GetIndex() + uint64(i); e.GetIndex() != want {
			return nil, nil, fmt.Errorf("entry %d where %d belongs", e.GetIndex(), want)
		}
	}
	if n := len(saved.Entries); n > 0 && saved.Entries[0].GetIndex() > c.applied+1 {
		return nil, nil, fmt.Errorf("entries from %d on behind a snapshot at %d",
			saved.Entries[0].GetIndex(), c.applied)
	}
	if err := c.store.Append(saved.Entries); err != nil {
		return nil, nil, err
	}
	last, err := c.store.LastIndex()
	if err != nil {
		return nil, nil, err
	}
	if saved.Hard != nil && saved.Hard.GetCommit() > last {
		return nil, nil, fmt.Errorf("%d entries agreed, but the log ends at %d", saved.Hard.GetCommit(), last)
	}
	c.raw, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: c.store, Applied: c.applied, MaxSizePerMsg: maxMessage, MaxUncommittedEntriesSize: maxUncommitted,
		MaxInflightMsgs: maxInflight, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		ReadOnlyOption: raft.ReadOnlySafe, Logger: discardLogger{}, DisableProposalForwarding: true})
	if err != nil {
		return nil, nil, err
	}
	return c, state, nil
}

// Bootstrap starts a new log with this process as its only voter, described by the context.
func (c *Core) Bootstrap(context []byte) error {
	return c.raw.Bootstrap([]raft.Peer{{ID: c.id, Context: context}})
}

// Tick advances the time by one tick. An only voter starts an election at once.
func (c *Core) Tick() {
	if v := c.conf.GetVoters(); len(v) == 1 && v[0] == c.id && c.Leader() == 0 {
		_ = c.raw.Campaign() // else it begins with the next tick
	}
	c.raw.Tick()
}

// Step handles another voter's message. An invalid message returns an error and changes nothing.
func (c *Core) Step(raw []byte) (err error) {
	m := new(pb.Message)
	if err := proto.Unmarshal(raw, m); err != nil {
		return err
	}
	if m.Type == nil || m.GetTo() != c.id || m.GetFrom() == c.id || raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("a message %v from %x to %x", m.GetType(), m.GetFrom(), m.GetTo())
	}
	if m.GetType() == pb.MessageType_MsgProp || m.GetType() == pb.MessageType_MsgReadIndex {
		return errors.New("a proposal that was passed on")
	}
	return c.raw.Step(m)
}

// Propose proposes an entry. It fails unless this process leads; success does not mean committed.
func (c *Core) Propose(data []byte) error { return c.raw.Propose(data) }

// Change proposes to add and remove voters in one step.
func (c *Core) Change(add, remove []uint64, context []byte) error {
	cc := &pb.ConfChangeV2{Context: context}
	for _, id := range add {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeAddNode.Enum(),
			NodeId: proto.Uint64(id)})
	}
	for _, id := range remove {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(),
			NodeId: proto.Uint64(id)})
	}
	return c.raw.ProposeConfChange(cc)
}

// Confirm asks a majority to confirm this leader. A Read with the token follows on success.
func (c *Core) Confirm(token uint64) { c.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, token)) }

// TransferLeadership transfers the leadership to the most up-to-date active voter, if there is one.
func (c *Core) TransferLeadership() {
	var to, best uint64
	c.raw.WithProgress(func(id uint64, _ raft.ProgressType, pr progress) {
		if id != c.id && !pr.IsLearner && pr.RecentActive && pr.Match >= best {
			to, best = id, pr.Match
		}
	})
	if to != 0 {
		c.raw.TransferLeader(to)
	}
}

// Leads reports whether this process believes that it leads.
func (c *Core) Leads() bool { return c.raw.BasicStatus().RaftState == raft.StateLeader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.raw.BasicStatus().GetTerm() }

// Leader returns the known leader, 0 if there is none.
func (c *Core) Leader() uint64 { return c.raw.BasicStatus().Lead }

// Active lists the voters that the leader has heard from recently, and itself.
func (c *Core) Active() (ids []uint64) {
	c.raw.WithProgress(func(id uint64, _ raft.ProgressType, pr progress) {
		if id == c.id || pr.RecentActive {
			ids = append(ids, id)
		}
	})
	return ids
}

// Last returns the index of the last entry in the local log.
func (c *Core) Last() uint64 {
	last, err := c.store.LastIndex()
	if err != nil {
		return 0
	}
	return last
}

// Match returns the last index that a voter has confirmed to this leader, 0 if it doesn't lead.
func (c *Core) Match(id uint64) (match uint64) {
	if !c.Leads() {
		return 0
	}
	c.raw.WithProgress(func(voter uint64, _ raft.ProgressType, pr progress) {
		if voter == id {
			match = pr.Match
		}
	})
	return match
}

// Voters lists the voters; during a membership change, the old and the new ones.
func (c *Core) Voters() []uint64 {
	all := slices.Concat(c.conf.GetVoters(), c.conf.GetVotersOutgoing())
	slices.Sort(all)
	return slices.Compact(all)
}

// Changing reports whether a membership change is in progress.
func (c *Core) Changing() bool { return len(c.conf.GetVotersOutgoing()) > 0 }

// ID returns the voter id of this process, whether it votes or not.
func (c *Core) ID() uint64 { return c.id }

// Applied returns the index of the last entry that Next returned.
func (c *Core) Applied() uint64 { return c.applied }

// Unreachable reports that a message to a voter was lost.
func (c *Core) Unreachable(id uint64) { c.raw.ReportUnreachable(id) }

// Next returns the pending effects, nil if there are none. state encodes the state after the entries
// that were returned so far, without those of this Out.
func (c *Core) Next(state func() []byte) (*Out, error) {
	if !c.raw.HasReady() {
		return nil, nil
	}
	out := &Out{}
	var w Write
	// A new voter ignores a snapshot that doesn't name it. Without a newer snapshot, the leader would
	// send it the old one forever.
	stale := c.changed && c.snapAt > 0 && c.applied > c.snapAt
	if stale || c.applied >= c.snapAt+snapshotEvery {
		snap, err := c.store.CreateSnapshot(c.applied, c.conf, state())
		if err != nil {
			return nil, err
		}
		w.Snap, c.snapAt, c.changed = snap, c.applied, false
		if first := c.applied - keepEntries; first > 0 {
			if err := c.store.Compact(first); err != nil && !errors.Is(err, raft.ErrCompacted) {
				return nil, err
			}
			w.First = first + 1
		}
	}
	rd := c.raw.Ready()
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := c.store.ApplySnapshot(rd.Snapshot); err != nil {
			return nil, err
		}
		w.Snap, out.Install, out.At = rd.Snapshot, rd.Snapshot.GetData(), rd.Snapshot.GetMetadata().GetIndex()
		w.First = math.MaxUint64
		c.conf, c.applied, c.snapAt = rd.Snapshot.GetMetadata().GetConfState(), out.At, out.At
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := c.store.SetHardState(rd.HardState); err != nil {
			return nil, err
		}
		w.Hard = proto.CloneOf(rd.HardState)
	}
	if err := c.store.Append(rd.Entries); err != nil {
		return nil, err
	}
	w.Entries = rd.Entries
	if w.Hard != nil || w.Snap != nil || len(w.Entries) > 0 {
		out.Write = &w
	}
	out.Messages = rd.Messages
	for _, r := range rd.ReadStates {
		out.Reads = append(out.Reads, Read{binary.BigEndian.Uint64(r.RequestCtx), r.Index})
	}
	for _, e := range rd.CommittedEntries {
		entry, err := c.committed(e)
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, entry)
	}
	c.raw.Advance(rd)
	for _, m := range out.Messages {
		if m.GetType() == pb.MessageType_MsgSnap { // the next heartbeat detects a lost one
			c.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	return out, nil
}

// committed converts a committed entry and applies membership changes.
func (c *Core) committed(e *pb.Entry) (Entry, error) {
	c.applied = e.GetIndex()
	c.changed = c.changed || e.GetType() != pb.EntryType_EntryNormal
	entry := Entry{Index: e.GetIndex(), Data: e.GetData()}
	switch e.GetType() {
	case pb.EntryType_EntryConfChange:
		var cc pb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			return entry, err
		}
		c.conf = c.raw.ApplyConfChange(&cc)
		entry.IsConf, entry.Data, entry.Conf = true, nil, cc.GetContext()
	case pb.EntryType_EntryConfChangeV2:
		var cc pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			return entry, err
		}
		c.conf = c.raw.ApplyConfChange(&cc)
		entry.IsConf, entry.Data, entry.Conf = true, nil, cc.GetContext()
	}
	entry.Voters = c.Voters()
	return entry, nil
}

// Marshal encodes a message for another voter.
func Marshal(m *pb.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err) // every message can be encoded
	}
	return raw
}
