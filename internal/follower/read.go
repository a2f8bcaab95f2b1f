package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// readTimeout bounds a read of everything, which may take several pages.
	readTimeout = 2 * time.Second
	// firstPause and lastPause bound the wait after a failed call.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// sourcePlatform names the platform in logs.
	sourcePlatform = "platform"
)

// read watches the platform whenever the control state asks for it.
func (f *Follower) read(ctx context.Context) {
	f.awaitStart(ctx)
	pause := firstPause
	whole := true
	for {
		if !f.wanted.Load() {
			select {
			case <-ctx.Done():
				return
			case <-f.wake:
				continue
			}
		}
		batch, err := f.readOnce(ctx, whole || f.revision.Load() == 0)
		whole = errors.Is(err, ErrCompacted)
		wait := f.cadence.batchPause
		switch {
		case whole:
			wait = 0
		case err != nil:
			wait = time.Duration(float64(pause) * (0.5 + rand.Float64()))
			pause = min(2*pause, lastPause)
		default:
			pause = firstPause
			if len(batch.Changes) == 0 {
				wait = 0
			}
		}
		select {
		case <-ctx.Done():
			return
		case f.results <- result{batch: batch, err: err, source: sourcePlatform}:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// awaitStart spreads the first reads of a fleet that starts at once. It ends
// early when a peer has given a table.
func (f *Follower) awaitStart(ctx context.Context) {
	if f.options.StartSpread <= 0 {
		return
	}
	timer := time.NewTimer(rand.N(f.options.StartSpread))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.ready:
	case <-timer.C:
	}
}

func (f *Follower) readOnce(ctx context.Context, whole bool) (Batch, error) {
	sent := time.Now()
	if whole {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		batch, err := f.options.Source.Read(ctx)
		batch.IsWhole, batch.ConfirmedAt = true, sent
		return batch, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.cadence.watchWait+f.cadence.answerTime)
	defer cancel()
	batch, err := f.options.Source.Watch(ctx, f.revision.Load(), f.cadence.watchWait)
	batch.ConfirmedAt = time.Now()
	return batch, err
}
