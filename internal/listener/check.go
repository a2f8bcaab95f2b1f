package listener

import (
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
	"kingcupvalve.example/kingcupvalve/selector"
)

const (
	// maxHops is the maximum number of times that a new flow is forwarded between
	// agents.
	maxHops        = 2
	longHeaderBit  = 0x80
	longHeaderSize = 1 + 4 + 1
)

// snapshotView holds the data of one snapshot that validation needs. It is used
// by the reading goroutine only.
type snapshotView struct {
	snapshot *cataloger.Snapshot
	leaving  bool
	// allTargets holds the targets of the service that are not leaving;
	// otherTargets is the same without the agent's own target.
	allTargets   *selector.Table
	otherTargets *selector.Table
}

func (l *Listener) currentView() *snapshotView {
	s := l.options.Snapshot()
	if l.cachedView != nil && l.cachedView.snapshot == s {
		return l.cachedView
	}
	v := &snapshotView{snapshot: s}
	var others, all []selector.Entry
	if service, ok := s.ServiceByNumber(l.options.Service); ok {
		for _, t := range service.Targets() {
			e := selector.NewEntry(t.Number(), uint16(t.Policy().Weight))
			switch {
			case t.Number() == l.options.Target && t.IsLeaving():
				v.leaving = true
			case t.Number() == l.options.Target:
				all = append(all, e)
			case !t.IsLeaving():
				all, others = append(all, e), append(others, e)
			}
		}
	}
	v.allTargets, v.otherTargets = selector.NewTable(s.Revision(), all), selector.NewTable(s.Revision(), others)
	l.cachedView = v
	return v
}

// receive validates one datagram of the tunnel. It returns the QUIC packet and
// its address, and true if the packet is to be passed to QUIC.
func (l *Listener) receive(b []byte, from netip.AddrPort, now time.Time) ([]byte, Address, bool) {
	h, payload, err := l.codec.Decode(b)
	if err != nil {
		return l.drop(dropTunnel)
	}
	if h.IsLocal() {
		l.balancers.recordDatagram(from, h.Flags.Has(tunneler.FlagBalancerLeaving), now)
		if h.Flags.Has(tunneler.FlagProbe) {
			l.sendLocal(from, tunneler.FlagProbeAnswer)
			l.counters.add(resultProbeAnswered)
		}
		return nil, Address{}, false
	}
	if h.Flags.Has(tunneler.FlagTowardCaller) {
		return l.drop(dropDirection)
	}
	if h.Hops == 0 { // a datagram forwarded by an agent does not show that a balancer is live
		l.balancers.recordDatagram(from, h.Flags.Has(tunneler.FlagBalancerLeaving), now)
	}
	if h.Service != l.options.Service {
		return l.drop(dropService)
	}
	if h.Hops > maxHops {
		return l.drop(dropHops)
	}
	id, isLong, ok := destinationID(payload)
	if !ok {
		return l.drop(dropMalformed)
	}
	address := Address{caller: h.Source, published: h.Destination}
	if mark, ok := l.decoder.Decode(id); ok {
		switch r := l.checkMark(mark, h, isLong); r {
		case resultAccepted:
			return payload, address, true
		case resultReset:
			l.sendReset(id, payload, address, now)
			return l.drop(r)
		default:
			return l.drop(r)
		}
	}
	if !isLong {
		return l.drop(dropUnmarked)
	}
	// Only new flows are checked against the published address; an established
	// flow continues when its address is moved to another service.
	v := l.currentView()
	if s, ok := v.snapshot.ServiceByAddress(h.Destination); !ok || s.Number() != l.options.Service {
		return l.drop(dropAddress)
	}
	if target := l.placeFlow(v, id, h, now); target != l.options.Target {
		l.forward(v, target, h, payload)
		return nil, Address{}, false
	}
	return payload, address, true
}

func (l *Listener) drop(r result) ([]byte, Address, bool) {
	l.counters.add(r)
	return nil, Address{}, false
}

// checkMark decides how to handle a packet of an established flow. Packets for
// an earlier incarnation of this agent, and packets for a lost agent that a
// balancer has flagged, are answered with a stateless reset.
func (l *Listener) checkMark(mark marker.Mark, h tunneler.Header, isLong bool) result {
	switch {
	case mark.Service() != l.options.Service:
		return dropMarkService
	case mark.IsIssuedBy(l.options.Target, l.options.Incarnation):
		return resultAccepted
	case mark.Target() == l.options.Target && isLong:
		// After a Retry of an earlier incarnation, an Initial is addressed to that
		// incarnation, and its token is still valid.
		return resultAccepted
	case mark.Target() == l.options.Target:
		return resultReset
	case !h.Flags.Has(tunneler.FlagReset):
		return dropMarkTarget
	case isLong: // a reset exists only for short headers (RFC 9000, 10.3)
		return dropResetLong
	}
	return resultReset
}

func (l *Listener) sendReset(id, packet []byte, to Address, now time.Time) {
	if b := l.resetter.reset(id, packet); b != nil {
		l.sendTo(b, to, now)
	}
}

// placeFlow returns the target of a new flow, the same one for every datagram
// of its handshake. At the hop limit the agent keeps the flow, even if it has
// forwarded it before: QUIC then accepts or refuses it.
func (l *Listener) placeFlow(v *snapshotView, id []byte, h tunneler.Header, now time.Time) uint32 {
	if h.Hops >= maxHops {
		return l.options.Target
	}
	key := newFlowKey(id)
	if target, ok := l.flows.find(key, now); ok {
		return target
	}
	target := l.options.Target
	switch {
	case !l.acceptsNewFlows(v):
		if other, ok := v.otherTargets.Select(id); ok {
			target = other
		}
	// Only a newer table may override the balancer's choice: with equal tables
	// the balancer has left out targets that are down, and an older table would
	// send the flow back.
	case v.snapshot.Revision() > h.Revision:
		if chosen, ok := v.allTargets.Select(id); ok {
			target = chosen
		}
	}
	l.flows.add(key, target, now)
	return target
}

// forward sends a datagram of a new flow to another target of the service.
func (l *Listener) forward(v *snapshotView, target uint32, h tunneler.Header, payload []byte) {
	t, ok := v.snapshot.TargetByNumber(target)
	if !ok || t.Service() != l.options.Service {
		l.counters.add(dropNoTarget)
		return
	}
	h.Hops++
	h.Revision = max(h.Revision, v.snapshot.Revision())
	h.Incarnation = l.options.Incarnation
	h.Flags &^= tunneler.FlagReset | tunneler.FlagBalancerLeaving
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	*b = l.codec.Encode((*b)[:0], h, payload)
	if l.write(*b, t.TunnelAddress()) {
		l.counters.add(resultForwarded)
	}
}

// destinationID returns the destination connection ID of a packet by the
// version-independent header (RFC 8999, 5.1 and 5.2). In short headers the ID
// is a mark of fixed size.
func destinationID(packet []byte) (id []byte, isLong, ok bool) {
	if len(packet) == 0 {
		return nil, false, false
	}
	if packet[0]&longHeaderBit == 0 {
		if len(packet) < 1+marker.Size {
			return nil, false, false
		}
		return packet[1 : 1+marker.Size], false, true
	}
	if len(packet) < longHeaderSize {
		return nil, true, false
	}
	size := int(packet[longHeaderSize-1])
	if size > maxIDSize || len(packet) < longHeaderSize+size {
		return nil, true, false
	}
	return packet[longHeaderSize : longHeaderSize+size], true, true
}
