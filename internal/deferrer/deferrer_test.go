package deferrer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

var (
	published = netip.MustParseAddrPort("198.18.0.1:443")
	arrival   = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
	empty     = router.NewTable(router.Config{Version: 1}, nil, router.Position{Revision: 1})
	listing   = router.NewTable(router.Config{
		Version: 2, Routes: []router.Route{{Address: published, Shares: []router.Share{{Service: "feeds", Weight: 1}}}},
	}, nil, router.Position{Revision: 2})
)

func packetOf(port uint16) framer.Packet {
	return framer.Packet{Source: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Destination: published}
}

func keep() string { return "payload" }

// newKeeping returns a deferrer that keeps a packet of one flow.
func newKeeping() *Deferrer[string] {
	d := NewDeferrer[string]()
	d.Keep(packetOf(1), keep, arrival)
	return d
}

// assertKept checks that a tick releases nothing and that the packet is still kept.
func assertKept(t *testing.T, d *Deferrer[string], confirmedAt, now time.Time) {
	t.Helper()
	is := is.New(t)
	released, isPending := d.Tick(empty, confirmedAt, now)
	is.Equal(len(released), 0)
	is.True(isPending)
}

func TestDeferrer(t *testing.T) {
	t.Run("a packet is forwarded as soon as its address is listed", func(t *testing.T) {
		is := is.New(t)
		d := newKeeping()
		released, isPending := d.Tick(listing, time.Time{}, arrival.Add(TickInterval))
		is.Equal(released, []Release[string]{{Packet: packetOf(1), Payload: "payload", Waited: TickInterval}})
		is.True(!isPending)
	})
	// Guards against the reset of a flow whose route is newer than the table, although
	// the table counts as current by its age.
	t.Run("a flow is refused only if the table was current after its packet arrived", func(t *testing.T) {
		is := is.New(t)
		d := newKeeping()
		assertKept(t, d, arrival, arrival.Add(time.Second))
		assertKept(t, d, arrival.Add(confirmationMargin-1), arrival.Add(time.Second))
		released, isPending := d.Tick(empty, arrival.Add(confirmationMargin), arrival.Add(time.Second))
		is.Equal(len(released), 1)
		is.True(released[0].IsRefused)
		is.True(!isPending)
	})
	t.Run("a packet is dropped if the table is not confirmed in time, and its next copy is kept", func(t *testing.T) {
		is := is.New(t)
		d := newKeeping()
		assertKept(t, d, time.Time{}, arrival.Add(MaxWait-1))
		released, isPending := d.Tick(empty, time.Time{}, arrival.Add(MaxWait))
		is.Equal(len(released), 0)
		is.True(!isPending)
		is.True(d.Keep(packetOf(1), keep, arrival.Add(MaxWait)))
	})
	// Guards against flows that a target opens for callers who have given up.
	t.Run("an opening packet is not forwarded after its caller has given up", func(t *testing.T) {
		is := is.New(t)
		d := NewDeferrer[string]()
		opening := packetOf(1)
		opening.SYN = true
		d.Keep(opening, keep, arrival)
		released, isPending := d.Tick(listing, time.Time{}, arrival.Add(openTimeout))
		is.Equal(len(released), 0)
		is.True(!isPending)
	})
	t.Run("one packet of a flow is kept, and ticks are asked for once", func(t *testing.T) {
		is := is.New(t)
		d := NewDeferrer[string]()
		is.True(d.Keep(packetOf(1), keep, arrival))
		is.True(!d.Keep(packetOf(1), keep, arrival))
		is.True(!d.Keep(packetOf(2), keep, arrival))
		released, _ := d.Tick(listing, time.Time{}, arrival)
		is.Equal(len(released), 2)
	})
	// Guards against callers at addresses without a route that fill the memory.
	t.Run("the number of packets is bounded", func(t *testing.T) {
		is := is.New(t)
		d := NewDeferrer[string]()
		for port := range uint16(2 * maxPackets) {
			d.Keep(packetOf(port), keep, arrival)
		}
		released, _ := d.Tick(listing, time.Time{}, arrival)
		is.Equal(len(released), maxPackets)
	})
}
