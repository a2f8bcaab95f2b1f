// Package balancer is the balancer role: it forwards the datagrams of callers
// to the agents of the service that owns the published address, and the
// datagrams of agents back to callers.
//
// It keeps no state about flows. A packet is routed by the mark in its
// connection ID (package marker) or, for new flows, by weighted rendezvous
// hashing (package selector). What it knows about the liveness of targets
// (package detector) is soft and can be lost at no cost. One goroutine owns
// the table and the sockets; traffic goroutines read the table through an
// atomic pointer.
//
// # Usage
//
//	b, err := balancer.NewBalancer(balancer.Options{
//		Ring: ring, Snapshot: watcher.Snapshot, Subscribe: watcher.Subscribe,
//		TunnelAddress: address, Incarnation: incarnation, Logger: logger,
//	})
//	go b.Run(ctx)
//	err = b.Shutdown(ctx)     // announces, keeps forwarding for the grace time, stops
package balancer

import (
	"net/netip"
	"runtime"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/detector"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// Defaults of Options.
const (
	DefaultMTU             = 1500
	DefaultGrace           = 3 * time.Second
	DefaultTickInterval    = 50 * time.Millisecond
	DefaultRetiredLifetime = time.Hour
	// DefaultProbesPerTick bounds probes to 60 per second. With their answers
	// they take about 11 of the 23 KB/s for control traffic; at 80 a balancer
	// with children in the watch tree was above it.
	DefaultProbesPerTick = 3

	batchSize = 64
	// maxWorkers bounds the sockets per address; one core forwards a few
	// hundred thousand packets per second.
	maxWorkers = 4
	// sharedAddresses is the number of addresses above which each has a
	// single socket, since the addresses already spread over the cores.
	sharedAddresses = 64
)

// Options configures a balancer.
type Options struct {
	// Ring is the key ring of the fleet.
	Ring *deriver.KeyRing
	// Snapshot returns the current view of the fleet.
	Snapshot func() *cataloger.Snapshot
	// Subscribe registers a function that is called with each new view. It
	// may be nil when the view never changes.
	Subscribe func(func(*cataloger.Snapshot))
	// BindAddress maps a published address to the local address to bind. Nil
	// binds the published address itself.
	BindAddress func(published netip.AddrPort) netip.AddrPort
	// TunnelAddress is the local UDP address for agents; port 0 lets the
	// kernel choose.
	TunnelAddress netip.AddrPort
	// MTU is the largest IP packet toward agents in bytes.
	MTU int
	// Incarnation identifies this run of the process.
	Incarnation uint64
	// Workers is the number of sockets per address; 0 chooses by the number
	// of cores and addresses.
	Workers int
	// Grace is the time for which Shutdown keeps forwarding.
	Grace time.Duration
	// TickInterval is the time between two runs of the control systems.
	TickInterval time.Duration
	// RetiredLifetime is the time for which a target that left the table still
	// receives the packets of its flows.
	RetiredLifetime time.Duration
	// Detector configures liveness; its Epoch is set by NewBalancer.
	Detector detector.Options
	// Logger receives the events of the balancer.
	Logger zerolog.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.Ring == nil || o.Snapshot == nil || !o.TunnelAddress.IsValid() {
		return o, merry.New("check balancer options: ring, snapshot and tunnel address are required")
	}
	if o.BindAddress == nil {
		o.BindAddress = func(published netip.AddrPort) netip.AddrPort { return published }
	}
	if o.MTU <= 0 {
		o.MTU = DefaultMTU
	}
	if o.Grace <= 0 {
		o.Grace = DefaultGrace
	}
	if o.TickInterval <= 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.RetiredLifetime <= 0 {
		o.RetiredLifetime = DefaultRetiredLifetime
	}
	if o.Detector.ProbesPerTick == 0 {
		o.Detector.ProbesPerTick = DefaultProbesPerTick
	}
	return o, nil
}

// workersFor returns the number of sockets per address.
func (o Options) workersFor(addresses int) int {
	switch {
	case o.Workers > 0:
		return o.Workers
	case addresses > sharedAddresses:
		return 1
	}
	return max(1, min(maxWorkers, runtime.GOMAXPROCS(0)/2))
}
