package maintenance

// Kind is what an entry does.
type Kind uint8

// The entries.
const (
	NoOp          Kind = iota
	Join               // Party
	Leave              // Name, Inc: it has stopped and has nothing open anywhere
	Forget             // Name: staff vouch that no process of that name runs
	RemoveExpired      // Name, Inc: a dead party's lease has run out
	Acknowledge        // Notes: up to where parties know the state
	Submit             // Order
	Pause              // Name: an order
	Resume             // Name: an order
	Cancel             // Name: an order
	Grant              // Machine, Fact
	Clear              // Notes: parties have nothing at a machine, of a grant
	SetFree            // Machine, Index: its grant; Expired: parties whose lease has surely run out
	SetOut             // Machine: staff work on it
	Return             // Machine: it takes requests again
	SetDone            // Machine
	Fail               // Machine, Why
	Revoke             // Machine, Index, Why: its room is needed, and it is not free yet
	Announce           // Machine, Fact: it may go out next; who is cut off from now on sends nothing new there
	RaiseLevel         // Index: all understand entries of this level from now on
)

// Levels of what entries may say. A leader proposes nothing that a voter or party does not understand.
const (
	LevelFirst   = 1
	LevelResume  = 2 // parties that go on by their disk's knowledge, measured room, hot keys
	CurrentLevel = LevelResume
)

// Report is what a party has said.
type Report struct {
	Participant string `cbor:"1,keyasint"`
	Index       uint64 `cbor:"2,keyasint"` // Know: of the state; Clear: of the grant
	Machine     string `cbor:"3,keyasint,omitempty"`
}

// Facts is what the leader saw when it chose a machine. The guards hold it against the order.
type Facts struct {
	WeightLeft float64 `cbor:"1,keyasint"` // weight in service once the machine is out
	ZoneLeft   int     `cbor:"2,keyasint"` // machines in service in its zone then
	Voter      bool    `cbor:"3,keyasint,omitempty"`
	Capacity   float64 `cbor:"4,keyasint,omitempty"` // requests that the rest could hold then; 0: not known
	InFlight   float64 `cbor:"5,keyasint,omitempty"` // requests in work at machines, all proxies together
	HotKey     bool    `cbor:"6,keyasint,omitempty"` // it now serves a key that is a machine's load by itself
}

// Command is an entry.
type Command struct {
	Kind        Kind         `cbor:"1,keyasint"`
	Call        string       `cbor:"2,keyasint,omitempty"` // the operators' id: carried out once
	Participant *Participant `cbor:"3,keyasint,omitempty"`
	Name        string       `cbor:"4,keyasint,omitempty"`
	Inc         uint64       `cbor:"5,keyasint,omitempty"`
	Reports     []Report     `cbor:"6,keyasint,omitempty"`
	Order       *Order       `cbor:"7,keyasint,omitempty"`
	Machine     string       `cbor:"8,keyasint,omitempty"`
	Index       uint64       `cbor:"9,keyasint,omitempty"`
	Expired     []string     `cbor:"10,keyasint,omitempty"`
	Why         string       `cbor:"11,keyasint,omitempty"`
	Facts       *Facts       `cbor:"12,keyasint,omitempty"`
}
