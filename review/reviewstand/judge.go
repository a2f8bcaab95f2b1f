package main

import (
	"maps"
	"slices"
	"time"
)

const (
	// reorderLimit and reorderCount are the bound of the rule FLOW (b).
	reorderLimit = 2 * time.Second
	reorderCount = 3
	// lookBack covers the packets that may have led to a reset.
	lookBack = 6 * time.Second
)

// judgeFlows checks the rule FLOW on all flows whose targets live, where the
// machine that took the packets, the target's machine and the sender of a reset are
// in touch.
func (f *fleet) judgeFlows() {
	r := f.record
	r.lock.Lock()
	resets, arrivals, holders := slices.Clone(r.resets), maps.Clone(r.arrivals), maps.Clone(r.holders)
	r.lock.Unlock()
	for _, s := range resets {
		holder := holders[s.key]
		sender, machine := f.find(s.sender), f.find(holder.id)
		isCounted := sender != nil && machine != nil && sender.isInTouch(s.at) && machine.isInTouch(s.at) && f.tookInTouch(s.key, s.at.Add(-lookBack), s.at)
		if isCounted {
			r.fail("FLOW", "at %s the flow of %s, open at %s, was reset by %s", r.stamp(s.at), s.key.caller, holder.id, sender.name)
			continue
		}
		r.count("resets of open flows that are excused")
	}
	for key, list := range arrivals {
		holder := holders[key]
		if holder == nil || holder.hasCrashed() {
			continue
		}
		f.judgeReordering(key, holder, list)
	}
}

// judgeReordering looks for a time in which packets of an open flow reached other
// targets and none its own, while the caller kept the flow.
func (f *fleet) judgeReordering(key flowKey, holder *target, list []arrival) {
	var strayed []arrival
	isOpen := false
	check := func(end time.Time) {
		if len(strayed) == 0 || end.Sub(strayed[0].at) < reorderLimit {
			return
		}
		first := strayed[0].at
		count := 0
		for _, a := range strayed {
			if a.at.Sub(first) <= reorderLimit {
				count++
			}
		}
		if count < reorderCount {
			return
		}
		machine := f.find(holder.id)
		if !machine.isInTouch(first) || !machine.isInTouch(end) || !f.tookInTouch(key, first.Add(-50*time.Millisecond), first.Add(reorderLimit)) {
			f.record.count("strayed flows that are excused")
			return
		}
		f.record.fail("FLOW", "from %s to %s %d packets of the flow of %s, open at %s, reached other targets (%s) and none its own",
			f.record.stamp(first), f.record.stamp(end), len(strayed), key.caller, holder.id, strayed[0].target)
	}
	f.record.lock.Lock()
	closed := f.record.closed[key]
	f.record.lock.Unlock()
	for _, a := range list {
		switch {
		case !closed.IsZero() && !a.at.Before(closed):
		case a.isOwn && a.target == holder.id:
			check(a.at)
			isOpen, strayed = true, nil
		case isOpen:
			strayed = append(strayed, a)
		}
	}
	if !closed.IsZero() {
		check(closed)
	}
}

// tookInTouch reports whether all packets that a caller sent in a time were taken by
// balancers in touch.
func (f *fleet) tookInTouch(key flowKey, from, to time.Time) bool {
	f.record.lock.Lock()
	defer f.record.lock.Unlock()
	for _, s := range f.record.sendings[key] {
		if s.at.After(from) && !s.at.After(to) && !f.find(s.balancer).isInTouch(s.at) {
			return false
		}
	}
	return true
}
