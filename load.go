package lilacglade

import (
	"math"
	"time"
)

// load is what a proxy knows of the requests that one server holds: its own, which it counts, and those
// of the others, which it learns from reports. A report is old when it comes, and the same one comes with
// answer after answer; a server's queue is another one by then. So it counts as it is for a moment only and
// else moves a slow mean of what others hold there; own attempts count as they are.
type load struct {
	out    int           // own attempts outstanding
	usual  float64       // mean of out over about ownMemory
	others float64       // mean of what reports had beyond it
	seen   float64       // reports behind that mean, fading over othersMemory
	value  float64       // the last report
	at     time.Duration // when it came; 0: never
	told   time.Duration // when it last counted as news
}

const (
	ownMemory    = 700 * time.Millisecond // about as old as a report is when it comes
	othersMemory = 3 * time.Second
	reportAgain  = time.Second            // an unchanged report counts anew after this
	priorReports = 3.0                    // the fleet's mean counts as so many reports
	reportFresh  = 250 * time.Millisecond // in which what a report says beyond the mean falls to a third
)

// report takes in a reported in-flight count.
func (l *load) report(v float64, now time.Duration) {
	if l.at == 0 || v != l.value || now-l.told >= reportAgain {
		l.seen++
		l.others += (max(0, v-l.usual) - l.others) / l.seen
		l.value, l.told = v, now
	}
	l.at = max(1, now)
}

// pass lets time go by.
func (l *load) pass(dt time.Duration) {
	l.usual += (float64(l.out) - l.usual) * dt.Seconds() / (dt + ownMemory).Seconds()
	l.seen *= math.Exp(-dt.Seconds() / othersMemory.Seconds())
}

// more takes in that the server must hold about so many more than was thought.
func (l *load) more(n float64) {
	l.others += n
	l.seen++
}

// held estimates the requests that the server holds, where others hold about so many at one like it.
func (l *load) held(prior float64, now time.Duration) float64 {
	others := (l.others*l.seen + prior*priorReports) / (l.seen + priorReports)
	if age := now - l.told; l.at > 0 && age < 8*reportFresh {
		others += (max(0, l.value-l.usual) - others) * math.Exp(-age.Seconds()/reportFresh.Seconds())
	}
	return others + float64(l.out)
}

// pace is how slow a server's answers lately were: seconds for each second of expected work.
type pace struct {
	mean float64
	n    int
	at   time.Duration
}

const (
	paceMemory = time.Second
	paceGain   = 0.2 // weight of one answer among several within that time
	paceWeight = 0.5 // what a fresh pace counts against what load lets expect
	// paceMost bounds what one answer says. Guards against counting twice one that took hundreds of times what
	// was expected, as after a pause of the machine: it raises what is expected of the next as well.
	paceMost = 20.0
)

// add takes in one answer, or an attempt that waited as long in vain, which tells nothing if that was short.
func (p *pace) add(took float64, answered bool, now time.Duration) {
	took = min(took, paceMost)
	if !answered && took <= p.mean {
		return
	}
	gain := max(paceGain, -math.Expm1(-(now-p.at).Seconds()/paceMemory.Seconds()))
	if p.n++; p.n == 1 {
		gain = 1
	}
	p.mean += (took - p.mean) * gain
	p.at = now
}

// blend raises an expectation towards what was lately measured.
func (p *pace) blend(expected float64, now time.Duration) float64 {
	if p.n == 0 || p.mean <= expected {
		return expected
	}
	trust := paceWeight * math.Exp(-(now-p.at).Seconds()/paceMemory.Seconds())
	return expected + trust*(p.mean-expected)
}
