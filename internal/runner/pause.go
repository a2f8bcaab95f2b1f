package runner

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseLimit is the time without a tick after which the process counts as paused.
// Other processes mark it as down after about the same time.
const pauseLimit = 500 * time.Millisecond

// pauseDetector detects times in which the process did not run.
// CLOCK_MONOTONIC, which Go uses, excludes the time in which the machine is
// suspended; CLOCK_BOOTTIME includes it.
type pauseDetector struct {
	// readSuspended returns the total time since boot in which the machine was
	// suspended.
	readSuspended func() time.Duration
	suspended     time.Duration
	lastTick      time.Time
}

func newPauseDetector(now time.Time) *pauseDetector {
	return &pauseDetector{readSuspended: readSuspended, suspended: readSuspended(), lastTick: now}
}

// tick returns the time since the last tick if it exceeds pauseLimit, and the part
// of it that the monotonic clock did not count. Otherwise it returns zeros.
func (d *pauseDetector) tick(now time.Time) (paused, uncounted time.Duration) {
	suspended := d.readSuspended()
	uncounted = max(0, suspended-d.suspended)
	paused = now.Sub(d.lastTick) + uncounted
	d.suspended, d.lastTick = suspended, now
	if paused <= pauseLimit {
		return 0, 0
	}
	return paused, uncounted
}

// readSuspended returns the difference of the two kernel clocks, or 0 if one of
// them can't be read.
func readSuspended() time.Duration {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
