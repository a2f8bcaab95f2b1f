package follower

import (
	"errors"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
)

// noteAnswer records whether the platform answers.
func (f *Follower) noteAnswer(err error, now time.Time) {
	isFailed := err != nil && !errors.Is(err, ErrCompacted)
	f.isLost.Store(isFailed)
	if isFailed {
		readsFailed.Inc()
	} else {
		readsDone.Inc()
	}
	switch {
	case isFailed:
		if f.lostAt.IsZero() {
			f.lostAt = now
			f.options.Logger.Warn().Err(err).Dur("table_age_ms", f.Age(now)).Msg("platform lost")
		}
	case !f.lostAt.IsZero():
		f.options.Logger.Info().Dur("duration_ms", now.Sub(f.lostAt)).Msg("platform regained")
		f.lostAt = time.Time{}
	}
}

// logTargets writes a line for each target that changed after a revision.
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
