package coordination

import (
	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
)

// Event is a Tick, MessageReceived, CallReceived, RestrictionsApplied, Inventory, Load, Leaving, DiskLost
// or DiskRestored.
type Event interface{ event() }

type (
	// Tick occurs every TickEvery.
	Tick struct{}
	// MessageReceived is an encoded message from a peer.
	MessageReceived struct{ Raw []byte }
	// CallReceived is an operator's call; a Reply with the same token follows.
	CallReceived struct {
		Token uint64
		Call  Call
	}
	// RestrictionsApplied reports the index up to which the reducer enforces the Restrictions, and the
	// marks of machines where it has nothing open.
	RestrictionsApplied struct {
		Index uint64
		Clear []maintenance.Mark
	}
	// Inventory is the current list of machines from discovery.
	Inventory struct{ Machines []maintenance.MachineView }
	// Load counts the requests since the last Load and those in flight at machines now, and reports what
	// the proxy measured of machines.
	Load struct {
		Handled, Shed uint64
		InFlight      float64
		Ejected       []string // machines ejected by outlier detection
		Hot           []string // machines to which it sends a hot key
		Capacities    []Capacity
	}
	// Leaving says that the proxy has nothing open any more and exits; LeaveComplete follows.
	Leaving struct{}
	// DiskLost says that a write failed and the effects behind it were skipped.
	DiskLost struct{}
	// DiskRestored says that the disk is writable again, with its content.
	DiskRestored struct {
		ID, Boot uint64
		Saved    consensus.Saved
		Note     []byte
	}
)

func (Tick) event()                {}
func (MessageReceived) event()     {}
func (CallReceived) event()        {}
func (RestrictionsApplied) event() {}
func (Inventory) event()           {}
func (Load) event()                {}
func (Leaving) event()             {}
func (DiskLost) event()            {}
func (DiskRestored) event()        {}
