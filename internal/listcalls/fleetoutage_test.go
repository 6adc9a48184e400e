package listcalls

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// The fleets and outages that are simulated.
var (
	fleetSizes   = []int{3, 8, 20, 24, 25, 40, 60, 83, 150, 300, 900}
	fleetOutages = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, second, 3 * second, 4 * second,
		6 * second, 8 * second, 13 * second, 20 * second, 30 * second, 60 * second}
	fleetPollIntervals = []time.Duration{1500 * time.Millisecond, 4 * second, 10 * second, 30 * second}
)

const (
	randomOutages = 3                      // in addition to fleetOutages, for each fleet
	maxFleetCost  = NotifiedAfter / 2      // simulated services can answer all proxies in this time
	maxAnswerCost = 110 * time.Millisecond // of an answer with the full list
	measuredTime  = 25 * second            // after the service's return
)

// TestEveryFleetReceivesInTime checks that no proxy receives a change later than the protocol allows
// because of the size of its fleet or the length of the outage before (report 43e505: 83 proxies,
// an outage of 8 s, up to 8 s late).
func TestEveryFleetReceivesInTime(t *testing.T) {
	for _, proxies := range fleetSizes {
		t.Run(fmt.Sprintf("proxies=%d", proxies), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(proxies), 1))
			outages := append([]time.Duration(nil), fleetOutages...)
			for range randomOutages {
				outages = append(outages, 20*time.Millisecond+time.Duration(rng.Int64N(int64(60*second))))
			}
			for _, outage := range outages {
				checkOutage(t, proxies, outage, 0, rng)
			}
		})
	}
}

// checkOutage simulates outages of one length for a fleet: each poll interval, a change just after
// the service's return or just before it, with and without processes killed during the outage.
func checkOutage(t *testing.T, proxies int, outage time.Duration, queueLimit int, rng *rand.Rand) {
	t.Helper()
	runs, late, worst, worstRun := 0, 0, lateness{}, fleetScenario{}
	for _, pollInterval := range fleetPollIntervals {
		for _, changed := range []time.Duration{100 * time.Millisecond, -time.Millisecond} {
			for _, killed := range []bool{false, true} {
				p := drawScenario(rng, proxies, pollInterval, outage, changed, killed)
				p.QueueLimit = queueLimit
				runs++
				l := p.run().lateness()
				if l.Late > 0 {
					late++
				}
				if l.Longest > worst.Longest {
					worst, worstRun = l, p
				}
			}
		}
	}
	if late == 0 {
		t.Logf("down for %v: none of %d runs late; longest delay %v after the service had the change and was "+
			"reachable, %s", outage, runs, worst.Longest, worstRun.describe())
		return
	}
	t.Errorf("down for %v: %d of %d runs late; worst: %d of %d proxies, proxy %d received it after %v, %s\n%s",
		outage, late, runs, worst.Behind, proxies, worst.Proxy, worst.Longest, worstRun.describe(),
		traceOf(worstRun, worst.Proxy, worst.At))
}

// drawScenario draws the rest of a scenario: the service, its state before the outage, and the killed
// processes.
func drawScenario(rng *rand.Rand, proxies int, pollInterval, outage, changed time.Duration,
	killed bool) fleetScenario {
	down := 20*second + time.Duration(rng.Int64N(int64(20*second)))
	p := fleetScenario{Proxies: proxies, PollInterval: pollInterval, Down: down, Outage: outage,
		UntilReceived: true,
		QueueTimeout:  time.Duration(2+rng.IntN(2)) * second, FreeAbandoned: rng.IntN(2) == 0,
		Hangs: rng.IntN(2) == 0, FullLists: rng.IntN(2) == 0}
	p.Until = p.back() + measuredTime
	drawCost(rng, &p)
	if rng.IntN(2) == 0 {
		p.Changes = append(p.Changes, down-time.Duration(rng.Int64N(int64(10*second)))-second)
	}
	p.Changes = append(p.Changes, p.back()+changed)
	if killed {
		drawRestarts(rng, &p)
	}
	return p
}

