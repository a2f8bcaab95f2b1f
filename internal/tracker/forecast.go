package tracker

import (
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/forecaster"
)

// SetTarget tells the forecaster the number of the target.
func (t *Tracker) SetTarget(number uint32, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.options.Forecaster.SetTarget(number, now)
}

// Forecast returns the expected work of the target. A new flow whose first request
// is expected counts as a waiting request.
func (t *Tracker) Forecast(now time.Time) forecaster.Forecast {
	t.lock.Lock()
	defer t.lock.Unlock()
	load := forecaster.Load{Slots: t.options.Slots()}
	for _, f := range t.queue.running {
		load.Running = append(load.Running, forecaster.Running{Route: f.published, Elapsed: now.Sub(f.runningSince)})
	}
	for _, f := range t.queue.waiting {
		load.Waiting = append(load.Waiting, f.published)
	}
	for range t.expectedRequests {
		load.Waiting = append(load.Waiting, netip.AddrPort{})
	}
	return t.options.Forecaster.Forecast(load, now)
}
