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

func opening(p *framer.Packet) { p.SYN, p.Mark.Progress = true, framer.StartProgress }

func inSecondPass(p *framer.Packet) {
	p.SYN, p.Mark.Progress = true, framer.NewProgress(5, framer.SecondPass)
}

// load makes requests run at the target.
func load(d *Deliverer, count int) {
	for i := range uint16(count) {
		d.options.Tracker.ObserveCallerPacket(packet(i+1, opening).Key(), packet(i+1, opening), now)
	}
}

func TestTakesOpening(t *testing.T) {
	keep := func(*router.Target) {}
	for _, c := range []struct {
		name    string
		target  func(t *router.Target)
		running int
		packet  func(p *framer.Packet)
		taken   bool
	}{
		{"a free slot", keep, 1, opening, true},
		{"no free slot", keep, 2, opening, false},
		{"no free slot anywhere", keep, 3, inSecondPass, true},
		{"a queue of one request for each slot", keep, 4, inSecondPass, false},
		{"a copy while all are full", keep, 2, func(p *framer.Packet) { inSecondPass(p); p.AckNumber = 1 }, false},
		// Guards against requests at a leaving target (rule DRAIN), whatever table
		// the balancer has.
		{"a draining target", func(t *router.Target) { t.State = router.Draining }, 0, opening, false},
		{"a target that is gone", func(t *router.Target) { t.State = router.Gone }, 0, opening, false},
		// Guards against requests at a target of another service (rule ROUTE).
		{"another service at the address", func(t *router.Target) { t.Service = "bundles" }, 0, opening, false},
		{"a target that is not listed", func(t *router.Target) { t.Address = netip.MustParseAddrPort("127.0.0.2:9") }, 0, opening, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeliverer(t)
			load(d, c.running)
			table, route := newTable(c.target)
			is.Equal(d.takesOpening(table, route, packet(900, c.packet), now), c.taken)
		})
	}
	t.Run("a table that is not current keeps no flow away", func(t *testing.T) {
		is := is.New(t)
		d := newDeliverer(t)
		d.options.TableAge = func(time.Time) time.Duration { return router.MaxConclusiveAge }
		table, route := newTable(func(t *router.Target) { t.Service = "bundles" })
		is.True(d.takesOpening(table, route, packet(900, opening), now))
	})
	t.Run("a leaving agent passes new flows on", func(t *testing.T) {
		is := is.New(t)
		d := newDeliverer(t)
		table, route := newTable(keep)
		d.Leave()
		is.True(!d.takesOpening(table, route, packet(900, opening), now))
	})
	// Guards against a second flow for a caller whose first copy was accepted.
	t.Run("a copy for a flow that the target holds is taken", func(t *testing.T) {
		is := is.New(t)
		d := newDeliverer(t)
		table, route := newTable(func(t *router.Target) { t.State = router.Draining })
		p := packet(900, opening)
		d.options.Tracker.ObserveCallerPacket(p.Key(), p, now)
		d.options.Tracker.ObserveTargetPacket(p.Key(), framer.Packet{}, now)
		is.True(d.takesOpening(table, route, p, now))
	})
}
