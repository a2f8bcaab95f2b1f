package simulator

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// reorderTime is the time within which a copy of a packet has to reach the target of
// its flow (flowReorderMs of the platform).
const reorderTime = 2 * time.Second

// discoveryTime is the time in which processes get their first table and beacons.
const discoveryTime = 400 * time.Millisecond

// copyTimes are the times of a packet and of its retransmissions.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// hopFaults are the ways in which a hop of a search does not pass a packet on. A
// target that has restarted answers, but holds no flow of before.
var hopFaults = map[string]func(a *agent){
	"target silent":    func(a *agent) { a.target.stop() },
	"agent stopped":    func(a *agent) { a.stop() },
	"agent hears none": func(a *agent) { a.isDeaf = true },
	"agent sends none": func(a *agent) { a.isMute = true },
	"target restarted": func(a *agent) { a.target.start(0) },
}

// strayedFlow is an open flow whose packets reach balancers that do not know it.
type strayedFlow struct {
	*world
	flow    *flow
	holder  *agent
	request *request
}

// newStrayedFlow starts a service with the given number of targets, one of which
// holds a flow. The caller's port determines the order of the targets.
func newStrayedFlow(targets, balancers, port int, seed uint64) *strayedFlow {
	w := newWorld(Policy(), seed)
	w.zones, w.crossZone, w.callerDelay, w.lossRate = 2, 500*time.Microsecond, time.Millisecond, 0
	w.result = newResult(w.now, time.Minute)
	exactly := func(n int) Range { return Range{low: float64(n), high: float64(n)} }
	w.build(Deployment{
		Zones: exactly(2), Balancers: exactly(balancers),
		Services: []Service{{Name: "feeds", Targets: exactly(targets), Slots: exactly(2), Queue: exactly(4), Speeds: []Range{exactly(1)}}},
		Kinds:    []Kind{{Name: "feed", Service: "feeds", TailEvery: exactly(1), TailFactor: exactly(1), Work: exactly(1)}},
	})
	w.runUntil(w.now.Add(discoveryTime))
	holder := w.agents[w.random.IntN(targets)]
	f := &flow{
		world: w, published: w.kinds[0].published, isOpen: true, target: holder.target, sequence: 1000,
		caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), uint16(port)),
	}
	s := &strayedFlow{world: w, flow: f, holder: holder, request: &request{id: 1, kind: w.kinds[0]}}
	key := s.data().Key()
	holder.target.flows[key] = &targetFlow{flow: f, seen: make(map[uint64]bool)}
	opening := s.data().Packet
	opening.SYN, opening.Sequence, opening.Length = true, 999, 0
	holder.tracker.ObserveCallerPacket(key, opening, w.now)
	holder.tracker.ObserveTargetPacket(key, framer.Packet{SYN: true, ACK: true}, w.now)
	return s
}

// data returns the packet that the caller repeats.
func (s *strayedFlow) data() packet {
	return packet{flow: s.flow, request: s.request, Packet: framer.Packet{
		Source: s.flow.caller, Destination: s.flow.published, ACK: true, Sequence: 1000, AckNumber: 1, Length: 100,
	}}
}

// sendCopies sends the packet and its retransmissions, each to the balancer that via
// returns, until the target has the packet.
func (s *strayedFlow) sendCopies(via func(i int) *balancer) {
	for i, at := range copyTimes {
		s.after(at, func() {
			if !s.isDelivered() {
				via(i).receive(s.data())
			}
		})
	}
}

func (s *strayedFlow) isDelivered() bool { return s.request.runs > 0 }

// checkDelivered plays the time in which a copy has to arrive, and fails unless the target gets the packet in
// time, once, and the flow stays open.
func (s *strayedFlow) checkDelivered(t fataler) {
	t.Helper()
	s.runUntil(s.now.Add(reorderTime))
	switch {
	case s.flow.isClosed:
		t.Fatalf("the flow was reset, although its target lives")
	case !s.isDelivered():
		t.Fatalf("no copy of the packet reached the target of its flow within %v", reorderTime)
	case s.request.runs > 1:
		t.Fatalf("the request ran %d times", s.request.runs)
	}
}

// fataler is what *testing.T and *rapid.T have in common.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// forgetFailed takes the targets that do not answer from the tables of agents, which
// learn of a departure before the balancers do.
func (s *strayedFlow) forgetFailed() {
	for _, a := range s.agents {
		if a.table == nil {
			continue
		}
		var known []router.Target
		a.table.VisitTargets(func(_ uint32, target *router.Target) {
			if other := s.agentAt[target.Address.Addr()]; other.target.isUp && other.isUp {
				known = append(known, *target)
			}
		})
		route, _ := a.table.FindRoute(s.flow.published)
		a.table = router.NewTable(router.Config{Version: 1, Routes: []router.Route{*route}}, known, a.table.Position())
	}
}

