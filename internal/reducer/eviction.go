package reducer

import (
	"time"

	lg "lilacglade"
)

// Client connections are limited. Those that are needed least make room for new ones, and for requests that
// have arrived whole.

// openClients returns how many connections may still send a request or wait for an answer.
func (s *State) openClients() int { return len(s.clients) - s.closingClients }

// markClosing counts a connection as one that takes no more requests.
func (s *State) markClosing(client *clientConn) {
	if !client.countedClosing {
		client.countedClosing = true
		s.closingClients++
	}
}

// evictOpen evicts the connection that is needed least of those that are not closing already, but for the
// given one, and reports whether there is one.
func (s *State) evictOpen(need pressure, except *clientConn) bool {
	candidate := s.evictionCandidate(need, func(client *clientConn) bool {
		return client != except && !client.countedClosing
	})
	if candidate == nil {
		return false
	}
	s.evict(candidate)
	return true
}

// evict gives up a connection to free its descriptor. A request that has arrived in part is answered,
// as the rest of it may have arrived by now.
func (s *State) evict(client *clientConn) {
	switch client.phase {
	case clientClosing:
		s.closeClient(client, ClosedForCapacity)
	case clientReading:
		s.markClosing(client)
		s.answerClient(client.id, Effect{Verdict: TooSlow, Last: true})
	case clientWaiting:
		s.markClosing(client)
		req := client.req
		s.finish(req, Effect{Verdict: Rejected, RetryAfter: s.cfg.Settings.MaxRetryAfter, Last: true})
		s.notify(lg.Departed{Request: req.id})
	default:
		client.evicted = true
		s.checkIdle(client)
	}
}

// pressure is how much a descriptor is needed, which says whose connection may be evicted for it.
type pressure uint8

const (
	crowded   pressure = iota // half of MaxClients are open
	atLimit                   // all of them are
	pastLimit                 // more are, or all are and a request has arrived whole on one
)

// pastLimitDivisor divides MaxClients: pastLimit begins that fraction beyond it, half way to where new
// connections are closed at once.
const pastLimitDivisor = 14

// pressure returns how much descriptors are needed by new connections.
func (s *State) pressure() pressure {
	switch open := s.openClients(); {
	case open >= s.cfg.MaxClients+s.cfg.MaxClients/pastLimitDivisor:
		return pastLimit
	case open >= s.cfg.MaxClients:
		return atLimit
	}
	return crowded
}

// maxPause returns how long nothing of an incomplete request may have come before its connection is evicted.
func (p pressure) maxPause() time.Duration {
	if p == pastLimit {
		return briefPause
	}
	return newClientGrace
}

// evictionCandidate returns the connection that is needed least, nil if there is none: of those with the
// lowest rank, the one that has been in its phase longest. Eligible may be nil. A connection that has just
// opened is evicted only at the limit, because its client has most likely sent a request already and would
// get no answer.
func (s *State) evictionCandidate(need pressure, eligible func(*clientConn) bool) *clientConn {
	var best *clientConn
	bestRank := evictNever
	if need == crowded {
		bestRank = evictNew
	}
	for _, client := range s.clients {
		if client.idleCheck || eligible != nil && !eligible(client) {
			continue // it is being closed already, or must not be
		}
		rank := s.evictionRank(client, need)
		if rank < bestRank || best != nil && rank == bestRank && (client.since < best.since ||
			client.since == best.since && client.id < best.id) {
			best, bestRank = client, rank
		}
	}
	return best
}

// Eviction ranks, the connection needed least first.
const (
	evictClosing = iota // its last answer is written
	evictStalled        // silent, or with part of a request, for longer than clients usually take
	evictPaused         // at the limit: its request is incomplete, and nothing of it has come lately
	evictIdle           // idle after an answer
	evictSlow           // at the limit: its request has been arriving for a while
	evictNew
	evictNever
)

func (s *State) evictionRank(client *clientConn, need pressure) int {
	elapsed, pause := s.now-client.since, s.now-client.since
	unfinished := client.phase == clientReading
	if unfinished {
		pause = s.now - client.progressAt
	} else if client.phase == clientWaiting {
		unfinished = client.req.isHeldUpload()
	}
	switch {
	case client.phase == clientClosing:
		return evictClosing
	case client.phase == clientIdle && client.hasRequested:
		return evictIdle
	case client.phase == clientIdle && elapsed < newClientGrace:
		return evictNew
	case client.phase == clientIdle, client.phase == clientReading && elapsed >= usualReadTime:
		return evictStalled
	case need > crowded && unfinished && pause >= need.maxPause():
		return evictPaused
	case need > crowded && unfinished && elapsed >= briefPause:
		return evictSlow
	}
	return evictNever
}

// isHeldUpload reports whether a request is still arriving and nothing of it has been sent to a server.
func (r *request) isHeldUpload() bool { return r.stream && r.arrivedAt == 0 && r.attempts == 0 }
