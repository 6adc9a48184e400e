package reducer

import (
	"time"

	lg "lilacglade"
)

// A client that has left without its answer may send the same request again, under the same name, on another
// connection. If the first may have run, the second must not.
const (
	abandonedRetention = 10 * time.Second // how long a name is remembered
	maxAbandoned       = 1 << 15          // names remembered at once; the oldest are forgotten first
)

// abandonedNames remembers the names of requests that may have run and whose clients have left, as hashes:
// clients choose names, of up to the size of a head.
type abandonedNames struct {
	until  map[uint64]time.Duration
	oldest []uint64 // a ring once it has maxAbandoned entries
	next   int      // index in oldest of the one that is replaced next
}

func newAbandonedNames() abandonedNames {
	return abandonedNames{until: map[uint64]time.Duration{}}
}

// add remembers a name.
func (a *abandonedNames) add(now time.Duration, name uint64) {
	if _, known := a.until[name]; !known {
		a.push(name)
	}
	a.until[name] = now + abandonedRetention
}

func (a *abandonedNames) push(name uint64) {
	if len(a.oldest) < maxAbandoned {
		a.oldest = append(a.oldest, name)
		return
	}
	delete(a.until, a.oldest[a.next])
	a.oldest[a.next] = name
	a.next = (a.next + 1) % maxAbandoned
}

// contains reports whether a name is remembered.
func (a *abandonedNames) contains(now time.Duration, name string) bool {
	if len(a.until) == 0 {
		return false
	}
	until, known := a.until[NameHash(name)]
	return known && now < until
}

// mayNotRunAgain reports whether a second request of the same name must not run: this one may have, or may
// yet, and is not safe to repeat.
func (r *request) mayNotRunAgain() bool {
	return r.class.Effect != lg.Safe && (r.mayHaveRun || r.attempt != nil && r.attempt.conn != nil)
}

// recordExecuted records on a client's connection that its request must not run again, if that is so.
func (s *State) recordExecuted(client *clientConn, req *request) {
	if client != nil && req.mayNotRunAgain() {
		client.executed = NameHash(req.name)
	}
}

// rememberExecuted remembers the request that is being answered on a connection whose client has left.
func (s *State) rememberExecuted(client *clientConn) {
	if client.executed != 0 {
		s.abandon(client.executed)
	}
}
