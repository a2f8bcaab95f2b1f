package validator

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// MaxValueSize is the largest size of one value on the platform in bytes.
const MaxValueSize = 1_000_000

// maxReason bounds the written reason of an exception in bytes.
const maxReason = 1000

// ValidateFleet returns the problems of a fleet document in a fixed order. It
// depends on nothing but the document. The problems have no file and line.
func ValidateFleet(fleet cataloger.FleetSpec) []Problem {
	c := &fleetCheck{
		serviceNames: make(firstUse[string]), serviceNumbers: make(firstUse[uint16]),
		hostNames: make(firstUse[string]), addresses: make(firstUse[netip.AddrPort]),
		targetNumbers: make(firstUse[uint32]), controls: make(firstUse[netip.AddrPort]),
	}
	if fleet.Revision == 0 {
		c.add("revision", parser.FaultMissing, "", "a whole number from 1, higher than any published before")
	}
	c.checkDefaults(fleet.Defaults)
	for i, service := range fleet.Services {
		c.checkService(fmt.Sprintf("services[%d]", i), service)
	}
	c.checkExceptions(fleet)
	if len(c.problems) == 0 {
		c.checkSizes(fleet)
	}
	return c.problems
}

// maxReported bounds the problems in the text of an error.
const maxReported = 5

// CheckFleet is ValidateFleet as one error, for logs and status. It names the
// first problems and the number of the others.
func CheckFleet(fleet cataloger.FleetSpec) error {
	problems := ValidateFleet(fleet)
	if len(problems) == 0 {
		return nil
	}
	texts := make([]string, 0, maxReported+1)
	for _, p := range problems[:min(len(problems), maxReported)] {
		texts = append(texts, p.String())
	}
	if rest := len(problems) - maxReported; rest > 0 {
		texts = append(texts, fmt.Sprintf("%d more problems", rest))
	}
	return merry.Errorf("check fleet document: %s", strings.Join(texts, "; "))
}

// ValidateFleetDocument returns the problems of a fleet document that was read
// from a file, with file and line, in order of lines. Faults of shape are
// reported alone.
func ValidateFleetDocument(fleet cataloger.FleetSpec, positions *parser.Positions) []Problem {
	if problems := positions.Problems(); len(problems) > 0 {
		return problems
	}
	problems := ValidateFleet(fleet)
	// A default of 0 can't be told from one that is left out in published
	// JSON, so it is refused where the operator writes it.
	for _, key := range cataloger.PolicyKeys() {
		value, err := fleet.Defaults.Value(key)
		if err == nil && value == 0 && positions.Has("defaults."+key) {
			smallest, largest, _ := cataloger.PolicyRange(key)
			problems = append(problems, parser.NewProblem("defaults."+key, parser.FaultBadValue, "0", rangeText(smallest, largest)))
		}
	}
	return locate(positions, problems)
}

type fleetCheck struct {
	report
	serviceNames   firstUse[string]
	serviceNumbers firstUse[uint16]
	hostNames      firstUse[string]
	// addresses holds published and tunnel addresses, which are both UDP.
	addresses     firstUse[netip.AddrPort]
	targetNumbers firstUse[uint32]
	controls      firstUse[netip.AddrPort]
}

func (c *fleetCheck) checkDefaults(defaults cataloger.PolicySpec) {
	for _, key := range cataloger.PolicyKeys() {
		value, err := defaults.Value(key)
		if err != nil || value == 0 {
			continue
		}
		smallest, largest, _ := cataloger.PolicyRange(key)
		c.checkRange("defaults."+key, value, smallest, largest)
	}
}

