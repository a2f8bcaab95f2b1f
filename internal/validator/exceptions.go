package validator

import (
	"fmt"
	"strconv"
	"strings"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// exceptionKey identifies the value that an exception sets.
type exceptionKey struct {
	scope string
	key   string
}

// checkExceptions reports exceptions without a reason, with an unknown scope or
// key, with a value out of range, that are duplicates, or that have no effect.
func (c *fleetCheck) checkExceptions(fleet cataloger.FleetSpec) {
	if len(fleet.Exceptions) == 0 {
		return
	}
	scopes := fleetScopes(fleet)
	base := fleet.Defaults.WithDefaults(cataloger.BuiltinPolicy())
	serviceValues := make(map[exceptionKey]int64)
	for _, e := range fleet.Exceptions {
		serviceValues[exceptionKey{e.Scope, e.Key}] = e.Value
	}
	seen := make(map[exceptionKey]string)
	for i, e := range fleet.Exceptions {
		key := fmt.Sprintf("exceptions[%d]", i)
		if reason := strings.TrimSpace(e.Reason); reason == "" || len(e.Reason) > maxReason {
			c.badValue(key+".reason", reason, fmt.Sprintf("a written reason of at most %d bytes", maxReason))
		}
		knownScope := c.checkScope(key+".scope", e.Scope, scopes)
		if !c.checkOneOf(key+".key", e.Key, cataloger.PolicyKeys()) {
			continue
		}
		smallest, largest, _ := cataloger.PolicyRange(e.Key)
		if !c.checkRange(key+".value", e.Value, smallest, largest) || !knownScope {
			continue
		}
		id := exceptionKey{e.Scope, e.Key}
		if first, ok := seen[id]; ok {
			c.add(key, parser.FaultDuplicate, e.Scope+" "+e.Key, "one exception for each scope and key; "+first+" already sets it")
			continue
		}
		seen[id] = key
		inherited, _ := base.Value(e.Key)
		if service, _, ok := strings.Cut(e.Scope, "/"); ok {
			if value, ok := serviceValues[exceptionKey{service, e.Key}]; ok {
				inherited = value
			}
		}
		if inherited == e.Value {
			c.add(key+".value", parser.FaultConflict, strconv.FormatInt(e.Value, 10),
				fmt.Sprintf("a value other than %d, which applies to %s without this exception", inherited, e.Scope))
		}
	}
}

func (c *fleetCheck) checkScope(key, scope string, scopes map[string]bool) bool {
	if scopes[scope] {
		return true
	}
	names := make([]string, 0, 8)
	service, _, hasTarget := strings.Cut(scope, "/")
	if hasTarget && scopes[service] {
		c.badValue(key, scope, fmt.Sprintf("the name of a target of service %s after the slash", service))
		return false
	}
	// The problem suggests only the most similar service names, because a fleet
	// may have thousands of services.
	for s := range scopes {
		if !strings.Contains(s, "/") {
			names = append(names, s)
		}
	}
	c.badValue(key, scope, "the name of a service, or service/target; "+suggestScope(service, names))
	return false
}

func fleetScopes(fleet cataloger.FleetSpec) map[string]bool {
	scopes := make(map[string]bool)
	for _, service := range fleet.Services {
		scopes[service.Name] = true
		for _, target := range service.Targets {
			scopes[service.Name+"/"+target.Name] = true
		}
	}
	return scopes
}
