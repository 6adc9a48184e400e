// Package reducer is the proxy's one reducer: every change of its state is a Step that
// takes an event and the absolute time and returns the effects to carry out, in their order.
// It owns the Balancer, the requests, their branches, both kinds of leg, the pools and all
// deadlines. It does no I/O, reads no clock, starts no goroutine and knows no protocol: what
// a request and an answer look like is opaque to it.
package reducer

import (
	"time"

	lg "lilacglade"
	"lilacglade/internal/pool"
)

// LegID names a connection: a caller leg, numbered by whoever accepts it, or a hop leg to a
// next hop, numbered here. The two kinds are counted apart.
type LegID uint64

// Event is something that happened.
type Event interface{ event() }

// CallerOpened says that a caller leg was accepted.
type CallerOpened struct{ Leg LegID }

// CallerReading says that a request has begun to come in and is not whole yet. By is when it must be
// whole, as far as is known: it moves on as more comes in; 0: not known yet. Took is how long what has
// come of its body may have taken.
type CallerReading struct {
	Leg      LegID
	By, Took time.Duration
}

// CallerAsked brings a whole request. Name is its id among all callers' requests. Payload is
// what a next hop is to get.
type CallerAsked struct {
	Leg           LegID
	Name          string
	Class, Tenant int
	Key           uint64
	HasKey        bool
	Deadline      time.Duration // when the caller gives up
	Repeat        bool
	Cost          time.Duration // expected work; 0: not known
	Payload       any
	Last          bool // the caller closes the leg behind its answer
	// Stream says that the request is passed on as it comes in; CallerWhole or CallerSpoilt follows. Its
	// time, May, counts from its last byte, and Deadline is when that and the time are over at the latest.
	Stream bool
	May    time.Duration
}

// CallerWhole says that the last byte of a request that streams has come.
type CallerWhole struct {
	Leg  LegID
	Read time.Duration
}

// CallerSpoilt says that the rest of a request that streams can't be read, or was too slow.
type CallerSpoilt struct {
	Leg     LegID
	Payload any // the answer to give
	Slow    bool
}

// CallerFaulty brings what can't be taken as a request. Last says that the leg is of no more use.
type CallerFaulty struct {
	Leg     LegID
	Payload any // the answer to give
	Last    bool
}

// CallerFlooding says that a caller sent far ahead while its request is being worked on: what
// it sent is dropped from here on, and the leg closes with the answer.
type CallerFlooding struct{ Leg LegID }

// CallerProbed asks whether the proxy is ready.
type CallerProbed struct {
	Leg  LegID
	Last bool
}

// CallerWritten ends the writing of an answer.
// Keep says that the hop leg that an answer streamed from can be used again.
type CallerWritten struct {
	Leg  LegID
	OK   bool
	Keep bool
}

// CallerClosed says that a caller leg is gone.
type CallerClosed struct{ Leg LegID }

// HopDialed ends a Dial. Local says that it failed by a fault of this machine, which none of a server's is.
type HopDialed struct {
	Leg   LegID
	OK    bool
	Local bool
}

func (ev HopDialed) opening() pool.Opening {
	switch {
	case ev.OK:
		return pool.OpenOK
	case ev.Local:
		return pool.OpenLocalFault
	}
	return pool.OpenFailed
}

// HopWritten ends a Forward: OK when the last byte was written.
// Gone says that what was written can't be written again.
type HopWritten struct {
	Leg  LegID
	OK   bool
	Gone bool
}

// HopAnswered brings a whole answer, or what is none. Keep says that the leg can be used again.
type HopAnswered struct {
	Leg     LegID
	Result  lg.Result
	Load    lg.LoadReport
	Payload any
	Keep    bool
	Gone    bool // as of HopWritten
}

// HopBegins says that an answer has begun to come in whose length is not known.
type HopBegins struct{ Leg LegID }

// HopStreams says that an answer has begun that is passed on as it comes in: Payload, to be given to
// the caller.
type HopStreams struct {
	Leg     LegID
	Load    lg.LoadReport
	Payload any
}

// HopUnfit says instead of HopWritten that nothing was written: before the request, bytes that
// nobody had asked for came on the leg, or its end.
type HopUnfit struct{ Leg LegID }

// HopUnsent says instead of HopWritten that nothing was written, since the request's client has left or too
// much time has passed since it was decided. The leg is as good as before.
type HopUnsent struct{ Leg LegID }

// HopStray says that something came on a leg that owes no answer.
type HopStray struct{ Leg LegID }

// HopClosed says that a hop leg is gone.
type HopClosed struct{ Leg LegID }

// ListReached says that the call for the list that is out has a connection.
type ListReached struct{}

