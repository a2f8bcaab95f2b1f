// Package deferrer keeps callers' packets to addresses that the routing table does not
// list until the table is conclusive about them. It uses no sockets and no clock.
//
// An address that a table lacks has no route, or its route is newer than the table. The
// age of the table does not tell which: a route may have been published, and a flow of
// it opened through another process, since the table was last known to be current. Only
// a table that was current after the packet arrived, and still lacks the address, proves
// that the packet's flow has no route.
//
// A packet is therefore kept until the table lists its address, when it is forwarded like
// one that has just arrived, or until the table is known to have been current after its
// arrival, when its flow is refused. A table that is not confirmed in time, because the
// process reaches neither the platform nor a peer, proves nothing; the packet is then
// dropped, and the next copy of it is kept again.
//
// # Usage
//
//	d := deferrer.NewDeferrer[[]byte]()
//	needsTicks := d.Keep(packet, keep, now)
//	released, isPending := d.Tick(table, confirmedAt, now)
package deferrer

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// TickInterval is the interval of ticks while there are packets.
	TickInterval = 20 * time.Millisecond
	// MaxWait is the time after which a packet is dropped. A process that reaches the
	// platform or a peer has its table confirmed about once a second.
	MaxWait = 3 * time.Second
	// openTimeout is the time after which callers no longer wait for the answer to an
	// opening packet.
	openTimeout = 1400 * time.Millisecond
	// maxPackets bounds the memory for packets to about 5 MB.
	maxPackets = 4096
	// confirmationMargin is the time by which a table may seem to be confirmed later
	// than it was: answers of the platform and beacons of peers count from their
	// arrival.
	confirmationMargin = 100 * time.Millisecond
)

var (
	kept      = metrics.GetOrCreateCounter("kingcupvalve_deferrer_packets_kept_total")
	rejected  = metrics.GetOrCreateCounter(`kingcupvalve_deferrer_packets_dropped_total{reason="full"}`)
	expired   = metrics.GetOrCreateCounter(`kingcupvalve_deferrer_packets_dropped_total{reason="too late"}`)
	forwarded = metrics.GetOrCreateCounter(`kingcupvalve_deferrer_packets_released_total{outcome="forwarded"}`)
	refused   = metrics.GetOrCreateCounter(`kingcupvalve_deferrer_packets_released_total{outcome="refused"}`)
)

// Counters returns the counters of the process by name.
func Counters() map[string]uint64 {
	return map[string]uint64{
		"deferred": kept.Get(), "deferred_forwarded": forwarded.Get(), "deferred_refused": refused.Get(),
		"deferred_expired": expired.Get(), "deferred_full": rejected.Get(),
	}
}

// Release is a packet about which the table is conclusive. Its flow has no route if
// IsRefused is set.
type Release[P any] struct {
	Packet    framer.Packet
	Payload   P
	IsRefused bool
	// Waited is the time for which the packet was kept.
	Waited time.Duration
}

// deferral is a packet that is kept.
type deferral[P any] struct {
	packet    framer.Packet
	payload   P
	arrivedAt time.Time
}

// Deferrer keeps one packet of each flow. P is what a process keeps of a packet. A
// Deferrer is safe for concurrent use.
type Deferrer[P any] struct {
	lock  sync.Mutex
	flows map[uint64]struct{}
	order []deferral[P] // by arrival
}

// NewDeferrer returns a deferrer without packets.
func NewDeferrer[P any]() *Deferrer[P] { return &Deferrer[P]{flows: make(map[uint64]struct{})} }

// Keep keeps a packet that arrives now, unless an earlier one of its flow is kept or
// there are too many. It reports whether ticks are needed that were not needed before.
// The function keep returns what is kept of the packet.
func (d *Deferrer[P]) Keep(p framer.Packet, keep func() P, now time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	key := p.Key()
	if _, isKept := d.flows[key]; isKept {
		return false
	}
	if len(d.order) >= maxPackets {
		rejected.Inc()
		return false
	}
	kept.Inc()
	d.flows[key] = struct{}{}
	d.order = append(d.order, deferral[P]{packet: p, payload: keep(), arrivedAt: now})
	return len(d.order) == 1
}

// Tick returns the packets about which the table is conclusive, and whether further
// ticks are needed. The table was last known to be current at confirmedAt.
func (d *Deferrer[P]) Tick(table *router.Table, confirmedAt, now time.Time) ([]Release[P], bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	var released []Release[P]
	remaining := d.order[:0]
	for _, k := range d.order {
		_, isRouted := table.FindRoute(k.packet.Destination)
		isRefused := !isRouted && confirmedAt.Sub(k.arrivedAt) >= confirmationMargin
		waited := now.Sub(k.arrivedAt)
		isOver := waited >= MaxWait || isRouted && k.packet.SYN && waited >= openTimeout
		if !isRouted && !isRefused && !isOver {
			remaining = append(remaining, k)
			continue
		}
		delete(d.flows, k.packet.Key())
		switch {
		case isRefused:
			refused.Inc()
		case isOver:
			expired.Inc()
			continue
		default:
			forwarded.Inc()
		}
		released = append(released, Release[P]{Packet: k.packet, Payload: k.payload, IsRefused: isRefused, Waited: waited})
	}
	clear(d.order[len(remaining):])
	d.order = remaining
	return released, len(remaining) > 0
}
