// Package registrar merges the configuration and the target entries that a
// process receives, from the platform's store and from peers, into one routing
// table.
//
// Every item carries the revision of its last change, and the higher revision
// wins. An older state therefore never replaces a newer one, and the result
// depends neither on the order nor on the source of the items. A removed item is
// kept as a tombstone with the revision of its removal. A process that asks for
// changes since before the oldest tombstone gets all items instead, because it
// would otherwise keep the items whose removal is not known here.
//
// A target whose entry disappears without a drain may still be running: entries
// can be lost while the platform is unavailable. The target keeps getting new
// flows for lapsedGracePeriod and packets of open flows for goneRetention.
//
// # Usage
//
//	r := registrar.NewRegistrar()
//	changed := r.Merge(changes, revision, now)
//	table := r.BuildTable(now)
package registrar

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// lapsedGracePeriod covers the time that a live target needs to write its
	// entry again after the platform was unavailable, up to 2 s.
	lapsedGracePeriod = 2 * time.Second
	// goneRetention is longer, with a margin, than the longest pause after which
	// either end sends another packet of an open flow.
	goneRetention = 15 * time.Second
	// propagationTime is longer than the time until every process knows a new
	// target: a beacon interval, a fetch from a peer and a tick.
	propagationTime = 500 * time.Millisecond
	// tombstoneRetention is longer than any source of items may lag behind, so
	// that a late source can't bring a removed item back.
	tombstoneRetention = 5 * time.Minute
)

// Change is the state of an item as of its last change. If both Config and
// Target are nil, the item was removed or can't be decoded.
type Change struct {
	Key      string
	Revision uint64
	Config   *router.Config
	Target   *router.Target
}

// IsGone reports whether the item was removed or can't be decoded.
func (c Change) IsGone() bool { return c.Config == nil && c.Target == nil }

// record is the latest known state of an item, also after its removal.
type record struct {
	change Change
	// lastTarget is the target before its entry disappeared at removedAt.
	lastTarget *router.Target
	removedAt  time.Time
	// propagatedAt is the time from which every process knows the target.
	propagatedAt time.Time
}

// Registrar holds the latest known state of each item. It is not safe for
// concurrent use.
type Registrar struct {
	records  map[string]*record
	config   router.Config
	revision uint64
	// oldestBase is the lowest revision since which every removal is known.
	oldestBase uint64
}

// NewRegistrar returns a registrar without items.
func NewRegistrar() *Registrar { return &Registrar{records: make(map[string]*record)} }

// Revision returns the store revision up to which the items are complete.
func (r *Registrar) Revision() uint64 { return r.revision }

// HasConfig reports whether a configuration is known.
func (r *Registrar) HasConfig() bool { return r.config.Version > 0 }

// Merge applies changes and reports whether any of them was new. Changes must
// include every change after the registrar's revision up to the given one.
func (r *Registrar) Merge(changes []Change, revision uint64, now time.Time) bool {
	changed := false
	for _, c := range changes {
		changed = r.merge(c, now) || changed
	}
	r.revision = max(r.revision, revision)
	return changed
}

// MergeSnapshot applies a snapshot of all items as of a revision and reports
// whether anything changed. Known items that the snapshot lacks are removed
// unless they are newer.
func (r *Registrar) MergeSnapshot(items []Change, revision uint64, now time.Time) bool {
	listed := make(map[string]bool, len(items))
	for _, c := range items {
		listed[c.Key] = true
	}
	all := slices.Clone(items)
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		if known := r.records[key]; !listed[key] && known.change.Revision <= revision && !known.change.IsGone() {
			all = append(all, Change{Key: key, Revision: revision})
		}
	}
	r.oldestBase = max(r.oldestBase, revision)
	return r.Merge(all, revision, now)
}

func (r *Registrar) merge(c Change, now time.Time) bool {
	known := r.records[c.Key]
	if known == nil {
		known = &record{}
		r.records[c.Key] = known
	} else if c.Revision <= known.change.Revision {
		return false
	}
	if c.Config != nil && c.Config.Version > r.config.Version {
		r.config = *c.Config
	}
	if before := known.change.Target; before != nil && c.Target == nil {
		known.lastTarget = before
	}
	if c.IsGone() {
		known.removedAt = now
	}
	if c.Target != nil {
		known.lastTarget = nil
		if known.change.Target == nil && r.revision > 0 && !r.lists(c.Target, now) {
			known.propagatedAt = now.Add(propagationTime)
		}
	}
	known.change = c
	return true
}

// lists reports whether a listed target has the address and service of another
// one. A search in an older table then visits the same agent.
func (r *Registrar) lists(t *router.Target, now time.Time) bool {
	for _, known := range r.records {
		if other, ok := known.target(now); ok && other.ID != t.ID && other.State != router.Gone &&
			other.Address == t.Address && other.Service == t.Service && !other.IsPropagating {
			return true
		}
	}
	return false
}

// Expire deletes old tombstones and reports whether the state of any target
// changed between before and now by the passing of time alone.
func (r *Registrar) Expire(before, now time.Time) bool {
	changed := false
	for key, known := range r.records {
		changed = changed || before.Before(known.propagatedAt) && !now.Before(known.propagatedAt)
		if !known.change.IsGone() {
			continue
		}
		for _, limit := range []time.Duration{lapsedGracePeriod, goneRetention} {
			end := known.removedAt.Add(limit)
			changed = changed || known.lastTarget != nil && before.Before(end) && !now.Before(end)
		}
		if now.Sub(known.removedAt) > tombstoneRetention {
			r.oldestBase = max(r.oldestBase, known.change.Revision)
			delete(r.records, key)
		}
	}
	return changed
}

// Changes returns the items that changed after a revision, sorted by key. If a
// removal after that revision may be unknown, it returns all items instead, and
// true, for MergeSnapshot.
func (r *Registrar) Changes(after uint64) (changes []Change, isSnapshot bool) {
	isSnapshot = after < r.oldestBase
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		if c := r.records[key].change; c.Revision > after || isSnapshot {
			changes = append(changes, c)
		}
	}
	return changes, isSnapshot
}

// BuildTable builds the routing table as of now. It ignores entries of services
// that the configuration doesn't list. Of several entries with the same address
// it keeps the one with the highest revision, because only the last process to
// publish an address can still be running there.
func (r *Registrar) BuildTable(now time.Time) *router.Table {
	latest := make(map[netip.AddrPort]router.Target)
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		t, ok := r.records[key].target(now)
		if !ok || !slices.Contains(r.config.Services, t.Service) {
			continue
		}
		if other, known := latest[t.Address]; !known || other.Revision < t.Revision {
			latest[t.Address] = t
		}
	}
	return router.NewTable(r.config, slices.Collect(maps.Values(latest)), r.revision)
}

// target returns the target of the record with its state as of now, or false if
// there is none.
func (r *record) target(now time.Time) (router.Target, bool) {
	if t := r.change.Target; t != nil {
		target := *t
		target.IsPropagating = now.Before(r.propagatedAt)
		return target, true
	}
	since := now.Sub(r.removedAt)
	if r.lastTarget == nil || since >= goneRetention {
		return router.Target{}, false
	}
	t := *r.lastTarget
	t.State = departedState(t, since)
	return t, true
}

func departedState(t router.Target, since time.Duration) router.State {
	if t.State == router.Serving && since < lapsedGracePeriod {
		return router.Lapsed
	}
	return router.Gone
}
