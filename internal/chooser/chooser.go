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

import (
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// queueFactor times the slots is the load up to which a target gets the first
// packet of a new flow although no target has a free slot. With one request
// running and one waiting for each slot, the wait is about one service time.
const queueFactor = 2

// Report is what the agent of a target last said.
type Report struct {
	Running   int
	Slots     int
	IsLeaving bool
	IsSilent  bool
	// IsSuspect is set when the target answers much sooner or later than usual.
	IsSuspect bool
}

// HasFreeSlot reports whether a request would run at once. The slots of a
// suspect target count as taken, so that it gets work only when all others
// are full.
func (r Report) HasFreeSlot() bool { return !r.IsSuspect && (r.Slots == 0 || r.Running < r.Slots) }

// HasRoom reports whether a target takes an opening packet although no target
// has a free slot. A copy of one belongs to a request that is late already, so
// it waits until the requests in time are served.
func (r Report) HasRoom(isCopy bool) bool {
	return r.Slots == 0 || !isCopy && r.Running < queueFactor*r.Slots
}

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
// visits targets with a free slot. The second one visits all others, whose
// agents decide by their present load. A target that other processes may not know yet waits for
// the second pass too, because a search through an older table would find
// that no target holds its flows.
func (c *Chooser) AcceptOpening(service string) router.Accept {
	return func(number uint32, target *router.Target, pass framer.Pass) bool {
		if target.Service != service || target.State != router.Serving && target.State != router.Lapsed || c.isDown(number) {
			return false
		}
		r, known := c.report(number)
		if !known {
			// An agent that was never heard of may be just starting.
			return target.State == router.Serving && target.IsFresh == pass.IsSecond()
		}
		if r.IsLeaving || r.IsSilent {
			return false
		}
		return pass.IsSecond() || r.HasFreeSlot() && !target.IsFresh
	}
}

// AcceptOpen returns the condition for a packet of an open flow: first the
// listed targets whose agents answer, then listed ones whose agents do not
// answer, which may hold the flow all the same, and others whose agents do. A
// full pass visits every listed target, since the process that passed over one
// may be the only one that its agent does not answer.
func (c *Chooser) AcceptOpen() router.Accept {
	return func(number uint32, target *router.Target, pass framer.Pass) bool {
		isListed, isDown := target.State != router.Gone, c.isDown(number)
		switch {
		case pass == framer.FullPass:
			return isListed || !isDown
		case pass.IsSecond():
			return isListed == isDown
		}
		return isListed && !isDown
	}
}
