package emulator

import (
	"math"
	"time"
)

// job is a request or a handshake at a server.
type job struct {
	hop       *Hop
	attempt   *Attempt // nil for a handshake
	work      float64  // left to be done when it begins, in seconds on a core of speed 1
	through   float64  // the v at which it is
	order     uint64
	began     time.Duration
	place     int  // in working, -1 when not there
	abandoned bool // its connection closed while it ran
}

// jobs is a heap by when a job is through.
type jobs []*job

func (j jobs) before(a, b int) bool {
	return j[a].through < j[b].through || j[a].through == j[b].through && j[a].order < j[b].order
}

func (j jobs) swap(a, b int) {
	j[a], j[b] = j[b], j[a]
	j[a].place, j[b].place = a, b
}

func (j jobs) fix(i int) {
	for i > 0 && j.before(i, (i-1)/2) {
		j.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		least := i
		for _, d := range [2]int{2*i + 1, 2*i + 2} {
			if d < len(j) && j.before(d, least) {
				least = d
			}
		}
		if least == i {
			return
		}
		j.swap(i, least)
		i = least
	}
}

func (j *jobs) push(x *job) {
	x.place = len(*j)
	*j = append(*j, x)
	j.fix(x.place)
}

func (j *jobs) remove(i int) *job {
	x := (*j)[i]
	last := len(*j) - 1
	j.swap(i, last)
	(*j)[last] = nil
	*j = (*j)[:last]
	if i < last {
		j.fix(i)
	}
	x.place = -1
	return x
}

// renewWarm is how often the pace of a server that warms up is renewed.
const renewWarm = 100 * time.Millisecond

// schedule takes on waiting work and has the next job end when it will be through.
func (s *Server) schedule() {
	s.takeOn()
	s.watchCrowd()
	s.timer++
	rate := s.rate()
	if rate <= 0 {
		return
	}
	left := max(0, (s.working[0].through-s.v)/rate)
	wait := time.Duration(math.Ceil(left * 1e9))
	if s.warmth() < 1 {
		wait = min(wait, renewWarm)
	}
	mine := s.timer
	s.w.Clock.After(wait, func() {
		if s.timer != mine {
			return
		}
		s.advance()
		// Against rounding: what is through within a nanosecond's work is through.
		for len(s.working) > 0 && s.working[0].through <= s.v+s.rate()*2e-9 {
			s.through(s.working.remove(0))
		}
		s.schedule()
	})
}

// takeOn begins waiting work while there is a slot.
func (s *Server) takeOn() {
	slots := int(max(1, s.Cores*s.w.sc.Servers.Slots))
	busy := s.serving()
	for busy < slots && len(s.waiting) > 0 && s.up && s.hangs[len(s.hangs)-1] == 0 {
		j := s.waiting[0]
		s.waiting[0] = nil
		s.waiting = s.waiting[1:]
		now := s.w.Clock.Now()
		if j.attempt.Ask.GiveUp <= now {
			s.turnAway(j.hop, j.attempt, "over")
			continue
		}
		if s.hangs[j.attempt.Ask.Call.Class] > 0 {
			s.stuck = append(s.stuck, j)
			continue
		}
		j.began, j.through = now, s.v+j.work
		s.working.push(j)
		s.w.judge.ran(j.attempt)
		busy++
	}
}

// through ends a job that has been worked off.
func (s *Server) through(j *job) {
	s.Stats.Work += j.work
	s.w.result.Work += j.work
	h := j.hop
	if j.attempt == nil {
		h.hand = nil
		if q := h.queued; q != nil {
			h.queued = nil
			s.waiting = append(s.waiting, q)
		}
		return
	}
	now := s.w.Clock.Now()
	took := (now - j.began).Seconds() * 1000
	s.latency += (took - s.latency) * 0.1
	h.cur, h.last = nil, now
	a := j.attempt
	a.doneWork = j.work
	if j.abandoned || !h.atServer {
		s.waste(a)
		return
	}
	draw := func(of uint64) float64 { return s.w.chance(a.Ask.ID, uint64(a.Number), of) }
	switch {
	case draw(11) < s.resets:
		s.waste(a)
		s.breakHop(h)
	case draw(12) < s.garbles:
		s.waste(a)
		s.reply(h, &Reply{Attempt: a, Kind: Garbled})
	case draw(13) < s.errors:
		s.waste(a)
		s.reply(h, &Reply{Attempt: a, Kind: Failed})
	default:
		s.reply(h, &Reply{Attempt: a, Kind: Done})
	}
}

// waste counts work that nobody gets an answer for.
func (s *Server) waste(a *Attempt) {
	s.Stats.Wasted += a.doneWork
	s.w.result.Wasted += a.doneWork
	a.doneWork = 0
}

// holding counts the requests that it has.
func (s *Server) holding() int {
	return len(s.waiting) + len(s.stuck) + s.serving()
}

// serving counts the requests in work, without handshakes.
func (s *Server) serving() int {
	n := 0
	for _, j := range s.working {
		if j.attempt != nil {
			n++
		}
	}
	return n
}
