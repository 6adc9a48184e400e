// Package reducer holds the state machine of the proxy. Every change of its state is a Step, which
// takes an event and the absolute time and returns the effects to carry out, in order. It owns the
// Balancer, the requests, their attempts, the connections to clients and to servers, the pool and all
// deadlines. It does no I/O, reads no clock, starts no goroutine and knows no protocol: payloads of
// requests and answers are opaque to it.
package reducer

import (
	"time"

	lg "lilacglade"
	"lilacglade/internal/pool"
)

// ConnID identifies a connection. The IDs of client connections are assigned by whoever accepts them,
// those of server connections by the pool; the two ranges are independent.
type ConnID uint64

// Event is an input of Step: something that happened outside the reducer.
type Event interface{ event() }

// ClientOpened reports that a client connection was accepted.
type ClientOpened struct{ Conn ConnID }

// ClientReading reports that a request has begun to arrive and is incomplete. Deadline is the time by
// which it must be complete, as far as is known; it moves as more arrives, 0 if unknown. BodyAllowance
// is how long the part of the body that has arrived was allowed to take.
type ClientReading struct {
	Conn                    ConnID
	Deadline, BodyAllowance time.Duration
}

// RequestReceived brings a complete request, or the head of one that is streamed. Name is its ID,
// unique among the open requests of all clients. Payload is what a server is sent.
type RequestReceived struct {
	Conn          ConnID
	Name          string
	Class, Tenant int
	Key           uint64
	HasKey        bool
	Deadline      time.Duration // when the client gives up
	Repeat        bool
	Cost          time.Duration // expected work; 0 if unknown
	Payload       any
	Last          bool // the client closes the connection after the answer
	// Stream means that the request is forwarded while it arrives; RequestBodyComplete or
	// RequestBodyFailed follows. Timeout then counts from its last byte, and Deadline is the latest
	// time at which receiving it and the timeout can both have ended.
	Stream  bool
	Timeout time.Duration
	// NameTaken means that the name is in use in another process of this proxy, NameClaimed that this process
	// has claimed it and ReleaseName is due. Both are false where no other process runs.
	NameTaken, NameClaimed bool
}

// NamesShared reports that another process of this proxy runs from now on, or none any more. The names of
// requests are claimed meanwhile.
type NamesShared struct{ On bool }

// NamesLeft brings the names, as hashes, that a process of this proxy had claimed when it ended.
type NamesLeft struct{ Hashes []uint64 }

// RequestBodyArrived reports that the last byte of a streamed request has arrived, though it can't be read
// yet. The request's time counts from it. RequestBodyComplete or RequestBodyFailed may follow.
type RequestBodyArrived struct {
	Conn      ConnID
	ArrivedAt time.Duration
}

// RequestBodyComplete reports that the last byte of a streamed request was read, at ReadAt.
type RequestBodyComplete struct {
	Conn   ConnID
	ReadAt time.Duration
}

// RequestBodyFailed reports that the rest of a streamed request can't be read, or arrived too slowly.
type RequestBodyFailed struct {
	Conn     ConnID
	Payload  any // the answer to give
	TimedOut bool
}

// RequestInvalid reports input that can't be accepted as a request. Last means that the connection
// can't be used again.
type RequestInvalid struct {
	Conn    ConnID
	Payload any // the answer to give
	Last    bool
}

// RequestUnread reports a request that has arrived whole and is not read, for want of memory.
type RequestUnread struct{ Conn ConnID }

// ClientFlooding reports that a client sent too much ahead while its request is in progress. What it
// sent is discarded from here on, and the connection closes after the answer.
type ClientFlooding struct{ Conn ConnID }

// HealthChecked reports that a client asks whether the proxy is ready.
type HealthChecked struct {
	Conn ConnID
	Last bool
}

// ResponseWritten reports that the writing of an answer has ended. Reusable means that the server
// connection from which the answer was streamed can be used again.
type ResponseWritten struct {
	Conn     ConnID
	OK       bool
	Reusable bool
}

// ClientClosed reports that a client connection is gone.
type ClientClosed struct{ Conn ConnID }

