package balancer

import (
	"bytes"
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"kingcupvalve.example/kingcupvalve/detector"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// returnHeader returns the header of a datagram from cutlist-svc to a caller.
func returnHeader(caller *endpoint) tunneler.Header {
	return tunneler.Header{
		Source: caller.address(), Destination: cutlistAddress, Service: cutlistNumber,
		Flags: tunneler.FlagTowardCaller, Incarnation: 5,
	}
}

// answerProbes answers the probes that an agent receives until its socket is
// closed. It returns channels with the headers and payload sizes of the other
// datagrams.
func answerProbes(a *endpoint, flags func() tunneler.Flags) (<-chan tunneler.Header, <-chan int) {
	data, sizes := make(chan tunneler.Header, 100), make(chan int, 100)
	go func() {
		b := make([]byte, 2048)
		for {
			n, from, err := a.conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			h, payload, err := a.codec.Decode(b[:n])
			if err != nil {
				continue
			}
			if h.Flags.Has(tunneler.FlagProbe) {
				answer := tunneler.Header{Flags: tunneler.FlagProbeAnswer | flags(), Incarnation: 5}
				_, _ = a.conn.WriteToUDPAddrPort(a.codec.Encode(nil, answer, nil), from)
				continue
			}
			if !h.IsLocal() {
				data <- h
				sizes <- len(payload)
			}
		}
	}()
	return data, sizes
}

func noFlags() tunneler.Flags { return 0 }

func fastDetector(o Options) Options {
	o.TickInterval = time.Millisecond
	o.Detector = detector.Options{
		UnansweredAfter: 5 * time.Millisecond, ProbeInterval: 50 * time.Millisecond, DownInterval: 20 * time.Millisecond,
	}
	return o
}

func stateOf(b *Balancer, number uint32) string {
	for _, s := range b.Targets() {
		if s.Number() == number {
			return s.State()
		}
	}
	return ""
}

// TestLiveness guards against flows that hang because a balancer keeps sending
// their packets to a target that is down or draining, and against probes and
// announcements that are missing or too frequent.
func TestLiveness(t *testing.T) {
	t.Run("packets of a down target go to another one with the reset flag", func(t *testing.T) {
		is := is.New(t)
		silent, alive, caller := newEndpoint(t), newEndpoint(t), newEndpoint(t)
		data, sizes := answerProbes(alive, noFlags)
		b := newBalancer(t, fastDetector(newOptions(newFleet(silent, alive))))
		to := boundAddress(t, b, cutlistAddress)
		packet := shortPacket(newMarker().Encode(nil, marker.NewMark(1, 5, cutlistNumber, 1)))[:41]
		caller.send(to, packet)
		await(t, "target 1 down", func() bool { return stateOf(b, 1) == StateDown })
		caller.send(to, packet)
		h, size := <-data, <-sizes
		is.Equal(h.Flags, tunneler.FlagReset)
		is.Equal(size, len(packet)) // a short keepalive reaches the agent unchanged
		is.Equal(h.Source, caller.address())
		is.Equal(b.Counters()["forwarded_reset"], uint64(1))

		// A target that answers again receives its packets again.
		silent.send(b.TunnelAddress(), silent.codec.Encode(nil, tunneler.Header{Flags: tunneler.FlagProbe}, nil))
		await(t, "target 1 up", func() bool { return stateOf(b, 1) == StateUp })
		caller.send(to, packet)
		h, _, _ = silent.receiveTunnel(func(h tunneler.Header) bool { return !h.IsLocal() && b.Counters()["forwarded_marked"] == 2 })
		is.Equal(h.Flags, tunneler.Flags(0))
	})
	t.Run("a killed agent is detected by the ICMP error for its closed socket", func(t *testing.T) {
		agent, caller := newEndpoint(t), newEndpoint(t)
		options := newOptions(newFleet(agent, newEndpoint(t)))
		options.Detector.UnansweredAfter = time.Hour
		b := newBalancer(t, options)
		if err := agent.conn.Close(); err != nil {
			t.Fatal(err)
		}
		caller.send(boundAddress(t, b, cutlistAddress), shortPacket(newMarker().Encode(nil, marker.NewMark(1, 5, cutlistNumber, 1))))
		await(t, "target 1 down", func() bool { return stateOf(b, 1) == StateDown })
		assertCounted(t, b, "drop_send_failed", 0)
	})
	t.Run("a balancer that finds a target down makes the others probe it", func(t *testing.T) {
		is := is.New(t)
		silent, caller, f := newEndpoint(t), newEndpoint(t), (*fleet)(nil)
		f = newFleet(silent, newEndpoint(t))
		first := newBalancer(t, fastDetector(newOptions(f)))
		second := newBalancer(t, newOptions(f))
		await(t, "subscribed", func() bool { return f.subscriber.Load() != nil })
		f.hosts = []cataloger.HostSpec{
			{Name: "first", Role: cataloger.RoleBalancer, ControlAddress: "127.0.0.1:1", TunnelAddress: first.TunnelAddress().String()},
			{Name: "second", Role: cataloger.RoleBalancer, ControlAddress: "127.0.0.1:1", TunnelAddress: second.TunnelAddress().String()},
		}
		f.publish()
		first.enqueueSnapshot(f.snapshot.Load())
		await(t, "hosts known", func() bool { return first.table.Load().revision == 2 })
		caller.send(boundAddress(t, first, cutlistAddress), shortPacket(newMarker().Encode(nil, marker.NewMark(1, 5, cutlistNumber, 1))))
		await(t, "down at the second balancer", func() bool { return stateOf(second, 1) == StateDown })
		is.Equal(first.Counters()["suspect_sent"], uint64(1))
		is.Equal(second.Counters()["suspect_received"], uint64(1))
		is.Equal(second.Counters()["suspect_sent"], uint64(0))
		is.True(second.Counters()["probe_sent"] >= 3)
	})
	t.Run("announcements of down targets are rate limited", func(t *testing.T) {
		is := is.New(t)
		b := newIdleBalancer(t, newOptions(newFleet(newEndpoint(t))))
		other := newEndpoint(t)
		view := &table{balancers: []netip.AddrPort{other.address()}}
		for n := range uint32(100) {
			b.announceSuspect(view, n+1)
		}
		is.Equal(b.Counters()["suspect_sent"], uint64(suspectBurst))
		is.Equal(b.Counters()["suspect_withheld"], uint64(100-suspectBurst))
		h, _, _ := other.receiveTunnel(tunneler.Header.IsLocal)
		is.Equal(h.Target, uint32(1))
	})
	t.Run("a draining answer stops new flows", func(t *testing.T) {
		is := is.New(t)
		first, second := newEndpoint(t), newEndpoint(t)
		var flags atomic.Uint32
		one, _ := answerProbes(first, func() tunneler.Flags { return tunneler.Flags(flags.Load()) })
		two, _ := answerProbes(second, noFlags)
		b := newBalancer(t, fastDetector(newOptions(newFleet(first, second))))
		flags.Store(uint32(tunneler.FlagDraining))
		caller, to := newEndpoint(t), boundAddress(t, b, cutlistAddress)
		caller.send(to, shortPacket(newMarker().Encode(nil, marker.NewMark(1, 5, cutlistNumber, 1))))
		<-one
		await(t, "target 1 draining", func() bool { return stateOf(b, 1) == StateDraining })
		for i := range byte(20) {
			caller.send(to, longPacket([]byte{i, 1, 2, 3, 4, 5, 6, 7}, 1200))
			<-two
		}
		is.Equal(len(one), 0)
	})
	t.Run("probes of an agent are answered", func(t *testing.T) {
		is := is.New(t)
		agent := newEndpoint(t)
		b := newBalancer(t, newOptions(newFleet(agent)))
		agent.send(b.TunnelAddress(), agent.codec.Encode(nil, tunneler.Header{Flags: tunneler.FlagProbe}, nil))
		h, _, _ := agent.receiveTunnel(tunneler.Header.IsLocal)
		is.Equal(h, tunneler.Header{Flags: tunneler.FlagProbeAnswer, Revision: 1, Incarnation: 42})
	})
}

// TestShutdown guards against datagrams that are lost because a balancer stops
// before the agents use other balancers.
func TestShutdown(t *testing.T) {
	t.Run("a balancer announces its shutdown to the agents and keeps forwarding", func(t *testing.T) {
		is := is.New(t)
		agent, caller := newEndpoint(t), newEndpoint(t)
		options := newOptions(newFleet(agent))
		options.GracePeriod = time.Minute
		b := newBalancer(t, options)
		to := boundAddress(t, b, cutlistAddress)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- b.Shutdown(ctx) }()
		h, _, _ := agent.receiveTunnel(tunneler.Header.IsLocal)
		is.True(h.Flags.Has(tunneler.FlagBalancerLeaving))
		caller.send(to, longPacket([]byte("12345678"), 1200))
		h, _, from := agent.receiveTunnel(isData)
		is.True(h.Flags.Has(tunneler.FlagBalancerLeaving))
		agent.send(from, agent.codec.Encode(nil, returnHeader(caller), []byte("answer")))
		answer, _ := caller.receive()
		is.Equal(string(answer), "answer")
		cancel()
		is.True(<-done != nil)
		<-b.done
	})
	t.Run("Run returns after the grace period", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(t, newOptions(newFleet(newEndpoint(t))))
		is.NoErr(b.Shutdown(context.Background()))
		<-b.done
	})
}

