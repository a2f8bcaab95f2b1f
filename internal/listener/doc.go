// Package listener implements the QUIC transport of an agent over the tunnel to
// the balancers.
//
// A Listener binds the agent's tunnel address. Each datagram is validated (MAC,
// service number, published address in the agent's own snapshot, mark, hop
// limit) before it is passed to QUIC; invalid ones are dropped and counted. The
// remote address that QUIC sees for a packet holds the caller and the published
// address, so that a response can be sent through any live balancer. New flows
// that the agent does not accept, because it drains, its target is leaving or
// its newer table selects another target, are forwarded to another target of
// the service; all datagrams of one handshake go to the same one.
//
// Connection IDs carry a mark with the agent's target and incarnation. The keys
// for stateless resets (RFC 9000, 10.3) and address validation tokens (RFC
// 9000, 8.1.3) come from the key ring, so that any agent of a service can
// reset the flows of a lost one.
//
// # Usage
//
//	l, err := listener.NewListener(listener.Options{
//		Address: address, Target: 7, Incarnation: 1, Service: 3, Ring: ring,
//		Snapshot: watcher.Snapshot,
//	})
//	go l.Run(ctx)
//	quicListener, err := l.Listen(tlsConfig, quicConfig)
package listener
