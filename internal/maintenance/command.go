package maintenance

// Kind is the kind of a log entry. Its values are encoded: their order must not change.
type Kind uint8

// Kinds of entries, with the fields of Command that they use.
const (
	NoOp          Kind = iota
	Join               // Participant
	Leave              // Name, Inc: the process has stopped and has no open requests
	Forget             // Name: an operator confirms that no process of that name is running
	RemoveExpired      // Name, Inc: the lease of a dead participant has expired
	Acknowledge        // Reports: the index up to which each participant knows the state
	Submit             // Order
	Pause              // Name: an order
	Resume             // Name: an order
	Cancel             // Name: an order
	Grant              // Machine, Facts
	Clear              // Reports: participants have no requests at a machine since a grant
	SetFree            // Machine, Index: its grant; Expired: participants with expired leases
	SetOut             // Machine: an operator is working on it
	Return             // Machine: it takes requests again
	SetDone            // Machine
	Fail               // Machine, Why
	Revoke             // Machine, Index, Why: ends a grant, since the capacity is needed
	Announce           // Machine, Facts: it may go out next; proxies cut off from now on avoid it
	RaiseLevel         // Index: from now on all voters and participants understand entries of this level
)

// Feature levels of the log. A leader proposes no entry that a voter or participant does not
// understand.
const (
	LevelFirst   = 1
	LevelResume  = 2 // participants that resume from their disk, measured capacity, hot keys
	CurrentLevel = LevelResume
)

// Report is what a participant has reported about itself.
type Report struct {
	Participant string `cbor:"1,keyasint"`
	Index       uint64 `cbor:"2,keyasint"` // Acknowledge: of the state; Clear: of the grant
	Machine     string `cbor:"3,keyasint,omitempty"`
}

// Facts is the fleet as the leader saw it when it chose a machine. Preconditions compare it with the
// order's limits.
type Facts struct {
	WeightLeft float64 `cbor:"1,keyasint"` // weight in service without the machine
	ZoneLeft   int     `cbor:"2,keyasint"` // machines in service in its zone without it
	Voter      bool    `cbor:"3,keyasint,omitempty"`
	Capacity   float64 `cbor:"4,keyasint,omitempty"` // requests that the others can handle at once; 0: unknown
	InFlight   float64 `cbor:"5,keyasint,omitempty"` // requests in flight at machines, of all proxies
	HotKey     bool    `cbor:"6,keyasint,omitempty"` // it serves a key whose load alone fills a machine
}

// Command is the content of a log entry.
type Command struct {
	Kind        Kind         `cbor:"1,keyasint"`
	Call        string       `cbor:"2,keyasint,omitempty"` // the operator's id: executed once
	Participant *Participant `cbor:"3,keyasint,omitempty"`
	Name        string       `cbor:"4,keyasint,omitempty"`
	Inc         uint64       `cbor:"5,keyasint,omitempty"`
	Reports     []Report     `cbor:"6,keyasint,omitempty"`
	Order       *Order       `cbor:"7,keyasint,omitempty"`
	Machine     string       `cbor:"8,keyasint,omitempty"`
	Index       uint64       `cbor:"9,keyasint,omitempty"`
	Expired     []string     `cbor:"10,keyasint,omitempty"`
	Why         string       `cbor:"11,keyasint,omitempty"` // the reason that operators read
	Facts       *Facts       `cbor:"12,keyasint,omitempty"`
}
