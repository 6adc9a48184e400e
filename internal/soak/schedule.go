package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"lilacglade/internal/faultlayer"
)

// Kind is what an event of a schedule does.
type Kind string

// The kinds.
const (
	StepClock     Kind = "step-clock"     // the wall clock of a process, by Amount
	FailCalls     Kind = "fail-calls"     // system calls of a process, by Rule
	Reload        Kind = "reload"         // SIGHUP with discovery at a new address, Count times in a row
	SpoilConfig   Kind = "spoil-config"   // SIGHUP with a file that is cut, then with a good one
	Restart       Kind = "restart"        // SIGTERM, and the process again
	Kill          Kind = "kill"           // SIGKILL, and the process again
	Pause         Kind = "pause"          // SIGSTOP and SIGCONT after Lasts
	DiscoveryDown Kind = "discovery-down" // calls are turned away
	DiscoveryLate Kind = "discovery-late" // answers come late by Amount
	DiscoveryCut  Kind = "discovery-cut"  // answers are cut short
	WatchSilence  Kind = "watch-silence"  // watches are not answered
	WatchReset    Kind = "watch-reset"    // all connections to discovery break
	WatchMute     Kind = "watch-mute"     // Count calls in a row fall silent, at one process or all
	DoorDown      Kind = "door-down"      // calls of one process are turned away
	Signals       Kind = "signals"        // SIGTERM and SIGHUP in turn, SIGKILL at the earliest
	Crowd         Kind = "crowd"          // idle clients take all of a process's descriptors
	Drain         Kind = "drain"          // a server is listed as draining
	Unlist        Kind = "unlist"         // a server is listed no more, though it still answers
	Crash         Kind = "crash"          // a server breaks all connections, is off, and starts anew
	Misbehave     Kind = "misbehave"      // a server treats what comes so
	CloseIdle     Kind = "close-idle"     // a server closes connections that rest for Amount
	Habits        Kind = "habits"         // clients leave early and write slowly
	HalfRequests  Kind = "half-requests"  // clients that stop in the middle of a request and stay
)

// Event is one fault of a schedule. Which fields count depends on the kind.
type Event struct {
	At, Lasts       time.Duration
	Kind            Kind
	Process, Server int
	Rule            faultlayer.Rule
	Amount          time.Duration
	Behaviour       Behaviour
	Count           int
}

// String is the event as a log has it.
func (e Event) String() string {
	s := fmt.Sprintf("%v for %v: %s", e.At.Round(time.Millisecond), e.Lasts.Round(time.Millisecond), e.Kind)
	switch e.Kind {
	case StepClock, DiscoveryLate, CloseIdle:
		return fmt.Sprintf("%s n%d s%d %v", s, e.Process, e.Server, e.Amount)
	case FailCalls:
		return fmt.Sprintf("%s n%d %+v", s, e.Process, e.Rule)
	case Misbehave:
		return fmt.Sprintf("%s s%d %d", s, e.Server, e.Behaviour)
	}
	return fmt.Sprintf("%s n%d s%d x%d", s, e.Process, e.Server, e.Count)
}

// Schedule is the faults of a run, by their time.
type Schedule []Event

func (s Schedule) String() string {
	lines := make([]string, len(s))
	for i, e := range s {
		lines[i] = "  " + e.String()
	}
	return strings.Join(lines, "\n")
}

// Times of a run.
const (
	faultsFrom = 500 * time.Millisecond
	quietFor   = 4 * time.Second // at the end, in which all must be well again
)

// weights say how often each kind is drawn.
var weights = []struct {
	kind   Kind
	weight int
}{{StepClock, 5}, {FailCalls, 16}, {Reload, 4}, {SpoilConfig, 1}, {Restart, 2}, {Kill, 1}, {Pause, 2},
	{DiscoveryDown, 2}, {DiscoveryLate, 1}, {DiscoveryCut, 1}, {WatchSilence, 1}, {WatchReset, 2}, {Drain, 6},
	{WatchMute, 3}, {DoorDown, 2}, {Signals, 1}, {Crowd, 1},
	{Unlist, 2}, {Crash, 2}, {Misbehave, 5}, {CloseIdle, 2}, {Habits, 3}, {HalfRequests, 1}}

