package lilacglade

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// sharersMost is about how many proxies work with one server. A server takes a hundred connections or so of
// all proxies together; a third of them in everyday use leaves room for bursts, and for the proxies whose own
// part is lost.
const sharersMost = 30.0

// partLeast is the least that a part has, and partSpare how many servers it has for each request that this
// proxy has in work on the average: more are there than requests in most bursts.
const (
	partLeast = 4.0
	partSpare = 4.0
)

// coldRoom is the room of a cold server's budget, in requests, up to which the next request goes there once
// the budget is due, in a part of the servers: with less, two fifths of what it may take were not used.
const coldRoom = 3.0

// portion settles with which part of the servers this proxy works. Proxies whose number is small work with
// all. Else each draws its own order of them, from their ids and its own number, and takes the first that are
// sound, those of its own zone before others where it keeps to that; so a server has about as many proxies as
// any of its weight, whoever knows the same list can tell who works with whom, a server that comes or goes
// moves nothing else, and a proxy whose servers are lost takes the next in its order. Servers set aside that
// come before the last one taken are of the part, too: their trials are this proxy's.
func (b *Balancer) portion() {
	ready := 0
	for _, s := range b.order {
		if s.mine = true; s.State == Ready {
			ready++
		}
	}
	b.peers = float64(b.set.Balancers)
	want := max(partLeast, sharersMost*float64(ready)/b.peers, partSpare*b.arrivals*b.meanSlow)
	if want >= float64(ready) {
		return
	}
	b.peers *= want / float64(ready)
	// Parts of servers come to whole ones at some proxies sooner than at others: guards against all of them
	// taking one more at once.
	want = math.Floor(want + float64(mix(uint64(b.set.Me))>>11)/(1<<53))
	b.drawn = append(b.drawn[:0], b.order...)
	slices.SortFunc(b.drawn, func(s, o *server) int {
		if near := b.near(s); near != b.near(o) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(s.draw/s.Weight, o.draw/o.Weight), cmp.Compare(s.ID, o.ID))
	})
	for _, s := range b.drawn {
		if s.mine = want > 0 && s.State == Ready; s.mine && !s.aside {
			want--
		}
	}
}

// draw is where a server stands in this proxy's order, before its weight counts: the time of the first event
// of a process of rate one, so that the least of several, each divided by its weight, is one's by its weight.
func (b *Balancer) draw(id ServerID) float64 {
	u := mix(uint64(id) ^ mix(uint64(b.set.Me)+0x9e3779b97f4a7c15))
	return -math.Log((float64(u>>11) + 0.5) / (1 << 53))
}

// parted tells whether this proxy works with a part of the servers only.
func (b *Balancer) parted() bool { return b.peers < float64(b.set.Balancers) }

// waits is the room in requests at which a cold server's budget lasts until a key names it. In a part of few
// servers keys name each often, and still too seldom to use it up.
func (b *Balancer) waits() float64 {
	if b.parted() {
		return coldRoom
	}
	return 1
}

// sharing is about how many proxies send to one server.
func (b *Balancer) sharing() time.Duration {
	return max(1, min(b.sharers, time.Duration(math.Ceil(b.peers))))
}
