package placer

import (
	"slices"
	"sync"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// maxProbes is the number of probes that a balancer sends with one opening packet.
const maxProbes = 8

// probeQueue has the silent targets that a balancer has not probed since the last report
// of their agents. That bounds the probes of a fleet by its reports.
type probeQueue struct {
	lock    sync.Mutex
	targets []uint32 // in the order of their reports
}

// ObserveReport records whether the agent of a target reports it as silent.
func (b *Balancer) ObserveReport(target uint32, isSilent bool) {
	q := &b.probes
	q.lock.Lock()
	defer q.lock.Unlock()
	at := slices.Index(q.targets, target)
	switch {
	case isSilent && at < 0:
		q.targets = append(q.targets, target)
	case !isSilent && at >= 0:
		q.targets = slices.Delete(q.targets, at, at+1)
	}
}

// Probes returns the silent targets that a copy of an opening packet tests, with the
// marks of the copies. The flow itself goes to the target that Place has returned.
func (b *Balancer) Probes(table *router.Table, route *router.Route, p framer.Packet, placed uint32) []router.Hop {
	q := &b.probes
	q.lock.Lock()
	defer q.lock.Unlock()
	if len(q.targets) == 0 {
		return nil
	}
	var hops []router.Hop
	service := route.SelectService(p.Key())
	q.targets = slices.DeleteFunc(q.targets, func(n uint32) bool {
		target, isListed := table.FindTarget(n)
		if !isListed || !b.chooser.IsSilent(n, target) {
			return true
		}
		if target.Service != service || n == placed || len(hops) == maxProbes {
			return false
		}
		hops = append(hops, router.Hop{Number: n, Target: target, Mark: framer.Mark{Progress: framer.ProbeProgress}})
		return true
	})
	return hops
}
