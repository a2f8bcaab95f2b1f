package simulator

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupvalve.example/kingcupvalve/internal/framer"
)

const (
	// inZoneDelay is the delay between two hosts of an availability zone.
	inZoneDelay = 100 * time.Microsecond
	// lossRate is the share of datagrams that the network loses.
	lossRate = 0.0005
	// checkInterval is the time between two readiness checks of a router. Two
	// misses take a balancer out of rotation.
	checkInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// packet is a datagram of a flow. The request is what the bytes of a data packet
// mean to the two ends.
type packet struct {
	framer.Packet
	request *request
	flow    *flow
}

func (w *world) delay(from, to int) time.Duration {
	if from == to {
		return inZoneDelay
	}
	return w.crossZone
}

// send delivers a datagram after a delay, unless the network loses it.
func (w *world) send(delay time.Duration, deliver func()) {
	if w.random.Float64() >= w.lossRate {
		w.after(delay, deliver)
	}
}

// rotation is the view that the routers of an availability zone have of a
// balancer.
type rotation struct {
	balancer *balancer
	misses   int
}

// startRouters starts the readiness checks of all balancers.
func (w *world) startRouters() {
	for _, zone := range w.rotations {
		for _, r := range zone {
			w.every(w.drawDuration(checkInterval), checkInterval, func() {
				if r.balancer.isReady() {
					r.misses = 0
				} else {
					r.misses++
				}
			})
		}
	}
}

// routePacket sends a caller's packet to a balancer of its zone. Routers use all
// balancers if fewer than half are in rotation.
func (w *world) routePacket(zone int, p packet) {
	all := w.rotations[zone]
	used := make([]*rotation, 0, len(all))
	for _, r := range all {
		if r.misses < maxMisses {
			used = append(used, r)
		}
	}
	if 2*len(used) < len(all) {
		used = all
	}
	b := used[hashPorts(p.Source, p.Destination)%uint64(len(used))].balancer
	w.send(w.callerDelay, func() { b.receive(p) })
}

// hashPorts is the hash of routers. It differs from the key of the flow, by which
// targets are ordered, so that a balancer's flows do not prefer some targets.
func hashPorts(source, destination netip.AddrPort) uint64 {
	return xxhash.Sum64String(source.String() + destination.String())
}
