package reducer

// CloseCause is the reason why a client connection ended.
type CloseCause uint8

// The causes. Metrics.Closes counts by them.
const (
	ClosedByClient       CloseCause = iota // the client closed it, or it broke
	ClosedWriteFailed                      // an answer could not be written
	ClosedLastAnswer                       // after an answer that was announced as the last one
	ClosedIdle                             // it was idle for too long, or the proxy is stopping
	ClosedForCapacity                      // its descriptor was needed for others
	ClosedForMaintenance                   // its answer streamed from a server that is taken out for maintenance
	closeCauses
)

var closeCauseNames = [closeCauses]string{"client", "unwritten", "last_answer", "idle", "room", "maintenance"}

// String returns the cause's name in operators' metrics.
func (c CloseCause) String() string { return closeCauseNames[c] }

// countClose counts the end of a client connection, once for each.
func (s *State) countClose(client *clientConn, cause CloseCause) {
	if client.closeCounted {
		return
	}
	client.closeCounted = true
	s.counters.closes[cause]++
	if s.cfg.Trace != nil {
		s.trace("X %d %s", client.id, cause)
	}
	s.metricsChanged()
}
