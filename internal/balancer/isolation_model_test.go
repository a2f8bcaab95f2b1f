package balancer

import (
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/listener"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

// agentCheck selects how agents decide whether to accept a datagram from a
// balancer.
type agentCheck uint8

const (
	// listenerCheck is the check of internal/listener.
	listenerCheck agentCheck = iota
	// trustTunnel accepts every datagram with a valid tunnel header.
	trustTunnel
	// trustService accepts every datagram whose header names the agent's
	// service.
	trustService
	// trustAddress accepts every datagram whose published address belongs to
	// the agent's service in the agent's own table, ignoring marks.
	trustAddress
)

const isolationTargets = 4

var isolationAddresses = []netip.AddrPort{
	cutlistAddress, archiveAddress, netip.MustParseAddrPort("198.18.0.3:443"),
}

// agentProcess is one run of an agent, which serves a single service.
type agentProcess struct {
	target      uint32
	service     uint16
	incarnation uint64
	snapshot    atomic.Pointer[cataloger.Snapshot]
	listener    *listener.Listener
	quic        *quic.Listener
}

// flow is an established flow: the process that holds the connection, and the
// connection ID with its mark.
type flow struct {
	holder    *agentProcess
	published netip.AddrPort
	id        []byte
}

// isolationModel is a fleet of balancers and agents that each have their own
// revision of a configuration in which addresses and targets are moved between
// services.
type isolationModel struct {
	agentCheck       agentCheck
	tls              *tls.Config
	marks            *marker.Marker
	codec            *tunneler.Codec
	spec             cataloger.FleetSpec
	revisions        []*cataloger.Snapshot
	balancers        []*Balancer
	agents           []*agentProcess // indexed by target number - 1
	flows            []flow
	captured         [][]byte // tunnel datagrams that were sent to agents
	nonce            uint32
	deliveredCount   int
	movedFlowPackets int
	listenerCounters map[string]uint64
}

// isolationStep is one action of a script: kind selects the action, a, b and c
// select what it is applied to.
type isolationStep struct{ kind, a, b, c int }

func isolationScripts() *rapid.Generator[[]isolationStep] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) isolationStep {
		draw := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		return isolationStep{draw("kind", 17), draw("a", 12), draw("b", 12), draw("c", 12)}
	}), 20, 80)
}

func newIsolationModel(check agentCheck, config *tls.Config) *isolationModel {
	m := &isolationModel{
		agentCheck: check, tls: config, marks: newMarker(), codec: must(tunneler.NewCodec(newRing())),
		listenerCounters: make(map[string]uint64),
	}
	m.spec = newFleet().spec
	m.spec.Services[0].Addresses = append(m.spec.Services[0].Addresses, isolationAddresses[2].String())
	m.publish()
	for n := range isolationTargets {
		p := &agentProcess{target: uint32(n + 1), service: cutlistNumber, incarnation: 1}
		if n >= isolationTargets/2 {
			p.service = archiveNumber
		}
		m.agents = append(m.agents, p)
		m.startAgent(p, netip.MustParseAddrPort("127.0.0.1:0"))
		s := &m.spec.Services[p.service-cutlistNumber]
		s.Targets = append(s.Targets, cataloger.TargetSpec{
			Name: fmt.Sprint("t", p.target), Number: p.target,
			TunnelAddress: p.listener.Address().String(), ControlAddress: "127.0.0.1:1",
		})
	}
	m.publish()
	for range 3 {
		f := &fleet{}
		f.snapshot.Store(m.latest())
		o := newOptions(f)
		o.SocketsPerAddress = 1
		m.balancers = append(m.balancers, must(NewBalancer(o)))
	}
	for _, p := range m.agents {
		p.snapshot.Store(m.latest())
	}
	return m
}

func (m *isolationModel) latest() *cataloger.Snapshot { return m.revisions[len(m.revisions)-1] }

func (m *isolationModel) publish() {
	m.spec.Revision++
	m.revisions = append(m.revisions, must(cataloger.NewSnapshot(m.spec, nil)))
}

func (m *isolationModel) startAgent(p *agentProcess, at netip.AddrPort) {
	p.snapshot.Store(m.latest())
	p.listener = must(listener.NewListener(listener.Options{
		Address: at, Target: p.target, Incarnation: p.incarnation, Service: p.service,
		Ring: newRing(), Snapshot: p.snapshot.Load, Logger: zerolog.Nop(),
	}))
	p.quic = must(p.listener.Listen(m.tls, &quic.Config{}))
}

func (p *agentProcess) stop() {
	_ = p.quic.Close()
	_ = p.listener.Close()
}

func (m *isolationModel) close() {
	for _, p := range m.agents {
		p.stop()
	}
	for _, b := range m.balancers {
		b.closeTunnelConns()
		for _, conns := range b.publishedConns {
			closeAll(conns)
		}
	}
}

