package forwarder

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/forecaster"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

var (
	forecastAge   = metrics.GetOrCreateHistogram("kingcupvalve_forecaster_report_age_seconds")
	decidedFresh  = metrics.GetOrCreateCounter(`kingcupvalve_forecaster_decisions_total{basis="expected_work"}`)
	decidedStale  = metrics.GetOrCreateCounter(`kingcupvalve_forecaster_decisions_total{basis="stale_report"}`)
	decidedByRank = metrics.GetOrCreateCounter(`kingcupvalve_forecaster_decisions_total{basis="no_report"}`)
)

// expect returns the expected time to an answer of a new flow at a target.
func (f *Forwarder) expect(target uint32, route *router.Route) (time.Duration, bool) {
	cost, _, ok := f.options.Ledger.Cost(target, forecaster.NewRouteID(route.Address), time.Now())
	return cost, ok
}

// recordPlaced adds a new flow to the expected work of its target, and counts what the
// decision rested on.
func (f *Forwarder) recordPlaced(hop router.Hop, route *router.Route, now time.Time) {
	ledger, id := f.options.Ledger, forecaster.NewRouteID(route.Address)
	if ledger == nil {
		return
	}
	_, basis, _ := ledger.Cost(hop.Number, id, now)
	switch basis {
	case forecaster.Fresh:
		decidedFresh.Inc()
	case forecaster.Stale:
		decidedStale.Inc()
	case forecaster.Unknown:
		decidedByRank.Inc()
	}
	if age, ok := ledger.Age(hop.Number, now); ok {
		forecastAge.Update(age.Seconds())
	}
	ledger.RecordPlaced(hop.Number, id, now)
}
