package reducer

import (
	"slices"
	"time"

	lg "lilacglade"
	"lilacglade/internal/fencing"
	"lilacglade/internal/hotkeys"
)

// stopEvery is how often the reducer looks whether nothing is left at machines that are to be taken out.
const stopEvery = 20 * time.Millisecond

// Settled brings what the proxies have settled among themselves about machines that are taken out for work.
// Own is the grant by which this proxy's own machine is to go out; 0: it isn't.
type Settled struct {
	Facts fencing.Restrictions[lg.ServerID]
	Own   uint64
}

func (Settled) event() {}

// Stopped is the Payload of a Stop effect: the reducer keeps to the facts up to Index, and no leg is open to
// the machines of Clear, of these grants.
type Stopped struct {
	Index uint64
	Clear []fencing.Mark[lg.ServerID]
	Own   uint64 // nothing is open here any more, of this grant of the proxy's own machine
}

// work is the machines that other proxies, too, take out for work. With no peers there is none.
type work struct {
	set    *fencing.Fence[lg.ServerID]
	listed map[lg.ServerID]lg.Server // as discovery lists them
	held   map[lg.ServerID]bool      // what the module and the pool were told to be draining for it
	told   Stopped                   // last
	due    time.Duration             // when the clock has the next look at the lease
	polled bool                      // the clock has the next look at what is open
	own    uint64                    // the grant by which this proxy's own machine goes out
	keys   hotkeys.Counter[lg.ServerID]
	closed bool // it has said that nothing is open here: it takes nothing more
}

func newWork() *work {
	return &work{set: fencing.New[lg.ServerID](), listed: map[lg.ServerID]lg.Server{},
		held: map[lg.ServerID]bool{}}
}

// overlay takes in a list from discovery, and has held machines drain in what the rest is told of it.
func (s *State) overlay(list lg.List) lg.List {
	w := s.work
	if list.Kind == lg.ListFailed {
		return list
	}
	if list.Kind != lg.Changes {
		clear(w.listed)
		clear(w.held)
	}
	list.Servers = slices.Clone(list.Servers)
	for i, l := range list.Servers {
		if l.State == lg.Gone {
			delete(w.listed, l.ID)
			delete(w.held, l.ID)
			continue
		}
		w.listed[l.ID] = l
		if w.held[l.ID] = w.set.Blocks(l.ID); w.held[l.ID] && l.State == lg.Ready {
			list.Servers[i].State = lg.Draining
		}
	}
	return list
}

// settled takes in what the council tells.
func (s *State) settled(ev Settled) {
	if s.work == nil {
		return
	}
	w := s.work
	w.set.Update(ev.Facts)
	if ev.Own != w.own {
		begins := w.own == 0
		if w.own, w.closed = ev.Own, false; begins {
			s.clock.add(s.now+drainFor, s.emptying)
		}
		s.readiness()
	}
	s.lookWork()
	s.stopped()
}

// outgoing tells whether this proxy's own machine is to go out.
func (s *State) outgoing() bool { return s.work != nil && s.work.own > 0 }

// emptying lets go of idle callers while the proxy's own machine is to go out: each answer is its leg's
// last, and who asks for readiness is told to go elsewhere.
func (s *State) emptying() {
	if !s.outgoing() {
		return
	}
	s.clock.add(s.now+drainEvery, s.emptying)
	s.easeIdle()
	if w := s.work; !w.closed && len(s.requests) == 0 && !s.answering() {
		w.closed = true // from here on everything is refused, until the process ends or the grant does
		s.stopped()
	}
}

// lookWork has the lease looked at. It comes before every event: a process that was paused for longer than
// its lease must not begin anything at a machine that may be out by now, whatever it was just doing.
func (s *State) lookWork() {
	w := s.work
	changed, cut := w.set.Advance(s.now)
	if changed {
		s.rehold()
	}
	if cut {
		s.cutNamed()
	}
	if due := w.set.NextDeadline(); due > 0 && due != w.due && due < 1<<62 {
		w.due = due
		s.clock.add(due, s.lookWork)
	}
}

// rehold tells the module and the pool what is held now, as drains and their ends.
func (s *State) rehold() {
	w := s.work
	var news []lg.Server
	for _, l := range inOrder(w.listed) {
		if hold := w.set.Blocks(l.ID); hold != w.held[l.ID] {
			if w.held[l.ID] = hold; hold && l.State == lg.Ready {
				l.State = lg.Draining
			}
			news = append(news, l)
			s.pool.Told(l.ID, l.State)
		}
	}
	if len(news) == 0 {
		return
	}
	s.tell(lg.List{Kind: lg.Changes, Servers: news})
	s.pooled()
	s.changed()
	s.readiness()
}

// cutNamed closes what is still open at machines that may be out: the lease has run out, and the longest
// deadline has passed since. What was written there may have run.
func (s *State) cutNamed() {
	for _, id := range s.work.set.Named() {
		for _, l := range inOrder(s.legs) {
			if l.Hop.ID != id || s.legs[LegID(l.ID)] != l {
				continue
			}
			if c := s.fedBy(l); c != nil {
				s.closeCaller(c, ClosedForWork) // its answer breaks off, for all to see
				continue
			}
			if l.branch != nil {
				s.end(l.branch, lg.Reset, lg.LoadReport{})
			}
			s.drop(l)
		}
	}
}

// fedBy is the caller whose answer streams from a leg, nil if there is none.
func (s *State) fedBy(l *hopLeg) *caller {
	if l.phase == hopStreaming {
		for _, c := range s.callers {
			if c.feed == l {
				return c
			}
		}
	}
	return nil
}

// stopped tells the council how far this proxy has got, when that has changed.
func (s *State) stopped() {
	w := s.work
	now := Stopped{Index: w.set.Index(), Clear: w.set.ClearMarks(s.openAt)}
	if w.closed {
		now.Own = w.own
	}
	if now.Index != w.told.Index || now.Own != w.told.Own || !slices.Equal(now.Clear, w.told.Clear) {
		w.told = now
		s.do(Effect{Do: Stop, Payload: now})
	}
	// What is clear stays so while it is marked, for days where it failed: nothing is opened there.
	if len(now.Clear) < w.set.MarkCount() && !w.polled {
		w.polled = true
		s.clock.add(s.now+stopEvery, func() {
			w.polled = false
			s.stopped()
		})
	}
}

// openAt counts the legs to a machine, and those that are being opened. Guards against taking a machine for
// clear that discovery has dropped and listed again: legs of before stay open.
func (s *State) openAt(id lg.ServerID) (n int) {
	for _, l := range s.legs {
		if l.Hop.ID == id {
			n++
		}
	}
	return n
}