// order returns the agents in the order in which a search visits their targets.
func (s *strayedFlow) order() []*agent {
	var agents []*agent
	table := s.balancers[0].table
	route, _ := table.FindRoute(s.flow.published)
	mark := framer.Mark{Progress: framer.StartProgress}
	all := func(_ uint32, _ *router.Target, pass framer.Pass) bool { return !pass.IsSecond() }
	for hop, ok := table.FindNextHop(route, s.data().Key(), mark, all); ok; hop, ok = table.FindNextHop(route, s.data().Key(), hop.Mark, all) {
		agents = append(agents, s.agentAt[hop.Target.Address.Addr()])
	}
	return agents
}

// TestHiddenTarget guards against open flows whose packets never reach their healthy
// target, because a hop before it in the order does not answer and each copy of the
// packet takes the same way (rule FLOW): after a balancer was added while a target
// had crashed, and while agents were stopped and started in turn.
func TestHiddenTarget(t *testing.T) {
	for name, fail := range hopFaults {
		for _, targets := range []int{2, 7, 20} {
			for position := range 4 {
				t.Run(fmt.Sprintf("%s, %d targets, position %d", name, targets, position), func(t *testing.T) {
					s := newStrayedFlow(targets, 2, 40_000+position, uint64(position))
					hops := s.order()
					if hop := hops[position*len(hops)/4]; hop != s.holder {
						fail(hop)
					}
					s.sendCopies(func(int) *balancer { return s.balancers[0] })
					s.checkDelivered(t)
				})
			}
		}
	}
	t.Run("any set of hops, through any balancers", rapid.MakeCheck(func(t *rapid.T) {
		targets := rapid.IntRange(1, 40).Draw(t, "targets")
		s := newStrayedFlow(targets, 2, rapid.IntRange(1024, 65_535).Draw(t, "port"), rapid.Uint64().Draw(t, "seed"))
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		for _, a := range s.agents {
			if a != s.holder && rapid.Float64Range(0, 1).Draw(t, "fails") < share {
				hopFaults[rapid.SampledFrom([]string{"target silent", "agent stopped", "agent hears none", "agent sends none", "target restarted"}).Draw(t, "fault")](a)
			}
		}
		if rapid.Bool().Draw(t, "agents forget targets") {
			s.forgetFailed()
		}
		if rapid.Bool().Draw(t, "holder's agent restarted") {
			s.holder.restart()
		}
		via := rapid.SliceOfN(rapid.IntRange(0, len(s.balancers)-1), len(copyTimes), len(copyTimes)).Draw(t, "balancers")
		s.sendCopies(func(i int) *balancer { return s.balancers[via[i]] })
		s.checkDelivered(t)
	}))
	// Guards against a hint that is never questioned: it names a target that does not
	// answer and does not hold the flow.
	for name, fail := range hopFaults {
		t.Run("a wrong hint, "+name, func(t *testing.T) {
			s := newStrayedFlow(7, 2, 40_000, 1)
			wrong := s.agents[0]
			if wrong == s.holder {
				wrong = s.agents[1]
			}
			number, _, _ := s.balancers[0].table.FindTargetAt(wrong.target.address)
			s.balancers[0].placer.AddHint(s.data().Key(), number)
			fail(wrong)
			s.sendCopies(func(int) *balancer { return s.balancers[0] })
			s.checkDelivered(t)
		})
	}
}

// BenchmarkStrayedPacket measures the packets that a balancer and agents send for a
// packet of an open flow that reaches a balancer without a hint, and the time until
// its target has it.
func BenchmarkStrayedPacket(b *testing.B) {
	for _, targets := range []int{10, 100} {
		for _, silent := range []int{0, 1, targets / 3} {
			b.Run(fmt.Sprintf("targets=%d/silent=%d", targets, silent), func(b *testing.B) {
				packets, delays, count := 0, time.Duration(0), 0
				for b.Loop() {
					s := newStrayedFlow(targets, 1, 1024+count%60_000, uint64(count))
					for _, a := range s.agents {
						if a != s.holder && silent > 0 && s.random.IntN(targets) < silent {
							a.target.stop()
						}
					}
					s.hops = 0
					begin := s.now
					s.balancers[0].receive(s.data())
					for !s.isDelivered() && s.now.Sub(begin) < reorderTime {
						s.runUntil(s.now.Add(time.Millisecond))
					}
					delays += s.now.Sub(begin)
					s.runUntil(begin.Add(reorderTime))
					packets += 1 + s.hops
					count++
				}
				b.ReportMetric(float64(packets)/float64(count), "packets/op")
				b.ReportMetric(float64(delays.Milliseconds())/float64(count), "delay-ms/op")
			})
		}
	}
}
