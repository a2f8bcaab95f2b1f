package router

import (
	"cmp"
	"net/netip"
	"slices"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/selector"
)

// MaxHops bounds the forwarding of a packet between agents. Routing tables that
// change during a search can cause a loop.
const MaxHops = 250

// Branch is a part of the order of a flow's targets, which a packet visits from the
// target of Hop on.
type Branch struct {
	Hop
	Targets int
}

// Split divides the order of a flow's targets into at most the given number of
// branches, or into more if a branch would be longer than MaxHops. Agents pass a
// packet on until its branch ends: the hops that the branch does not need count as
// used. The via address is that of the process that sends the packets.
func (t *Table) Split(route *Route, key uint64, most int, via netip.Addr, accept AcceptFunc) []Branch {
	targets := t.listRanked(route, key, accept)
	if len(targets) == 0 {
		return nil
	}
	length := min((len(targets)+most-1)/most, MaxHops)
	branches := make([]Branch, 0, (len(targets)+length-1)/length)
	for part := range slices.Chunk(targets, length) {
		first := part[0]
		first.hop.Mark = framer.Mark{
			Progress: framer.NewBranchProgress(first.rank), Via: via, Hops: uint8(MaxHops - len(part) + 1),
		}
		branches = append(branches, Branch{Hop: first.hop, Targets: len(part)})
	}
	return branches
}

// rankedHop is a target with its rank in the order of a flow.
type rankedHop struct {
	hop  Hop
	rank uint32
}

// listRanked returns the targets that a full pass visits, in the order of a flow.
func (t *Table) listRanked(route *Route, key uint64, accept AcceptFunc) []rankedHop {
	var targets []rankedHop
	t.visitRankings(route, func(ranking *selector.Table) {
		ranking.VisitRanks(key, func(number, rank uint32) {
			if target := t.targets[number]; accept(number, target, framer.FullPass) {
				targets = append(targets, rankedHop{hop: Hop{Number: number, Target: target}, rank: rank})
			}
		})
	})
	slices.SortFunc(targets, func(a, b rankedHop) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.hop.Number, b.hop.Number))
	})
	return targets
}
