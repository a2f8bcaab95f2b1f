package checker

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"

	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// EvacuationKey is the key of problems with evacuation requests, which are no part
// of the configuration.
const EvacuationKey = "evacuations"

const acceptedAddress = "a unicast IPv4 address and a port from 1 to 65535, such as 192.0.2.1:443"

// Options is what is known beside the configuration.
type Options struct {
	// InForce is the configuration in force, or nil if it isn't known.
	InForce *router.Config
	// Targets has the targets that processes list, which are those of services of the
	// configuration in force: whether a service that it lacks has targets is not
	// known. They are checked only if KnowsTargets is set.
	Targets      []router.Target
	KnowsTargets bool
	// Evacuated has the availability zones whose evacuation will be in force, and
	// EvacuatedBefore those whose evacuation is.
	Evacuated, EvacuatedBefore []string
}

// Result is what a check found.
type Result struct {
	Problems []parser.Problem
	// Differences from the configuration in force are no problems.
	Differences []Difference
}

// Check checks a configuration. If the document has structural errors, only those
// are returned, as its values are not known then.
func Check(d Document, o Options) Result {
	if d.Positions != nil {
		if problems := d.Positions.Problems(); len(problems) > 0 {
			return Result{Problems: problems}
		}
	}
	c := &check{
		document: d, options: o, config: d.Config,
		services: make(map[string]int, len(d.Config.Services)), used: make(map[string]bool), targets: groupTargets(o),
	}
	c.checkVersion()
	c.checkServices()
	c.checkRoutes()
	c.checkIdleTimeout()
	c.checkUse()
	result := Result{Problems: d.locate(c.problems)}
	// Evacuation requests are not in the document and therefore have no line.
	c.problems = nil
	c.checkEvacuations()
	result.Problems = append(result.Problems, c.problems...)
	if o.InForce != nil {
		result.Differences = diffConfigs(*o.InForce, d.Config)
	}
	result.Differences = append(result.Differences, diffEvacuations(o)...)
	return result
}

type check struct {
	document Document
	options  Options
	config   router.Config
	problems []parser.Problem
	// services has the index of each service.
	services map[string]int
	// used has the services that a route uses.
	used    map[string]bool
	targets map[string]serviceTargets
	// suggested is the number of unknown names so far.
	suggested int
}

func (c *check) add(p Place, fault, value, accepted string) {
	c.problems = append(c.problems, parser.NewProblem(c.document.key(p), fault, value, accepted))
}

// badValue reports a value as bad, or as missing if it is empty.
func (c *check) badValue(p Place, value, accepted string) {
	fault := parser.FaultBadValue
	if value == "" {
		fault = parser.FaultMissing
	}
	c.add(p, fault, value, accepted)
}

func (c *check) checkVersion() {
	place := Place{Field: Version}
	switch before := c.options.InForce; {
	case c.config.Version == 0:
		c.add(place, parser.FaultMissing, "", "a whole number from 1, above that of any version published before")
	case before != nil && c.config.Version <= before.Version:
		c.add(place, parser.FaultConflict, strconv.FormatUint(c.config.Version, 10), fmt.Sprintf("a number above %d, the version in force", before.Version))
	}
}

func (c *check) checkServices() {
	for i, name := range c.config.Services {
		place := Place{Section: Services, Index: i, Field: Name}
		first, isDuplicate := c.services[name]
		switch {
		case name == "":
			c.badValue(place, name, "the name of a service")
		case isDuplicate:
			c.add(place, parser.FaultDuplicate, name, "a unique name; already used by "+c.document.key(Place{Section: Services, Index: first, Field: Name}))
		default:
			c.services[name] = i
		}
		c.checkColdLimit(i, name)
	}
	// Limits of services that the configuration doesn't list have no place there.
	for _, name := range slices.Sorted(maps.Keys(c.config.ColdLimits)) {
		if _, ok := c.services[name]; !ok && name != "" {
			c.add(Place{Section: Services}, parser.FaultBadValue, name, c.suggestService(name))
		}
	}
}

func (c *check) checkColdLimit(i int, name string) {
	limit := c.config.ColdLimits[name]
	period := c.checkNumber(Place{Section: Services, Index: i, Field: ColdPeriod}, limit.Period.Seconds(), 0, router.MaxDuration.Seconds(), false)
	rate := c.checkNumber(Place{Section: Services, Index: i, Field: ColdRate}, limit.Rate, 0, math.MaxFloat64, false)
	// A period without a rate is valid: the targets then start slowly and have no bound.
	if rate > 0 && period == 0 {
		c.add(Place{Section: Services, Index: i, Field: ColdPeriod}, parser.FaultConflict, "", "a period above 0 s, since a rate of "+formatNumber(rate)+" without a cold period limits nothing")
	}
}

