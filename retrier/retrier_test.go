package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/retrier"
)

// TestBudget guards against retries that multiply an overload: under any sequence
// of events they never exceed Ratio times the successes plus the minimum rate.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := retrier.Options{
			Ratio:        rapid.Float64Range(0.01, 0.5).Draw(t, "ratio"),
			MinPerSecond: rapid.Float64Range(0.1, 5).Draw(t, "minimum"),
			Burst:        rapid.Float64Range(1, 20).Draw(t, "burst"),
		}
		b := retrier.NewBudget(o)
		now := time.Unix(1000, 0)
		// The minimum rate counts from the first call, which may come after the
		// clock has stepped back.
		var first, latest time.Time
		recordCall := func() {
			if first.IsZero() {
				first, latest = now, now
			}
			if now.After(latest) {
				latest = now
			}
		}
		var successes, retries float64
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				limit := o.Ratio*successes + o.MinPerSecond*(1+latest.Sub(first).Seconds()) + 1e-6
				if retries > limit {
					t.Fatalf("%v retries, at most %v are allowed", retries, limit)
				}
			},
			"success": func(*rapid.T) {
				recordCall()
				b.RecordSuccess(now)
				successes++
			},
			"retry": func(*rapid.T) {
				recordCall()
				if b.TryRetry(now) {
					retries++
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-50, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestMinimum guards against a budget that allows no retries while there are no
// successes.
func TestMinimum(t *testing.T) {
	is := is.New(t)
	b := retrier.NewBudget(retrier.Options{MinPerSecond: 1})
	now := time.Unix(1000, 0)
	is.True(b.TryRetry(now))
	is.True(!b.TryRetry(now))
	is.True(b.TryRetry(now.Add(1001 * time.Millisecond)))
}

// TestBackoff guards against synchronized retries and unbounded waits.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := retrier.NewBudget(retrier.Options{})
	random := rand.New(rand.NewPCG(1, 2))
	seen := map[time.Duration]bool{}
	for attempt := range 100 {
		wait := b.Backoff(attempt, random)
		is.True(wait >= 0 && wait <= time.Second)
		seen[wait] = true
	}
	is.True(len(seen) > 90)
}
