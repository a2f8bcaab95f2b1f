// Package registrar merges the configuration and the target entries that a
// process receives, from the platform's store and from peers, into one routing
// table.
//
// Every item carries the position of its last change in the history of the store,
// and the later position wins. An older state therefore never replaces a newer
// one, and the result depends neither on the order nor on the source of the items.
// After the store came back from an older copy, the first table of the new epoch
// may list states that were replaced before. Across epochs the stamps of the
// writers therefore decide, see supersedes.
//
// A removed item is kept as a tombstone with the position of its removal. A process
// that asks for changes since before the oldest tombstone gets all items instead,
// because it would otherwise keep the items whose removal is not known here.
//
// A target whose entry disappears without a drain may still be running: entries
// can be lost while the platform is unavailable. The target keeps getting new
// flows for lapsedGracePeriod, and packets of open flows until goneRetention after it
// was last in use.
//
// # Usage
//
//	r := registrar.NewRegistrar()
//	changed := r.Merge(changes, position, now)
//	table := r.BuildTable(now)
package registrar

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strconv"
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

// Change is the state of an item as of its last change. If Config, Target and
// Evacuation are nil, the item was removed or can't be decoded.
type Change struct {
	Key string
	router.Position
	// Stamp of a removed item is that of its last known state.
	Stamp  Stamp
	Config *router.Config
	// IsFirstConfig is set on a configuration that no other one came before.
	IsFirstConfig bool
	Target        *router.Target
	// Evacuation is set on a request to evacuate an availability zone, and
	// IsEvacuation also on one that was withdrawn.
	Evacuation   *Evacuation
	IsEvacuation bool
	// IsEvent is set on the state of a request that is known to have been made in its
	// epoch, and not before the store came back from an older copy.
	IsEvent bool
	// Carried is set on the state of a request that is kept in a later epoch.
	Carried Carry
	// Departure is the last target of a removed item, if it is known.
	Departure *Departure
	// Problem says why an item that is not removed can't be decoded.
	Problem string
}

// IsGone reports whether the item was removed or can't be decoded.
func (c Change) IsGone() bool { return c.Config == nil && c.Target == nil && c.Evacuation == nil }

// supersedes reports whether c replaces the known state of the same item. Within
// an epoch, the later position wins. A snapshot of a later epoch may list states of
// the copy that the store came back from, so only a later stamp wins there; changes
// after the snapshot, and removals, are news. A process may still hold states of an
// earlier epoch that the copy lacks, and they win by a later stamp as well.
//
// A serving target whose entry lapsed may live, and does not write its entry again
// if the copy still has it, so the same report lists it again.
func (c Change) supersedes(known Change, isSnapshot bool) bool {
	switch {
	case c.Epoch == known.Epoch:
		return c.Revision > known.Revision
	case c.Epoch < known.Epoch:
		return !c.IsGone() && !known.IsGone() && c.Stamp.Compare(known.Stamp) > 0
	default:
		order := c.Stamp.Compare(known.Stamp)
		return c.IsGone() || !isSnapshot || order > 0 || order == 0 && known.IsGone() && c.isServing()
	}
}

func (c Change) isServing() bool { return c.Target != nil && c.Target.State == router.Serving }

// record is the latest known state of an item, also after its removal.
type record struct {
	change Change
	// lastTarget is the target before its entry disappeared at removedAt.
	lastTarget *router.Target
	removedAt  time.Time
	// usedAt is when the removed target last held flows, if that was after removedAt.
	usedAt time.Time
	// propagatedAt is the time from which every process knows the target.
	propagatedAt time.Time
}

// Registrar holds the latest known state of each item. It is not safe for
// concurrent use.
type Registrar struct {
	records  map[string]*record
	config   router.Config
	position router.Position
	// oldestBase is the earliest position since which every removal is known.
	oldestBase router.Position
	// knowsDepartures is set when targets that departed before this process started
	// are known, or can't be learnt.
	knowsDepartures bool
	// routeIndex has the indices of the routes in the configuration by address.
	routeIndex map[netip.AddrPort]int
	// history has the former services of the routes. Those of configurations up to
	// historyGapPosition may be missing until historyGapEnd.
	history            RouteHistory
	historyGapEnd      time.Time
	historyGapPosition router.Position
	// isStartGap is set if this process started in the gap.
	isStartGap bool
	// awaitsHistory is set while peers may still tell what is missing.
	awaitsHistory bool
	flowLifetime  time.Duration
}

