// Package sendguard holds the conditions under which the proxy may send an attempt to a server, end a
// client's connection and give an answer: one place that every path passes last, whatever decided before it.
// What it turns down is not done; what it finds broken is counted, so that a fault of the program shows on
// any day. It is pure.
package sendguard

import (
	"time"

	lg "lilacglade"
)

// Rule is a condition that was found broken.
type Rule uint8

// The rules. Each stands for a fault of the program: other parts see to it that none is ever broken.
const (
	None        Rule = iota
	Drained          // a server that drains or is gone would get something new
	Ended            // a request would be sent that has its final answer, or whose client has left
	AtOnce           // a second attempt would be out beside the first
	Repeated         // what may have run would be repeated where that does harm
	Overdue          // a request got its final answer after its client had given up
	Abandoned        // a client's connection would be closed while an answer is owed on it
	Unconfirmed      // something would be sent by a server list that does not count yet
	Expired          // something would be sent by a server list that may be out of date
	rules
)

// Names are the rules' names in operators' figures.
var Names = [rules]string{"none", "drained", "ended", "at_once", "repeated", "overdue", "abandoned",
	"unconfirmed", "expired"}

// String is the rule's name in operators' figures.
func (r Rule) String() string { return Names[r] }

// Counts are violations by rule.
type Counts [rules]uint64

// Total is how many violations there were.
func (c *Counts) Total() (total uint64) {
	for _, n := range c {
		total += n
	}
	return total
}

// Location is where a server stands, for the repeats of keyed requests.
type Location struct{ Zone, Cell int }

// PriorAttempt is the first attempt of a request that may have run.
type PriorAttempt struct {
	SentAt   time.Duration // when it was sent
	Location Location
}

// Attempt is an attempt that is about to be written to a server.
type Attempt struct {
	Now      time.Duration
	State    lg.State // of the server, as it counts as told
	Location Location
	Class    lg.Class
	Ended    bool          // the request has its final answer, or its client has left
	AtOnce   bool          // another attempt is out
	Prior    *PriorAttempt // nil: none may have run
	// Unconfirmed: lists are pushed, and this process has not heard of one yet
	Unconfirmed bool
	Expired     bool // the lease of the server list has run out
}

// Check tells which rule the attempt would break, None if it may be sent.
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

// repeatable tells whether the attempt does no harm beside one that may have run.
func repeatable(a Attempt) bool {
	switch a.Class.Effect {
	case lg.Safe:
		return true
	case lg.Keyed:
		return a.Now < a.Prior.SentAt+a.Class.Memory && sameGroup(a.Class.Group, a.Location, a.Prior.Location)
	}
	return false
}

// sameGroup tells whether two servers know of each other which keys have run.
func sameGroup(g lg.Group, a, b Location) bool {
	switch g {
	case lg.GroupZone:
		return a.Zone == b.Zone
	case lg.GroupCell:
		return a == b
	}
	return true
}
