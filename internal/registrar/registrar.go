// Package registrar merges what a process learns about configuration and
// targets, from the platform and from peers in any order, into one routing
// table.
//
// Every item has the revision of its last change. The item with the higher
// revision stays, so an older state never comes back, and the result does not
// depend on the order or the source of the items. An item that was removed is
// remembered with the revision of its removal.
//
// A target whose entry disappears without a drain may have lost it while the
// platform was unavailable. It takes new flows for lapseGrace more, and packets
// of open flows for goneHold.
//
// # Usage
//
//	r := registrar.NewRegistrar()
//	changed := r.Merge(changes, revision, now)
//	table := r.Table(now)
package registrar

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// lapseGrace is the time in which live targets write their entry again after
	// the platform was unavailable, which takes them up to 2 s.
	lapseGrace = 2 * time.Second
	// goneHold covers the longest silence after which an end sends a packet of
	// an open flow again, with a margin.
	goneHold = 15 * time.Second
	// freshTime is above the time in which a new target becomes known to every
	// process: a beacon interval, a pull and a tick.
	freshTime = 500 * time.Millisecond
	// removalHold is the time that removals are remembered. It is longer than
	// any source of older items may lag behind.
	removalHold = 5 * time.Minute
)

// Change is an item as of its last change. An item without configuration and
// target is gone or unreadable.
type Change struct {
	Key      string
	Revision uint64
	Config   *router.Config
	Target   *router.Target
}

// IsGone reports whether the item names nothing.
func (c Change) IsGone() bool { return c.Config == nil && c.Target == nil }

type row struct {
	change Change
	// last is the target before its entry disappeared, goneAt when it did.
	last   *router.Target
	goneAt time.Time
	// freshUntil is the end of the time in which others may not know the target.
	freshUntil time.Time
}

// Registrar holds the items. It belongs to one goroutine.
type Registrar struct {
	rows     map[string]*row
	config   router.Config
	revision uint64
}

// NewRegistrar returns a registrar without items.
func NewRegistrar() *Registrar { return &Registrar{rows: make(map[string]*row)} }

// Revision returns the revision up to which the items are complete.
func (r *Registrar) Revision() uint64 { return r.revision }

// HasConfig reports whether a configuration is known.
func (r *Registrar) HasConfig() bool { return r.config.Version > 0 }

// Merge takes changes and reports whether any was new. The changes contain
// every change between the registrar's revision and the given one.
func (r *Registrar) Merge(changes []Change, revision uint64, now time.Time) bool {
	changed := false
	for _, c := range changes {
		changed = r.merge(c, now) || changed
	}
	r.revision = max(r.revision, revision)
	return changed
}

// MergeAll takes the complete state as of a revision: known items that are
// missing and not newer are gone.
func (r *Registrar) MergeAll(items []Change, revision uint64, now time.Time) bool {
	listed := make(map[string]bool, len(items))
	for _, c := range items {
		listed[c.Key] = true
	}
	all := slices.Clone(items)
	for _, key := range slices.Sorted(maps.Keys(r.rows)) {
		if known := r.rows[key]; !listed[key] && known.change.Revision <= revision && !known.change.IsGone() {
			all = append(all, Change{Key: key, Revision: revision})
		}
	}
	return r.Merge(all, revision, now)
}

func (r *Registrar) merge(c Change, now time.Time) bool {
	known := r.rows[c.Key]
	if known == nil {
		known = &row{}
		r.rows[c.Key] = known
	} else if c.Revision <= known.change.Revision {
		return false
	}
	if c.Config != nil && c.Config.Version > r.config.Version {
		r.config = *c.Config
	}
	if before := known.change.Target; before != nil && c.Target == nil {
		known.last = before
	}
	if c.IsGone() {
		known.goneAt = now
	}
	if c.Target != nil {
		known.last = nil
		if known.change.Target == nil && r.revision > 0 {
			known.freshUntil = now.Add(freshTime)
		}
	}
	known.change = c
	return true
}

// Expire forgets what is no longer needed and reports whether the state of a
// target changed by time alone.
func (r *Registrar) Expire(before, now time.Time) bool {
	changed := false
	for key, w := range r.rows {
		changed = changed || before.Before(w.freshUntil) && !now.Before(w.freshUntil)
		if !w.change.IsGone() {
			continue
		}
		for _, limit := range []time.Duration{lapseGrace, goneHold} {
			end := w.goneAt.Add(limit)
			changed = changed || w.last != nil && before.Before(end) && !now.Before(end)
		}
		if now.Sub(w.goneAt) > removalHold {
			delete(r.rows, key)
		}
	}
	return changed
}

// Changes returns the items that changed after a revision, in order of keys.
func (r *Registrar) Changes(after uint64) []Change {
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(r.rows)) {
		if c := r.rows[key].change; c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes
}

// Table returns the routing table at a time. An entry of a service that the
// configuration doesn't name is no target, and of several entries with one
// address only the last one can be a live target.
func (r *Registrar) Table(now time.Time) *router.Table {
	latest := make(map[netip.AddrPort]router.Target)
	for _, key := range slices.Sorted(maps.Keys(r.rows)) {
		t, ok := r.rows[key].target(now)
		if !ok || !slices.Contains(r.config.Services, t.Service) {
			continue
		}
		if other, known := latest[t.Address]; !known || other.Revision < t.Revision {
			latest[t.Address] = t
		}
	}
	return router.NewTable(r.config, slices.Collect(maps.Values(latest)), r.revision)
}

// target returns the target of an item as it is at a time.
func (w *row) target(now time.Time) (router.Target, bool) {
	if t := w.change.Target; t != nil {
		target := *t
		target.IsFresh = now.Before(w.freshUntil)
		return target, true
	}
	since := now.Sub(w.goneAt)
	if w.last == nil || since >= goneHold {
		return router.Target{}, false
	}
	t := *w.last
	t.State = departedState(t, since)
	return t, true
}

func departedState(t router.Target, since time.Duration) router.State {
	if t.State == router.Serving && since < lapseGrace {
		return router.Lapsed
	}
	return router.Gone
}
