package registrar

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

// firstEpoch is the epoch of a store that never came back from an older copy.
const firstEpoch = 1

// Evacuation is a request of operators that the targets of an availability zone get
// no new flows. They withdraw it by removing the item.
type Evacuation struct{ Zone string }

// Carry says that the state of a request is kept in a later epoch than its own: the
// snapshot of that epoch may list what an older copy of the store had.
type Carry struct {
	// Position is that of the snapshot.
	router.Position
	// IsListed is set if the snapshot has the request, so that its later absence is a
	// withdrawal.
	IsListed bool
}

// isCarried reports whether the state is kept in a later epoch than its own.
func (c Change) isCarried() bool { return c.Carried.Epoch > c.Epoch }

// epochInForce returns the epoch in which the state holds.
func (c Change) epochInForce() uint64 { return max(c.Epoch, c.Carried.Epoch) }

// isLaterThan reports whether c was known after another state, of any epoch. A state
// that only the snapshot of a restored store listed may be of any age and counts as
// earlier.
func (c Change) isLaterThan(other Change) bool {
	isListedOnly := func(c Change) bool { return !c.IsEvent && c.Epoch > firstEpoch }
	if isListedOnly(c) != isListedOnly(other) {
		return isListedOnly(other)
	}
	return c.Compare(other.Position) > 0
}

// supersedesRequest reports whether c replaces the known state of the same request
// that holds in the same epoch. A change that was made in this epoch wins over what a
// process knew before it, and that wins over what the copy of the store lists.
func (c Change) supersedesRequest(known Change) bool {
	switch {
	case c.isCarried() && known.isCarried():
		return c.isLaterThan(known)
	case !c.isCarried() && !known.isCarried():
		return c.Compare(known.Position) > 0
	case c.isCarried():
		return !known.IsEvent
	default:
		return c.IsEvent
	}
}

// mergeRequest merges the state of a request to evacuate a zone. The position is that
// of the snapshot that has it. It reports whether the state is new.
func (r *Registrar) mergeRequest(c Change, isSnapshot bool, snapshot router.Position) bool {
	c.IsEvacuation, c.Departure = true, nil
	if !c.isCarried() && (!isSnapshot || r.follows(c.Position)) {
		c.IsEvent = true
	}
	known, isKnown := r.records[c.Key]
	if !isKnown {
		r.records[c.Key] = &record{change: c}
		return true
	}
	k := &known.change
	switch cmp.Compare(c.epochInForce(), k.epochInForce()) {
	case 0:
		// A state after a change of this epoch is a change of this epoch, too.
		c.IsEvent = c.IsEvent || !c.isCarried() && !k.isCarried() && k.IsEvent && c.Compare(k.Position) > 0
		if c.supersedesRequest(*k) {
			return known.replace(c)
		}
		k.IsEvent = k.IsEvent || c.IsEvent && c.Position == k.Position
	case 1:
		switch {
		case c.isCarried() && !c.isLaterThan(*k):
			k.Carried = c.Carried
		case c.isCarried() || c.IsEvent || c.IsGone() != k.IsGone() && r.position.Epoch == k.epochInForce() && c.Revision > r.position.Revision:
			// A copy has no revision after the last one that was known before, unless it
			// has changes that were not known.
			return known.replace(c)
		default:
			k.Carried = Carry{Position: snapshot, IsListed: !c.IsGone()}
		}
	}
	return false
}

// replace sets the state and reports whether it is another one.
func (r *record) replace(c Change) bool {
	isNews := r.change.IsGone() != c.IsGone() || r.change.Position != c.Position
	r.change = c
	return isNews
}

// follows reports whether a change was made after the last known position, in the
// same epoch.
func (r *Registrar) follows(p router.Position) bool {
	return !r.position.IsZero() && p.Epoch == r.position.Epoch && p.Revision > r.position.Revision
}

// mergeMissingRequest applies that a snapshot lacks a request. It was withdrawn if an
// earlier state of the same epoch had it; a copy of the store may just lack it. It
// reports whether the state is new.
func (r *Registrar) mergeMissingRequest(known *record, snapshot router.Position) bool {
	k := &known.change
	switch {
	case k.epochInForce() < snapshot.Epoch:
		k.Carried = Carry{Position: snapshot}
		return false
	case k.IsGone() || k.epochInForce() > snapshot.Epoch,
		k.isCarried() && (!k.Carried.IsListed || k.Carried.Compare(snapshot) >= 0),
		!k.isCarried() && k.Compare(snapshot) > 0:
		return false
	}
	return known.replace(Change{Key: k.Key, Position: snapshot, IsEvacuation: true, IsEvent: true})
}

// evacuatedZones returns the zones whose evacuation is in force, and the position of
// the last change of a request.
func (r *Registrar) evacuatedZones() (map[string]bool, router.Position) {
	zones := make(map[string]bool)
	var last router.Position
	for _, known := range r.records {
		if !known.change.IsEvacuation {
			continue
		}
		last = later(last, known.change.Position)
		if e := known.change.Evacuation; e != nil {
			zones[e.Zone] = true
		}
	}
	return zones, last
}

// EvacuationDigest returns a number that tells sets of evacuated zones apart, or 0 in
// the first epoch of the store: there, equal positions mean equal sets.
func (r *Registrar) EvacuationDigest() uint32 {
	if r.position.Epoch <= firstEpoch {
		return 0
	}
	zones, _ := r.evacuatedZones()
	digest := xxhash.New()
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		_, _ = digest.Write(append([]byte(zone), 0))
	}
	return max(1, uint32(digest.Sum64()))
}
