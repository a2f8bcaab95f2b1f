package placer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/admitter"
	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/pacer"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/tracker"
)

// Action is what an agent does with a packet.
type Action uint8

// Actions of an agent.
const (
	// Deliver hands the packet to the agent's target.
	Deliver Action = iota
	// PassOn sends the packet to the agent of Decision.Hop.
	PassOn
	// Drop discards the packet, because no target is left.
	Drop
	// Reset discards the packet and resets its flow, because a current table proves
	// that no target holds it, or that every zone with live targets for a new flow is
	// evacuated.
	Reset
	// DropCopy discards a copy of the opening packet of a flow that the agent's target
	// holds, because the target is cold. The flow goes on.
	DropCopy
	// Refuse discards an opening packet and resets its flow, because its request can't
	// be served in time.
	Refuse
	// Probe hands the packet to the agent's target to find out whether it answers. The
	// caller does not get the answer.
	Probe
)

// Decision is what an agent does with a packet. Hop is set for PassOn, Admission if
// the agent decided by priority.
type Decision struct {
	Action Action
	Hop    router.Hop
	// IsEvacuated is set if the target gets no new flow because its zone is evacuated.
	IsEvacuated bool
	Admission   Admission
}

// AgentOptions configures an Agent.
type AgentOptions struct {
	// Backend is the UDP address of the target.
	Backend netip.AddrPort
	// Service is the service that the target serves.
	Service string
	// Zone is the availability zone of the target.
	Zone    string
	Chooser *chooser.Chooser
	Tracker *tracker.Tracker
	// Pacer bounds the opening packets while the target is cold. It may be nil.
	Pacer *pacer.Pacer
	// Admitter decides about opening packets of routes with a priority. If it is nil,
	// the slots alone decide.
	Admitter *admitter.Admitter
}

// Agent places the packets that reach the agent of one target. It is safe for
// concurrent use.
type Agent struct {
	options    AgentOptions
	isStopping atomic.Bool
}

// NewAgent returns an agent that accepts new flows.
func NewAgent(options AgentOptions) *Agent {
	if options.Pacer == nil {
		options.Pacer = pacer.NewPacer(pacer.Options{})
	}
	return &Agent{options: options}
}

// RefuseNewFlows makes the agent pass new flows on from now on.
func (a *Agent) RefuseNewFlows() { a.isStopping.Store(true) }

// FindOwnTarget returns the entry of the agent's target in a table, or false if
// the table has none for its address and service.
func (a *Agent) FindOwnTarget(table *router.Table) (uint32, *router.Target, bool) {
	number, target, ok := table.FindTargetAt(a.options.Backend)
	if !ok || target.Service != a.options.Service {
		return 0, nil, false
	}
	return number, target, true
}

// IsEvacuated reports whether the agent's target gets no new flows because of the
// evacuation of its zone. That holds without an entry of the target, too: it may have
// lapsed, or another entry may have its address.
func (a *Agent) IsEvacuated(table *router.Table) bool {
	if table.IsEvacuated(a.options.Zone) {
		return true
	}
	_, target, ok := a.FindOwnTarget(table)
	return ok && target.IsEvacuated
}

// Decide decides about a caller's packet that a balancer or another agent sent.
// The age is the time since the table was last known to be current.
func (a *Agent) Decide(table *router.Table, route *router.Route, p framer.Packet, age time.Duration, now time.Time) Decision {
	switch {
	case !p.SYN:
		return a.decideOpenFlow(table, route, p, age, now)
	case p.Mark.IsProbe():
		return a.decideProbe(table, route, p, now)
	}
	admission := Admission{}
	isAccepted := route.Allows(a.options.Service) && a.decideNewFlow(table, route, p, age, now, &admission)
	switch {
	case isAccepted && a.options.Pacer.Admit(now):
		return Decision{Action: Deliver, Admission: admission}
	case isAccepted:
		return a.refuseCold(table, route, p, age)
	}
	decision := a.PassOn(table, route, p, age)
	decision.Admission = admission
	if decision.IsEvacuated = a.IsEvacuated(table); decision.IsEvacuated {
		evacuationsPassedOn.Inc()
	}
	if decision.Action == Drop && admission.IsDecided {
		return a.decideLast(table, route, p, age, admission, now)
	}
	return decision
}

// decideProbe decides about a copy of an opening packet that tests a silent target. The
// target gets it under the same conditions as a new flow.
func (a *Agent) decideProbe(table *router.Table, route *router.Route, p framer.Packet, now time.Time) Decision {
	_, target, ok := a.FindOwnTarget(table)
	isAllowed := ok && target.TakesNewFlows() && !a.isStopping.Load() && !a.IsEvacuated(table) && route.SelectService(p.Key()) == a.options.Service
	if isAllowed && a.options.Tracker.AcceptProbe(p.Key(), now) && a.options.Pacer.Admit(now) {
		return Decision{Action: Probe}
	}
	return Decision{Action: Drop}
}

