package upgrade

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the machine's clocks that two processes on it can compare.
type Instant struct {
	Wall      time.Time
	Monotonic time.Duration // since the machine started; 0: not known, as in what earlier programs wrote
	Boot      string        // which start of the machine; empty: not known
}

// bootFile names the machine's start, as the kernel tells it.
const bootFile = "/proc/sys/kernel/random/boot_id"

// Now reads the clocks.
func Now() Instant {
	m := Instant{Wall: time.Now()}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err == nil {
		m.Monotonic = time.Duration(ts.Nano())
	}
	if raw, err := os.ReadFile(bootFile); err == nil {
		m.Boot = strings.TrimSpace(string(raw))
	}
	return m
}

// Since is the time from an earlier moment to this one: by the monotonic clock, which no step moves, where
// both have it and the machine has not started anew; else by the wall clock.
func (m Instant) Since(earlier Instant) time.Duration {
	if m.Monotonic > 0 && earlier.Monotonic > 0 && m.Boot == earlier.Boot {
		return m.Monotonic - earlier.Monotonic
	}
	return m.Wall.Sub(earlier.Wall)
}
