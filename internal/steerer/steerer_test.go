package steerer

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
)

var (
	published = netip.MustParseAddrPort("198.18.0.1:443")
	caller    = netip.MustParseAddrPort("100.64.0.7:40001")
)

type world struct {
	*Steerer
	table *router.Table
	down  map[uint32]bool
}

func newWorld(t *testing.T, targets ...router.Target) *world {
	t.Helper()
	w := &world{down: map[uint32]bool{}, table: router.NewTable(router.Config{
		Version: 1, Routes: []router.Route{{Address: published, Shares: []router.Share{{Service: "feeds", Weight: 1}}}},
	}, targets, 1)}
	isDown := func(n uint32) bool { return w.down[n] }
	var err error
	w.Steerer, err = NewSteerer(t.Context(), Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Table: func() *router.Table { return w.table }, IsDown: isDown,
		TableAge: func(time.Time) time.Duration { return 0 }, Logger: zerolog.Nop(),
		Record:  func(string, recorder.Outcome, time.Time) {},
		Chooser: chooser.NewChooser(isDown, func(uint32) (chooser.Report, bool) { return chooser.Report{Slots: 2}, true }),
	})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = w.Close() })
	return w
}

// target returns the target that a packet goes to, or an empty name.
func (w *world) target(p framer.Packet) string {
	p.Source, p.Destination = caller, published
	p.Mark.Progress = framer.StartProgress
	route, _ := w.table.FindRoute(published)
	hop, ok := w.place(w.table, route, p, time.Now())
	if !ok {
		return ""
	}
	return hop.Target.ID
}

func feeds(names ...string) []router.Target {
	var targets []router.Target
	for _, n := range names {
		targets = append(targets, router.Target{ID: n, Service: "feeds"})
	}
	return targets
}

func TestPlace(t *testing.T) {
	opening, data := framer.Packet{SYN: true}, framer.Packet{}
	t.Run("packets follow the opening one, also through another balancer", func(t *testing.T) {
		is := is.New(t)
		first := newWorld(t, feeds("a", "b", "c")...)
		is.Equal(first.target(data), first.target(opening))
		is.Equal(newWorld(t, feeds("a", "b", "c")...).target(data), first.target(opening))
	})
	t.Run("a hint leads to the target that holds the flow", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, feeds("a", "b", "c")...)
		for _, name := range []string{"a", "b", "c"} {
			w.AddHint(framer.Packet{Source: caller, Destination: published}.Key(), router.Target{ID: name}.Number())
			is.Equal(w.target(data), name)
		}
	})
	// Guards against flows that stay with a target that is gone for good.
	t.Run("a hint to a target that is gone and does not answer is dropped", func(t *testing.T) {
		is := is.New(t)
		targets := feeds("a", "b")
		targets[0].State = router.Gone
		w := newWorld(t, targets...)
		number := targets[0].Number()
		w.AddHint(framer.Packet{Source: caller, Destination: published}.Key(), number)
		is.Equal(w.target(data), "a")
		w.down[number] = true
		is.Equal(w.target(data), "b")
	})
	// Guards against resets of live flows whose agent only this balancer does not
	// reach.
	t.Run("a search that passes over a listed target comes back to it", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, feeds("a", "b", "c")...)
		p := framer.Packet{Source: caller, Destination: published, Mark: framer.Mark{Progress: framer.StartProgress}}
		route, _ := w.table.FindRoute(published)
		first, ok := w.place(w.table, route, p, time.Now())
		is.True(ok)
		w.down[first.Number] = true
		hop, ok := w.place(w.table, route, p, time.Now())
		is.True(ok)
		is.True(hop.Number != first.Number)
		// The next processes reach all targets.
		delete(w.down, first.Number)
		for ok && hop.Number != first.Number {
			hop, ok = w.table.FindNextHop(route, p.Key(), hop.Mark, w.options.Chooser.AcceptOpenFlow())
		}
		is.True(ok)
	})
	// Guards against callers that wait for a whole round of copies because one
	// agent is dark.
	t.Run("a copy of an opening packet goes to another target", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, feeds("a", "b")...)
		first := w.target(opening)
		is.True(w.target(framer.Packet{SYN: true, AckNumber: 1}) != first)
	})
	t.Run("a draining target gets no new flow and keeps its own", func(t *testing.T) {
		is := is.New(t)
		targets := feeds("a")
		targets[0].State = router.Draining
		w := newWorld(t, targets...)
		is.Equal(w.target(opening), "")
		is.Equal(w.target(data), "a")
	})
}
