package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
	"kingcupvalve.example/kingcupvalve/standin/relayer"
)

// count returns the number of datagrams with a result.
func count(l *Listener, name string) uint64 { return l.Counters()[name] }

func newMark(t *testing.T, target uint32, service uint16) string {
	t.Helper()
	m, err := marker.NewMarker(issuer.MustKeyRing(t, 1))
	if err != nil {
		t.Fatal(err)
	}
	return string(m.Encode(nil, marker.NewMark(target, 100, service, 1)))
}

func shortPacket(id string) []byte { return append(append([]byte{0x40}, id...), make([]byte, 40)...) }

// TestFinalCheck guards against packets of other services, forged packets and
// looping packets that reach QUIC.
func TestFinalCheck(t *testing.T) {
	header := toService(2)
	change := func(f func(*tunneler.Header)) tunneler.Header {
		h := header
		f(&h)
		return h
	}
	cases := []struct {
		name   string
		ring   uint8
		header tunneler.Header
		packet []byte
		result string
	}{
		{"a forged MAC", 9, header, newFlow("12345678"), "drop_tunnel_invalid"},
		{"a datagram toward a caller", 1, change(func(h *tunneler.Header) { h.Flags = tunneler.FlagTowardCaller }), newFlow("12345678"), "drop_direction"},
		{"another service's number", 1, change(func(h *tunneler.Header) { h.Service = otherService }), newFlow("12345678"), "drop_service"},
		{"another service's address", 1, change(func(h *tunneler.Header) { h.Destination = otherPublished }), newFlow("12345678"), "drop_address"},
		{"an address of no service", 1, change(func(h *tunneler.Header) { h.Destination = callerAddress }), newFlow("12345678"), "drop_address"},
		{"too many hops", 1, change(func(h *tunneler.Header) { h.Hops = maxHops + 1 }), newFlow("12345678"), "drop_hops"},
		{"an empty packet", 1, header, nil, "drop_malformed"},
		{"a cut long header", 1, header, []byte{0xc0, 0, 0, 0, 1, 20, 1}, "drop_malformed"},
		{"a short header without a mark", 1, header, shortPacket("01234567890123456789"), "drop_unmarked"},
		{"a mark of another service", 1, header, shortPacket(newMark(t, 1, otherService)), "drop_mark_service"},
		{"a mark of another target", 1, header, shortPacket(newMark(t, 2, testService)), "drop_mark_target"},
		{"a reset request for a long header", 1, change(func(h *tunneler.Header) { h.Flags = tunneler.FlagReset }), newFlow(newMark(t, 2, testService)), "drop_reset_long"},
	}
	for _, c := range cases {
		t.Run(c.name+" is dropped and counted", func(t *testing.T) {
			is := is.New(t)
			_, ls := newListeners(t, 1, nil)
			_, _, ok := ls[0].receive(encode(t, issuer.MustKeyRing(t, c.ring), c.header, c.packet), callerAddress, time.Now())
			is.True(!ok)
			is.Equal(count(ls[0], c.result), uint64(1))
		})
	}
	t.Run("packets of the agent's own flows pass, flagged ones of lost agents and those of earlier incarnations are reset", func(t *testing.T) {
		is := is.New(t)
		_, ls := newListeners(t, 1, nil)
		for _, p := range [][]byte{newFlow("12345678"), shortPacket(newMark(t, 1, testService))} {
			_, address, ok := ls[0].receive(encode(t, issuer.MustKeyRing(t, 1), header, p), callerAddress, time.Now())
			is.True(ok)
			is.Equal(address, Address{caller: callerAddress, published: published})
		}
		h := change(func(h *tunneler.Header) { h.Flags = tunneler.FlagReset })
		_, _, ok := ls[0].receive(encode(t, issuer.MustKeyRing(t, 1), h, shortPacket(newMark(t, 2, testService))), callerAddress, time.Now())
		is.True(!ok)
		is.Equal(count(ls[0], "reset"), uint64(1))
		ls[0].options.Incarnation++
		_, _, ok = ls[0].receive(encode(t, issuer.MustKeyRing(t, 1), header, shortPacket(newMark(t, 1, testService))), callerAddress, time.Now())
		is.True(!ok)
		is.Equal(count(ls[0], "reset"), uint64(2))
	})
}

