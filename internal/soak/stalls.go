package soak

import (
	"sync"
	"time"
)

// How the harness watches over its own delays.
const (
	stallEvery = 5 * time.Millisecond
	stallLeast = 15 * time.Millisecond // a delay that is noted
)

// stalls notes when this process itself was held up by a busy machine: what it saw then is late by as much.
type stalls struct {
	mu   sync.Mutex
	all  []stall
	done chan struct{}
	once sync.Once
}

// stall is a time in which nothing ran here.
type stall struct{ from, to time.Time }

func newStalls() *stalls {
	s := &stalls{done: make(chan struct{})}
	go s.watch()
	return s
}

func (s *stalls) stop() { s.once.Do(func() { close(s.done) }) }

func (s *stalls) watch() {
	last := time.Now()
	for {
		select {
		case <-s.done:
			return
		case <-time.After(stallEvery):
		}
		now := time.Now()
		if now.Sub(last) > stallLeast {
			s.mu.Lock()
			s.all = append(s.all, stall{last, now})
			s.mu.Unlock()
		}
		last = now
	}
}

// during is how long nothing ran here in all from one moment to another.
func (s *stalls) during(from, to time.Time) (total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.all {
		begin, end := one.from, one.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		total += max(0, end.Sub(begin))
	}
	return total
}
