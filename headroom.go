package lilacglade

// ServerHeadroom is what a Balancer measured of one server.
type ServerHeadroom struct {
	Server      ServerID
	MaxInFlight float64 // requests of all proxies that it can hold while answers come within the mean aim
	InFlight    int     // attempts of this proxy that it holds
	Ejected     bool    // it is ready, and set aside as lost
}

// Headroom tells what was measured of the servers that are ready, by id. It costs as much as there are servers.
func (b *Balancer) Headroom() []ServerHeadroom {
	rooms := make([]ServerHeadroom, 0, len(b.order))
	aim := 0.0
	for _, c := range b.set.Classes {
		aim += c.Aim.Seconds() / float64(len(b.set.Classes))
	}
	for _, s := range b.order {
		if s.State != Ready {
			continue
		}
		r := ServerHeadroom{Server: s.ID, InFlight: s.load.out, Ejected: s.aside && !b.noneUp}
		if !r.Ejected {
			r.MaxInFlight = crowd * s.Weight
			if s.bound.most > 0 {
				r.MaxInFlight = min(r.MaxInFlight, s.bound.most)
			}
			if b.usual > 0 && b.meanWork > 0 {
				r.MaxInFlight = max(0, min(r.MaxInFlight, b.holds(s, aim/b.meanWork)))
			}
		}
		rooms = append(rooms, r)
	}
	return rooms
}
