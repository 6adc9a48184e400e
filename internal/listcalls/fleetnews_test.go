package listcalls

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// What fleets and outages are played.
var (
	fleetSizes   = []int{3, 8, 20, 24, 25, 40, 60, 83, 150, 300, 900}
	fleetOutages = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, second, 3 * second, 4 * second,
		6 * second, 8 * second, 13 * second, 20 * second, 30 * second, 60 * second}
	fleetAskingTimes = []time.Duration{1500 * time.Millisecond, 4 * second, 10 * second, 30 * second}
)

const (
	fleetDrawnOutages = 3                      // beside the named ones, for each fleet
	fleetAllAnswered  = NotifiedAfter / 2      // a service is judged that can answer all proxies in this time
	fleetMostCost     = 110 * time.Millisecond // of an answer with the whole list
	fleetMeasured     = 25 * second            // after the service's return
)

// Guards against proxies that hear of a change later than the pages allow because of the size of their fleet
// or the length of the outage before it (report 43e505: 83 proxies, 8 s, up to 8 s late).
func TestEveryFleetHearsInTime(t *testing.T) {
	for _, proxies := range fleetSizes {
		t.Run(fmt.Sprintf("proxies=%d", proxies), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(proxies), 1))
			outages := append([]time.Duration(nil), fleetOutages...)
			for range fleetDrawnOutages {
				outages = append(outages, 20*time.Millisecond+time.Duration(rng.Int64N(int64(60*second))))
			}
			for _, outage := range outages {
				judgeOutage(t, proxies, outage, 0, rng)
			}
		})
	}
}

// judgeOutage plays a fleet through outages of one length: each asking time, a change right after the
// service's return and one in the last moment before it, with and without processes killed in the outage.
func judgeOutage(t *testing.T, proxies int, outage time.Duration, queue int, rng *rand.Rand) {
	t.Helper()
	plays, late, worst, of := 0, 0, lateness{}, fleetPlay{}
	for _, every := range fleetAskingTimes {
		for _, changed := range []time.Duration{100 * time.Millisecond, -time.Millisecond} {
			for _, killed := range []bool{false, true} {
				p := drawPlay(rng, proxies, every, outage, changed, killed)
				p.Queue = queue
				plays++
				l := p.run().lateness()
				if l.Late > 0 {
					late++
				}
				if l.Most > worst.Most {
					worst, of = l, p
				}
			}
		}
	}
	if late == 0 {
		t.Logf("down for %v: none of %d plays late; the latest answer %v after the service had the change and "+
			"could be reached, %s", outage, plays, worst.Most, of.settings())
		return
	}
	t.Errorf("down for %v: %d of %d plays late; the worst: %d of %d proxies, number %d heard after %v, %s\n%s",
		outage, late, plays, worst.Behind, proxies, worst.Proxy, worst.Most, of.settings(),
		traceOf(of, worst.Proxy, worst.At))
}

// drawPlay draws what a play leaves open: the service, its state before the outage, and who is killed.
func drawPlay(rng *rand.Rand, proxies int, every, outage, changed time.Duration, killed bool) fleetPlay {
	down := 20*second + time.Duration(rng.Int64N(int64(20*second)))
	p := fleetPlay{Proxies: proxies, Every: every, Down: down, DownFor: outage,
		UntilHeard: true,
		TimeOut:    time.Duration(2+rng.IntN(2)) * second, Unpaid: rng.IntN(2) == 0, Hangs: rng.IntN(2) == 0,
		Whole: rng.IntN(2) == 0}
	p.Until = p.back() + fleetMeasured
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

// drawCost draws what answers cost. All whole lists together take no longer than fleetAllAnswered, and
// answers without news no more than half of the service's time.
func drawCost(rng *rand.Rand, p *fleetPlay) {
	most := min(fleetMostCost, fleetAllAnswered/time.Duration(p.Proxies))
	p.Answer = []time.Duration{0, time.Duration(rng.Int64N(int64(most))), most}[rng.IntN(3)]
	p.ChangePart = 0.1 + 0.9*rng.Float64()
	if quiet := p.ChangePart * float64(p.Answer) * float64(p.Proxies); quiet > float64(p.Every/2) {
		p.ChangePart *= float64(p.Every/2) / quiet
	}
}

// drawRestarts has a part of the fleet killed and started anew inside the outage.
func drawRestarts(rng *rand.Rand, p *fleetPlay) {
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
		p.Restarts = append(p.Restarts, fleetRestart{Proxy: proxy, Killed: killed, Started: started,
			KnowsNoList: rng.IntN(4) == 0})
	}
}

// drawInside draws two moments inside the outage, the second at most two seconds after the first.
func drawInside(rng *rand.Rand, p *fleetPlay) (killed, started time.Duration) {
	killed = p.Down + time.Duration(rng.Float64()*0.9*float64(p.DownFor))
	started = killed + time.Duration(rng.Float64()*float64(min(p.back()-killed, 2*second)))
	return killed, max(started, killed+time.Millisecond)
}

// settings describes a play for those who read a failure.
func (p *fleetPlay) settings() string {
	return fmt.Sprintf("asked every %v, an answer costs %v (changes %.2f of it, whole %t), time-out %v, "+
		"unpaid %t, hangs %t, queue %d, down from %v for %v, changes %v, %d restarts", p.Every, p.Answer,
		p.ChangePart, p.Whole, p.TimeOut, p.Unpaid, p.Hangs, p.Queue, p.Down, p.DownFor, p.Changes,
		len(p.Restarts))
}

