package coordination

import (
	"time"

	"lilacglade/internal/maintenance"
)

// firstVersion is the least that a message may say it speaks; one that speaks a later one is understood as
// far as it goes, and what the log may say follows from the least of all (maintenance.LevelNow).
const firstVersion = 1

// Envelope is one message between proxies. Exactly one of the pointers is set, or Raft.
type Envelope struct {
	Version     uint8  `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	ID          uint64 `cbor:"4,keyasint"`
	Boot        uint64 `cbor:"5,keyasint"`
	Addr        string `cbor:"6,keyasint"`
	Cluster     uint64 `cbor:"7,keyasint,omitempty"` // 0: of none yet
	To          string `cbor:"8,keyasint"`           // guards against a relay or an address that leads elsewhere

	Raft   []byte  `cbor:"10,keyasint,omitempty"`
	Hello  *Hello  `cbor:"11,keyasint,omitempty"`
	Renew  *Renew  `cbor:"12,keyasint,omitempty"`
	Lease  *Lease  `cbor:"13,keyasint,omitempty"`
	Call   *Call   `cbor:"14,keyasint,omitempty"`
	Answer *Answer `cbor:"15,keyasint,omitempty"`
}

// Hello is exchanged among founders until there is a log, and by a voter that has started.
type Hello struct {
	Blank      bool   `cbor:"1,keyasint,omitempty"` // the sender has never been part of a log
	WantReply  bool   `cbor:"2,keyasint,omitempty"` // an answer is wanted
	LatestBoot uint64 `cbor:"3,keyasint,omitempty"` // answer: the latest start known of the receiver's identity
	ForID      uint64 `cbor:"4,keyasint,omitempty"` // answer: that identity
	Match      uint64 `cbor:"5,keyasint,omitempty"` // answer of a leader: the last entry known to be there
	Leader     string `cbor:"6,keyasint,omitempty"` // answer: who leads, as far as the sender knows
}

// Renew asks for a lease.
type Renew struct {
	Seq          uint64             `cbor:"1,keyasint"`
	KnownIndex   uint64             `cbor:"2,keyasint"` // the state it knows
	Clear        []maintenance.Mark `cbor:"3,keyasint,omitempty"`
	Grace        time.Duration      `cbor:"4,keyasint"`
	Leaving      bool               `cbor:"5,keyasint,omitempty"` // it has stopped, and has nothing open anywhere
	Handled      uint64             `cbor:"6,keyasint,omitempty"` // requests since the call before
	Shed         uint64             `cbor:"7,keyasint,omitempty"` // of them
	Ejected      []string           `cbor:"8,keyasint,omitempty"` // machines that it has set aside
	LastAnswered uint64             `cbor:"9,keyasint,omitempty"` // the last call that was answered
	// until its first lease it may go by the state then
	ResumeIndex uint64     `cbor:"10,keyasint,omitempty"`
	InFlight    float64    `cbor:"11,keyasint,omitempty"` // its requests in work at machines, lately
	Capacities  []Capacity `cbor:"12,keyasint,omitempty"` // of some machines, by turns
	Hot         []string   `cbor:"13,keyasint,omitempty"` // machines where it sends a hot key
}

// Capacity is what a proxy measured of a machine.
type Capacity struct {
	Machine  string  `cbor:"1,keyasint"`
	Requests float64 `cbor:"2,keyasint"` // requests that it can hold, of all proxies
}

// Lease tells the state, and answers a Renew where Seq is set. With no For it is no lease: the sender does
// not lead, or has yet to take the asker in.
type Lease struct {
	Seq           uint64             `cbor:"1,keyasint,omitempty"`
	Duration      time.Duration      `cbor:"2,keyasint,omitempty"`
	RenewInterval time.Duration      `cbor:"3,keyasint,omitempty"` // the pace of renewals
	Grace         time.Duration      `cbor:"4,keyasint,omitempty"`
	Index         uint64             `cbor:"5,keyasint,omitempty"` // of the state that follows; 0: none does
	Named         []string           `cbor:"6,keyasint,omitempty"`
	Marked        []maintenance.Mark `cbor:"7,keyasint,omitempty"`
	Voters        []Voter            `cbor:"8,keyasint,omitempty"`
	Leader        string             `cbor:"9,keyasint,omitempty"` // as far as the sender knows
	Left          bool               `cbor:"10,keyasint,omitempty"`
	// the asker's disk is older than what it said before
	Retire bool `cbor:"11,keyasint,omitempty"`
	// it had not heard answers lately: it may ask at once
	RenewNow bool   `cbor:"12,keyasint,omitempty"`
	Level    uint64 `cbor:"13,keyasint,omitempty"` // of the log
}

// Voter is one of those who agree on the log.
type Voter struct {
	ID   uint64 `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`
}

// Call passes an operators' call on to the leader.
type Call struct {
	ID        string               `cbor:"1,keyasint"`
	Command   *maintenance.Command `cbor:"2,keyasint,omitempty"`
	Spec      *maintenance.Spec    `cbor:"3,keyasint,omitempty"` // an order to be made of it
	Status    bool                 `cbor:"4,keyasint,omitempty"` // how things stand
	FullState bool                 `cbor:"5,keyasint,omitempty"` // with Status: as the whole state, for a judge
}

// Answer ends a Call. Where neither Done nor Err is set, the sender doesn't lead.
type Answer struct {
	ID     string `cbor:"1,keyasint"`
	Done   bool   `cbor:"2,keyasint,omitempty"`
	Err    string `cbor:"3,keyasint,omitempty"`
	Status string `cbor:"4,keyasint,omitempty"`
	Leader string `cbor:"5,keyasint,omitempty"`
	State  []byte `cbor:"6,keyasint,omitempty"` // as maintenance.Encode words it
}

// founding is the context of a change of the voters.
type founding struct {
	Cluster uint64  `cbor:"1,keyasint"`
	Voters  []Voter `cbor:"2,keyasint"`
}

// batch is an entry of the log.
type batch struct {
	Nonce    uint64                `cbor:"1,keyasint"`
	Commands []maintenance.Command `cbor:"2,keyasint"`
}

// replica is what all who follow the log hold alike.
type replica struct {
	Work    *maintenance.State `cbor:"1,keyasint"`
	Voters  map[uint64]Voter   `cbor:"2,keyasint"`
	Cluster uint64             `cbor:"3,keyasint"`
}

// DurableRecord is what is kept on the disk beside the log.
type DurableRecord struct {
	Cluster uint64 `cbor:"1,keyasint"`
	// What this proxy has said that it knows: all that could go out without its word is in Named. Index 0: it
	// has said nothing, or has left.
	Index uint64        `cbor:"2,keyasint,omitempty"`
	Named []string      `cbor:"3,keyasint,omitempty"`
	Grace time.Duration `cbor:"4,keyasint,omitempty"`
}
