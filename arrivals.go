package lilacglade

// A streamed request is in flight at its server before its last byte has arrived, which may be never. So
// requests that are arriving may take only a part of what a server may have in flight: clients that stop in
// the middle of their uploads would otherwise hold all of it.

// maxArrivingPerWeight is how many requests per unit of weight may be arriving at a server.
const maxArrivingPerWeight = maxInFlightPerWeight / 2

// began counts an attempt at a server whose request is still arriving, or not.
func (l *loadEstimator) began(arriving bool) {
	l.ownInFlight++
	if arriving {
		l.arriving++
	}
}

// ended takes back what began counted.
func (l *loadEstimator) ended(arriving bool) {
	l.ownInFlight = max(0, l.ownInFlight-1)
	if arriving {
		l.arrived()
	}
}

// arrived counts a request as one that has arrived.
func (l *loadEstimator) arrived() { l.arriving = max(0, l.arriving-1) }

// mayBegin reports whether one more request may be arriving at s, by this proxy's share.
func (b *Balancer) mayBegin(s *server) bool {
	return float64(s.load.arriving)*b.proxiesPerServer < maxArrivingPerWeight*s.Weight
}

// handleArrived counts a streamed request no longer as arriving.
func (b *Balancer) handleArrived(ev Arrived) {
	r := b.requests[ev.Request]
	if r == nil || !r.arriving {
		return
	}
	r.arriving = false
	if r.outstanding == 0 {
		return
	}
	if s := r.attempted[len(r.attempted)-1]; b.servers[s.ID] == s {
		s.load.arrived()
	}
}
