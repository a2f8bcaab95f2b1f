package router

import "cmp"

// Position is a point in the history of the platform's store. A store that comes
// back from an older copy of itself gives out revisions again, so revisions are
// comparable within an epoch only.
type Position struct {
	// Epoch counts how often the store came back from an older copy.
	Epoch    uint64
	Revision uint64
}

// Compare returns -1 if p is before other, 0 if they are equal, and 1 if p is
// after other. Every position of an epoch is after those of earlier epochs.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Revision, other.Revision))
}

// IsZero reports whether p is before every position of the store.
func (p Position) IsZero() bool { return p == Position{} }
