//go:build !rig

package transport

import "time"

// scaleElapsed returns how far the proxy's clock has advanced since its start. Only test builds
// have clocks that run at another rate.
func scaleElapsed(since time.Duration) time.Duration { return since }

// unscaleElapsed is the inverse of scaleElapsed.
func unscaleElapsed(elapsed time.Duration) time.Duration { return elapsed }
