package selector

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// listInOrder returns the targets of a key in order.
func listInOrder(t *Table, hash uint64) []uint32 {
	var order []uint32
	for below := uint32(StartRank); ; {
		target, rank, ok := t.Next(hash, below, nil)
		if !ok {
			return order
		}
		order, below = append(order, target), rank
	}
}

func drawTargets(t *rapid.T) []uint32 {
	return rapid.SliceOfNDistinct(rapid.Uint32Range(1, 1<<31), 2, 20, rapid.ID).Draw(t, "targets")
}

func newUnweighted(targets []uint32) *Table {
	var entries []Entry
	for _, n := range targets {
		entries = append(entries, NewEntry(n, 1))
	}
	return NewTable(1, entries)
}

func TestOrder(t *testing.T) {
	// Guards against a search that misses the target of a flow.
	t.Run("the order holds every target once", rapid.MakeCheck(func(t *rapid.T) {
		targets := drawTargets(t)
		order := listInOrder(newUnweighted(targets), rapid.Uint64().Draw(t, "hash"))
		slices.Sort(order)
		slices.Sort(targets)
		if !slices.Equal(order, targets) {
			t.Fatalf("visited %v of %v", order, targets)
		}
	}))
	// Guards against lost flows when two processes have tables of different
	// revisions.
	t.Run("a target that joins or leaves changes the place of no other", rapid.MakeCheck(func(t *rapid.T) {
		targets := drawTargets(t)
		hash := rapid.Uint64().Draw(t, "hash")
		all := listInOrder(newUnweighted(targets), hash)
		rest := listInOrder(newUnweighted(targets[1:]), hash)
		if !slices.Equal(slices.DeleteFunc(all, func(n uint32) bool { return n == targets[0] }), rest) {
			t.Fatal("order of the others changed")
		}
	}))
	t.Run("targets that are not accepted are left out", func(t *testing.T) {
		is := is.New(t)
		table := newUnweighted([]uint32{1, 2})
		target, _, ok := table.Next(7, StartRank, func(n, _ uint32) bool { return n == 2 })
		is.True(ok)
		is.Equal(target, uint32(2))
		_, _, ok = table.Next(7, StartRank, func(uint32, uint32) bool { return false })
		is.True(!ok)
	})
}
