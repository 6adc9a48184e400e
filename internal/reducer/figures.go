package reducer

import (
	"slices"
	"time"

	lg "lilacglade"
	"lilacglade/internal/sendguard"
)

// publishEvery is the least time between two publications of the figures, unless readiness changes.
const publishEvery = 100 * time.Millisecond

// Figures are what operators are shown. A published one never changes.
type Figures struct {
	Ready             bool // this process can serve
	Handled           []Handled
	InProgress        int // requests taken and not ended
	Tries             uint64
	Known, Skipped    int // next hops in the server list, and those of them that get nothing new now
	Loads, LoadErrors uint64
	Attempts          [attemptResults]uint64 // that ended, by lg.Result
	Closes            [closeCauses]uint64    // of client connections, by CloseCause
	Violations        sendguard.Counts       // of the rules at the edge; any is a fault of the program
	List              ListFigures
	Sockets           SocketFigures
	Rooms             []lg.ServerHeadroom // what was measured of the next hops; nil where proxies settle nothing
	Hot               []lg.ServerID       // next hops where a hot key is sent to
}

// ListFigures tell how fresh the server list is that attempts go by.
type ListFigures struct {
	Heard         bool          // discovery has answered this process
	Unheard       time.Duration // how long ago that was last, or it started: a watch that waits adds to it
	LongestUnsent time.Duration // the longest time in which no call was out, since the last but one failed
	Failed        int           // calls that failed or fell silent since discovery last answered
	Outdated      uint64        // attempts sent after failed calls, and unheard for listcalls.NewsBy
	Lapses        uint64        // times that the list was too old to be used, after it had been used
	Withheld      uint64        // attempts that were waiting for a connection then, and were not sent
}

// attemptResults is the number of results that an attempt may have.
const attemptResults = lg.LocalFault + 1

// SocketFigures are counted by the sockets, which the reducer does not know.
type SocketFigures struct {
	CallsAnswered, CallsFailed uint64 // calls to discovery
	Unwritten                  uint64 // answers that could not be written though their client was there
	ClockSteps                 uint64 // of the wall clock
	SlowEvents                 uint64 // events that the reducer's goroutine took slowEvent and longer for
	LongestEvent               time.Duration
	LongestQueued              time.Duration // from when a request or answer was read to when it was looked at
	LongestList                time.Duration // the longest that a document of the server list took, all told
}

// Handled counts the requests of one class that have ended.
type Handled struct {
	Class                       string
	Passed, Dropped, BadGateway uint64
}

// mostNames bounds the classes that are counted by name over all configurations that a process has had.
const mostNames = 256

// counts are the reducer's counters. At any time what was taken is what was handled and what is in
// progress.
type counts struct {
	wanted    bool // somebody reads them
	due       bool // a publication is due
	taken     uint64
	open      int
	handled   []*Handled
	classes   []*Handled // of these, the one of each class of the settings
	tries     uint64
	attempts  [attemptResults]uint64
	closes    [closeCauses]uint64
	loads     uint64
	loadFails uint64
	ready     bool // as last published
}

// counter is where requests of a class are counted, by its name: a class that is dropped and added again
// goes on from where it was.
func (s *State) counter(class string) *Handled {
	if i := slices.IndexFunc(s.counts.handled, func(h *Handled) bool { return h.Class == class }); i >= 0 {
		return s.counts.handled[i]
	}
	h := &Handled{Class: class}
	if len(s.counts.handled) < mostNames {
		s.counts.handled = append(s.counts.handled, h)
	}
	return h
}

// began counts a request that was taken.
func (s *State) began(h *Handled) *Handled {
	s.counts.taken++
	s.counts.open++
	s.changed()
	return h
}

// ended counts a request's end. One that ends without an answer, because its caller has left, was neither
// served nor refused: it counts as Broken.
func (s *State) ended(h *Handled, v Verdict) {
	s.counts.open--
	switch v {
	case Served:
		h.Passed++
	case Busy:
		h.Dropped++
	default:
		h.BadGateway++
	}
	s.changed()
}

// changed has the figures published soon.
func (s *State) changed() {
	if s.counts.wanted && !s.counts.due {
		s.counts.due = true
		s.clock.add(s.now+publishEvery, s.publish)
	}
}

// readiness publishes at once when the proxy has become able to serve, or no longer is.
func (s *State) readiness() {
	if s.counts.wanted && s.ready() != s.counts.ready {
		s.publish()
	}
}

// publish hands out a copy of the figures.
func (s *State) publish() {
	s.counts.due, s.counts.ready = false, s.ready()
	known, draining := s.pool.Listed()
	f := &Figures{Ready: s.counts.ready, InProgress: s.counts.open, Tries: s.counts.tries, Known: known,
		Skipped: draining, Loads: s.counts.loads, LoadErrors: s.counts.loadFails,
		Attempts: s.counts.attempts, Closes: s.counts.closes, Violations: s.broken,
		List: s.list.figures(s.now)}
	if m, ok := s.bal.(interface{ Skipped() int }); ok {
		f.Skipped += m.Skipped()
	}
	if m, ok := s.bal.(interface{ Headroom() []lg.ServerHeadroom }); ok && s.work != nil {
		f.Rooms = m.Headroom()
		f.Hot = s.work.keys.Hot(s.now, len(f.Rooms))
	}
	for _, h := range s.counts.handled {
		f.Handled = append(f.Handled, *h)
	}
	s.do(Effect{Do: Publish, Payload: f})
}

// countClasses sees to a counter for each class, so that operators see those nobody has asked for yet, too.
func (s *State) countClasses(set lg.Settings) {
	s.counts.classes = s.counts.classes[:0]
	for _, c := range set.Classes {
		s.counts.classes = append(s.counts.classes, s.counter(c.Name))
	}
}
