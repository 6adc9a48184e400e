package emulator

import (
	"maps"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a try ended.
type outcome uint8

const (
	outServed outcome = iota
	outRefused
	outFailed      // answered as failed
	outSilent      // not answered in time
	outClosed      // the proxy closed the leg
	outUnreachable // no proxy could be reached
	outKilled      // the proxy died
	outcomes
)

// Outcomes are the names of how a try ends, in the order of Result.Outcomes.
var Outcomes = [outcomes]string{"served", "refused", "failed", "silent", "closed", "unreachable", "killed"}

// Result is what a run has come to. Service counts calls, a client's retries with its first try;
// the counts of outcomes count tries. Each try asked ends in exactly one outcome.
type Result struct {
	Scenario string        `json:"scenario"`
	Policy   string        `json:"policy,omitempty"`
	Mode     string        `json:"mode,omitempty"`
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration"`
	Hash     string        `json:"hash,omitempty"`
	Took     time.Duration `json:"took,omitempty"` // real time

	G           float64            `json:"g"`
	Whole       float64            `json:"whole"`
	WorstWindow float64            `json:"worst_window"`
	WorstFrom   int                `json:"worst_from_s"`
	Classes     map[string]Share   `json:"classes"`
	Tenants     map[string]Share   `json:"tenants"` // within their shares
	Prices      map[string]float64 `json:"prices"`

	Asked    int               `json:"asked"`
	Outcomes [outcomes]int     `json:"outcomes"`
	Early    int               `json:"early_refusals"` // before half of their time
	HeldBack int               `json:"held_back"`      // ended late although nothing of them was ever sent
	Attempts int               `json:"attempts"`
	Crossing int               `json:"crossing"` // attempts that left the zone
	Turned   map[string]int    `json:"turned_away"`
	Openings int               `json:"openings"`
	MostOpen int               `json:"most_open"` // connections of one server
	Lists    Lists             `json:"lists"`     // calls for the list
	DeadLegs int               `json:"dead_legs"` // requests written on legs that were dropped in silence
	Repeats  int               `json:"repeats"`   // runs of keyed requests whose effect was dropped
	Tipped   int               `json:"tipped"`
	Crowded  int               `json:"crowded"`
	Work     float64           `json:"work_s"`
	Wasted   float64           `json:"wasted_s"`
	Latency  Quantiles         `json:"latency"` // of calls served, from their first try
	Broken   map[Rule]int      `json:"broken"`
	Breaks   []Break           `json:"breaks,omitempty"`
	Seconds  []Second          `json:"seconds"`
	Servers  []ServerStats     `json:"servers"`
	Notes    []string          `json:"notes,omitempty"`
	Figures  map[string]string `json:"figures,omitempty"` // of the driver: memory, descriptors

	hist      *hdrhistogram.Histogram
	offered   float64
	lateFails float64
	conns     float64 // connections of all servers, summed over the samples
	samples   int
	heldWorth float64
	open      int
}

// Lists counts calls for the list over all proxies, and how long they went without the latest one.
type Lists struct {
	Asked, Answered, Failed int // failed: turned away, late, or given up
	Peak                    int // calls in one second
	MostBehind              int // proxies that held an older list at once
	Behind                  int // proxies times seconds that they did
}

// Share is worth served against worth asked for.
type Share struct {
	Offered float64 `json:"offered"`
	Earned  float64 `json:"earned"`
}

// Part is the part served, 1 where nothing was asked.
func (s Share) Part() float64 {
	if s.Offered <= 0 {
		return 1
	}
	return s.Earned / s.Offered
}

// Quantiles are times at parts of a distribution.
type Quantiles struct {
	P50, P90, P99, P999, Max time.Duration
	// Curve has the time in ms at each part of the calls, for a chart.
	Curve [][2]float64 `json:"curve,omitempty"`
}

// Second is one second of a run, by when calls and tries began.
type Second struct {
	Calls    int     `json:"calls"`
	Offered  float64 `json:"offered"`
	Earned   float64 `json:"earned"`
	Tries    int     `json:"tries"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Attempts int     `json:"attempts"`
	Openings int     `json:"openings"`
	Lists    int     `json:"lists"`     // calls for the list that reached discovery
	Behind   int     `json:"behind"`    // proxies that run and hold an older list than discovery, at its start
	InFlight int     `json:"in_flight"` // at all servers, at its start
	Conns    int     `json:"connections"`
	Most     int     `json:"most_in_flight"` // at one server
	// Each server's in flight at its start, for fleets of up to 64.
	Held []int `json:"held,omitempty"`
}

// latencyMost is the longest latency that the histogram tells apart, in microseconds.
const latencyMost = int64(60 * time.Second / time.Microsecond)

func newResult(sc *Scenario) *Result {
	r := &Result{Scenario: sc.Name, Seed: sc.Seed, Duration: sc.Duration, Classes: map[string]Share{},
		Tenants: map[string]Share{}, Prices: map[string]float64{}, Turned: map[string]int{},
		Broken: map[Rule]int{}, hist: hdrhistogram.New(1, latencyMost, 3)}
	r.Seconds = make([]Second, int(math.Ceil(sc.Duration.Seconds())))
	return r
}

func (r *Result) second(at time.Duration) *Second {
	return &r.Seconds[min(len(r.Seconds)-1, max(0, int(at/time.Second)))]
}

// mostHeldSeries is the largest fleet of which each server's load is kept for every second.
const mostHeldSeries = 64

// sample notes the fleet's state once a second.
func (r *Result) sample(w *World) {
	s := r.second(w.Clock.Now())
	for _, o := range w.servers {
		n := o.holding()
		s.InFlight += n
		s.Conns += o.conns
		s.Most = max(s.Most, n)
		if len(w.servers) <= mostHeldSeries {
			s.Held = append(s.Held, n)
		}
	}
	for _, p := range w.proxies {
		if p.up && p.holds < w.discovery.version {
			s.Behind++
		}
	}
	r.Lists.Behind += s.Behind
	r.Lists.MostBehind = max(r.Lists.MostBehind, s.Behind)
	r.conns += float64(s.Conns)
	r.samples++
	if next := w.Clock.Now() + time.Second; next < w.sc.Duration {
		w.Clock.At(next, func() { r.sample(w) })
	}
}

func (w *World) worth(k *Call) float64 {
	worth := w.sc.Classes[k.Class].Worth
	if k.Over {
		worth *= w.sc.Prices.OverShare
	}
	return worth
}

func (r *Result) began(k *Call) {
	k.second = min(len(r.Seconds)-1, int(k.Started/time.Second))
	r.Seconds[k.second].Calls++
	r.open++
}

func (r *Result) asked(a *Ask) {
	r.Asked++
	r.second(a.Sent).Tries++
}

func (r *Result) attempt(w *World, a *Attempt) {
	r.Attempts++
	r.second(w.Clock.Now()).Attempts++
	if a.Server.Zone != w.sc.ProxyZone(a.Hop.Proxy) {
		r.Crossing++
	}
}

func (r *Result) turned(why string) { r.Turned[why]++ }

func (r *Result) openings(open int) {
	r.Openings++
	r.MostOpen = max(r.MostOpen, open)
}

func (r *Result) listAsked(now time.Duration) {
	s := r.second(now)
	s.Lists++
	r.Lists.Asked++
	r.Lists.Peak = max(r.Lists.Peak, s.Lists)
}

// ended counts how a try ended.
func (r *Result) ended(w *World, a *Ask, how outcome) {
	r.Outcomes[how]++
	s := r.second(a.Sent)
	switch how {
	case outServed:
		s.Served++
	case outRefused:
		s.Refused++
	default:
		s.Failed++
	}
	now, budget := w.Clock.Now(), a.GiveUp-a.Sent
	half := now-a.Sent > budget/2
	if how == outRefused && !half {
		r.Early++
	}
	if how != outServed && how != outUnreachable && how != outKilled && half && len(a.attempts) == 0 {
		r.HeldBack++
		r.heldWorth += w.worth(a.Call)
	}
}

// closed counts what a call has come to.
func (r *Result) closed(w *World, k *Call) {
	r.open--
	class := &w.sc.Classes[k.Class]
	worth, got := w.worth(k), 0.0
	if k.served > 0 {
		took := k.served - k.Started
		_ = r.hist.RecordValue(min(latencyMost, max(1, took.Microseconds()))) // in its range, so never an error
		if got = worth; took > class.Aim {
			got *= class.LateWorth
		}
	} else if w.Clock.Now()-k.Started > class.Aim {
		r.lateFails += worth
	}
	r.offered += worth
	add := func(m map[string]Share, name string) {
		s := m[name]
		m[name] = Share{s.Offered + worth, s.Earned + got}
	}
	add(r.Classes, class.Name)
	if !k.Over {
		add(r.Tenants, w.sc.Tenants[k.Tenant].Name)
	}
	r.Seconds[k.second].Offered += worth
	r.Seconds[k.second].Earned += got
}

// finish sums up.
func (r *Result) finish(w *World) {
	var all Share
	worstClass, worstTenant := 1.0, 1.0
	for _, c := range w.sc.Classes { // in the scenario's order, so that sums are the same to the bit
		s := r.Classes[c.Name]
		all.Offered += s.Offered
		all.Earned += s.Earned
		worstClass = min(worstClass, s.Part())
	}
	for _, t := range w.sc.Tenants {
		worstTenant = min(worstTenant, r.Tenants[t.Name].Part())
	}
	r.Whole = all.Part()
	r.WorstWindow, r.WorstFrom = r.Whole, 0
	if n := int(w.sc.Goal.Window / time.Second); n <= len(r.Seconds) {
		for from := 0; from+n <= len(r.Seconds); from++ {
			var win Share
			for _, s := range r.Seconds[from : from+n] {
				win.Offered += s.Offered
				win.Earned += s.Earned
			}
			if p := win.Part(); win.Offered > 0 && p < r.WorstWindow {
				r.WorstWindow, r.WorstFrom = p, from
			}
		}
	}
	first := 0
	for _, s := range r.Seconds {
		first += s.Calls
	}
	per := func(x float64) float64 { return finite(x / float64(first)) }
	p := &w.sc.Prices
	asked := float64(first) * w.meanWork
	r.Prices = map[string]float64{
		"waste":      p.Waste * min(1, finite(r.Wasted/asked)),
		"late_fail":  p.LateFail * min(1, finite(r.lateFails/r.offered)),
		"handshake":  p.Handshake * min(1, per(float64(r.Openings))),
		"connection": p.Connection * min(1, finite(r.conns/float64(r.samples)/float64(len(w.servers))/100)),
		"cross_zone": p.CrossZone * min(1, per(float64(r.Crossing))),
		"held_back":  p.HeldBack * min(1, finite(r.heldWorth/r.offered)),
	}
	g := &w.sc.Goal
	r.G = g.Whole*r.Whole + g.WorstWindow*r.WorstWindow + g.WorstClass*worstClass + g.WorstTenant*worstTenant
	for _, name := range []string{"waste", "late_fail", "handshake", "connection", "cross_zone", "held_back"} {
		r.G -= r.Prices[name]
	}
	at := func(q float64) time.Duration { return time.Duration(r.hist.ValueAtQuantile(q)) * time.Microsecond }
	r.Latency = Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
	for _, q := range []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100} {
		r.Latency.Curve = append(r.Latency.Curve, [2]float64{q, at(q).Seconds() * 1000})
	}
	r.Servers = nil
	for _, s := range w.servers {
		s.Stats.Name = s.Name
		r.Servers = append(r.Servers, s.Stats)
	}
	r.Notes = w.notes
}

// Ended adds up the outcomes of tries.
func (r *Result) Ended() (n int) {
	for _, o := range r.Outcomes {
		n += o
	}
	return n
}

// Unsettled is how many calls have not come to an end.
func (r *Result) Unsettled() int { return r.open }

// Rules adds up the broken rules.
func (r *Result) Rules() (n int) {
	for _, c := range maps.All(r.Broken) {
		n += c
	}
	return n
}
