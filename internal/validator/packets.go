package validator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// unusedWithPackets are keys that only HTTP/3 mode uses. They are rejected in
// packet mode.
var unusedWithPackets = []string{"key_ring", "tls.callers", "tls.peers", "tunnel_address", "tunnel_mtu", "balancer", "agent"}

const (
	// minChangeDeadline leaves time for three beacon intervals and a fetch from
	// a peer.
	minChangeDeadline = time.Second
	maxChangeDeadline = time.Minute
	// minLinkMbps is less than the traffic between processes alone.
	minLinkMbps = 0.1
	maxLinkMbps = 1_000_000
	// maxColdFactor and maxColdAllowance are more than any target bears while it is
	// cold.
	maxColdFactor    = 100
	maxColdAllowance = 10_000
)

// checkPackets checks the settings of a process in packet mode.
func (c *settingsCheck) checkPackets() {
	c.checkProcess()
	for _, key := range unusedWithPackets {
		if c.positions.Has(key) {
			c.add(key, parser.FaultConflict, "", fmt.Sprintf("the key %s only without packets", key))
		}
	}
	for _, key := range []string{"control_address", "packets.address", "packets.ready_address"} {
		c.checkAddress(key, c.text(key))
	}
	if c.positions.Has("packets.metrics_address") {
		c.checkAddress("packets.metrics_address", c.text("packets.metrics_address"))
	}
	c.checkOperators()
	c.checkSeeds()
	agentKeys := []string{"packets.outbound_address", "packets.backend_address", "packets.service"}
	for _, key := range agentKeys {
		switch {
		case c.settings.Role() != cataloger.RoleAgent:
			if c.positions.Has(key) {
				c.add(key, parser.FaultConflict, "", fmt.Sprintf("the key %s only with role agent", key))
			}
		case key == "packets.service":
			c.checkName(key, c.text(key))
		default:
			c.checkAddress(key, c.text(key))
		}
	}
	c.checkNumbers()
	if c.positions.Has("packets.placement") {
		c.checkOneOf("packets.placement", c.text("packets.placement"), parser.Placements)
	}
	c.checkAdmission()
	c.checkLog()
	c.checkDurations()
}

// checkNumbers checks the rate of the link, and by how much the opening packets at a
// cold target may exceed the rate in the configuration.
func (c *settingsCheck) checkNumbers() {
	c.checkNumber("packets.link_mbps", minLinkMbps, maxLinkMbps)
	c.checkNumber("packets.cold_factor", 1, maxColdFactor)
	c.checkNumber("packets.cold_allowance", 0, maxColdAllowance)
}

// checkAdmission checks by what an agent accepts new flows.
func (c *settingsCheck) checkAdmission() {
	const key = "packets.admission"
	if c.positions.Has(key) && !slices.Contains(parser.Admissions, c.text(key)) {
		c.badValue(key, c.text(key), strings.Join(parser.Admissions, " or "))
	}
}

// checkNumber checks that a number that the file sets is in a range.
func (c *settingsCheck) checkNumber(key string, smallest, largest float64) {
	if !c.positions.Has(key) {
		return
	}
	// NaN is in no range.
	if number, err := strconv.ParseFloat(c.text(key), 64); err != nil || !(number >= smallest && number <= largest) {
		c.badValue(key, c.text(key), fmt.Sprintf("a number from %g to %g", smallest, largest))
	}
}

// checkOperators checks the settings of the operator API, which is optional in
// packet mode. It needs its own certificate: sessions between processes don't
// use TLS in this mode, so there is no peer certificate to fall back on.
func (c *settingsCheck) checkOperators() {
	hasAddress, hasFiles := c.positions.Has("operator_address"), c.positions.Has("tls.operators")
	switch {
	case hasAddress:
		c.checkAddress("operator_address", c.text("operator_address"))
		c.checkTLSFiles("tls.operators", c.settings.OperatorTLS(), true)
	case hasFiles:
		c.add("tls.operators", parser.FaultConflict, "", "the key tls.operators only with operator_address")
	}
}
