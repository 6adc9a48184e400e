package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// MachineView is what a leader knows of one machine.
type MachineView struct {
	Machine
	Ready    bool    // discovery lists it as ready; of a proxy: it was heard lately
	Avoided  bool    // most proxies that tell avoid it
	Voter    bool    // a proxy that votes
	Capacity float64 // requests that it can hold, the median of what proxies measured; 0: not known
	HotKey   bool    // it serves a key that is a machine's load by itself
}

// View is what a leader knows of the fleet. What it does not know for sure is left out.
type View struct {
	Now          time.Duration
	Machines     map[string]MachineView
	Listed       time.Duration         // when discovery was last heard
	ShedFraction float64               // part of the requests lately that the proxies refused
	InFlight     float64               // requests in work at machines, all proxies together
	Expired      func(key string) bool // the party's lease has surely run out, and the longest deadline since
	Since        map[string]time.Duration
	WarmAfter    time.Duration
	Level        uint64 // of the log
}

// Figures of the choice.
const (
	maxListAge        = 30 * time.Second // nothing is granted by a list that is older
	shedBlocksGrants  = 0.01             // nothing is granted while this part of the requests is refused
	shedRevokesGrants = 0.05             // and what is not free yet is given back
)

// BlockedReason says why nothing can be granted now, "" if something may be.
func (s *State) BlockedReason(v View) string {
	switch {
	case v.Now-v.Listed > maxListAge:
		return "the list of machines is old: discovery has not been heard"
	case v.ShedFraction >= shedBlocksGrants:
		return "the proxies refuse requests: no room"
	}
	return ""
}

// assess is what would stay without a machine, and without those that are named as well.
func (s *State) assess(w *Work, v View, withAnnounced bool) *Facts {
	f := &Facts{Voter: v.Machines[w.Machine.ID].Voter}
	measured, known := 0.0, 0.0 // room, and the weight of the machines of which it is known
	for id, m := range v.Machines {
		active := s.Active(id)
		if id == w.Machine.ID || !m.Ready || m.Avoided || active != nil && (active.Step.missing() || withAnnounced && active.Announced > 0) ||
			(m.Proxy == "") != (w.Machine.Proxy == "") {
			continue
		}
		f.WeightLeft += weight(m.Machine)
		if m.Zone == w.Machine.Zone || m.Proxy != "" {
			f.ZoneLeft++
		}
		if m.Capacity > 0 {
			measured += m.Capacity
			known += weight(m.Machine)
		}
	}
	if w.Machine.Proxy == "" && s.Level >= LevelResume {
		if f.HotKey = v.Machines[w.Machine.ID].HotKey; 2*known >= f.WeightLeft && known > 0 {
			f.Capacity, f.InFlight = measured*f.WeightLeft/known, v.InFlight // one that is not known is as the others
		}
	}
	return f
}

func weight(m Machine) float64 {
	if m.Weight > 0 {
		return m.Weight
	}
	return 1
}

// Fleet is the weight of the machines in service, or of the proxies.
func (v View) Fleet(proxies bool) (sum float64) {
	for _, m := range v.Machines {
		if m.Ready && (m.Proxy != "") == proxies {
			sum += weight(m.Machine)
		}
	}
	return sum
}

// count is how many machines, or proxies, are known.
func (v View) count(proxies bool) (n int) {
	for _, m := range v.Machines {
		if (m.Proxy != "") == proxies {
			n++
		}
	}
	return n
}