// NewRegistrar returns a registrar without items.
func NewRegistrar() *Registrar {
	return &Registrar{records: make(map[string]*record), history: make(RouteHistory), flowLifetime: DefaultFlowLifetime}
}

// Position returns the position of the store up to which the items are complete.
func (r *Registrar) Position() router.Position { return r.position }

// HasConfig reports whether a configuration is known.
func (r *Registrar) HasConfig() bool { return r.config.Version > 0 }

// Merge applies changes and reports whether any of them was new. Changes must
// include every change after the registrar's position up to the given one.
func (r *Registrar) Merge(changes []Change, position router.Position, now time.Time) bool {
	return r.mergeAll(changes, position, false, now)
}

// mergeAll applies changes up to a position, or a snapshot as of a position.
func (r *Registrar) mergeAll(changes []Change, position router.Position, isSnapshot bool, now time.Time) bool {
	changed := false
	for _, c := range changes {
		// A snapshot has the newest configuration only, not those before it.
		isStart := r.config.Version == 0
		if c.Config != nil && c.Config.Version > r.config.Version && !c.IsFirstConfig && (isSnapshot || isStart) {
			r.openHistoryGap(c.Position, isStart, now)
		}
		if known := r.records[c.Key]; c.IsEvacuation || c.Evacuation != nil || known != nil && known.change.IsEvacuation {
			changed = r.mergeRequest(c, isSnapshot, position) || changed
			continue
		}
		changed = r.merge(c, isSnapshot, now) || changed
	}
	r.position = later(r.position, position)
	return changed
}

// MergeSnapshot applies a snapshot of all items as of a position and reports
// whether anything changed. Known items that the snapshot lacks are removed
// unless they are newer.
func (r *Registrar) MergeSnapshot(items []Change, position router.Position, now time.Time) bool {
	listed := make(map[string]bool, len(items))
	for _, c := range items {
		listed[c.Key] = true
	}
	all, changed := slices.Clone(items), false
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		switch known := r.records[key]; {
		case listed[key]:
		case known.change.IsEvacuation:
			changed = r.mergeMissingRequest(known, position) || changed
		case known.change.Compare(position) <= 0 && !known.change.IsGone():
			all = append(all, Change{Key: key, Position: position})
		}
	}
	r.oldestBase = later(r.oldestBase, position)
	return r.mergeAll(all, position, true, now) || changed
}

func later(a, b router.Position) router.Position {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}

func (r *Registrar) merge(c Change, isSnapshot bool, now time.Time) bool {
	known, isKnown := r.records[c.Key]
	if !isKnown {
		known = &record{}
		r.records[c.Key] = known
	} else if !c.supersedes(known.change, isSnapshot) {
		return false
	}
	departure, isNews := c.Departure, true
	c.Departure = nil
	if c.Config != nil && c.Config.Version > r.config.Version {
		r.setConfig(*c.Config, now)
	}
	if before := known.change.Target; before != nil && c.Target == nil {
		known.lastTarget = before
	}
	if c.IsGone() {
		if !isKnown || !known.change.IsGone() {
			known.removedAt = now
		}
		if c.Stamp.Compare(known.change.Stamp) < 0 {
			c.Stamp = known.change.Stamp
		}
		// An odd entry may be written again and again; the table stays as it is.
		isNews = known.adopt(departure) || !isKnown || !known.change.IsGone()
	}
	if c.Target != nil {
		if last := known.lastTarget; last != nil && c.Epoch != known.change.Epoch && c.Stamp == known.change.Stamp {
			c.Target = last // keeps its position, for a later target at its address
		}
		known.lastTarget = nil
		if known.change.Target == nil && !r.position.IsZero() && !r.lists(c.Target, now) {
			known.propagatedAt = now.Add(propagationTime)
		}
	}
	known.change = c
	return isNews
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

// Expire deletes old tombstones, but not those of evacuations, which a copy of the
// store of any age may list again. It reports whether the state of any target
// changed between before and now by the passing of time alone. A removed target
// stays in the table while isInUse reports that it holds flows. Expire must be called
// more often than goneRetention.
func (r *Registrar) Expire(before, now time.Time, isInUse func(target uint32) bool) bool {
	changed := r.expireHistory(before, now)
	for key, known := range r.records {
		changed = changed || before.Before(known.propagatedAt) && !now.Before(known.propagatedAt)
		if !known.change.IsGone() || known.change.IsEvacuation {
			continue
		}
		if known.lastTarget != nil && now.Before(known.unreachableAt()) && isInUse(known.lastTarget.Number()) {
			known.usedAt = now
		}
		for _, end := range []time.Time{known.removedAt.Add(lapsedGracePeriod), known.unreachableAt()} {
			changed = changed || known.lastTarget != nil && before.Before(end) && !now.Before(end)
		}
		if now.Sub(known.removedAt) > tombstoneRetention && now.Sub(known.usedAt) > tombstoneRetention {
			r.oldestBase = later(r.oldestBase, known.change.Position)
			delete(r.records, key)
		}
	}
	return changed
}

// Changes returns the items that changed after a position, sorted by key. If a
// removal after that position may be unknown, it returns all items instead, and
// true, for MergeSnapshot. Requests that are kept in a later epoch are always
// included, because their positions don't tell when they were.
func (r *Registrar) Changes(after router.Position) (changes []Change, isSnapshot bool) {
	isSnapshot = after.Compare(r.oldestBase) < 0
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		if c := r.records[key].change; c.Compare(after) > 0 || isSnapshot || c.isCarried() {
			c.Departure = r.records[key].departure()
			changes = append(changes, c)
		}
	}
	return changes, isSnapshot
}

