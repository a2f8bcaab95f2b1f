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

// restorableStore is a model of a store that may come back from an older copy of
// itself. The writers know their last states and write them again.
type restorableStore struct {
	store
	epoch uint64
	// reports has the last report of each target that runs, by its ID.
	reports map[string]Change
	version uint64
	starts  int64
}

func (s *restorableStore) write(c Change) {
	c.Epoch = s.epoch
	s.store.write(c)
}

func (s *restorableStore) position() router.Position {
	return router.Position{Epoch: s.epoch, Revision: s.revision}
}

// report writes the next report of a target; it returns to serving only by a
// restart.
func (s *restorableStore) report(id string, host int, isDraining bool) {
	last, isRunning := s.reports[id]
	isRunning = isRunning && (last.Target.State == router.Serving || isDraining)
	c := target(id, host, 0)
	if isRunning {
		c.Stamp = Stamp{StartedMs: last.Stamp.StartedMs, Number: last.Stamp.Number + 1}
	} else {
		s.starts++
		c.Stamp = Stamp{StartedMs: s.starts, Number: 1}
	}
	if isDraining {
		c.Target.State = router.Draining
	}
	s.reports[id] = c
	s.write(c)
}

// configure writes the configuration of the model's version.
func (s *restorableStore) configure() {
	c := config(s.version, 0)
	c.Stamp = Stamp{Number: s.version}
	s.write(c)
}

// restore takes back the history after a revision.
func (s *restorableStore) restore(revision uint64) {
	s.epoch++
	s.history, s.revision = slices.Clone(s.history[:revision]), revision
}

// items returns the items of the store, labelled with the current epoch as the
// store's answers are.
func (s *restorableStore) items() []Change {
	var items []Change
	for _, c := range s.itemsAt(s.revision) {
		items = append(items, s.label(c))
	}
	return items
}

func (s *restorableStore) label(c Change) Change {
	c.Epoch = s.epoch
	if c.Target != nil {
		t := *c.Target
		t.Epoch = s.epoch
		c.Target = &t
	}
	return c
}

// restoredProcess is a process with the newest state of each target that it has
// ever known.
type restoredProcess struct {
	*Registrar
	newest  map[string]Change
	version uint64
}

func newRestoredProcess() *restoredProcess {
	return &restoredProcess{Registrar: NewRegistrar(), newest: map[string]Change{}}
}

// check fails if the process takes back what it knows of a target, or a
// configuration.
func (p *restoredProcess) check(t *rapid.T, now time.Time) {
	table := p.BuildTable(now)
	if table.Version() < p.version {
		t.Fatalf("configuration version %d after %d", table.Version(), p.version)
	}
	p.version = table.Version()
	for key, known := range p.records {
		newest, isKnown := p.newest[key]
		if isKnown && known.change.Stamp.Compare(newest.Stamp) < 0 {
			t.Fatalf("%s has stamp %v after %v", key, known.change.Stamp, newest.Stamp)
		}
		if isKnown && newest.IsGone() && known.change.Target != nil && known.change.Target.State == router.Draining &&
			known.change.Stamp == newest.Stamp && known.change.Epoch != newest.Epoch {
			t.Fatalf("%s drains again by its report %v", key, newest.Stamp)
		}
		p.newest[key] = known.change
	}
}

