package balancer

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

// checkNewFlow checks the delivery of a packet that belongs to no flow: the
// process that accepted it must serve the service that owns the address in the
// process's own revision.
func checkNewFlow(p *agentProcess, published netip.AddrPort) error {
	if p == nil {
		return nil
	}
	owner, ok := p.snapshot.Load().ServiceByAddress(published)
	if !ok || owner.Number() != p.service {
		return fmt.Errorf("target %d of service %d got a new flow of %s", p.target, p.service, published)
	}
	return nil
}

// checkEstablished checks the delivery of a packet of a flow: only the process
// that issued its mark may accept it, or for a long header a later process of the
// same target and service. While the first one runs, the packet must be accepted
// if the balancer's table has the target under the service of the mark and the
// published address of the flow.
func (m *isolationModel) checkEstablished(b *Balancer, f flow, isLong bool, got *agentProcess) error {
	current := m.agents[f.holder.target-1]
	switch {
	case got != nil && got.service != f.holder.service:
		return fmt.Errorf("a packet of service %d reached target %d of service %d", f.holder.service, got.target, got.service)
	case got != nil && got.target != f.holder.target:
		return fmt.Errorf("a packet of target %d reached target %d", f.holder.target, got.target)
	case got != nil && got != f.holder && !isLong:
		return fmt.Errorf("a packet of incarnation %d reached incarnation %d", f.holder.incarnation, got.incarnation)
	case got != nil:
		return nil
	}
	table := b.table.Load()
	row := table.targets[f.holder.target]
	if current == f.holder && row != nil && row.service == f.holder.service && table.addresses[f.published] != nil {
		return fmt.Errorf("the flow of target %d at %s broke", f.holder.target, f.published)
	}
	return nil
}

func (m *isolationModel) establish(p *agentProcess, published netip.AddrPort) {
	m.nonce++
	m.flows = append(m.flows, flow{p, published, m.marks.Encode(nil,
		marker.NewMark(p.target, p.incarnation, p.service, m.nonce))})
}

// send routes a packet with a balancer and delivers it to the selected agent. It
// returns the process that accepted it, or nil.
func (m *isolationModel) send(from *endpoint, b *Balancer, published netip.AddrPort, packet []byte) *agentProcess {
	at, datagram, ok := m.route(b, published, packet)
	if !ok {
		return nil
	}
	m.captured = append(m.captured, datagram)
	p := m.deliver(from, at, datagram)
	if p != nil {
		m.deliveredCount++
	}
	return p
}

// attack sends a datagram as an attacker or a faulty balancer may send it.
func (m *isolationModel) attack(from *endpoint, s isolationStep) error {
	victim := m.agents[s.b%isolationTargets]
	at := victim.listener.Address()
	published := isolationAddresses[s.c%3]
	switch s.a % 4 {
	case 0: // a captured datagram, replayed to an agent
		if len(m.captured) == 0 {
			return nil
		}
		datagram := m.captured[s.c%len(m.captured)]
		h, packet, err := m.codec.Decode(append([]byte(nil), datagram...))
		if err != nil {
			return err
		}
		got := m.deliver(from, at, datagram)
		if got == nil {
			return nil
		}
		if mark, ok := m.marks.Decode(packet[1 : 1+marker.Size]); ok && packet[0]&longHeaderBit == 0 {
			if got.target != mark.Target() || got.service != mark.Service() {
				return fmt.Errorf("a replayed packet of target %d reached target %d", mark.Target(), got.target)
			}
			return nil
		}
		return checkNewFlow(got, h.Destination)
	case 1: // a tunnel header with a wrong MAC
		datagram := m.codec.Encode(nil, tunneler.Header{
			Source: published, Destination: published, Service: victim.service,
		}, m.packet(nil, true))
		datagram[28+s.c]++
		if got := m.deliver(from, at, datagram); got != nil {
			return fmt.Errorf("target %d accepted a forged tunnel header", got.target)
		}
	case 2: // a header that names the victim's service, with the mark of another one
		foreign := m.marks.Encode(nil, marker.NewMark(victim.target, victim.incarnation, victim.service^15, m.nonce))
		got := m.deliver(from, at, m.codec.Encode(nil, tunneler.Header{
			Source: published, Destination: published, Service: victim.service,
		}, m.packet(foreign, false)))
		if got != nil {
			return fmt.Errorf("target %d accepted a mark of another service", got.target)
		}
	case 3: // too many hops
		got := m.deliver(from, at, m.codec.Encode(nil, tunneler.Header{
			Source: published, Destination: published, Service: victim.service, Hops: 3,
		}, m.packet(nil, true)))
		if got != nil && m.agentCheck == listenerCheck {
			return fmt.Errorf("target %d accepted a flow beyond the hop limit", got.target)
		}
	}
	return nil
}

