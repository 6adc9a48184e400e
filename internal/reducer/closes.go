package reducer

// CloseCause is why a client's connection was ended, or that its client ended it.
type CloseCause uint8

// The causes. Figures.Closes counts by them.
const (
	ClosedByClient   CloseCause = iota // its client closed it, or it broke
	ClosedUnwritten                    // an answer could not be written on it
	ClosedLastAnswer                   // after an answer that was announced as its last
	ClosedIdle                         // it rested for too long, or the proxy is stopping
	ClosedForRoom                      // others needed its descriptor
	ClosedForWork                      // the proxy's own machine goes out for work
	closeCauses
)

var closeNames = [closeCauses]string{"client", "unwritten", "last_answer", "idle", "room", "maintenance"}

// String is the cause's name in operators' figures.
func (c CloseCause) String() string { return closeNames[c] }

// countClose counts the end of a client's connection, once for each.
func (s *State) countClose(c *caller, cause CloseCause) {
	if c.counted {
		return
	}
	c.counted = true
	s.counts.closes[cause]++
	if s.cfg.Trace != nil {
		s.trace("X %d %s", c.id, cause)
	}
	s.changed()
}
