package deliverer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/tracker"
)

var (
	published = netip.MustParseAddrPort("198.18.0.1:443")
	caller    = netip.MustParseAddrPort("100.64.0.7:40001")
	backend   = netip.MustParseAddrPort("127.0.0.1:9")
	now       = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
)

func newDeliverer(t *testing.T) *Deliverer {
	t.Helper()
	free := netip.MustParseAddrPort("127.0.0.1:0")
	d, err := NewDeliverer(t.Context(), Options{
		Address: free, Outbound: free, Backend: backend, Service: "feeds", Logger: zerolog.Nop(),
		Chooser:  chooser.NewChooser(func(uint32) bool { return false }, func(uint32) (chooser.Report, bool) { return chooser.Report{}, true }),
		Tracker:  tracker.NewTracker(tracker.Options{}),
		TableAge: func(time.Time) time.Duration { return 0 },
		Record:   func(string, recorder.Outcome, time.Time) {},
	})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func newTable(change func(t *router.Target)) (*router.Table, *router.Route) {
	own := router.Target{ID: "own", Service: "feeds", Address: backend, Slots: 2}
	change(&own)
	table := router.NewTable(router.Config{
		Version: 1, Routes: []router.Route{{Address: published, Shares: []router.Share{{Service: "feeds", Weight: 1}}}},
	}, []router.Target{own}, 1)
	route, _ := table.FindRoute(published)
	return table, route
}

func packet(port uint16, change func(p *framer.Packet)) framer.Packet {
	p := framer.Packet{Source: netip.AddrPortFrom(caller.Addr(), port), Destination: published}
	change(&p)
	return p
}

func setOpening(p *framer.Packet) { p.SYN, p.Mark.Progress = true, framer.StartProgress }

func setOpeningInSecondPass(p *framer.Packet) {
	p.SYN, p.Mark.Progress = true, framer.NewProgress(5, framer.SecondPass)
}

// startRequests adds running requests to the load of the target.
func startRequests(d *Deliverer, count int) {
	for i := range uint16(count) {
		d.options.Tracker.ObserveCallerPacket(packet(i+1, setOpening).Key(), packet(i+1, setOpening), now)
	}
}

func TestTakesOpening(t *testing.T) {
	keep := func(*router.Target) {}
	for _, c := range []struct {
		name    string
		target  func(t *router.Target)
		running int
		packet  func(p *framer.Packet)
		want    bool
	}{
		{"a free slot", keep, 1, setOpening, true},
		{"no free slot", keep, 2, setOpening, false},
		{"second pass with a short queue", keep, 3, setOpeningInSecondPass, true},
		{"second pass with one queued request per slot", keep, 4, setOpeningInSecondPass, false},
		{"a retransmission in the second pass", keep, 2, func(p *framer.Packet) { setOpeningInSecondPass(p); p.AckNumber = 1 }, false},
		// Guards against new requests at a draining target (rule DRAIN) when the
		// balancer's table is out of date.
		{"a draining target", func(t *router.Target) { t.State = router.Draining }, 0, setOpening, false},
		{"a gone target", func(t *router.Target) { t.State = router.Gone }, 0, setOpening, false},
		// Guards against requests that reach a target of another service (rule
		// ROUTE).
		{"a table with another service at the address", func(t *router.Target) { t.Service = "bundles" }, 0, setOpening, false},
		{"a table without the target", func(t *router.Target) { t.Address = netip.MustParseAddrPort("127.0.0.2:9") }, 0, setOpening, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeliverer(t)
			startRequests(d, c.running)
			table, route := newTable(c.target)
			is.Equal(d.acceptsNewFlow(table, route, packet(900, c.packet), now), c.want)
		})
	}
	t.Run("a stale table refuses no flow", func(t *testing.T) {
		is := is.New(t)
		d := newDeliverer(t)
		d.options.TableAge = func(time.Time) time.Duration { return router.MaxConclusiveAge }
		table, route := newTable(func(t *router.Target) { t.Service = "bundles" })
		is.True(d.acceptsNewFlow(table, route, packet(900, setOpening), now))
	})
	t.Run("a stopping agent refuses new flows", func(t *testing.T) {
		is := is.New(t)
		d := newDeliverer(t)
		table, route := newTable(keep)
		d.RefuseNewFlows()
		is.True(!d.acceptsNewFlow(table, route, packet(900, setOpening), now))
	})
	// Guards against a second flow at another target when a caller retransmits an
	// opening packet that was already accepted.
	t.Run("a retransmission for a flow that the target holds is accepted", func(t *testing.T) {
		is := is.New(t)
		d := newDeliverer(t)
		table, route := newTable(func(t *router.Target) { t.State = router.Draining })
		p := packet(900, setOpening)
		d.options.Tracker.ObserveCallerPacket(p.Key(), p, now)
		d.options.Tracker.ObserveTargetPacket(p.Key(), framer.Packet{}, now)
		is.True(d.acceptsNewFlow(table, route, p, now))
	})
	// Guards against new requests at a draining target (rule DRAIN) from a caller
	// that uses the port of an ended flow again.
	t.Run("a new flow on the port of an ended one is decided anew", func(t *testing.T) {
		is := is.New(t)
		d := newDeliverer(t)
		draining, route := newTable(func(t *router.Target) { t.State = router.Draining })
		serving, _ := newTable(keep)
		p := packet(900, setOpening)
		d.options.Tracker.ObserveCallerPacket(p.Key(), p, now)
		d.options.Tracker.ObserveTargetPacket(p.Key(), framer.Packet{}, now)
		again := p
		again.Sequence = p.Sequence + 5000
		is.True(!d.acceptsNewFlow(draining, route, again, now))
		d.options.Tracker.ObserveTargetPacket(p.Key(), framer.Packet{FIN: true}, now)
		is.True(!d.acceptsNewFlow(draining, route, p, now))
		is.True(d.acceptsNewFlow(serving, route, p, now))
	})
}
