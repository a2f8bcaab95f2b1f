package drainer

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

// Property tests run with a fixed seed unless -rapid.seed is given.
func init() {
	seeder.SetSeed(20260305)
}

// TestDrainProperties checks guarantee 7 in virtual time: while requests arrive
// and complete and drains are announced and withdrawn, no request is cancelled
// before the deadline, a stop ends as soon as no request is in flight, and no
// request starts after it.
func TestDrainProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		// Each request has an arrival time and a duration, and each announcement or
		// withdrawal of a drain has a time, all in ms. The stop begins at 500 ms.
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [2]int {
			return [2]int{rapid.IntRange(0, 1500).Draw(t, "arrival"), rapid.IntRange(1, 700).Draw(t, "duration")}
		}), 1, 20).Draw(r, "requests")
		notices := rapid.SliceOfN(rapid.IntRange(0, 490), 0, 6).Draw(r, "notices")
		limit := rapid.IntRange(100, 2500).Draw(r, "limit")
		synctest.Test(t, func(t *testing.T) {
			d := NewDrainer()
			for i, at := range notices {
				act := []func() bool{d.Announce, d.Withdraw}[i%2]
				time.AfterFunc(time.Duration(at)*time.Millisecond, func() { act() })
			}
			var running atomic.Int64
			var isStopped, isDeadlineReached atomic.Bool
			for _, q := range requests {
				time.AfterFunc(time.Duration(q[0])*time.Millisecond, func() {
					task := d.Begin(t.Context(), "r")
					if task.Context().Err() != nil {
						if !isStopped.Load() || !errors.Is(context.Cause(task.Context()), ErrClosed) {
							r.Error("a request was rejected before the stop had ended")
						}
						task.End()
						return
					}
					running.Add(1)
					timer := time.NewTimer(time.Duration(q[1]) * time.Millisecond)
					select {
					case <-timer.C:
					case <-task.Context().Done():
						if !isDeadlineReached.Load() {
							r.Error("a request was cancelled before the deadline")
						}
					}
					running.Add(-1)
					task.End()
				})
			}
			time.Sleep(500*time.Millisecond + time.Microsecond)
			d.Announce()
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(limit)*time.Millisecond)
			defer cancel()
			err := d.Wait(ctx)
			for err == nil && !d.Close() {
				err = d.Wait(ctx)
			}
			isStopped.Store(err == nil)
			isDeadlineReached.Store(err != nil)
			// Requests that end at the deadline have called End once all goroutines
			// block; the cancelled ones call it after they are counted.
			synctest.Wait()
			left := running.Load()
			switch names := d.CancelAll(); {
			case err == nil && (left > 0 || len(names) > 0):
				r.Errorf("the stop ended with %d requests in flight", left)
			case err != nil && int64(len(names)) != left:
				r.Errorf("%d requests were cancelled and %d named", left, len(names))
			}
			time.Sleep(3 * time.Second)
		})
	})
}