// refuseCold decides about an opening packet above the bound of a cold target. A copy
// of a flow that the target holds must not open the flow at another target, so it is
// dropped; its caller sends another one.
func (a *Agent) refuseCold(table *router.Table, route *router.Route, p framer.Packet, age time.Duration) Decision {
	if a.options.Tracker.HoldsFlow(p.Key(), p.Sequence) {
		return Decision{Action: DropCopy}
	}
	return a.PassOn(table, route, p, age)
}

// decideOpenFlow decides about a packet of an open flow. The target gets it unless it
// certainly does not hold the flow: the agent knows all of its flows, or its service
// neither is nor was one of the route's. A process that does not know the earlier
// services waits for its peers to tell, and asks the target if none of them knows.
func (a *Agent) decideOpenFlow(table *router.Table, route *router.Route, p framer.Packet, age time.Duration, now time.Time) Decision {
	isOfRoute := route.IsOrWasOf(a.options.Service)
	switch {
	case !isOfRoute && !table.SearchesAll() || a.options.Tracker.Lacks(p.Key(), now):
		return a.PassOn(table, route, p, age)
	case !isOfRoute && table.AwaitsRouteHistory():
		return Decision{Action: Drop}
	}
	return Decision{Action: Deliver}
}

// DecideUnrouted decides about a caller's packet to an address that the table does
// not list. Before the first table is known, packets of open flows go to the agent's
// target: an agent that was restarted serves the flows that its target has held all
// the while, and the target returns what it does not hold.
func (a *Agent) DecideUnrouted(table *router.Table, p framer.Packet) Action {
	if table.Version() == 0 && !p.SYN {
		return Deliver
	}
	return Drop
}

// decideNewFlow decides whether the agent's target gets a new flow, and sets the
// admission if the priority decided.
func (a *Agent) decideNewFlow(table *router.Table, route *router.Route, p framer.Packet, age time.Duration, now time.Time, admission *Admission) bool {
	key := p.Key()
	if a.options.Tracker.HoldsFlow(key, p.Sequence) {
		return true
	}
	_, target, ok := a.FindOwnTarget(table)
	if a.isStopping.Load() || a.IsEvacuated(table) || ok && !target.TakesNewFlows() {
		return false
	}
	if route.SelectService(key) != a.options.Service {
		return false
	}
	if !ok {
		// If a current table lacks this target, or lists another service at its
		// address, the sender's table is out of date. A table that is itself out of
		// date proves nothing, so the flow is accepted.
		return age >= router.MaxConclusiveAge
	}
	load := a.options.Tracker.Load(now)
	if load.IsSilent {
		return a.options.Tracker.TryProbe(now)
	}
	if a.options.Admitter != nil && route.HasPriority {
		*admission = a.admit(table, route, p, target, now)
		return admission.Verdict.IsAccepted()
	}
	report := chooser.Report{Running: load.Running, Slots: target.Slots, ServiceTime: load.ServiceTime, IsSuspect: load.IsSuspect}
	if p.Mark.Pass().IsSecond() {
		return a.options.Chooser.Policy().HasQueueRoom(report, p.AckNumber > 0)
	}
	return report.HasFreeSlot()
}

// PassOn decides about a packet that the agent's target does not get: it goes to
// the next target of its search.
func (a *Agent) PassOn(table *router.Table, route *router.Route, p framer.Packet, age time.Duration) Decision {
	if p.SYN && p.Mark.IsProbe() {
		return Decision{Action: Drop}
	}
	accept := a.options.Chooser.AcceptOpenFlow()
	key := p.Key()
	if p.SYN {
		accept = a.options.Chooser.AcceptNewFlow(table, route.SelectService(key), key)
	}
	own, _, _ := a.FindOwnTarget(table)
	others := func(n uint32, t *router.Target, pass framer.Pass) bool { return n != own && accept(n, t, pass) }
	hop, ok := table.FindNextHop(route, key, p.Mark, others)
	switch {
	case ok && p.Mark.Hops < router.MaxHops:
		hop.Mark.Hops++
		return Decision{Action: PassOn, Hop: hop}
	case !p.SYN && !p.RST && !p.Mark.IsBranch() && p.Mark.Hops < router.MaxHops && !route.IsPropagating && table.ProvesNoHolder(age):
		return Decision{Action: Reset}
	case p.SYN && p.AckNumber == 0 && table.ProvesNoHolder(age) && table.IsServiceEvacuated(route.SelectService(key), a.options.Chooser.IsDown):
		// A later copy is dropped instead: a target may hold the flow by an earlier one,
		// and a reset would break it.
		evacuationsReset.Inc()
		return Decision{Action: Reset}
	}
	return Decision{Action: Drop}
}
