package lilacglade

// ServerHeadroom is the capacity of one server as measured by a Balancer.
type ServerHeadroom struct {
	Server      ServerID
	MaxInFlight float64 // requests of all proxies that it can handle with answers within the mean Aim
	InFlight    int     // outstanding attempts of this proxy
	Ejected     bool    // ready, but ejected
}

// Headroom returns the measurements of all ready servers, by id, in time linear in the number of
// servers.
func (b *Balancer) Headroom() []ServerHeadroom {
	headroom := make([]ServerHeadroom, 0, len(b.sortedServers))
	meanAim := 0.0
	for _, c := range b.settings.Classes {
		meanAim += c.Aim.Seconds() / float64(len(b.settings.Classes))
	}
	for _, s := range b.sortedServers {
		if s.State != Ready {
			continue
		}
		entry := ServerHeadroom{Server: s.ID, InFlight: s.load.ownInFlight, Ejected: s.ejected && !b.allEjected}
		if !entry.Ejected {
			entry.MaxInFlight = maxInFlightPerWeight * s.Weight
			if s.concurrencyLimit.limit > 0 {
				entry.MaxInFlight = min(entry.MaxInFlight, s.concurrencyLimit.limit)
			}
			if b.meanSentLoad > 0 && b.meanWork > 0 {
				entry.MaxInFlight = max(0, min(entry.MaxInFlight, b.inFlightAtLatency(s, meanAim/b.meanWork)))
			}
		}
		headroom = append(headroom, entry)
	}
	return headroom
}