// Next is what a leader proposes next, Kind Nothing if there is nothing to do. Sick machines go first and
// those with hot keys last, zones take turns; what came first in its order breaks ties, so that the same
// facts give the same choice.
func (s *State) Next(v View) Command {
	for _, w := range s.Works {
		since := v.Now - v.Since[w.Machine.ID]
		m, listed := v.Machines[w.Machine.ID]
		o := s.Order(w.Order)
		if o == nil {
			continue
		}
		switch w.Step {
		case Granted, Draining:
			var expired []string
			for _, p := range s.sorted() {
				if !w.Clear[p.Key()] && v.Expired(p.Key()) {
					expired = append(expired, p.Key())
				}
			}
			if s.FirstHolding(w, expired) == "" {
				return Command{Kind: SetFree, Machine: w.Machine.ID, Index: w.Granted, Expired: expired}
			}
			if f := s.assess(w, v, false); v.ShedFraction >= shedRevokesGrants || f.Capacity > 0 && f.Capacity < f.InFlight {
				return Command{Kind: Revoke, Machine: w.Machine.ID, Index: w.Granted, Why: "its room is needed"}
			}
		case Free, Out:
			restarted := listed && m.Ready && m.Started > w.Machine.Started
			if w.Machine.Proxy != "" {
				restarted = slices.ContainsFunc(s.sorted(), func(p *Participant) bool {
					return p.Name == w.Machine.Proxy && p.Joined > w.Granted
				})
			}
			if restarted && !o.ConfirmReturn {
				return Command{Kind: Return, Machine: w.Machine.ID, Why: "it has started anew"}
			}
			if o.OutFor > 0 && since > o.OutFor {
				return Command{Kind: Fail, Machine: w.Machine.ID, Why: "it is out for longer than the order allows"}
			}
		case Returning:
			if listed && m.Ready && since >= v.WarmAfter {
				return Command{Kind: SetDone, Machine: w.Machine.ID}
			}
		}
	}
	for _, p := range s.sorted() {
		if p.Gone && v.Expired(p.Key()) {
			return Command{Kind: RemoveExpired, Name: p.Name, Inc: p.Inc}
		}
	}
	if s.BlockedReason(v) != "" {
		return Command{}
	}
	for _, w := range s.candidates(v) {
		if f := s.assess(w, v, false); w.Announced > 0 && s.CanGrant(w, f) == nil {
			return Command{Kind: Grant, Machine: w.Machine.ID, Facts: f}
		}
		if f := s.assess(w, v, true); w.Announced == 0 && s.CanAnnounce(w, f) == nil {
			return Command{Kind: Announce, Machine: w.Machine.ID, Facts: f}
		}
	}
	return Command{}
}

// candidates lists the waiting machines, the one that should go first first.
func (s *State) candidates(v View) []*Work {
	var waiting []*Work
	var zones []string
	for _, w := range s.Works {
		if w.Step == Waiting {
			waiting = append(waiting, w)
			zones = append(zones, w.Machine.Zone)
		}
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	turn := func(zone string) int { // zones behind the last one come first
		i, _ := slices.BinarySearch(zones, zone)
		at, found := slices.BinarySearch(zones, s.LastZone)
		if found {
			at++
		}
		return (i - at + len(zones)) % max(1, len(zones))
	}
	rank := func(w *Work) int {
		switch m := v.Machines[w.Machine.ID]; {
		case m.Avoided:
			return 0
		case m.HotKey:
			return 2
		}
		return 1
	}
	slices.SortStableFunc(waiting, func(a, b *Work) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(turn(a.Machine.Zone), turn(b.Machine.Zone)))
	})
	return waiting
}

// WaitReason says why a machine does not go on, "" if nothing holds it.
func (s *State) WaitReason(w *Work, v View) string {
	switch w.Step {
	case Waiting:
		if why := s.BlockedReason(v); why != "" {
			return why
		}
		err := s.CanGrant(w, s.assess(w, v, false))
		if w.Announced == 0 {
			err = s.CanAnnounce(w, s.assess(w, v, true))
		}
		if err != nil {
			return err.Error()
		}
	case Granted, Draining:
		if key := s.FirstHolding(w, nil); key != "" {
			return fmt.Sprintf("proxy %s has not said that it has nothing there, and its lease may still run", key)
		}
	case Free, Out, Returning:
		if m, ok := v.Machines[w.Machine.ID]; !ok || !m.Ready {
			return "discovery does not list it as ready"
		}
	}
	return w.Why
}
