package lilacglade

import "time"

// concurrencyLimit is the number of requests that a server may have in flight before it rejects
// more, in terms of this proxy's own estimate, so a constant factor in the error of the estimate
// cancels out. The limit falls with each rejection and rises with each request accepted near it, so
// that about one in ten requests sent near the limit is rejected, for any number of proxies. There
// is no limit before the first rejection.
type concurrencyLimit struct{ limit float64 }

// Constants of concurrencyLimit.
const (
	limitDecrease       = 0.2  // requests per rejection
	limitPull           = 0.1  // and this fraction of the distance to the in-flight count at the rejection
	limitIncrease       = 0.02 // requests per request accepted near the limit
	nearLimitFraction   = 0.7  // fraction of the limit from which a request is near it
	idleLimitIncrease   = 0.1  // requests per second while this proxy has none at the server
	minConcurrencyLimit = 1.5  // the limit never falls below this number of requests
	maxEstimateRatio    = 2.0  // beyond this multiple of the limit, the estimate is no evidence
)

// onRejection lowers the limit after a rejection at the given estimate, the rejected request
// included.
func (c *concurrencyLimit) onRejection(inFlight float64) {
	if c.limit == 0 {
		c.limit = inFlight
	} else if inFlight < maxEstimateRatio*c.limit {
		c.limit += limitPull*min(0, inFlight-c.limit) - limitDecrease
	}
	c.limit = max(minConcurrencyLimit, c.limit)
}

// onAccepted raises the limit after a request was accepted at the given estimate near the limit.
func (c *concurrencyLimit) onAccepted(inFlight float64) {
	if c.limit > 0 && inFlight > nearLimitFraction*c.limit {
		c.limit += limitIncrease
	}
}

// onIdle raises the limit over the duration dt in which this proxy has no request at the server.
// Otherwise a limit that is too low is never tested again.
func (c *concurrencyLimit) onIdle(dt time.Duration) {
	if c.limit > 0 {
		c.limit += idleLimitIncrease * dt.Seconds()
	}
}

// allows reports whether the in-flight count fits into the given fraction of the limit. Check the
// limit before: the estimate is expensive.
func (c *concurrencyLimit) allows(inFlight, fraction float64) bool {
	return c.limit == 0 || inFlight <= fraction*c.limit
}