// BuildTable builds the routing table as of now. It ignores entries of services
// that the configuration doesn't list. Of several entries with the same address
// it keeps the one that changed last, because only the last process to
// publish an address can still be running there.
func (r *Registrar) BuildTable(now time.Time) *router.Table {
	latest := make(map[netip.AddrPort]router.Target)
	evacuated, changedAt := r.evacuatedZones()
	var refused []router.RefusedEntry
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		if reason := r.findProblem(r.records[key].change); reason != "" {
			refused = append(refused, router.RefusedEntry{Key: key, Position: r.records[key].change.Position, Reason: reason})
		}
		t, ok := r.records[key].target(now)
		if !ok || !slices.Contains(r.config.Services, t.Service) {
			continue
		}
		t.IsEvacuated = evacuated[t.Zone]
		if other, known := latest[t.Address]; !known || other.Compare(t.Position) < 0 {
			latest[t.Address] = t
		}
	}
	// The order decides which of two targets with the same number is kept, and must be
	// the same in every process.
	targets := slices.SortedFunc(maps.Values(latest), func(a, b router.Target) int { return cmp.Compare(a.ID, b.ID) })
	config := r.config
	config.Routes = r.withHistory(now)
	table := router.NewTable(config, targets, r.position)
	table.SetRefused(refused)
	table.SetEvacuated(router.Evacuations{Zones: evacuated, ChangedAt: changedAt})
	if !r.KnowsRouteHistory(now) {
		table.MarkWithoutRouteHistory(r.awaitsHistory)
	}
	if !r.knowsDepartures {
		table.MarkWithoutDepartures()
	}
	return table
}

// findProblem returns why an entry names no target to use, or "" if it names one or
// is no entry.
func (r *Registrar) findProblem(c Change) string {
	if c.Target != nil && !slices.Contains(r.config.Services, c.Target.Service) {
		return "service " + strconv.Quote(c.Target.Service) + " is not in the configuration"
	}
	return c.Problem
}

// target returns the target of the record with its state as of now, or false if
// there is none.
func (r *record) target(now time.Time) (router.Target, bool) {
	if t := r.change.Target; t != nil {
		target := *t
		target.StartedMs = r.change.Stamp.StartedMs
		target.IsPropagating = now.Before(r.propagatedAt)
		return target, true
	}
	if r.lastTarget == nil || !now.Before(r.unreachableAt()) {
		return router.Target{}, false
	}
	t := *r.lastTarget
	t.State = departedState(t, now.Sub(r.removedAt))
	return t, true
}

// unreachableAt returns when a removed target leaves the table.
func (r *record) unreachableAt() time.Time {
	if r.usedAt.After(r.removedAt) {
		return r.usedAt.Add(goneRetention)
	}
	return r.removedAt.Add(goneRetention)
}

func departedState(t router.Target, since time.Duration) router.State {
	if t.State == router.Serving && since < lapsedGracePeriod {
		return router.Lapsed
	}
	return router.Gone
}
