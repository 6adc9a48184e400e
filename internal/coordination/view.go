package coordination

import (
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

const (
	roomFor    = 30 * time.Second // a measure of a machine's room counts so long
	roomVoices = 7                // proxies whose measure of a machine's room counts, the latest
	hotVoices  = 2                // so many proxies, or all that tell, say that a machine holds a hot key
)

// voice is what a party measured of a machine's room.
type voice struct {
	key  string
	most float64
	at   time.Duration
}

// measured takes in what a party measured of machines' room. A few voices count for each machine, so that
// nothing follows from one of them, and memory has a bound.
func (c *Coordinator) measured(key string, rooms []Capacity) {
	for _, r := range rooms[:min(len(rooms), roomsEach)] {
		if _, listed := c.seen[r.Machine]; !listed || !(r.Requests >= 0 && r.Requests < 1e9) {
			continue
		}
		v := slices.DeleteFunc(c.lead.rooms[r.Machine], func(v voice) bool { return v.key == key })
		v = append(v, voice{key, r.Requests, c.now})
		c.lead.rooms[r.Machine] = slices.Delete(v, 0, max(0, len(v)-roomVoices))
	}
}

// room is the median of what was lately measured of a machine's room, 0 if it is not known.
func (c *Coordinator) room(machine string) float64 {
	var all []float64
	for _, v := range c.lead.rooms[machine] {
		if c.now-v.at < roomFor {
			all = append(all, v.most)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// listed takes in what discovery lists.
func (c *Coordinator) listed(all []maintenance.Seen) {
	c.seenAt = c.now
	c.seen = make(map[string]maintenance.Seen, len(all))
	for _, m := range all {
		c.seen[m.ID] = m
	}
}

// view is what this leader knows of the fleet.
func (c *Coordinator) view() maintenance.View {
	v := maintenance.View{Now: c.now, Machines: make(map[string]maintenance.Seen, len(c.seen)), Listed: c.seenAt,
		Expired: c.expired, Since: map[string]time.Duration{}, WarmAfter: c.cfg.WarmAfter}
	v.Level = c.rep.Work.Level
	avoided, hot, tell := map[string]int{}, map[string]int{}, 0
	var handled, refused uint64
	_, every := c.pace()
	for _, s := range c.lead.said {
		if c.now-s.at > 2*every {
			continue
		}
		tell++
		handled += s.handled
		refused += s.refused
		v.Busy += s.busy
		for _, id := range s.avoids {
			avoided[id]++
		}
		for _, id := range s.hot {
			hot[id]++
		}
	}
	if handled > 0 {
		v.Refused = float64(refused) / float64(handled)
	}
	for id, m := range c.seen {
		m.Sick = 2*avoided[id] > tell // nothing follows from one peer's word
		m.Hot = hot[id] >= min(hotVoices, tell) && hot[id] > 0
		m.Room = c.room(id)
		v.Machines[id] = m
	}
	for _, p := range c.rep.Work.Parties {
		if p.Gone {
			continue
		}
		id := maintenance.ProxyID(p.Name)
		at, ok := c.lead.renewed[p.Key()]
		v.Machines[id] = maintenance.Seen{Machine: maintenance.Machine{ID: id, Proxy: p.Name, Weight: 1},
			Ready: ok && c.now-at < 2*every, Voter: slices.Contains(c.core.Voters(), p.ID)}
	}
	for id, s := range c.lead.steps {
		v.Since[id] = s.at
	}
	return v
}
