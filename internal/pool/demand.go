package pool

import (
	"math"
	"time"
)

// demand estimates, for one server, how many connections the traffic needs and what a new one costs.
type demand struct {
	requested     int           // tickets since the last sweep
	rate          float64       // tickets per second; quick to rise, slow to fall
	exchange      time.Duration // mean duration of an exchange on a connection that was used before
	firstExchange time.Duration // mean duration of the first exchange on a connection: includes handshake work
	dial          time.Duration // mean time to establish a connection
}

const (
	rateRiseGain  = 0.5 // weight of a new rate that is higher than the estimate
	rateFallGain  = 0.05
	timeGain      = 0.1 // weight of a new sample in a mean duration
	sweepInterval = 250 * time.Millisecond
)

// updateMean adds a sample to an exponentially weighted mean; the first sample initializes it.
func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(timeGain * float64(sample-*mean))
}

func (d *demand) dialed(took time.Duration) { updateMean(&d.dial, took) }

func (d *demand) exchanged(took time.Duration, first bool) {
	if first {
		updateMean(&d.firstExchange, took)
	} else {
		updateMean(&d.exchange, took)
	}
}

// newConnCost is how much later a request is answered on a new connection than on an idle one.
func (d *demand) newConnCost() time.Duration {
	if d.exchange == 0 || d.firstExchange == 0 {
		return 0 // not known: no ticket waits for a connection in use
	}
	return d.dial + max(0, d.firstExchange-d.exchange)
}

// sweep updates the rate from the tickets since the last sweep.
func (d *demand) sweep() {
	rate := float64(d.requested) / sweepInterval.Seconds()
	gain := rateFallGain
	if rate > d.rate {
		gain = rateRiseGain
	}
	d.rate += gain * (rate - d.rate)
	d.requested = 0
}

// target is how many connections the traffic keeps in use by Little's law, plus one standard deviation
// of that number for independent arrivals as a margin for bursts.
func (d *demand) target() int {
	inUse := d.rate * d.exchange.Seconds()
	return int(inUse + math.Sqrt(inUse))
}
