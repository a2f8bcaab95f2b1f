package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPauseMeter guards against a stale table that counts as current after the
// machine was suspended.
func TestPauseMeter(t *testing.T) {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name                      string
		elapsed, suspended        time.Duration
		wantPaused, wantUncounted time.Duration
	}{
		{"a tick on time", tickInterval, 0, 0, 0},
		{"a late tick", pauseLimit, 0, 0, 0},
		{"a stopped process", 2 * time.Second, 0, 2 * time.Second, 0},
		{"a suspended machine", tickInterval, 3 * time.Second, 3*time.Second + tickInterval, 3 * time.Second},
		{"the time between the reads of the two clocks", tickInterval, time.Microsecond, 0, 0},
		{"a clock that goes backwards", tickInterval, -time.Second, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newPauseDetector(start)
			before := d.suspended
			d.readSuspended = func() time.Duration { return before + c.suspended }
			paused, uncounted := d.tick(start.Add(c.elapsed))
			is.Equal(paused, c.wantPaused)
			is.Equal(uncounted, c.wantUncounted)
			paused, _ = d.tick(start.Add(c.elapsed + tickInterval)) // a pause is reported once
			is.Equal(paused, time.Duration(0))
		})
	}
}