// checkNumber checks a number as it is stated, or else as it was decoded. It
// returns the number, or -1 if it is not accepted.
func (c *check) checkNumber(p Place, decoded, smallest, largest float64, isWhole bool) float64 {
	number, ok := c.document.Numbers[p]
	if !ok {
		number = decoded
	}
	// NaN is in no range.
	if number >= smallest && number <= largest && (!isWhole || number == math.Trunc(number)) {
		return number
	}
	accepted := "a number"
	if isWhole {
		accepted = "a whole number"
	}
	if largest < math.MaxFloat64 {
		accepted += fmt.Sprintf(" from %s to %s", formatNumber(smallest), formatNumber(largest))
	} else {
		accepted = "a finite number from " + formatNumber(smallest)
	}
	c.add(p, parser.FaultBadValue, formatNumber(number), accepted)
	return -1
}

// formatNumber formats a number without an exponent, unless it is very long.
func formatNumber(number float64) string {
	if text := strconv.FormatFloat(number, 'f', -1, 64); len(text) <= 20 {
		return text
	}
	return strconv.FormatFloat(number, 'g', -1, 64)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (c *check) checkRoutes() {
	names := make(map[string]int, len(c.config.Routes))
	addresses := make(map[netip.AddrPort]int, len(c.config.Routes))
	for i := range c.config.Routes {
		route := &c.config.Routes[i]
		place := func(f Field) Place { return Place{Section: Routes, Index: i, Field: f} }
		first, isDuplicate := names[route.Name]
		switch {
		case route.Name == "":
			c.badValue(place(Name), "", "the name of the route")
		case isDuplicate:
			c.add(place(Name), parser.FaultDuplicate, route.Name, "a unique name; already used by "+c.document.key(Place{Section: Routes, Index: first, Field: Name}))
		default:
			names[route.Name] = i
		}
		if c.checkAddress(place(Address), route.Address) {
			if first, isDuplicate := addresses[route.Address]; isDuplicate {
				c.add(place(Address), parser.FaultDuplicate, route.Address.String(),
					fmt.Sprintf("a unique address; %s has it, too, and never matches, as the last route counts", c.document.key(Place{Section: Routes, Index: first, Field: Address})))
			}
			addresses[route.Address] = i
		}
		c.checkNumber(place(Priority), float64(route.Priority), 0, router.MaxPriority, true)
		latency := c.checkNumber(place(LatencyTarget), milliseconds(route.LatencyTarget), 0, milliseconds(router.MaxDuration), false)
		deadline := c.checkNumber(place(Deadline), milliseconds(route.Deadline), 0, milliseconds(router.MaxDuration), false)
		if deadline > 0 && latency > deadline {
			c.add(place(LatencyTarget), parser.FaultConflict, formatNumber(latency), "at most "+formatNumber(deadline)+", the deadline of the route")
		}
		c.checkShares(i, route)
	}
}

// checkAddress reports an address that callers can't send packets to.
func (c *check) checkAddress(p Place, address netip.AddrPort) bool {
	text, isStated := c.document.Texts[p]
	if !isStated {
		text = address.String()
	}
	parsed, err := router.ParseAddress(text)
	if err == nil && parsed == address && parsed.Addr() != netip.AddrFrom4([4]byte{255, 255, 255, 255}) {
		return true
	}
	c.badValue(p, truncate(strings.ToValidUTF8(text, "?")), acceptedAddress)
	return false
}

func (c *check) checkShares(i int, route *router.Route) {
	isValid, hasWeight := true, false
	seen := make(map[string]bool, len(route.Shares))
	for j, s := range route.Shares {
		service := Place{Section: Routes, Index: i, Share: j + 1, Field: Service}
		weight := c.checkWeight(Place{Section: Routes, Index: i, Share: j + 1, Field: Weight}, s)
		isValid = isValid && weight >= 0
		hasWeight = hasWeight || weight > 0
		c.used[s.Service] = true
		_, isKnown := c.services[s.Service]
		switch {
		case !isKnown:
			c.badValue(service, s.Service, c.suggestService(s.Service))
		case seen[s.Service]:
			c.add(service, parser.FaultDuplicate, s.Service, "each service once, since only the largest of its weights counts")
		case weight > 0:
			c.checkTargets(service, s.Service)
		}
		seen[s.Service] = true
	}
	if isValid && !hasWeight {
		c.add(Place{Section: Routes, Index: i}, parser.FaultNeverMatches, route.Name, "at least one service with a weight above 0")
	}
}

// checkWeight returns the weight of a share, or -1 if it is not accepted.
func (c *check) checkWeight(p Place, s router.Share) float64 {
	const largest = math.MaxUint32 / router.WeightScale
	weight := c.checkNumber(p, float64(s.Weight)/router.WeightScale, 0, largest, false)
	if weight > 0 && s.Weight == 0 {
		c.add(p, parser.FaultBadValue, formatNumber(weight), fmt.Sprintf("0, or a number from %s to %d", formatNumber(1.0/router.WeightScale), largest))
		return -1
	}
	return weight
}

// checkTargets reports a service of a route that no new flow can be placed at.
func (c *check) checkTargets(p Place, service string) {
	before := c.options.InForce
	if !c.options.KnowsTargets || before != nil && !slices.Contains(before.Services, service) {
		return
	}
	switch known := c.targets[service]; {
	case !known.hasTarget:
		c.add(p, parser.FaultNeverMatches, service, "a service with a target that takes new flows")
	case !known.isOpen:
		c.add(p, parser.FaultConflict, service, "a service with targets outside the evacuated zones")
	}
}

// serviceTargets is what is known of the targets of a service.
type serviceTargets struct {
	// hasTarget is set if a target takes new flows unless its zone is evacuated, and
	// isOpen if the zone of such a target is not evacuated.
	hasTarget, isOpen bool
}

func groupTargets(o Options) map[string]serviceTargets {
	groups := make(map[string]serviceTargets)
	for i := range o.Targets {
		t := &o.Targets[i]
		if !takesNewFlows(t) {
			continue
		}
		known := groups[t.Service]
		known.hasTarget = true
		known.isOpen = known.isOpen || !slices.Contains(o.Evacuated, t.Zone)
		groups[t.Service] = known
	}
	return groups
}

// takesNewFlows reports whether a target takes new flows unless its zone is
// evacuated. Evacuations are those of the options.
func takesNewFlows(t *router.Target) bool {
	return t.State == router.Serving || t.State == router.Lapsed
}

func (c *check) checkIdleTimeout() {
	place := Place{Field: IdleTimeout}
	idle := c.checkNumber(place, milliseconds(c.config.IdleTimeout), 0, milliseconds(router.MaxDuration), false)
	longest := -1
	for i := range c.config.Routes {
		if longest < 0 || c.config.Routes[i].Deadline > c.config.Routes[longest].Deadline {
			longest = i
		}
	}
	// Without an idle timeout the default of the processes applies.
	if idle <= 0 || longest < 0 {
		return
	}
	if deadline := milliseconds(c.config.Routes[longest].Deadline); idle < deadline {
		c.add(place, parser.FaultConflict, formatNumber(idle), fmt.Sprintf("at least %s, the deadline of route %s, as a flow that waits for its answer would be forgotten before",
			formatNumber(deadline), truncate(c.config.Routes[longest].Name)))
	}
}

func (c *check) checkUse() {
	for i, name := range c.config.Services {
		if name != "" && !c.used[name] && c.services[name] == i {
			c.add(Place{Section: Services, Index: i, Field: Name}, parser.FaultNeverMatches, name, "a service that a route uses")
		}
	}
}

func (c *check) checkEvacuations() {
	if !c.options.KnowsTargets {
		return
	}
	var zones []string
	hasOpen := false
	for _, t := range c.options.Targets {
		zones = append(zones, t.Zone)
		hasOpen = hasOpen || !slices.Contains(c.options.Evacuated, t.Zone)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	for _, zone := range c.options.Evacuated {
		if !slices.Contains(zones, zone) {
			c.problems = append(c.problems, parser.NewProblem(EvacuationKey, parser.FaultNeverMatches, zone, "a zone with targets: "+strings.Join(zones, ", ")))
		}
	}
	if len(zones) > 0 && !hasOpen {
		c.problems = append(c.problems, parser.NewProblem(EvacuationKey, parser.FaultConflict, strings.Join(c.options.Evacuated, " "), "at least one zone with targets that is not evacuated"))
	}
}

// maxSuggestions is the maximum number of names that a problem suggests. A fleet has
// thousands of services.
const maxSuggestions = 5

// maxSuggested is the number of unknown names for which similar ones are searched.
// 5,800 unknown names beside 5,800 services took 25 s without this limit.
const maxSuggested = 50

// suggestService returns a text with the services that are most similar to a name.
func (c *check) suggestService(name string) string {
	if len(c.services) == 0 {
		return "a service of the configuration, which lists none"
	}
	c.suggested++
	if c.suggested > maxSuggested {
		return "a service of the configuration"
	}
	name = truncate(name)
	distances := make(map[string]int, len(c.services))
	names := make([]string, 0, len(c.services))
	for s := range c.services {
		distances[s] = levenshtein.ComputeDistance(name, truncate(s))
		names = append(names, s)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(distances[a], distances[b]), cmp.Compare(a, b))
	})
	text := "a service of the configuration: "
	if len(names) > maxSuggestions {
		text = "a service of the configuration, such as "
		names = names[:maxSuggestions]
	}
	for i, n := range names {
		names[i] = truncate(n)
	}
	return text + strings.Join(names, ", ")
}

// maxText is the maximum length of a name in a problem or difference in bytes.
const maxText = 80

func truncate(text string) string {
	if len(text) > maxText {
		return strings.ToValidUTF8(text[:maxText], "") + "..."
	}
	return text
}