// drawCost draws the service times of answers. The full lists for all proxies take no longer than
// maxFleetCost, and answers without changes at most half of the service's time.
func drawCost(rng *rand.Rand, p *fleetScenario) {
	limit := min(maxAnswerCost, maxFleetCost/time.Duration(p.Proxies))
	p.Answer = []time.Duration{0, time.Duration(rng.Int64N(int64(limit))), limit}[rng.IntN(3)]
	p.ChangePart = 0.1 + 0.9*rng.Float64()
	if cost := p.ChangePart * float64(p.Answer) * float64(p.Proxies); cost > float64(p.PollInterval/2) {
		p.ChangePart *= float64(p.PollInterval/2) / cost
	}
}

// drawRestarts draws restarts of a part of the fleet during the outage.
func drawRestarts(rng *rand.Rand, p *fleetScenario) {
	part := 0.1 + 0.6*rng.Float64()
	together := rng.IntN(2) == 0
	killed, started := drawInside(rng, p)
	for proxy := range p.Proxies {
		if rng.Float64() > part {
			continue
		}
		if !together {
			killed, started = drawInside(rng, p)
		}
		p.Restarts = append(p.Restarts, restart{Proxy: proxy, Killed: killed, Started: started,
			WithoutList: rng.IntN(4) == 0})
	}
}

// drawInside draws two times during the outage, the second at most two seconds after the first.
func drawInside(rng *rand.Rand, p *fleetScenario) (killed, started time.Duration) {
	killed = p.Down + time.Duration(rng.Float64()*0.9*float64(p.Outage))
	started = killed + time.Duration(rng.Float64()*float64(min(p.back()-killed, 2*second)))
	return killed, max(started, killed+time.Millisecond)
}

// describe describes a scenario in a failure message.
func (p *fleetScenario) describe() string {
	return fmt.Sprintf("polled every %v, an answer costs %v (changes %.2f of it, full lists %t), "+
		"queue timeout %v, free if abandoned %t, hangs %t, queue %d, down from %v for %v, changes %v, %d restarts",
		p.PollInterval, p.Answer, p.ChangePart, p.FullLists, p.QueueTimeout, p.FreeAbandoned, p.Hangs,
		p.QueueLimit, p.Down, p.Outage, p.Changes, len(p.Restarts))
}

// TestReportedFleet repeats the failure of report 43e505 with its times: a server drains 0.2 s after
// an outage of 8.0 s, and some of 83 proxies, depending on their index, made no call for longer than
// the protocol allows.
func TestReportedFleet(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	p := fleetScenario{Proxies: 83, PollInterval: 10 * second, Answer: 2 * time.Millisecond, ChangePart: 0.3,
		QueueTimeout: 3 * second, Down: ms(9980), Outage: ms(8000), Until: 40 * second, Traced: 59,
		Changes: []time.Duration{ms(2350), ms(7420), ms(9950), ms(18180)}}
	for _, proxy := range []int{38, 46, 54, 58} {
		p.Restarts = append(p.Restarts, restart{Proxy: proxy, Killed: ms(2000), Started: ms(3050)})
	}
	f := p.run()
	if l := f.lateness(); l.Late > 0 {
		t.Errorf("%d of %d proxies late; proxy %d received it %v after the service had it and was reachable; "+
			"proxy 58:\n%s", l.Behind, p.Proxies, l.Proxy, l.Longest, strings.Join(f.trace, "\n"))
	}
}

// TestEveryFleetReceivesDespiteFullQueue checks that proxies whose calls are rejected at once, because the
// service's queue is full, call again in time where the service can answer all of them in time.
func TestEveryFleetReceivesDespiteFullQueue(t *testing.T) {
	for _, proxies := range fleetSizes {
		t.Run(fmt.Sprintf("proxies=%d", proxies), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(proxies), 3))
			for _, outage := range []time.Duration{20 * time.Millisecond, 4 * second, 8 * second, 30 * second} {
				checkOutage(t, proxies, outage, max(4, proxies/4), rng)
			}
		})
	}
}

