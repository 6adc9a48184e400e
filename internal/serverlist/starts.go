package serverlist

import (
	"math"
	"time"

	lg "lilacglade"
)

const (
	// maxListDelay is how long after a server's start discovery may first list it. If a server's start time is
	// older than that when it is first listed, though the list before did not contain it, the wall clock of this
	// host is wrong.
	maxListDelay = 5 * time.Second
	// maxRestartAge is how old a server may be that the list from an earlier process did not contain. An older
	// one is taken for just started, since only the wall clock supports its age.
	maxRestartAge = 10 * time.Second
	// keptStarts is how many start times of servers are kept that are no longer listed: most return unchanged.
	keptStarts = 256
)

// startTimes converts the start times of servers, which discovery gives as Unix times, to times on
// the proxy's clock. It uses the wall clock as it was when the process started, as long as that is
// consistent with the start times. It is not if a server starts in the future, or long before the
// last list that did not contain it: then the wall clock was wrong, and the start times themselves
// show by how much.
type startTimes struct {
	wallEpoch   time.Duration // Unix time at which the proxy's clock read 0, by the wall clock
	low, high   time.Duration // bounds on the same, by discovery's start times
	known       map[lg.ServerID]start
	lastContact time.Duration // when discovery last answered; 0: not yet
	cachedCount int           // number of servers in the list from an earlier process
}

// start is when a server started.
type start struct {
	unixMS float64       // as received: a Unix time in milliseconds
	at     time.Duration // on the proxy's clock
}

func newStartTimes(epoch time.Time) *startTimes {
	return &startTimes{wallEpoch: time.Duration(epoch.UnixNano()), low: math.MinInt64, high: math.MaxInt64,
		known: map[lg.ServerID]start{}}
}

// epoch is the Unix time at which the proxy's clock read 0. Where the wall clock can't be right, servers are
// taken for younger than they may be, since a young one gets little load at first.
func (s *startTimes) epoch() time.Duration {
	if s.wallEpoch < s.low || s.wallEpoch > s.high {
		return s.low
	}
	return s.wallEpoch
}

// unixTime converts a Unix time in milliseconds.
func unixTime(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// observe records the start times of a document received at a time. With cached set, the document is from an
// earlier process.
func (s *startTimes) observe(instances []instance, now time.Duration, cached bool) {
	unfamiliar := 0
	for _, in := range instances {
		if in.Started > 0 && !s.knows(in) {
			unfamiliar++
		}
	}
	first := s.lastContact == 0 && !cached
	restarted := first && s.cachedCount > 0 && 2*unfamiliar < len(instances)
	for _, in := range instances {
		if in.Started <= 0 || s.knows(in) {
			continue
		}
		started := unixTime(in.Started)
		s.low = max(s.low, started-now)
		if !first && !cached {
			s.high = min(s.high, started-(s.lastContact-maxListDelay))
		}
	}
	for _, in := range instances {
		if in.Started <= 0 || s.knows(in) {
			continue
		}
		at := min(now, unixTime(in.Started)-s.epoch())
		if restarted && now-at > maxRestartAge {
			at = now
		}
		s.known[in.key] = start{in.Started, at}
	}
	if cached {
		s.cachedCount = len(instances)
	} else {
		s.lastContact = now
	}
}

// knows reports whether this start of a server is known.
func (s *startTimes) knows(in instance) bool {
	return s.known[in.key].unixMS == in.Started && in.Started > 0
}

// startedAt is when a server started; 0: long ago, as is a start at Unix time 0.
func (s *startTimes) startedAt(in instance) time.Duration {
	if in.Started <= 0 {
		return 0
	}
	return s.known[in.key].at
}

// prune forgets the starts of servers that are no longer listed, once there are many.
func (s *startTimes) prune(listed map[lg.ServerID]record) {
	if len(s.known) <= 2*len(listed)+keptStarts {
		return
	}
	for id := range s.known {
		if _, ok := listed[id]; !ok {
			delete(s.known, id)
		}
	}
}

// correct recomputes the start times after the wall clock has turned out to be wrong, and returns the servers
// that started later than assumed by more than maxListDelay.
func (s *startTimes) correct(now time.Duration) (corrected []lg.ServerID) {
	for id, known := range s.known {
		at := min(now, unixTime(known.unixMS)-s.epoch())
		if at-known.at > maxListDelay {
			s.known[id] = start{known.unixMS, at}
			corrected = append(corrected, id)
		}
	}
	return corrected
}
