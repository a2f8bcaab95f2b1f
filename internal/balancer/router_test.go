package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/marker"
)

// newIdleBalancer returns a balancer whose Run is not called.
func newIdleBalancer(t testing.TB, options Options) *Balancer {
	t.Helper()
	b := must(NewBalancer(options))
	t.Cleanup(func() {
		b.closeTunnelConns()
		for _, conns := range b.publishedConns {
			closeAll(conns)
		}
	})
	return b
}

// newRouter returns a balancer whose table has the given number of targets, a
// router for it, and the address of their service.
func newRouter(t testing.TB, agents int) (*Balancer, *router, *address) {
	t.Helper()
	var endpoints []*endpoint
	for range agents {
		endpoints = append(endpoints, newEndpoint(t))
	}
	b := newIdleBalancer(t, newOptions(newFleet(endpoints...)))
	return b, &router{decoder: b.marker.NewDecoder()}, b.table.Load().addresses[cutlistAddress]
}

func assertRoute(t *testing.T, b *Balancer, r *router, a *address, packet []byte, want outcome) *target {
	t.Helper()
	to, _, got := r.route(b.table.Load(), a, packet)
	if got != want || (to == nil) != (want >= dropEmpty) {
		t.Fatalf("outcome %s, target %v; want %s", outcomeNames[got], to, outcomeNames[want])
	}
	return to
}

// TestRoute guards against packets that reach a target of another service or a
// target that takes no new flows, and against drops that are counted under the
// wrong reason.
func TestRoute(t *testing.T) {
	b, r, a := newRouter(t, 3)
	mark := func(target uint32, service uint16) []byte {
		return b.marker.Encode(nil, marker.NewMark(target, 5, service, 1))
	}
	for name, c := range map[string]struct {
		packet []byte
		want   outcome
	}{
		"nothing":                                             {nil, dropEmpty},
		"a cut long header":                                   {[]byte{0xc0, 0, 0}, dropMalformed},
		"a connection ID past the end":                        {[]byte{0xc0, 0, 0, 0, 1, 20, 1, 2}, dropMalformed},
		"a short header without a mark":                       {shortPacket(make([]byte, marker.Size)), dropUnmarkedShort},
		"a short header that is too short":                    {[]byte{0x40, 1, 2}, dropUnmarkedShort},
		"a small first packet":                                {longPacket([]byte("12345678"), 1199), dropSmallInitial},
		"a mark of the other service":                         {shortPacket(mark(1, archiveNumber)), dropServiceMismatch},
		"a mark of an unknown target":                         {shortPacket(mark(99, cutlistNumber)), dropUnknownTarget},
		"a long header with a foreign mark":                   {longPacket(mark(1, archiveNumber), 1200), dropServiceMismatch},
		"a marked handshake packet":                           {longPacket(mark(2, cutlistNumber), 60), forwardedMarked},
		"a first packet without an ID":                        {longPacket(nil, 1200), forwardedNew},
		"a first packet with a long ID":                       {longPacket(make([]byte, 255), 1200), forwardedNew},
		"a first packet with a plain ID":                      {longPacket([]byte("12345678"), 1200), forwardedNew},
		"a packet of an established flow":                     {shortPacket(mark(3, cutlistNumber)), forwardedMarked},
		"a first packet with an unmarked ID of a mark's size": {longPacket(make([]byte, marker.Size), 1200), forwardedNew},
	} {
		t.Run(name+" is "+outcomeNames[c.want], func(t *testing.T) {
			assertRoute(t, b, r, a, c.packet, c.want)
		})
	}
	t.Run("a service without targets drops new flows", func(t *testing.T) {
		archive := b.table.Load().addresses[archiveAddress]
		assertRoute(t, b, r, archive, longPacket([]byte("12345678"), 1200), dropNoTarget)
	})
	t.Run("a draining target gets no new flows until it has restarted", func(t *testing.T) {
		is := is.New(t)
		row := b.table.Load().targets[1]
		packet := firstPacketFor(t, b, r, a, 1)
		row.state.recordHeader(time.Now(), 5, true)
		row.state.recordHeader(time.Now(), 5, false)
		is.True(assertRoute(t, b, r, a, packet, forwardedNew).number != 1)
		row.state.recordHeader(time.Now(), 6, false)
		is.Equal(assertRoute(t, b, r, a, packet, forwardedNew).number, uint32(1))
		row.state.recordHeader(time.Now(), 5, true)
		is.Equal(assertRoute(t, b, r, a, packet, forwardedNew).number, uint32(1))
	})
	t.Run("with all targets draining new flows still have a target", func(t *testing.T) {
		for _, row := range b.table.Load().targets {
			row.state.recordHeader(time.Now(), 9, true)
		}
		assertRoute(t, b, r, a, longPacket([]byte("12345678"), 1200), forwardedNew)
	})
}

