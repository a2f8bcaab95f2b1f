package balancer

import (
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

const (
	longHeaderBit = 0x80
	// longHeaderSize is the size in bytes of the first byte, the version and the
	// length of the destination connection ID (RFC 8999, section 5.1).
	longHeaderSize = 1 + 4 + 1
	// minInitialSize is the size in bytes of the smallest datagram that may open
	// a connection (RFC 9000, section 14.1). Together with the agent's limit of
	// sending three times the received bytes, it bounds amplification (section
	// 8.1).
	minInitialSize = 1200
)

// router selects the targets of callers' packets. It must be used by one
// goroutine only.
type router struct {
	decoder *marker.Decoder
}

// route returns the target of a datagram that was received at an address, the
// flags of its tunnel header and the outcome to count. The target is nil if the
// datagram is to be dropped.
func (r *router) route(t *table, a *address, packet []byte) (*target, tunneler.Flags, outcome) {
	if len(packet) == 0 {
		return nil, 0, dropEmpty
	}
	if packet[0]&longHeaderBit == 0 {
		if len(packet) < 1+marker.Size {
			return nil, 0, dropUnmarkedShort
		}
		id := packet[1 : 1+marker.Size]
		mark, ok := r.decoder.Decode(id)
		if !ok {
			return nil, 0, dropUnmarkedShort
		}
		return routeMarked(t, mark, id)
	}
	if len(packet) < longHeaderSize {
		return nil, 0, dropMalformed
	}
	size := int(packet[longHeaderSize-1])
	if len(packet) < longHeaderSize+size {
		return nil, 0, dropMalformed
	}
	id := packet[longHeaderSize : longHeaderSize+size]
	if mark, ok := r.decoder.Decode(id); ok {
		return routeMarked(t, mark, id)
	}
	if len(packet) < minInitialSize {
		return nil, 0, dropSmallInitial
	}
	return routeNew(t, a, id)
}

// routeMarked returns the target that issued a mark, regardless of the address
// that the packet was sent to: the mark contains the service, and an established
// flow continues when its published address is moved to another service. If the
// target is down, another target of the service gets the packet and answers with
// a stateless reset. A target that is not in the table may have been added in a
// later revision, so its packets are dropped rather than reset; the caller's
// retransmission may reach a balancer that knows the target.
func routeMarked(t *table, mark marker.Mark, id []byte) (*target, tunneler.Flags, outcome) {
	owner := t.targets[mark.Target()]
	if owner == nil {
		return nil, 0, dropUnknownTarget
	}
	if owner.service != mark.Service() {
		return nil, 0, dropServiceMismatch
	}
	if owner.isUp() {
		return owner, 0, forwardedMarked
	}
	sv := t.services[owner.service]
	if sv == nil { // a retired target of a service that was removed
		return owner, 0, forwardedMarked
	}
	other, ok := sv.targets.SelectWhere(id, func(n uint32) bool {
		return n != owner.number && t.targets[n].isUp()
	})
	if !ok {
		// No other target can send a reset, and the detector may be wrong
		// about the owner.
		return owner, 0, forwardedMarked
	}
	return t.targets[other], tunneler.FlagReset, forwardedReset
}

// routeNew returns the target of a new flow. If no target is both up and
// accepting new flows, it prefers one that accepts them over one that is up, since
// this balancer itself may have lost its connection to the targets.
func routeNew(t *table, a *address, id []byte) (*target, tunneler.Flags, outcome) {
	targets := a.service.targets
	chosen, ok := targets.SelectWhere(id, func(n uint32) bool {
		return t.targets[n].acceptsNewFlows() && t.targets[n].isUp()
	})
	if !ok {
		chosen, ok = targets.SelectWhere(id, func(n uint32) bool { return t.targets[n].acceptsNewFlows() })
	}
	if !ok {
		chosen, ok = targets.SelectWhere(id, func(n uint32) bool { return t.targets[n].isUp() })
	}
	if !ok {
		chosen, ok = targets.Select(id)
	}
	if !ok {
		return nil, 0, dropNoTarget
	}
	return t.targets[chosen], 0, forwardedNew
}
