package parser

import (
	"net/netip"
	"time"
)

// packetsDocument is the packets section of a settings file. Its presence
// selects packet mode, in which a process forwards the packets of flows without
// reading their content.
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

// DefaultChangeDeadline is the default time within which a change must take
// effect.
const DefaultChangeDeadline = 3 * time.Second

// Packets are the settings of packet flows.
type Packets struct {
	document packetsDocument
}

// ServesPackets reports whether the file has a packets section, which selects
// packet mode instead of HTTP/3 mode.
func (s *Settings) ServesPackets() bool { return s.positions.Has("packets") }

// Packets returns the settings of packet flows.
func (s *Settings) Packets() Packets { return Packets{document: s.document.Packets} }

// Address returns the UDP address on which packets are received. Processes also
// send to each other on its port.
func (p Packets) Address() netip.AddrPort { return parseAddress(p.document.Address) }

// ReadyAddress returns the TCP address of the readiness endpoint.
func (p Packets) ReadyAddress() netip.AddrPort { return parseAddress(p.document.ReadyAddress) }

// MetricsAddress returns the TCP address of the metrics endpoint, or the zero
// value if the file sets none.
func (p Packets) MetricsAddress() netip.AddrPort { return parseAddress(p.document.MetricsAddress) }

// OutboundAddress returns the UDP address to which an agent's target sends its
// packets.
func (p Packets) OutboundAddress() netip.AddrPort { return parseAddress(p.document.OutboundAddress) }

// BackendAddress returns the UDP address of an agent's target.
func (p Packets) BackendAddress() netip.AddrPort { return parseAddress(p.document.BackendAddress) }

// Service returns the service of an agent's target.
func (p Packets) Service() string { return p.document.Service }

// ConfigDeadline returns the time within which a new configuration must take
// effect.
func (p Packets) ConfigDeadline() time.Duration {
	return withDefault(p.document.ConfigDeadline, DefaultChangeDeadline)
}

// TargetDeadline returns the time after which a draining target must receive no
// new flows.
func (p Packets) TargetDeadline() time.Duration {
	return withDefault(p.document.TargetDeadline, DefaultChangeDeadline)
}

// ChangeDeadline returns the time within which every change must take effect,
// the shorter of the two deadlines.
func (p Packets) ChangeDeadline() time.Duration { return min(p.ConfigDeadline(), p.TargetDeadline()) }
