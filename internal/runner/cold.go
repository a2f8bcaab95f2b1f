package runner

import (
	"time"

	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/pacer"
)

// coldPeriod logs the cold periods of the own target.
type coldPeriod struct {
	since time.Time // zero while the target is warm
	// refused is the number of opening packets refused before the period.
	refused uint64
}

// log logs the begin and the end of a cold period.
func (c *coldPeriod) log(s pacer.State, now time.Time, logger zerolog.Logger) {
	switch {
	case s.IsCold && c.since.IsZero():
		*c = coldPeriod{since: now, refused: pacer.Refused()}
		logger.Info().Dur("remaining_ms", s.Remaining).Int("limit", s.Bound).Msg("cold period of own target began")
	case !s.IsCold && !c.since.IsZero():
		logger.Info().Dur("duration_ms", now.Sub(c.since)).Uint64("count", pacer.Refused()-c.refused).Msg("cold period of own target ended")
		*c = coldPeriod{}
	}
}
