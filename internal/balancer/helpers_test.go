package balancer

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

const (
	cutlistNumber = 7
	archiveNumber = 8
	testTimeout   = 5 * time.Second
)

var (
	cutlistAddress = netip.MustParseAddrPort("198.18.0.1:443")
	archiveAddress = netip.MustParseAddrPort("198.18.0.2:443")
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func newRing() *deriver.KeyRing {
	return must(deriver.NewKeyRing(must(deriver.NewSecret(1, bytes.Repeat([]byte{7}, deriver.MinSecretSize)))))
}

// endpoint is a UDP socket in the role of a caller or of the tunnel socket of an agent.
type endpoint struct {
	t     testing.TB
	conn  *net.UDPConn
	codec *tunneler.Codec
}

func newEndpoint(t testing.TB) *endpoint {
	conn := must(net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))))
	t.Cleanup(func() { _ = conn.Close() })
	return &endpoint{t: t, conn: conn, codec: must(tunneler.NewCodec(newRing()))}
}

func (e *endpoint) address() netip.AddrPort {
	return e.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (e *endpoint) send(to netip.AddrPort, b []byte) {
	e.t.Helper()
	if _, err := e.conn.WriteToUDPAddrPort(b, to); err != nil {
		e.t.Fatal(err)
	}
}

func (e *endpoint) receive() ([]byte, netip.AddrPort) {
	e.t.Helper()
	if err := e.conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		e.t.Fatal(err)
	}
	b := make([]byte, 65536)
	n, from, err := e.conn.ReadFromUDPAddrPort(b)
	if err != nil {
		e.t.Fatal(err)
	}
	return b[:n], from
}

// receiveTunnel returns the next tunnel datagram for which accept returns true.
func (e *endpoint) receiveTunnel(accept func(tunneler.Header) bool) (tunneler.Header, []byte, netip.AddrPort) {
	e.t.Helper()
	for {
		b, from := e.receive()
		h, payload, err := e.codec.Decode(b)
		if err != nil {
			e.t.Fatal(err)
		}
		if accept(h) {
			return h, payload, from
		}
	}
}

func isData(h tunneler.Header) bool { return !h.IsLocal() }

// fleet is a configuration that a test can change while it runs.
type fleet struct {
	spec       cataloger.FleetSpec
	hosts      []cataloger.HostSpec
	snapshot   atomic.Pointer[cataloger.Snapshot]
	subscriber atomic.Pointer[func(*cataloger.Snapshot)]
}

func newFleet(agents ...*endpoint) *fleet {
	f := &fleet{}
	f.spec.Services = []cataloger.ServiceSpec{
		{Name: "cutlist-svc", Number: cutlistNumber, Addresses: []string{cutlistAddress.String()}},
		{Name: "drawing-archive", Number: archiveNumber, Addresses: []string{archiveAddress.String()}},
	}
	for i, a := range agents {
		f.spec.Services[0].Targets = append(f.spec.Services[0].Targets, cataloger.TargetSpec{
			Name: "t", Number: uint32(i + 1), TunnelAddress: a.address().String(), ControlAddress: "127.0.0.1:1",
		})
	}
	f.publish()
	return f
}

// publish creates a snapshot of the changed configuration and passes it to the
// subscriber.
func (f *fleet) publish() {
	f.spec.Revision++
	s := must(cataloger.NewSnapshot(f.spec, f.hosts))
	f.snapshot.Store(s)
	if notify := f.subscriber.Load(); notify != nil {
		(*notify)(s)
	}
}

func newOptions(f *fleet) Options {
	return Options{
		Ring: newRing(), Snapshot: f.snapshot.Load,
		Subscribe:     func(notify func(*cataloger.Snapshot)) { f.subscriber.Store(&notify) },
		BindAddress:   func(netip.AddrPort) netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") },
		TunnelAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		Incarnation:   42, SocketsPerAddress: 2, GracePeriod: time.Millisecond, Logger: zerolog.Nop(),
	}
}

// newBalancer starts a balancer and stops it at the end of the test.
func newBalancer(t testing.TB, options Options) *Balancer {
	t.Helper()
	b := must(NewBalancer(options))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return b
}

func boundAddress(t testing.TB, b *Balancer, published netip.AddrPort) netip.AddrPort {
	t.Helper()
	a, ok := b.BoundAddress(published)
	if !ok {
		t.Fatalf("%s is not bound", published)
	}
	return a
}

func newMarker() *marker.Marker { return must(marker.NewMarker(newRing())) }

// longPacket returns a long-header packet of size bytes with a connection ID.
func longPacket(id []byte, size int) []byte {
	b := append([]byte{0xc0, 0, 0, 0, 1, byte(len(id))}, id...)
	return append(b, make([]byte, max(0, size-len(b)))...)
}

// shortPacket returns a short-header packet with a connection ID.
func shortPacket(id []byte) []byte {
	return append(append([]byte{0x40}, id...), make([]byte, 30)...)
}

// await polls until another goroutine has made a condition true.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
