package sizer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

const peerName = "kingcupvalved"

// newTLSConfig returns a configuration for the client and the server side.
func newTLSConfig() (*tls.Config, error) {
	config, err := issuer.NewTLS(peerName)
	if err != nil {
		return nil, merry.Prepend(err, "create certificate")
	}
	config.NextProtos = []string{http3.NextProtoH3}
	return config, nil
}

// measureSessionBytes measures the memory of peer sessions. Both ends of a session
// are in this process, so one end takes at most half of the value.
func measureSessionBytes(ctx context.Context) (Slope, error) {
	config, err := newTLSConfig()
	if err != nil {
		return Slope{}, err
	}
	return measureSizes(SlopeSessionBytes, "bytes", "sessions", []float64{8, 16, 32, 64}, func(size int) (float64, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		newMessenger := func(name string) (*messenger.Messenger, error) {
			return messenger.NewMessenger(messenger.Options{
				Address: netip.MustParseAddrPort("127.0.0.1:0"), TLS: config,
				Hello: func() *wirepb.Hello { return &wirepb.Hello{Process: name} },
			})
		}
		dialer, err := newMessenger("dialer")
		if err != nil {
			return 0, err
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = dialer.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		return measureHeap(func() error {
			for range size {
				peer, err := newMessenger("peer")
				if err != nil {
					return err
				}
				peer.Handle(messenger.LaneControl, func(_ context.Context, s *messenger.Stream) {
					_, _ = s.Receive()
				})
				go func() { _ = peer.Run(ctx) }()
				if err := openStream(ctx, dialer, peer.Address()); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// openStream opens a session, waits for the peer's Hello so that both ends are
// established, and sends a digest. The stream stays open.
func openStream(ctx context.Context, m *messenger.Messenger, address netip.AddrPort) error {
	s, err := m.Open(ctx, address, messenger.LaneControl)
	if err != nil {
		return err
	}
	return s.Send(newDigest(1))
}

// quicEndpoints is a QUIC listener and a client transport on loopback.
type quicEndpoints struct {
	listener *quic.Listener
	server   *quic.Transport
	client   *quic.Transport
	config   *tls.Config
	accepted chan *quic.Conn
}

func newQUICEndpoints() (*quicEndpoints, error) {
	config, err := newTLSConfig()
	if err != nil {
		return nil, err
	}
	p := &quicEndpoints{config: config, accepted: make(chan *quic.Conn, 1)}
	for _, t := range []**quic.Transport{&p.server, &p.client} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, merry.Prepend(err, "listen on loopback")
		}
		*t = &quic.Transport{Conn: conn, ConnectionIDLength: 20}
	}
	if p.listener, err = p.server.Listen(config, &quic.Config{MaxIdleTimeout: time.Minute}); err != nil {
		return nil, merry.Prepend(err, "listen for connections")
	}
	return p, nil
}

func (p *quicEndpoints) connect(ctx context.Context) error {
	go func() {
		if conn, err := p.listener.Accept(ctx); err == nil {
			p.accepted <- conn
		}
	}()
	if _, err := p.client.Dial(ctx, p.server.Conn.LocalAddr(), p.config, &quic.Config{MaxIdleTimeout: time.Minute}); err != nil {
		return merry.Prepend(err, "dial")
	}
	select {
	case <-p.accepted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *quicEndpoints) close() {
	for _, t := range []*quic.Transport{p.client, p.server} {
		_ = t.Close()
		_ = t.Conn.Close()
	}
}

func (p *quicEndpoints) connectAll(ctx context.Context, count int) error {
	for range count {
		if err := p.connect(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measureFlowBytes measures the memory of idle QUIC connections. Both ends of a
// connection are in this process, so the value is above the memory of one flow at
// an agent.
func measureFlowBytes(ctx context.Context) (Slope, error) {
	return measureSizes(SlopeFlowBytes, "bytes", "flows", []float64{50, 100, 200, 400}, func(size int) (float64, error) {
		p, err := newQUICEndpoints()
		if err != nil {
			return 0, err
		}
		defer p.close()
		return measureHeap(func() error { return p.connectAll(ctx, size) })
	})
}

// measureHandshakeCPU measures the processor time of both ends of QUIC handshakes.
func measureHandshakeCPU(ctx context.Context) (Slope, error) {
	return measureSizes(SlopeHandshakeCPU, "us", "handshakes", []float64{50, 100, 200, 400}, func(size int) (float64, error) {
		p, err := newQUICEndpoints()
		if err != nil {
			return 0, err
		}
		defer p.close()
		start, err := readProcessorTime()
		if err != nil {
			return 0, err
		}
		if err := p.connectAll(ctx, size); err != nil {
			return 0, err
		}
		end, err := readProcessorTime()
		return float64((end - start).Microseconds()), err
	})
}
