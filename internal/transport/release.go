//go:build !rig

package transport

import "time"

// elapsed is how far the proxy's clock has come since its start. Only test builds have clocks that run
// wrong.
func elapsed(since time.Duration) time.Duration { return since }

// lasting is the reverse of elapsed.
func lasting(elapsed time.Duration) time.Duration { return elapsed }
