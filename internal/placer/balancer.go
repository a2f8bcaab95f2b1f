package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// Opening packets that were refused because of an evacuation: passed on by the agent of
// an evacuated target, or reset because no other zone has live targets.
var (
	evacuationsPassedOn = metrics.GetOrCreateCounter(`kingcupvalve_placer_evacuation_refusals_total{action="passed on"}`)
	evacuationsReset    = metrics.GetOrCreateCounter(`kingcupvalve_placer_evacuation_refusals_total{action="reset"}`)
)

// Placement is where a balancer sends a packet of a caller.
type Placement struct {
	router.Hop
	// IsSearch is set if the target may not hold the packet's flow. The agent whose
	// target holds it tells the balancer so.
	IsSearch bool
}

// Balancer places the packets of callers. It is safe for concurrent use.
type Balancer struct {
	chooser *chooser.Chooser
	hints   *hintCache
	zone    string
	expect  ExpectFunc
	probes  probeQueue
}

// ExpectFunc returns the expected time to an answer of a new flow of a route at a
// target, 0 if it is not known at that target, or false if it is at no target.
type ExpectFunc func(target uint32, route *router.Route) (time.Duration, bool)

// SetExpect has the balancer compare the targets of new flows by the expected time to
// an answer. Where nothing is known of a route, it compares them by service time.
func (b *Balancer) SetExpect(expect ExpectFunc) { b.expect = expect }

// NewBalancer returns a balancer without hints in an availability zone.
func NewBalancer(zone string, c *chooser.Chooser) (*Balancer, error) {
	hints, err := newHintCache()
	if err != nil {
		return nil, err
	}
	return &Balancer{chooser: c, hints: hints, zone: zone}, nil
}

// AddHint caches which target holds a flow.
func (b *Balancer) AddHint(flow uint64, target uint32) { b.hints.confirm(flow, target) }

// Place returns the target of a caller's packet, or false if there is none.
func (b *Balancer) Place(table *router.Table, route *router.Route, p framer.Packet) (Placement, bool) {
	key := p.Key()
	if p.SYN {
		hop, ok := b.placeNewFlow(table, route, key, p)
		if ok {
			b.hints.open(key, hop.Number, hop.Target.Address, p.Sequence)
		}
		return Placement{Hop: hop}, ok
	}
	if number, target, isDoubtful, ok := b.hints.find(key, table, p); ok && (target.State != router.Gone || !b.chooser.IsDown(number)) {
		return newPlacement(router.Hop{Number: number, Target: target, Mark: p.Mark}, p, isDoubtful), true
	}
	b.hints.remove(key)
	hop, ok := table.FindNextHop(route, key, p.Mark, b.chooser.AcceptOpenFlow())
	return newPlacement(hop, p, true), ok
}

// Refuses reports whether a new flow for which Place found no target can't be placed
// later either, because every zone with live targets of its service is evacuated. A
// table that was last known to be current too long ago proves nothing. A flow whose
// opening packet was sent to a target before may be open there, and a reset would
// break it.
func (b *Balancer) Refuses(table *router.Table, route *router.Route, p framer.Packet, age time.Duration) bool {
	key := p.Key()
	if _, wasSent := b.hints.findOpened(key, p.Sequence); !p.SYN || wasSent {
		return false
	}
	if !table.ProvesNoHolder(age) || !table.IsServiceEvacuated(route.SelectService(key), b.chooser.IsDown) {
		return false
	}
	evacuationsReset.Inc()
	return true
}

// newPlacement returns the placement of a packet of an open flow. An agent sends a
// hint for a packet with at least one hop. A caller's reset needs no answer.
func newPlacement(hop router.Hop, p framer.Packet, isSearch bool) Placement {
	if isSearch && !p.RST {
		hop.Mark.Hops++
		return Placement{Hop: hop, IsSearch: true}
	}
	return Placement{Hop: hop}
}

