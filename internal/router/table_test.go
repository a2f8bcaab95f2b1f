package router

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/framer"
)

var published = netip.MustParseAddrPort("198.18.0.1:443")

func newTable(shares []Share, targets ...Target) (*Table, *Route) {
	t := NewTable(Config{Version: 1, Routes: []Route{{Address: published, Shares: shares}}}, targets, Position{Revision: 1})
	route, _ := t.FindRoute(published)
	return t, route
}

func acceptAll(uint32, *Target, framer.Pass) bool { return true }

func TestSearch(t *testing.T) {
	feeds, bundles := Target{ID: "a", Service: "feeds"}, Target{ID: "b", Service: "bundles"}
	// Guards against packets that reach a target of a service outside the route.
	t.Run("only services of the route are visited", func(t *testing.T) {
		is := is.New(t)
		table, route := newTable([]Share{{Service: "feeds", Weight: 1}}, feeds, bundles)
		for key := range uint64(50) {
			hop, ok := table.FindNextHop(route, key, framer.Mark{Progress: framer.StartProgress}, acceptAll)
			is.True(ok)
			is.Equal(hop.Target.Service, "feeds")
		}
	})
	// Guards against the loss of open flows of a service whose weight was set to 0.
	t.Run("a search visits every service of the route, in both passes, and ends", func(t *testing.T) {
		is := is.New(t)
		table, route := newTable([]Share{{Service: "feeds", Weight: 1}, {Service: "bundles", Weight: 0}}, feeds, bundles)
		mark, visits := framer.Mark{Progress: framer.StartProgress}, map[framer.Pass]int{}
		for {
			hop, ok := table.FindNextHop(route, 5, mark, acceptAll)
			if !ok {
				break
			}
			visits[hop.Mark.Pass()]++
			mark = hop.Mark
		}
		is.Equal(visits, map[framer.Pass]int{framer.FirstPass: 2, framer.SecondPass: 2})
	})
	// Guards against searches that never visit the target which holds the flow,
	// because one process skipped it in the first pass.
	t.Run("a first pass that skips a listed target leads to a full pass", func(t *testing.T) {
		is := is.New(t)
		gone := Target{ID: "c", Service: "feeds", State: Gone}
		table, route := newTable([]Share{{Service: "feeds", Weight: 1}, {Service: "bundles", Weight: 0}}, feeds, bundles, gone)
		for _, left := range []Target{feeds, bundles, gone} {
			mark, last := framer.Mark{Progress: framer.StartProgress}, framer.FirstPass
			for {
				hop, ok := table.FindNextHop(route, 5, mark, func(n uint32, _ *Target, pass framer.Pass) bool { return pass.IsSecond() || n != left.Number() })
				if !ok {
					break
				}
				mark, last = hop.Mark, hop.Mark.Pass()
			}
			is.Equal(last == framer.FullPass, left.State != Gone)
			is.True(last.IsSecond())
		}
	})
	t.Run("a mark keeps the balancer and the hops", func(t *testing.T) {
		is := is.New(t)
		table, route := newTable([]Share{{Service: "feeds", Weight: 1}}, feeds)
		via := netip.MustParseAddr("10.0.0.1")
		hop, _ := table.FindNextHop(route, 5, framer.Mark{Progress: framer.StartProgress, Via: via, Hops: 4}, acceptAll)
		is.Equal(hop.Mark.Via, via)
		is.Equal(hop.Mark.Hops, uint8(4))
	})
	t.Run("new flows follow the weights", func(t *testing.T) {
		is := is.New(t)
		_, route := newTable([]Share{{Service: "feeds", Weight: 90}, {Service: "bundles", Weight: 10}})
		count := 0
		for key := range uint64(10_000) {
			if route.SelectService(key*0x9e3779b97f4a7c15) == "bundles" {
				count++
			}
		}
		is.True(count > 900 && count < 1100) // 4 standard deviations of a share of 0.1 are 120
		route.Shares[1].Weight = 0
		is.Equal(route.SelectService(3), "feeds")
	})
	t.Run("of several targets with one address the latest revision is found", func(t *testing.T) {
		is := is.New(t)
		a := netip.MustParseAddrPort("10.0.0.1:80")
		table, _ := newTable(nil, Target{ID: "a", Address: a, Position: Position{Revision: 3}}, Target{ID: "b", Address: a, Position: Position{Revision: 4}})
		_, target, ok := table.FindTargetAt(a)
		is.True(ok)
		is.Equal(target.ID, "b")
	})
}
