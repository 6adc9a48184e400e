// Package lilacglade is the decision module of a reverse proxy that distributes requests over HTTP
// servers. It selects the server and the timeout of each attempt, and decides whether to retry,
// shed or fail a request.
//
// A proxy creates one Balancer, passes it every Event with the time at which it happened, and
// carries out the returned Actions in order. A Balancer does no I/O, has no clock and starts no
// goroutine. It is not safe for concurrent use, so one goroutine owns it. It is deterministic: the
// same events give the same actions.
//
// Events that break the contract are harmless. A Request of an unknown class fails at once, and one
// with an id that is in use is ignored. So are outcomes, timers and departures of requests that
// have ended, outcomes of attempts that are not outstanding, and events of servers that are not
// listed. A Balancer keeps no reference to message bodies and lists passed to it. The returned
// slice of actions is reused by the next call.
//
// Deliver a Request once it has been read, its Outcome when an attempt ends (timeouts included: an
// attempt that reaches the client's deadline is reported as TimedOut), and a List whenever the
// server list changes or a call for it fails. A request without an outstanding attempt is held
// until its one final answer.
//
// Times are durations on the proxy's own clock, which may start anywhere and never goes back. The
// Balancer keeps memory for each request until it has been answered and its attempts have ended,
// and for each server while it is listed.
package lilacglade

import "time"

// ServerID identifies a server. It is the same at every proxy and carries no other information.
type ServerID uint64

// RequestID identifies a request. IDs are never reused.
type RequestID uint64

// Effect classifies requests by whether they may run more than once.
type Effect uint8

// The effects of a request.
const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // a Group of servers drops repeats within the class's Memory
	Unsafe               // must never run twice
)

// Group is the set of servers that share the deduplication state of a keyed request.
type Group uint8

// The groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes a class of requests.
type Class struct {
	Name      string
	Aim       time.Duration // target latency: an answer within it earns the full Worth
	Deadline  time.Duration // total time that a client waits, over all its attempts
	Worth     float64
	LateWorth float64 // fraction of Worth that an answer after Aim earns
	Effect    Effect
	Group     Group         // only for Keyed
	Memory    time.Duration // only for Keyed: how long the group drops repeats
	Stream    bool
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name      string
	Allowance float64 // requests per second, over all proxies, that count in full
}

// LoadField identifies a value of a load report.
type LoadField uint8

// The load fields that the Balancer knows. It ignores LoadOther.
const (
	LoadOther LoadField = iota
	LoadInFlight
	LoadQueue
	LoadUtil
	LoadLatency
	LoadRate
	LoadErrors
)

// Settings configures a Balancer.
type Settings struct {
	Me, Balancers int // index of this proxy, and the number of proxies
	Zone, Zones   int
	Classes       []Class
	// Number of Classes that are offered to new requests. The remaining classes serve only requests
	// that have already begun. 0 means all.
	Offered        int
	Tenants        []Tenant
	Report         []LoadField // order of the values in a LoadReport
	WorthByWork    bool        // Worth counts per unit of work instead of per request
	OverShareWorth float64     // fraction of the worth that requests beyond a tenant's allowance have
	CrossZonePrice float64     // points per attempt that leaves the zone
	HeldPrice      float64     // points per 100 connections held to each server, on average
	AskForList     bool        // the list is only sent in response to Subscribe
	AskEvery       time.Duration
	MaxAttempts    int
	SecondCopies   bool // a request may have two attempts in flight at once
	Cancel         bool
	MaxRetryAfter  time.Duration // longest Retry-After that clients honor; 0 if none is sent
	ConnectTimeout time.Duration
	ColdShare      float64       // minimum fraction of its capacity that a server in slow start has
	WarmWithin     time.Duration // duration of slow start, after which it has all of it
	TipMultiple    float64       // a server in slow start that is sent more than this multiple
	TipWindow      time.Duration // of its capacity over this window collapses
	DrainGrace     time.Duration
	AnswerSlack    time.Duration
}

// State is the listed state of a server.
type State uint8

// The states of a server.
const (
	Ready State = iota
	Draining
	Gone
)

// Server is an entry of the server list.
type Server struct {
	ID         ServerID
	Zone, Cell int
	Kind       int // servers of one kind are expected to have similar speed per weight
	State      State
	Weight     float64       // listed size; 0 counts as 1
	Started    time.Duration // start of the process on the proxy's clock; 0 if long ago
}

