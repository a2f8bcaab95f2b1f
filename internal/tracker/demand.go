package tracker

import (
	"net/netip"
	"time"
)

// demand counts the pending and expected requests of a target by the published
// address that they were sent to and by caller. Further requests of open flows count
// like first ones.
type demand struct {
	byAddress map[netip.AddrPort]int
	byCaller  map[netip.Addr]int
}

func newDemand() demand {
	return demand{byAddress: make(map[netip.AddrPort]int), byCaller: make(map[netip.Addr]int)}
}

func (d *demand) add(f *flow) {
	d.byAddress[f.published]++
	d.byCaller[f.caller.Addr()]++
}

func (d *demand) remove(f *flow) {
	decrement(d.byAddress, f.published)
	decrement(d.byCaller, f.caller.Addr())
}

// decrement removes keys whose count is 0, so that the map holds no more keys than
// there are pending requests.
func decrement[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] == 0 {
		delete(counts, key)
	}
}

// Demand is the requests that run, wait or are expected at the target, as one
// opening packet sees them.
type Demand struct {
	Load
	// ByAddress has the requests by the published address that they were sent to.
	ByAddress map[netip.AddrPort]int
	// OfCaller is the number of requests of the packet's caller.
	OfCaller int
}

// Demand returns the demand for the target as of now, as a caller's opening packet
// sees it.
func (t *Tracker) Demand(caller netip.Addr, now time.Time) Demand {
	load := t.Load(now)
	t.lock.Lock()
	defer t.lock.Unlock()
	byAddress := make(map[netip.AddrPort]int, len(t.demand.byAddress))
	for address, n := range t.demand.byAddress {
		byAddress[address] = n
	}
	return Demand{Load: load, ByAddress: byAddress, OfCaller: t.demand.byCaller[caller]}
}