// Guards against the failure of report 43e505, played by its own times: a server drains 0.2 s after an outage
// of 8.0 s, and of 83 proxies those with an unlucky number make no call for longer than the pages allow.
func TestReportedFleet(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	p := fleetPlay{Proxies: 83, Every: 10 * second, Answer: 2 * time.Millisecond, ChangePart: 0.3,
		TimeOut: 3 * second, Down: ms(9980), DownFor: ms(8000), Until: 40 * second, Follow: 59,
		Changes: []time.Duration{ms(2350), ms(7420), ms(9950), ms(18180)}}
	for _, number := range []int{38, 46, 54, 58} {
		p.Restarts = append(p.Restarts, fleetRestart{Proxy: number, Killed: ms(2000), Started: ms(3050)})
	}
	f := p.run()
	if l := f.lateness(); l.Late > 0 {
		t.Errorf("%d of %d proxies late; number %d heard %v after the service had a change and could be reached; "+
			"number 58:\n%s", l.Behind, p.Proxies, l.Proxy, l.Most, strings.Join(f.trace, "\n"))
	}
}

// Guards against proxies that a service turns away at once, its queue being full, and that then stay away for
// longer than the pages allow, though the service could have answered all of them in time.
func TestEveryFleetHearsPastAFullQueue(t *testing.T) {
	for _, proxies := range fleetSizes {
		t.Run(fmt.Sprintf("proxies=%d", proxies), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(proxies), 3))
			for _, outage := range []time.Duration{20 * time.Millisecond, 4 * second, 8 * second, 30 * second} {
				judgeOutage(t, proxies, outage, max(4, proxies/4), rng)
			}
		})
	}
}

// TestCrowdedServices measures services that can't answer all proxies in time: seven in ten processes start
// anew within 1.5 s of the service's return, and the list goes on changing. It sets no bound but that the
// plays are what they say; its table, shown with -v, compares schedules.
func TestCrowdedServices(t *testing.T) {
	t.Logf("%8s %7s %7s %6s | %6s %9s %9s %9s | %7s %6s %6s | %6s %6s", "proxies", "answer", "asked", "unpaid",
		"late", "mean late", "most", "heard all", "useful", "wasted", "idle", "calls", "failed")
	for _, tc := range []struct {
		proxies int
		answer  time.Duration
	}{{36, 250 * time.Millisecond}, {60, 105 * time.Millisecond}, {300, 26 * time.Millisecond}} {
		for _, every := range []time.Duration{4 * second, 10 * second} {
			for _, unpaid := range []bool{false, true} {
				p := crowdedPlay(tc.proxies, tc.answer, every, unpaid)
				t.Log(crowdedRow(t, p))
			}
		}
	}
}

// crowdedPlay is an outage of 8 s after which most processes start anew and the list changes each 1.4 s.
func crowdedPlay(proxies int, answer, every time.Duration, unpaid bool) fleetPlay {
	rng := rand.New(rand.NewPCG(uint64(proxies), 2))
	p := fleetPlay{Proxies: proxies, Every: every, Answer: answer, ChangePart: 0.3, Whole: true,
		TimeOut: 3 * second,
		Unpaid:  unpaid, Down: 60 * second, DownFor: 8 * second}
	p.Until = p.back() + fleetMeasured
	for at := 1400 * time.Millisecond; at <= 10*second; at += 1400 * time.Millisecond {
		p.Changes = append(p.Changes, p.back()+at)
	}
	killed := p.back() + 100*time.Millisecond
	for proxy := range proxies {
		if rng.Float64() < 0.7 {
			p.Restarts = append(p.Restarts, fleetRestart{Proxy: proxy, Killed: killed, KnowsNoList: true,
				Started: p.back() + 200*time.Millisecond + time.Duration(rng.Int64N(int64(1300*time.Millisecond)))})
		}
	}
	return p
}

// crowdedRow plays one line of the table. Parts are of the time from the service's return to the end.
func crowdedRow(t *testing.T, p fleetPlay) string {
	f := p.run()
	l, s := f.lateness(), &f.service
	if l.Pairs != p.Proxies*len(p.Changes) || s.useful+s.wasted > fleetMeasured {
		t.Errorf("%s: %d pairs, worked for %v", p.settings(), l.Pairs, s.useful+s.wasted)
	}
	mean := time.Duration(0)
	if l.Late > 0 {
		mean = l.Sum / time.Duration(l.Late)
	}
	part := func(d time.Duration) float64 { return d.Seconds() / fleetMeasured.Seconds() }
	return fmt.Sprintf("%8d %7v %7v %6t | %5.1f%% %9.3f %9.3f %9s | %7.2f %6.2f %6.2f | %6d %6d",
		p.Proxies, p.Answer, p.Every, p.Unpaid, 100*float64(l.Late)/float64(l.Pairs), mean.Seconds(),
		l.Most.Seconds(), f.allHeard(), part(s.useful), part(s.wasted), 1-part(s.useful+s.wasted),
		s.calls, s.failed)
}

// allHeard is when, after the service's return, all proxies had been answered with the last change.
func (f *fleet) allHeard() string {
	last := time.Duration(0)
	for i := range f.processes {
		heard := f.processes[i].heard
		if at := heard[len(heard)-1]; at < 0 {
			return "never"
		} else if at > last {
			last = at
		}
	}
	return fmt.Sprintf("%.3f", (last - f.back()).Seconds())
}
