package coordination

import (
	"time"

	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
)

// Effect is something to do: a Persist, Keep, Send, Facts, Reply, Retire, Left or Log. If a Persist or Keep
// fails, what is behind it is not done, and DiskLost is told.
type Effect any

type (
	// Persist is to be on the disk, synced, before what comes behind it is done.
	Persist struct{ Write *consensus.Write }
	// PersistRecord is the same for the note.
	PersistRecord struct{ Note []byte }
	// Send has a message sent to a peer; it may be lost. Addr is where it listens, "" if only the name is known.
	Send struct {
		To, Addr string
		Raw      []byte
	}
	// Restrictions tells the reducer what holds now.
	Restrictions struct {
		Index      uint64
		Marked     []maintenance.Mark // nothing new there
		Named      []string           // nothing new there from Until on, and nothing at all Grace later
		LeaseUntil time.Duration      // on the clock of now; 0: no lease yet, nothing new anywhere
		Grace      time.Duration
	}
	// Reply ends an Asked.
	Reply struct {
		Token  uint64
		Answer Answer
	}
	// Retire wants the disk set aside and a new identity: DiskBack follows.
	Retire struct{ Reason string }
	// LeaveComplete ends Leaving.
	LeaveComplete struct{}
	// Log is a line for the operator.
	Log struct{ Text string }
)