// firstPacketFor returns the first packet of a new flow that is routed to a
// target.
func firstPacketFor(t *testing.T, b *Balancer, r *router, a *address, number uint32) []byte {
	t.Helper()
	for i := range byte(200) {
		packet := longPacket([]byte{i, 1, 2, 3, 4, 5, 6, 7}, 1200)
		if to, _, _ := r.route(b.table.Load(), a, packet); to != nil && to.number == number {
			return packet
		}
	}
	t.Fatalf("no key of 200 selects target %d", number)
	return nil
}

// TestAllocations guards against allocations in the forwarding path, which would
// cost CPU time for every datagram.
func TestAllocations(t *testing.T) {
	is := is.New(t)
	b, _, _ := newRouter(t, 3)
	caller := newEndpoint(t)
	conn := b.publishedConns[cutlistAddress][0]
	for i := range 10 {
		packet := shortPacket(b.marker.Encode(nil, marker.NewMark(uint32(1+i%3), 5, cutlistNumber, uint32(i))))
		if i%3 == 0 {
			packet = longPacket([]byte{byte(i), 2, 3, 4, 5, 6, 7, 8}, 1200)
		}
		caller.send(conn.LocalAddrPort(), packet)
	}
	batch := readBatch(t, b, b.publishedConns[cutlistAddress])
	f, now := b.newForwarder(cutlistAddress, b.tunnelConns[0]), time.Now()
	is.Equal(testing.AllocsPerRun(1000, func() {
		f.processBatch(batch, now)
		batch.Writer().Flush(f.tunnel)
		b.counters.add(&f.tally)
	}), 0.0)
	is.Equal(b.Counters()["drop_too_large"], uint64(0))

	agent := newEndpoint(t)
	for range 10 {
		agent.send(b.TunnelAddress(), agent.codec.Encode(nil, returnHeader(caller), []byte("answer")))
	}
	answers := readBatch(t, b, b.tunnelConns)
	r := b.newReturner(0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		r.processBatch(answers, b.tunnelConns[0], now)
		r.flush()
		b.counters.add(&r.tally)
	}), 0.0)
	is.True(b.Counters()["returned"] >= 1000)
}

// readBatch returns the first batch that any of several sockets receives.
func readBatch(t *testing.T, b *Balancer, conns []*batcher.Conn) *batcher.Batch {
	t.Helper()
	batches := make(chan *batcher.Batch, len(conns))
	for _, c := range conns {
		go func() {
			if batch, err := c.NewReader(b.pool).Read(); err == nil {
				batches <- batch
			}
		}()
	}
	return <-batches
}

// FuzzRoute guards against panics on malformed packets, packets that reach another
// service, and new flows opened by packets smaller than minInitialSize.
func FuzzRoute(f *testing.F) {
	b, r, a := newRouter(f, 3)
	f.Fuzz(func(t *testing.T, packet []byte) {
		to, _, result := r.route(b.table.Load(), a, packet)
		if (to == nil) != (result >= dropEmpty) {
			t.Fatalf("outcome %s with target %v", outcomeNames[result], to)
		}
		if to != nil && to.service != cutlistNumber {
			t.Fatalf("packet of service %d went to service %d", cutlistNumber, to.service)
		}
		if to != nil && result == forwardedNew && len(packet) < minInitialSize {
			t.Fatalf("a first packet of %d bytes was forwarded", len(packet))
		}
	})
}
