package runner

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/forecaster"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/tracker"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// permille is the unit of shares and rates in messages.
const permille = 1000

// placesByWork reports whether the settings select placement by expected work.
func (r *Runner) placesByWork() bool {
	return r.settings.Packets().Placement() == parser.PlacementExpectedWork
}

func (r *Runner) buildTracker() {
	options := tracker.Options{Slots: r.slots, StartedAt: time.Now(), RecordRestart: r.pacer.RecordRestart, Record: func(o recorder.Outcome, now time.Time) {
		r.presenter.Record(r.settings.Packets().Service(), o, now)
	}}
	if r.placesByWork() && r.settings.Role() == cataloger.RoleAgent {
		options.Forecaster = forecaster.NewForecaster()
		metrics.GetOrCreateGauge("kingcupvalve_forecaster_backlog_seconds", func() float64 {
			return r.tracker.Forecast(time.Now()).Backlog.Seconds()
		})
		metrics.GetOrCreateGauge("kingcupvalve_forecaster_load", func() float64 { return r.tracker.Forecast(time.Now()).Load })
	}
	r.tracker = tracker.NewTracker(options)
}

func (r *Runner) buildChooser() {
	r.chooser = chooser.NewChooser(r.signaller.IsDown, r.agentReport)
	if r.placesByWork() && r.settings.Role() == cataloger.RoleBalancer {
		r.ledger = forecaster.NewLedger()
		policy := r.chooser.Policy()
		policy.VisitsFull = func(target uint32) bool { return r.ledger.IsKnown(target, time.Now()) }
		r.chooser = r.chooser.WithPolicy(policy)
	}
}

// forecastBuilder returns the function that builds the forecasts of this process, or
// nil if it sends none.
func (r *Runner) forecastBuilder() func(now time.Time) *wirepb.Forecast {
	if !r.placesByWork() || r.settings.Role() != cataloger.RoleAgent {
		return nil
	}
	return func(now time.Time) *wirepb.Forecast { return encodeForecast(r.tracker.Forecast(now)) }
}

// handleForecast stores the forecast of an agent. The routing table states the slots.
func (r *Runner) handleForecast(target uint32, message *wirepb.Forecast, now time.Time) {
	if r.ledger == nil {
		return
	}
	forecast := decodeForecast(message)
	if t, ok := r.follower.Table().FindTarget(target); ok {
		forecast.Slots = t.Slots
	}
	r.ledger.Update(target, forecast, now)
}

func encodeForecast(f forecaster.Forecast) *wirepb.Forecast {
	message := &wirepb.Forecast{BacklogUs: encodeNumber(float64(f.Backlog.Microseconds())), LoadPermille: encodeNumber(f.Load * permille)}
	for _, r := range f.Routes {
		message.Route = append(message.Route, uint32(r.Route))
		message.ServiceTimeUs = append(message.ServiceTimeUs, encodeNumber(float64(r.ServiceTime.Microseconds())))
		message.RatePermille = append(message.RatePermille, encodeNumber(r.Rate*permille))
	}
	return message
}

// encodeNumber returns a number as a message carries it. NaN counts as 0.
func encodeNumber(n float64) uint32 {
	if !(n > 0) {
		return 0
	}
	return uint32(min(n, math.MaxUint32))
}

// decodeForecast returns the content of a message. The ledger bounds its values.
func decodeForecast(message *wirepb.Forecast) forecaster.Forecast {
	f := forecaster.Forecast{
		Backlog: time.Duration(message.GetBacklogUs()) * time.Microsecond, Load: float64(message.GetLoadPermille()) / permille,
	}
	n := len(message.GetRoute())
	if n > forecaster.MaxReportedRoutes || n != len(message.GetServiceTimeUs()) || n != len(message.GetRatePermille()) {
		return f
	}
	for i, id := range message.GetRoute() {
		f.Routes = append(f.Routes, forecaster.RouteForecast{
			Route: forecaster.RouteID(id), ServiceTime: time.Duration(message.GetServiceTimeUs()[i]) * time.Microsecond,
			Rate: float64(message.GetRatePermille()[i]) / permille,
		})
	}
	return f
}

// backlog returns the expected time until a new request would start at a target, as a
// balancer was told or the target's agent expects.
func (r *Runner) backlog(target uint32, now time.Time) (time.Duration, bool) {
	switch {
	case r.ledger != nil:
		return r.ledger.Backlog(target, now)
	case r.forecastBuilder() != nil && target == r.ownTarget.Load():
		return r.tracker.Forecast(now).Backlog, true
	}
	return 0, false
}
