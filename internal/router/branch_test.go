package router

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/framer"
)

// TestSplit guards against a target that no branch visits, and against branches that
// go on behind their end: agents bound a branch by its hops.
func TestSplit(t *testing.T) {
	via := netip.MustParseAddr("10.1.0.1")
	for _, c := range []struct{ targets, most, branches int }{
		{0, 16, 0}, {1, 16, 1}, {7, 16, 7}, {17, 16, 9}, {100, 16, 15}, {600, 1, 3},
	} {
		t.Run(fmt.Sprint(c.targets, " targets in at most ", c.most), func(t *testing.T) {
			is := is.New(t)
			var targets []Target
			for i := range c.targets {
				targets = append(targets, Target{ID: fmt.Sprint("i-", i), Service: "feeds"})
			}
			table, route := newTable([]Share{{Service: "feeds", Weight: 1}}, targets...)
			branches := table.Split(route, 7, c.most, via, acceptAll)
			is.Equal(len(branches), c.branches)
			visited := map[uint32]int{}
			for _, b := range branches {
				is.Equal(b.Mark.Via, via)
				hops := 0
				for hop, ok := b.Hop, true; ok; hop, ok = table.FindNextHop(route, 7, hop.Mark, acceptAll) {
					if hops++; hops > b.Targets {
						break
					}
					is.True(hop.Mark.IsBranch())
					visited[hop.Number]++
				}
				is.Equal(int(b.Mark.Hops)+b.Targets-1, MaxHops)
			}
			is.Equal(len(visited), c.targets)
			for _, count := range visited {
				is.Equal(count, 1)
			}
		})
	}
	t.Run("a branch has no second pass", func(t *testing.T) {
		is := is.New(t)
		table, route := newTable([]Share{{Service: "feeds", Weight: 1}}, Target{ID: "a", Service: "feeds"})
		b := table.Split(route, 7, 16, via, acceptAll)[0]
		_, ok := table.FindNextHop(route, 7, b.Mark, acceptAll)
		is.True(!ok)
	})
	t.Run("a target that is not accepted is left out", func(t *testing.T) {
		is := is.New(t)
		table, route := newTable([]Share{{Service: "feeds", Weight: 1}}, Target{ID: "a", Service: "feeds"})
		is.Equal(len(table.Split(route, 7, 16, via, func(uint32, *Target, framer.Pass) bool { return false })), 0)
	})
}
