package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func newSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func newEntry(name string, conn *net.UDPConn) Balancer {
	return NewBalancer(name, func(netip.AddrPort) (netip.AddrPort, bool) { return localAddress(conn), true })
}

func startFabric(t *testing.T, options Options) *Fabric {
	t.Helper()
	options.Addresses = []netip.AddrPort{loopback}
	f, err := NewFabric(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f
}

func send(t *testing.T, conn *net.UDPConn, to netip.AddrPort, text string) {
	t.Helper()
	if _, err := conn.WriteToUDPAddrPort([]byte(text), to); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, conn *net.UDPConn) (string, netip.AddrPort) {
	t.Helper()
	b := make([]byte, 2048)
	n, from, err := conn.ReadFromUDPAddrPort(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n]), from
}

func TestFabric(t *testing.T) {
	t.Run("all balancers see one address per caller and may reply to it", func(t *testing.T) {
		is := is.New(t)
		f := startFabric(t, Options{Seed: 1})
		caller, a, b := newSocket(t), newSocket(t), newSocket(t)
		f.SetBalancers([]Balancer{newEntry("a", a)})
		send(t, caller, f.Addresses()[0], "one")
		_, first := receive(t, a)
		f.SetBalancers([]Balancer{newEntry("b", b)})
		send(t, caller, f.Addresses()[0], "two")
		text, second := receive(t, b)
		is.Equal(text, "two")
		is.Equal(first, second)
		send(t, a, first, "answer")
		text, from := receive(t, caller)
		is.Equal(text, "answer")
		is.Equal(from, f.Addresses()[0])
	})
	t.Run("datagrams of one caller are spread over all balancers", func(t *testing.T) {
		f := startFabric(t, Options{Seed: 1})
		caller, a, b := newSocket(t), newSocket(t), newSocket(t)
		f.SetBalancers([]Balancer{newEntry("a", a), newEntry("b", b)})
		for range 40 {
			send(t, caller, f.Addresses()[0], "x")
		}
		// The chance that one of two balancers gets none of 40 is 2^-39.
		receive(t, a)
		receive(t, b)
	})
	t.Run("datagrams are lost and duplicated as the options say", func(t *testing.T) {
		is := is.New(t)
		var isLossy atomic.Bool
		f := startFabric(t, Options{
			Lose:      func(Link) bool { return isLossy.Load() },
			Duplicate: func(l Link) int { return map[bool]int{false: 1}[l.IsTowardCaller()] },
		})
		caller, a := newSocket(t), newSocket(t)
		f.SetBalancers([]Balancer{newEntry("a", a)})
		isLossy.Store(true)
		send(t, caller, f.Addresses()[0], "lost")
		for f.Counters().Lost < 2 {
			time.Sleep(time.Millisecond)
		}
		isLossy.Store(false)
		send(t, caller, f.Addresses()[0], "kept")
		for range 2 {
			text, _ := receive(t, a)
			is.Equal(text, "kept")
		}
	})
	t.Run("a reordered datagram is sent after the next one", func(t *testing.T) {
		is := is.New(t)
		var count atomic.Int64
		f := startFabric(t, Options{
			Reorder:     func(Link) bool { return count.Add(1) == 1 },
			ReorderWait: time.Minute,
		})
		caller, a := newSocket(t), newSocket(t)
		f.SetBalancers([]Balancer{newEntry("a", a)})
		for _, text := range []string{"1", "2", "3"} {
			send(t, caller, f.Addresses()[0], text)
		}
		order := ""
		for range 3 {
			text, _ := receive(t, a)
			order += text
		}
		is.Equal(order, "213")
	})
	t.Run("a delayed datagram arrives late and unchanged", func(t *testing.T) {
		is := is.New(t)
		f := startFabric(t, Options{Delay: func(Link) time.Duration { return 20 * time.Millisecond }})
		caller, a := newSocket(t), newSocket(t)
		f.SetBalancers([]Balancer{newEntry("a", a)})
		start := time.Now()
		send(t, caller, f.Addresses()[0], "late")
		text, _ := receive(t, a)
		is.Equal(text, "late")
		is.True(time.Since(start) >= 20*time.Millisecond)
	})
}
