package lilacglade

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simServer is a server with two cores and a limited queue, which rejects requests beyond the
// limit.
type simServer struct {
	maxInFlight int
	endTimes    []time.Duration // of the requests in flight, in order of start
}

// inFlight returns the number of requests in flight at the given time.
func (q *simServer) inFlight(now time.Duration) int {
	for len(q.endTimes) > 0 && q.endTimes[0] <= now {
		q.endTimes = q.endTimes[1:]
	}
	return len(q.endTimes)
}

// TestConcurrencyLimitIsLearned checks that queues are neither kept full nor servers left idle:
// several proxies, each of which learns a limit from outdated reports and from rejections, keep a
// server busy under twice the load that it can handle, with few rejections. With many proxies that
// have no other server, the load oscillates because reports are outdated, and the server is less
// busy.
func TestConcurrencyLimitIsLearned(t *testing.T) {
	const work, reportEvery = 50 * ms, 900 * ms
	for _, proxies := range []int{1, 3, 4, 20, 80} {
		for _, maxInFlight := range []int{6, 9} {
			rng := rand.New(rand.NewPCG(uint64(proxies), uint64(maxInFlight)))
			server := &simServer{maxInFlight: maxInFlight}
			loads, limits := make([]loadEstimator, proxies), make([]concurrencyLimit, proxies)
			type attempt struct {
				proxy    int
				inFlight float64
				end      time.Duration
			}
			var attempts []attempt
			var reportTaken, reportSent time.Duration
			reportValue, sent, rejected, busy, steps := 0.0, 0, 0, 0, 0
			for now := time.Duration(0); now < 60*time.Second; now += ms {
				if now-reportTaken >= reportEvery {
					reportTaken, reportValue, reportSent = now, float64(server.inFlight(now)), now
				}
				remaining := attempts[:0]
				for _, o := range attempts {
					if o.end > now {
						remaining = append(remaining, o)
						continue
					}
					estimator := &loads[o.proxy]
					estimator.ownInFlight--
					estimator.addReport(reportValue, reportSent+200*ms)
					limits[o.proxy].onAccepted(o.inFlight)
				}
				attempts = remaining
				if now%tickInterval == 0 {
					for i := range loads {
						if loads[i].advance(tickInterval); loads[i].ownInFlight == 0 {
							limits[i].onIdle(tickInterval)
						}
					}
				}
				if rng.Float64() < 2*0.001/work.Seconds()*2 {
					i := rng.IntN(proxies)
					if inFlight := loads[i].estimate(loads[i].othersMean, now) + 1; limits[i].allows(inFlight, 1) {
						if sent++; server.inFlight(now) < server.maxInFlight {
							start := now
							if n := len(server.endTimes); n >= 2 {
								start = server.endTimes[n-2]
							}
							end := max(start+time.Duration(rng.ExpFloat64()*float64(work)), now+ms)
							if n := len(server.endTimes); n > 0 {
								end = max(end, server.endTimes[n-1])
							}
							server.endTimes = append(server.endTimes, end)
							loads[i].ownInFlight++
							attempts = append(attempts, attempt{i, inFlight, end})
						} else {
							rejected++
							limits[i].onRejection(inFlight)
						}
					}
				}
				if steps++; server.inFlight(now) >= 2 {
					busy++
				}
			}
			rejectedFraction, busyFraction := float64(rejected)/float64(sent), float64(busy)/float64(steps)
			if rejectedFraction > 0.3 || busyFraction < 0.3 ||
				proxies <= 4 && (rejectedFraction > 0.12 || busyFraction < 0.45) {
				t.Errorf("%d proxies, limit %d: %.2f rejected, busy %.2f of the time", proxies, maxInFlight,
					rejectedFraction, busyFraction)
			}
		}
	}
}

// TestConcurrencyLimitRecovers checks that a limit that is too low is tested again.
func TestConcurrencyLimitRecovers(t *testing.T) {
	var limit concurrencyLimit
	if !limit.allows(100, minLimitFraction) {
		t.Error("limited before the first rejection")
	}
	for range 100 {
		limit.onRejection(3)
	}
	if limit.allows(minConcurrencyLimit+0.1, 1) || !limit.allows(minConcurrencyLimit, 1) {
		t.Errorf("limit %g after many rejections, want %g", limit.limit, minConcurrencyLimit)
	}
	if limit.onRejection(100); limit.limit != minConcurrencyLimit {
		t.Error("an estimate far beyond the limit changed it")
	}
	for range 100 {
		limit.onIdle(tickInterval)
	}
	if !limit.allows(minConcurrencyLimit+0.9, 1) {
		t.Errorf("limit %g after ten idle seconds", limit.limit)
	}
}

// TestOutdatedReports checks that proxies do not all react to the same outdated report: a repeated
// report counts once, a proxy's own requests do not count as those of others, and the estimate
// follows its own attempts at once.
func TestOutdatedReports(t *testing.T) {
	var estimator loadEstimator
	for i := range 50 {
		estimator.addReport(6, time.Duration(i)*10*ms)
	}
	if got := estimator.estimate(2, 12*time.Second); math.Abs(got-3) > 0.2 {
		t.Errorf("one report of 6 where the mean is 2: %.2f, want about 3", got)
	}
	if got := estimator.estimate(2, 10*ms); math.Abs(got-6) > 0.2 {
		t.Errorf("just after a report of 6: %.2f", got)
	}
	estimator = loadEstimator{ownInFlight: 4}
	for i := range 100 {
		estimator.advance(tickInterval)
		estimator.addReport(6+float64(i%2)/10, time.Duration(i)*tickInterval)
	}
	if got := estimator.estimate(2, 12*time.Second); math.Abs(got-6) > 0.3 {
		t.Errorf("4 own requests of 6: %.2f", got)
	}
	if estimator.ownInFlight++; math.Abs(estimator.estimate(2, 12*time.Second)-7) > 0.3 {
		t.Errorf("one more own request: %.2f", estimator.estimate(2, 12*time.Second))
	}
}

