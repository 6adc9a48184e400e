package lilacglade

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// targetProxiesPerServer is about the number of proxies that send to one server. A server handles
// about a hundred connections of all proxies together. Using a third of them under normal load
// leaves capacity for bursts, and for proxies that have lost the servers of their own subset.
const targetProxiesPerServer = 30.0

// minSubset is the minimum size of a subset, and serversPerActiveRequest the number of servers that
// it has for each request that this proxy has in flight on average, more than most bursts need.
const (
	minSubset               = 4.0
	serversPerActiveRequest = 4.0
)

// subsetSlowStartBudget is the slowStartThreshold, in requests, of a proxy with a subset. With a
// lower one, two fifths of the budget remain unused.
const subsetSlowStartBudget = 3.0

// selectSubset selects the subset of servers that this proxy sends to (deterministic subsetting).
// If there are few proxies, each uses all servers. Otherwise each proxy has its own order of the
// servers, computed from their ids and its own number, and takes the first healthy ones, those in
// the preferred zone first. So servers of the same weight have about the same number of proxies,
// the subsets can be computed from the list alone, a server that is added or removed moves no
// other, and a proxy that loses servers takes the next ones in its order. Ejected servers before
// the last one taken belong to the subset, too: this proxy makes their probation attempts.
func (b *Balancer) selectSubset() {
	ready := 0
	for _, s := range b.sortedServers {
		if s.inSubset = true; s.State == Ready {
			ready++
		}
	}
	b.proxiesPerServer = float64(b.settings.Balancers)
	size := max(minSubset, targetProxiesPerServer*float64(ready)/b.proxiesPerServer,
		serversPerActiveRequest*b.arrivalRate*b.meanRelativeLatency)
	if size >= float64(ready) {
		return
	}
	b.proxiesPerServer *= size / float64(ready)
	// Round the size up or down depending on the proxy. Otherwise all proxies take one more server
	// at the same time.
	size = math.Floor(size + float64(mix(uint64(b.settings.Me))>>11)/(1<<53))
	b.subsetOrder = append(b.subsetOrder[:0], b.sortedServers...)
	slices.SortFunc(b.subsetOrder, func(s, o *server) int {
		if preferred := b.inPreferredZone(s); preferred != b.inPreferredZone(o) {
			if preferred {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(s.subsetRank/s.Weight, o.subsetRank/o.Weight), cmp.Compare(s.ID, o.ID))
	})
	for _, s := range b.subsetOrder {
		if s.inSubset = size > 0 && s.State == Ready; s.inSubset && !s.ejected {
			size--
		}
	}
}

// subsetRank returns the position of a server in this proxy's order, before its weight counts. It
// is exponentially distributed with rate one, so that after dividing by weights, the probability of
// being first is proportional to the weight.
func (b *Balancer) subsetRank(id ServerID) float64 {
	bits := mix(uint64(id) ^ mix(uint64(b.settings.Me)+0x9e3779b97f4a7c15))
	return -math.Log((float64(bits>>11) + 0.5) / (1 << 53))
}

// usesSubset reports whether this proxy sends to a subset of the servers only.
func (b *Balancer) usesSubset() bool { return b.proxiesPerServer < float64(b.settings.Balancers) }

// slowStartThreshold returns the budget of a server in slow start, in requests, below which the next
// request goes there as soon as the budget allows. A larger budget lasts until a key maps to the
// server. In a small subset, keys map to each server often, but not often enough to use it up.
func (b *Balancer) slowStartThreshold() float64 {
	if b.usesSubset() {
		return subsetSlowStartBudget
	}
	return 1
}

// sharingProxies returns about the number of proxies that send to one server.
func (b *Balancer) sharingProxies() time.Duration {
	return max(1, min(b.maxSharingProxies, time.Duration(math.Ceil(b.proxiesPerServer))))
}
