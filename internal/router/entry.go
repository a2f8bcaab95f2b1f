package router

import (
	"net/netip"
	"slices"
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
	// Former has the services that the route no longer has, but whose targets may
	// still hold flows of its address. They get no new flows of the route.
	Former []string
	// Joining has the services that other processes may not know to be the route's. They
	// get no new flows of it while it has another service.
	Joining []string
	// IsPropagating is set while other processes may not know the services of the
	// route, so that the end of a search does not prove that no target holds a flow.
	IsPropagating bool
	// Priority orders the requests of routes, 0 is the most urgent. It is meaningful
	// only if HasPriority is set.
	Priority    int
	HasPriority bool
	// LatencyTarget is the time within which callers want an answer, and Deadline the
	// time after which they have given up; 0 if the configuration does not state it.
	LatencyTarget time.Duration
	Deadline      time.Duration
	// IsIdempotent is set if a request may be repeated after it ran.
	IsIdempotent bool
}

// Limits of the values of a configuration. Larger values are taken for the limit.
const (
	// MaxDuration is above the lifetime of any flow. Larger numbers would overflow.
	MaxDuration = 24 * time.Hour
	// MaxPriority is the largest number that a priority is taken for.
	MaxPriority = 1 << 16
	// WeightScale is the weight of a share whose weight in the configuration is 1.
	// It keeps fractional weights distinct.
	WeightScale = 1000
)

// ColdLimit is how a service protects targets that have just started.
type ColdLimit struct {
	// Period is how long a target stays cold after its start.
	Period time.Duration
	// Rate is the number of opening packets per second that a cold target bears; 0
	// means no bound.
	Rate float64
}

// Allows reports whether new flows of the route may go to the service, whatever its
// weight.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service {
			return true
		}
	}
	return false
}

// IsOrWasOf reports whether the service is or was one of the route's services.
func (r *Route) IsOrWasOf(service string) bool {
	return r.Allows(service) || slices.Contains(r.Former, service)
}

// Config is one version of the configuration that operators publish.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []string
	// ColdLimits has the limits for cold targets by service.
	ColdLimits  map[string]ColdLimit
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
	// ColdFor is the time that the target stayed cold from the publication of its
	// entry on.
	ColdFor time.Duration
	// StartedMs is when the target says that it started, in ms since 1970; 0 if it
	// doesn't say.
	StartedMs int64
	// Position is that of the target's last change.
	Position
	// IsPropagating is set while the target may be missing from the tables of other
	// processes.
	IsPropagating bool
	// IsEvacuated is set while operators ask for no new flows to the target's
	// availability zone.
	IsEvacuated bool
}

// TakesNewFlows reports whether the target may get new flows.
func (t *Target) TakesNewFlows() bool { return !t.IsEvacuated && t.isInUse() }

// isInUse reports whether the state of the target allows new flows.
func (t *Target) isInUse() bool { return t.State == Serving || t.State == Lapsed }

// Number returns a 32-bit hash of the target ID, which identifies the target in
// every process. Among 11,000 IDs a collision has a probability of 1.4%;
// NewTable then keeps the target that is listed last, and the other one gets no
// flows.
func (t Target) Number() uint32 { return uint32(xxhash.Sum64String(t.ID)) }