// ListTold brings news of the server list, or a ListFailed.
type ListTold struct {
	List  lg.List
	Late  bool // they answer a call that was given up: the one that is out is still owed its answer
	Whole bool // the next call asks for the whole list, which never waits, as the first one does
	// Complete: the document named every server, though List holds only what it changed
	Complete bool
	Work     time.Duration // that reading the document and taking it in made
}

// Reloaded brings a new configuration: where discovery is and the caps, as in Config.
type Reloaded struct {
	// Settings are for requests from here on, as Settings.RetainingClasses returned them; nil: as before.
	Settings            *lg.Settings
	Discovery           string
	MaxCallers, MaxHops int
}

// CallerQuiet answers EaseCaller.
type CallerQuiet struct{ Leg LegID }

// CallersTold answers TellCallers.
type CallersTold struct{}

// Remembered brings what another process of this proxy had learned some time ago.
type Remembered struct {
	Ago     time.Duration
	Learned lg.Learned
}

// ReloadFailed says that a new configuration was turned down.
type ReloadFailed struct{}

// Woken says that the time of the last Arm has come.
type Woken struct{}

// Stopping says that the proxy is to end once all is answered.
type Stopping struct{}

func (CallerOpened) event()   {}
func (CallerReading) event()  {}
func (CallerAsked) event()    {}
func (CallerFaulty) event()   {}
func (CallerFlooding) event() {}
func (CallerProbed) event()   {}
func (CallerWritten) event()  {}
func (CallerClosed) event()   {}
func (HopDialed) event()      {}
func (HopWritten) event()     {}
func (HopAnswered) event()    {}
func (HopUnfit) event()       {}
func (HopUnsent) event()      {}
func (HopStray) event()       {}
func (HopClosed) event()      {}
func (ListTold) event()       {}
func (ListReached) event()    {}
func (Reloaded) event()       {}
func (ReloadFailed) event()   {}
func (Remembered) event()     {}
func (CallerQuiet) event()    {}
func (CallersTold) event()    {}
func (CallerWhole) event()    {}
func (CallerSpoilt) event()   {}
func (HopStreams) event()     {}
func (HopBegins) event()      {}
func (Woken) event()          {}
func (Stopping) event()       {}

// Do says what an Effect asks for.
type Do uint8

// The effects.
const (
	AnswerCaller Do = iota // write an answer to the caller leg by At; CallerWritten follows
	EaseCaller             // CallerQuiet follows if nothing has come on the caller leg that is not read yet
	PartCaller             // end sending on the caller leg, go on reading until it closes
	CloseCaller
	Dial    // open hop leg Leg to Server by At; HopDialed follows
	Forward // write Payload to the hop leg by At; HopWritten follows
	CloseHop
	// StreamHop has the answer passed on that is coming in on the hop leg, if it still is; HopStreams follows.
	StreamHop
	Arm   // Woken is due at At
	Watch // ask discovery at Text for the server list's changes, which may wait until At; ListTold follows by
	// GiveUp, or the next Watch. At another address than before, or Anew, drop the call that is out with its
	// connection first: its ListTold never comes
	Log     // a line for the operator
	Publish // Payload is *Figures, for operators to read
	Stop    // Payload is Stopped, for the proxies to settle what goes out for work
	// TellCallers asks whether anybody has connected who was not told here yet; CallersTold follows them.
	TellCallers
	Finish // all is answered: end
)

// Verdict is the kind of an answer.
type Verdict uint8

// String is the verdict's name in logs and traces.
func (v Verdict) String() string { return verdicts[v] }

// The verdicts.
const (
	Served   Verdict = iota // Payload is the next hop's answer
	Busy                    // not done, and trying again is harmless, after Advice
	Broken                  // no promise whether it was done
	Late                    // the same, for want of time
	Faulty                  // Payload is the answer
	Taken                   // its name belongs to a request that is open
	ReadyNow                // the proxy takes requests
	NotReady                // it doesn't yet, or no more
	TooSlow                 // the request took too long to come in
)

// Unserved is the Payload of a request's final answer that is no server's: what a log is to tell of it.
type Unserved struct {
	Took     time.Duration // from when the reducer was told of the request
	Attempts int
	Last     lg.Result // of the last attempt that ended; no matter where there was none
}

// Effect is something to carry out. Which fields count depends on Do.
type Effect struct {
	Do      Do
	Leg     LegID
	Client  LegID // Forward: the caller leg whose request it is
	Server  lg.ServerID
	At      time.Duration
	Verdict Verdict
	Advice  time.Duration
	Payload any
	Last    bool // the answer is the leg's last
	Text    string
	Begin   time.Duration // Forward: the first byte must not be written later; 0: no matter
	Anew    bool          // Watch: on a connection of its own
	GiveUp  time.Duration // Watch: when the call counts as fallen silent
}
