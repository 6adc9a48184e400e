//go:build rig

package transport

import (
	"os"
	"strconv"
	"time"
)

// clockRate is the rate of the proxy's clock, for tests of clocks that drift apart; 1 is the
// correct rate.
var clockRate = func() float64 {
	if v, err := strconv.ParseFloat(os.Getenv("RIG_CLOCK"), 64); err == nil && v > 0 {
		return v
	}
	return 1
}()

// scaleElapsed returns how far the proxy's clock has advanced since its start.
func scaleElapsed(since time.Duration) time.Duration {
	return time.Duration(clockRate * float64(since))
}

// unscaleElapsed is the inverse of scaleElapsed.
func unscaleElapsed(elapsed time.Duration) time.Duration {
	return time.Duration(float64(elapsed) / clockRate)
}
