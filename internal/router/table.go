package router

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/selector"
)

// targetWeight is the same for every target, so weights do not affect the rank
// order.
const targetWeight = 1

// MaxConclusiveAge is the maximum age of a table whose missing entries are
// conclusive: that a target was removed and, after a complete search, that no target
// holds a flow. The last requires that targets and services which other processes may
// not know yet get no flows, see package chooser and Route.Joining, and that the table
// has the removed targets that may hold flows. That an address has no route takes more,
// see package deferrer.
const MaxConclusiveAge = 1500 * time.Millisecond

// Table is an immutable routing table. It is safe for concurrent use.
type Table struct {
	version     uint64
	idleTimeout time.Duration
	position    Position
	routes      map[netip.AddrPort]*Route
	routesOf    map[string][]*Route // by service
	targets     map[uint32]*Target
	rankings    map[string]*selector.Table
	byAddress   map[netip.AddrPort]uint32
	refused     []RefusedEntry
	coldLimits  map[string]ColdLimit
	evacuations Evacuations
	// openTargets has the targets of each service that may get new flows, and
	// evacuatedServices the services with targets that would get some but for the
	// evacuation of their zones.
	openTargets       map[string][]uint32
	evacuatedServices map[string]bool
	// searchesAll is set if former services of a route may be missing, so that
	// targets of every service may hold a flow.
	searchesAll, awaitsHistory bool
	// lacksDepartures is set if removed targets that may hold flows may be missing.
	lacksDepartures bool
}

// NewTable returns a table for the configuration and targets, complete up to the
// position. The table keeps references to the elements of both.
func NewTable(config Config, targets []Target, position Position) *Table {
	t := &Table{
		version: config.Version, idleTimeout: config.IdleTimeout, coldLimits: config.ColdLimits, position: position, routes: make(map[netip.AddrPort]*Route, len(config.Routes)), routesOf: make(map[string][]*Route),
		targets: make(map[uint32]*Target, len(targets)), rankings: make(map[string]*selector.Table),
		byAddress: make(map[netip.AddrPort]uint32, len(targets)), openTargets: make(map[string][]uint32), evacuatedServices: make(map[string]bool),
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		t.routes[r.Address] = r
		for _, s := range r.Shares {
			t.routesOf[s.Service] = append(t.routesOf[s.Service], r)
		}
	}
	entries := make(map[string][]selector.Entry)
	for i := range targets {
		n := targets[i].Number()
		t.targets[n] = &targets[i]
		if other, ok := t.byAddress[targets[i].Address]; !ok || t.targets[other].Compare(targets[i].Position) < 0 {
			t.byAddress[targets[i].Address] = n
		}
		entries[targets[i].Service] = append(entries[targets[i].Service], selector.NewEntry(n, targetWeight))
	}
	for n, target := range t.targets {
		switch {
		case target.TakesNewFlows():
			t.openTargets[target.Service] = append(t.openTargets[target.Service], n)
		case target.isInUse():
			t.evacuatedServices[target.Service] = true
		}
	}
	for service, e := range entries {
		t.rankings[service] = selector.NewTable(position.Revision, e)
	}
	return t
}

// MarkWithoutDepartures records that removed targets that may hold flows may be
// missing: a process that has just started does not know those that were removed
// before. It must be called before the table is shared.
func (t *Table) MarkWithoutDepartures() { t.lacksDepartures = true }

// MarkWithoutRouteHistory records that former services of routes may be missing: a
// process that has just started does not know the configurations before. Searches
// for open flows then visit the targets of all services. The process may still await
// what its peers know. It must be called before the table is shared.
func (t *Table) MarkWithoutRouteHistory(isAwaited bool) {
	t.searchesAll, t.awaitsHistory = true, isAwaited
}

// AwaitsRouteHistory reports whether former services of routes may become known soon.
func (t *Table) AwaitsRouteHistory() bool { return t.awaitsHistory }

