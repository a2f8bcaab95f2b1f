// Package chooser filters the targets that a search in the routing table visits,
// by the lifecycle state of each target and the load and health that its agent
// reports. It uses no sockets and no clock.
//
// # Usage
//
//	c := chooser.NewChooser(isDown, report)
//	hop, ok := table.FindNextHop(route, key, mark, c.AcceptNewFlow(table, route.SelectService(key), key))
//	hop, ok = table.FindNextHop(route, key, mark, c.AcceptOpenFlow())
package chooser

import (
	"time"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// maxLoadFactor times the slots is the load up to which a target accepts a new
	// flow when no target has a free slot. At this load one request runs and one
	// waits for each slot, so the wait is about one service time.
	maxLoadFactor = 2
	// candidates is the number of targets that are compared for a new flow. Each
	// one more costs hops when a balancer has no hint for the flow.
	candidates = 4
	// localMargin is the factor by which a target in the balancer's availability
	// zone may be expected to be slower than another one.
	localMargin = 1.5
	// noiseMargin is the factor by which a target may be expected to be slower than
	// another one and count as equal.
	noiseMargin = 1.5
)

// Report is the last load and health report of a target's agent. Running counts
// requests; Slots is 0 if the capacity of the target is not known, and ServiceTime,
// the lower end of its error, is 0 if no request has been observed recently.
type Report struct {
	Running     int
	Slots       int
	ServiceTime time.Duration
	IsLeaving   bool // the agent is about to stop
	IsSilent    bool // the target does not answer opening packets
	// IsSuspect is set when the target is an outlier by its response times or lost
	// an open flow.
	IsSuspect bool
	// IsCold is set while the agent bounds the opening packets at its target.
	IsCold bool
}

// HasFreeSlot reports whether a request would start without waiting. A suspect
// target counts as full, so that it gets work only when all others are full.
func (r Report) HasFreeSlot() bool { return !r.IsSuspect && (r.Slots == 0 || r.Running < r.Slots) }

// HasQueueRoom reports whether a target accepts an opening packet in the second
// pass of a search. A retransmitted opening packet (isRetransmission) gets a free
// slot only: its request is late already and must not delay requests that can
// still finish in time. A target whose slots are not known accepts every packet.
func (r Report) HasQueueRoom(isRetransmission bool) bool {
	switch {
	case r.Slots == 0:
		return true
	case isRetransmission:
		return r.HasFreeSlot()
	}
	return r.Running < maxLoadFactor*r.Slots
}

// Policy is the rules of a chooser, which experiments replace.
type Policy struct {
	// Candidates is the number of targets that are compared for a new flow.
	Candidates int
	// LocalMargin is the factor by which the expected time of a target in the
	// balancer's availability zone may exceed that of another one.
	LocalMargin float64
	// NoiseMargin is the factor by which the expected time of a target may exceed the
	// lowest one and count as equal.
	NoiseMargin float64
	// PrefersReported is set if targets whose agents have reported come first.
	PrefersReported bool
	// VisitsFull reports whether the first pass also visits a target that was full when
	// its agent reported. If it is nil, the first pass visits none.
	VisitsFull func(target uint32) bool
	// HasQueueRoom reports whether a target accepts an opening packet in the second
	// pass of a search.
	HasQueueRoom func(r Report, isRetransmission bool) bool
	// SharesCold is set if cold targets are visited for a share of the flows only.
	SharesCold bool
}

// DefaultPolicy returns the rules of the product.
func DefaultPolicy() Policy {
	return Policy{Candidates: candidates, LocalMargin: localMargin, NoiseMargin: noiseMargin, PrefersReported: true, HasQueueRoom: Report.HasQueueRoom, SharesCold: true}
}

// Chooser builds the target filters of searches.
type Chooser struct {
	isDown func(target uint32) bool
	report func(target uint32) (Report, bool)
	policy Policy
}

// NewChooser returns a chooser. The function isDown reports whether the agent of
// a target fails to answer, and report returns the last report of an agent, if
// there is one.
func NewChooser(isDown func(target uint32) bool, report func(target uint32) (Report, bool)) *Chooser {
	return &Chooser{isDown: isDown, report: report, policy: DefaultPolicy()}
}

// IsDown reports whether the agent of a target fails to answer.
func (c *Chooser) IsDown(target uint32) bool { return c.isDown(target) }

// IsFull reports whether the agent of a target answers and its last report, if there
// is one, shows no free slot of a target that gets new flows.
func (c *Chooser) IsFull(target uint32) bool {
	r, known := c.report(target)
	return known && !c.isDown(target) && !r.IsLeaving && !r.IsSilent && !r.HasFreeSlot()
}

// Policy returns the policy of the chooser.
func (c *Chooser) Policy() Policy { return c.policy }

// WithPolicy returns a chooser that has another policy.
func (c *Chooser) WithPolicy(p Policy) *Chooser {
	return &Chooser{isDown: c.isDown, report: c.report, policy: p}
}

// ServiceTime returns the time that requests recently occupied a slot of a target,
// or 0 if it is not known.
func (c *Chooser) ServiceTime(target uint32) time.Duration {
	r, _ := c.report(target)
	return r.ServiceTime
}

// AcceptNewFlow returns the filter for packets that open the flow with a key at a
// service of the table. The
// first pass visits targets with a free slot. The second pass visits the others,
// whose agents decide by their current load. A target that other processes may
// not know yet is left to the second pass too, because a search in an older table
// would not find the flows that it holds. A cold target is visited for a share of the
// flows only, in both passes.
func (c *Chooser) AcceptNewFlow(table *router.Table, service string, key uint64) router.AcceptFunc {
	cold := newColdFilter(c, table, service, key)
	return func(number uint32, target *router.Target, pass framer.Pass) bool {
		if target.Service != service || !target.TakesNewFlows() || c.isDown(number) {
			return false
		}
		r, known := c.report(number)
		if cold != nil && isCold(target, r, known) && !cold.accepts(number, target) {
			return false
		}
		if !known {
			// An agent that has not reported yet may not run yet, and a flow would wait
			// for a retransmission.
			return target.State == router.Serving && (pass.IsSecond() || !c.policy.PrefersReported && !target.IsPropagating)
		}
		if r.IsLeaving || r.IsSilent {
			return false
		}
		return pass.IsSecond() || (r.HasFreeSlot() || !r.IsSuspect && c.policy.VisitsFull != nil && c.policy.VisitsFull(number)) && !target.IsPropagating
	}
}

// AcceptSilent returns the filter for packets that open a flow at a service while every
// other target is away. It visits targets that are silent: such a target may answer
// again, and only a packet to it can show this.
func (c *Chooser) AcceptSilent(service string) router.AcceptFunc {
	return func(number uint32, target *router.Target, pass framer.Pass) bool {
		return pass.IsSecond() && target.Service == service && c.IsSilent(number, target)
	}
}

// IsSilent reports whether a target would get new flows but for its silence, as its
// agent reported.
func (c *Chooser) IsSilent(number uint32, target *router.Target) bool {
	if !target.TakesNewFlows() || c.isDown(number) {
		return false
	}
	r, known := c.report(number)
	return known && r.IsSilent && !r.IsLeaving
}

// AcceptOpenFlow returns the filter for packets of open flows. The first pass
// visits listed targets whose agents answer. The second pass visits listed
// targets whose agents do not answer, because such a target may still hold the
// flow, and unlisted targets whose agents do answer. A full pass visits every
// listed target again, since a target may be unreachable only for the process
// that skipped it.
func (c *Chooser) AcceptOpenFlow() router.AcceptFunc {
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
