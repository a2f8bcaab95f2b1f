// Package messenger exchanges messages between processes of the system. It uses
// yamux sessions over mutual TLS 1.3, one session for each pair of processes
// and lane. Each stream carries protobuf envelopes with a varint length prefix.
//
// The lanes control, short and bulk have separate sessions, because on a single
// TCP connection short messages would wait behind long ones. A session is
// opened by the process that needs it, is shared by all its streams in that
// lane and is closed when it has had no streams for Options.IdleTimeout. Every
// stream opens with a Hello in each direction; a peer with another protocol
// version is refused.
//
// The dialing side sends a keepalive ping every 1.2 s; both sides end the
// session when the peer is silent for about 2 s. In the control lane no ping is
// sent while the dialing side sends other data; an unresponsive peer is then
// detected after 7 s. After a failed connection attempt, further attempts to
// the same address fail immediately until a jittered backoff has passed, so
// that callers can try another peer without waiting.
//
// # Usage
//
//	m, err := messenger.NewMessenger(messenger.Options{
//		Address: netip.MustParseAddrPort("127.0.0.1:7000"),
//		TLS:     tlsConfig,
//		Hello:   func() *wirepb.Hello { return &wirepb.Hello{Process: "balancer-1"} },
//	})
//	m.Handle(messenger.LaneControl, func(ctx context.Context, s *messenger.Stream) {
//		envelope, err := s.Receive()
//		...
//	})
//	go m.Run(ctx)
//	stream, err := m.Open(ctx, peer, messenger.LaneShort)
package messenger
