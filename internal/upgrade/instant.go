package upgrade

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the host's clocks. Two processes on one host can compare their readings.
type Instant struct {
	Wall      time.Time
	Monotonic time.Duration // time since boot; 0 if unknown, as in files of earlier program versions
	Boot      string        // identifier of the boot; empty if unknown
}

// bootFile is the kernel's file with the identifier of the current boot.
const bootFile = "/proc/sys/kernel/random/boot_id"

// Now reads the clocks.
func Now() Instant {
	now := Instant{Wall: time.Now()}
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading); err == nil {
		now.Monotonic = time.Duration(reading.Nano())
	}
	if raw, err := os.ReadFile(bootFile); err == nil {
		now.Boot = strings.TrimSpace(string(raw))
	}
	return now
}

// Since returns the time from an earlier instant to this one. It uses the monotonic clock, which clock
// steps do not affect, if both instants have it and belong to the same boot, and the wall clock
// otherwise.
func (m Instant) Since(earlier Instant) time.Duration {
	if m.Monotonic > 0 && earlier.Monotonic > 0 && m.Boot == earlier.Boot {
		return m.Monotonic - earlier.Monotonic
	}
	return m.Wall.Sub(earlier.Wall)
}
