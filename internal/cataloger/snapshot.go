package cataloger

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Target states in the fleet document.
const (
	TargetServing = "serving"
	TargetLeaving = "leaving"
)

// Host roles and states in the host list.
const (
	RoleBalancer = "balancer"
	RoleAgent    = "agent"
	HostLive     = "live"
	HostLeaving  = "leaving"
	HostRemoved  = "removed"
)

// Target is one row of the target table.
type Target struct {
	name             string
	number           uint32
	service          uint16
	host             string
	availabilityZone string
	tunnelAddress    netip.AddrPort
	controlAddress   netip.AddrPort
	leaving          bool
	policy           PolicySpec
}

// Name returns the name of the target within its service.
func (t *Target) Name() string { return t.name }

// Number returns the fleet-wide number of the target.
func (t *Target) Number() uint32 { return t.number }

// Service returns the number of the target's service.
func (t *Target) Service() uint16 { return t.service }

// Host returns the name of the backend server's host.
func (t *Target) Host() string { return t.host }

// AvailabilityZone returns the availability zone of the host.
func (t *Target) AvailabilityZone() string { return t.availabilityZone }

// TunnelAddress returns the UDP address of the agent.
func (t *Target) TunnelAddress() netip.AddrPort { return t.tunnelAddress }

// ControlAddress returns the TCP address of the agent's peer sessions.
func (t *Target) ControlAddress() netip.AddrPort { return t.controlAddress }

// IsLeaving reports whether the fleet document marks the target as leaving.
func (t *Target) IsLeaving() bool { return t.leaving }

// Policy returns the policy of the target after defaults and exceptions.
func (t *Target) Policy() PolicySpec { return t.policy }

// Service is one row of the service table.
type Service struct {
	name      string
	number    uint16
	names     []string
	addresses []netip.AddrPort
	targets   []*Target
	policy    PolicySpec
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Number returns the fleet-wide number of the service.
func (s *Service) Number() uint16 { return s.number }

// Addresses returns the published addresses. The caller must not change them.
func (s *Service) Addresses() []netip.AddrPort { return s.addresses }

// Targets returns the targets in document order. The caller must not change them.
func (s *Service) Targets() []*Target { return s.targets }

// Policy returns the policy of the service after defaults and exceptions.
func (s *Service) Policy() PolicySpec { return s.policy }

// HasName reports whether a request authority, with or without a port, names
// the service. Host names are case-insensitive (RFC 9110, section 4.2.3).
func (s *Service) HasName(authority string) bool {
	host := authority
	if i := strings.LastIndexByte(authority, ':'); i >= 0 && !strings.HasSuffix(authority, "]") {
		host = authority[:i]
	}
	return slices.ContainsFunc(s.names, func(n string) bool { return strings.EqualFold(n, host) })
}

// Host is one row of the host table.
type Host struct {
	name             string
	role             string
	availabilityZone string
	state            string
	controlAddress   netip.AddrPort
	tunnelAddress    netip.AddrPort
}

// Name returns the name of the host.
func (h *Host) Name() string { return h.name }

// Role returns balancer or agent.
func (h *Host) Role() string { return h.role }

// AvailabilityZone returns the availability zone of the host.
func (h *Host) AvailabilityZone() string { return h.availabilityZone }

// State returns live or leaving.
func (h *Host) State() string { return h.state }

// ControlAddress returns the TCP address of the host's peer sessions.
func (h *Host) ControlAddress() netip.AddrPort { return h.controlAddress }

// TunnelAddress returns the UDP address of the host's tunnel.
func (h *Host) TunnelAddress() netip.AddrPort { return h.tunnelAddress }

// Snapshot is one immutable view of the fleet.
type Snapshot struct {
	revision         uint64
	services         []*Service
	hosts            []*Host
	serviceByName    map[string]*Service
	serviceByNumber  map[uint16]*Service
	serviceByAddress map[netip.AddrPort]*Service
	targetByNumber   map[uint32]*Target
}

// NewSnapshot builds a snapshot. The fleet document must have passed the
// validator. An address that does not parse, a duplicate name, number or
// address, and an exception with an unknown policy key are errors.
func NewSnapshot(fleet FleetSpec, hosts []HostSpec) (*Snapshot, error) {
	s := &Snapshot{
		revision:         fleet.Revision,
		serviceByName:    make(map[string]*Service, len(fleet.Services)),
		serviceByNumber:  make(map[uint16]*Service, len(fleet.Services)),
		serviceByAddress: make(map[netip.AddrPort]*Service, len(fleet.Services)),
		targetByNumber:   make(map[uint32]*Target),
	}
	for _, spec := range fleet.Services {
		if err := s.addService(fleet, spec); err != nil {
			return nil, merry.Prependf(err, "add service %s", spec.Name)
		}
	}
	for _, spec := range hosts {
		if err := s.addHost(spec); err != nil {
			return nil, merry.Prependf(err, "add host %s", spec.Name)
		}
	}
	return s, nil
}

// NewEmptySnapshot returns a snapshot of revision 0 without services or hosts.
func NewEmptySnapshot() *Snapshot {
	s, err := NewSnapshot(FleetSpec{}, nil)
	if err != nil {
		panic(err)
	}
	return s
}

func (s *Snapshot) addService(fleet FleetSpec, spec ServiceSpec) error {
	policy, err := ResolvePolicy(fleet, spec.Name, "")
	if err != nil {
		return err
	}
	service := &Service{name: spec.Name, number: spec.Number, names: slices.Clone(spec.Names), policy: policy}
	if s.serviceByName[spec.Name] != nil || s.serviceByNumber[spec.Number] != nil {
		return merry.Errorf("duplicate service name or number %d", spec.Number)
	}
	s.serviceByName[spec.Name] = service
	s.serviceByNumber[spec.Number] = service
	for _, text := range spec.Addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return merry.Prepend(err, "parse address")
		}
		if s.serviceByAddress[address] != nil {
			return merry.Errorf("duplicate address %s", address)
		}
		s.serviceByAddress[address] = service
		service.addresses = append(service.addresses, address)
	}
	for _, t := range spec.Targets {
		target, err := newTarget(fleet, spec, t)
		if err != nil {
			return merry.Prependf(err, "add target %s", t.Name)
		}
		if s.targetByNumber[target.number] != nil {
			return merry.Errorf("duplicate target number %d", target.number)
		}
		s.targetByNumber[target.number] = target
		service.targets = append(service.targets, target)
	}
	s.services = append(s.services, service)
	return nil
}