func (c *fleetCheck) checkService(key string, service cataloger.ServiceSpec) {
	if c.checkName(key+".name", service.Name) {
		c.serviceNames.check(&c.report, service.Name, key+".name", "a name of its own")
	}
	if service.Number == 0 {
		c.add(key+".number", parser.FaultMissing, "", "a whole number from 1 to 65535 that no service ever had")
	} else {
		c.serviceNumbers.check(&c.report, service.Number, key+".number", "a number of its own")
	}
	if len(service.Names) == 0 {
		c.add(key+".names", parser.FaultMissing, "", "a list of at least one "+acceptedHostName)
	}
	for i, name := range service.Names {
		nameKey := fmt.Sprintf("%s.names[%d]", key, i)
		if c.checkHostName(nameKey, name) {
			c.hostNames.check(&c.report, strings.ToLower(name), nameKey, "a host name of its own")
		}
	}
	if len(service.Addresses) == 0 {
		c.add(key+".addresses", parser.FaultMissing, "", "a list of at least one "+acceptedAddress)
	}
	for i, text := range service.Addresses {
		addressKey := fmt.Sprintf("%s.addresses[%d]", key, i)
		if address, ok := c.checkAddress(addressKey, text); ok {
			c.addresses.check(&c.report, address, addressKey, "an address of its own")
		}
	}
	if len(service.Targets) == 0 {
		c.add(key+".targets", parser.FaultMissing, "", "a list of at least one target; to end a service, remove it")
	}
	names := make(firstUse[string])
	for i, target := range service.Targets {
		c.checkTarget(fmt.Sprintf("%s.targets[%d]", key, i), target, names)
	}
}

func (c *fleetCheck) checkTarget(key string, target cataloger.TargetSpec, names firstUse[string]) {
	if c.checkName(key+".name", target.Name) {
		names.check(&c.report, target.Name, key+".name", "a name of its own within the service")
	}
	if target.Number == 0 {
		c.add(key+".number", parser.FaultMissing, "", "a whole number from 1 to 4294967295 that no target ever had")
	} else {
		c.targetNumbers.check(&c.report, target.Number, key+".number", "a number of its own")
	}
	c.checkName(key+".host", target.Host)
	c.checkName(key+".availability_zone", target.AvailabilityZone)
	if address, ok := c.checkAddress(key+".tunnel_address", target.TunnelAddress); ok {
		c.addresses.check(&c.report, address, key+".tunnel_address", "an address of its own")
	}
	if address, ok := c.checkAddress(key+".control_address", target.ControlAddress); ok {
		c.controls.check(&c.report, address, key+".control_address", "an address of its own")
	}
	if target.State != "" {
		c.checkOneOf(key+".state", target.State, []string{cataloger.TargetServing, cataloger.TargetLeaving})
	}
}

// checkSizes reports a section that is too large for one value, at the service
// that takes the most room in it.
func (c *fleetCheck) checkSizes(fleet cataloger.FleetSpec) {
	sections, err := cataloger.SplitFleet(fleet)
	if err != nil {
		c.add("services", parser.FaultBadValue, "", err.Error())
		return
	}
	total := 0
	for _, section := range sections {
		total += len(section.Content())
		if size := len(section.Content()); size > MaxValueSize {
			c.add(largestKey(fleet, section.Name()), parser.FaultBadValue, fmt.Sprintf("%d bytes", size),
				fmt.Sprintf("at most %d bytes for section %s, which this entry takes the most of", MaxValueSize, section.Name()))
		}
	}
	if total > keeper.MaxTotalBytes {
		c.add("services", parser.FaultBadValue, fmt.Sprintf("%d bytes", total), fmt.Sprintf("at most %d bytes for all sections", keeper.MaxTotalBytes))
	}
}

func largestKey(fleet cataloger.FleetSpec, section string) string {
	if section == cataloger.PolicySectionName {
		return "exceptions"
	}
	largest, key := -1, "services"
	for i, service := range fleet.Services {
		if n := len(service.Targets); cataloger.ServiceSectionName(service.Name) == section && n > largest {
			largest, key = n, fmt.Sprintf("services[%d]", i)
		}
	}
	return key
}
