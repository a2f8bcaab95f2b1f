package selector

import (
	"encoding/binary"
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeder.SetSeed(22)
	os.Exit(m.Run())
}

func drawEntries(t *rapid.T) []Entry {
	targets := rapid.SliceOfNDistinct(rapid.Uint32(), 1, 12, rapid.ID[uint32]).Draw(t, "targets")
	var entries []Entry
	for _, n := range targets {
		entries = append(entries, NewEntry(n, rapid.Uint16Range(1, 1000).Draw(t, "weight")))
	}
	return entries
}

func TestTable(t *testing.T) {
	t.Run("a removed target moves only its own keys", rapid.MakeCheck(func(t *rapid.T) {
		entries := drawEntries(t)
		removed := rapid.SampledFrom(entries).Draw(t, "removed").Target()
		before := NewTable(1, entries)
		after := NewTable(2, slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Target() == removed }))
		key := rapid.SliceOfN(rapid.Byte(), 8, 20).Draw(t, "key")
		a, _ := before.Select(key)
		b, ok := after.Select(key)
		if ok != (len(entries) > 1) || (ok && a != removed && a != b) {
			t.Fatalf("key moved from %d to %d when %d was removed", a, b, removed)
		}
		rejecting, _ := before.SelectWhere(key, func(n uint32) bool { return n != removed })
		if rejecting != b {
			t.Fatalf("not accepting %d gives %d, removing it gives %d", removed, rejecting, b)
		}
	}))
	t.Run("a target with more weight gains keys and loses none", rapid.MakeCheck(func(t *rapid.T) {
		entries := drawEntries(t)
		i := rapid.IntRange(0, len(entries)-1).Draw(t, "heavier")
		heavier := slices.Clone(entries)
		heavier[i] = NewEntry(entries[i].Target(), entries[i].Weight()+rapid.Uint16Range(1, 500).Draw(t, "more"))
		key := rapid.SliceOfN(rapid.Byte(), 8, 20).Draw(t, "key")
		a, _ := NewTable(1, entries).Select(key)
		b, _ := NewTable(2, heavier).Select(key)
		if a != b && b != entries[i].Target() {
			t.Fatalf("key moved from %d to %d when the weight of %d grew", a, b, entries[i].Target())
		}
	}))
	t.Run("order and revision do not affect the selection", rapid.MakeCheck(func(t *rapid.T) {
		entries := drawEntries(t)
		shuffled := rapid.Permutation(entries).Draw(t, "shuffled")
		key := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "key")
		a, _ := NewTable(1, entries).Select(key)
		b, _ := NewTable(9, append(shuffled, shuffled[0])).Select(key)
		if a != b {
			t.Fatalf("same entries gave %d and %d", a, b)
		}
	}))
	t.Run("shares follow weights", func(t *testing.T) {
		const keys = 200_000
		weights := []uint16{1, 10, 50, 100, 400}
		var entries []Entry
		sum := 0.0
		for i, w := range weights {
			entries = append(entries, NewEntry(uint32(i), w))
			sum += float64(w)
		}
		counts := countShares(NewTable(1, entries), keys)
		for i, w := range weights {
			share := float64(w) / sum
			// Five standard deviations of the binomial distribution.
			bound := 5 * math.Sqrt(keys*share*(1-share))
			if math.Abs(float64(counts[uint32(i)])-keys*share) > bound {
				t.Errorf("weight %d got %d keys, want %.0f +- %.0f", w, counts[uint32(i)], keys*share, bound)
			}
		}
	})
	t.Run("weight 0 and empty tables choose nothing", func(t *testing.T) {
		is := is.New(t)
		_, ok := NewTable(1, []Entry{NewEntry(1, 0)}).Select([]byte("key"))
		is.True(!ok)
		_, ok = NewTable(1, []Entry{NewEntry(1, 1)}).SelectWhere([]byte("key"), func(uint32) bool { return false })
		is.True(!ok)
	})
	t.Run("a choice does not allocate", func(t *testing.T) {
		is := is.New(t)
		table, key, down := NewTable(1, []Entry{NewEntry(1, 1), NewEntry(2, 5)}), []byte("12345678"), uint32(1)
		is.Equal(testing.AllocsPerRun(1000, func() {
			table.SelectWhere(key, func(n uint32) bool { return n != down })
		}), 0.0)
	})
}

func countShares(table *Table, keys int) map[uint32]int {
	r := rand.New(rand.NewPCG(1, 2))
	counts := map[uint32]int{}
	for range keys {
		n, _ := table.Select(binary.BigEndian.AppendUint64(nil, r.Uint64()))
		counts[n]++
	}
	return counts
}
