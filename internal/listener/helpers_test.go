package listener

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
	"kingcupvalve.example/kingcupvalve/standin/relayer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testService  = 3
	otherService = 4
)

var (
	published      = netip.MustParseAddrPort("127.0.0.1:443")
	otherPublished = netip.MustParseAddrPort("127.0.0.2:443")
	callerAddress  = netip.MustParseAddrPort("127.0.0.1:5000")
	anyPort        = netip.MustParseAddrPort("127.0.0.1:0")
)

// fleet is a configuration that a test may change.
type fleet struct {
	snapshot atomic.Pointer[cataloger.Snapshot]
	tunnels  []netip.AddrPort
	address  netip.AddrPort
	// balancer is the tunnel address of the balancer in the host list.
	balancer netip.AddrPort
}

// publish installs a revision in which the given targets (from 1) are leaving.
func (f *fleet) publish(t testing.TB, revision uint64, leaving ...uint32) {
	t.Helper()
	service := cataloger.ServiceSpec{Name: "a", Number: testService, Addresses: []string{f.address.String()}}
	for i, tunnel := range f.tunnels {
		target := cataloger.TargetSpec{
			Name: string(rune('a' + i)), Number: uint32(i + 1),
			TunnelAddress: tunnel.String(), ControlAddress: "127.0.0.1:1",
		}
		for _, n := range leaving {
			if n == target.Number {
				target.State = cataloger.TargetLeaving
			}
		}
		service.Targets = append(service.Targets, target)
	}
	other := cataloger.ServiceSpec{Name: "b", Number: otherService, Addresses: []string{otherPublished.String()}}
	var hosts []cataloger.HostSpec
	if f.balancer.IsValid() {
		hosts = append(hosts, cataloger.HostSpec{
			Name: "balancer", Role: cataloger.RoleBalancer, State: cataloger.HostLive,
			ControlAddress: "127.0.0.1:1", TunnelAddress: f.balancer.String(),
		})
	}
	s, err := cataloger.NewSnapshot(cataloger.FleetSpec{
		Revision: revision, Services: []cataloger.ServiceSpec{service, other},
	}, hosts)
	if err != nil {
		t.Fatal(err)
	}
	f.snapshot.Store(s)
}

// newListeners returns count listeners, for the targets 1 to count.
func newListeners(t *testing.T, count int, change func(*Options)) (*fleet, []*Listener) {
	t.Helper()
	f := &fleet{address: published}
	f.publish(t, 1)
	var listeners []*Listener
	for i := range count {
		o := Options{
			Address: anyPort, Target: uint32(i + 1), Incarnation: 100, Service: testService,
			Ring: issuer.MustKeyRing(t, 1), Snapshot: f.snapshot.Load, Logger: zerolog.Nop(),
		}
		if change != nil {
			change(&o)
		}
		l, err := NewListener(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		listeners = append(listeners, l)
		f.tunnels = append(f.tunnels, l.Address())
	}
	f.publish(t, 2)
	return f, listeners
}

// newFlow returns the first packet of a caller with a connection ID.
func newFlow(id string) []byte {
	packet := append([]byte{0xc0, 0, 0, 0, 1, byte(len(id))}, id...)
	return append(packet, make([]byte, 1200-len(packet))...)
}

func encode(t testing.TB, ring *deriver.KeyRing, h tunneler.Header, packet []byte) []byte {
	t.Helper()
	codec, err := tunneler.NewCodec(ring)
	if err != nil {
		t.Fatal(err)
	}
	return codec.Encode(nil, h, packet)
}

func toService(revision uint64) tunneler.Header {
	return tunneler.Header{Source: callerAddress, Destination: published, Service: testService, Revision: revision}
}

// newRelayer returns a relayer whose route a test sets.
func newRelayer(t *testing.T, f *fleet, route func(mark marker.Mark, isMarked bool) (netip.AddrPort, tunneler.Flags)) *relayer.Relayer {
	t.Helper()
	r, err := relayer.NewRelayer(relayer.Options{
		Ring: issuer.MustKeyRing(t, 1), Service: testService, Route: route, Revision: func() uint64 { return f.snapshot.Load().Revision() },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	f.address, f.balancer = r.Address(), r.TunnelAddress()
	f.publish(t, 2)
	r.Run()
	return r
}

// serve accepts connections and echoes their streams.
func serve(t *testing.T, l *Listener, config *tls.Config) {
	t.Helper()
	q, err := l.Listen(config, &quic.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = l.Run(ctx) })
	wait.Go(func() {
		for {
			c, err := q.Accept(ctx)
			if err != nil {
				return
			}
			wait.Go(func() { echo(c) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		wait.Wait()
	})
}

func echo(c *quic.Conn) {
	for {
		s, err := c.AcceptStream(context.Background())
		if err != nil {
			return
		}
		b := make([]byte, 1<<10)
		n, _ := s.Read(b)
		_, _ = s.Write(b[:n])
		_ = s.Close()
	}
}