// Evacuations is the state of the operators' requests to evacuate zones.
type Evacuations struct {
	// Zones has the availability zones whose targets get no new flows.
	Zones map[string]bool
	// ChangedAt is the position of the last change of a request.
	ChangedAt Position
}

// SetEvacuated sets the zones whose targets get no new flows. It must be called
// before the table is shared.
func (t *Table) SetEvacuated(e Evacuations) { t.evacuations = e }

// Evacuations returns the state of the requests to evacuate zones.
func (t *Table) Evacuations() Evacuations { return t.evacuations }

// IsEvacuated reports whether the targets of an availability zone get no new flows.
func (t *Table) IsEvacuated(zone string) bool { return t.evacuations.Zones[zone] }

// EvacuatedZones returns the availability zones whose targets get no new flows,
// sorted by name.
func (t *Table) EvacuatedZones() []string { return slices.Sorted(maps.Keys(t.evacuations.Zones)) }

// IsServiceEvacuated reports whether a service has targets in evacuated zones that
// would get new flows otherwise, and no other target that may get some and whose agent
// answers. A new flow can't be placed then, however long it waits.
func (t *Table) IsServiceEvacuated(service string, isDown func(target uint32) bool) bool {
	return t.evacuatedServices[service] && !slices.ContainsFunc(t.openTargets[service], func(n uint32) bool { return !isDown(n) })
}

// FindAnyTarget returns the first target of a service, in the order of a flow, for
// which accept returns true.
func (t *Table) FindAnyTarget(service string, key uint64, accept func(number uint32, target *Target) bool) (uint32, *Target, bool) {
	ranking := t.rankings[service]
	if ranking == nil {
		return 0, nil, false
	}
	number, _, ok := ranking.Next(key, selector.StartRank, func(n, _ uint32) bool { return accept(n, t.targets[n]) })
	return number, t.targets[number], ok
}

// ColdLimit returns the limit for cold targets of a service; it is zero if the
// service has none.
func (t *Table) ColdLimit(service string) ColdLimit { return t.coldLimits[service] }

// RefusedEntry is an entry that names no target to use.
type RefusedEntry struct {
	Key string
	Position
	Reason string
}

// SetRefused sets the entries that name no target to use. It must be called before
// the table is shared.
func (t *Table) SetRefused(entries []RefusedEntry) { t.refused = entries }

// Refused returns the entries that name no target to use, sorted by key.
func (t *Table) Refused() []RefusedEntry { return t.refused }

// ProvesNoHolder reports whether a complete search without a target proves that no
// target holds the flow, for a table that was last known to be current a time ago.
func (t *Table) ProvesNoHolder(age time.Duration) bool {
	return !t.lacksDepartures && age < MaxConclusiveAge
}

// Version returns the configuration version.
func (t *Table) Version() uint64 { return t.version }

// IdleTimeout returns the time without packets after which the state of a flow
// may be dropped.
func (t *Table) IdleTimeout() time.Duration { return t.idleTimeout }

// Position returns the position of the store up to which the table is complete.
func (t *Table) Position() Position { return t.position }

// FindRoute returns the route of a published address.
func (t *Table) FindRoute(address netip.AddrPort) (*Route, bool) {
	r, ok := t.routes[address]
	return r, ok
}

// RoutesOf returns the routes whose new flows may go to a service.
func (t *Table) RoutesOf(service string) []*Route { return t.routesOf[service] }

// FindTarget returns the target with a number.
func (t *Table) FindTarget(number uint32) (*Target, bool) {
	target, ok := t.targets[number]
	return target, ok
}

// VisitTargets calls visit for each target in no particular order.
func (t *Table) VisitTargets(visit func(number uint32, target *Target)) {
	for n, target := range t.targets {
		visit(n, target)
	}
}

// FindTargetAt returns the number and the target at an address. If several
// targets share the address, it returns the one that changed last.
func (t *Table) FindTargetAt(address netip.AddrPort) (uint32, *Target, bool) {
	n, ok := t.byAddress[address]
	return n, t.targets[n], ok
}

