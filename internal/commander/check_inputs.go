package commander

import (
	"encoding/json"
	"strings"

	"github.com/ansel1/merry/v2"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// readTargets reads the JSON output of the command targets. A target that several
// daemons list takes new flows if it does so for one of them.
func readTargets(path string) ([]router.Target, error) {
	content, err := parser.ReadDocument(path)
	if err != nil {
		return nil, err
	}
	var listed answers[[]api.TargetState]
	if err := json.Unmarshal(content, &listed); err != nil {
		return nil, merry.Prependf(err, "read targets from %s", path)
	}
	if len(listed.Results) == 0 {
		return nil, merry.Errorf("read targets from %s: not the JSON output of the command targets, or no daemon answered", path)
	}
	var targets []router.Target
	for _, a := range listed.Results {
		for _, t := range a.Result {
			target := router.Target{ID: t.Target, Service: t.Service, Zone: t.AvailabilityZone.Or(""), State: router.Serving}
			// Targets that are down, ejected or failing may recover.
			if t.State == api.TargetStateStateDraining || t.State == api.TargetStateStateLeaving {
				target.State = router.Draining
			}
			targets = append(targets, target)
		}
	}
	return targets, nil
}

// Effects of changes of a fleet document that end open flows.
const (
	effectTargetEnds  = "open flows of the target end"
	effectServiceEnds = "open flows of the service end"
)

// fleetEffect returns what a change of a fleet document does to open flows.
func fleetEffect(x change) string {
	isTarget := strings.Contains(x.Scope, "/")
	switch {
	case x.Scope == "defaults" || strings.HasPrefix(x.Key, "exception "):
		return "open flows stay; applies to requests that arrive later"
	case x.Key == "number" && x.Kind == "added":
		return "none"
	case x.Key == "number" && isTarget:
		return effectTargetEnds
	case x.Key == "number":
		return effectServiceEnds
	case x.Kind == "added" && x.Key != "addresses" && x.Key != "names", x.Kind == "removed":
		return "as for the number"
	case x.Key == "addresses":
		return "open flows stay; only new flows depend on the addresses"
	case x.Key == "names":
		return "open flows stay; applies to requests that arrive later"
	case x.Key == "state" && x.After == cataloger.TargetLeaving:
		return "open flows stay; new flows go to other targets"
	case x.Key == "state":
		return "open flows stay; the target takes new flows"
	case x.Key == "tunnel_address":
		return "packets of open flows are sent to the new address"
	}
	return "none"
}
