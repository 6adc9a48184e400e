package lilacglade

import (
	"math"
	"time"
)

// loadEstimator estimates the in-flight requests of one server: those of this proxy, which are
// counted, and those of other proxies, which are learned from reports. A report is outdated when it
// arrives, and answer after answer carries the same one. So a report only counts in full for a
// short time, and otherwise updates a slow mean of the requests of other proxies.
type loadEstimator struct {
	ownInFlight  int           // outstanding attempts of this proxy
	arriving     int           // those of them whose request's last byte has not arrived
	ownMean      float64       // mean of ownInFlight over about ownMeanTime
	othersMean   float64       // mean of the reported counts beyond ownMean
	othersWeight float64       // number of reports behind othersMean, decaying over othersMeanTime
	lastReport   float64       // most recent report
	reportedAt   time.Duration // when it arrived; 0 if there was none
	countedAt    time.Duration // when a report was last counted as new
}

// Constants of loadEstimator.
const (
	ownMeanTime       = 700 * time.Millisecond // about the age of a report at its arrival
	othersMeanTime    = 3 * time.Second
	reportRepeatAfter = time.Second            // an unchanged report counts as new after this time
	priorWeight       = 3.0                    // number of reports that the fleet's mean counts as
	reportFreshTime   = 250 * time.Millisecond // in which the weight of the last report falls to 1/e
)

// addReport adds a reported in-flight count.
func (l *loadEstimator) addReport(count float64, now time.Duration) {
	if l.reportedAt == 0 || count != l.lastReport || now-l.countedAt >= reportRepeatAfter {
		l.othersWeight++
		l.othersMean += (max(0, count-l.ownMean) - l.othersMean) / l.othersWeight
		l.lastReport, l.countedAt = count, now
	}
	l.reportedAt = max(1, now)
}

// advance decays the means over the duration dt.
func (l *loadEstimator) advance(dt time.Duration) {
	l.ownMean += (float64(l.ownInFlight) - l.ownMean) * dt.Seconds() / (dt + ownMeanTime).Seconds()
	l.othersWeight *= math.Exp(-dt.Seconds() / othersMeanTime.Seconds())
}

// addOthers raises the estimate of other proxies' requests by count.
func (l *loadEstimator) addOthers(count float64) {
	l.othersMean += count
	l.othersWeight++
}

// estimate returns the estimated in-flight requests, given a prior for those of other proxies.
func (l *loadEstimator) estimate(priorOthers float64, now time.Duration) float64 {
	others := (l.othersMean*l.othersWeight + priorOthers*priorWeight) / (l.othersWeight + priorWeight)
	if age := now - l.countedAt; l.reportedAt > 0 && age < 8*reportFreshTime {
		others += (max(0, l.lastReport-l.ownMean) - others) * math.Exp(-age.Seconds()/reportFreshTime.Seconds())
	}
	return others + float64(l.ownInFlight)
}

// latencyEstimator tracks the ratio of latency to expected work over a server's recent answers.
type latencyEstimator struct {
	mean      float64
	samples   int
	updatedAt time.Duration
}

// Constants of latencyEstimator.
const (
	latencyDecayTime = time.Second
	latencyGain      = 0.2 // weight of one answer among several within that time
	latencyWeight    = 0.5 // weight of a fresh mean against the expectation from load
	// maxLatencyRatio limits the ratio of one answer. Otherwise an answer that took hundreds of
	// times the expected work, as after a pause of the host, counts twice: it also raises the
	// expected work of the next request.
	maxLatencyRatio = 20.0
)

// add adds the ratio of an answer, or of an attempt that timed out. A timeout below the mean is no
// information.
func (e *latencyEstimator) add(ratio float64, answered bool, now time.Duration) {
	ratio = min(ratio, maxLatencyRatio)
	if !answered && ratio <= e.mean {
		return
	}
	gain := max(latencyGain, -math.Expm1(-(now-e.updatedAt).Seconds()/latencyDecayTime.Seconds()))
	if e.samples++; e.samples == 1 {
		gain = 1
	}
	e.mean += (ratio - e.mean) * gain
	e.updatedAt = now
}

// blend raises an expected ratio toward the recent one.
func (e *latencyEstimator) blend(expected float64, now time.Duration) float64 {
	if e.samples == 0 || e.mean <= expected {
		return expected
	}
	weight := latencyWeight * math.Exp(-(now-e.updatedAt).Seconds()/latencyDecayTime.Seconds())
	return expected + weight*(e.mean-expected)
}
