package parser

import (
	"cmp"
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

	EvacuationDeadline time.Duration `yaml:"evacuation_deadline"`
	FlowLifetime       time.Duration `yaml:"flow_lifetime"`
	LinkMbps           float64       `yaml:"link_mbps"`
	ColdFactor         float64       `yaml:"cold_factor"`
	ColdAllowance      float64       `yaml:"cold_allowance"`

	Placement string `yaml:"placement"`
	Admission string `yaml:"admission"`
}

// Values of packets.placement.
const (
	// PlacementServiceTime compares targets by the time that their requests take.
	PlacementServiceTime = "service_time"
	// PlacementExpectedWork compares targets by the expected time to an answer.
	PlacementExpectedWork = "expected_work"
)

// Placements has the accepted values of packets.placement.
var Placements = []string{PlacementServiceTime, PlacementExpectedWork}

// DefaultChangeDeadline is the default time within which a change must take
// effect.
const DefaultChangeDeadline = 3 * time.Second

// Defaults of the settings of packet flows.
const (
	// DefaultFlowLifetime is the age at which a flow may be ended.
	DefaultFlowLifetime = time.Minute
	// DefaultColdFactor leaves no room above the rate that the configuration states for
	// cold targets.
	DefaultColdFactor = 1.0
)

// Values of the setting packets.admission.
const (
	// AdmissionSlots accepts new flows by the slots of the target alone.
	AdmissionSlots = "slots"
	// AdmissionPriority accepts new flows by the priority of their route, too.
	AdmissionPriority = "priority"
)

// Admissions has the values of the setting packets.admission.
var Admissions = []string{AdmissionSlots, AdmissionPriority}

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

// EvacuationDeadline returns the time after which the targets of an evacuated
// availability zone must receive no new flows.
func (p Packets) EvacuationDeadline() time.Duration {
	return withDefault(p.document.EvacuationDeadline, p.TargetDeadline())
}

// ChangeDeadline returns the time within which every change must take effect,
// the shortest of the three deadlines.
func (p Packets) ChangeDeadline() time.Duration {
	return min(p.ConfigDeadline(), p.TargetDeadline(), p.EvacuationDeadline())
}

// FlowLifetime returns the age at which a flow may be ended.
func (p Packets) FlowLifetime() time.Duration {
	return withDefault(p.document.FlowLifetime, DefaultFlowLifetime)
}

// ColdFactor returns the factor by which the opening packets that a cold target gets
// in a second may exceed the rate in the configuration.
func (p Packets) ColdFactor() float64 { return cmp.Or(p.document.ColdFactor, DefaultColdFactor) }

// ColdAllowance returns the number of opening packets that a cold target may get in a
// second in addition.
func (p Packets) ColdAllowance() float64 { return p.document.ColdAllowance }

// LinkBytesPerSecond returns the rate of the network link of the process, or 0 if the
// file doesn't state it.
func (p Packets) LinkBytesPerSecond() float64 { return p.document.LinkMbps * 1e6 / 8 }

// Placement returns how balancers compare the targets of new flows.
func (p Packets) Placement() string { return cmp.Or(p.document.Placement, PlacementServiceTime) }

// Admission returns by what an agent accepts new flows.
func (p Packets) Admission() string { return cmp.Or(p.document.Admission, AdmissionSlots) }
