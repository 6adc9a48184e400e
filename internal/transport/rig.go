//go:build rig

package transport

import (
	"os"
	"strconv"
	"time"
)

// clockRate is how fast the proxy's clock runs, in a test of clocks that run apart; 1: right.
var clockRate = func() float64 {
	if v, err := strconv.ParseFloat(os.Getenv("RIG_CLOCK"), 64); err == nil && v > 0 {
		return v
	}
	return 1
}()

// elapsed is how far the proxy's clock has come since its start.
func scaleElapsed(since time.Duration) time.Duration {
	return time.Duration(clockRate * float64(since))
}

// lasting is the reverse of elapsed.
func unscaleElapsed(elapsed time.Duration) time.Duration {
	return time.Duration(float64(elapsed) / clockRate)
}
