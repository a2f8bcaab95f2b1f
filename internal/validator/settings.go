package validator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/logger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// MinTunnelMTU is the minimum tunnel MTU in bytes. A QUIC datagram of 1,200
// bytes (RFC 9000, section 14) takes 1,299 bytes with the tunnel header over
// IPv6.
const MinTunnelMTU = 1300

// MaxTunnelMTU is the maximum tunnel MTU in bytes, the largest payload of a UDP
// datagram over IPv4.
const MaxTunnelMTU = 65_507

// ValidateSettings returns the problems of a settings file, sorted by line. It
// reads the key and certificate files that the settings name. If there are
// structural errors, only those are returned, because the values were not
// decoded.
func ValidateSettings(s *parser.Settings) []Problem {
	if problems := s.Positions().Problems(); len(problems) > 0 {
		return problems
	}
	c := &settingsCheck{settings: s, positions: s.Positions()}
	if s.ServesPackets() {
		c.checkPackets()
		return s.Positions().LocateAll(c.problems)
	}
	c.checkProcess()
	c.checkAddresses()
	c.checkKeyRing()
	c.checkTLS()
	c.checkLog()
	c.checkDurations()
	c.checkRole()
	return s.Positions().LocateAll(c.problems)
}

// settingsCheck collects the problems of a settings file.
type settingsCheck struct {
	report
	settings  *parser.Settings
	positions *parser.Positions
}

// text returns the value of a key as written, or an empty string if the document
// lacks the key.
func (c *settingsCheck) text(key string) string {
	if !c.positions.Has(key) {
		return ""
	}
	return c.positions.Find(key).Value()
}

func (c *settingsCheck) checkProcess() {
	c.checkOneOf("role", c.settings.Role(), []string{cataloger.RoleBalancer, cataloger.RoleAgent})
	for _, key := range []string{"process", "availability_zone", "region"} {
		c.checkName(key, c.text(key))
	}
	c.checkURL("platform_url", c.settings.PlatformURL())
	if c.positions.Has("tunnel_mtu") {
		value := c.text("tunnel_mtu")
		if mtu := c.settings.TunnelMTU(); value == "0" || mtu < MinTunnelMTU || mtu > MaxTunnelMTU {
			c.badValue("tunnel_mtu", value, rangeText(MinTunnelMTU, MaxTunnelMTU))
		}
	}
}

func (c *settingsCheck) checkAddresses() {
	c.checkAddress("tunnel_address", c.text("tunnel_address"))
	listeners := make(firstUse[string])
	for _, key := range []string{"control_address", "operator_address"} {
		if _, ok := c.checkAddress(key, c.text(key)); ok {
			listeners.check(&c.report, c.text(key), key, "a unique TCP address")
		}
	}
	c.checkSeeds()
}

func (c *settingsCheck) checkSeeds() {
	seeds := make(firstUse[string])
	for i := range c.settings.Seeds() {
		key := fmt.Sprintf("seeds[%d]", i)
		if _, ok := c.checkAddress(key, c.text(key)); ok {
			seeds.check(&c.report, c.text(key), key, "each control address once")
		}
	}
}

func (c *settingsCheck) checkKeyRing() {
	ids := c.settings.SecretIDs()
	if len(ids) == 0 {
		c.add("key_ring", parser.FaultMissing, "", "a list of entries with id and either file or value, the current secret first")
		return
	}
	seen := make(firstUse[uint8])
	for i, id := range ids {
		key := fmt.Sprintf("key_ring[%d]", i)
		c.checkRange(key+".id", int64(id), 0, deriver.MaxSecretID)
		seen.check(&c.report, id, key+".id", "a unique id")
		if c.positions.Has(key+".file") == c.positions.Has(key+".value") {
			c.add(key, parser.FaultConflict, "", "either file or value")
			continue
		}
		if err := c.settings.CheckSecret(i); err != nil {
			source := key + ".value"
			if c.positions.Has(key + ".file") {
				source = key + ".file"
			}
			c.add(source, parser.FaultBadValue, "", fmt.Sprintf("standard base64 of at least %d bytes (%v)", deriver.MinSecretSize, err))
		}
	}
}

