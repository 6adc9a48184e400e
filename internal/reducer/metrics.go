package reducer

import (
	"slices"
	"time"

	lg "lilacglade"
	"lilacglade/internal/sendguard"
)

// publishInterval is the minimum time between two publications of the metrics, unless readiness
// changes.
const publishInterval = 100 * time.Millisecond

// Metrics are the values shown to operators. They don't change once published.
type Metrics struct {
	Ready                        bool                   // this process can serve requests
	Handled                      []RequestCounts        // requests ended, by class
	InProgress                   int                    // requests received and not ended
	RequestsWritten              uint64                 // to servers, each attempt counted
	KnownServers, SkippedServers int                    // servers in the list, and those without new requests
	Loads, LoadErrors            uint64                 // reloads of the configuration, and failed ones
	Attempts                     [attemptResults]uint64 // ended ones, by lg.Result
	Closes                       [closeCauses]uint64    // of client connections, by CloseCause
	Violations                   sendguard.Counts       // of sendguard's rules; each is a bug
	List                         ListMetrics
	Sockets                      SocketMetrics
	Headroom                     []lg.ServerHeadroom // measured for each server; nil without peers
	HotKeyServers                []lg.ServerID       // servers that requests with a hot key are sent to
}

// ListMetrics describe the server list in use and the calls for it.
type ListMetrics struct {
	Received         bool          // discovery has answered this process
	SinceAnswer      time.Duration // since its last answer or the first call; a pending watch adds to it
	LongestPause     time.Duration // the longest time without a pending call after a failed call
	FailedCalls      int           // calls that failed or timed out since discovery last answered
	OutdatedAttempts uint64        // sent after a failed call, and listcalls.NotifiedAfter after the last answer
	LeaseExpirations uint64        // how often the list became too old to be used, after it had been usable
	WithheldAttempts uint64        // attempts that were waiting for a connection then, and were not sent
}

// attemptResults is the number of possible results of an attempt.
const attemptResults = lg.LocalFault + 1

// SocketMetrics are counted by the transport, not by the reducer.
type SocketMetrics struct {
	CallsAnswered, CallsFailed uint64 // calls to discovery
	UnwrittenAnswers           uint64 // answers that could not be written though the client was connected
	ClockSteps                 uint64 // of the wall clock
	SlowEvents                 uint64 // events that took the reducer's goroutine slowEvent or longer
	LongestEvent               time.Duration
	LongestQueued              time.Duration // from the reading of a request or answer to its handling
	LongestListUpdate          time.Duration // the longest time spent on one document of the server list
}

// RequestCounts counts the requests of one class that have ended.
type RequestCounts struct {
	Class                       string
	Passed, Dropped, BadGateway uint64
}

// maxClassNames limits the classes that are counted by name over all configurations of a process.
const maxClassNames = 256

// counters are the reducer's counters. At any time, the requests received are those that have ended and
// those in progress.
type counters struct {
	enabled          bool // somebody reads the metrics
	publishScheduled bool // a publication is scheduled
	received         uint64
	inProgress       int
	handled          []*RequestCounts
	classes          []*RequestCounts // the elements of handled for the classes of the settings, by index
	requestsWritten  uint64
	attempts         [attemptResults]uint64
	closes           [closeCauses]uint64
	configLoads      uint64
	configLoadErrors uint64
	publishedReady   bool // as last published
}

// classCounts returns the counts of a class by its name, so that a class that is dropped and added
// again continues from its earlier counts.
func (s *State) classCounts(class string) *RequestCounts {
	if i := slices.IndexFunc(s.counters.handled, func(counts *RequestCounts) bool {
		return counts.Class == class
	}); i >= 0 {
		return s.counters.handled[i]
	}
	counts := &RequestCounts{Class: class}
	if len(s.counters.handled) < maxClassNames {
		s.counters.handled = append(s.counters.handled, counts)
	}
	return counts
}

// countReceived counts a request as received and in progress.
func (s *State) countReceived(counts *RequestCounts) *RequestCounts {
	s.counters.received++
	s.counters.inProgress++
	s.metricsChanged()
	return counts
}

// countEnded counts the end of a request. One that ends without an answer because its client has left
// was neither served nor rejected: it counts as Failed.
func (s *State) countEnded(counts *RequestCounts, verdict Verdict) {
	s.counters.inProgress--
	switch verdict {
	case Served:
		counts.Passed++
	case Rejected:
		counts.Dropped++
	default:
		counts.BadGateway++
	}
	s.metricsChanged()
}

// metricsChanged schedules a publication of the metrics.
func (s *State) metricsChanged() {
	if s.counters.enabled && !s.counters.publishScheduled {
		s.counters.publishScheduled = true
		s.timers.add(s.now+publishInterval, s.publish)
	}
}

// publishReadiness publishes the metrics at once if readiness has changed.
func (s *State) publishReadiness() {
	if s.counters.enabled && s.ready() != s.counters.publishedReady {
		s.publish()
	}
}

// publish emits a copy of the metrics.
func (s *State) publish() {
	s.counters.publishScheduled, s.counters.publishedReady = false, s.ready()
	known, draining := s.pool.Listed()
	metrics := &Metrics{Ready: s.counters.publishedReady, InProgress: s.counters.inProgress,
		RequestsWritten: s.counters.requestsWritten, KnownServers: known, SkippedServers: draining,
		Loads: s.counters.configLoads, LoadErrors: s.counters.configLoadErrors,
		Attempts: s.counters.attempts, Closes: s.counters.closes, Violations: s.violations,
		List: s.list.metrics(s.now)}
	if decider, ok := s.decider.(interface{ Skipped() int }); ok {
		metrics.SkippedServers += decider.Skipped()
	}
	if decider, ok := s.decider.(interface{ Headroom() []lg.ServerHeadroom }); ok && s.maintenance != nil {
		metrics.Headroom = decider.Headroom()
		metrics.HotKeyServers = s.maintenance.hotKeys.Hot(s.now, len(metrics.Headroom))
	}
	for _, counts := range s.counters.handled {
		metrics.Handled = append(metrics.Handled, *counts)
	}
	s.emit(Effect{Do: Publish, Payload: metrics})
}

// addClassCounts ensures that each class has its counts, so that operators also see classes without
// requests.
func (s *State) addClassCounts(settings lg.Settings) {
	s.counters.classes = s.counters.classes[:0]
	for _, class := range settings.Classes {
		s.counters.classes = append(s.counters.classes, s.classCounts(class.Name))
	}
}
