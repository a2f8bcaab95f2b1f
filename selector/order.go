package selector

// rankBits is the size of a rank, of which packet headers carry all but one bit.
const rankBits = 30

// StartRank is above every rank. With it, Next returns the first target of a key.
const StartRank = 1<<rankBits - 1

// Next returns the target of a key with the highest rank below the given one
// among those for which accept returns true, or false when none is left. It calls
// accept with every target that ranks between below and the result, and may call
// it with others. A nil accept accepts every target.
//
// Weights do not affect the order, so targets that two tables share have the same
// order in both, and a process can continue an iteration that another one began.
// Ranks have rankBits bits.
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
	return min(uint32(mix(hash^e.seed)>>(64-rankBits)), StartRank-1)
}

// VisitRanks calls visit with every target and its rank for a key, in no particular
// order.
func (t *Table) VisitRanks(hash uint64, visit func(target, rank uint32)) {
	for _, e := range t.entries {
		visit(e.target, e.rank(hash))
	}
}
