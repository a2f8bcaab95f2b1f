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

// MaxValueSize is the maximum size of a value on the platform in bytes.
const MaxValueSize = 1_000_000

// maxReason is the maximum length of an exception's reason in bytes.
const maxReason = 1000

// ValidateFleet returns the problems of a fleet document in a deterministic
// order. The result depends only on the document. The problems have no file and
// line.
func ValidateFleet(fleet cataloger.FleetSpec) []Problem {
	c := &fleetCheck{
		serviceNames: make(firstUse[string]), serviceNumbers: make(firstUse[uint16]),
		hostNames: make(firstUse[string]), addresses: make(firstUse[netip.AddrPort]),
		targetNumbers: make(firstUse[uint32]), controlAddresses: make(firstUse[netip.AddrPort]),
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

// maxReported is the maximum number of problems listed in an error message.
const maxReported = 5

// CheckFleet is like ValidateFleet, but returns the problems as one error for
// logs and the status API. The message lists the first problems and the number
// of the remaining ones.
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

// ValidateFleetDocument returns the problems of a parsed fleet document with
// file and line, sorted by line. If there are structural errors, only those are
// returned.
func ValidateFleetDocument(fleet cataloger.FleetSpec, positions *parser.Positions) []Problem {
	if problems := positions.Problems(); len(problems) > 0 {
		return problems
	}
	problems := ValidateFleet(fleet)
	// The published JSON can't distinguish a default of 0 from an omitted one,
	// so 0 is rejected in the operator's document.
	for _, key := range cataloger.PolicyKeys() {
		value, err := fleet.Defaults.Value(key)
		if err == nil && value == 0 && positions.Has("defaults."+key) {
			smallest, largest, _ := cataloger.PolicyRange(key)
			problems = append(problems, parser.NewProblem("defaults."+key, parser.FaultBadValue, "0", rangeText(smallest, largest)))
		}
	}
	return positions.LocateAll(problems)
}

// fleetCheck collects the problems of a fleet document.
type fleetCheck struct {
	report
	serviceNames   firstUse[string]
	serviceNumbers firstUse[uint16]
	hostNames      firstUse[string]
	// addresses holds published and tunnel addresses, which share the UDP port
	// space and must not collide.
	addresses        firstUse[netip.AddrPort]
	targetNumbers    firstUse[uint32]
	controlAddresses firstUse[netip.AddrPort]
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
		c.serviceNames.check(&c.report, service.Name, key+".name", "a unique name")
	}
	if service.Number == 0 {
		c.add(key+".number", parser.FaultMissing, "", "a whole number from 1 to 65535 that no service has ever had")
	} else {
		c.serviceNumbers.check(&c.report, service.Number, key+".number", "a unique number")
	}
	if len(service.Names) == 0 {
		c.add(key+".names", parser.FaultMissing, "", "a list of at least one "+acceptedHostName)
	}
	for i, name := range service.Names {
		nameKey := fmt.Sprintf("%s.names[%d]", key, i)
		if c.checkHostName(nameKey, name) {
			c.hostNames.check(&c.report, strings.ToLower(name), nameKey, "a unique host name")
		}
	}
	if len(service.Addresses) == 0 {
		c.add(key+".addresses", parser.FaultMissing, "", "a list of at least one "+acceptedAddress)
	}
	for i, text := range service.Addresses {
		addressKey := fmt.Sprintf("%s.addresses[%d]", key, i)
		if address, ok := c.checkAddress(addressKey, text); ok {
			c.addresses.check(&c.report, address, addressKey, "a unique address")
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
		names.check(&c.report, target.Name, key+".name", "a name that is unique in the service")
	}
	if target.Number == 0 {
		c.add(key+".number", parser.FaultMissing, "", "a whole number from 1 to 4294967295 that no target has ever had")
	} else {
		c.targetNumbers.check(&c.report, target.Number, key+".number", "a unique number")
	}
	c.checkName(key+".host", target.Host)
	c.checkName(key+".availability_zone", target.AvailabilityZone)
	if address, ok := c.checkAddress(key+".tunnel_address", target.TunnelAddress); ok {
		c.addresses.check(&c.report, address, key+".tunnel_address", "a unique address")
	}
	if address, ok := c.checkAddress(key+".control_address", target.ControlAddress); ok {
		c.controlAddresses.check(&c.report, address, key+".control_address", "a unique address")
	}
	if target.State != "" {
		c.checkOneOf(key+".state", target.State, []string{cataloger.TargetServing, cataloger.TargetLeaving})
	}
}

// checkSizes reports sections that exceed MaxValueSize, at the key of the entry
// that contributes most to the section, and documents that exceed the limit for
// all sections together.
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
				fmt.Sprintf("at most %d bytes for section %s, of which this entry takes the largest part", MaxValueSize, section.Name()))
		}
	}
	if total > keeper.MaxTotalBytes {
		c.add("services", parser.FaultBadValue, fmt.Sprintf("%d bytes", total), fmt.Sprintf("at most %d bytes for all sections", keeper.MaxTotalBytes))
	}
}

// largestKey returns the key of the entry that contributes most to a section.
// The size of a service is estimated by the number of its targets.
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