func newTarget(fleet FleetSpec, service ServiceSpec, spec TargetSpec) (*Target, error) {
	policy, err := ResolvePolicy(fleet, service.Name, spec.Name)
	if err != nil {
		return nil, err
	}
	tunnel, err := netip.ParseAddrPort(spec.TunnelAddress)
	if err != nil {
		return nil, merry.Prepend(err, "parse tunnel address")
	}
	control, err := netip.ParseAddrPort(spec.ControlAddress)
	if err != nil {
		return nil, merry.Prepend(err, "parse control address")
	}
	return &Target{
		name: spec.Name, number: spec.Number, service: service.Number, host: spec.Host,
		availabilityZone: spec.AvailabilityZone, tunnelAddress: tunnel, controlAddress: control,
		leaving: spec.State == TargetLeaving, policy: policy,
	}, nil
}

func (s *Snapshot) addHost(spec HostSpec) error {
	if spec.State == HostRemoved {
		return nil
	}
	control, err := netip.ParseAddrPort(spec.ControlAddress)
	if err != nil {
		return merry.Prepend(err, "parse control address")
	}
	var tunnel netip.AddrPort
	if spec.TunnelAddress != "" {
		if tunnel, err = netip.ParseAddrPort(spec.TunnelAddress); err != nil {
			return merry.Prepend(err, "parse tunnel address")
		}
	}
	s.hosts = append(s.hosts, &Host{
		name: spec.Name, role: spec.Role, availabilityZone: spec.AvailabilityZone,
		state: spec.State, controlAddress: control, tunnelAddress: tunnel,
	})
	return nil
}

// Revision returns the revision of the fleet document.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Services returns the service table. The caller must not change it.
func (s *Snapshot) Services() []*Service { return s.services }

// Hosts returns the host table. The caller must not change it.
func (s *Snapshot) Hosts() []*Host { return s.hosts }

// ServiceByName finds a service by its name.
func (s *Snapshot) ServiceByName(name string) (*Service, bool) {
	service, ok := s.serviceByName[name]
	return service, ok
}

// ServiceByNumber finds a service by its number.
func (s *Snapshot) ServiceByNumber(number uint16) (*Service, bool) {
	service, ok := s.serviceByNumber[number]
	return service, ok
}

// ServiceByAddress finds the service that owns a published address.
func (s *Snapshot) ServiceByAddress(address netip.AddrPort) (*Service, bool) {
	service, ok := s.serviceByAddress[address]
	return service, ok
}

// TargetByNumber finds a target by its number.
func (s *Snapshot) TargetByNumber(number uint32) (*Target, bool) {
	target, ok := s.targetByNumber[number]
	return target, ok
}

// Balancers returns the hosts with the balancer role that are live or leaving.
func (s *Snapshot) Balancers() []*Host {
	var balancers []*Host
	for _, h := range s.hosts {
		if h.role == RoleBalancer {
			balancers = append(balancers, h)
		}
	}
	return balancers
}
