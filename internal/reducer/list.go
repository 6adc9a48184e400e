package reducer

import (
	"time"

	lg "lilacglade"
	"lilacglade/internal/listcalls"
)

// listState is the state of the server list and of the calls for it.
type listState struct {
	*listcalls.Schedule
	listLog
	started    bool     // the first call is scheduled, or was made
	confirmed  bool     // the list service has answered
	cached     *lg.List // from an earlier process, kept until it is clear that none newer is available
	expired    bool     // the decider was notified that the list must not be used
	everUsable bool     // the list was usable once: this process may report that it is ready
}

// scheduleConfig returns the configuration of the call schedule.
func scheduleConfig(settings *lg.Settings) listcalls.Config {
	return listcalls.Config{Polled: settings.AskForList, PollInterval: settings.AskEvery,
		DrainGrace: settings.DrainGrace, Index: settings.Me, Proxies: settings.Balancers}
}

// listPushed reports whether lists are pushed: then the proxy counts as notified of everything that
// discovery has, whether or not it has called.
func (s *State) listPushed() bool { return !s.cfg.Settings.AskForList }

// listExpired reports whether changes since the last update may count as notified, though this process
// has not received them. Where lists are pushed every change counts at once, so there is no lease to
// check.
func (s *State) listExpired() bool { return !s.listPushed() && s.now >= s.list.UsableUntil() }

// updateListLease notifies the decider when the list can be used again, or no longer.
func (s *State) updateListLease() {
	expired := s.listExpired()
	if expired == s.list.expired {
		return
	}
	s.list.expired = expired
	s.notify(lg.ListLease{Expired: expired})
	if s.list.everUsable {
		s.logLine(s.list.leaseChanged(s.now, expired))
	}
	s.list.everUsable = s.list.everUsable || !expired
	s.metricsChanged()
	s.publishReadiness()
}

// listReceived applies an update of the server list and goes on watching.
func (s *State) listReceived(ev ListReceived) {
	list := ev.List
	if list.Kind == lg.CachedList && s.listPushed() && !s.list.confirmed && s.now < s.cfg.ConfirmTimeout {
		// Otherwise requests would be sent by a list that counts as outdated from the start.
		s.list.cached = &list
		return
	}
	s.callEnded(ev)
	if list.Kind == lg.ListFailed {
		return
	}
	if list.Kind != lg.CachedList {
		s.list.confirmed, s.list.cached = true, nil
	}
	if s.maintenance != nil {
		list = s.overlayHolds(list)
	}
	s.notify(list)
	if s.cfg.Trace != nil {
		s.traceList(list)
	}
	for _, id := range ev.Replaced {
		s.pool.ReplaceServer(id)
	}
	s.applyList(list)
	s.runPoolActions()
	s.metricsChanged()
	s.publishReadiness()
}

// applyList passes each server's state to the pool and its location to the send checks.
func (s *State) applyList(list lg.List) {
	for _, server := range list.Servers {
		s.setLocation(server)
		s.pool.SetServerState(server.ID, server.State)
	}
	if list.Kind == lg.Changes {
		return
	}
	named := make(map[lg.ServerID]bool, len(list.Servers))
	for _, server := range list.Servers {
		named[server.ID] = true
	}
	for _, server := range s.pool.Servers() {
		if !named[server.ID] {
			delete(s.locations, server.ID)
			s.pool.SetServerState(server.ID, lg.Gone)
		}
	}
}

// callEnded handles the end of a call for the list, if the update is one, and schedules the next call.
// The decider is not notified of failed calls: only this package and listcalls decide when calls are
// made.
func (s *State) callEnded(ev ListReceived) {
	switch {
	case ev.List.Kind == lg.CachedList || ev.Late:
		s.scheduleFirstCall()
	case ev.List.Kind == lg.ListFailed && s.list.Pending():
		s.logLine(s.list.callFailed(s.now))
		s.metricsChanged()
		next := s.callFailed(ev)
		s.logLine(s.list.failureLine(s.now, s.list.Number(), next))
		s.timers.add(next, s.watch)
	case ev.List.Kind == lg.ListFailed: // of a call that was given up before
	default:
		s.logLine(s.list.callAnswered(s.now))
		unchanged := ev.List.Kind == lg.Changes && len(ev.List.Servers) == 0
		complete := ev.List.Kind == lg.FullList || ev.Complete
		s.timers.add(s.list.Answered(s.now, listcalls.Answer{Full: complete, Unchanged: unchanged,
			VersionKnown: !ev.NextFull, ProcessingTime: ev.ProcessingTime}), s.watch)
	}
}

// callFailed records a failed call and returns the time of the next one.
func (s *State) callFailed(ev ListReceived) time.Duration {
	if ev.Unusable {
		return s.list.Unusable(s.now)
	}
	return s.list.Failed(s.now)
}

// scheduleFirstCall schedules the first call, once it is clear what the process knows from before.
func (s *State) scheduleFirstCall() {
	if !s.list.started && !s.listPushed() {
		s.list.started = true
		s.timers.add(s.list.FirstCall(s.now), s.watch)
	}
}

// logLine logs a line unless it is empty.
func (s *State) logLine(line string) {
	if line != "" {
		s.emit(Effect{Do: Log, Text: line})
	}
}

// confirmTimedOut goes on with the cached list if the list service has not answered in time.
func (s *State) confirmTimedOut() {
	if cached := s.list.cached; cached != nil && !s.list.confirmed {
		s.list.cached = nil
		s.listReceived(ListReceived{List: *cached})
	}
	s.publishReadiness()
}

// watch calls for the server list unless a call is pending. Both the end of a call and the decider
// request the next one, but a proxy has one call open at a time.
func (s *State) watch() {
	if call, ok := s.list.Begin(s.now); ok {
		s.makeCall(call)
	}
}

// makeCall makes a call. One timer ends it, whatever becomes of its connection.
func (s *State) makeCall(call listcalls.Call) {
	s.logLine(s.list.callStarted(s.now, call.Number))
	if s.cfg.Trace != nil {
		s.trace("W %s anew %t", s.cfg.Discovery, call.NewConn)
	}
	s.emit(Effect{Do: Watch, Text: s.cfg.Discovery, At: s.now + call.Wait, GiveUpAt: call.Deadline,
		NewConn: call.NewConn})
	s.timers.add(call.Deadline, func() { s.callTimedOut(call.Number) })
}

// callTimedOut gives up a call that got no answer in time, and makes the next one at once.
func (s *State) callTimedOut(number int) {
	next, ok := s.list.TimeOut(s.now, number)
	if !ok {
		return
	}
	s.logLine("discovery has fallen silent: called again on a new connection")
	s.logLine(s.list.callFailed(s.now))
	s.makeCall(next)
}