// ServerDialed reports the result of a Dial. LocalFault means that it failed because of this machine
// and not because of the server.
type ServerDialed struct {
	Conn       ConnID
	OK         bool
	LocalFault bool
}

// openResult returns the result in the terms of the pool.
func (ev ServerDialed) openResult() pool.OpenResult {
	switch {
	case ev.OK:
		return pool.OpenOK
	case ev.LocalFault:
		return pool.OpenLocalFault
	}
	return pool.OpenFailed
}

// RequestWritten reports the result of a Forward; OK means that the last byte was written. BodyConsumed
// means that what was written can't be sent again.
type RequestWritten struct {
	Conn         ConnID
	OK           bool
	BodyConsumed bool
}

// ServerAnswered brings a complete answer, or a result without one. Reusable means that the connection
// can be used again.
type ServerAnswered struct {
	Conn         ConnID
	Result       lg.Result
	Load         lg.LoadReport
	Payload      any
	Reusable     bool
	BodyConsumed bool // as in RequestWritten
}

// ResponseStarted reports that an answer of unknown length has begun to arrive.
type ResponseStarted struct{ Conn ConnID }

// ResponseStreaming reports that an answer has begun to arrive that is passed on while it arrives.
// Payload is given to the client.
type ResponseStreaming struct {
	Conn    ConnID
	Load    lg.LoadReport
	Payload any
}

// ServerConnUnusable replaces RequestWritten: nothing was written, because before the request the
// connection had received unexpected bytes or its end.
type ServerConnUnusable struct{ Conn ConnID }

// RequestUnsent replaces RequestWritten: nothing was written, because the request's client has left or
// too much time has passed since the decision. The connection can still be used.
type RequestUnsent struct{ Conn ConnID }

// UnexpectedServerData reports bytes on a server connection on which no answer is due.
type UnexpectedServerData struct{ Conn ConnID }

// ServerClosed reports that a server connection is gone.
type ServerClosed struct{ Conn ConnID }

// ListConnected reports that the pending call for the server list has a connection.
type ListConnected struct{}

// ListReceived brings an update of the server list, or a ListFailed.
type ListReceived struct {
	List     lg.List
	Late     bool // the answer to a call that was given up; the pending call is still unanswered
	NextFull bool // the next call asks for the full list and never waits, as the first one does
	// Complete means that the document named every server, though List holds only what changed.
	Complete bool
	// Unusable means that a ListFailed call was answered, with a document that can't be used.
	Unusable bool
	// Replaced are servers that are other processes than before, though they are listed under the same ID.
	Replaced       []lg.ServerID
	ProcessingTime time.Duration // spent on reading and applying the document
}

// Reloaded brings a new configuration: the address of discovery and the limits, as in Config.
type Reloaded struct {
	// Settings apply to requests from now on, as Settings.RetainingClasses returned them; nil leaves them
	// unchanged.
	Settings                   *lg.Settings
	Discovery                  string
	MaxClients, MaxServerConns int
}

// ClientIdleConfirmed answers CheckClientIdle.
type ClientIdleConfirmed struct{ Conn ConnID }

// AcceptQueueDrained answers DrainAcceptQueue.
type AcceptQueueDrained struct{}

// LearnedReceived brings what another process of this proxy had learned, Age ago.
type LearnedReceived struct {
	Age     time.Duration
	Learned lg.Learned
}

// ReloadFailed reports that a new configuration was rejected.
type ReloadFailed struct{}

// TimerFired reports that the time of the last ArmTimer has come.
type TimerFired struct{}

// Stopping asks the proxy to end once everything is answered.
type Stopping struct{}

