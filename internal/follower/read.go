package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// snapshotTimeout bounds a read of all items, which may take several pages.
	snapshotTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls, before
	// jitter.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// sourcePlatform is the value of the source field in logs for the platform.
	sourcePlatform = "platform"
)

// readPlatform reads and then watches the platform while shouldRead is set.
func (f *Follower) readPlatform(ctx context.Context) {
	f.delayFirstRead(ctx)
	retryDelay := minRetryDelay
	needsSnapshot := true
	for {
		if !f.shouldRead.Load() {
			select {
			case <-ctx.Done():
				return
			case <-f.wakeReader:
				continue
			}
		}
		batch, err := f.readOnce(ctx, needsSnapshot || f.position.Load().IsZero())
		needsSnapshot = errors.Is(err, ErrCompacted)
		wait := f.timing.batchPause
		switch {
		case needsSnapshot:
			wait = 0
		case errors.Is(err, ErrNoConfig):
			// Every process of a new fleet waits for the first configuration, and one that
			// has read it hands it to the others.
			wait = jitter(maxRetryDelay)
		case err != nil:
			wait = jitter(retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		default:
			retryDelay = minRetryDelay
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

// jitter returns a random time from half of d to one and a half of it.
func jitter(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + rand.Float64())) }

// delayFirstRead waits a random part of Options.StartSpread, so that the first
// reads are spread when all processes of a fleet start at the same time. It
// returns early when a peer has sent a table.
func (f *Follower) delayFirstRead(ctx context.Context) {
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

func (f *Follower) readOnce(ctx context.Context, isSnapshot bool) (Batch, error) {
	sent := time.Now()
	if isSnapshot {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		batch, err := f.options.Source.Read(ctx)
		batch.IsSnapshot, batch.ConfirmedAt = true, sent
		return batch, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timing.watchWait+f.timing.answerTimeout)
	defer cancel()
	after := f.position.Load()
	batch, err := f.options.Source.Watch(ctx, after.Revision, f.timing.watchWait)
	batch.ConfirmedAt = time.Now()
	if err == nil && batch.Epoch != after.Epoch {
		return Batch{Position: router.Position{Epoch: batch.Epoch}}, ErrCompacted
	}
	return batch, err
}
