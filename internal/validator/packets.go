package validator

import (
	"fmt"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// unusedWithPackets are the sections that the HTTP/3 way of serving needs and
// packet flows ignore.
var unusedWithPackets = []string{"key_ring", "tls.callers", "tls.peers", "tunnel_address", "tunnel_mtu", "balancer", "agent"}

const (
	// minChangeDeadline is above three beacon intervals and a fetch from a peer.
	minChangeDeadline = time.Second
	maxChangeDeadline = time.Minute
)

// checkPackets checks the settings of a process that serves packet flows.
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
	c.checkLog()
	c.checkDurations()
}

// checkOperators checks the operator API, which is optional. Processes without
// TLS between them have no certificate that it could use instead of its own.
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
