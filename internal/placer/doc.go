// Package placer decides where a packet of a flow goes next: to a target, to the
// next target of its search, or nowhere. It uses no sockets and takes the time as
// a parameter.
//
// A Balancer decides for the packets that callers send. It caches the target of
// each flow as a hint, so that most packets need no search of the routing table. A
// hint may be evicted or out of date; an agent whose target does not hold the flow
// searches again from the flow's first target.
//
// An Agent decides for the packets that reach the agent beside a target. It knows
// the load of its target better than the process that sent the packet, and passes
// a new flow on that its target can't or shouldn't accept.
//
// # Usage
//
//	b, err := placer.NewBalancer(zone, chooser)
//	hop, ok := b.Place(table, route, packet)
//
//	a := placer.NewAgent(placer.AgentOptions{Backend: address, Service: service, Chooser: c, Tracker: t})
//	decision := a.Decide(table, route, packet, tableAge, now)
package placer