// TestOverloadedServices measures services that can't answer all proxies in time: seven in ten
// processes restart within 1.5 s of the service's return, and the list continues to change. It checks
// only the number of results and that the service worked no longer than the measured time; its table,
// shown with -v, serves to compare schedules.
func TestOverloadedServices(t *testing.T) {
	t.Logf("%8s %7s %7s %6s | %6s %9s %9s %9s | %7s %6s %6s | %6s %6s", "proxies", "answer", "polled", "free",
		"late", "mean late", "longest", "last recv", "useful", "wasted", "idle", "calls", "failed")
	for _, tc := range []struct {
		proxies int
		answer  time.Duration
	}{{36, 250 * time.Millisecond}, {60, 105 * time.Millisecond}, {300, 26 * time.Millisecond}} {
		for _, pollInterval := range []time.Duration{4 * second, 10 * second} {
			for _, freeAbandoned := range []bool{false, true} {
				p := overloadedScenario(tc.proxies, tc.answer, pollInterval, freeAbandoned)
				t.Log(overloadedRow(t, p))
			}
		}
	}
}

// overloadedScenario has an outage of 8 s, after which most processes restart and the list changes
// every 1.4 s.
func overloadedScenario(proxies int, answer, pollInterval time.Duration, freeAbandoned bool) fleetScenario {
	rng := rand.New(rand.NewPCG(uint64(proxies), 2))
	p := fleetScenario{Proxies: proxies, PollInterval: pollInterval, Answer: answer, ChangePart: 0.3,
		FullLists: true, QueueTimeout: 3 * second,
		FreeAbandoned: freeAbandoned, Down: 60 * second, Outage: 8 * second}
	p.Until = p.back() + measuredTime
	for at := 1400 * time.Millisecond; at <= 10*second; at += 1400 * time.Millisecond {
		p.Changes = append(p.Changes, p.back()+at)
	}
	killed := p.back() + 100*time.Millisecond
	for proxy := range proxies {
		if rng.Float64() < 0.7 {
			p.Restarts = append(p.Restarts, restart{Proxy: proxy, Killed: killed, WithoutList: true,
				Started: p.back() + 200*time.Millisecond + time.Duration(rng.Int64N(int64(1300*time.Millisecond)))})
		}
	}
	return p
}

// overloadedRow simulates one row of the table. Fractions are of the time from the service's return
// to the end.
func overloadedRow(t *testing.T, p fleetScenario) string {
	f := p.run()
	l, s := f.lateness(), &f.service
	if l.Total != p.Proxies*len(p.Changes) || s.useful+s.wasted > measuredTime {
		t.Errorf("%s: %d results, worked for %v", p.describe(), l.Total, s.useful+s.wasted)
	}
	mean := time.Duration(0)
	if l.Late > 0 {
		mean = l.Sum / time.Duration(l.Late)
	}
	fraction := func(d time.Duration) float64 { return d.Seconds() / measuredTime.Seconds() }
	return fmt.Sprintf("%8d %7v %7v %6t | %5.1f%% %9.3f %9.3f %9s | %7.2f %6.2f %6.2f | %6d %6d",
		p.Proxies, p.Answer, p.PollInterval, p.FreeAbandoned, 100*float64(l.Late)/float64(l.Total), mean.Seconds(),
		l.Longest.Seconds(), f.allReceived(), fraction(s.useful), fraction(s.wasted), 1-fraction(s.useful+s.wasted),
		s.calls, s.failed)
}

// allReceived is how long after the service's return all proxies had received the last change, in seconds.
func (f *simulation) allReceived() string {
	last := time.Duration(0)
	for i := range f.processes {
		received := f.processes[i].received
		if at := received[len(received)-1]; at < 0 {
			return "never"
		} else if at > last {
			last = at
		}
	}
	return fmt.Sprintf("%.3f", (last - f.back()).Seconds())
}
