package lilacglade

import (
	"math"
	"time"
)

// Learned is what a Balancer has learned about its servers, for its successor in another process of
// the same proxy. Export returns it, Import restores it. Times are ages.
type Learned struct {
	Servers                 []LearnedServer
	Works                   map[string][5]float64 // the linear regression of the work, by class name
	Usual, Bias, MeanLoad   float64               // mean load at sending, latency bias, mean load
	Arrivals, Tries, Failed float64               // arrival rate, recent attempts and failures
	Retries                 float64               // retry tokens
	SinceReport             time.Duration         // since the last load report of any server
	ReportedAny             bool
}

// LearnedServer is what was learned about one server. It is only valid until the server restarts.
type LearnedServer struct {
	ID             ServerID
	Age            time.Duration // since its start; -1 if long ago
	Speed, Doubt   float64       // Doubt: failure evidence
	Load, Usual    float64       // Load: in-flight requests of other proxies; Usual: mean report
	Bound          float64       // concurrency limit; 0 if there is none
	Reported       bool
	LoadAge        time.Duration // since its last load report
	Aside          bool          // ejected
	Wait, TrialDue time.Duration // probation backoff, time until the next probation attempt
	Purse          float64       // slow-start budget, in seconds of work
}

// Export returns what was learned so far.
func (b *Balancer) Export(now time.Duration) Learned {
	learned := Learned{Works: map[string][5]float64{}, Usual: b.meanSentLoad, Bias: b.latencyBias,
		MeanLoad: b.meanLoad, Arrivals: b.arrivalRate, Tries: b.recentAttempts, Failed: b.recentFailures,
		Retries: b.retryTokens, SinceReport: now - b.lastReportAt, ReportedAny: b.lastReportAt > 0}
	for i, regression := range b.workEstimators {
		learned.Works[b.settings.Classes[i].Name] = [5]float64{regression.samples, regression.meanX,
			regression.meanY, regression.meanXX, regression.meanXY}
	}
	for _, s := range b.sortedServers {
		learned.Servers = append(learned.Servers, LearnedServer{ID: s.ID, Age: b.startAge(s, now),
			Speed: s.speed, Doubt: s.failureEvidence, Load: s.load.othersMean, Usual: s.meanReported,
			Reported: s.hasReport, LoadAge: now - s.load.reportedAt, Bound: s.concurrencyLimit.limit,
			Aside: s.ejected, Wait: s.probationBackoff,
			TrialDue: max(0, s.probationAt-now), Purse: s.slowStartBudget})
	}
	return learned
}

// startTolerance is the maximum difference of two estimates of the same start time.
const startTolerance = 50 * time.Millisecond

// startAge returns the time since the start of s, -1 if that is long ago.
func (b *Balancer) startAge(s *server, now time.Duration) time.Duration {
	if s.Started <= 0 {
		return -1
	}
	return now - s.Started
}

// inRange reports whether value is a number from low to high.
func inRange(value, low, high float64) bool { return value >= low && value <= high }

// Import restores what another process of this proxy had learned; ago is the time since then. It
// ignores values out of range, servers that are not listed, and servers that have restarted since.
func (b *Balancer) Import(now, ago time.Duration, learned Learned) {
	b.now = now
	for i, c := range b.settings.Classes {
		values, ok := learned.Works[c.Name]
		if regression := (linearRegression{values[0], values[1], values[2], values[3], values[4]}); ok &&
			inRange(regression.samples, 1, math.MaxFloat64) && inRange(regression.meanX, 0, 1e6) &&
			inRange(regression.meanY, 1e-9, 1e6) && inRange(regression.meanXX, 0, 1e12) &&
			inRange(regression.meanXY, 0, 1e12) {
			b.workEstimators[i] = regression
		}
	}
	for _, figure := range []struct {
		to        *float64
		from      float64
		low, high float64
	}{{&b.meanSentLoad, learned.Usual, 0, 1e6}, {&b.latencyBias, learned.Bias, -10, 10},
		{&b.meanLoad, learned.MeanLoad, 0, 1e6}, {&b.arrivalRate, learned.Arrivals, 0, 1e6},
		{&b.recentAttempts, learned.Tries, 0, 1e9}, {&b.recentFailures, learned.Failed, 0, 1e9},
		{&b.retryTokens, learned.Retries, 0, maxRetryTokens}} {
		if inRange(figure.from, figure.low, figure.high) {
			*figure.to = figure.from
		}
	}
	if learned.ReportedAny {
		b.lastReportAt = max(1, now-ago-max(0, learned.SinceReport))
	}
	for _, saved := range learned.Servers {
		s := b.servers[saved.ID]
		if s == nil || (b.startAge(s, now-ago)-saved.Age).Abs() > startTolerance ||
			!inRange(saved.Speed, 0.1, 10) || !inRange(saved.Doubt, 0, 2*ejectionEvidence) ||
			!inRange(saved.Load, 0, 1e6) || !inRange(saved.Usual, 0, 1e6) || !inRange(saved.Bound, 0, 1e6) {
			continue
		}
		s.speed, s.failureEvidence, s.evidenceAt, s.concurrencyLimit.limit = saved.Speed, saved.Doubt, now,
			saved.Bound
		if saved.Reported {
			s.meanReported, s.hasReport, s.load.reportedAt = saved.Usual, true, max(1, now-ago-max(0, saved.LoadAge))
			s.load.othersMean, s.load.othersWeight = saved.Load, 1
		}
		if s.ejected = saved.Aside; s.ejected {
			s.probationBackoff = min(max(minBackoff, saved.Wait), maxBackoff)
			s.probationAt = now + min(max(0, saved.TrialDue), maxBackoff)
		}
		// Otherwise both processes spend the budget of a server in slow start.
		s.slowStartBudget = min(s.slowStartBudget, saved.Purse)
	}
	b.updateMeans()
	b.refreshCapacities()
}