// TestPlaceFlow guards against handshakes that are split between agents and
// against flows that loop between agents.
func TestPlaceFlow(t *testing.T) {
	place := func(l *Listener, id string, revision uint64, hops uint8) uint32 {
		h := toService(revision)
		h.Hops = hops
		return l.placeFlow(l.currentView(), []byte(id), h, time.Now())
	}
	t.Run("a leaving, draining or full agent forwards new flows, each to the same target", func(t *testing.T) {
		is := is.New(t)
		f, ls := newListeners(t, 4, nil)
		is.Equal(place(ls[0], "before", 2, 0), uint32(1))
		f.publish(t, 3, 1)
		ls[1].SetDraining(true)
		ls[2].connections.Store(DefaultConnections)
		is.Equal(place(ls[0], "before", 2, 0), uint32(1)) // its handshake has begun
		for i, l := range ls[:3] {
			seen := map[uint32]bool{}
			for n := range 40 {
				id := fmt.Sprintf("flow%d", n)
				target := place(l, id, 3, 0)
				is.True(target != uint32(i+1))
				is.True(target != 1) // leaving
				is.Equal(place(l, id, 3, 0), target)
				seen[target] = true
			}
			is.True(len(seen) > 1)
		}
	})
	t.Run("the hop limit ends forwarding", func(t *testing.T) {
		is := is.New(t)
		_, ls := newListeners(t, 2, nil)
		ls[0].SetDraining(true)
		is.Equal(place(ls[0], "a", 2, maxHops), uint32(1))
		is.Equal(place(ls[0], "b", 2, maxHops-1), uint32(2))
	})
	t.Run("only a newer table overrides the balancer's choice", func(t *testing.T) {
		is := is.New(t)
		_, ls := newListeners(t, 3, nil)
		moved := 0
		for n := range 40 {
			is.Equal(place(ls[0], fmt.Sprintf("equal%d", n), 2, 0), uint32(1))
			is.Equal(place(ls[0], fmt.Sprintf("older%d", n), 3, 0), uint32(1))
			id := fmt.Sprintf("newer%d", n)
			want, _ := ls[0].currentView().allTargets.Select([]byte(id))
			is.Equal(place(ls[0], id, 1, 0), want)
			if want != 1 {
				moved++
			}
		}
		is.True(moved > 0)
	})
	t.Run("a forwarded datagram is accepted by the other agent", func(t *testing.T) {
		is := is.New(t)
		_, ls := newListeners(t, 2, nil)
		ls[0].SetDraining(true)
		_, _, ok := ls[0].receive(encode(t, issuer.MustKeyRing(t, 1), toService(2), newFlow("12345678")), callerAddress, time.Now())
		is.True(!ok)
		is.Equal(count(ls[0], "forwarded"), uint64(1))
		b := make([]byte, 1452)
		n, address, err := newConn(ls[1]).ReadFrom(b)
		is.NoErr(err)
		is.Equal(b[:n], newFlow("12345678"))
		is.Equal(address.String(), callerAddress.String())
		is.Equal(len(ls[1].balancers.entries), 0) // the forwarding agent is not a balancer
	})
}

// TestReset guards against resets that answer each other forever.
func TestReset(t *testing.T) {
	r := resetter{key: &quic.StatelessResetKey{}}
	id := make([]byte, marker.Size)
	for size := range 100 {
		is := is.New(t)
		b := r.reset(id, make([]byte, size))
		if size <= minResetSize {
			is.True(b == nil)
			continue
		}
		is.True(len(b) < size && len(b) <= maxResetSize)
		is.Equal(b[0]&0xc0, byte(0x40)) // a short header
	}
}

// TestReturnTable guards against responses that are lost because they are sent
// through a balancer that is down or leaving, and against a table that grows
// without limit.
func TestReturnTable(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b, c := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")
	t.Run("only live balancers carry responses, and all of them do", func(t *testing.T) {
		is := is.New(t)
		var r balancerTable
		_, ok := r.selectBalancer(callerAddress, start)
		is.True(!ok)
		now := start.Add(time.Second)
		r.recordDatagram(a, false, start.Add(-time.Second))
		r.recordDatagram(b, false, now)
		r.recordDatagram(c, false, now)
		seen := map[netip.AddrPort]int{}
		for i := range 100 {
			chosen, ok := r.selectBalancer(callerAddress, now.Add(time.Duration(i)*10*time.Millisecond))
			is.True(ok)
			seen[chosen]++
		}
		is.Equal(seen[a], 0)
		is.True(seen[b] > 0 && seen[c] > 0)
	})
	t.Run("without a live balancer the one with the latest datagram is used", func(t *testing.T) {
		is := is.New(t)
		var r balancerTable
		r.recordDatagram(a, false, start)
		r.recordDatagram(b, true, start.Add(time.Second))
		chosen, ok := r.selectBalancer(callerAddress, start.Add(time.Hour))
		is.True(ok)
		is.Equal(chosen, b)
	})
	t.Run("the table stays bounded", func(t *testing.T) {
		is := is.New(t)
		var r balancerTable
		for i := range 10 * maxBalancerEntries {
			r.recordDatagram(netip.AddrPortFrom(a.Addr(), uint16(i+1)), false, start.Add(time.Duration(i)))
		}
		is.Equal(len(r.entries), maxBalancerEntries)
	})
}

// dial opens a QUIC connection of a caller through a relayer.
func dial(t *testing.T, f *fleet, config *tls.Config) (*quic.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c, err := quic.DialAddr(ctx, f.address.String(), config, &quic.Config{})
	if err == nil {
		t.Cleanup(func() { _ = c.CloseWithError(0, "") })
	}
	return c, err
}

