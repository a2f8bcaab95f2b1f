// Package router holds the routing table of packet flows and searches it for
// the target of a packet.
//
// Every flow has an order of targets that follows from its key and the names
// of the targets alone. An opening packet goes to the first target of the
// order that may take new work, and every other packet is offered to one
// target after the other until the one that holds the flow accepts it. No
// process has to remember a flow, and a change of the set of targets costs a
// flow at most additional hops.
//
// A search has two passes. The first one visits the targets that a process
// would choose: live ones, and for opening packets those with a free slot. The
// second pass visits the rest, or all listed targets if a process has passed
// over one that another may reach.
//
// # Usage
//
//	table := router.NewTable(config, targets, revision)
//	route, ok := table.Route(packet.Destination)
//	hop, ok := table.Search(route, key, mark, accept)
package router
