// Package chooser decides which targets a search for the target of a packet
// visits, from the states of the targets and what their agents report. It uses
// no sockets and no clock.
//
// # Usage
//
//	c := chooser.NewChooser(isDown, report)
//	hop, ok := table.Search(route, key, mark, c.AcceptOpening(route.ServiceOf(key)))
//	hop, ok = table.Search(route, key, mark, c.AcceptOpen())
package chooser

import "kingcupvalve.example/kingcupvalve/internal/router"

// queueFactor times the slots is the load above which a target gets no new
// flow, whatever the load of the others is: a longer queue is shed by the
// targets themselves.
const queueFactor = 4

// Report is what the agent of a target last said.
type Report struct {
	Running   int
	Slots     int
	IsLeaving bool
	IsSilent  bool
}

// HasFreeSlot reports whether a request would run at once.
func (r Report) HasFreeSlot() bool { return r.Slots == 0 || r.Running < r.Slots }

// HasRoom reports whether a request would find a place in the queue.
func (r Report) HasRoom() bool { return r.Slots == 0 || r.Running < queueFactor*r.Slots }

// Chooser gives the conditions of searches.
type Chooser struct {
	isDown func(target uint32) bool
	report func(target uint32) (Report, bool)
}

// NewChooser returns a chooser. IsDown reports targets whose agent does not
// answer, and report returns what an agent last said.
func NewChooser(isDown func(target uint32) bool, report func(target uint32) (Report, bool)) *Chooser {
	return &Chooser{isDown: isDown, report: report}
}

// AcceptOpening returns the condition for an opening packet. The first pass
// visits targets with a free slot, the second one those with room in the queue
// and those that other processes may not know yet: a packet of a flow there
// could be taken for one that no target holds.
func (c *Chooser) AcceptOpening(service string) router.Accept {
	return func(number uint32, target *router.Target, secondPass bool) bool {
		if target.Service != service || target.State != router.Serving && target.State != router.Lapsed || c.isDown(number) {
			return false
		}
		r, known := c.report(number)
		if !known {
			// An agent that was never heard of may be just starting.
			return target.State == router.Serving && target.IsFresh == secondPass
		}
		if r.IsLeaving || r.IsSilent {
			return false
		}
		if secondPass {
			return r.HasRoom()
		}
		return r.HasFreeSlot() && !target.IsFresh
	}
}

// AcceptOpen returns the condition for a packet of an open flow: first the
// listed targets whose agents answer, then listed ones whose agents do not
// answer, which may hold the flow all the same, and others whose agents do.
func (c *Chooser) AcceptOpen() router.Accept {
	return func(number uint32, target *router.Target, secondPass bool) bool {
		isListed, isDown := target.State != router.Gone, c.isDown(number)
		if secondPass {
			return isListed == isDown
		}
		return isListed && !isDown
	}
}
