package lilacglade

// Room is what a Balancer measured of one server.
type Room struct {
	Server ServerID
	Most   float64 // requests of all proxies that it can hold while answers come within the mean aim
	Out    int     // attempts of this proxy that it holds
	Aside  bool    // it is ready, and set aside as lost
}

// Rooms tells what was measured of the servers that are ready, by id. It costs as much as there are servers.
func (b *Balancer) Rooms() []Room {
	rooms := make([]Room, 0, len(b.order))
	aim := 0.0
	for _, c := range b.set.Classes {
		aim += c.Aim.Seconds() / float64(len(b.set.Classes))
	}
	for _, s := range b.order {
		if s.State != Ready {
			continue
		}
		r := Room{Server: s.ID, Out: s.load.out, Aside: s.aside && !b.noneUp}
		if !r.Aside {
			r.Most = crowd * s.Weight
			if s.bound.most > 0 {
				r.Most = min(r.Most, s.bound.most)
			}
			if b.usual > 0 && b.meanWork > 0 {
				r.Most = max(0, min(r.Most, b.holds(s, aim/b.meanWork)))
			}
		}
		rooms = append(rooms, r)
	}
	return rooms
}
