package checker

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

// Kinds of differences.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Difference is a value that differs from the version in force.
type Difference struct {
	// Change is one of Added, Removed and Changed.
	Change string
	// Scope names the route, service or zone.
	Scope string
	Key   string
	// Before and After are empty for a value that was added or removed.
	Before, After string
	// Effect is what happens to open flows, and EndsFlows is set if some of them end.
	Effect    string
	EndsFlows bool
}

// Effects on open flows.
const (
	effectNone        = "none"
	effectRouteEnds   = "open flows of the address end"
	effectServiceEnds = "open flows at its targets end, as they leave the routing table"
	effectShare       = "open flows stay with their targets; only new flows are split otherwise"
	effectNewRequests = "open flows stay; applies to requests that arrive later"
	effectOpening     = "open flows stay; only opening packets are limited"
	effectEvacuated   = "open flows stay until they end; no new flows in the zone"
	effectRestored    = "open flows stay; targets of the zone take new flows, cold ones slowly"
	effectIdleShorter = "open flows that are idle for longer are forgotten"
	effectIdleLonger  = "idle flows are kept for longer"
)

type differences []Difference

// add adds a difference if there is one.
func (d *differences) add(scope, key, before, after, effect string) {
	x := Difference{Change: Changed, Scope: truncate(scope), Key: key, Before: truncate(before), After: truncate(after), Effect: effect}
	x.EndsFlows = effect == effectRouteEnds || effect == effectServiceEnds
	switch {
	case before == after:
		return
	case before == "":
		x.Change = Added
	case after == "":
		x.Change = Removed
	}
	*d = append(*d, x)
}

// diffConfigs compares two configurations. Routes are compared by address, which is
// what open flows depend on.
func diffConfigs(before, after router.Config) []Difference {
	var d differences
	old, current := indexRoutes(before), indexRoutes(after)
	// The address of a route that has an invalid one is not known to have changed.
	isInvalid := make(map[string]bool)
	for _, r := range after.Routes {
		isInvalid[r.Name] = isInvalid[r.Name] || !r.Address.IsValid()
	}
	for _, address := range sortedAddresses(old, current) {
		x, wasThere := old[address]
		y, isThere := current[address]
		switch {
		case !wasThere:
			d.add("route "+y.Name, Address.String(), "", address.String(), effectNone)
			diffShares(&d, &router.Route{}, y, effectNone)
		case !isThere && isInvalid[x.Name]:
		case !isThere:
			d.add("route "+x.Name, Address.String(), address.String(), "", effectRouteEnds)
		default:
			diffRoute(&d, x, y)
		}
	}
	diffServices(&d, before, after)
	effect := effectIdleLonger
	if after.IdleTimeout > 0 && (before.IdleTimeout == 0 || after.IdleTimeout < before.IdleTimeout) {
		effect = effectIdleShorter
	}
	d.add("limits", IdleTimeout.String(), formatDuration(before.IdleTimeout), formatDuration(after.IdleTimeout), effect)
	return d
}

// indexRoutes returns the routes by address. The last route of an address counts.
func indexRoutes(c router.Config) map[netip.AddrPort]*router.Route {
	routes := make(map[netip.AddrPort]*router.Route, len(c.Routes))
	for i := range c.Routes {
		if c.Routes[i].Address.IsValid() {
			routes[c.Routes[i].Address] = &c.Routes[i]
		}
	}
	return routes
}

func sortedAddresses(a, b map[netip.AddrPort]*router.Route) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(a)+len(b))
	for address := range a {
		addresses = append(addresses, address)
	}
	for address := range b {
		if _, ok := a[address]; !ok {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

func diffRoute(d *differences, before, after *router.Route) {
	scope := "route " + cmp.Or(after.Name, before.Name)
	d.add(scope, Name.String(), before.Name, after.Name, effectNone)
	diffShares(d, before, after, effectShare)
	d.add(scope, Priority.String(), formatPriority(before), formatPriority(after), effectNewRequests)
	d.add(scope, LatencyTarget.String(), formatDuration(before.LatencyTarget), formatDuration(after.LatencyTarget), effectNewRequests)
	d.add(scope, Deadline.String(), formatDuration(before.Deadline), formatDuration(after.Deadline), effectNewRequests)
	d.add(scope, "may be repeated", fmt.Sprint(before.IsIdempotent), fmt.Sprint(after.IsIdempotent), effectNewRequests)
}

// diffShares compares the services and weights of a route.
func diffShares(d *differences, before, after *router.Route, effect string) {
	old, current := make(map[string]uint32), make(map[string]uint32)
	var services []string
	for _, s := range before.Shares {
		old[s.Service] = max(old[s.Service], s.Weight)
		services = append(services, s.Service)
	}
	for _, s := range after.Shares {
		current[s.Service] = max(current[s.Service], s.Weight)
		services = append(services, s.Service)
	}
	slices.Sort(services)
	for _, service := range slices.Compact(services) {
		x, wasThere := old[service]
		y, isThere := current[service]
		d.add("route "+cmp.Or(after.Name, before.Name), "weight of "+truncate(service), formatWeight(x, wasThere), formatWeight(y, isThere), effect)
	}
}

func diffServices(d *differences, before, after router.Config) {
	services := slices.Concat(before.Services, after.Services)
	slices.Sort(services)
	old, current := make(map[string]bool), make(map[string]bool)
	for _, service := range before.Services {
		old[service] = true
	}
	for _, service := range after.Services {
		current[service] = true
	}
	for _, service := range slices.Compact(services) {
		scope := "service " + service
		switch {
		case !old[service]:
			d.add(scope, Name.String(), "", service, effectNone)
		case !current[service]:
			d.add(scope, Name.String(), service, "", effectServiceEnds)
			continue
		}
		x, y := before.ColdLimits[service], after.ColdLimits[service]
		d.add(scope, ColdPeriod.String(), formatDuration(x.Period), formatDuration(y.Period), effectOpening)
		d.add(scope, ColdRate.String(), formatRate(x.Rate), formatRate(y.Rate), effectOpening)
	}
}

func diffEvacuations(o Options) []Difference {
	var d differences
	zones := slices.Concat(o.EvacuatedBefore, o.Evacuated)
	slices.Sort(zones)
	for _, zone := range slices.Compact(zones) {
		wasOut, isOut := slices.Contains(o.EvacuatedBefore, zone), slices.Contains(o.Evacuated, zone)
		switch {
		case !wasOut:
			d.add("zone "+zone, "evacuation", "", "evacuated", effectEvacuated)
		case !isOut:
			d.add("zone "+zone, "evacuation", "evacuated", "", effectRestored)
		}
	}
	return d
}

// formatDuration returns "" for 0, which stands for a value that is not stated.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func formatRate(rate float64) string {
	if rate == 0 {
		return ""
	}
	return formatNumber(rate) + "/s"
}

func formatWeight(weight uint32, isThere bool) string {
	if !isThere {
		return ""
	}
	return formatNumber(float64(weight) / router.WeightScale)
}

func formatPriority(r *router.Route) string {
	if !r.HasPriority {
		return ""
	}
	return fmt.Sprint(r.Priority)
}
