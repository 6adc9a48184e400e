package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	lg "lilacglade"
)

// While another process of this proxy runs, a request's name is claimed, so that only one process has it:
// from before the request is received until it has ended, or may be forgotten (abandonedNames). What is
// claimed is for the transport to carry out; without another process nothing is.

// NameHash returns what stands for a request's name, in this process and in others. It is never 0, and its
// lowest nameHashUnused bits are.
func NameHash(name string) uint64 {
	hash := xxhash.Sum64String(name) >> nameHashUnused << nameHashUnused
	return max(hash, 1<<nameHashUnused)
}

// nameHashUnused is how many bits of a hash another process doesn't learn.
const nameHashUnused = 3

// sharedName is a claimed name that must be forgotten at a time.
type sharedName struct {
	hash  uint64
	until time.Duration
}

// mustNotRepeat reports whether the name of a request is kept from others even if its process ends.
func (r *request) mustNotRepeat() bool { return r.class.Effect != lg.Safe }

// shareNames claims all names that are in use, or ceases to claim any: the claims are then void.
func (s *State) shareNames(on bool) {
	if s.namesShared == on {
		return
	}
	s.namesShared, s.claimedAbandoned = on, nil
	for _, req := range sortedValues(s.requests) {
		if req.nameClaimed = on; on {
			s.claimName(NameHash(req.name), req.mustNotRepeat())
		}
	}
	if !on {
		return
	}
	for hash, until := range s.abandoned.until {
		if s.now < until {
			s.claimedAbandoned = append(s.claimedAbandoned, sharedName{hash, until})
		}
	}
	slices.SortFunc(s.claimedAbandoned, func(a, b sharedName) int {
		return cmp.Or(cmp.Compare(a.until, b.until), cmp.Compare(a.hash, b.hash))
	})
	for _, name := range s.claimedAbandoned {
		s.claimName(name.hash, true)
	}
}

func (s *State) claimName(hash uint64, unsafe bool) {
	s.emit(Effect{Do: ClaimName, Name: hash, Unsafe: unsafe})
}

func (s *State) releaseName(hash uint64) { s.emit(Effect{Do: ReleaseName, Name: hash}) }

// abandon remembers a name whose request must not run again.
func (s *State) abandon(hash uint64) {
	s.abandoned.add(s.now, hash)
	if !s.namesShared {
		return
	}
	s.claimName(hash, true)
	s.claimedAbandoned = append(s.claimedAbandoned, sharedName{hash, s.now + abandonedRetention})
	if len(s.claimedAbandoned) > maxAbandoned {
		s.forgetClaimed()
	}
}

// forgetClaimed releases the claimed name that was abandoned first.
func (s *State) forgetClaimed() {
	s.releaseName(s.claimedAbandoned[0].hash)
	s.claimedAbandoned = s.claimedAbandoned[1:]
}

// sweepClaimed releases the claimed names that may be forgotten.
func (s *State) sweepClaimed() {
	for len(s.claimedAbandoned) > 0 && s.now >= s.claimedAbandoned[0].until {
		s.forgetClaimed()
	}
}

// namesLeft remembers the names of a process that has ended: their requests may have run, or may yet.
func (s *State) namesLeft(hashes []uint64) {
	for _, hash := range hashes {
		s.abandon(hash)
	}
}