// TestRestoredStore guards against a target that drained or left, or a
// configuration that was replaced, in use again because the store came back from a
// copy that still lists the earlier state.
func TestRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restorableStore{epoch: 1, reports: map[string]Change{}, version: 1}
		s.configure()
		now := start
		processes := make([]*restoredProcess, rapid.IntRange(2, 4).Draw(t, "processes"))
		for i := range processes {
			processes[i] = newRestoredProcess()
		}
		pick := func(t *rapid.T, name string) *restoredProcess {
			return processes[rapid.IntRange(0, len(processes)-1).Draw(t, name)]
		}
		readAll := func(p *restoredProcess) { p.MergeSnapshot(s.items(), s.position(), now) }
		watch := func(p *restoredProcess) {
			if p.Position().Epoch != s.epoch || !p.HasConfig() {
				readAll(p)
				return
			}
			var events []Change
			for _, c := range s.history[p.Position().Revision:] {
				events = append(events, s.label(c))
			}
			p.Merge(events, s.position(), now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				id := rapid.IntRange(0, 3).Draw(t, "id")
				s.report(fmt.Sprint(id), id+1, rapid.Bool().Draw(t, "drains"))
			},
			"leave": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id"))
				delete(s.reports, id)
				if _, isListed := s.itemsAt(s.revision)["t/"+id]; isListed {
					s.write(gone(id, 0))
				}
			},
			"configure": func(*rapid.T) {
				s.version++
				s.configure()
			},
			"restore": func(t *rapid.T) { s.restore(uint64(rapid.IntRange(1, int(s.revision)).Draw(t, "revision"))) },
			"read all": func(t *rapid.T) {
				readAll(pick(t, "process"))
			},
			"watch": func(t *rapid.T) { watch(pick(t, "process")) },
			"fetch from a peer": func(t *rapid.T) {
				fetch(pick(t, "to").Registrar, pick(t, "from").Registrar, now)
			},
			"restart": func(t *rapid.T) {
				processes[rapid.IntRange(0, len(processes)-1).Draw(t, "process")] = newRestoredProcess()
			},
			"": func(t *rapid.T) {
				for _, p := range processes {
					p.check(t, now)
				}
			},
		})
		// What is written again reaches every process, whatever it knew before.
		for id := range s.reports {
			s.report(id, 1+int(id[0]-'0'), s.reports[id].Target.State == router.Draining)
		}
		for key, c := range s.itemsAt(s.revision) {
			if c.Target != nil && s.reports[c.Target.ID].Target == nil {
				s.write(Change{Key: key})
			}
		}
		s.version++
		s.configure()
		want := map[string]router.State{}
		for _, c := range s.items() {
			if c.Target != nil {
				want[c.Target.ID] = c.Target.State
			}
		}
		for _, p := range processes {
			watch(p)
			p.check(t, now)
			if table := p.BuildTable(now.Add(time.Hour)); table.Version() != s.version || !maps.Equal(states(table), want) {
				t.Fatalf("version %d with %v, want %d with %v", table.Version(), states(table), s.version, want)
			}
		}
	})
}

// TestRestoredTombstone guards against a target that left and gets new flows again
// because a peer reports its removal once more in a later epoch.
func TestRestoredTombstone(t *testing.T) {
	is := is.New(t)
	r := NewRegistrar()
	r.Merge([]Change{config(1, 1), target("a", 1, 2)}, at(2), start)
	r.Merge([]Change{gone("a", 3)}, at(3), start)
	removed := gone("a", 2)
	removed.Epoch = 1
	later := start.Add(5 * time.Second)
	r.MergeSnapshot([]Change{removed}, router.Position{Epoch: 1, Revision: 2}, later)
	is.Equal(states(r.BuildTable(later))["a"], router.Gone)
}

// TestRestoredLapse guards against a live target without flows: its entry lapsed, and
// the target does not write it again, because the copy that the store came back from
// still has it.
func TestRestoredLapse(t *testing.T) {
	listed := func(c Change, epoch uint64) Change {
		c.Epoch, c.Target.Epoch = epoch, epoch
		c.Stamp = Stamp{StartedMs: int64(c.Target.ID[0]), Number: 1}
		return c
	}
	lapse := func(draining bool) *Registrar {
		r := NewRegistrar()
		a := listed(target("a", 1, 2), 0)
		if draining {
			a.Target.State, a.Stamp.Number = router.Draining, 2
		}
		r.Merge([]Change{config(1, 1), a}, at(2), start)
		r.Merge([]Change{gone("a", 3)}, at(3), start)
		return r
	}
	restored := router.Position{Epoch: 1, Revision: 2}
	later := start.Add(time.Minute)
	t.Run("a target that was serving is used again", func(t *testing.T) {
		r := lapse(false)
		r.MergeSnapshot([]Change{listed(target("a", 1, 2), 1)}, restored, start)
		is.New(t).Equal(states(r.BuildTable(later)), map[string]router.State{"a": router.Serving})
	})
	t.Run("a target that was draining is not", func(t *testing.T) {
		r := lapse(true)
		r.MergeSnapshot([]Change{listed(target("a", 1, 2), 1)}, restored, start)
		is.New(t).Equal(states(r.BuildTable(later)), map[string]router.State{})
	})
	t.Run("a target that took over its address before the return keeps it", func(t *testing.T) {
		r := lapse(false)
		r.Merge([]Change{listed(target("b", 1, 4), 0)}, at(4), start)
		r.MergeSnapshot([]Change{listed(target("a", 1, 2), 1)}, restored, start)
		is.New(t).Equal(states(r.BuildTable(start)), map[string]router.State{"b": router.Lapsed})
	})
}
