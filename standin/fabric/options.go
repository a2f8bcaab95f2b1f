// Package fabric simulates the network between callers and balancers. It
// listens on the published service addresses and sends every datagram to a
// random balancer of its current list.
//
// Each caller is represented by a socket of its own, as behind a NAT (RFC 4787).
// Balancers see the address of that socket as the caller's. Datagrams that any
// balancer sends to it are forwarded to the caller from the published address.
// Function fields of Options decide for every datagram whether it is lost,
// delayed, duplicated or reordered; their results may change while the fabric
// runs.
//
// # Usage
//
//	f, err := fabric.NewFabric(fabric.Options{Addresses: published, Seed: 1})
//	f.SetBalancers([]fabric.Balancer{fabric.NewBalancer("b1", bound)})
//	go f.Run(ctx)
package fabric

import (
	"net/netip"
	"time"
)

// Balancer is an entry of the fabric's list of balancers.
type Balancer struct {
	name  string
	bound func(published netip.AddrPort) (netip.AddrPort, bool)
}

// NewBalancer returns an entry. The function maps a published address to the
// address that the balancer has bound for it, or reports false.
func NewBalancer(name string, bound func(published netip.AddrPort) (netip.AddrPort, bool)) Balancer {
	return Balancer{name: name, bound: bound}
}

// Link identifies the path and direction of a datagram.
type Link struct {
	caller       netip.AddrPort
	published    netip.AddrPort
	balancer     string
	towardCaller bool
}

// Caller returns the address of the caller.
func (l Link) Caller() netip.AddrPort { return l.caller }

// Published returns the published service address.
func (l Link) Published() netip.AddrPort { return l.published }

// Balancer returns the name of the balancer; it is empty for a datagram from a
// balancer that is not in the list.
func (l Link) Balancer() string { return l.balancer }

// IsTowardCaller reports whether the datagram is sent to the caller rather than
// to a balancer.
func (l Link) IsTowardCaller() bool { return l.towardCaller }

// Defaults of Options.
const (
	DefaultMaxCallers  = 20_000
	DefaultMaxDelayed  = 100_000
	DefaultIdleTimeout = 2 * time.Minute
	DefaultReorderWait = 10 * time.Millisecond
)

// Options configures a fabric. The function fields may be nil and must be safe
// for concurrent use.
type Options struct {
	// Addresses are the published addresses to listen on. Port 0 lets the
	// kernel choose; Fabric.Addresses returns the result.
	Addresses []netip.AddrPort
	// Seed makes the choice of balancers repeatable for one order of datagrams.
	Seed uint64
	// Lose reports whether a datagram is lost.
	Lose func(Link) bool
	// Delay returns the latency of a datagram.
	Delay func(Link) time.Duration
	// Duplicate returns the number of extra copies of a datagram. In the
	// direction of the balancers, the balancer of each copy is drawn separately.
	Duplicate func(Link) int
	// Reorder reports whether a datagram is held back until the next one of the
	// same caller and direction has been sent.
	Reorder func(Link) bool
	// MaxCallers is the limit of sockets for callers; datagrams of further
	// callers are dropped.
	MaxCallers int
	// MaxDelayed is the limit of delayed datagrams; further ones are dropped.
	MaxDelayed int
	// IdleTimeout is the time after which the socket of a silent caller is
	// closed.
	IdleTimeout time.Duration
	// ReorderWait is the longest time that a reordered datagram is held back.
	ReorderWait time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxCallers <= 0 {
		o.MaxCallers = DefaultMaxCallers
	}
	if o.MaxDelayed <= 0 {
		o.MaxDelayed = DefaultMaxDelayed
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.ReorderWait <= 0 {
		o.ReorderWait = DefaultReorderWait
	}
	return o
}

// Counters are the counts of a fabric since its start.
type Counters struct {
	// Sprayed is the number of datagrams sent to balancers.
	Sprayed uint64
	// Returned is the number of datagrams sent to callers.
	Returned uint64
	// Lost is the number of datagrams lost by Options.Lose.
	Lost uint64
	// Duplicated is the number of extra copies.
	Duplicated uint64
	// Reordered is the number of datagrams held back by Options.Reorder.
	Reordered uint64
	// Dropped is the number of datagrams dropped because there was no balancer,
	// no caller socket, or too many delayed datagrams.
	Dropped uint64
}