// TestChanges guards against flows that break when a new revision adds or removes
// addresses and targets.
func TestChanges(t *testing.T) {
	t.Run("addresses are added and removed while the balancer runs", func(t *testing.T) {
		is := is.New(t)
		agent, caller, f := newEndpoint(t), newEndpoint(t), (*fleet)(nil)
		f = newFleet(agent)
		b := newBalancer(t, newOptions(f))
		await(t, "subscribed", func() bool { return f.subscriber.Load() != nil })
		added := netip.MustParseAddrPort("198.18.0.3:443")
		f.spec.Services[0].Addresses = append(f.spec.Services[0].Addresses, added.String())
		f.publish()
		await(t, "address added", func() bool { _, ok := b.BoundAddress(added); return ok })
		caller.send(boundAddress(t, b, added), longPacket([]byte("12345678"), 1200))
		h, _, _ := agent.receiveTunnel(isData)
		is.Equal(h.Destination, added)
		f.spec.Services[0].Addresses = []string{added.String()}
		f.publish()
		await(t, "address removed", func() bool { _, ok := b.BoundAddress(cutlistAddress); return !ok })
		caller.send(boundAddress(t, b, added), longPacket([]byte("12345678"), 1200))
		h, _, _ = agent.receiveTunnel(isData)
		is.Equal(h.Revision, uint64(3))
	})
	t.Run("a removed target keeps its flows and gets no new ones", func(t *testing.T) {
		is := is.New(t)
		removed, kept, caller := newEndpoint(t), newEndpoint(t), newEndpoint(t)
		f := newFleet(removed, kept)
		b := newBalancer(t, newOptions(f))
		await(t, "subscribed", func() bool { return f.subscriber.Load() != nil })
		f.spec.Services[0].Targets = f.spec.Services[0].Targets[1:]
		f.publish()
		await(t, "target retired", func() bool { return stateOf(b, 1) == StateRetired })
		to := boundAddress(t, b, cutlistAddress)
		for i := range byte(20) {
			caller.send(to, longPacket([]byte{i, 1, 2, 3, 4, 5, 6, 7}, 1200))
			kept.receiveTunnel(isData)
		}
		packet := shortPacket(newMarker().Encode(nil, marker.NewMark(1, 5, cutlistNumber, 1)))
		caller.send(to, packet)
		h, payload, _ := removed.receiveTunnel(isData)
		is.True(bytes.Equal(payload, packet))
		is.Equal(h.Flags, tunneler.Flags(0))
	})
}
