package registrar

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

// TestOddWriters guards against odd entries of other writers that change what the
// other entries say, in changes and in snapshots, also after the store came back from
// an older copy. A table must be that of a store without the keys of other writers, in
// which odd entries under the key of a target are removals.
func TestOddWriters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, clean := &store{}, &store{}
		now := start
		write := func(c Change, isClean bool) {
			all.write(c)
			clean.revision = all.revision - 1
			if isClean {
				c.Problem = ""
				clean.write(c)
			}
		}
		write(config(1, 0), true)
		read, reference := NewRegistrar(), NewRegistrar()
		var epoch uint64
		merge := func(r *Registrar, s *store, isSnapshot bool) {
			position, known := router.Position{Epoch: epoch, Revision: all.revision}, r.Position()
			if isSnapshot || known.Epoch < epoch {
				r.MergeSnapshot(withEpoch(slices.Collect(maps.Values(s.itemsAt(all.revision))), epoch), position, now)
				return
			}
			r.Merge(slices.DeleteFunc(withEpoch(s.history, epoch), func(c Change) bool { return c.Compare(known) <= 0 }), position, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"write a target": func(t *rapid.T) {
				id := rapid.IntRange(0, 3).Draw(t, "id")
				write(target(fmt.Sprint(id), id+1, 0), true)
			},
			"remove a target": func(t *rapid.T) { write(gone(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")), 0), true) },
			"write an odd entry": func(t *rapid.T) {
				c := gone(fmt.Sprint("other-", rapid.IntRange(0, 1).Draw(t, "writer")), 0)
				c.Problem = "field of another type"
				if rapid.Bool().Draw(t, "of an unknown service") {
					c = target(fmt.Sprint("other-", rapid.IntRange(0, 1).Draw(t, "writer")), rapid.IntRange(1, 4).Draw(t, "host"), 0)
					c.Target.Service = "unknown"
				}
				write(c, false)
			},
			"write an odd entry under the key of a target": func(t *rapid.T) {
				c := gone(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")), 0)
				c.Problem = "missing field"
				write(c, true)
			},
			"merge": func(t *rapid.T) {
				isSnapshot := rapid.Bool().Draw(t, "snapshot")
				merge(read, all, isSnapshot)
				merge(reference, clean, isSnapshot)
			},
			"return from an older copy": func(t *rapid.T) {
				epoch++
				all.revision -= uint64(rapid.IntRange(0, min(5, int(all.revision)-1)).Draw(t, "lost"))
				for _, s := range []*store{all, clean} {
					s.history = slices.DeleteFunc(s.history, func(c Change) bool { return c.Revision > all.revision })
				}
			},
			"pass time": func(t *rapid.T) {
				before := now
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				read.Expire(before, now, unused)
				reference.Expire(before, now, unused)
			},
			"": func(t *rapid.T) {
				got, want := read.BuildTable(now), reference.BuildTable(now)
				if !maps.Equal(states(got), states(want)) {
					t.Fatalf("targets are %v, want %v", states(got), states(want))
				}
				want.VisitTargets(func(n uint32, w *router.Target) {
					if g, _ := got.FindTarget(n); *g != *w {
						t.Fatalf("target is %+v, want %+v", *g, *w)
					}
				})
			},
		})
	})
}

// withEpoch returns changes as a read in an epoch returns them.
func withEpoch(changes []Change, epoch uint64) []Change {
	read := slices.Clone(changes)
	for i, c := range read {
		read[i].Epoch = epoch
		if c.Target != nil {
			t := *c.Target
			t.Epoch = epoch
			read[i].Target = &t
		}
	}
	return read
}

// TestRepeatedOddEntry guards against a writer that replaces its odd entry at each
// heartbeat and thereby makes every process rebuild its table.
func TestRepeatedOddEntry(t *testing.T) {
	is := is.New(t)
	r := NewRegistrar()
	r.Merge([]Change{config(1, 1), target("a", 1, 2), gone("odd", 3)}, at(3), start)
	is.True(!r.Merge([]Change{gone("odd", 4)}, at(4), start))
	is.Equal(r.Position(), at(4))
	is.True(r.Merge([]Change{gone("a", 5)}, at(5), start))
}

// TestEqualNumbers guards against tables that differ between processes, because two
// targets have the same number and the kept one is drawn by chance.
func TestEqualNumbers(t *testing.T) {
	is := is.New(t)
	first, second := findEqualNumbers()
	r := NewRegistrar()
	r.Merge([]Change{config(1, 1), target(first, 1, 2), target(second, 2, 3)}, at(3), start)
	want := states(r.BuildTable(start))
	for range 50 {
		is.Equal(states(r.BuildTable(start)), want)
	}
}

// findEqualNumbers returns two IDs with the same target number.
func findEqualNumbers() (string, string) {
	seen := map[uint32]string{}
	for i := 0; ; i++ {
		id := fmt.Sprint("t-", i)
		n := router.Target{ID: id}.Number()
		if other, ok := seen[n]; ok {
			return other, id
		}
		seen[n] = id
	}
}
