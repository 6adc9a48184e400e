package coordination

import (
	"time"

	"lilacglade/internal/maintenance"
)

// firstVersion is the lowest version of a message that is accepted. A message with a later version is
// decoded as far as it is understood; which entries the log may contain follows from the lowest version
// of all proxies (see LevelNow).
const firstVersion = 1

// Envelope is one message between proxies. Either Raft or exactly one of the pointers is set.
type Envelope struct {
	Version     uint8  `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	ID          uint64 `cbor:"4,keyasint"`
	Boot        uint64 `cbor:"5,keyasint"`
	Addr        string `cbor:"6,keyasint"`
	Cluster     uint64 `cbor:"7,keyasint,omitempty"` // identity of the sender's log; 0: none yet
	To          string `cbor:"8,keyasint"`           // receiver; detects a relay or address that leads elsewhere

	Raft   []byte  `cbor:"10,keyasint,omitempty"`
	Hello  *Hello  `cbor:"11,keyasint,omitempty"`
	Renew  *Renew  `cbor:"12,keyasint,omitempty"`
	Lease  *Lease  `cbor:"13,keyasint,omitempty"`
	Call   *Call   `cbor:"14,keyasint,omitempty"`
	Answer *Answer `cbor:"15,keyasint,omitempty"`
}

// Hello is exchanged among the initial voters until the log exists, and sent by a restarted voter.
type Hello struct {
	Blank      bool   `cbor:"1,keyasint,omitempty"` // the sender has never been part of a log
	WantReply  bool   `cbor:"2,keyasint,omitempty"` // a reply is requested
	LatestBoot uint64 `cbor:"3,keyasint,omitempty"` // reply: latest known start of the receiver's identity
	ForID      uint64 `cbor:"4,keyasint,omitempty"` // reply: that identity
	Match      uint64 `cbor:"5,keyasint,omitempty"` // reply of a leader: last log entry stored at the receiver
	Leader     string `cbor:"6,keyasint,omitempty"` // reply: leader's name, as far as the sender knows
}

// Renew requests or renews a lease.
type Renew struct {
	Seq          uint64             `cbor:"1,keyasint"`
	KnownIndex   uint64             `cbor:"2,keyasint"`           // index of the state that it enforces
	Clear        []maintenance.Mark `cbor:"3,keyasint,omitempty"` // marks of machines where it has nothing open
	Grace        time.Duration      `cbor:"4,keyasint"`           // longest time that its requests may take
	Leaving      bool               `cbor:"5,keyasint,omitempty"` // it has nothing open any more
	Handled      uint64             `cbor:"6,keyasint,omitempty"` // requests since the previous renewal
	Shed         uint64             `cbor:"7,keyasint,omitempty"` // requests of Handled that were shed
	Ejected      []string           `cbor:"8,keyasint,omitempty"` // machines ejected by outlier detection
	LastAnswered uint64             `cbor:"9,keyasint,omitempty"` // sequence number of the last answered renewal
	// ResumeIndex is the index of the state from which it resumes until its first lease.
	ResumeIndex uint64     `cbor:"10,keyasint,omitempty"`
	InFlight    float64    `cbor:"11,keyasint,omitempty"` // recent mean of its requests in flight at machines
	Capacities  []Capacity `cbor:"12,keyasint,omitempty"` // of some machines, in round-robin order
	Hot         []string   `cbor:"13,keyasint,omitempty"` // machines to which it sends a hot key
}

// Capacity is a proxy's estimate of a machine's capacity.
type Capacity struct {
	Machine  string  `cbor:"1,keyasint"`
	Requests float64 `cbor:"2,keyasint"` // concurrent requests, from all proxies together
}

// Lease carries the agreed state, and answers a Renew if Seq is set. Without a Duration it grants no
// lease: the sender doesn't lead, or hasn't yet added the participant.
type Lease struct {
	Seq           uint64             `cbor:"1,keyasint,omitempty"`
	Duration      time.Duration      `cbor:"2,keyasint,omitempty"`
	RenewInterval time.Duration      `cbor:"3,keyasint,omitempty"` // interval between renewals
	Grace         time.Duration      `cbor:"4,keyasint,omitempty"` // longest Grace of any participant ever
	Index         uint64             `cbor:"5,keyasint,omitempty"` // index of the state that follows; 0: none
	Named         []string           `cbor:"6,keyasint,omitempty"` // machines that may go out
	Marked        []maintenance.Mark `cbor:"7,keyasint,omitempty"` // machines to which nothing new may be sent
	Voters        []Voter            `cbor:"8,keyasint,omitempty"`
	Leader        string             `cbor:"9,keyasint,omitempty"`  // leader's name, as far as the sender knows
	Left          bool               `cbor:"10,keyasint,omitempty"` // the participant has left
	// Retire says that the participant's disk is older than its earlier messages.
	Retire bool `cbor:"11,keyasint,omitempty"`
	// RenewNow says that the participant had received no answers recently and may renew at once.
	RenewNow bool   `cbor:"12,keyasint,omitempty"`
	Level    uint64 `cbor:"13,keyasint,omitempty"` // protocol level of the log
}

// Voter is a proxy that votes on the log.
type Voter struct {
	ID   uint64 `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`
}

// Call is an operator's call, forwarded to the leader.
type Call struct {
	ID        string               `cbor:"1,keyasint"`
	Command   *maintenance.Command `cbor:"2,keyasint,omitempty"`
	Spec      *maintenance.Spec    `cbor:"3,keyasint,omitempty"` // specification of an order to submit
	Status    bool                 `cbor:"4,keyasint,omitempty"` // a status request
	FullState bool                 `cbor:"5,keyasint,omitempty"` // with Status: includes the whole state
}

// Answer is the result of a Call. If neither Done nor Err is set, the sender doesn't lead.
type Answer struct {
	ID     string `cbor:"1,keyasint"`
	Done   bool   `cbor:"2,keyasint,omitempty"`
	Err    string `cbor:"3,keyasint,omitempty"`
	Status string `cbor:"4,keyasint,omitempty"`
	Leader string `cbor:"5,keyasint,omitempty"`
	State  []byte `cbor:"6,keyasint,omitempty"` // encoded maintenance.State
}

// voterChange is the context of a change of the voters.
type voterChange struct {
	Cluster uint64  `cbor:"1,keyasint"`
	Voters  []Voter `cbor:"2,keyasint"`
}

// batch is the content of a log entry.
type batch struct {
	Nonce    uint64                `cbor:"1,keyasint"`
	Commands []maintenance.Command `cbor:"2,keyasint"`
}

// replica is the replicated state, the same at all that follow the log.
type replica struct {
	Maintenance *maintenance.State `cbor:"1,keyasint"`
	Voters      map[uint64]Voter   `cbor:"2,keyasint"`
	Cluster     uint64             `cbor:"3,keyasint"`
}

// DurableRecord is stored on the disk beside the log.
type DurableRecord struct {
	Cluster uint64 `cbor:"1,keyasint"`
	// The state that this proxy has reported as known: Named lists all machines that could go out without
	// its consent. Index 0: it has reported none, or has left.
	Index uint64        `cbor:"2,keyasint,omitempty"`
	Named []string      `cbor:"3,keyasint,omitempty"`
	Grace time.Duration `cbor:"4,keyasint,omitempty"`
}