// PassOn returns the next target of a packet that another process sent here. An
// entry may name the address of a balancer, where no agent runs; the search goes on
// behind that entry, like at an agent whose target does not hold the flow.
func (b *Balancer) PassOn(table *router.Table, route *router.Route, p framer.Packet) (router.Hop, bool) {
	accept := b.chooser.AcceptOpenFlow()
	if p.SYN {
		accept = b.chooser.AcceptNewFlow(table, route.SelectService(p.Key()), p.Key())
	}
	hop, ok := table.FindNextHop(route, p.Key(), p.Mark, accept)
	hop.Mark.Hops++
	return hop, ok && p.Mark.Hops < router.MaxHops
}

// placeNewFlow chooses the target of a new flow. A retransmitted opening packet
// shows that the previously chosen target did not answer, so it goes to another
// target if there is one.
func (b *Balancer) placeNewFlow(table *router.Table, route *router.Route, key uint64, p framer.Packet) (router.Hop, bool) {
	accept := b.chooser.AcceptNewFlow(table, route.SelectService(key), key)
	if tried, ok := b.hints.findOpened(key, p.Sequence); ok && p.AckNumber > 0 {
		others := func(n uint32, t *router.Target, pass framer.Pass) bool { return n != tried && accept(n, t, pass) }
		if hop, ok := table.FindNextHop(route, key, p.Mark, others); ok {
			return hop, true
		}
	}
	if hop, ok := b.findFastest(table, route, key, p.Mark, accept); ok {
		return hop, true
	}
	return table.FindNextHop(route, key, p.Mark, b.chooser.AcceptSilent(route.SelectService(key)))
}

// findFastest compares the first few targets in the order of the flow that have a
// free slot, and returns the one that takes the least time for a request. A target
// in the balancer's availability zone may take somewhat longer than another one, and of
// targets whose times differ by no more than their error the first one is taken, since
// the fastest of equal targets would get all flows.
// With SetExpect, the expected time to an answer takes the place of the service time.
// Targets in the second pass are not compared, because their agents decide about
// the queue. A target whose time is not known counts as the fastest: only requests show
// what it takes.
func (b *Balancer) findFastest(table *router.Table, route *router.Route, key uint64, mark framer.Mark, accept router.AcceptFunc) (router.Hop, bool) {
	first, ok := table.FindNextHop(route, key, mark, accept)
	if !ok || first.Mark.Pass().IsSecond() {
		return first, ok
	}
	policy := b.chooser.Policy()
	candidates := make([]candidate, 0, policy.Candidates)
	lowestTime := time.Duration(math.MaxInt64)
	for hop := first; ok && !hop.Mark.Pass().IsSecond() && len(candidates) < policy.Candidates; hop, ok = table.FindNextHop(route, key, hop.Mark, accept) {
		c := candidate{hop: hop, time: b.expectedTime(hop.Number, route), isLocal: hop.Target.Zone == b.zone}
		if c.time > 0 {
			lowestTime = min(lowestTime, c.time)
		}
		candidates = append(candidates, c)
	}
	if lowestTime == math.MaxInt64 {
		return first, true
	}
	fastest, lowest := candidate{}, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		c.time = cmp.Or(c.time, lowestTime)
		cost := float64(c.time)
		if !c.isLocal {
			cost *= policy.LocalMargin
		}
		if cost < lowest {
			fastest, lowest = *c, cost
		}
	}
	best := slices.IndexFunc(candidates, func(c candidate) bool {
		return c.isLocal == fastest.isLocal && float64(c.time) <= policy.NoiseMargin*float64(fastest.time)
	})
	if best == 0 {
		return first, true
	}
	// If the agent of the chosen target refuses the flow, the search starts with the
	// first target.
	chosen := candidates[best].hop
	chosen.Mark = mark
	return chosen, true
}

func (b *Balancer) expectedTime(target uint32, route *router.Route) time.Duration {
	if b.expect != nil {
		if t, ok := b.expect(target, route); ok {
			return t
		}
	}
	return b.chooser.ServiceTime(target)
}

// candidate is a target that a new flow may go to, with its service time, 0 if it
// is not known, and whether it is in the balancer's availability zone.
type candidate struct {
	hop     router.Hop
	time    time.Duration
	isLocal bool
}
