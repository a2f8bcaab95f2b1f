// Package follower keeps the routing table of a process up to date.
//
// A few agents, chosen by a hash of their targets' names, watch the platform.
// Every other process learns from beacons that a peer has a newer table and
// fetches the changes from that peer. A process whose table was not confirmed as
// current for a part of the deadline watches the platform itself, so that no
// single process is a point of failure. A process whose calls the platform
// refuses still gets changes from its peers.
//
// One goroutine owns the table. Reads run in other goroutines and send it their
// results over a channel.
//
// # Usage
//
//	f := follower.NewFollower(follower.Options{Source: source, FetchChanges: fetch, Peers: peers})
//	go f.Run(ctx)
//	<-f.Ready()
//	table := f.Table()
package follower
