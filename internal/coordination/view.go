package coordination

import (
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

const (
	capacityMaxAge     = 30 * time.Second // maximum age of a capacity report
	maxCapacityReports = 7                // capacity reports kept for each machine, one per participant
	minHotReports      = 2                // participants that must report a hot key, or all if fewer report
)

// capacityReport is a participant's estimate of a machine's capacity.
type capacityReport struct {
	key      string
	requests float64
	at       time.Duration
}

// addCapacities records a participant's estimates of machines' capacities. Only a few reports are kept
// for each machine, so that memory is bounded; their median limits the influence of one participant.
func (c *Coordinator) addCapacities(key string, capacities []Capacity) {
	for _, r := range capacities[:min(len(capacities), capacitiesPerRenewal)] {
		if _, listed := c.inventory[r.Machine]; !listed || !(r.Requests >= 0 && r.Requests < 1e9) {
			continue
		}
		v := slices.DeleteFunc(c.leadership.capacities[r.Machine],
			func(v capacityReport) bool { return v.key == key })
		v = append(v, capacityReport{key, r.Requests, c.now})
		c.leadership.capacities[r.Machine] = slices.Delete(v, 0, max(0, len(v)-maxCapacityReports))
	}
}

// capacity is the median of the recent reports on a machine's capacity, in concurrent requests; 0:
// unknown.
func (c *Coordinator) capacity(machine string) float64 {
	var all []float64
	for _, v := range c.leadership.capacities[machine] {
		if c.now-v.at < capacityMaxAge {
			all = append(all, v.requests)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// setInventory records the machines that discovery lists.
func (c *Coordinator) setInventory(all []maintenance.MachineView) {
	c.inventoryAt = c.now
	c.inventory = make(map[string]maintenance.MachineView, len(all))
	for _, m := range all {
		c.inventory[m.ID] = m
	}
}

// view returns this leader's knowledge of the fleet.
func (c *Coordinator) view() maintenance.View {
	v := maintenance.View{Now: c.now, Machines: make(map[string]maintenance.MachineView, len(c.inventory)),
		Listed: c.inventoryAt, Expired: c.leaseExpired, Since: map[string]time.Duration{},
		WarmAfter: c.cfg.WarmAfter}
	v.Level = c.replica.Maintenance.Level
	ejected, hot, reporting := map[string]int{}, map[string]int{}, 0
	var handled, shed uint64
	_, interval := c.leaseTimes()
	for _, s := range c.leadership.loads {
		if c.now-s.at > 2*interval {
			continue
		}
		reporting++
		handled += s.handled
		shed += s.shed
		v.InFlight += s.inFlight
		for _, id := range s.ejected {
			ejected[id]++
		}
		for _, id := range s.hot {
			hot[id]++
		}
	}
	if handled > 0 {
		v.ShedFraction = float64(shed) / float64(handled)
	}
	for id, m := range c.inventory {
		m.Avoided = 2*ejected[id] > reporting // one peer's report alone has no effect
		m.HotKey = hot[id] >= min(minHotReports, reporting) && hot[id] > 0
		m.Capacity = c.capacity(id)
		v.Machines[id] = m
	}
	for _, p := range c.replica.Maintenance.Participants {
		if p.Gone {
			continue
		}
		id := maintenance.ProxyID(p.Name)
		at, ok := c.leadership.renewed[p.Key()]
		v.Machines[id] = maintenance.MachineView{Machine: maintenance.Machine{ID: id, Proxy: p.Name, Weight: 1},
			Ready: ok && c.now-at < 2*interval, Voter: slices.Contains(c.core.Voters(), p.ID)}
	}
	for id, s := range c.leadership.stepStarts {
		v.Since[id] = s.at
	}
	return v
}
