// Package lilacglade makes the decisions of a reverse proxy that spreads
// requests over HTTP servers: which server, for how long, whether to try again,
// to refuse or to fail.
//
// A proxy creates one Balancer, hands it every Event as it happens together with
// the time, and carries out the Actions that come back, in their order. A Balancer
// does no I/O, has no clock and starts no goroutine; it is not safe for concurrent
// use, so one goroutine owns it. The same events give the same actions.
//
// Events that break the contract do no harm: a Request of an unknown class is failed at once, one
// with an id still in use is ignored, and so are outcomes, timers and departures of requests that
// have ended, outcomes of attempts that are not out, and events of servers not listed. Bodies and
// lists handed over are not kept. The slice of actions is used again by the next call.
//
// Deliver a Request when it has been read, its Outcome when an attempt ends (time-outs included:
// one that reaches the client's time is reported TimedOut), and a List whenever the list of servers
// changes or a call for it fails. Until its one final answer a request without attempts is held.
//
// Times are durations on the proxy's own clock, which may start anywhere and never
// goes back. The Balancer keeps memory for each request until it has ended and its
// attempts have come back, and for each server while the list names it.
package lilacglade

import "time"

// ServerID names a server. It is the same at every proxy and says nothing else.
type ServerID uint64

// RequestID names a request. Ids are never used twice.
type RequestID uint64

// Effect says whether a request of a class may run more than once.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // a Group of servers drops repeats for the class's Memory
	Unsafe               // must never run twice
)

// Group says which servers share the knowledge of a keyed request's repeats.
type Group uint8

// The groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests.
type Class struct {
	Name      string
	Aim       time.Duration // an answer within it earns the full worth
	Deadline  time.Duration // how long a client waits over all its tries
	Worth     float64
	LateWorth float64 // part of the worth that an answer after the aim earns
	Effect    Effect
	Group     Group         // for Keyed
	Memory    time.Duration // for Keyed: how long the group drops repeats
	Stream    bool
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name      string
	Allowance float64 // requests a second over all proxies that count in full
}

// LoadField names a value of a load report.
type LoadField uint8

// The load fields that the Balancer knows; it skips LoadOther.
const (
	LoadOther LoadField = iota
	LoadInFlight
	LoadQueue
	LoadUtil
	LoadLatency
	LoadRate
	LoadErrors
)

// Settings is what a Balancer knows from its start on.
type Settings struct {
	Me, Balancers  int // this proxy's number, and how many there are
	Zone, Zones    int
	Classes        []Class
	Offered        int // so many of Classes are offered, the rest only what has begun has; 0: all
	Tenants        []Tenant
	Report         []LoadField // order of the values in a LoadReport
	WorthByWork    bool        // worth is counted for each unit of work, not for each request
	OverShareWorth float64     // worth of what a tenant sends beyond its allowance, as a part
	CrossZonePrice float64     // points for an attempt that leaves the zone
	HeldPrice      float64     // points for a mean of 100 connections held to each server
	AskForList     bool        // the list comes only when asked for with Subscribe
	AskEvery       time.Duration
	MaxAttempts    int
	SecondCopies   bool // two attempts of one request may be out at once
	Cancel         bool
	MaxRetryAfter  time.Duration // longest advice that clients heed; 0 when they get none
	ConnectTimeout time.Duration
	ColdShare      float64       // part of its capacity that a fresh server has at least
	WarmWithin     time.Duration // and the time by which it has all of it
	TipMultiple    float64       // a cold server sent more than this multiple of its capacity
	TipWindow      time.Duration // for this long falls over
	DrainGrace     time.Duration
	AnswerSlack    time.Duration
}

// State is what the list says of a server.
type State uint8

// The states of a server.
const (
	Ready State = iota
	Draining
	Gone
)

// Server is one line of the list of servers.
type Server struct {
	ID         ServerID
	Zone, Cell int
	Kind       int // servers of one kind are expected to be about as fast for their weight
	State      State
	Weight     float64       // listed size; 0 counts as 1
	Started    time.Duration // when it last started, on the proxy's clock; 0 is long ago
}

// LoadReport is what a server says of its load, in the order of Settings.Report.
type LoadReport struct {
	N      int // values present; 0 when there was no report
	Values [4]float64
}

