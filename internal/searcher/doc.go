// Package searcher decides where a balancer sends a packet again whose flow it did
// not find. It uses no sockets and takes the time as a parameter.
//
// A packet of an open flow that a balancer has no hint for visits the flow's targets
// one after the other. A hop that does not answer (a target that is silent behind a
// live agent, an agent that is stopped, frozen or cut off) ends this search, and each
// copy of the packet takes the same way. So the balancer keeps the first packet of
// the flow until the agent of the target that holds it, or the agent that ends the
// search, tells so. Without that answer it sends the packet on several branches, each
// through a part of the targets, and after each further wait on more branches, until
// the packet goes to every target directly. Then no hop hides another one.
//
// A branch visits a part of the targets, so its end proves nothing and resets no
// flow. The packets of all branches together visit each target once per step, and the
// bytes that a balancer sends on branches are limited, as is the number of searches.
//
// # Usage
//
//	s := searcher.NewSearcher[[]byte](searcher.Options{Accept: chooser.AcceptOpenFlow})
//	s.Start(packet, func() []byte { return bytes.Clone(datagram) }, now)
//	s.Finish(flow, searcher.Found)
//	visits := s.Tick(table, now)
package searcher
