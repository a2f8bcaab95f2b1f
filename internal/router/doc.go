// Package router holds the routing table of packet flows and finds the next
// target to try for a packet.
//
// The targets of a flow are ranked by rendezvous hashing of the flow key and
// the target IDs. A packet that opens a flow (SYN) goes to the highest-ranked
// target that may take new flows. Every other packet is offered to the targets
// in rank order until the one that holds the flow accepts it. No process needs
// per-flow state, and a change of the set of targets costs an open flow at most
// additional hops.
//
// A search has two passes. The first pass visits the targets that a process
// prefers: those whose agents answer, and for opening packets those with a free
// slot. The second pass visits the remaining targets. If the first pass skipped
// a listed target, the second pass visits all listed targets, because another
// process may be able to reach the skipped one.
//
// # Usage
//
//	table := router.NewTable(config, targets, revision)
//	route, ok := table.FindRoute(packet.Destination)
//	hop, ok := table.FindNextHop(route, key, mark, accept)
package router
