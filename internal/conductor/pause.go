package conductor

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseLimit is the time without a tick from which a process is taken to have
// been stopped. Others take it for dead about then.
const pauseLimit = 500 * time.Millisecond

// pauseMeter finds times in which the process did not run. The steady clock
// does not count the time in which a machine is suspended; the clock since boot
// does.
type pauseMeter struct {
	// readSuspended returns the time that the machine was suspended since boot.
	readSuspended func() time.Duration
	suspended     time.Duration
	lastTick      time.Time
}

func newPauseMeter(now time.Time) *pauseMeter {
	return &pauseMeter{readSuspended: readSuspended, suspended: readSuspended(), lastTick: now}
}

// tick returns the time since the last tick if that was too long, and the part
// of it that the steady clock did not count.
func (m *pauseMeter) tick(now time.Time) (paused, uncounted time.Duration) {
	suspended := m.readSuspended()
	uncounted = max(0, suspended-m.suspended)
	paused = now.Sub(m.lastTick) + uncounted
	m.suspended, m.lastTick = suspended, now
	if paused <= pauseLimit {
		return 0, 0
	}
	return paused, uncounted
}

// readSuspended compares the clocks of the kernel. Without one of them no time
// counts as suspended.
func readSuspended() time.Duration {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
