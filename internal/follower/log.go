package follower

import (
	"errors"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
)

// recordPlatformAnswer records whether a read of the platform failed, and logs
// when the platform becomes unreachable or reachable again.
func (f *Follower) recordPlatformAnswer(err error, now time.Time) {
	isFailed := err != nil && !errors.Is(err, ErrCompacted)
	f.lastReadFailed.Store(isFailed)
	if isFailed {
		readsFailed.Inc()
	} else {
		readsDone.Inc()
	}
	switch {
	case isFailed:
		if f.unreachableSince.IsZero() {
			f.unreachableSince = now
			f.options.Logger.Warn().Err(err).Dur("table_age_ms", f.TableAge(now)).Msg("platform lost")
		}
	case !f.unreachableSince.IsZero():
		f.options.Logger.Info().Dur("duration_ms", now.Sub(f.unreachableSince)).Msg("platform regained")
		f.unreachableSince = time.Time{}
	}
}

// recordEpoch logs when an answer of the platform is from another epoch than the
// answer before.
func (f *Follower) recordEpoch(batch Batch) {
	if batch.Epoch == f.answerEpoch || batch.Epoch == 0 {
		return
	}
	if f.answerEpoch > 0 {
		epochChanges.Inc()
		f.options.Logger.Warn().Uint64("epoch", batch.Epoch).Uint64("previous_epoch", f.answerEpoch).
			Uint64("revision", f.registrar.Revision()).Msg("platform came back from an older copy")
	}
	f.answerEpoch = batch.Epoch
}

// logTargets logs each target that changed after a revision.
func (f *Follower) logTargets(changes []registrar.Change, after uint64) {
	for _, c := range changes {
		if c.Revision <= after || c.Config != nil {
			continue
		}
		event := f.options.Logger.Info().Str("key", c.Key).Uint64("revision", c.Revision)
		if t := c.Target; t != nil {
			event = event.Str("service", t.Service).Stringer("address", t.Address).Stringer("state", t.State)
		} else {
			event = event.Str("state", "unlisted")
		}
		event.Msg("target changed")
	}
}
