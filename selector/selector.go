// Package selector chooses a target for a key by weighted rendezvous hashing
// (highest random weight; Thaler and Ravishankar, with the logarithmic weights
// of Schindelhauer and Schomaker).
//
// Every process with the same entries selects the same target for a key. When a
// target is removed or not accepted, only its own keys move; all others keep
// their target. The share of a target is proportional to its weight.
//
// # Usage
//
//	table := selector.NewTable(revision, []selector.Entry{selector.NewEntry(1, 100), selector.NewEntry(2, 50)})
//	target, ok := table.Select(connectionID)
//	target, ok = table.SelectWhere(connectionID, func(t uint32) bool { return !detector.IsDown(t) })
package selector

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry is one target of a table.
type Entry struct {
	target uint32
	weight uint16
	seed   uint64
}

// NewEntry returns an entry. A target of weight 0 is never selected.
func NewEntry(target uint32, weight uint16) Entry {
	return Entry{target: target, weight: weight, seed: mix(uint64(target) + 1)}
}

// Target returns the number of the target.
func (e Entry) Target() uint32 { return e.target }

// Weight returns the weight of the target.
func (e Entry) Weight() uint16 { return e.weight }

// Table is an immutable set of entries. It is safe for concurrent use.
type Table struct {
	revision uint64
	entries  []Entry
}

// NewTable returns a table. The order of the entries does not affect the
// selection; of two entries of one target the one with the larger weight counts.
// The revision is only stored and does not affect the selection either.
func NewTable(revision uint64, entries []Entry) *Table {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(b.weight, a.weight))
	})
	sorted = slices.CompactFunc(sorted, func(a, b Entry) bool { return a.target == b.target })
	sorted = slices.DeleteFunc(sorted, func(e Entry) bool { return e.weight == 0 })
	return &Table{revision: revision, entries: sorted}
}

// Revision returns the revision of the configuration that defines the table.
func (t *Table) Revision() uint64 { return t.revision }

// Entries returns the entries by ascending target number. The caller must not
// change them.
func (t *Table) Entries() []Entry { return t.entries }

// Select returns the target of a key, or false when the table is empty.
func (t *Table) Select(key []byte) (uint32, bool) {
	return t.SelectWhere(key, nil)
}

// SelectWhere returns the target of a key among those for which accept returns
// true, or false when there are none. A nil accept accepts every target.
func (t *Table) SelectWhere(key []byte, accept func(target uint32) bool) (uint32, bool) {
	hash := xxhash.Sum64(key)
	best, found := uint32(0), false
	highest := math.Inf(-1)
	for _, e := range t.entries {
		score := e.score(hash)
		if score > highest && (accept == nil || accept(e.target)) {
			best, highest, found = e.target, score, true
		}
	}
	return best, found
}

// score is ln(u)/weight with u uniform in (0, 1), so that the probability of
// the highest score is the entry's share of the weights.
func (e Entry) score(hash uint64) float64 {
	uniform := (float64(mix(hash^e.seed)>>11) + 0.5) / (1 << 53)
	return math.Log(uniform) / float64(e.weight)
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
