package follower

import (
	"errors"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// recordPlatformAnswer records whether a read of the platform failed, and logs
// when the platform becomes unreachable or reachable again.
func (f *Follower) recordPlatformAnswer(err error, now time.Time) {
	isFailed := err != nil && !errors.Is(err, ErrCompacted) && !errors.Is(err, ErrNoConfig)
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
		known := f.registrar.Position()
		f.options.Logger.Warn().Uint64("epoch", batch.Epoch).Uint64("previous_epoch", f.answerEpoch).
			Uint64("known_epoch", known.Epoch).Uint64("known_revision", known.Revision).Msg("platform came back from an older copy")
	}
	f.answerEpoch = batch.Epoch
}

// recordEvacuations logs and counts the evacuated zones of the next table if they
// differ from those of the one in force.
func (f *Follower) recordEvacuations(next *router.Table) {
	zones, previous := next.EvacuatedZones(), f.Table().EvacuatedZones()
	if slices.Equal(zones, previous) {
		return
	}
	evacuatedZones.Set(float64(len(zones)))
	at := next.Evacuations().ChangedAt
	f.options.Logger.Info().Strs("zones", zones).Strs("previous_zones", previous).Uint64("epoch", at.Epoch).Uint64("revision", at.Revision).
		Msg("evacuated zones changed")
}

// logTargets logs each target that changed after a position.
func (f *Follower) logTargets(changes []registrar.Change, after router.Position) {
	for _, c := range changes {
		if c.Compare(after) <= 0 || c.Config != nil || c.IsEvacuation {
			continue
		}
		event := f.options.Logger.Info().Str("key", c.Key).Uint64("epoch", c.Epoch).Uint64("revision", c.Revision)
		if t := c.Target; t != nil {
			event = event.Str("service", t.Service).Stringer("address", t.Address).Stringer("state", t.State)
		} else {
			event = event.Str("state", "unlisted")
		}
		event.Msg("target changed")
	}
}
