package reducer

import (
	"slices"
	"time"

	lg "lilacglade"
	"lilacglade/internal/fencing"
	"lilacglade/internal/hotkeys"
)

// clearPollInterval is how often the reducer checks whether connections to marked servers are still
// open.
const clearPollInterval = 20 * time.Millisecond

// FencingUpdated brings the facts that the coordination group has agreed on about servers that are
// taken out for maintenance. OwnGrant is the grant by which this proxy's own machine is taken out, 0 if
// it is not.
type FencingUpdated struct {
	Facts    fencing.Restrictions[lg.ServerID]
	OwnGrant uint64
}

func (FencingUpdated) event() {}

// FencingStatus is the Payload of a ReportFencing effect: the reducer follows the facts up to Index,
// and has no connection open to the servers in Clear, for these grants.
type FencingStatus struct {
	Index    uint64
	Clear    []fencing.Mark[lg.ServerID]
	OwnGrant uint64 // the grant of the proxy's own machine, once nothing is open here any more; else 0
}

// maintenance is the state of servers that are taken out for maintenance in coordination with other
// proxies. Without peers there is none.
type maintenance struct {
	fence          *fencing.Fence[lg.ServerID]
	listed         map[lg.ServerID]lg.Server // as in discovery's list
	held           map[lg.ServerID]bool      // servers that the decider and the pool see as draining
	reported       FencingStatus             // the last status
	nextLeaseCheck time.Duration             // time of the scheduled check of the lease
	pollScheduled  bool                      // a check for open connections is scheduled
	ownGrant       uint64                    // the grant by which this proxy's own machine is taken out
	hotKeys        hotkeys.Counter[lg.ServerID]
	ownClear       bool // nothing is open here, as reported: no more requests are accepted
}

func newMaintenance() *maintenance {
	return &maintenance{fence: fencing.New[lg.ServerID](), listed: map[lg.ServerID]lg.Server{},
		held: map[lg.ServerID]bool{}}
}

// overlayHolds records a list from discovery, and returns it with held servers shown as draining.
func (s *State) overlayHolds(list lg.List) lg.List {
	m := s.maintenance
	if list.Kind == lg.ListFailed {
		return list
	}
	if list.Kind != lg.Changes {
		clear(m.listed)
		clear(m.held)
	}
	list.Servers = slices.Clone(list.Servers)
	for i, server := range list.Servers {
		if server.State == lg.Gone {
			delete(m.listed, server.ID)
			delete(m.held, server.ID)
			continue
		}
		m.listed[server.ID] = server
		if m.held[server.ID] = m.fence.Blocks(server.ID); m.held[server.ID] && server.State == lg.Ready {
			list.Servers[i].State = lg.Draining
		}
	}
	return list
}

// fencingUpdated applies facts from the coordination group.
func (s *State) fencingUpdated(ev FencingUpdated) {
	if s.maintenance == nil {
		return
	}
	m := s.maintenance
	m.fence.Update(ev.Facts)
	if ev.OwnGrant != m.ownGrant {
		starts := m.ownGrant == 0
		if m.ownGrant, m.ownClear = ev.OwnGrant, false; starts {
			s.timers.add(s.now+drainDelay, s.drainForMaintenance)
		}
		s.publishReadiness()
	}
	s.checkLease()
	s.reportFencing()
}

// leaving reports whether this proxy's own machine is to be taken out.
func (s *State) leaving() bool { return s.maintenance != nil && s.maintenance.ownGrant > 0 }

// drainForMaintenance closes idle clients while the proxy's own machine is to be taken out. Meanwhile
// each answer is the last one on its connection, and health checks report that the proxy is not ready.
func (s *State) drainForMaintenance() {
	if !s.leaving() {
		return
	}
	s.timers.add(s.now+drainInterval, s.drainForMaintenance)
	s.closeIdleClients()
	if m := s.maintenance; !m.ownClear && len(s.requests) == 0 && !s.hasOpenClients() {
		m.ownClear = true // from here on every request is rejected, until the process or the grant ends
		s.reportFencing()
	}
}

// checkLease checks the lease. It runs before every event: a process that was paused for longer than
// its lease must not send anything new to a server that may be out by now, whichever event it handles.
func (s *State) checkLease() {
	m := s.maintenance
	changed, closeNamed := m.fence.Advance(s.now)
	if changed {
		s.updateHolds()
	}
	if closeNamed {
		s.closeNamedConns()
	}
	if due := m.fence.NextDeadline(); due > 0 && due != m.nextLeaseCheck {
		m.nextLeaseCheck = due
		s.timers.add(due, s.checkLease)
	}
}

// updateHolds notifies the decider and the pool which servers are held now, as drains and ends of
// drains.
func (s *State) updateHolds() {
	m := s.maintenance
	var updates []lg.Server
	for _, server := range sortedValues(m.listed) {
		if held := m.fence.Blocks(server.ID); held != m.held[server.ID] {
			if m.held[server.ID] = held; held && server.State == lg.Ready {
				server.State = lg.Draining
			}
			updates = append(updates, server)
			s.pool.SetServerState(server.ID, server.State)
		}
	}
	if len(updates) == 0 {
		return
	}
	s.notify(lg.List{Kind: lg.Changes, Servers: updates})
	s.runPoolActions()
	s.metricsChanged()
	s.publishReadiness()
}

// closeNamedConns closes all connections to servers that may be out: the lease has run out, and since
// then the longest deadline has passed. Requests that were written there may have run.
func (s *State) closeNamedConns() {
	for _, id := range s.maintenance.fence.Named() {
		for _, conn := range sortedValues(s.serverConns) {
			if conn.Server.ID != id || s.serverConns[ConnID(conn.ID)] != conn {
				continue
			}
			if client := s.streamingClient(conn); client != nil {
				s.closeClient(client, ClosedForMaintenance) // breaks its answer off, visibly for the client
				continue
			}
			if conn.attempt != nil {
				s.endAttempt(conn.attempt, lg.Reset, lg.LoadReport{})
			}
			s.closeConn(conn)
		}
	}
}

// streamingClient returns the client whose answer streams from a connection, nil if there is none.
func (s *State) streamingClient(conn *serverConn) *clientConn {
	if conn.phase == connStreaming {
		for _, client := range s.clients {
			if client.source == conn {
				return client
			}
		}
	}
	return nil
}

// reportFencing reports the progress of this proxy to the coordination group, if it has changed.
func (s *State) reportFencing() {
	m := s.maintenance
	status := FencingStatus{Index: m.fence.Index(), Clear: m.fence.ClearMarks(s.connsTo)}
	if m.ownClear {
		status.OwnGrant = m.ownGrant
	}
	if status.Index != m.reported.Index || status.OwnGrant != m.reported.OwnGrant ||
		!slices.Equal(status.Clear, m.reported.Clear) {
		m.reported = status
		s.emit(Effect{Do: ReportFencing, Payload: status})
	}
	// A clear server stays clear as long as it is marked, which may be days after a failure, because
	// nothing is opened there. So nothing is polled when all are clear.
	if len(status.Clear) < m.fence.MarkCount() && !m.pollScheduled {
		m.pollScheduled = true
		s.timers.add(s.now+clearPollInterval, func() {
			m.pollScheduled = false
			s.reportFencing()
		})
	}
}

// connsTo counts the connections to a server, including those being opened. It counts them one by one
// because discovery may have removed the server and listed it again: connections from before are still
// open then.
func (s *State) connsTo(id lg.ServerID) (n int) {
	for _, conn := range s.serverConns {
		if conn.Server.ID == id {
			n++
		}
	}
	return n
}
