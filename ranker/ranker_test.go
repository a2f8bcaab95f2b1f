package ranker

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetSeed(20261204)
	os.Exit(m.Run())
}

// newFleet returns n live hosts, spread evenly over the zones.
func newFleet(n int, zones ...string) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = NewHost(fmt.Sprintf("host-%05d", i), zones[i%len(zones)], true)
	}
	return hosts
}

// assertNoLoop fails the test when a path along parents leads back to its start.
func assertNoLoop(t interface{ Fatalf(string, ...any) }, parents map[string][]string) {
	const open, done = 1, 2
	state := make(map[string]int)
	var visit func(name string)
	visit = func(name string) {
		if state[name] == open {
			t.Fatalf("loop through %s", name)
		}
		if state[name] == done {
			return
		}
		state[name] = open
		for _, p := range parents[name] {
			visit(p)
		}
		state[name] = done
	}
	for name := range parents {
		visit(name)
	}
}

func TestPosition(t *testing.T) {
	t.Run("the tree has three roots, two parents and bounded fan-out", func(t *testing.T) {
		is := is.New(t)
		hosts := newFleet(900, "a")
		r := NewRanker(Options{})
		children := make(map[string]int)
		roots := 0
		for _, h := range hosts {
			p := r.Position(hosts, h.name, "a")
			is.Equal(p.Watching, p.Rank < 3)
			if p.Watching {
				roots++
				continue
			}
			is.Equal(len(p.Parents), 2)
			for _, parent := range p.Parents {
				children[parent]++
			}
		}
		is.Equal(roots, 3)
		for _, n := range children {
			is.True(n <= 2*DefaultFanOut)
		}
	})
	t.Run("no process of a zone of 3,125 is more than 4 levels deep", func(t *testing.T) {
		is := is.New(t)
		hosts := newFleet(3125, "a")
		r := NewRanker(Options{})
		for _, h := range hosts[:50] {
			name, depth := h.name, 1
			for p := r.Position(hosts, name, "a"); !p.Watching; p = r.Position(hosts, name, "a") {
				name, depth = p.Parents[len(p.Parents)-1], depth+1
			}
			is.True(depth <= 4)
		}
	})
	t.Run("hosts that are not live are no parents and no fallbacks", func(t *testing.T) {
		is := is.New(t)
		r := NewRanker(Options{Watchers: 1})
		hosts := newFleet(40, "a", "b")
		for i := range hosts {
			hosts[i].live = i < 4
		}
		for _, h := range hosts {
			p := r.Position(hosts, h.name, h.zone)
			for _, name := range append(p.Parents, p.Fallbacks...) {
				is.True(slices.ContainsFunc(hosts[:4], func(l Host) bool { return l.name == name }))
			}
		}
	})
	t.Run("every process has a watching host of each other zone as fallback", func(t *testing.T) {
		is := is.New(t)
		r := NewRanker(Options{})
		hosts := newFleet(200, "a", "b", "c", "d")
		for _, h := range hosts {
			p := r.Position(hosts, h.name, h.zone)
			if p.Watching {
				is.Equal(len(p.Fallbacks), 3+4) // the neighbours come last
			} else {
				is.Equal(len(p.Fallbacks), 3)
			}
			for _, name := range p.Fallbacks[:3] {
				i := slices.IndexFunc(hosts, func(o Host) bool { return o.name == name })
				is.True(hosts[i].zone != h.zone)
				is.True(r.Position(hosts, name, hosts[i].zone).Watching)
			}
		}
	})
	t.Run("an empty list makes the process watch the platform itself", func(t *testing.T) {
		is := is.New(t)
		is.True(NewRanker(Options{}).Position(nil, "x", "a").Watching)
	})
}

func TestPositionsWithDifferentLists(t *testing.T) {
	t.Run("parents form no loop when every process has another host list", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			hosts := newFleet(rapid.IntRange(1, 60).Draw(t, "hosts"), "a", "b")
			r := NewRanker(Options{Watchers: rapid.IntRange(1, 3).Draw(t, "watchers"), FanOut: rapid.IntRange(1, 4).Draw(t, "fan_out")})
			parents := make(map[string][]string)
			for _, h := range hosts {
				var known []Host
				for _, o := range hosts {
					if rapid.Bool().Draw(t, "known") {
						// An outdated list can also hold a host under its former zone.
						o.zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
						known = append(known, o)
					}
				}
				parents[h.name] = r.Position(known, h.name, h.zone).Parents
			}
			assertNoLoop(t, parents)
		})
	})
}

func BenchmarkPosition(b *testing.B) {
	hosts := newFleet(12_500, "a", "b", "c", "d")
	r := NewRanker(Options{})
	b.ReportAllocs()
	for b.Loop() {
		r.Position(hosts, "host-00007", "d")
	}
}
