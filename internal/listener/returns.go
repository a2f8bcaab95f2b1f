package listener

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxProbeCandidates is the maximum number of balancers among which an agent
	// selects those that it probes.
	maxProbeCandidates = 8
	// MinRecentBalancers is the number of balancers with recent datagrams from
	// which on an agent sends no probes. With 8 instead of 4, the agents' probes
	// would cost each balancer 24 KB/s at the planned fleet size.
	MinRecentBalancers = 4
	// ProbeInterval is the time between two probes of a balancer.
	ProbeInterval = 600 * time.Millisecond
	// maxFreshAge is the age up to which a datagram makes a probe unnecessary.
	// It is shorter than ProbeInterval, so that an idle agent probes in every
	// interval.
	maxFreshAge = 500 * time.Millisecond
	// maxLiveAge is the time for which a balancer counts as live after its last
	// datagram. It tolerates one lost probe.
	maxLiveAge = 1200 * time.Millisecond
	// maxBalancerEntries is the maximum number of balancers in the table.
	maxBalancerEntries = 64
	// spreadInterval is the time for which the datagrams to one caller go
	// through the same balancer. This keeps their order within an interval, and
	// a failed balancer loses only the datagrams of some intervals.
	spreadInterval = 50 * time.Millisecond
)

type balancerEntry struct {
	address   netip.AddrPort
	lastHeard time.Time
	leaving   bool
}

// balancerTable holds the balancers that have sent datagrams to the agent.
type balancerTable struct {
	lock    sync.Mutex
	entries []balancerEntry
}

// recordDatagram records the time of a datagram from a balancer. A full table
// drops the balancer that has been silent for longest.
func (t *balancerTable) recordDatagram(address netip.AddrPort, leaving bool, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for i := range t.entries {
		if e := &t.entries[i]; e.address == address {
			e.lastHeard, e.leaving = now, leaving
			return
		}
	}
	entry := balancerEntry{address: address, lastHeard: now, leaving: leaving}
	if len(t.entries) < maxBalancerEntries {
		t.entries = append(t.entries, entry)
		return
	}
	oldest := 0
	for i, e := range t.entries {
		if e.lastHeard.Before(t.entries[oldest].lastHeard) {
			oldest = i
		}
	}
	t.entries[oldest] = entry
}

// selectBalancer returns the balancer for one datagram to a caller: a live one
// (see maxLiveAge) that is not leaving, otherwise the one with the latest
// datagram.
func (t *balancerTable) selectBalancer(caller netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	var best, last netip.AddrPort
	var bestScore uint64
	var lastHeard time.Time
	address := caller.Addr().As16()
	var key [34]byte
	copy(key[:], address[:])
	binary.BigEndian.PutUint16(key[16:], caller.Port())
	binary.BigEndian.PutUint64(key[18:], uint64(now.UnixNano()/int64(spreadInterval)))
	seed := xxhash.Sum64(key[:26])
	for _, e := range t.entries {
		if e.lastHeard.After(lastHeard) || !last.IsValid() {
			last, lastHeard = e.address, e.lastHeard
		}
		if e.leaving || now.Sub(e.lastHeard) > maxLiveAge {
			continue
		}
		if s := rendezvousScore(seed, e.address); s >= bestScore {
			best, bestScore = e.address, s
		}
	}
	if best.IsValid() {
		return best, true
	}
	return last, last.IsValid()
}

// selectProbes returns the candidates to probe: as many as are missing to reach
// MinRecentBalancers with a recent datagram of any kind. Live balancers come
// first; the others rotate with each turn, so that a balancer that is down does
// not block a live one.
func (t *balancerTable) selectProbes(candidates []netip.AddrPort, turn int, now time.Time) []netip.AddrPort {
	t.lock.Lock()
	defer t.lock.Unlock()
	ages := make(map[netip.AddrPort]time.Duration, len(t.entries))
	missing := MinRecentBalancers
	for _, e := range t.entries {
		age := now.Sub(e.lastHeard)
		if e.leaving {
			age = math.MaxInt64
		}
		ages[e.address] = age
		if age <= maxFreshAge {
			missing--
		}
	}
	var live, silent []netip.AddrPort
	for i := range candidates {
		address := candidates[(i+turn)%len(candidates)]
		switch age, ok := ages[address]; {
		case ok && age <= maxFreshAge:
		case ok && age <= maxLiveAge:
			live = append(live, address)
		default:
			silent = append(silent, address)
		}
	}
	wanted := append(live, silent...)
	return wanted[:min(max(missing, 0), len(wanted))]
}

// rendezvousScore returns the rendezvous hashing weight of a balancer for a key.
func rendezvousScore(key uint64, balancer netip.AddrPort) uint64 {
	var b [26]byte
	address := balancer.Addr().As16()
	binary.BigEndian.PutUint64(b[:], key)
	copy(b[8:], address[:])
	binary.BigEndian.PutUint16(b[24:], balancer.Port())
	return xxhash.Sum64(b[:])
}

// probeCandidates selects the balancers that an agent may probe by rendezvous
// hashing of its target number, so that each balancer is probed by a similar
// number of agents.
func probeCandidates(target uint32, balancers []netip.AddrPort) []netip.AddrPort {
	ranked := slices.Clone(balancers)
	slices.SortFunc(ranked, func(a, b netip.AddrPort) int {
		switch x, y := rendezvousScore(uint64(target), a), rendezvousScore(uint64(target), b); {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return a.Compare(b)
		}
	})
	return ranked[:min(len(ranked), maxProbeCandidates)]
}