// Hop is the next target to try, with the mark to write into the packet.
type Hop struct {
	Number uint32
	Target *Target
	Mark   framer.Mark
}

// AcceptFunc reports whether a search visits a target in the given pass.
type AcceptFunc func(number uint32, target *Target, pass framer.Pass) bool

// FindNextHop returns the next target to try for a packet of a flow, continuing
// from the mark of the packet. It returns false when both passes are exhausted.
func (t *Table) FindNextHop(route *Route, key uint64, mark framer.Mark, accept AcceptFunc) (Hop, bool) {
	rank, pass := mark.Rank(), mark.Pass()
	for {
		found, ok := t.searchPass(route, key, rank, pass, accept)
		if !pass.IsSecond() && found.highestSkipped > found.rank {
			pass = pass.Partial()
		}
		if ok {
			found.hop.Mark = mark.Advance(found.rank, pass)
			return found.hop, true
		}
		if pass.IsSecond() {
			return Hop{}, false
		}
		rank, pass = selector.StartRank, pass.Next()
	}
}

// passResult is the result of one pass over the ranks below a given rank.
type passResult struct {
	hop  Hop
	rank uint32
	// highestSkipped is the highest rank of a listed target that was rejected.
	highestSkipped uint32
}

// SearchesAll reports whether searches visit the targets of all services.
func (t *Table) SearchesAll() bool { return t.searchesAll }

// visitRankings calls visit for each service whose targets may get or hold a flow of
// the route.
func (t *Table) visitRankings(route *Route, visit func(ranking *selector.Table)) {
	if t.searchesAll {
		for _, ranking := range t.rankings {
			visit(ranking)
		}
		return
	}
	for _, s := range route.Shares {
		if ranking := t.rankings[s.Service]; ranking != nil {
			visit(ranking)
		}
	}
	for _, service := range route.Former {
		if ranking := t.rankings[service]; ranking != nil {
			visit(ranking)
		}
	}
}

// searchPass returns the accepted target with the highest rank below the given
// one, over all services that may get or hold the flow.
func (t *Table) searchPass(route *Route, key uint64, below uint32, pass framer.Pass, accept AcceptFunc) (passResult, bool) {
	var best passResult
	isFound := false
	t.visitRankings(route, func(ranking *selector.Table) {
		number, rank, ok := ranking.Next(key, below, func(n, rank uint32) bool {
			target := t.targets[n]
			isAccepted := accept(n, target, pass)
			if !isAccepted && target.State != Gone {
				best.highestSkipped = max(best.highestSkipped, rank)
			}
			return isAccepted
		})
		if ok && (!isFound || rank > best.rank) {
			best.hop, best.rank, isFound = Hop{Number: number, Target: t.targets[number]}, rank, true
		}
	})
	return best, isFound
}

// SelectService returns the service that gets a new flow, chosen by weighted
// rendezvous hashing, so that a change of the weights moves as few flow keys as
// possible. It returns "" if every weight is 0. A service that is joining is chosen if
// there is no other: a search in the table of a process that does not know it yet would
// not find its flows.
func (r *Route) SelectService(key uint64) string {
	if service := r.selectService(key, r.Joining); service != "" || len(r.Joining) == 0 {
		return service
	}
	return r.selectService(key, nil)
}

func (r *Route) selectService(key uint64, without []string) string {
	best, highest := "", math.Inf(-1)
	for _, s := range r.Shares {
		if s.Weight == 0 || slices.Contains(without, s.Service) {
			continue
		}
		uniform := (float64((xxhash.Sum64String(s.Service)^key)*0x9e3779b97f4a7c15>>11) + 0.5) / (1 << 53)
		if score := math.Log(uniform) / float64(s.Weight); score > highest {
			best, highest = s.Service, score
		}
	}
	return best
}
