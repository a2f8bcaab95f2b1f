// Package ranker computes the position of a process in the tree that
// distributes the configuration, from the list of hosts alone.
//
// The live hosts of an availability zone are ordered by a hash of their name.
// The first three watch the platform. A host of rank r >= 3 has the hosts of
// rank (r-3)/12 and (r-3)/12+1 as parents, which gives a fan-out of 12 for each
// of the two trees and a depth of 4 at the target size.
//
// A parent always has a smaller hash than its child. Hashes depend on names
// only, so the parents of all processes form no loop even when their host
// lists differ. A group of processes without contact with the platform
// therefore cannot take each other's answers for such contact.
//
// Fallbacks are watching hosts of other availability zones. A process reads them
// when its own zone is cut off; watching hosts read them all the time. Watching
// hosts, which have no parents, also have the next few hosts of their own zone
// as fallbacks, so that after a restart they learn the configuration in force in
// the zone even when the platform was restored to an older state. Fallbacks may
// form loops, so an answer from one must not count as contact with the platform.
//
// # Usage
//
//	r := ranker.NewRanker(ranker.Options{})
//	position := r.Position(hosts, "balancer-7", "howrah")
//	if position.Watching {
//		...
//	}
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Options.
const (
	// DefaultWatchers is the number of watching processes of a zone. With three,
	// one remains after the loss of two hosts between two updates of the host
	// list.
	DefaultWatchers = 3
	// DefaultFanOut keeps the tree at depth 4, also along second parents, for up
	// to 3,770 processes in a zone; the target size is 3,125. A larger fan-out
	// gives some processes more sessions than the traffic budget allows.
	DefaultFanOut = 12
	// maxFallbacks bounds the sessions of a watching process to other zones.
	maxFallbacks = 8
	// extraNeighbours is the number of hosts after the watching ones that a
	// watching process also reads, in case all watching hosts restart.
	extraNeighbours = 2
)

// Options configures a Ranker. Zero values take the defaults. All processes of a
// fleet must use the same values.
type Options struct {
	// Watchers is the number of watching processes of a zone.
	Watchers int
	// FanOut is the number of children that have a process as first parent.
	FanOut int
}

// Host is one entry of the host list.
type Host struct {
	name string
	zone string
	live bool
}

// NewHost returns an entry. A host that is not live is never a parent or a
// fallback.
func NewHost(name, zone string, live bool) Host { return Host{name: name, zone: zone, live: live} }

// Name returns the name of the host.
func (h Host) Name() string { return h.name }

// Position is the position of one process in the tree.
type Position struct {
	// Rank is the number of live hosts of the zone with a smaller hash.
	Rank int
	// Watching reports whether the process watches the platform itself.
	Watching bool
	// Parents are the names of the processes from which this one receives the
	// configuration, the first parent first. Watching processes have none.
	Parents []string
	// Fallbacks are watching processes of other zones, one of each zone, and
	// for a watching process its neighbours in its own zone.
	Fallbacks []string
}

// Ranker computes positions. It is stateless and safe for concurrent use.
type Ranker struct {
	options Options
}

// NewRanker returns a Ranker.
func NewRanker(options Options) *Ranker {
	if options.Watchers <= 0 {
		options.Watchers = DefaultWatchers
	}
	if options.FanOut <= 0 {
		options.FanOut = DefaultFanOut
	}
	return &Ranker{options: options}
}

// rankedHost is a host with the hash that orders it.
type rankedHost struct {
	name string
	hash uint64
}

func compareHosts(a, b rankedHost) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// Position returns the position of the process named self in the given zone. The
// process need not be in the list.
func (r *Ranker) Position(hosts []Host, self, zone string) Position {
	own := rankedHost{name: self, hash: xxhash.Sum64String(self)}
	var lower, neighbours []rankedHost
	others := make(map[string][]rankedHost)
	for _, h := range hosts {
		if !h.live || h.name == self {
			continue
		}
		ranked := rankedHost{name: h.name, hash: xxhash.Sum64String(h.name)}
		if h.zone != zone {
			others[h.zone] = insertLowest(others[h.zone], ranked, r.options.Watchers)
			continue
		}
		neighbours = insertLowest(neighbours, ranked, r.options.Watchers+extraNeighbours-1)
		if compareHosts(ranked, own) < 0 {
			lower = append(lower, ranked)
		}
	}
	rank := len(lower)
	p := Position{Rank: rank, Watching: rank < r.options.Watchers, Fallbacks: r.chooseFallbacks(others, own, rank)}
	if p.Watching {
		for _, h := range neighbours {
			p.Fallbacks = append(p.Fallbacks, h.name)
		}
		return p
	}
	slices.SortFunc(lower, compareHosts)
	first := (rank - r.options.Watchers) / r.options.FanOut
	for i := first; i < min(first+2, rank); i++ {
		p.Parents = append(p.Parents, lower[i].name)
	}
	return p
}

// insertLowest inserts a host into a sorted list that keeps the limit hosts with
// the smallest hashes.
func insertLowest(lowest []rankedHost, h rankedHost, limit int) []rankedHost {
	i, found := slices.BinarySearchFunc(lowest, h, compareHosts)
	if found || i == limit {
		return lowest
	}
	lowest = slices.Insert(lowest, i, h)
	return lowest[:min(len(lowest), limit)]
}

// chooseFallbacks chooses one watching host of each other zone, of at most
// maxFallbacks zones. Watching processes take the host of their own rank; the
// others are spread over the watching hosts by hash.
func (r *Ranker) chooseFallbacks(zones map[string][]rankedHost, own rankedHost, rank int) []string {
	zoneNames := make([]string, 0, len(zones))
	for zone := range zones {
		zoneNames = append(zoneNames, zone)
	}
	slices.Sort(zoneNames)
	// The first zone depends on the process, so that maxFallbacks does not leave
	// out the same zones for every process.
	start := int(own.hash % uint64(max(len(zoneNames), 1)))
	var chosen []string
	for i := range min(len(zoneNames), maxFallbacks) {
		watchers := zones[zoneNames[(start+i)%len(zoneNames)]]
		at := uint64(rank)
		if rank >= r.options.Watchers {
			at = own.hash / 7
		}
		chosen = append(chosen, watchers[at%uint64(len(watchers))].name)
	}
	return chosen
}
