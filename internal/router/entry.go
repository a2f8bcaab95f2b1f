package router

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is the part of a route's new flows that a service gets.
type Share struct {
	Service string
	Weight  uint32
}

// Route is one published address.
type Route struct {
	Name    string
	Address netip.AddrPort
	Shares  []Share
}

// Allows reports whether a service may get packets of the route.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service {
			return true
		}
	}
	return false
}

// Config is a version of the operators' configuration.
type Config struct {
	Version     uint64
	Routes      []Route
	Services    []string
	IdleTimeout time.Duration
}

// State is the place of a target in its life.
type State uint8

// States of a target.
const (
	// Serving targets take new flows.
	Serving State = iota
	// Draining targets keep their flows and get no new ones.
	Draining
	// Lapsed targets are no longer listed, but were serving a short time ago.
	// They take new flows as long as they answer.
	Lapsed
	// Gone targets are looked up for packets of open flows only.
	Gone
)

// String returns the name of the state in logs.
func (s State) String() string { return [...]string{"serving", "draining", "lapsed", "gone"}[s] }

// Target is what is known of one backend server.
type Target struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	State    State
	Slots    int
	Revision uint64
	// IsFresh is set while other processes may not know the target yet.
	IsFresh bool
}

// Number returns the number of a target, the same in every process. Two of
// 11,000 names share one with a probability of 1.4%; the older one in the
// order of names then gets no flows.
func (t Target) Number() uint32 { return uint32(xxhash.Sum64String(t.ID)) }
