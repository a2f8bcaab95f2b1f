package registrar

import (
	"maps"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

// Departure is a target whose entry was removed. It may still run and hold flows.
type Departure struct {
	Target router.Target
	// RemovedAt is when the entry was found removed.
	RemovedAt time.Time
	// UsedAt is when the target last held flows; RemovedAt if it was not seen in use
	// after that.
	UsedAt time.Time
}

// departure returns the last target of a removed item, or nil.
func (r *record) departure() *Departure {
	if !r.change.IsGone() || r.lastTarget == nil {
		return nil
	}
	d := &Departure{Target: *r.lastTarget, RemovedAt: r.removedAt, UsedAt: r.removedAt}
	if r.usedAt.After(d.UsedAt) {
		d.UsedAt = r.usedAt
	}
	return d
}

// adopt takes over a departure that another process knows, and reports whether it
// was new.
func (r *record) adopt(d *Departure) bool {
	if d == nil || r.lastTarget != nil {
		return false
	}
	t := d.Target
	r.lastTarget, r.removedAt, r.usedAt = &t, d.RemovedAt, d.UsedAt
	return true
}

// KnowsDepartures reports whether the targets that departed before this process
// started are known, or can't be learnt.
func (r *Registrar) KnowsDepartures() bool { return r.knowsDepartures }

// FinishDepartures records that no more can be learnt about the targets that
// departed before this process started, and reports whether that was new.
func (r *Registrar) FinishDepartures() bool {
	wasKnown := r.knowsDepartures
	r.knowsDepartures = true
	return !wasKnown
}

// Departures returns the removed items whose last targets are known, sorted by key,
// for a process whose table is complete up to a position. If the items here are
// older, that process may lack targets that are still listed here; they are
// returned, too, and so are the requests that are kept in a later epoch.
func (r *Registrar) Departures(known router.Position) []Change {
	isBehind := r.position.Compare(known) < 0
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		c := r.records[key].change
		if c.Departure = r.records[key].departure(); c.Departure != nil || isBehind && c.Target != nil || c.isCarried() {
			changes = append(changes, c)
		}
	}
	return changes
}

// MergeDepartures adds the departures of a peer for items that are not listed here,
// and reports whether any was new. It changes neither the state of an item nor the
// position. A target that the peer still lists, but that is missing here at a later
// position, departed at an unknown time: it keeps its open flows and gets no new ones.
// Requests that the peer keeps in a later epoch are merged like in a snapshot.
func (r *Registrar) MergeDepartures(changes []Change, now time.Time) bool {
	changed := false
	for _, c := range changes {
		if c.IsEvacuation {
			changed = c.isCarried() && r.mergeRequest(c, true, r.position) || changed
			continue
		}
		d := c.Departure
		if c.Target != nil && c.Compare(r.position) <= 0 {
			d = &Departure{Target: *c.Target, RemovedAt: now.Add(-lapsedGracePeriod), UsedAt: now}
		}
		if d == nil {
			continue
		}
		known, isKnown := r.records[c.Key]
		if !isKnown {
			known = &record{change: Change{Key: c.Key, Position: c.Position, Stamp: c.Stamp}}
			r.records[c.Key] = known
		}
		if known.change.IsGone() {
			changed = known.adopt(d) || changed
		}
	}
	return changed
}