func assertEcho(t *testing.T, c *quic.Conn) {
	t.Helper()
	is := is.New(t)
	s, err := c.OpenStream()
	is.NoErr(err)
	_, err = s.Write([]byte("cut 7"))
	is.NoErr(err)
	is.NoErr(s.Close())
	b, err := io.ReadAll(s)
	is.NoErr(err)
	is.Equal(string(b), "cut 7")
}

// TestQUIC guards against connections that break when a balancer is replaced, that
// hang when their agent is lost, or that are left unanswered at the handshake rate
// and connection limits.
func TestQUIC(t *testing.T) {
	type route = func(fleet *fleet, m marker.Mark, isMarked bool) (netip.AddrPort, tunneler.Flags)
	toFirst := func(fleet *fleet, _ marker.Mark, _ bool) (netip.AddrPort, tunneler.Flags) { return fleet.tunnels[0], 0 }
	start := func(t *testing.T, to route, change func(*Options)) (*fleet, []*Listener, *relayer.Relayer, *tls.Config) {
		config, err := issuer.NewTLS("a.example")
		if err != nil {
			t.Fatal(err)
		}
		config.NextProtos = []string{"t"}
		fleet, ls := newListeners(t, 2, change)
		r := newRelayer(t, fleet, func(m marker.Mark, ok bool) (netip.AddrPort, tunneler.Flags) { return to(fleet, m, ok) })
		for _, l := range ls {
			serve(t, l, config)
		}
		return fleet, ls, r, config
	}
	t.Run("a connection works over two balancers and moves when one is gone", func(t *testing.T) {
		is := is.New(t)
		fleet, ls, r, client := start(t, toFirst, nil)
		c, err := dial(t, fleet, client)
		is.NoErr(err)
		assertEcho(t, c)
		is.NoErr(r.ReplaceTunnel())
		assertEcho(t, c)
		is.True(count(ls[0], "sent") > 0)
	})
	t.Run("any agent of the service resets the flows of a lost one", func(t *testing.T) {
		is := is.New(t)
		var lost atomic.Bool
		fleet, ls, _, client := start(t, func(fleet *fleet, _ marker.Mark, _ bool) (netip.AddrPort, tunneler.Flags) {
			if lost.Load() {
				return fleet.tunnels[1], tunneler.FlagReset
			}
			return fleet.tunnels[0], 0
		}, nil)
		c, err := dial(t, fleet, client)
		is.NoErr(err)
		assertEcho(t, c)
		lost.Store(true)
		is.NoErr(ls[0].Close())
		if s, err := c.OpenStream(); err == nil { // the reset may come first
			_, _ = s.Write([]byte("x"))
		}
		<-c.Context().Done()
		var reset *quic.StatelessResetError
		is.True(errors.As(context.Cause(c.Context()), &reset))
	})
	t.Run("above the handshake rate callers validate their address", func(t *testing.T) {
		is := is.New(t)
		fleet, _, _, client := start(t, toFirst, func(o *Options) { o.HandshakeRate = 0.001 })
		for range 3 {
			c, err := dial(t, fleet, client)
			is.NoErr(err)
			assertEcho(t, c)
		}
	})
	t.Run("a full agent forwards new flows to another one", func(t *testing.T) {
		is := is.New(t)
		fleet, ls, _, client := start(t, func(fleet *fleet, m marker.Mark, ok bool) (netip.AddrPort, tunneler.Flags) {
			if ok {
				return fleet.tunnels[m.Target()-1], 0
			}
			return fleet.tunnels[0], 0
		}, func(o *Options) { o.Connections = 1 })
		for range 2 {
			c, err := dial(t, fleet, client)
			is.NoErr(err)
			assertEcho(t, c)
		}
		is.Equal(ls[1].Connections(), 1)
		_, err := dial(t, fleet, client) // refused immediately rather than left unanswered
		var refused *quic.TransportError
		is.True(errors.As(err, &refused))
		is.Equal(refused.ErrorCode, quic.ConnectionRefused)
	})
}

// TestReceiveErrors guards against a failed receive that makes QUIC close every
// connection of the agent, and against an agent that does not stop.
func TestReceiveErrors(t *testing.T) {
	is := is.New(t)
	_, ls := newListeners(t, 1, nil)
	c := newConn(ls[0])
	failures := []error{syscall.ENOBUFS, syscall.ENOMEM, os.ErrDeadlineExceeded}
	c.receive = func([]byte) (int, netip.AddrPort, error) {
		err := failures[0]
		failures = failures[1:]
		return 0, netip.AddrPort{}, err
	}
	_, _, err := c.ReadFrom(make([]byte, 1500))
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // QUIC interrupts a read this way
	is.Equal(count(ls[0], "drop_receive_failed"), uint64(2))
	c = newConn(ls[0])
	is.NoErr(ls[0].udp.Close())
	_, _, err = c.ReadFrom(make([]byte, 1500))
	is.True(errors.Is(err, net.ErrClosed))
}