// TestLatencyEstimateDecays checks that a server is not avoided forever for slow answers.
func TestLatencyEstimateDecays(t *testing.T) {
	var estimator latencyEstimator
	for range 20 {
		estimator.add(4, true, time.Second)
	}
	if got := estimator.blend(1, time.Second); got < 2 {
		t.Errorf("answers four times as slow as expected count %.2f", got)
	}
	if got := estimator.blend(1, 7*time.Second); got > 1.01 {
		t.Errorf("after six seconds without answers they still count %.2f", got)
	}
	if estimator.add(2, false, time.Second); estimator.mean < 3.9 {
		t.Error("a short timeout lowers the mean")
	}
}

// TestElapsed checks that a late attempt is not taken for a first one if clients do not mark
// retries: its budget shows how much of the deadline has passed.
func TestElapsed(t *testing.T) {
	const deadline = 600 * ms
	var estimator firstAttemptEstimator
	rng := rand.New(rand.NewPCG(1, 1))
	elapsed := func(budget time.Duration) time.Duration { return estimator.elapsed(budget, deadline) }
	for range 2000 {
		elapsed(336*ms + time.Duration(rng.IntN(5))*ms)
		if rng.IntN(3) == 0 {
			elapsed(time.Duration(100+rng.IntN(500)) * ms)
		}
	}
	for budget, want := range map[time.Duration]time.Duration{338 * ms: 0, 330 * ms: 0, 507 * ms: 93 * ms,
		220 * ms: 380 * ms, deadline: 0, 0: 0, -ms: 0, 2 * deadline: 0} {
		if got := elapsed(budget); got != want {
			t.Errorf("budget %v: %v elapsed, want %v", budget, got, want)
		}
	}
	for range 3000 { // clients now wait longer
		elapsed(deadline)
	}
	if got := elapsed(338 * ms); got != 262*ms {
		t.Errorf("after the change: %v", got)
	}
}

// newCrowdedProxy returns a proxy with three servers, with known concurrency limits, that have
// capacity left only for the best class. The classes have the worths 10 and 2.
func newCrowdedProxy(t *testing.T) *testProxy {
	settings := testSettings()
	settings.Classes[0].Worth, settings.Classes[4].Worth, settings.WorthByWork = 2, 10, true
	p := newTestProxy(t, settings, 1, fleet(3)...)
	for _, s := range p.b.sortedServers {
		p.b.addLoadReport(s, LoadReport{N: 1, Values: [4]float64{3}})
		s.load.othersWeight, s.concurrencyLimit.limit = 1e6, 5
	}
	return p
}

// TestLowWorthIsShedFirst checks that valuable requests do not wait in full queues behind others:
// at a server near its limit, a request of the least worth is refused at once, with a Retry-After,
// while the best is still sent.
func TestLowWorthIsShedFirst(t *testing.T) {
	p := newCrowdedProxy(t)
	if a := p.handleOne(Refuse, Request{ID: 1, Class: 0, Budget: time.Second}); a.For == 0 {
		t.Error("refused without a Retry-After")
	}
	p.handleOne(Send, Request{ID: 2, Class: 4, Budget: time.Second})
}

// TestLateAttemptsAreShedFirst checks that late attempts, which are worth little, do not displace
// first ones.
func TestLateAttemptsAreShedFirst(t *testing.T) {
	p := newCrowdedProxy(t)
	for i := range 100 { // first attempts
		p.handle(Request{ID: RequestID(100 + i), Class: 4, Budget: time.Second})
		p.handle(Departed{Request: RequestID(100 + i)})
	}
	for _, s := range p.b.sortedServers {
		s.load.ownInFlight = 0
	}
	p.handleOne(Send, Request{ID: 1, Class: 4, Budget: time.Second})
	p.handle(Outcome{Request: 1, Server: p.b.requests[1].attempted[0].ID, Result: OK, Closed: true, Latency: ms})
	p.handleOne(Refuse, Request{ID: 2, Class: 4, Budget: 500 * ms})
}

// TestHeavyRequestIsNotShed checks that a request that is worth as much per unit of work as any
// other is not shed for its own work.
func TestHeavyRequestIsNotShed(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		settings := testSettings()
		settings.WorthByWork, settings.Classes[0].Worth, settings.Classes[4].Worth = byWork, 2, 10
		p := newTestProxy(t, settings, 1, fleet(3)...)
		p.b.workEstimators[0] = linearRegression{samples: 1e6, meanX: 0.05, meanY: 0.05,
			meanXX: 0.0125, meanXY: 0.0125}
		p.b.meanWork = 0.05
		sent := 0
		for i := range RequestID(50) {
			if a := p.handle(Request{ID: i, Class: 0, Budget: time.Second, Cost: 230 * ms})[0]; a.Do == Send {
				sent++
				p.handle(Outcome{Request: i, Server: a.Server, Result: OK, Closed: true})
			}
		}
		if byWork && sent < 50 || !byWork && sent > 40 {
			t.Errorf("worth per unit of work %t: %d of 50 sent", byWork, sent)
		}
	}
}