// restartAgent replaces the process of a target. The new process serves the
// service that the target has in the newest revision.
func (m *isolationModel) restartAgent(n int) {
	old := m.agents[n]
	at := old.listener.Address()
	old.stop()
	p := &agentProcess{target: old.target, service: old.service, incarnation: old.incarnation + 1}
	if t, ok := m.latest().TargetByNumber(p.target); ok {
		p.service = t.Service()
	}
	m.agents[n] = p
	m.startAgent(p, at)
}

// moveAddress and moveTarget move an entry to the other service.
func (m *isolationModel) moveAddress(n int) {
	moveEntry(&m.spec.Services[0].Addresses, &m.spec.Services[1].Addresses,
		func(s string) bool { return s == isolationAddresses[n].String() })
	m.publish()
}

func (m *isolationModel) moveTarget(n int) {
	moveEntry(&m.spec.Services[0].Targets, &m.spec.Services[1].Targets,
		func(t cataloger.TargetSpec) bool { return t.Number == uint32(n+1) })
	m.publish()
}

func moveEntry[T any](a, b *[]T, matches func(T) bool) {
	from, to := a, b
	i := slices.IndexFunc(*from, matches)
	if i < 0 {
		from, to = b, a
		i = slices.IndexFunc(*from, matches)
	}
	// Copies the slices, since snapshots may refer to the old ones.
	entry := (*from)[i]
	*from, *to = slices.Delete(slices.Clone(*from), i, i+1), append(slices.Clone(*to), entry)
}

// packet returns a packet that the QUIC server ignores, with a new connection ID
// unless one is given. The check of the agent reads only the version-independent
// header.
func (m *isolationModel) packet(id []byte, isLong bool) []byte {
	m.nonce++
	if id == nil {
		id = binary.BigEndian.AppendUint64(nil, uint64(m.nonce)*0x9e3779b97f4a7c15)
	}
	if !isLong {
		return shortPacket(id)
	}
	b := longPacket(id, minInitialSize)
	b[0] = 0xe0 // a Handshake packet of an unknown connection
	return b
}

// route routes a packet with the table of a balancer. It returns the agent's
// address and the tunnel datagram, or false if the packet was dropped.
func (m *isolationModel) route(b *Balancer, published netip.AddrPort, packet []byte) (netip.AddrPort, []byte, bool) {
	t := b.table.Load()
	a := t.addresses[published]
	if a == nil {
		return netip.AddrPort{}, nil, false
	}
	r := router{decoder: b.marker.NewDecoder()}
	to, flags, _ := r.route(t, a, packet)
	if to == nil {
		return netip.AddrPort{}, nil, false
	}
	return to.address, m.codec.Encode(nil, tunneler.Header{
		Source: netip.MustParseAddrPort("127.0.0.1:9"), Destination: published, Service: to.service,
		Revision: t.revision, Flags: flags,
	}, packet), true
}

// deliver sends a tunnel datagram to the agent at an address and returns the
// process that accepted the packet, or nil.
func (m *isolationModel) deliver(from *endpoint, at netip.AddrPort, datagram []byte) *agentProcess {
	if m.agentCheck == listenerCheck {
		return m.deliverToListener(from, at, datagram)
	}
	h, _, err := m.codec.Decode(slices.Clone(datagram))
	if err != nil {
		return nil
	}
	for _, p := range m.agents {
		if p.listener.Address() != at {
			continue
		}
		owner, ok := p.snapshot.Load().ServiceByAddress(h.Destination)
		switch {
		case m.agentCheck == trustTunnel,
			m.agentCheck == trustService && h.Service == p.service,
			m.agentCheck == trustAddress && ok && owner.Number() == p.service:
			return p
		}
	}
	return nil
}

// countDecisions returns the number of datagrams that the agent has accepted,
// reset or dropped, and the number of accepted ones. Datagrams that it forwarded
// to another agent or that its QUIC server sent don't count.
func (p *agentProcess) countDecisions() (decided, accepted uint64) {
	for name, n := range p.listener.Counters() {
		switch name {
		case "accepted":
			accepted = n
		case "sent", "forwarded", "drop_no_balancer", "drop_write":
			continue
		}
		decided += n
	}
	return decided, accepted
}

func (m *isolationModel) deliverToListener(from *endpoint, at netip.AddrPort, datagram []byte) *agentProcess {
	sum := func() (decided uint64) {
		for _, p := range m.agents {
			n, _ := p.countDecisions()
			decided += n
		}
		return decided
	}
	accepted := make([]uint64, len(m.agents))
	for i, p := range m.agents {
		_, accepted[i] = p.countDecisions()
	}
	before := sum()
	from.send(at, datagram)
	for deadline := time.Now().Add(testTimeout); sum() == before; time.Sleep(20 * time.Microsecond) {
		if time.Now().After(deadline) {
			from.t.Fatal("no agent accepted or dropped a datagram")
		}
	}
	for i, p := range m.agents {
		if _, n := p.countDecisions(); n > accepted[i] {
			return p
		}
	}
	return nil
}
