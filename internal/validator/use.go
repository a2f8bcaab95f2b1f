package validator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// Keys of the policy that must be consistent with each other.
const (
	latencyKey = "objective_latency_ms"
	timeoutKey = "short_timeout_ms"
)

// ValidateFleetUse returns the problems of a valid fleet document that a check
// before its publication reports: services that get no new flows, and objectives
// that no request can miss. Processes accept such documents, so they are no problems
// of ValidateFleet.
func ValidateFleetUse(fleet cataloger.FleetSpec, positions *parser.Positions) []Problem {
	r := &report{}
	for i, s := range fleet.Services {
		if !slices.ContainsFunc(s.Targets, func(t cataloger.TargetSpec) bool { return t.State != cataloger.TargetLeaving }) {
			r.add(fmt.Sprintf("services[%d].targets", i), parser.FaultNeverMatches, s.Name, "at least one target that is not leaving, as no new flow can be placed")
		}
	}
	r.checkObjective("defaults."+latencyKey, fleet.Defaults.WithDefaults(cataloger.BuiltinPolicy()))
	for i, e := range fleet.Exceptions {
		if e.Key != latencyKey && e.Key != timeoutKey {
			continue
		}
		service, target, _ := strings.Cut(e.Scope, "/")
		if policy, err := cataloger.ResolvePolicy(fleet, service, target); err == nil {
			r.checkObjective(fmt.Sprintf("exceptions[%d].value", i), policy)
		}
	}
	return positions.LocateAll(r.problems)
}

// checkObjective reports a latency objective above the time-out of the requests that
// it is for.
func (r *report) checkObjective(key string, policy cataloger.PolicySpec) {
	if policy.ObjectiveLatencyMs > policy.ShortTimeoutMs {
		r.add(key, parser.FaultConflict, strconv.FormatInt(policy.ObjectiveLatencyMs, 10),
			fmt.Sprintf("%s of at most %d, the %s that applies", latencyKey, policy.ShortTimeoutMs, timeoutKey))
	}
}
