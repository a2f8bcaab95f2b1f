package listener

import (
	"testing"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

// FuzzReceive guards against packets of callers that crash validation, or that
// pass it without being a packet of this agent's flows or of a new flow.
func FuzzReceive(f *testing.F) {
	fleet := &fleet{address: published}
	fleet.publish(f, 2)
	l, err := NewListener(Options{
		Address: anyPort, Target: 1, Incarnation: 100, Service: testService, Ring: issuer.MustKeyRing(f, 1), Snapshot: fleet.snapshot.Load,
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	codec, err := tunneler.NewCodec(issuer.MustKeyRing(f, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint8(0), newFlow("12345678"))
	f.Add(uint8(tunneler.FlagReset), shortPacket("01234567890123456789"))
	f.Add(uint8(0), []byte{0xc0, 0, 0, 0, 1, 255, 1})
	f.Fuzz(func(t *testing.T, flags uint8, packet []byte) {
		h := toService(2)
		h.Flags = tunneler.Flags(flags)
		payload, _, ok := l.receive(codec.Encode(nil, h, packet), callerAddress, time.Now())
		if !ok {
			return
		}
		id, isLong, valid := destinationID(payload)
		mark, isMarked := l.decoder.Decode(id)
		if !valid || !isLong && !isMarked || isMarked && mark.Target() != 1 {
			t.Fatalf("packet %x passed validation", packet)
		}
	})
}
