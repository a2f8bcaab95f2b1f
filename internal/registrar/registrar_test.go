package registrar

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeder.SetSeed(41)
	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(revision uint64) router.Position { return router.Position{Revision: revision} }

func address(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host)}), 80)
}

func target(id string, host int, revision uint64) Change {
	return Change{Key: "t/" + id, Position: at(revision), Target: &router.Target{
		ID: id, Service: "feeds", Address: address(host), Position: at(revision),
	}}
}

func config(version, revision uint64) Change {
	return Change{Key: "config", Position: at(revision), Config: &router.Config{Version: version, Services: []string{"feeds"}}}
}

func gone(id string, revision uint64) Change { return Change{Key: "t/" + id, Position: at(revision)} }

func unused(uint32) bool { return false }

// states returns the state of each target by its ID.
func states(t *router.Table) map[string]router.State {
	all := map[string]router.State{}
	t.VisitTargets(func(_ uint32, target *router.Target) { all[target.ID] = target.State })
	return all
}

func TestRegistrar(t *testing.T) {
	t.Run("an older item never replaces a newer one", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistrar()
		r.Merge([]Change{config(2, 5), target("a", 1, 6)}, at(6), start)
		is.True(!r.Merge([]Change{config(1, 4), gone("a", 5)}, at(5), start))
		is.Equal(r.BuildTable(start).Version(), uint64(2))
		is.Equal(len(states(r.BuildTable(start))), 1)
		is.Equal(r.Position(), at(6))
	})
	// Guards against flows sent to a dead target whose entry is still listed, and
	// against searches that end there, after a new target took over its address.
	t.Run("of several entries with one address the latest revision is the target", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistrar()
		r.Merge([]Change{config(1, 1), target("a", 1, 2), target("b", 1, 3)}, at(3), start)
		is.Equal(states(r.BuildTable(start)), map[string]router.State{"b": router.Serving})
	})
	// Guards against an outage of the platform that empties the table although
	// the targets are still running.
	t.Run("a target without an entry takes new flows for 2 s and open flows for 15 s", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistrar()
		r.Merge([]Change{config(1, 1), target("a", 1, 2)}, at(2), start)
		r.Merge([]Change{gone("a", 3)}, at(3), start)
		for _, c := range []struct {
			after time.Duration
			state router.State
			known bool
		}{{1900 * time.Millisecond, router.Lapsed, true}, {2 * time.Second, router.Gone, true}, {15 * time.Second, 0, false}} {
			state, known := states(r.BuildTable(start.Add(c.after)))["a"]
			is.Equal(known, c.known)
			is.Equal(state, c.state)
		}
		is.True(r.Expire(start.Add(1900*time.Millisecond), start.Add(2*time.Second), unused))
		is.True(!r.Expire(start.Add(3*time.Second), start.Add(4*time.Second), unused))
	})
	t.Run("a draining target whose entry disappears gets no new flows", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistrar()
		draining := target("a", 1, 2)
		draining.Target.State = router.Draining
		r.Merge([]Change{config(1, 1), draining, gone("a", 3)}, at(3), start)
		is.Equal(states(r.BuildTable(start))["a"], router.Gone)
	})
	t.Run("a snapshot removes the items that it does not list", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistrar()
		r.Merge([]Change{config(1, 1), target("a", 1, 2), target("b", 2, 9)}, at(9), start)
		r.MergeSnapshot([]Change{config(1, 1)}, at(8), start)
		is.Equal(states(r.BuildTable(start.Add(time.Minute))), map[string]router.State{"b": router.Serving})
	})
	t.Run("entries of unknown services and entries that can't be decoded are ignored", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistrar()
		other := target("a", 1, 2)
		other.Target.Service = "unknown"
		r.Merge([]Change{config(1, 1), other, gone("b", 3), target("c", 1, 2)}, at(3), start)
		is.Equal(states(r.BuildTable(start)), map[string]router.State{"c": router.Serving})
	})
	// Guards against resets of flows at a target that other processes do not know
	// yet: their searches would end without finding it.
	t.Run("a target is propagating for 500 ms unless it was there at the start", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistrar()
		r.Merge([]Change{config(1, 1), target("a", 1, 2)}, at(2), start)
		r.Merge([]Change{target("b", 2, 3)}, at(3), start)
		propagating := func(after time.Duration) map[string]bool {
			all := map[string]bool{}
			r.BuildTable(start.Add(after)).VisitTargets(func(_ uint32, t *router.Target) { all[t.ID] = t.IsPropagating })
			return all
		}
		is.Equal(propagating(0), map[string]bool{"a": false, "b": true})
		is.Equal(propagating(500*time.Millisecond), map[string]bool{"a": false, "b": false})
		is.True(r.Expire(start.Add(400*time.Millisecond), start.Add(500*time.Millisecond), unused))
	})
	// Guards against processes whose tables differ permanently because they
	// received the same changes in a different order or from another source.
	t.Run("the result does not depend on the order of changes", rapid.MakeCheck(func(t *rapid.T) {
		changes := []Change{config(1, 1)}
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			id, revision := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")), uint64(i+2)
			if rapid.Bool().Draw(t, "gone") {
				changes = append(changes, gone(id, revision))
			} else {
				changes = append(changes, target(id, rapid.IntRange(1, 3).Draw(t, "host"), revision))
			}
		}
		end := start.Add(time.Hour)
		here, there := NewRegistrar(), NewRegistrar()
		here.Merge(changes, at(uint64(len(changes))), start)
		for _, c := range rapid.Permutation(changes).Draw(t, "order") {
			there.Merge([]Change{c}, at(0), start)
		}
		if a, b := states(here.BuildTable(end)), states(there.BuildTable(end)); fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("%v and %v", a, b)
		}
	}))
}
