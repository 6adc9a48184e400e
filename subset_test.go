package lilacglade

import (
	"testing"
	"time"
)

// selectSubsets returns the proxies of a fleet with their subsets, and the number of proxies per
// server.
func selectSubsets(t *testing.T, proxies int, servers []Server, lost map[ServerID]bool) (
	balancers []*Balancer, proxiesPerServer map[ServerID]int) {
	t.Helper()
	proxiesPerServer = map[ServerID]int{}
	for i := range proxies {
		settings := testSettings()
		settings.Me, settings.Balancers = i, proxies
		b, err := New(settings, uint64(i))
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
				proxiesPerServer[s.ID]++
			}
		}
		balancers = append(balancers, b)
	}
	return balancers, proxiesPerServer
}

// TestSubsets checks fleets of 3 to 1000 proxies: few proxies send to all servers, many send to
// each in proportion to its weight, no server is left out, and a lost third of the servers is
// replaced without overloading any other.
func TestSubsets(t *testing.T) {
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
			_, proxiesPerServer := selectSubsets(t, n.proxies, servers, gone)
			healthy := float64(n.servers - len(gone))
			for _, s := range servers {
				if gone[s.ID] {
					continue
				}
				fair := min(float64(n.proxies), max(targetProxiesPerServer*float64(n.servers)/healthy,
					minSubset*float64(n.proxies)/healthy))
				got := float64(proxiesPerServer[s.ID])
				if n.proxies <= targetProxiesPerServer && got != float64(n.proxies) || got < 0.1*fair || got > 3*fair {
					t.Errorf("%v, %d lost: %v proxies send to a server of weight %v, %v is fair", n, len(gone),
						got, s.Weight, fair)
				}
			}
		}
	}
}

// TestSubsetsAreStable checks that most proxies keep their servers when one is added or removed.
func TestSubsetsAreStable(t *testing.T) {
	servers := fleet(161)
	balancers, before := selectSubsets(t, 300, servers[:160], nil)
	moved, total := 0, 0
	for _, b := range balancers {
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
		total += n
	}
	if moved > total/20 {
		t.Errorf("one of 161 servers is new, and %d of %d places change", moved, total)
	}
}

// TestSubsetGrows checks that a proxy with many requests in flight uses more servers, and that one
// whose subset is full sends to other servers instead of refusing.
func TestSubsetGrows(t *testing.T) {
	settings := testSettings()
	settings.Balancers, settings.Me = 300, 7
	p := newTestProxy(t, settings, 1, fleet(100)...)
	count := func() (n int) {
		for _, s := range p.b.sortedServers {
			if s.inSubset {
				n++
			}
		}
		return n
	}
	idleCount := count()
	p.b.arrivalRate, p.b.meanRelativeLatency = 8, 1
	if p.b.selectSubset(); count() < 2*idleCount {
		t.Errorf("%d servers for 8 requests in flight, %d for none", count(), idleCount)
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
		t.Errorf("with a full subset, a request is sent to %v", s)
	}
}
