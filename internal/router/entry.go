package router

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is a service of a route with its weight. Weights are relative: a service
// gets new flows in proportion to its weight.
type Share struct {
	Service string
	Weight  uint32
}

// Route maps a published address, to which callers send packets, to the services
// behind it.
type Route struct {
	Name    string
	Address netip.AddrPort
	Shares  []Share
}

// Allows reports whether the service is one of the route's services, whatever
// its weight.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service {
			return true
		}
	}
	return false
}

// Config is one version of the configuration that operators publish.
type Config struct {
	Version     uint64
	Routes      []Route
	Services    []string
	IdleTimeout time.Duration
}

// State is the lifecycle state of a target.
type State uint8

// Lifecycle states of a target.
const (
	// Serving targets take new flows.
	Serving State = iota
	// Draining targets keep their flows and get no new ones.
	Draining
	// Lapsed targets are no longer listed, but were serving until recently.
	// They take new flows while their agents answer.
	Lapsed
	// Gone targets are removed. Only packets of open flows are sent to them.
	Gone
)

// String returns the name of the state as logs show it.
func (s State) String() string { return [...]string{"serving", "draining", "lapsed", "gone"}[s] }

// Target is a backend server as the routing table knows it.
type Target struct {
	ID      string
	Service string
	Zone    string // availability zone
	Address netip.AddrPort
	State   State
	Slots   int
	// Position is that of the target's last change.
	Position
	// IsPropagating is set while the target may be missing from the tables of other
	// processes.
	IsPropagating bool
}

// Number returns a 32-bit hash of the target ID, which identifies the target in
// every process. Among 11,000 IDs a collision has a probability of 1.4%;
// NewTable then keeps the target that is listed last, and the other one gets no
// flows.
func (t Target) Number() uint32 { return uint32(xxhash.Sum64String(t.ID)) }
