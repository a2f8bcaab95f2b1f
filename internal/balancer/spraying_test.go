package balancer

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/marker"
	"kingcupvalve.example/kingcupvalve/selector"
)

// simulatedBalancer is a balancer in the simulation of packet spraying. Its
// receive method returns the target of a packet, or 0 for a drop.
type simulatedBalancer interface {
	receive(caller uint32, packet []byte) uint32
	replaceTargets(targets []uint32)
}

// flowTableBalancer keeps a table of flows by caller address, as balancers for TCP
// do. New flows are hashed, so that all balancers select the same target.
type flowTableBalancer struct {
	flows map[uint32]uint32
	table *selector.Table
}

func (b *flowTableBalancer) receive(caller uint32, _ []byte) uint32 {
	if target, ok := b.flows[caller]; ok {
		return target
	}
	target, _ := b.table.Select(binary.BigEndian.AppendUint32(nil, caller))
	b.flows[caller] = target
	return target
}

func (b *flowTableBalancer) replaceTargets(targets []uint32) {
	var entries []selector.Entry
	for _, t := range targets {
		entries = append(entries, selector.NewEntry(t, 100))
	}
	b.table = selector.NewTable(0, entries)
}

// statelessBalancer is the Balancer of this package without its sockets.
type statelessBalancer struct {
	balancer *Balancer
	fleet    *fleet
	router   router
}

func (s *statelessBalancer) receive(_ uint32, packet []byte) uint32 {
	t := s.balancer.table.Load()
	to, _, _ := s.router.route(t, t.addresses[cutlistAddress], packet)
	if to == nil {
		return 0
	}
	return to.number
}

func (s *statelessBalancer) replaceTargets(targets []uint32) {
	s.fleet.spec.Services[0].Targets = nil
	for _, n := range targets {
		s.fleet.spec.Services[0].Targets = append(s.fleet.spec.Services[0].Targets, cataloger.TargetSpec{
			Name: "t", Number: n, TunnelAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:1",
		})
	}
	s.fleet.publish()
	s.balancer.table.Store(s.balancer.buildTable(s.fleet.snapshot.Load(), s.balancer.options.Detector.Epoch))
}

// countBroken sends the packets of flows through balancers chosen at random while
// the targets change. It returns the number of flows of which a packet did not
// reach the target that holds the connection.
func countBroken(t *testing.T, balancers []simulatedBalancer) int {
	t.Helper()
	const flows, packets = 500, 20
	random := rand.New(rand.NewPCG(4, 12))
	marks := newMarker()
	replace := func(targets ...uint32) {
		for _, b := range balancers {
			b.replaceTargets(targets)
		}
	}
	send := func(flow uint32, packet []byte) uint32 {
		return balancers[random.IntN(len(balancers))].receive(flow, packet)
	}
	replace(1, 2, 3)
	holders := make([]uint32, flows)
	for i := range holders {
		id := binary.BigEndian.AppendUint64(nil, random.Uint64())
		// A ClientHello with post-quantum keys takes two datagrams.
		holders[i] = send(uint32(i), longPacket(id, 1200))
		if send(uint32(i), longPacket(id, 1200)) != holders[i] {
			t.Fatal("the datagrams of one handshake reached two targets")
		}
	}
	broken := make(map[int]bool)
	for n := range packets {
		switch n {
		case 5:
			replace(1, 2, 3, 4)
		case 10:
			replace(1, 3, 4)
		}
		for i, holder := range holders {
			packet := shortPacket(marks.Encode(nil, marker.NewMark(holder, 1, cutlistNumber, random.Uint32())))
			if send(uint32(i), packet) != holder {
				broken[i] = true
			}
		}
	}
	return len(broken)
}

// TestSpraying checks that stateless routing keeps flows intact when the fabric
// sprays packets over balancers and targets change, and that the simulation breaks
// flows if each balancer keeps its own flow table.
func TestSpraying(t *testing.T) {
	t.Run("balancers with a flow table break flows", func(t *testing.T) {
		is := is.New(t)
		var balancers []simulatedBalancer
		for range 8 {
			balancers = append(balancers, &flowTableBalancer{flows: make(map[uint32]uint32)})
		}
		broken := countBroken(t, balancers)
		t.Logf("flows broken with flow tables: %d of 500", broken)
		is.True(broken > 0)
	})
	t.Run("balancers that read marks break none", func(t *testing.T) {
		is := is.New(t)
		var balancers []simulatedBalancer
		for range 8 {
			f := newFleet(newEndpoint(t))
			b := newIdleBalancer(t, newOptions(f))
			balancers = append(balancers, &statelessBalancer{balancer: b, fleet: f, router: router{decoder: b.marker.NewDecoder()}})
		}
		is.Equal(countBroken(t, balancers), 0)
	})
}
