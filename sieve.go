package lilacglade

// This file implements the sieve, a consistent hash with weights. The key space is divided into
// ranges, about half of which are owned by servers in proportion to their capacity. A key is hashed
// with one function after another until a hash falls into an owned part of a range.

import (
	"math"
	"math/bits"
	"slices"
)

// lookup applies the hash function with the given index to the key and returns the owner of the
// place that the key maps to, nil if it has none.
func (b *Balancer) lookup(index int, key uint64) *server {
	hash := (mix(uint64(2*index+1))|1)*key + mix(uint64(2*index+2))
	shift := 65 - bits.Len(uint(len(b.ranges)))
	entry := b.ranges[hash>>shift]
	if entry.owner == nil || float64(hash<<(64-shift)>>11)/(1<<53) >= entry.fraction {
		return nil
	}
	return entry.owner
}

// setCapacity sets the capacity of s and adjusts its ranges, without touching those of other
// servers.
func (b *Balancer) setCapacity(s *server, capacity float64) {
	b.totalCapacity = max(0, b.totalCapacity+capacity-s.capacity)
	s.capacity = capacity
	b.adjustRanges(s, false)
	b.adjustRanges(s, true)
}

// adjustRanges lets s grow, or shrink, to the number of ranges that corresponds to its capacity.
func (b *Balancer) adjustRanges(s *server, grow bool) {
	missing := 0.0
	if b.totalCapacity > 0 {
		missing = s.capacity * float64(len(b.ranges)) / (2 * b.totalCapacity)
	}
	for _, index := range s.ownedRanges {
		missing -= b.ranges[index].fraction
	}
	for math.Abs(missing) > 1e-9 && missing > 0 == grow {
		index := b.nextRange(s, grow)
		if index < 0 {
			return
		}
		entry := &b.ranges[index]
		if entry.owner == nil {
			entry.owner, s.ownedRanges = s, append(s.ownedRanges, index)
		}
		fraction := max(0, min(1, entry.fraction+missing))
		missing += entry.fraction - fraction
		if entry.fraction = fraction; fraction < 1e-9 {
			*entry = sieveRange{}
			s.ownedRanges = slices.DeleteFunc(s.ownedRanges, func(o int) bool { return o == index })
		}
	}
}

// nextRange returns the index of the range that s grows into or shrinks out of: its partly owned
// one, else the next free one of its walk or the last one that it took; -1 if there is none.
func (b *Balancer) nextRange(s *server, grow bool) int {
	for _, index := range s.ownedRanges {
		if b.ranges[index].fraction < 1 {
			return index
		}
	}
	if grow {
		return b.freeRange(s)
	}
	if len(s.ownedRanges) == 0 {
		return -1
	}
	return s.ownedRanges[len(s.ownedRanges)-1]
}

// walkFactor limits a server's walk to this multiple of the number of ranges. Half of the ranges
// are free, so a walk of this length practically always finds one. If not, all ranges are scanned
// in order.
const walkFactor = 4

// freeRange returns the first range without an owner on the server's walk, -1 if every range is
// owned. The walk depends only on the server and the number of ranges, so it is the same at every
// proxy. It is short for any number of servers, since half of the ranges are free.
func (b *Balancer) freeRange(s *server) int {
	n := uint64(len(b.ranges)) // a power of two
	seed := mix(uint64(s.ID))
	for j := range walkFactor * n {
		if index := int(mix(seed+j) & (n - 1)); b.ranges[index].owner == nil {
			return index
		}
	}
	for index := range b.ranges {
		if b.ranges[index].owner == nil {
			return index
		}
	}
	return -1
}

// splitRanges doubles the number of ranges until there are enough for the given number of servers.
// Both halves of a range keep its owner. The number never decreases while the proxy runs: merging
// ranges would move keys between servers, and finer ranges cost a smaller fleet nothing.
func (b *Balancer) splitRanges(servers int) {
	for servers > 0 && len(b.ranges) < 2<<bits.Len(uint(servers-1)) {
		old := b.ranges
		b.ranges = make([]sieveRange, 2*len(old))
		for _, s := range b.sortedServers {
			owned := s.ownedRanges
			s.ownedRanges = make([]int, 0, 2*len(owned))
			for _, index := range owned { // in the order in which they were taken
				for half := range 2 {
					if fraction := min(1, 2*old[index].fraction-float64(half)); fraction > 1e-9 {
						b.ranges[2*index+half] = sieveRange{s, fraction}
						s.ownedRanges = append(s.ownedRanges, 2*index+half)
					}
				}
			}
		}
	}
}
