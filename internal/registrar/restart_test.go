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

// store is a model of the platform's store with its whole history.
type store struct {
	revision uint64
	history  []Change
}

func (s *store) write(c Change) {
	s.revision++
	c.Revision = s.revision
	if c.Target != nil {
		c.Target.Revision = s.revision
	}
	s.history = append(s.history, c)
}

// itemsAt returns the items that are present as of a revision, by key.
func (s *store) itemsAt(revision uint64) map[string]Change {
	items := map[string]Change{}
	for _, c := range s.history {
		if c.Revision > revision {
			break
		}
		if c.IsGone() {
			delete(items, c.Key)
		} else {
			items[c.Key] = c
		}
	}
	return items
}

// fetch merges what a process that is behind fetches from another one.
func fetch(to, from *Registrar, now time.Time) {
	if from.Position().Compare(to.Position()) <= 0 {
		return
	}
	changes, isSnapshot := from.Changes(to.Position())
	if isSnapshot {
		to.MergeSnapshot(changes, from.Position(), now)
	} else {
		to.Merge(changes, from.Position(), now)
	}
}

// TestRestarts guards against a target that has left and is used again after a
// process restarts: the restarted process does not know of removals before its
// first read, and must not hide them from a process with an older table.
func TestRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		s.write(config(1, 1))
		now := start
		processes := make([]*Registrar, rapid.IntRange(2, 4).Draw(t, "processes"))
		for i := range processes {
			processes[i] = NewRegistrar()
		}
		pick := func(name string) int { return rapid.IntRange(0, len(processes)-1).Draw(t, name) }
		readAll := func(r *Registrar) {
			r.MergeSnapshot(slices.Collect(maps.Values(s.itemsAt(s.revision))), at(s.revision), now)
		}
		check := func(r *Registrar) {
			if !r.HasConfig() {
				return
			}
			want := map[string]bool{}
			for _, c := range s.itemsAt(r.Position().Revision) {
				if c.Target != nil {
					want[c.Target.ID] = true
				}
			}
			got := map[string]bool{}
			r.BuildTable(now).VisitTargets(func(_ uint32, target *router.Target) {
				if target.State == router.Serving {
					got[target.ID] = true
				}
			})
			if !maps.Equal(got, want) {
				t.Fatalf("serving targets at revision %d: got %v, want %v", r.Position().Revision, got, want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				id := rapid.IntRange(0, 3).Draw(t, "id")
				if rapid.Bool().Draw(t, "gone") {
					s.write(gone(fmt.Sprint(id), 0))
				} else {
					s.write(target(fmt.Sprint(id), id+1, 0))
				}
			},
			"read all": func(*rapid.T) { readAll(processes[pick("process")]) },
			"watch": func(*rapid.T) {
				if r := processes[pick("process")]; r.HasConfig() {
					r.Merge(s.history[r.Position().Revision:], at(s.revision), now)
				}
			},
			"fetch from a peer": func(*rapid.T) {
				fetch(processes[pick("to")], processes[pick("from")], now)
			},
			"restart": func(*rapid.T) { processes[pick("process")] = NewRegistrar() },
			"pass time": func(*rapid.T) {
				before := now
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
				for _, r := range processes {
					r.Expire(before, now, unused)
				}
			},
			"": func(*rapid.T) {
				for _, r := range processes {
					check(r)
				}
			},
		})
	})
}

// TestLapsedTargetsOfPeer guards against resets of open flows by a process that has
// just started: it does not know the targets whose entries lapsed, although the peer
// that sends it a table does.
func TestLapsedTargetsOfPeer(t *testing.T) {
	is := is.New(t)
	peer, started := NewRegistrar(), NewRegistrar()
	peer.Merge([]Change{config(1, 1), target("a", 1, 2), target("b", 2, 3)}, at(3), start)
	peer.MergeSnapshot([]Change{config(1, 1), target("b", 2, 3)}, at(4), start)
	fetch(started, peer, start)
	is.Equal(states(started.BuildTable(start)), states(peer.BuildTable(start)))
}

// TestDeparturesOfOlderPeer guards against resets of open flows by a process that
// started after the platform lost its entries, and is ahead of its peers: they still
// list the targets.
func TestDeparturesOfOlderPeer(t *testing.T) {
	is := is.New(t)
	peer, started := NewRegistrar(), NewRegistrar()
	peer.Merge([]Change{config(1, 1), target("a", 1, 2), target("b", 2, 3)}, at(3), start)
	started.MergeSnapshot([]Change{config(1, 1), target("b", 2, 3)}, at(9), start)
	is.True(started.MergeDepartures(peer.Departures(started.Position()), start))
	want := map[string]router.State{"a": router.Gone, "b": router.Serving}
	is.Equal(states(started.BuildTable(start)), want)
	is.Equal(states(started.BuildTable(start.Add(goneRetention-time.Second))), want)
	t.Run("a peer at the same position sends departed targets only", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(peer.Departures(peer.Position())), 0)
	})
	t.Run("a target that a newer peer lists is left to the changes", func(t *testing.T) {
		is := is.New(t)
		older := NewRegistrar()
		older.MergeSnapshot([]Change{config(1, 1)}, at(2), start)
		is.True(!older.MergeDepartures([]Change{target("c", 3, 5)}, start))
	})
}