// Draw draws a schedule from a seed, for a run whose faults last so long. The same arguments give the same
// schedule.
func Draw(seed uint64, proxies, servers int, faults time.Duration, perSecond float64) Schedule {
	rng := rand.New(rand.NewPCG(seed, 3))
	var all Schedule
	for at := faultsFrom; at < faults; {
		e := drawEvent(rng, proxies, servers)
		e.At = at
		e.Lasts = min(e.Lasts, faults-at)
		all = append(all, e)
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	return all
}

func drawEvent(rng *rand.Rand, proxies, servers int) Event {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := rng.IntN(total)
	kind := weights[slices.IndexFunc(weights, func(w struct {
		kind   Kind
		weight int
	}) bool {
		n -= w.weight
		return n < 0
	})].kind
	e := Event{Kind: kind, Process: rng.IntN(proxies), Server: rng.IntN(servers),
		Lasts: between(rng, 100*time.Millisecond, 2*time.Second), Count: 1 + rng.IntN(4)}
	switch kind {
	case StepClock:
		steps := []time.Duration{time.Hour, -time.Hour, 20 * time.Second, -20 * time.Second, 3 * time.Second,
			-4 * time.Second, 300 * time.Millisecond}
		e.Amount = steps[rng.IntN(len(steps))]
	case FailCalls:
		e.Rule = drawRule(rng)
		e.Lasts = min(e.Lasts, time.Second)
		if e.Rule.Call == faultlayer.Accept { // nobody is answered meanwhile whom the machine has let in
			e.Lasts = min(e.Lasts, 300*time.Millisecond)
		}
	case Drain, Unlist, DiscoveryDown, DiscoveryCut, DoorDown, WatchSilence:
		e.Lasts = logUniform(rng, 20*time.Millisecond, longest)
	case WatchMute:
		e.Count = 1 + rng.IntN(2)
	case Pause:
		e.Lasts = between(rng, 20*time.Millisecond, 130*time.Millisecond)
	case DiscoveryLate:
		e.Amount = between(rng, 50*time.Millisecond, time.Second)
	case CloseIdle:
		e.Amount = between(rng, time.Millisecond, 200*time.Millisecond)
	case Misbehave:
		e.Behaviour = Behaviour(1 + rng.IntN(5))
	case HalfRequests:
		e.Count = 3
	}
	return e
}

// longest is how long faults last at the most whose clocks the protocol names in seconds.
const longest = 12 * time.Second

// logUniform draws a span: short ones as often as long ones.
func logUniform(rng *rand.Rand, least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), rng.Float64()))
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// errnos are what Linux documents that calls may fail with for a moment.
var errnos = map[faultlayer.Call][]syscall.Errno{
	faultlayer.Accept: {syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENOPROTOOPT},
	faultlayer.Connect: {syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EAGAIN,
		syscall.ENOBUFS, syscall.ETIMEDOUT, syscall.ECONNREFUSED},
	faultlayer.Socket:     {syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM},
	faultlayer.Read:       {syscall.EINTR, syscall.EAGAIN},
	faultlayer.Write:      {syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM},
	faultlayer.Wait:       {syscall.EINTR},
	faultlayer.Shutdown:   {syscall.ENOTCONN},
	faultlayer.SetSockopt: {syscall.EINVAL, syscall.ENOBUFS},
	faultlayer.Open:       {syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.EIO},
}

// breaks are what a read or write on a connection says that was given up.
var breaks = []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE}

func drawRule(rng *rand.Rand) faultlayer.Rule {
	calls := []faultlayer.Call{faultlayer.Accept, faultlayer.Connect, faultlayer.Socket, faultlayer.Read,
		faultlayer.Read, faultlayer.Write, faultlayer.Write, faultlayer.Wait, faultlayer.Shutdown,
		faultlayer.SetSockopt, faultlayer.Open}
	r := faultlayer.Rule{Call: calls[rng.IntN(len(calls))], Action: faultlayer.Fail, Every: 1 + rng.IntN(4)}
	r.Errno = errnos[r.Call][rng.IntN(len(errnos[r.Call]))]
	switch r.Call {
	case faultlayer.SetSockopt:
		r.Every = 5 + rng.IntN(20)
	case faultlayer.Wait: // a wait that has something to tell is not interrupted, so some always get through
		r.Every = 2 + rng.IntN(4)
	}
	if r.Call != faultlayer.Read && r.Call != faultlayer.Write {
		return r
	}
	switch rng.IntN(5) {
	case 0:
		r.Every = 2 + rng.IntN(4) // always failing is no moment
	case 1, 2:
		r.Action, r.Most = faultlayer.Short, 1+rng.IntN(60)
	case 3:
		r.Action, r.Errno, r.Every = faultlayer.Break, breaks[rng.IntN(len(breaks))], 10+rng.IntN(40)
		r.Port = serverPort
	case 4:
		// The whole process is held up by it, so it happens once or twice.
		r.Action, r.For = faultlayer.Delay, between(rng, time.Millisecond, 120*time.Millisecond)
		r.Times = 1 + rng.IntN(2)
	}
	return r
}

// serverPort stands for the port of the event's server, which is known only once it runs.
const serverPort = 1
