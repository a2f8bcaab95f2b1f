// Package detector tracks the liveness of targets at a balancer from the
// traffic itself and from active probes.
//
// Every datagram from a target is evidence that it is alive. A target that
// leaves forwarded datagrams unanswered is probed. After a few unanswered
// probes it is down and is probed at a longer interval until a datagram from it
// arrives. The state is soft: a new detector regards every target as up and
// detects the ones that are down within a second.
//
// # Usage
//
//	d := detector.NewDetector(detector.Options{Epoch: time.Now()})
//	d.SetTargets([]uint32{1, 2})
//	peer := d.Peer(1)         // for traffic goroutines
//	peer.RecordForwarded(now)
//	peer.RecordReceived(now)
//	for _, p := range d.Tick(now) {
//		send(p.Target())      // one control goroutine calls Tick
//	}
package detector

import (
	"maps"
	"sync/atomic"
	"time"
)

// Defaults of Options. A target that stops is down 900 ms after the first
// datagram that it leaves unanswered. Callers must learn of it within 2 s, so
// about one second remains for their next packets.
const (
	DefaultUnansweredAfter = 300 * time.Millisecond
	DefaultProbeInterval   = 200 * time.Millisecond
	DefaultProbeLimit      = 3
	DefaultDownInterval    = time.Second
	// DefaultSuspectInterval decides within 300 ms whether a suspected target
	// is down.
	DefaultSuspectInterval = 100 * time.Millisecond
)

// Options configures a detector. Zero values take the defaults.
type Options struct {
	// Epoch is the base of the times that the detector stores; it must not be
	// later than any time passed in.
	Epoch time.Time
	// UnansweredAfter is the time without an answer after which probes start.
	UnansweredAfter time.Duration
	// ProbeInterval is the time between two probes of a target that is up.
	ProbeInterval time.Duration
	// ProbeLimit is the number of unanswered probes that makes a target down.
	ProbeLimit int
	// DownInterval is the time between two probes of a target that is down.
	DownInterval time.Duration
	// SuspectInterval is the time between two probes of a suspected target.
	SuspectInterval time.Duration
	// ProbesPerTick bounds the probes of one Tick; 0 means no bound. Targets
	// that are suspected or have unanswered probes go first.
	ProbesPerTick int
}

func (o Options) withDefaults() Options {
	if o.UnansweredAfter <= 0 {
		o.UnansweredAfter = DefaultUnansweredAfter
	}
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = DefaultProbeInterval
	}
	if o.ProbeLimit <= 0 {
		o.ProbeLimit = DefaultProbeLimit
	}
	if o.DownInterval <= 0 {
		o.DownInterval = DefaultDownInterval
	}
	if o.SuspectInterval <= 0 {
		o.SuspectInterval = DefaultSuspectInterval
	}
	return o
}

// Detector holds the liveness of a set of targets. RecordForwarded,
// RecordReceived, IsDown and Peer are safe for concurrent use. SetTargets, Tick
// and TakeNewlyDown must be called from one goroutine.
type Detector struct {
	options    Options
	peers      atomic.Pointer[map[uint32]*Peer]
	probeOrder []*Peer
	cursor     int
	newlyDown  []uint32
}

// NewDetector returns a Detector without targets.
func NewDetector(options Options) *Detector {
	d := &Detector{options: options.withDefaults()}
	d.peers.Store(&map[uint32]*Peer{})
	return d
}

// SetTargets replaces the set of targets. Targets that remain keep their state.
func (d *Detector) SetTargets(targets []uint32) {
	oldPeers := *d.peers.Load()
	newPeers := make(map[uint32]*Peer, len(targets))
	d.probeOrder = d.probeOrder[:0]
	for _, n := range targets {
		if newPeers[n] != nil {
			continue
		}
		p := oldPeers[n]
		if p == nil {
			p = &Peer{target: n, epoch: d.options.Epoch}
		}
		newPeers[n] = p
		d.probeOrder = append(d.probeOrder, p)
	}
	clear(d.probeOrder[len(d.probeOrder):cap(d.probeOrder)])
	d.peers.Store(&newPeers)
}

// Targets returns the numbers of the targets in no particular order.
func (d *Detector) Targets() []uint32 {
	var targets []uint32
	for n := range maps.Keys(*d.peers.Load()) {
		targets = append(targets, n)
	}
	return targets
}

// Peer returns the state of a target, or nil for an unknown one.
func (d *Detector) Peer(target uint32) *Peer { return (*d.peers.Load())[target] }

// RecordForwarded records that a datagram was sent to a target.
func (d *Detector) RecordForwarded(target uint32, now time.Time) {
	if p := d.Peer(target); p != nil {
		p.RecordForwarded(now)
	}
}

// RecordReceived records that a datagram was received from a target.
func (d *Detector) RecordReceived(target uint32, now time.Time) {
	if p := d.Peer(target); p != nil {
		p.RecordReceived(now)
	}
}

// IsDown reports whether a target is down. It is false for unknown targets.
func (d *Detector) IsDown(target uint32) bool {
	p := d.Peer(target)
	return p != nil && p.IsDown()
}

// Probe is a probe that the owner of the detector has to send.
type Probe struct {
	target uint32
}

// Target returns the number of the target to probe.
func (p Probe) Target() uint32 { return p.target }

// Tick moves targets between up and down and returns the probes that are due.
// A target goes down only after probes that earlier calls returned, so the
// silence during a pause of this process does not count as evidence.
func (d *Detector) Tick(now time.Time) []Probe {
	var probes []Probe
	hasRoom := func() bool { return d.options.ProbesPerTick <= 0 || len(probes) < d.options.ProbesPerTick }
	send := func(p *Peer) {
		p.recordProbe(now)
		probes = append(probes, Probe{target: p.target})
	}
	for _, p := range d.probeOrder {
		if p.update(now, &d.options) == actionUrgent && hasRoom() {
			send(p)
		}
		if p.takeNewlyDown() {
			d.newlyDown = append(d.newlyDown, p.target)
		}
	}
	for i := range d.probeOrder {
		p := d.probeOrder[(d.cursor+i)%len(d.probeOrder)]
		if p.update(now, &d.options) != actionProbe {
			continue
		}
		if !hasRoom() {
			// The next tick starts at the first target that got no probe.
			d.cursor = (d.cursor + i) % len(d.probeOrder)
			return probes
		}
		send(p)
	}
	return probes
}

// TakeNewlyDown returns the targets that went down since the last call because
// they left this detector's own traffic unanswered. Other balancers may be told
// to suspect them. Targets that went down after a suspicion are left out.
func (d *Detector) TakeNewlyDown() []uint32 {
	newlyDown := d.newlyDown
	d.newlyDown = nil
	return newlyDown
}