func (c *settingsCheck) checkTLS() {
	if c.settings.Role() == cataloger.RoleAgent || c.positions.Has("tls.callers") {
		c.checkTLSFiles("tls.callers", c.settings.CallerTLS(), false)
	}
	c.checkTLSFiles("tls.peers", c.settings.PeerTLS(), true)
	if c.positions.Has("tls.operators") {
		c.checkTLSFiles("tls.operators", c.settings.OperatorTLS(), true)
	}
}

func (c *settingsCheck) checkTLSFiles(key string, files parser.TLSFiles, authority bool) {
	complete := true
	for _, f := range []struct {
		name     string
		required bool
	}{{"certificate", true}, {"key", true}, {"ca", authority}} {
		if f.required && c.text(key+"."+f.name) == "" {
			c.add(key+"."+f.name, parser.FaultMissing, "", "the name of a PEM file")
			complete = false
		}
	}
	if name := c.text(key + ".name"); name != "" {
		c.checkHostName(key+".name", name)
	}
	if !complete {
		return
	}
	if _, err := files.ServerConfig(); err != nil {
		c.add(key, parser.FaultBadValue, "", fmt.Sprintf("readable PEM files with a private key that matches the certificate (%v)", err))
	}
}

func (c *settingsCheck) checkLog() {
	c.checkOneOf("log.level", c.settings.LogLevel(), logger.Levels())
	c.checkOneOf("log.format", c.settings.LogFormat(), []string{logger.FormatJSON, logger.FormatConsole})
}

func (c *settingsCheck) checkDurations() {
	valid := true
	for _, d := range []struct {
		key               string
		value             time.Duration
		smallest, largest time.Duration
	}{
		{"start_spread", c.settings.StartSpread(), 0, 5 * time.Minute},
		{"drain.deadline", c.settings.DrainDeadline(), 100 * time.Millisecond, 24 * time.Hour},
		{"drain.announce_grace", c.settings.AnnounceGrace(), time.Millisecond, 5 * time.Minute},
		{"drain.close_grace", c.settings.CloseGrace(), time.Millisecond, time.Minute},
		{"packets.config_deadline", c.settings.Packets().ConfigDeadline(), minChangeDeadline, maxChangeDeadline},
		{"packets.target_deadline", c.settings.Packets().TargetDeadline(), minChangeDeadline, maxChangeDeadline},
		{"packets.evacuation_deadline", c.settings.Packets().EvacuationDeadline(), minChangeDeadline, maxChangeDeadline},
		{"packets.flow_lifetime", c.settings.Packets().FlowLifetime(), time.Second, 24 * time.Hour},
	} {
		if !c.positions.Has(d.key) {
			continue
		}
		written, err := time.ParseDuration(c.text(d.key))
		if err != nil || written < d.smallest || written > d.largest {
			c.badValue(d.key, c.text(d.key), fmt.Sprintf("a duration from %s to %s", d.smallest, d.largest))
			valid = false
		}
	}
	if valid && !c.settings.ServesPackets() && c.settings.HasDrainDeadline() && c.settings.AnnounceGrace() >= c.settings.DrainDeadline() {
		c.add("drain.deadline", parser.FaultConflict, c.text("drain.deadline"),
			fmt.Sprintf("more than drain.announce_grace, which is %s", c.settings.AnnounceGrace()))
	}
}

func (c *settingsCheck) checkRole() {
	role := c.settings.Role()
	if role == cataloger.RoleAgent {
		if c.settings.TargetNumber() == 0 {
			c.badValue("agent.target", c.text("agent.target"), "the number of the target in the fleet document, at least 1")
		}
		c.checkURL("agent.backend_url", c.settings.BackendURL())
	} else if role == cataloger.RoleBalancer && c.positions.Has("agent") {
		c.add("agent", parser.FaultConflict, "", "the key agent only with role agent")
	}
	if role == cataloger.RoleAgent && c.positions.Has("balancer") {
		c.add("balancer", parser.FaultConflict, "", "the key balancer only with role balancer")
	}
	bound := make(firstUse[string])
	addresses := c.settings.BindAddresses()
	for _, published := range slices.Sorted(maps.Keys(addresses)) {
		key := fmt.Sprintf("balancer.bind_addresses[%s]", published)
		c.checkAddress(key, published)
		if _, ok := c.checkAddress(key, addresses[published]); ok {
			bound.check(&c.report, addresses[published], key, "a unique local address")
		}
	}
}
