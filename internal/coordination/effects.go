package coordination

import (
	"time"

	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
)

// Effect is an action for the driver: a Persist, PersistRecord, Send, Restrictions, Reply, Retire,
// LeaveComplete or Log. If a Persist or PersistRecord fails, the driver skips the effects behind it and
// reports DiskLost.
type Effect any

type (
	// Persist is written to the disk and synced before the effects behind it are executed.
	Persist struct{ Write *consensus.Write }
	// PersistRecord is the same for the encoded DurableRecord.
	PersistRecord struct{ Note []byte }
	// Send sends a message to a peer; the message may be lost. Addr is the peer's address, or "" if only
	// its name is known.
	Send struct {
		To, Addr string
		Raw      []byte
	}
	// Restrictions tells the reducer to which machines this proxy may send.
	Restrictions struct {
		Index      uint64
		Marked     []maintenance.Mark // no new requests there
		Named      []string           // no new requests there from LeaseUntil on, and no open ones Grace later
		LeaseUntil time.Duration      // time on this proxy's clock; 0: no lease yet, no new requests anywhere
		Grace      time.Duration
		Alone      bool // serves without a lease, as configured, and can't know which machines are out
	}
	// Reply answers a CallReceived.
	Reply struct {
		Token  uint64
		Answer Answer
	}
	// Retire sets the disk's content aside and creates a new identity; DiskRestored follows.
	Retire struct{ Reason string }
	// LeaveComplete answers Leaving.
	LeaveComplete struct{}
	// Log is a log line for operators.
	Log struct{ Text string }
)
