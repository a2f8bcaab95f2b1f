// Package follower keeps the routing table of a process up to date.
//
// A few agents, chosen by a hash of their targets' names, watch the platform.
// Every other process learns from beacons that a peer has a newer table and
// fetches the changes from it. A process that has not heard for a part of the
// deadline that its table is current watches the platform itself, so nothing depends on any
// single process, and a process that the platform turns away still learns from
// its peers.
//
// One goroutine owns the table; reads run beside it and hand over their
// results.
//
// # Usage
//
//	f := follower.NewFollower(follower.Options{Source: source, Pull: pull, Peers: peers})
//	go f.Run(ctx)
//	<-f.Ready()
//	table := f.Table()
package follower
