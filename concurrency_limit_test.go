package lilacglade

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// queue is a server with two cores and some room, which turns away what it can't hold.
type queue struct {
	room int
	ends []time.Duration // of what it holds, the first in work first
}

func (q *queue) at(now time.Duration) int {
	for len(q.ends) > 0 && q.ends[0] <= now {
		q.ends = q.ends[1:]
	}
	return len(q.ends)
}

// TestBoundIsLearnt guards against queues kept full, and against servers left idle for fear of them: several
// proxies that each learn a bound from old reports and from what is turned away keep a server busy at twice
// what it can do, and are seldom turned away. Many proxies with nowhere else to go swing, since their reports
// are old: they keep it less busy.
func TestBoundIsLearnt(t *testing.T) {
	const work, reportEvery = 50 * ms, 900 * ms
	for _, proxies := range []int{1, 3, 4, 20, 80} {
		for _, room := range []int{6, 9} {
			rng := rand.New(rand.NewPCG(uint64(proxies), uint64(room)))
			q := &queue{room: room}
			loads, bounds := make([]loadEstimator, proxies), make([]concurrencyLimit, proxies)
			type open struct {
				proxy int
				held  float64
				end   time.Duration
			}
			var outs []open
			var report, reported time.Duration
			value, sent, turned, busy, steps := 0.0, 0, 0, 0, 0
			for now := time.Duration(0); now < 60*time.Second; now += ms {
				if now-report >= reportEvery {
					report, value, reported = now, float64(q.at(now)), now
				}
				kept := outs[:0]
				for _, o := range outs {
					if o.end > now {
						kept = append(kept, o)
						continue
					}
					l := &loads[o.proxy]
					l.ownInFlight--
					l.addReport(value, reported+200*ms)
					bounds[o.proxy].onAccepted(o.held)
				}
				outs = kept
				if now%tickInterval == 0 {
					for i := range loads {
						if loads[i].advance(tickInterval); loads[i].ownInFlight == 0 {
							bounds[i].onIdle(tickInterval)
						}
					}
				}
				if rng.Float64() < 2*0.001/work.Seconds()*2 {
					i := rng.IntN(proxies)
					if held := loads[i].estimate(loads[i].othersMean, now) + 1; bounds[i].allows(held, 1) {
						if sent++; q.at(now) < q.room {
							start := now
							if n := len(q.ends); n >= 2 {
								start = q.ends[n-2]
							}
							end := max(start+time.Duration(rng.ExpFloat64()*float64(work)), now+ms)
							if n := len(q.ends); n > 0 {
								end = max(end, q.ends[n-1])
							}
							q.ends = append(q.ends, end)
							loads[i].ownInFlight++
							outs = append(outs, open{i, held, end})
						} else {
							turned++
							bounds[i].onRejection(held)
						}
					}
				}
				if steps++; q.at(now) >= 2 {
					busy++
				}
			}
			away, used := float64(turned)/float64(sent), float64(busy)/float64(steps)
			if away > 0.3 || used < 0.3 || proxies <= 4 && (away > 0.12 || used < 0.45) {
				t.Errorf("%d proxies, room for %d: %.2f turned away, busy %.2f of the time", proxies, room, away, used)
			}
		}
	}
}

// TestBoundComesBack guards against a bound that, once low, is never tried again.
func TestBoundComesBack(t *testing.T) {
	var b concurrencyLimit
	if !b.allows(100, minLimitFraction) {
		t.Error("bounded before anything was turned away")
	}
	for range 100 {
		b.onRejection(3)
	}
	if b.allows(minConcurrencyLimit+0.1, 1) || !b.allows(minConcurrencyLimit, 1) {
		t.Errorf("bound %g after many turned away, want %g", b.limit, minConcurrencyLimit)
	}
	if b.onRejection(100); b.limit != minConcurrencyLimit {
		t.Error("an estimate far beyond the bound moved it")
	}
	for range 100 {
		b.onIdle(tickInterval)
	}
	if !b.allows(minConcurrencyLimit+0.9, 1) {
		t.Errorf("bound %g after ten idle seconds", b.limit)
	}
}

// TestOldReports guards against proxies that follow one old report together: the same report counts once,
// what is a proxy's own is no load of others, and the estimate moves with its own attempts at once.
func TestOldReports(t *testing.T) {
	var l loadEstimator
	for i := range 50 {
		l.addReport(6, time.Duration(i)*10*ms)
	}
	if got := l.estimate(2, 12*time.Second); math.Abs(got-3) > 0.2 {
		t.Errorf("one report of 6 where 2 are usual: %.2f, want about 3", got)
	}
	if got := l.estimate(2, 10*ms); math.Abs(got-6) > 0.2 {
		t.Errorf("just told of 6: %.2f", got)
	}
	l = loadEstimator{ownInFlight: 4}
	for i := range 100 {
		l.advance(tickInterval)
		l.addReport(6+float64(i%2)/10, time.Duration(i)*tickInterval)
	}
	if got := l.estimate(2, 12*time.Second); math.Abs(got-6) > 0.3 {
		t.Errorf("4 of its own of 6: %.2f", got)
	}
	if l.ownInFlight++; math.Abs(l.estimate(2, 12*time.Second)-7) > 0.3 {
		t.Errorf("one more of its own: %.2f", l.estimate(2, 12*time.Second))
	}
}

