package balancer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"kingcupvalve.example/kingcupvalve/detector"
	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/selector"
)

// target is one row of the target table.
type target struct {
	number   uint32
	name     string
	service  uint16
	address  netip.AddrPort
	sockaddr batcher.Sockaddr
	leaving  bool
	// retired marks a target that was removed from the configuration. It still
	// receives the packets of its flows, but no new flows.
	retired bool
	weight  uint16
	state   *targetState
}

// targetState is what a balancer has observed about a target. It is shared by
// successive tables.
type targetState struct {
	peer        *detector.Peer
	incarnation atomic.Uint64
	draining    atomic.Bool
	retiredAt   time.Time
}

// recordHeader records a header that the target sent. Draining stays set until
// the target has a higher incarnation, so that delayed datagrams cannot reset it.
func (s *targetState) recordHeader(now time.Time, incarnation uint64, draining bool) {
	s.peer.RecordReceived(now)
	known := s.incarnation.Load()
	if incarnation < known {
		return
	}
	if incarnation > known && s.incarnation.CompareAndSwap(known, incarnation) {
		s.draining.Store(draining)
		return
	}
	if draining && !s.draining.Load() {
		s.draining.Store(true)
	}
}

// isUp reports whether the detector considers the target up.
func (t *target) isUp() bool { return !t.state.peer.IsDown() }

// acceptsNewFlows reports whether the target may receive new flows.
func (t *target) acceptsNewFlows() bool {
	return !t.leaving && !t.retired && !t.state.draining.Load()
}

// service is one row of the service table.
type service struct {
	number  uint16
	targets *selector.Table
}

// address is a published address with its sockets.
type address struct {
	published netip.AddrPort
	service   *service
	conns     []*batcher.Conn
}

// table is an immutable routing table that forwarding goroutines read.
type table struct {
	revision  uint64
	addresses map[netip.AddrPort]*address
	services  map[uint16]*service
	targets   map[uint32]*target
	// sources maps tunnel addresses to targets.
	sources map[netip.AddrPort]*target
	// balancers are the tunnel addresses of the other balancers.
	balancers []netip.AddrPort
}

// buildTable builds the table of a snapshot. Targets of the previous table that
// are missing in the snapshot are kept as retired for RetiredLifetime, so that
// their flows can end.
func (b *Balancer) buildTable(s *cataloger.Snapshot, now time.Time) *table {
	previous := b.table.Load()
	t := &table{
		revision:  s.Revision(),
		addresses: make(map[netip.AddrPort]*address),
		services:  make(map[uint16]*service),
		targets:   make(map[uint32]*target),
		sources:   make(map[netip.AddrPort]*target),
	}
	for _, sv := range s.Services() {
		for _, c := range sv.Targets() {
			row := b.newTarget(c)
			t.targets[row.number] = row
			t.sources[row.address] = row
		}
	}
	for n, old := range previous.targets {
		if t.targets[n] != nil {
			continue
		}
		if old.state.retiredAt.IsZero() {
			old.state.retiredAt = now
		}
		if now.Sub(old.state.retiredAt) < b.options.RetiredLifetime {
			row := *old
			row.retired = true
			t.targets[n] = &row
			if t.sources[row.address] == nil {
				t.sources[row.address] = &row
			}
		}
	}
	b.trackTargets(t)
	for _, h := range s.Balancers() {
		if h.TunnelAddress().IsValid() && h.TunnelAddress() != b.TunnelAddress() {
			t.balancers = append(t.balancers, h.TunnelAddress())
		}
	}
	for _, sv := range s.Services() {
		row := &service{number: sv.Number(), targets: newSelectorTable(s.Revision(), sv)}
		t.services[row.number] = row
		for _, a := range sv.Addresses() {
			t.addresses[a] = &address{published: a, service: row}
		}
	}
	return t
}

func newSelectorTable(revision uint64, s *cataloger.Service) *selector.Table {
	var entries []selector.Entry
	for _, c := range s.Targets() {
		entries = append(entries, selector.NewEntry(c.Number(), uint16(c.Policy().Weight)))
	}
	return selector.NewTable(revision, entries)
}

func (b *Balancer) newTarget(c *cataloger.Target) *target {
	state := b.targetStates[c.Number()]
	if state == nil {
		state = &targetState{}
		b.targetStates[c.Number()] = state
	}
	state.retiredAt = time.Time{}
	return &target{
		number: c.Number(), name: c.Name(), service: c.Service(), address: c.TunnelAddress(),
		sockaddr: batcher.NewSockaddr(c.TunnelAddress()), leaving: c.IsLeaving(),
		weight: uint16(c.Policy().Weight), state: state,
	}
}

// trackTargets updates the detector and the state map to contain exactly the
// targets of a table.
func (b *Balancer) trackTargets(t *table) {
	numbers := make([]uint32, 0, len(t.targets))
	for n := range t.targets {
		numbers = append(numbers, n)
	}
	b.detector.SetTargets(numbers)
	for n, row := range t.targets {
		if row.state.peer == nil {
			row.state.peer = b.detector.Peer(n)
		}
	}
	for n := range b.targetStates {
		if t.targets[n] == nil {
			delete(b.targetStates, n)
		}
	}
}