// Result is how an attempt ended.
type Result uint8

// The results. NeverRan tells which of them prove that the attempt did not run.
const (
	OK Result = iota
	ServerError
	Full
	TimedOut
	ConnectFailed
	Reset
	Canceled
	Moot
	LocalFault // this machine could not open a connection to any server just then: none is to blame
)

var resultNames = [...]string{OK: "ok", ServerError: "error", Full: "full", TimedOut: "late",
	ConnectFailed: "noconn", Reset: "reset", Canceled: "canceled", Moot: "moot",
	LocalFault: "local"}

// String is the result's name in logs and figures.
func (r Result) String() string { return resultNames[r] }

// NeverRan reports whether r proves that the attempt never ran.
func (r Result) NeverRan() bool {
	return r == Full || r == ConnectFailed || r == Moot || r == LocalFault
}

// Event is something that happened at the proxy: a Request, Outcome, AnswerStarted,
// Departed, Timer, List, ListLease, ProbeResult or PeerMessage.
type Event interface{ event() }

// Request is a client's request. The Balancer owes it one final answer within Budget.
type Request struct {
	ID     RequestID
	Class  int // index into Settings.Classes
	Tenant int // index into Settings.Tenants
	Key    uint64
	HasKey bool
	Budget time.Duration // time left before the client gives up
	Cost   time.Duration // expected work on a standard core; 0 when unknown
	Repeat bool          // marked by the client as a repeat
	Stream bool          // its bytes are passed on as they come in: it may not be there to be sent again
}

// Outcome ends an attempt. Each Send gets exactly one.
type Outcome struct {
	Request RequestID
	Attempt int // 0 for the request's first Send, then 1, 2, ...
	Server  ServerID
	Result  Result
	Closed  bool // the request has had its final answer, by this outcome or before
	Latency time.Duration
	Load    LoadReport
	Gone    bool // the request's bytes are not there any more: it can't be sent again
}

// AnswerStarted says that a streamed answer has begun: the request has no deadline now.
type AnswerStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
}

// Departed says that the client has gone: no answer is owed any more.
type Departed struct{ Request RequestID }

// Timer is due, as asked for with SetTimer.
type Timer struct{ Token uint32 }

// ListKind says what a List holds.
type ListKind uint8

// The kinds of list.
const (
	Changes    ListKind = iota // only what has changed
	FullList                   // everything; a server that is missing is gone
	CachedList                 // everything as last known, maybe outdated
	ListFailed                 // a call failed or the subscription broke; nothing is listed
)

// List brings news of the servers. Servers is read during Handle only.
type List struct {
	Kind    ListKind
	Servers []Server
}

// ListLease says whether the list may be used: where it has expired, what changed since may count as notified
// though no call brought it, and nothing new may be sent until it holds again. It holds from the start.
type ListLease struct{ Expired bool }

// ProbeResult is the end of a probe.
type ProbeResult struct {
	Server  ServerID
	Result  Result
	Latency time.Duration
	Load    LoadReport
}

// PeerMessage came from another proxy.
type PeerMessage struct {
	From int
	Body []byte
}

func (Request) event()       {}
func (Outcome) event()       {}
func (AnswerStarted) event() {}
func (Departed) event()      {}
func (Timer) event()         {}
func (List) event()          {}
func (ListLease) event()     {}
func (ProbeResult) event()   {}
func (PeerMessage) event()   {}

// Do says what an Action asks for.
type Do uint8

// The actions.
const (
	Send      Do = iota // send Request to Server, giving up after For (0: when the client does)
	Refuse              // final answer: not done, try again; For is advice when to (0: none)
	Fail                // final answer: no promise whether it ran
	SetTimer            // deliver Timer{Token} after For
	Subscribe           // ask for the list's changes from here on; a List answers
	Log                 // a line for the operator
)

// Action is something for the proxy to do. Which fields count depends on Do.
type Action struct {
	Do      Do
	Request RequestID
	Server  ServerID
	For     time.Duration
	Within  time.Duration // Send: its first byte is written so soon, or never (ConnectFailed); 0: no matter
	Token   uint32
	Text    string
}
