package chooser

import (
	"net/netip"
	"testing"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// TestSearchWithUnequalViews guards against the reset of an open flow when the
// agents along a search disagree on which agents answer: the search may end only
// after it has visited every listed target.
func TestSearchWithUnequalViews(t *testing.T) {
	const service, size = "feeds", 4
	var targets []router.Target
	for i := range size {
		targets = append(targets, router.Target{
			ID: string(rune('a' + i)), Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	table := router.NewTable(router.Config{}, targets, router.Position{Revision: 1})
	route := &router.Route{Shares: []router.Share{{Service: service, Weight: 1}}}
	holder := targets[0].Number()
	for key := range uint64(100) {
		// Bit i-1 of cut is set if agent i can't reach the target that holds the flow.
		// The loop tries all combinations.
		for cut := range uint32(1) << (size - 1) {
			mark, visited, at := framer.Mark{Progress: framer.StartProgress}, false, uint32(0)
			for range 4 * size {
				isDown := func(n uint32) bool {
					for i := 1; i < size; i++ {
						if at == targets[i].Number() && cut&(1<<(i-1)) != 0 {
							return n == holder
						}
					}
					return false
				}
				accept := NewChooser(isDown, nil).AcceptOpenFlow()
				hop, ok := table.FindNextHop(route, key, mark, func(n uint32, target *router.Target, pass framer.Pass) bool {
					return n != at && accept(n, target, pass)
				})
				if !ok {
					break
				}
				mark, at = hop.Mark, hop.Number
				if visited = at == holder; visited {
					break
				}
			}
			if !visited {
				t.Fatalf("key %d: the search ended without the target that holds the flow, while agents %03b did not reach it", key, cut)
			}
		}
	}
}
