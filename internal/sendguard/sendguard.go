// Package sendguard checks invariants before the proxy sends an attempt to a server, closes a
// client's connection or answers a request. Every code path passes these checks last, whatever
// decided before. An attempt that would violate a rule is not sent, and violations are counted, so
// that a programming error shows in production. The package is pure.
package sendguard

import (
	"time"

	lg "lilacglade"
)

// Rule is an invariant.
type Rule uint8

// The rules, by how they are violated. A violation is always a programming error: other code ensures
// that none occurs.
const (
	None        Rule = iota
	Drained          // an attempt to a server that is draining or gone
	Ended            // an attempt for a request that has its final answer, or whose client has left
	AtOnce           // a second attempt while the first is pending
	Repeated         // a repeat that is not safe after an attempt that may have run
	Overdue          // a final answer after the client has given up
	Abandoned        // a client's connection closed while an answer is due on it
	Unconfirmed      // an attempt by a server list that is not confirmed yet
	Expired          // an attempt by a server list that may be out of date
	ruleCount
)

// Names are the rules' names in metrics.
var Names = [ruleCount]string{"none", "drained", "ended", "at_once", "repeated", "overdue", "abandoned",
	"unconfirmed", "expired"}

// String returns the rule's name in metrics.
func (r Rule) String() string { return Names[r] }

// Counts holds the number of violations of each rule.
type Counts [ruleCount]uint64

// Total returns the number of all violations.
func (c *Counts) Total() (total uint64) {
	for _, n := range c {
		total += n
	}
	return total
}

// Location is the zone and cell of a server, which limit where keyed requests may be repeated.
type Location struct{ Zone, Cell int }

// PriorAttempt is the first attempt of a request that the server may have executed.
type PriorAttempt struct {
	SentAt   time.Duration // when it was sent
	Location Location
}

// Attempt is an attempt that is about to be written to a server.
type Attempt struct {
	Now      time.Duration
	State    lg.State // of the server, according to the notified server list
	Location Location
	Class    lg.Class
	Ended    bool          // the request has its final answer, or its client has left
	AtOnce   bool          // another attempt is pending
	Prior    *PriorAttempt // nil: none may have run
	// Unconfirmed is set if lists are pushed, and this process has not received one yet.
	Unconfirmed bool
	Expired     bool // the lease of the server list has run out
}

// Check returns the rule that the attempt would violate, None if it may be sent.
func Check(a Attempt) Rule {
	switch {
	case a.State != lg.Ready:
		return Drained
	case a.Ended:
		return Ended
	case a.AtOnce:
		return AtOnce
	case a.Unconfirmed:
		return Unconfirmed
	case a.Expired:
		return Expired
	case a.Prior != nil && !repeatable(a):
		return Repeated
	}
	return None
}

// repeatable reports whether the attempt is safe after one that may have run.
func repeatable(a Attempt) bool {
	switch a.Class.Effect {
	case lg.Safe:
		return true
	case lg.Keyed:
		return a.Now < a.Prior.SentAt+a.Class.Memory && sameGroup(a.Class.Group, a.Location, a.Prior.Location)
	}
	return false
}

// sameGroup reports whether two servers share the keys of requests they have executed.
func sameGroup(g lg.Group, a, b Location) bool {
	switch g {
	case lg.GroupZone:
		return a.Zone == b.Zone
	case lg.GroupCell:
		return a == b
	}
	return true
}
