package pool

import (
	"math/bits"
	"time"
)

// idleHistogram learns, over all servers, how long a connection may be idle. A server, or a middlebox in
// front of it, may drop idle connections silently and sooner than the settings assume, and a request
// written on such a connection ends as a reset. Exchanges are counted by how long their connection had
// been idle, in buckets whose widths double.
type idleHistogram struct{ buckets [32]exchanges }

// exchanges are decaying counts of exchanges.
type exchanges struct{ total, broken float64 }

// Connections in a bucket are no longer used when at least minBroken of its exchanges broke, and a
// fraction of them larger than brokenFraction plus brokenRatio times the fraction at shorter idle times.
const (
	minBroken      = 3.0
	brokenFraction = 0.1
	brokenRatio    = 2.0
	countDecay     = 0.998 // factor on all counts at each sweep
)

// bucketIndex is the bucket of an idle time: bucket i holds times from 2^(i-1) ms to below 2^i ms.
func bucketIndex(idle time.Duration) int { return bits.Len64(uint64(max(0, idle.Milliseconds()))) }

// add counts an exchange on a connection that had been idle for some time.
func (h *idleHistogram) add(idle time.Duration, broken bool) {
	b := &h.buckets[min(bucketIndex(idle), len(h.buckets)-1)]
	if b.total++; broken {
		b.broken++
	}
}

// decay reduces the weight of old exchanges, so that longer idle times are tried again eventually.
func (h *idleHistogram) decay() {
	for i := range h.buckets {
		h.buckets[i].total *= countDecay
		h.buckets[i].broken *= countDecay
	}
}

// limit is the idle time from which on a connection must not be used, at most maxIdle.
func (h *idleHistogram) limit(maxIdle time.Duration) time.Duration {
	var shorter exchanges
	for i, b := range h.buckets {
		fraction := shorter.broken / max(1, shorter.total)
		if i > 0 && b.broken >= minBroken && b.broken > (brokenFraction+brokenRatio*fraction)*b.total {
			return min(maxIdle, time.Millisecond<<(i-1))
		}
		shorter.total += b.total
		shorter.broken += b.broken
	}
	return maxIdle
}