func (m *isolationModel) step(from *endpoint, s isolationStep) error {
	b, p := m.balancers[s.a%len(m.balancers)], m.agents[s.b%isolationTargets]
	published := isolationAddresses[s.c%3]
	switch s.kind {
	case 0, 1, 2, 3: // a new flow
		if got := m.send(from, b, published, m.packet(nil, true)); got != nil {
			if err := checkNewFlow(got, published); err != nil {
				return err
			}
			m.establish(got, published)
		}
	case 4, 5, 6, 7: // a packet of a flow, through any balancer
		if len(m.flows) == 0 {
			return nil
		}
		f, isLong := m.flows[s.c%len(m.flows)], s.b%4 == 0
		if owner, ok := m.latest().ServiceByAddress(f.published); ok && owner.Number() != f.holder.service {
			m.movedFlowPackets++
		}
		return m.checkEstablished(b, f, isLong, m.send(from, b, f.published, m.packet(f.id, isLong)))
	case 8: // a packet with a forged mark is treated as unmarked
		id := m.packet(nil, true)[:marker.Size]
		id[2] ^= byte(m.nonce)
		if got := m.send(from, b, published, m.packet(id, s.b%2 == 0)); got != nil {
			return checkNewFlow(got, published)
		}
	case 9, 10:
		return m.attack(from, s)
	case 11:
		m.moveAddress(s.c % 3)
	case 12:
		m.moveTarget(s.b % isolationTargets)
	case 13: // a balancer gets any later revision
		if later := m.revisions[(s.b*12+s.c)%len(m.revisions)]; later.Revision() > b.table.Load().revision {
			b.table.Store(b.buildTable(later, time.Now()))
		}
	case 14:
		if later := m.revisions[(s.a*12+s.c)%len(m.revisions)]; later.Revision() > p.snapshot.Load().Revision() {
			p.snapshot.Store(later)
		}
	case 15:
		p.listener.SetDraining(s.c%2 == 0)
	case 16:
		for name, n := range p.listener.Counters() {
			m.listenerCounters[name] += n
		}
		m.restartAgent(s.b % isolationTargets)
	}
	return nil
}

func (m *isolationModel) play(from *endpoint, script []isolationStep) error {
	defer m.close()
	for n, s := range script {
		if err := m.step(from, s); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
	}
	for _, p := range m.agents {
		for name, n := range p.listener.Counters() {
			m.listenerCounters[name] += n
		}
	}
	return nil
}

func newIsolationTLS(t *testing.T) *tls.Config {
	config, err := issuer.NewTLS("a.example")
	if err != nil {
		t.Fatal(err)
	}
	config.NextProtos = []string{"t"}
	return config
}

// TestServiceIsolation checks guarantee 2: no packet of one service reaches
// another service and no flow breaks while addresses and targets are moved between
// services, processes have different revisions, and marks and tunnel headers are
// forged and replayed.
func TestServiceIsolation(t *testing.T) {
	config, from := newIsolationTLS(t), newEndpoint(t)
	seen, delivered, moved := map[string]uint64{}, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newIsolationModel(listenerCheck, config)
		if err := m.play(from, isolationScripts().Draw(t, "script")); err != nil {
			t.Fatal(err)
		}
		for name, n := range m.listenerCounters {
			seen[name] += n
		}
		delivered, moved = delivered+m.deliveredCount, moved+m.movedFlowPackets
	})
	t.Logf("delivered %d, packets of flows whose address had moved %d, results %v", delivered, moved, seen)
	is := is.New(t)
	is.True(moved > 0)
	for _, name := range []string{
		"accepted", "forwarded", "reset", "drop_tunnel_invalid", "drop_service", "drop_address",
		"drop_hops", "drop_mark_service", "drop_mark_target",
	} {
		is.True(seen[name] > 0) // the scripts must cover this case
	}
}

// TestNaiveIsolation checks that TestServiceIsolation can fail: agents that trust
// the balancer, or that check the address but no marks, violate its property on
// scripts without attacks, on which the check of internal/listener holds it.
func TestNaiveIsolation(t *testing.T) {
	config, from := newIsolationTLS(t), newEndpoint(t)
	for name, check := range map[string]agentCheck{
		"trust the tunnel header":        trustTunnel,
		"trust the balancer's table":     trustService,
		"check the address but no marks": trustAddress,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const scripts = 30
			detected := 0
			for seed := range scripts {
				script := slices.DeleteFunc(isolationScripts().Example(seed), func(s isolationStep) bool {
					return s.kind == 9 || s.kind == 10
				})
				is.NoErr(newIsolationModel(listenerCheck, config).play(from, script))
				if newIsolationModel(check, config).play(from, script) != nil {
					detected++
				}
			}
			t.Logf("detected in %d of %d scripts", detected, scripts)
			is.True(detected > 0)
		})
	}
}
