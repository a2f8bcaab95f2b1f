package balancer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

func assertCounted(t *testing.T, b *Balancer, name string, want uint64) {
	t.Helper()
	await(t, name, func() bool { return b.Counters()[name] == want })
}

// TestLimits guards against datagrams that the tunnel cannot carry, against
// amplification toward callers, against forged or misdirected answers, and against
// drops that are not counted.
func TestLimits(t *testing.T) {
	t.Run("a datagram that exceeds the tunnel MTU is dropped, one that fits is not", func(t *testing.T) {
		is := is.New(t)
		agent, caller := newEndpoint(t), newEndpoint(t)
		b := newBalancer(t, newOptions(newFleet(agent)))
		largest := DefaultMTU - tunneler.PacketSize(netip.IPv4Unspecified(), tunneler.Header{
			Source: cutlistAddress, Destination: cutlistAddress,
		}.Size())
		to := boundAddress(t, b, cutlistAddress)
		for _, size := range []int{largest + 1, DefaultMTU + 1, 9000} {
			caller.send(to, longPacket([]byte("12345678"), size))
		}
		caller.send(to, longPacket([]byte("12345678"), largest))
		_, payload, _ := agent.receiveTunnel(isData)
		is.Equal(len(payload), largest)
		assertCounted(t, b, "drop_too_large", 3)
	})
	t.Run("a balancer sends a caller only what an agent has sent", func(t *testing.T) {
		is := is.New(t)
		agent, caller := newEndpoint(t), newEndpoint(t)
		b := newBalancer(t, newOptions(newFleet(agent)))
		to := boundAddress(t, b, cutlistAddress)
		received := 0
		for _, packet := range [][]byte{
			{0xc0},
			{0x40},
			longPacket([]byte("12345678"), 1199), longPacket([]byte("12345678"), 1200),
			shortPacket(make([]byte, marker.Size)), agent.codec.Encode(nil, returnHeader(caller), make([]byte, 1300)),
		} {
			caller.send(to, packet)
			received += len(packet)
		}
		// A forged answer of an agent, whose MAC is wrong, must not be forwarded
		// either.
		forged := agent.codec.Encode(nil, returnHeader(caller), make([]byte, 1300))
		forged[60] ^= 1
		caller.send(b.TunnelAddress(), forged)
		assertCounted(t, b, "drop_tunnel_invalid", 1)
		h, _, from := agent.receiveTunnel(isData)
		h.Flags |= tunneler.FlagTowardCaller
		agent.send(from, agent.codec.Encode(nil, h, []byte("answer")))
		answer, _ := caller.receive()
		is.Equal(string(answer), "answer") // the first datagram that the caller receives
		assertCounted(t, b, "returned", 1)
		is.True(len(answer) <= 3*received)
	})
	t.Run("answers in the wrong direction, of another service or for an unknown address are dropped", func(t *testing.T) {
		agent, caller := newEndpoint(t), newEndpoint(t)
		b := newBalancer(t, newOptions(newFleet(agent)))
		sendEdited := func(edit func(h *tunneler.Header), payload string) {
			h := returnHeader(caller)
			edit(&h)
			agent.send(b.TunnelAddress(), agent.codec.Encode(nil, h, []byte(payload)))
		}
		sendEdited(func(h *tunneler.Header) { h.Flags = 0 }, "x")
		sendEdited(func(h *tunneler.Header) { h.Service = archiveNumber }, "x")
		sendEdited(func(h *tunneler.Header) { h.Destination = netip.MustParseAddrPort("198.18.0.9:443") }, "x")
		sendEdited(func(*tunneler.Header) {}, "")
		agent.send(b.TunnelAddress(), make([]byte, 9000))
		assertCounted(t, b, "drop_tunnel_direction", 1)
		assertCounted(t, b, "drop_return_service", 1)
		assertCounted(t, b, "drop_unknown_address", 1)
		assertCounted(t, b, "drop_empty", 1)
		assertCounted(t, b, "drop_truncated", 1)
		assertCounted(t, b, "returned", 0)
	})
	t.Run("a datagram that the kernel refuses is counted", func(t *testing.T) {
		agent, caller := newEndpoint(t), newEndpoint(t)
		b := newBalancer(t, newOptions(newFleet(agent)))
		h := returnHeader(caller)
		h.Source = netip.MustParseAddrPort("127.0.0.1:0")
		agent.send(b.TunnelAddress(), agent.codec.Encode(nil, h, []byte("x")))
		assertCounted(t, b, "drop_send_failed", 1)
	})
}