// LoadReport is the load that a server reports, in the order of Settings.Report.
type LoadReport struct {
	N      int // number of values present; 0 without a report
	Values [4]float64
}

// Result is the result of an attempt.
type Result uint8

// The results. NeverRan reports which of them prove that the attempt did not run.
const (
	OK Result = iota
	ServerError
	Full
	TimedOut
	ConnectFailed
	Reset
	Canceled
	Moot
	LocalFault // no connection to any server could be opened, for a local reason
)

var resultNames = [...]string{OK: "ok", ServerError: "error", Full: "full", TimedOut: "late",
	ConnectFailed: "noconn", Reset: "reset", Canceled: "canceled", Moot: "moot",
	LocalFault: "local"}

// String returns the result's name in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// NeverRan reports whether r proves that the attempt never ran.
func (r Result) NeverRan() bool {
	return r == Full || r == ConnectFailed || r == Moot || r == LocalFault
}

// Event is an input of the Balancer: a Request, Arrived, Outcome, AnswerStarted, Departed, Timer, List,
// ListLease, ProbeResult or PeerMessage.
type Event interface{ event() }

// Request is a client's request. The Balancer gives it one final answer within Budget.
type Request struct {
	ID     RequestID
	Class  int // index into Settings.Classes
	Tenant int // index into Settings.Tenants
	Key    uint64
	HasKey bool
	Budget time.Duration // time until the client gives up
	Cost   time.Duration // expected work on a standard core; 0 if unknown
	Repeat bool          // marked by the client as a repeat
	Stream bool          // the body is streamed and may not be available for a retry; Arrived follows
}

// Arrived reports that the last byte of a streamed request has arrived.
type Arrived struct{ Request RequestID }

// Outcome ends an attempt. Each Send gets exactly one.
type Outcome struct {
	Request RequestID
	Attempt int // 0 for the request's first Send, then 1, 2, ...
	Server  ServerID
	Result  Result
	Closed  bool // the request has had its final answer, from this outcome or earlier
	Latency time.Duration
	Load    LoadReport
	Gone    bool // the request body is no longer available, so no retry is possible
}

// AnswerStarted reports the start of a streamed answer. The request has no deadline any more.
type AnswerStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
}

// Departed reports that the client has gone and that the request needs no answer.
type Departed struct{ Request RequestID }

// Timer reports the expiry of a timer set with SetTimer.
type Timer struct{ Token uint32 }

// ListKind is the kind of a List.
type ListKind uint8

// The kinds of list.
const (
	Changes    ListKind = iota // only the servers that changed
	FullList                   // all servers; a known server that is missing is gone
	CachedList                 // all servers as last known, possibly outdated
	ListFailed                 // a call failed or the subscription broke; Servers is empty
)

// List is an update of the server list. Servers is only read during Handle.
type List struct {
	Kind    ListKind
	Servers []Server
}

// ListLease reports whether the server list may be used. After the lease has expired, later changes
// may count as notified although no call delivered them, so nothing may be sent until the lease is
// valid again. It is valid at the start.
type ListLease struct{ Expired bool }

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Server  ServerID
	Result  Result
	Latency time.Duration
	Load    LoadReport
}

// PeerMessage is a message from another proxy.
type PeerMessage struct {
	From int
	Body []byte
}

func (Request) event()       {}
func (Arrived) event()       {}
func (Outcome) event()       {}
func (AnswerStarted) event() {}
func (Departed) event()      {}
func (Timer) event()         {}
func (List) event()          {}
func (ListLease) event()     {}
func (ProbeResult) event()   {}
func (PeerMessage) event()   {}

// Do is the kind of an Action.
type Do uint8

// The actions.
const (
	Send      Do = iota // send Request to Server and give up after For (0: when the client does)
	Refuse              // final answer: not done, may be retried; For is the advised delay (0: none)
	Fail                // final answer: the request may or may not have run
	SetTimer            // deliver Timer{Token} after For
	Subscribe           // subscribe to changes of the list from now on; a List answers
	Log                 // a log line for the operator
)

// Action is something that the proxy has to do. The fields in use depend on Do.
type Action struct {
	Do      Do
	Request RequestID
	Server  ServerID
	For     time.Duration
	Within  time.Duration // Send: write the first byte within this time or never (ConnectFailed); 0: no limit
	Token   uint32
	Text    string
}
