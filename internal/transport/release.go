//go:build !rig

package transport

import "time"

// elapsed is how far the proxy's clock has come since its start. Only test builds have clocks that run
// wrong.
func scaleElapsed(since time.Duration) time.Duration { return since }

// lasting is the reverse of elapsed.
func unscaleElapsed(elapsed time.Duration) time.Duration { return elapsed }
