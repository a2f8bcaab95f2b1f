package selector

// StartRank is above every rank: Next begins with the first target of a key.
const StartRank = 1<<31 - 1

// Next returns the target of a key with the highest rank below the given one
// among those that accept permits, or false when none is left. Accept gets every
// target that is above the result, and its rank. Weights have no
// influence, so the order of the targets that two tables share is the same in
// both, and a process can continue a walk that another one began. Ranks have
// 31 bits.
func (t *Table) Next(hash uint64, below uint32, accept func(target, rank uint32) bool) (target, rank uint32, ok bool) {
	for _, e := range t.entries {
		r := e.rank(hash)
		if r < below && (!ok || r > rank) && (accept == nil || accept(e.target, r)) {
			target, rank, ok = e.target, r, true
		}
	}
	return target, rank, ok
}

func (e Entry) rank(hash uint64) uint32 {
	return min(uint32(mix(hash^e.seed)>>33), StartRank-1)
}
