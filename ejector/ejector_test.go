package ejector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/ejector"
	"kingcupvalve.example/kingcupvalve/estimator"
)

var start = time.Unix(1_000_000, 0)

func targets(n int) []uint32 {
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	return ids
}

func countEjected(e *ejector.Ejector, n int) int {
	count := 0
	for _, id := range targets(n) {
		if e.IsEjected(id) {
			count++
		}
	}
	return count
}

// TestShare guards against ejecting more than MaxEjectedShare of the targets
// under any sequence of results and ticks.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		share := rapid.Float64Range(0.05, 0.9).Draw(t, "share")
		e := ejector.NewEjector(ejector.Options{MaxEjectedShare: share})
		e.SetTargets(targets(n))
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if got := countEjected(e, n); float64(got) > share*float64(n) || got != e.CountEjected() {
					t.Fatalf("%d of %d ejected, share %v, CountEjected returns %d", got, n, share, e.CountEjected())
				}
			},
			"observe": func(t *rapid.T) {
				id := uint32(rapid.IntRange(1, n+1).Draw(t, "target"))
				result := estimator.Result(rapid.IntRange(0, 4).Draw(t, "result"))
				took := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
				for range rapid.IntRange(1, 30).Draw(t, "times") {
					e.Observe(id, result, took, now)
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				e.Tick(now)
			},
		})
	})
}

// runTraffic observes ten requests a second at each target that is not ejected,
// with the durations that took returns.
func runTraffic(e *ejector.Ejector, now time.Time, seconds int, took func(id uint32) time.Duration) time.Time {
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		for _, id := range targets(5) {
			if !e.IsEjected(id) {
				e.Observe(id, estimator.Succeeded, took(id), now)
			}
		}
		e.Tick(now)
	}
	return now
}

// normalDuration returns the normal duration of a request at a target.
func normalDuration(id uint32) time.Duration { return time.Duration(id) * 20 * time.Millisecond }

// newWithBaseline returns an Ejector that has learned the baselines of five
// targets.
func newWithBaseline() (*ejector.Ejector, time.Time) {
	e := ejector.NewEjector(ejector.Options{})
	e.SetTargets(targets(5))
	return e, runTraffic(e, start, 10, normalDuration)
}

func TestEjector(t *testing.T) {
	t.Run("different speeds eject no target", func(t *testing.T) {
		is := is.New(t)
		e, _ := newWithBaseline()
		is.Equal(e.CountEjected(), 0)
	})
	t.Run("a gray failure is ejected within seconds and returns", func(t *testing.T) {
		is := is.New(t)
		e, now := newWithBaseline()
		now = runTraffic(e, now, 3, func(id uint32) time.Duration {
			if id == 1 {
				return 10 * normalDuration(id)
			}
			return normalDuration(id)
		})
		is.True(e.IsEjected(1))
		runTraffic(e, now, 30, normalDuration)
		is.True(!e.IsEjected(1))
	})
	t.Run("a slow service ejects no target", func(t *testing.T) {
		is := is.New(t)
		e, now := newWithBaseline()
		runTraffic(e, now, 10, func(id uint32) time.Duration { return 10 * normalDuration(id) })
		is.Equal(e.CountEjected(), 0)
	})
	t.Run("one long job ejects no target", func(t *testing.T) {
		is := is.New(t)
		e, now := newWithBaseline()
		e.Observe(2, estimator.Succeeded, 30*normalDuration(2), now)
		e.Tick(now)
		is.Equal(e.CountEjected(), 0)
	})
	t.Run("failing probe requests keep a target ejected", func(t *testing.T) {
		is := is.New(t)
		e, now := newWithBaseline()
		for range 100 {
			e.Observe(3, estimator.Failed, 0, now)
		}
		e.Tick(now)
		is.True(e.IsEjected(3))
		for range 60 {
			now = now.Add(500 * time.Millisecond)
			e.Observe(3, estimator.Failed, 0, now)
			e.Tick(now)
			is.True(e.IsEjected(3))
		}
	})
	t.Run("explicit refusals and cancelled requests are no errors", func(t *testing.T) {
		is := is.New(t)
		e, now := newWithBaseline()
		for range 100 {
			e.Observe(4, estimator.Refused, 0, now)
			e.Observe(4, estimator.Cancelled, 0, now)
		}
		e.Tick(now)
		is.Equal(e.CountEjected(), 0)
	})
}
