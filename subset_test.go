package lilacglade

import (
	"testing"
	"time"
)

// parts has a fleet of proxies settle with which of the servers they work.
func parts(t *testing.T, proxies int, servers []Server, lost map[ServerID]bool) (all []*Balancer,
	sharers map[ServerID]int) {
	t.Helper()
	sharers = map[ServerID]int{}
	for i := range proxies {
		set := testSettings()
		set.Me, set.Balancers = i, proxies
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(time.Second, List{Servers: servers})
		for _, s := range b.sortedServers {
			s.ejected = lost[s.ID]
		}
		b.selectSubset()
		for _, s := range b.sortedServers {
			if s.inSubset && !s.ejected {
				sharers[s.ID]++
			}
		}
		all = append(all, b)
	}
	return all, sharers
}

// TestParts holds from 3 proxies to 1000: few work with all servers, of many about as many with each for its
// weight, none is left out, and a lost third is made good by others without crowding any.
func TestParts(t *testing.T) {
	for _, n := range []struct{ proxies, servers int }{{3, 13}, {4, 200}, {30, 40}, {80, 60}, {300, 160},
		{300, 20}, {1000, 100}} {
		servers, lost := fleet(n.servers), map[ServerID]bool{}
		for i := range servers {
			servers[i].Weight = 1 + float64(i%3)
			if i%3 == 1 && n.proxies > targetProxiesPerServer {
				lost[servers[i].ID] = true
			}
		}
		for _, gone := range []map[ServerID]bool{nil, lost} {
			_, sharers := parts(t, n.proxies, servers, gone)
			sound := float64(n.servers - len(gone))
			for _, s := range servers {
				if gone[s.ID] {
					continue
				}
				fair := min(float64(n.proxies), max(targetProxiesPerServer*float64(n.servers)/sound,
					minSubset*float64(n.proxies)/sound))
				got := float64(sharers[s.ID])
				if n.proxies <= targetProxiesPerServer && got != float64(n.proxies) || got < 0.1*fair || got > 3*fair {
					t.Errorf("%v, %d lost: %v proxies work with a server of weight %v, %v is fair", n, len(gone),
						got, s.Weight, fair)
				}
			}
		}
	}
}

// TestPartsMoveLittle guards against all proxies changing their servers when one comes or goes.
func TestPartsMoveLittle(t *testing.T) {
	servers := fleet(161)
	all, before := parts(t, 300, servers[:160], nil)
	moved, places := 0, 0
	for _, b := range all {
		was := map[ServerID]bool{}
		for _, s := range b.sortedServers {
			was[s.ID] = s.inSubset
		}
		b.Handle(2*time.Second, List{Kind: Changes, Servers: servers[160:]})
		for _, s := range b.sortedServers {
			if s.inSubset && !was[s.ID] {
				moved++
			}
		}
	}
	for _, n := range before {
		places += n
	}
	if moved > places/20 {
		t.Errorf("one of 161 servers is new, and %d of %d places move", moved, places)
	}
}

// TestPartWidens holds that a proxy with much in work takes more servers, and one whose part is full goes
// beyond it rather than refuse.
func TestPartWidens(t *testing.T) {
	set := testSettings()
	set.Balancers, set.Me = 300, 7
	p := newProxy(t, set, 1, fleet(100)...)
	count := func() (n int) {
		for _, s := range p.b.sortedServers {
			if s.inSubset {
				n++
			}
		}
		return n
	}
	few := count()
	p.b.arrivalRate, p.b.meanRelativeLatency = 8, 1
	if p.b.selectSubset(); count() < 2*few {
		t.Errorf("%d servers for 8 requests in work, %d for none", count(), few)
	}
	p.b.arrivalRate = 0
	p.b.selectSubset()
	for _, s := range p.b.sortedServers {
		if s.inSubset {
			s.load.ownInFlight = 5
		}
	}
	r := &request{class: &p.b.settings.Classes[0], work: 0.01, relativeWorth: 1}
	if s := p.b.selectServer(r); s == nil || s.inSubset {
		t.Errorf("a full part leaves %v for a request", s)
	}
}
