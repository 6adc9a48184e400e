package coordination

import (
	"lilacglade/internal/consensus"
	"lilacglade/internal/maintenance"
)

// Event is something that happened: a Tick, Received, Asked, Stopped, Inventory, Load, Leaving or DiskLost.
type Event interface{ event() }

type (
	// Tick is due every TickEvery.
	Tick struct{}
	// MessageReceived brings a peer's message.
	MessageReceived struct{ Raw []byte }
	// CallReceived brings an operators' call; Reply with the token follows.
	CallReceived struct {
		Token uint64
		Call  Call
	}
	// RestrictionsApplied says up to where the reducer keeps to the Facts, and that it has nothing at these machines, of
	// these grants.
	RestrictionsApplied struct {
		Index uint64
		Clear []maintenance.Mark
	}
	// Inventory is the machines as discovery lists them now.
	Inventory struct{ Machines []maintenance.Seen }
	// Load counts requests since the last Load, those that are in work at machines now, and what was measured.
	Load struct {
		Handled, Shed uint64
		InFlight      float64
		Ejected       []string // machines that it has set aside
		Hot           []string // machines where it sends a hot key
		Capacities    []Capacity
	}
	// Leaving says that the proxy has ended all it had open; Left follows.
	Leaving struct{}
	// DiskLost says that a Write failed: nothing behind it was done.
	DiskLost struct{}
	// DiskRestored says that the disk can be written again, and what is on it.
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
