package emulator

import (
	"math"
	"time"
)

// Server is one machine at one address with the process that runs on it. Its processors are shared
// evenly by what is in work: all jobs have come equally far since they began, so one number, v, tells
// when each will be through, and a change of speed touches no job.
type Server struct {
	w     *World
	Index int    // which is its address
	Name  string // the instance's name; new after a replacement
	Zone  int
	Cell  int
	Kind  int
	Cores float64
	Speed float64

	up       bool
	draining bool
	tipped   bool // fell over, cold, and stays down
	started  time.Duration
	fresh    bool // started during the run
	epoch    int  // counts its processes
	life     int  // counts its names

	v       float64 // work done by each job in work since the start, in seconds
	vAt     time.Duration
	working jobs // in work, the first to be through on top
	waiting []*job
	stuck   []*job // taken by a server that hangs
	timer   int    // counts what has been scheduled; older ones do nothing
	conns   int

	slow     float64 // times slower
	taken    float64 // by a neighbour
	hangs    []int   // by class; the last counts for all classes
	cut      int
	held     []func() // what would cross the network while it is cut off
	refuses  int
	stale    int
	garbles  float64
	resets   float64
	errors   float64
	idleDrop time.Duration
	dropHard bool

	crowdedAt time.Duration // since when too many have waited; -1: they don't
	crowded   bool
	crowdFrom time.Duration
	idleFrom  time.Duration // -1: it is not idle

	keys    map[uint64]time.Duration // met lately
	keyRing []uint64                 // in the order met, to forget the oldest
	keyAt   int

	report  Report
	latency float64 // mean of recent service times, in ms, without waiting

	offers  []offer // of the last cold window
	offered float64

	Stats ServerStats
}

// Report is what a server says of its load.
type Report struct{ InFlight, LatencyMS float64 }

// ServerStats counts what a server met over a run.
type ServerStats struct {
	Name       string  `json:"name"`
	Attempts   int     `json:"attempts"`
	TurnedAway int     `json:"turned_away"`
	Openings   int     `json:"openings"`
	MostConns  int     `json:"most_connections"`
	MostHeld   int     `json:"most_held"`
	Work       float64 `json:"work_s"` // done, on a core of speed 1
	Wasted     float64 `json:"wasted_s"`
}

// warmth is the part of its capacity that a server has.
func (s *Server) warmth() float64 {
	c := &s.w.sc.Servers.Cold
	if !s.fresh || c.Within <= 0 {
		return 1
	}
	age := s.w.Clock.Now() - s.started
	return min(1, c.From+(1-c.From)*float64(age)/float64(c.Within))
}

// pace is how fast one of its cores works now.
func (s *Server) pace() float64 {
	if !s.up || s.hangs[len(s.hangs)-1] > 0 {
		return 0
	}
	p := s.Speed * s.warmth() / s.slow * (1 - s.taken)
	if s.crowded {
		p /= max(1, s.w.sc.Servers.Crowd.Slower)
	}
	return p
}

// rate is how fast each job in work comes on.
func (s *Server) rate() float64 {
	if len(s.working) == 0 {
		return 0
	}
	return s.pace() * min(1, s.Cores/float64(len(s.working)))
}

// set changes what the pace depends on.
func (s *Server) set(change func()) {
	s.advance()
	change()
	s.schedule()
}

// advance brings v to the present.
func (s *Server) advance() {
	now := s.w.Clock.Now()
	if now > s.vAt {
		s.v += s.rate() * (now - s.vAt).Seconds()
		s.vAt = now
	}
}

// renew makes a new load report, again and again.
func (s *Server) renew(every time.Duration) {
	if s.stale == 0 {
		noise := s.w.sc.Servers.ReportNoise
		u := s.w.chance(uint64(s.Index), uint64(s.w.Clock.Now()), 7)
		s.report = Report{math.Round(float64(s.holding()) * (1 + noise*(2*u-1))), s.latency}
	}
	s.w.Clock.After(every, func() { s.renew(every) })
}

// hang begins (+1) or ends (-1) a hang of a class, -1 for all.
func (s *Server) hang(class, by int) {
	if class < 0 {
		class = len(s.hangs) - 1
	}
	s.set(func() {
		s.hangs[class] += by
		if by > 0 || !s.up {
			return
		}
		var on []*job // what was stuck goes on, as far as anybody still waits
		for _, j := range s.stuck {
			if s.hangs[j.attempt.Ask.Call.Class] > 0 || s.hangs[len(s.hangs)-1] > 0 {
				on = append(on, j)
			} else {
				s.waiting = append(s.waiting, j)
			}
		}
		s.stuck = on
	})
}
