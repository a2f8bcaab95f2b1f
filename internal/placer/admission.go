package placer

import (
	"time"

	"kingcupvalve.example/kingcupvalve/internal/admitter"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// Admission is what the admitter decided about an opening packet. IsDecided is false
// for packets about which it did not decide.
type Admission struct {
	IsDecided bool
	Verdict   admitter.Verdict
	Opening   admitter.Opening
	State     admitter.State
}

// admit lets the admitter decide about an opening packet.
func (a *Agent) admit(table *router.Table, route *router.Route, p framer.Packet, target *router.Target, now time.Time) Admission {
	demand := a.options.Tracker.Demand(p.Source.Addr(), now)
	s := admitter.State{
		Slots: target.Slots, Pending: demand.Running, OfCaller: demand.OfCaller, ServiceTime: demand.ServiceTime,
		IsSuspect: demand.IsSuspect, ByPriority: make(map[int]int),
	}
	for address, n := range demand.ByAddress {
		if other, ok := table.FindRoute(address); ok && other.HasPriority {
			s.ByPriority[other.Priority] += n
		}
	}
	o := admitter.Opening{
		Priority: route.Priority, LatencyTarget: route.LatencyTarget, Copy: p.AckNumber, IsSecondPass: p.Mark.Pass().IsSecond(),
	}
	return Admission{IsDecided: true, Verdict: a.options.Admitter.Admit(o, s, a.listClasses(table), now), Opening: o, State: s}
}

// decideLast decides about an opening packet that the agent's target did not accept
// and for which no other target is left. In the first pass it was compared with a free
// slot only, so that the queue of the own target is still to be considered.
func (a *Agent) decideLast(table *router.Table, route *router.Route, p framer.Packet, age time.Duration, admission Admission, now time.Time) Decision {
	if !admission.Opening.IsSecondPass {
		admission.Opening.IsSecondPass = true
		admission.Verdict = a.options.Admitter.Admit(admission.Opening, admission.State, a.listClasses(table), now)
		if admission.Verdict.IsAccepted() && a.options.Pacer.Admit(now) {
			return Decision{Action: Deliver, Admission: admission}
		}
	}
	if !p.Mark.IsBranch() {
		a.options.Admitter.RecordTurnedAway(admission.Opening, now)
	}
	if a.refuses(table, route, p, age, admission) {
		return Decision{Action: Refuse, Admission: admission}
	}
	return Decision{Action: Drop, Admission: admission}
}

// listClasses returns the priorities of the routes to the agent's service.
func (a *Agent) listClasses(table *router.Table) []admitter.Class {
	var classes []admitter.Class
	for _, r := range table.RoutesOf(a.options.Service) {
		if r.HasPriority {
			classes = append(classes, admitter.Class{Priority: r.Priority, LatencyTarget: r.LatencyTarget})
		}
	}
	return classes
}

// refuses decides whether an opening packet that no target accepted is refused. The
// table must be current. Every target that may get the flow must have been asked, as
// far as this process knows, because a target that holds the flow from an earlier
// copy accepts the packet; a reset would end that flow. Targets that get no new flows
// were not asked: they matter only if there was an earlier copy.
func (a *Agent) refuses(table *router.Table, route *router.Route, p framer.Packet, age time.Duration, admission Admission) bool {
	if p.Mark.IsBranch() || p.Mark.Hops >= router.MaxHops || !table.ProvesNoHolder(age) || !a.options.Admitter.Refuses(admission.Opening, admission.State) {
		return false
	}
	service, isProved := route.SelectService(p.Key()), true
	table.VisitTargets(func(n uint32, t *router.Target) {
		if t.Service != service || t.State == router.Gone || t.Address == a.options.Backend {
			return
		}
		if !t.TakesNewFlows() {
			isProved = isProved && p.AckNumber == 0
			return
		}
		isProved = isProved && a.options.Chooser.IsFull(n)
	})
	return isProved
}