// TestPaceFades guards against a server avoided for ever for what it once took.
func TestPaceFades(t *testing.T) {
	var p latencyEstimator
	for range 20 {
		p.add(4, true, time.Second)
	}
	if got := p.blend(1, time.Second); got < 2 {
		t.Errorf("answers four times as slow as expected count %.2f", got)
	}
	if got := p.blend(1, 7*time.Second); got > 1.01 {
		t.Errorf("and after six seconds without news still %.2f", got)
	}
	if p.add(2, false, time.Second); p.mean < 3.9 {
		t.Error("a short wait in vain speaks for the server")
	}
}

// TestElapsed guards against taking late tries for first ones where clients mark none: what a try may take
// tells how much of the deadline is gone.
func TestElapsed(t *testing.T) {
	const deadline = 600 * ms
	var f firstAttemptEstimator
	rng := rand.New(rand.NewPCG(1, 1))
	ask := func(budget time.Duration) time.Duration { return f.elapsed(budget, deadline) }
	for range 2000 {
		ask(336*ms + time.Duration(rng.IntN(5))*ms)
		if rng.IntN(3) == 0 {
			ask(time.Duration(100+rng.IntN(500)) * ms)
		}
	}
	for budget, want := range map[time.Duration]time.Duration{338 * ms: 0, 330 * ms: 0, 507 * ms: 93 * ms,
		220 * ms: 380 * ms, deadline: 0, 0: 0, -ms: 0, 2 * deadline: 0} {
		if got := ask(budget); got != want {
			t.Errorf("budget %v: %v elapsed, want %v", budget, got, want)
		}
	}
	for range 3000 { // callers now wait longer
		ask(deadline)
	}
	if got := ask(338 * ms); got != 262*ms {
		t.Errorf("after the change: %v", got)
	}
}

// crowded returns a proxy of three whose servers have all shown what they take and are full in its eyes
// for all but the best class, with classes worth 10 and 2.
func crowded(t *testing.T) *proxy {
	set := testSettings()
	set.Classes[0].Worth, set.Classes[4].Worth, set.WorthByWork = 2, 10, true
	p := newProxy(t, set, 1, fleet(3)...)
	for _, s := range p.b.sortedServers {
		p.b.addLoadReport(s, LoadReport{N: 1, Values: [4]float64{3}})
		s.load.othersWeight, s.concurrencyLimit.limit = 1e6, 5
	}
	return p
}

// TestLeastWorthMakesRoom guards against full queues in which the best waits behind the least: at a server
// near its bound the least worth is refused at once, with advice, and the best is still sent.
func TestLeastWorthMakesRoom(t *testing.T) {
	p := crowded(t)
	if a := p.one(Refuse, Request{ID: 1, Class: 0, Budget: time.Second}); a.For == 0 {
		t.Error("refused without advice")
	}
	p.one(Send, Request{ID: 2, Class: 4, Budget: time.Second})
}

// TestLateTriesGoFirst guards against late tries, which earn little, in the place of first ones.
func TestLateTriesGoFirst(t *testing.T) {
	p := crowded(t)
	for i := range 100 { // first tries
		p.do(Request{ID: RequestID(100 + i), Class: 4, Budget: time.Second})
		p.do(Departed{Request: RequestID(100 + i)})
	}
	for _, s := range p.b.sortedServers {
		s.load.ownInFlight = 0
	}
	p.one(Send, Request{ID: 1, Class: 4, Budget: time.Second})
	p.do(Outcome{Request: 1, Server: p.b.requests[1].attempted[0].ID, Result: OK, Closed: true, Latency: ms})
	p.one(Refuse, Request{ID: 2, Class: 4, Budget: 500 * ms})
}

// TestHeavyIsNotRefused guards against refusing by its own size what is worth as much for its work
// as any other.
func TestHeavyIsNotRefused(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		set := testSettings()
		set.WorthByWork, set.Classes[0].Worth, set.Classes[4].Worth = byWork, 2, 10
		p := newProxy(t, set, 1, fleet(3)...)
		p.b.workEstimators[0] = linearRegression{samples: 1e6, meanX: 0.05, meanY: 0.05,
			meanXX: 0.0125, meanXY: 0.0125}
		p.b.meanWork = 0.05
		sent := 0
		for i := range RequestID(50) {
			if a := p.do(Request{ID: i, Class: 0, Budget: time.Second, Cost: 230 * ms})[0]; a.Do == Send {
				sent++
				p.do(Outcome{Request: i, Server: a.Server, Result: OK, Closed: true})
			}
		}
		if byWork && sent < 50 || !byWork && sent > 40 {
			t.Errorf("worth by work %t: %d of 50 sent", byWork, sent)
		}
	}
}
