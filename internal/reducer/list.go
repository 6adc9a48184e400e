package reducer

import (
	lg "lilacglade"
	"lilacglade/internal/listcalls"
)

// listCalls is what is known of the server list, and of the calls for it.
type listCalls struct {
	*listcalls.Schedule
	listLog
	begun     bool     // the first call is due, or was made
	confirmed bool     // the list service has answered
	old       *lg.List // known from before, kept until it is clear that nothing newer is to be had
	lapsed    bool     // the decision module knows that the list may not be used
	used      bool     // it could be used once: this process may be told to be ready
}

// listConfig is what the calls for the list go by.
func listConfig(set *lg.Settings) listcalls.Config {
	return listcalls.Config{Asked: set.AskForList, Every: set.AskEvery, Grace: set.DrainGrace, Me: set.Me,
		Proxies: set.Balancers}
}

// pushed tells whether lists are pushed: what discovery has counts as told then, asked for or not.
func (s *State) pushed() bool { return !s.cfg.Settings.AskForList }

// expired tells whether what changed since the list was heard may count as notified, though this process has
// not heard of it. Where lists are pushed everything counts at once, and nothing is known of it.
func (s *State) expired() bool { return !s.pushed() && s.now >= s.list.UsableUntil() }

// renew tells the decision module where the list can be used again, or can't any more.
func (s *State) renew() {
	expired := s.expired()
	if expired == s.list.lapsed {
		return
	}
	s.list.lapsed = expired
	s.tell(lg.ListLease{Expired: expired})
	if s.list.used {
		s.log(s.list.lapse(s.now, expired))
	}
	s.list.used = s.list.used || !expired
	s.changed()
	s.readiness()
}

// told takes in the server list's news and goes on watching.
func (s *State) told(ev ListTold) {
	list := ev.List
	if list.Kind == lg.CachedList && s.pushed() && !s.list.confirmed && s.now < s.cfg.Confirm {
		s.list.old = &list // guards against sending by a list that counts as outdated from the first moment
		return
	}
	s.called(ev)
	if list.Kind == lg.ListFailed {
		return
	}
	if list.Kind != lg.CachedList {
		s.list.confirmed, s.list.old = true, nil
	}
	if s.work != nil {
		list = s.overlay(list)
	}
	s.tell(list)
	if s.cfg.Trace != nil {
		s.traceList(list)
	}
	s.spread(list)
	s.pooled()
	s.changed()
	s.readiness()
}

// spread tells the pool and the guard what a list says of each server.
func (s *State) spread(list lg.List) {
	for _, l := range list.Servers {
		s.place(l)
		s.pool.Told(l.ID, l.State)
	}
	if list.Kind == lg.Changes {
		return
	}
	named := make(map[lg.ServerID]bool, len(list.Servers))
	for _, l := range list.Servers {
		named[l.ID] = true
	}
	for _, h := range s.pool.Hops() {
		if !named[h.ID] {
			delete(s.places, h.ID)
			s.pool.Told(h.ID, lg.Gone)
		}
	}
}

// called takes in the end of a call for the list, if it is one, and has the next one made in time. The
// decision module hears of no call that failed: how calls follow each other is settled here alone.
func (s *State) called(ev ListTold) {
	switch {
	case ev.List.Kind == lg.CachedList || ev.Late:
		s.firstCall()
	case ev.List.Kind == lg.ListFailed && s.list.Out():
		s.log(s.list.ended(s.now))
		s.changed()
		next := s.list.Failed(s.now)
		s.log(s.list.failedCall(s.now, s.list.Number(), next))
		s.clock.add(next, s.watch)
	case ev.List.Kind == lg.ListFailed: // of a call that was given up before
	default:
		s.log(s.list.answered(s.now))
		quiet := ev.List.Kind == lg.Changes && len(ev.List.Servers) == 0
		full := ev.List.Kind == lg.FullList || ev.Complete
		s.clock.add(s.list.Answered(s.now, listcalls.Answer{Whole: full, Quiet: quiet, Known: !ev.Whole,
			Work: ev.Work}), s.watch)
	}
}

// firstCall has the first call made, once it is known what the process knows from before.
func (s *State) firstCall() {
	if !s.list.begun && !s.pushed() {
		s.list.begun = true
		s.clock.add(s.list.First(s.now), s.watch)
	}
}

// log writes a line, if there is one.
func (s *State) log(line string) {
	if line != "" {
		s.do(Effect{Do: Log, Text: line})
	}
}

// unconfirmed goes on by what is known where the list service has not answered in time.
func (s *State) unconfirmed() {
	if old := s.list.old; old != nil && !s.list.confirmed {
		s.list.old = nil
		s.told(ListTold{List: *old})
	}
	s.readiness()
}

// watch asks for the server list, unless it has been asked for: both the end of a call and the Balancer want
// the next one, and the list service answers one call after the other.
func (s *State) watch() {
	if c, ok := s.list.Begin(s.now); ok {
		s.call(c)
	}
}

// call makes a call. One clock ends it, whatever becomes of the connection.
func (s *State) call(c listcalls.Call) {
	s.log(s.list.asks(s.now, c.Number))
	if s.cfg.Trace != nil {
		s.trace("W %s anew %t", s.cfg.Discovery, c.Anew)
	}
	s.do(Effect{Do: Watch, Text: s.cfg.Discovery, At: s.now + c.Wait, GiveUp: c.GiveUp, Anew: c.Anew})
	s.clock.add(c.GiveUp, func() { s.silent(c.Number) })
}

// silent gives up a call that has fallen silent, and makes the next one at once.
func (s *State) silent(number int) {
	next, ok := s.list.GiveUp(s.now, number)
	if !ok {
		return
	}
	s.log("discovery has fallen silent: asked anew")
	s.log(s.list.ended(s.now))
	s.call(next)
}