func (ClientOpened) event()         {}
func (ClientReading) event()        {}
func (RequestReceived) event()      {}
func (RequestInvalid) event()       {}
func (RequestUnread) event()        {}
func (NamesShared) event()          {}
func (NamesLeft) event()            {}
func (ClientFlooding) event()       {}
func (HealthChecked) event()        {}
func (ResponseWritten) event()      {}
func (ClientClosed) event()         {}
func (ServerDialed) event()         {}
func (RequestWritten) event()       {}
func (ServerAnswered) event()       {}
func (ServerConnUnusable) event()   {}
func (RequestUnsent) event()        {}
func (UnexpectedServerData) event() {}
func (ServerClosed) event()         {}
func (ListReceived) event()         {}
func (ListConnected) event()        {}
func (Reloaded) event()             {}
func (ReloadFailed) event()         {}
func (LearnedReceived) event()      {}
func (ClientIdleConfirmed) event()  {}
func (AcceptQueueDrained) event()   {}
func (RequestBodyArrived) event()   {}
func (RequestBodyComplete) event()  {}
func (RequestBodyFailed) event()    {}
func (ResponseStreaming) event()    {}
func (ResponseStarted) event()      {}
func (TimerFired) event()           {}
func (Stopping) event()             {}

// Do is the kind of an Effect.
type Do uint8

// The effects. Most are followed by an event that reports the result.
const (
	// AnswerClient writes an answer to the client connection, for as long as the client takes any of it;
	// ResponseWritten follows.
	AnswerClient     Do = iota
	CheckClientIdle     // ClientIdleConfirmed follows if the client connection holds no unread input
	CloseClientWrite    // shut down writing on the client connection; reading goes on until it closes
	CloseClientConn
	Dial    // open server connection Conn to Server by At; ServerDialed follows
	Forward // write Payload to the server connection by At; RequestWritten follows
	CloseServerConn
	// StreamResponse passes on the answer that is arriving on the server connection, if it still is;
	// ResponseStreaming follows.
	StreamResponse
	ArmTimer // TimerFired is due at At
	// Watch asks discovery at Text for changes of the server list, for which it may wait until At.
	// ListReceived follows by GiveUpAt, or the next Watch does. If the address differs from the one
	// before, or NewConn is set, the pending call and its connection are dropped first, and its
	// ListReceived never comes.
	Watch
	Log           // a line for the operator
	Publish       // Payload is *Metrics, for operators to read
	ReportFencing // Payload is FencingStatus, for the coordination group
	// DrainAcceptQueue asks whether a client has connected that was not reported yet;
	// AcceptQueueDrained follows the reports.
	DrainAcceptQueue
	// ClaimName claims the name with the hash Name, if no other process of this proxy has it. Unsafe means that
	// its request must not run again. ReleaseName takes back one claim.
	ClaimName
	ReleaseName
	Finish // everything is answered: end the process
)

// Verdict is the kind of an answer to a client.
type Verdict uint8

// String returns the verdict's name in logs and traces.
func (v Verdict) String() string { return verdictNames[v] }

// The verdicts.
const (
	Served           Verdict = iota // Payload is the server's answer
	Rejected                        // not executed, safe to retry after RetryAfter
	Failed                          // may or may not have been executed
	DeadlineExceeded                // the same, because the deadline has passed
	Invalid                         // Payload is the answer
	DuplicateName                   // an open request has the same name
	ReadyNow                        // the proxy accepts requests
	NotReady                        // the proxy does not accept requests yet, or no longer
	TooSlow                         // the request took too long to arrive
)

// FailureDetails is the Payload of a final answer that no server gave, for the log.
type FailureDetails struct {
	Elapsed    time.Duration // since the reducer received the request
	Attempts   int
	LastResult lg.Result // of the last attempt that ended; undefined without attempts
}

// Effect is an output of Step: something to carry out. Which fields count depends on Do.
type Effect struct {
	Do         Do
	Conn       ConnID
	Client     ConnID // Forward: the client connection of the request
	Server     lg.ServerID
	At         time.Duration
	Verdict    Verdict
	RetryAfter time.Duration
	Payload    any
	Last       bool // the answer is the last one on its connection
	Text       string
	StartBy    time.Duration // Forward: the latest time for the first byte; 0 means no limit
	NewConn    bool          // Watch: on a new connection
	GiveUpAt   time.Duration // Watch: when the call counts as timed out
	Name       uint64        // ClaimName, ReleaseName: from NameHash
	Unsafe     bool          // ClaimName
}
