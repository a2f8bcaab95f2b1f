package registrar

import "cmp"

// Stamp orders the states of one item by its writer's own count, which goes on
// when the store comes back from an older copy.
type Stamp struct {
	// StartedMs is when the target started, in ms since 1970; 0 for a configuration.
	StartedMs int64
	// Number is the number of the target's report since its start, or the version of
	// the configuration.
	Number uint64
}

// Compare returns -1 if s is before other, 0 if they are equal, and 1 if s is
// after other.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.StartedMs, other.StartedMs), cmp.Compare(s.Number, other.Number))
}
