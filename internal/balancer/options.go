// Package balancer implements the balancer role: it forwards the datagrams of
// callers to the agents of the service that owns the published address, and the
// datagrams of agents back to callers.
//
// It keeps no per-flow state. A packet is routed by the mark in its connection
// ID (package marker) or, for new flows, by weighted rendezvous hashing (package
// selector). The liveness of targets (package detector) is soft state that a
// balancer learns again after a restart. One control goroutine owns the table and the
// sockets; forwarding goroutines read the table through an atomic pointer.
//
// # Usage
//
//	b, err := balancer.NewBalancer(balancer.Options{
//		Ring: ring, Snapshot: watcher.Snapshot, Subscribe: watcher.Subscribe,
//		TunnelAddress: address, Incarnation: incarnation, Logger: logger,
//	})
//	go b.Run(ctx)
//	err = b.Shutdown(ctx)     // announces the shutdown, forwards for the grace period, stops
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
	DefaultGracePeriod     = 3 * time.Second
	DefaultTickInterval    = 50 * time.Millisecond
	DefaultRetiredLifetime = time.Hour
	// DefaultProbesPerTick limits probes to 60 per second. Together with their
	// answers they take about 11 KB/s of the 23 KB/s budget for control traffic;
	// with 80 per second a balancer with children in the watch tree exceeded it.
	DefaultProbesPerTick = 3

	batchSize = 64
	// maxSocketsPerAddress is enough because one core forwards a few hundred
	// thousand packets per second.
	maxSocketsPerAddress = 4
	// singleSocketThreshold is the number of addresses above which each
	// address has a single socket, since the addresses already spread the load
	// over the cores.
	singleSocketThreshold = 64
)

// Options configures a balancer.
type Options struct {
	// Ring is the key ring of the fleet.
	Ring *deriver.KeyRing
	// Snapshot returns the current configuration of the fleet.
	Snapshot func() *cataloger.Snapshot
	// Subscribe registers a function that is called with each new snapshot.
	// It may be nil if the snapshot never changes.
	Subscribe func(func(*cataloger.Snapshot))
	// BindAddress maps a published address to the local address to bind. If
	// nil, the published address itself is bound.
	BindAddress func(published netip.AddrPort) netip.AddrPort
	// TunnelAddress is the local UDP address for traffic with agents; with
	// port 0 the kernel chooses the port.
	TunnelAddress netip.AddrPort
	// MTU is the size in bytes of the largest IP packet sent to agents.
	MTU int
	// Incarnation identifies this run of the process. It is higher than that of
	// all previous runs.
	Incarnation uint64
	// SocketsPerAddress is the number of sockets per address, each with its own
	// goroutine; 0 chooses it by the number of cores and addresses.
	SocketsPerAddress int
	// GracePeriod is the time for which Shutdown keeps forwarding packets.
	GracePeriod time.Duration
	// TickInterval is the interval at which due probes are sent and the need
	// to rebuild the table is checked.
	TickInterval time.Duration
	// RetiredLifetime is the time for which a target that was removed from the
	// configuration still receives the packets of its flows.
	RetiredLifetime time.Duration
	// Detector configures the failure detection of targets; NewBalancer sets
	// its Epoch.
	Detector detector.Options
	// Logger is the logger of the balancer.
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
	if o.GracePeriod <= 0 {
		o.GracePeriod = DefaultGracePeriod
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

// socketsFor returns the number of sockets per address.
func (o Options) socketsFor(addresses int) int {
	switch {
	case o.SocketsPerAddress > 0:
		return o.SocketsPerAddress
	case addresses > singleSocketThreshold:
		return 1
	}
	return max(1, min(maxSocketsPerAddress, runtime.GOMAXPROCS(0)/2))
}
