package parser

import (
	"net/netip"
	"time"
)

// packetsDocument is the part of a settings file about flows whose bytes only
// the two ends read. Its presence selects this way of serving.
type packetsDocument struct {
	Address         string `yaml:"address"`
	ReadyAddress    string `yaml:"ready_address"`
	MetricsAddress  string `yaml:"metrics_address"`
	OutboundAddress string `yaml:"outbound_address"`
	BackendAddress  string `yaml:"backend_address"`
	Service         string `yaml:"service"`

	ConfigDeadline time.Duration `yaml:"config_deadline"`
	TargetDeadline time.Duration `yaml:"target_deadline"`
}

// DefaultChangeDeadline is the time in which a change must be in force if the
// file states none.
const DefaultChangeDeadline = 3 * time.Second

// Packets are the settings of packet flows.
type Packets struct {
	document packetsDocument
}

// ServesPackets reports whether the file has a section packets.
func (s *Settings) ServesPackets() bool { return s.positions.Has("packets") }

// Packets returns the settings of packet flows.
func (s *Settings) Packets() Packets { return Packets{document: s.document.Packets} }

// Address returns the UDP address that packets come to. Processes send to each
// other at its port.
func (p Packets) Address() netip.AddrPort { return parseAddress(p.document.Address) }

// ReadyAddress returns the TCP address of the readiness check.
func (p Packets) ReadyAddress() netip.AddrPort { return parseAddress(p.document.ReadyAddress) }

// MetricsAddress returns the TCP address of the metrics, if there is one.
func (p Packets) MetricsAddress() netip.AddrPort { return parseAddress(p.document.MetricsAddress) }

// OutboundAddress returns the UDP address that an agent's target sends to.
func (p Packets) OutboundAddress() netip.AddrPort { return parseAddress(p.document.OutboundAddress) }

// BackendAddress returns the UDP address of an agent's target.
func (p Packets) BackendAddress() netip.AddrPort { return parseAddress(p.document.BackendAddress) }

// Service returns the service of an agent's target.
func (p Packets) Service() string { return p.document.Service }

// ConfigDeadline returns the time in which a configuration must be in force.
func (p Packets) ConfigDeadline() time.Duration {
	return withDefault(p.document.ConfigDeadline, DefaultChangeDeadline)
}

// TargetDeadline returns the time after which a draining target must get no new
// flows.
func (p Packets) TargetDeadline() time.Duration {
	return withDefault(p.document.TargetDeadline, DefaultChangeDeadline)
}

// ChangeDeadline returns the time in which every change must be in force.
func (p Packets) ChangeDeadline() time.Duration { return min(p.ConfigDeadline(), p.TargetDeadline()) }
