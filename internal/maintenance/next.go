package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// MachineView is what the leader knows of one machine.
type MachineView struct {
	Machine
	Ready    bool    // discovery lists it as ready; a proxy: it was heard from recently
	Avoided  bool    // most of the proxies that report on it avoid it
	Voter    bool    // a proxy that is a voter
	Capacity float64 // concurrent requests, the median of the proxies' measurements; 0: unknown
	HotKey   bool    // it serves a key whose load alone fills a machine
}

// View is what the leader knows of the fleet. It omits what the leader doesn't know for certain.
type View struct {
	Now          time.Duration
	Machines     map[string]MachineView
	Listed       time.Duration // time of the last answer from discovery
	ShedFraction float64       // fraction of recent requests that the proxies shed, 0..1
	InFlight     float64       // requests in flight at machines, of all proxies
	// Expired reports whether a participant's lease has certainly expired, and the longest deadline
	// since.
	Expired   func(key string) bool
	Since     map[string]time.Duration // time at which a machine reached its step
	WarmAfter time.Duration            // a ready Returning machine is done after it
	Level     uint64                   // of the log
}

// Limits of the leader's decisions.
const (
	maxListAge        = 30 * time.Second // no grants while the server list is older than this
	shedBlocksGrants  = 0.01             // no grants while at least this fraction of requests is shed
	shedRevokesGrants = 0.05             // from this fraction on, grants of machines not yet free are revoked
)

// BlockedReason returns why no machine at all can be granted now, "" if grants are possible.
func (s *State) BlockedReason(v View) string {
	switch {
	case v.Now-v.Listed > maxListAge:
		return "the list of machines is old: discovery has not been heard"
	case v.ShedFraction >= shedBlocksGrants:
		return "the proxies refuse requests: no room"
	}
	return ""
}

// assess computes what would stay in service without a machine and, with withAnnounced, without all
// announced machines.
func (s *State) assess(w *Work, v View, withAnnounced bool) *Facts {
	f := &Facts{Voter: v.Machines[w.Machine.ID].Voter}
	measured, known := 0.0, 0.0 // capacity, and the weight of the machines whose capacity is known
	for id, m := range v.Machines {
		active := s.Active(id)
		if id == w.Machine.ID || !m.Ready || m.Avoided ||
			active != nil && (active.Step.missing() || withAnnounced && active.Announced > 0) ||
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
			f.Capacity, f.InFlight = measured*f.WeightLeft/known, v.InFlight // unknown machines count as average
		}
	}
	return f
}

// weight returns the machine's weight, 1 if it has none.
func weight(m Machine) float64 {
	if m.Weight > 0 {
		return m.Weight
	}
	return 1
}

// Fleet returns the total weight of the machines in service, or of the proxies.
func (v View) Fleet(proxies bool) (sum float64) {
	for _, m := range v.Machines {
		if m.Ready && (m.Proxy != "") == proxies {
			sum += weight(m.Machine)
		}
	}
	return sum
}

// count returns the number of known machines, or proxies.
func (v View) count(proxies bool) (n int) {
	for _, m := range v.Machines {
		if (m.Proxy != "") == proxies {
			n++
		}
	}
	return n
}

// Next returns the entry that the leader should propose next, with Kind NoOp if there is none.
// Machines that proxies avoid go first and those with hot keys last; zones are served in
// round-robin order. Ties are broken by the position in the order, so that the same facts give the
// same choice.
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
			if f := s.assess(w, v, false); v.ShedFraction >= shedRevokesGrants ||
				f.Capacity > 0 && f.Capacity < f.InFlight {
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

// candidates lists the waiting machines, in the order in which they should go out.
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
	turn := func(zone string) int { // the zones after the last granted one come first
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

// WaitReason returns why a machine makes no progress, "" if nothing blocks it.
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
