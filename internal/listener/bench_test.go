package listener

import (
	"testing"
	"time"

	"kingcupvalve.example/kingcupvalve/marker"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

// BenchmarkReceive measures the validation of one packet of an open flow.
func BenchmarkReceive(b *testing.B) {
	f := &fleet{address: published}
	f.publish(b, 2)
	l, err := NewListener(Options{
		Address: anyPort, Target: 1, Incarnation: 100, Service: testService, Ring: issuer.MustKeyRing(b, 1), Snapshot: f.snapshot.Load,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	m, err := marker.NewMarker(issuer.MustKeyRing(b, 1))
	if err != nil {
		b.Fatal(err)
	}
	id := m.Encode(nil, marker.NewMark(1, 100, testService, 1))
	datagram := encode(b, issuer.MustKeyRing(b, 1), toService(2), append(append([]byte{0x40}, id...), make([]byte, 1200)...))
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := l.receive(datagram, callerAddress, now); !ok {
			b.Fatal("packet was dropped")
		}
	}
}
