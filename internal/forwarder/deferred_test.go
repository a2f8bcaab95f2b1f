package forwarder

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// testTimeout bounds each wait. No test that passes depends on its value.
const testTimeout = 30 * time.Second

var published = netip.MustParseAddrPort("198.18.0.1:443")

// testCodec has packets of a caller's port and a flag that marks a reset.
func testCodec(caller netip.Addr) framer.Codec {
	return framer.Codec{
		Decode: func(b []byte) (framer.Packet, bool) {
			return framer.Packet{ACK: true, Source: netip.AddrPortFrom(caller, binary.BigEndian.Uint16(b)), Destination: published}, len(b) == 3
		},
		Mark: func([]byte, framer.Mark) {},
		EncodeReset: func(dst []byte, p framer.Packet) []byte {
			return append(binary.BigEndian.AppendUint16(dst, p.Source.Port()), 1)
		},
	}
}

// fixture is a forwarder with a caller and an agent, on loopback addresses with one port.
type fixture struct {
	caller, agent *net.UDPConn
	balancer      netip.AddrPort
	table         atomic.Pointer[router.Table]
	confirmedAt   atomic.Pointer[time.Time]
}

func listen(t *testing.T, address netip.AddrPort) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	f := &fixture{caller: listen(t, netip.MustParseAddrPort("127.0.0.1:0"))}
	port := f.caller.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	f.balancer = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), port)
	f.agent = listen(t, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), port))
	f.table.Store(router.NewTable(router.Config{Version: 1}, nil, router.Position{Revision: 1}))
	f.confirmedAt.Store(&time.Time{})
	forwarder, err := NewForwarder(t.Context(), Options{
		Address: f.balancer, Codec: testCodec(netip.MustParseAddr("127.0.0.1")), Table: f.table.Load,
		TableAge: func(time.Time) time.Duration { return 0 }, ConclusiveAge: func(time.Time) time.Duration { return 0 },
		ConfirmedAt: func() time.Time { return *f.confirmedAt.Load() },
		Chooser:     chooser.NewChooser(func(uint32) bool { return false }, func(uint32) (chooser.Report, bool) { return chooser.Report{}, true }),
		Record:      func(string, recorder.Outcome, time.Time) {}, Logger: zerolog.Nop(),
	})
	is.NoErr(err)
	done := make(chan error)
	go func() { done <- forwarder.Run() }()
	t.Cleanup(func() {
		is.NoErr(forwarder.Close())
		<-done
	})
	return f
}

func (f *fixture) sendPacket(t *testing.T, port uint16) {
	t.Helper()
	_, err := f.caller.WriteToUDPAddrPort(append(binary.BigEndian.AppendUint16(nil, port), 0), f.balancer)
	is.New(t).NoErr(err)
}

// assertReceives checks that the next datagram is that of a flow.
func assertReceives(t *testing.T, conn *net.UDPConn, port uint16, isReset bool) {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	b := make([]byte, 16)
	n, _, err := conn.ReadFromUDPAddrPort(b)
	is.NoErr(err)
	is.Equal(n, 3)
	is.Equal(binary.BigEndian.Uint16(b), port)
	is.Equal(b[2] == 1, isReset)
}

// TestUnlistedAddress guards against a balancer that resets open flows of a route which
// it does not know yet, because its table counts as current by its age.
func TestUnlistedAddress(t *testing.T) {
	t.Run("a packet goes to the target once its route is known", func(t *testing.T) {
		f := newFixture(t)
		f.sendPacket(t, 1)
		f.table.Store(router.NewTable(router.Config{
			Version: 2, Routes: []router.Route{{Address: published, Shares: []router.Share{{Service: "feeds", Weight: 1}}}},
		}, []router.Target{{ID: "a", Service: "feeds", Address: netip.MustParseAddrPort("127.0.0.3:9000")}}, router.Position{Revision: 2}))
		assertReceives(t, f.agent, 1, false)
	})
	t.Run("a flow is reset once the table is known to lack its address", func(t *testing.T) {
		f := newFixture(t)
		f.sendPacket(t, 1)
		confirmedAt := time.Now().Add(testTimeout)
		f.confirmedAt.Store(&confirmedAt)
		assertReceives(t, f.caller, 1, true)
	})
}
