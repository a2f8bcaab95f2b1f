package balancer

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

// TestForwarding guards against datagrams that are changed on the way, that lose
// their caller's address, or that another balancer sends to another target.
func TestForwarding(t *testing.T) {
	t.Run("a new flow and its answer pass through unchanged", func(t *testing.T) {
		is := is.New(t)
		agent, caller := newEndpoint(t), newEndpoint(t)
		b := newBalancer(t, newOptions(newFleet(agent)))
		packet := longPacket([]byte("12345678"), 1200)
		caller.send(boundAddress(t, b, cutlistAddress), packet)
		h, payload, from := agent.receiveTunnel(isData)
		is.True(bytes.Equal(payload, packet))
		is.Equal(h, tunneler.Header{
			Source: caller.address(), Destination: cutlistAddress, Service: cutlistNumber, Revision: 1, Incarnation: 42,
		})
		is.Equal(from, b.TunnelAddress())
		h.Flags |= tunneler.FlagTowardCaller
		agent.send(from, agent.codec.Encode(nil, h, []byte("answer")))
		answer, source := caller.receive()
		is.Equal(string(answer), "answer")
		is.Equal(source, boundAddress(t, b, cutlistAddress))
	})
	t.Run("a marked packet goes to the marked target through any balancer", func(t *testing.T) {
		is := is.New(t)
		agents := []*endpoint{newEndpoint(t), newEndpoint(t), newEndpoint(t)}
		caller, f := newEndpoint(t), newFleet(agents...)
		marks := newMarker()
		for range 2 {
			b := newBalancer(t, newOptions(f))
			for i, a := range agents {
				packet := shortPacket(marks.Encode(nil, marker.NewMark(uint32(i+1), 9, cutlistNumber, 1)))
				caller.send(boundAddress(t, b, cutlistAddress), packet)
				_, payload, _ := a.receiveTunnel(isData)
				is.True(bytes.Equal(payload, packet))
			}
		}
	})
}
