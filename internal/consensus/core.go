// Package consensus is a voter's part in the log that the proxies agree on: the pure core of
// go.etcd.io/raft/v3 with what it needs round it, and the disk that keeps its votes. Core has no clock,
// sockets or files: it takes ticks and messages, and says what to write, then what to send, then what was
// agreed.
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

// Ticks of an election: a follower that hears nothing for so many asks for votes, a leader that hears no
// majority for so many steps down.
const (
	electionTicks  = 10
	heartbeatTicks = 1
	maxMessage     = 256 << 10 // bytes of entries in one message
	maxUncommitted        = 1 << 20   // bytes of entries that are not agreed yet
	maxInflight    = 64        // messages to one voter that it has not confirmed
	keepEntries    = 64        // left in the log behind a snapshot, for voters that are a little behind
	snapshotEvery  = 256       // entries
)

// Saved is what a disk holds of a voter.
type Saved struct {
	Hard    *pb.HardState
	Snap    *pb.Snapshot
	Entries []*pb.Entry // behind the snapshot, in order
}

// Write is what must be on the disk, synced, before anything that comes after it in Out is done.
type Write struct {
	Hard    *pb.HardState // nil: as before
	Snap    *pb.Snapshot  // nil: as before
	Entries []*pb.Entry   // those from the first one's index on replace what there was
	First   uint64        // entries before it are not needed any more; 0: as before
}

// Entry is one that was agreed. Conf is the context of a change of the voters, with their ids behind it.
type Entry struct {
	Index  uint64
	Data   []byte
	Conf   []byte
	IsConf bool
	Voters []uint64
}

// Out is what a Core wants done, in the order of its fields.
type Out struct {
	Write    *Write
	Messages []*pb.Message
	Install  []byte // the state that replaces all there was; nil: none
	At       uint64 // its index
	Entries  []Entry
	Reads    []Read
}

// Read says that a majority has confirmed this leader's lead after Confirm(token) was called: whoever has
// applied the entries up to Index may answer.
type Read struct{ Token, Index uint64 }

// Core is one voter, or one that may become one. One goroutine owns it.
type Core struct {
	id      uint64
	store   *raft.MemoryStorage
	raw     *raft.RawNode
	conf    *pb.ConfState
	applied uint64
	snapAt  uint64
	changed bool // the voters have, since the snapshot at snapAt
}

// Open goes on from what a disk holds. State is the snapshot's, nil if there is none.
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
	for i, e := range saved.Entries { // guards against a log with holes
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

// Bootstrap begins a log with this one as its only voter. The context names it.
func (c *Core) Bootstrap(context []byte) error {
	return c.raw.Bootstrap([]raft.Peer{{ID: c.id, Context: context}})
}

// Tick passes one unit of time. Who is the only voter need not wait for others to be silent.
func (c *Core) Tick() {
	if v := c.conf.GetVoters(); len(v) == 1 && v[0] == c.id && c.Leader() == 0 {
		_ = c.raw.Campaign() // else it begins with the next tick
	}
	c.raw.Tick()
}

// Step takes another voter's message. What makes no sense is an error and changes nothing.
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

// Propose wants an entry agreed on. It is an error where this one doesn't lead; no error says nothing yet.
func (c *Core) Propose(data []byte) error { return c.raw.Propose(data) }

// Change wants the voters changed: some added, some removed, in one step.
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

// Confirm asks a majority whether this one still leads; a Read with the token follows, or never.
func (c *Core) Confirm(token uint64) { c.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, token)) }

// TransferLeadership gives the lead to another voter that is up to date, if it can be had.
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

// Leads tells whether this one leads, as far as it knows, and Term in which term.
func (c *Core) Leads() bool { return c.raw.BasicStatus().RaftState == raft.StateLeader }

// Term is the current term.
func (c *Core) Term() uint64 { return c.raw.BasicStatus().GetTerm() }

// Leader is the voter that leads, as far as is known; 0: none.
func (c *Core) Leader() uint64 { return c.raw.BasicStatus().Lead }

// Active lists the voters that the leader has heard lately, itself included.
func (c *Core) Active() (ids []uint64) {
	c.raw.WithProgress(func(id uint64, _ raft.ProgressType, pr progress) {
		if id == c.id || pr.RecentActive {
			ids = append(ids, id)
		}
	})
	return ids
}

// Last is the index of the last entry that is in this one's log.
func (c *Core) Last() uint64 {
	last, err := c.store.LastIndex()
	if err != nil {
		return 0
	}
	return last
}

// Match is the last entry that a voter has confirmed to this leader; 0 where this one doesn't lead.
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

// Voters lists the voters, of both sides while they are being changed.
func (c *Core) Voters() []uint64 {
	all := slices.Concat(c.conf.GetVoters(), c.conf.GetVotersOutgoing())
	slices.Sort(all)
	return slices.Compact(all)
}

// Changing tells whether the voters are being changed.
func (c *Core) Changing() bool { return len(c.conf.GetVotersOutgoing()) > 0 }

// ID is this one's number among the voters, whether it votes or not.
func (c *Core) ID() uint64 { return c.id }

// Applied is the index up to which entries were given out.
func (c *Core) Applied() uint64 { return c.applied }

// Unreachable says that what was sent to a voter was lost.
func (c *Core) Unreachable(id uint64) { c.raw.ReportUnreachable(id) }

// Next is what is to be done now, nil if nothing is. State words the state as it is after the entries that
// were given out so far; it is called before those of this Out are.
func (c *Core) Next(state func() []byte) (*Out, error) {
	if !c.raw.HasReady() {
		return nil, nil
	}
	out := &Out{}
	var w Write
	// Guards against a snapshot of before a voter came: that one ignores what doesn't name it, has no entries
	// from before the snapshot, and is sent the same for good.
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
		if m.GetType() == pb.MessageType_MsgSnap { // one that is lost is found missing by the next heartbeat
			c.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	return out, nil
}

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

// Marshal words a message for another voter.
func Marshal(m *pb.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err) // it holds nothing that can't be worded
	}
	return raw
}
