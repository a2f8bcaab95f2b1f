package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/picker"
)

var start = time.Unix(1_000_000, 0)

func targets(n int) []picker.Target {
	all := make([]picker.Target, n)
	for i := range all {
		all[i] = picker.Target{ID: uint32(i + 1), Weight: 100, Zone: "a"}
	}
	return all
}

func digest(id uint32) picker.Digest {
	return picker.Digest{
		Target: id, Phase: estimator.Serving, Slots: 2, Capacity: 2,
		Cost: [2]time.Duration{50 * time.Millisecond, 1500 * time.Millisecond},
	}
}

// model is the expected state of one target.
type model struct {
	digest       picker.Digest
	receivedAt   time.Time
	hasDigest    bool
	disconnected bool
	ejected      bool
}

func (m model) fresh(now time.Time) bool { return m.hasDigest && now.Sub(m.receivedAt) <= time.Second }

func (m model) usable(now time.Time) bool {
	silent := m.disconnected || m.hasDigest && !m.fresh(now)
	return !silent && !m.ejected && !(m.fresh(now) && m.digest.Phase == estimator.Failing)
}

// TestOracle guards against choosing a target that is excluded, draining,
// unreachable, silent, ejected or failing while enough others are usable.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		models := make([]model, n+1)
		p := picker.NewPicker(picker.Options{
			Self: 1, IsEjected: func(id uint32) bool { return models[id].ejected },
		})
		p.SetTargets(targets(n))
		random := rand.New(rand.NewPCG(1, 2))
		now := start
		id := rapid.IntRange(1, n)
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(t *rapid.T) {
				i := id.Draw(t, "target")
				d := digest(uint32(i))
				d.Phase = estimator.Phase(rapid.IntRange(0, 3).Draw(t, "phase"))
				d.Running[0] = rapid.IntRange(0, 2).Draw(t, "running")
				d.Queued[0] = rapid.IntRange(0, 20).Draw(t, "queued")
				d.Busy = rapid.Float64Range(0, 1).Draw(t, "busy")
				p.Observe(d, now)
				m := &models[i]
				m.digest, m.receivedAt, m.hasDigest, m.disconnected = d, now, true, false
			},
			"forget": func(t *rapid.T) {
				i := id.Draw(t, "target")
				p.MarkDisconnected(uint32(i))
				models[i] = model{disconnected: true, ejected: models[i].ejected}
			},
			"eject": func(t *rapid.T) {
				m := &models[id.Draw(t, "target")]
				m.ejected = !m.ejected
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"pick": func(t *rapid.T) {
				excluded := rapid.SliceOfN(rapid.Uint32Range(1, uint32(n)), 0, 2).Draw(t, "excluded")
				w := picker.Work{Exclude: excluded, Probe: rapid.Bool().Draw(t, "probe")}
				checkPick(t, models, now, p, w, random)
			},
		})
	})
}

func checkPick(t *rapid.T, models []model, now time.Time, p *picker.Picker, w picker.Work, random *rand.Rand) {
	allowed, usable, reachable := map[uint32]bool{}, 0, 0
	for i, m := range models[1:] {
		id := uint32(i + 1)
		if m.fresh(now) && m.digest.Phase == estimator.Draining || contains(w.Exclude, id) {
			continue
		}
		allowed[id] = true
		if m.usable(now) {
			usable++
		}
		if !m.disconnected {
			reachable++
		}
	}
	c, ok := p.Pick(now, w, random)
	if ok != (len(allowed) > 0) {
		t.Fatalf("picked %v with %d allowed targets", ok, len(allowed))
	}
	if !ok {
		return
	}
	m := models[c.Target]
	if !allowed[c.Target] {
		t.Fatalf("picked target %d, allowed are %v", c.Target, allowed)
	}
	if c.Reason != picker.Probe && m.disconnected && reachable > 0 {
		t.Fatalf("picked target %d, which is disconnected", c.Target)
	}
	if c.Reason != picker.Probe && !m.usable(now) && usable*2 >= reachable && usable > 0 {
		t.Fatalf("picked target %d, which is not usable, with %d of %d usable", c.Target, usable, reachable)
	}
	if c.Local != (c.Target == 1) || c.Wait < 0 || c.MaxQueueWait <= 0 {
		t.Fatalf("choice %+v has a wrong Local, Wait or MaxQueueWait", c)
	}
}

func contains(ids []uint32, id uint32) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// TestNaive guards against a longest queue that is no shorter than that of a
// uniform random choice with the same number of requests between two digests.
func TestNaive(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	p := picker.NewPicker(picker.Options{})
	p.SetTargets(targets(7))
	var picked, naive [8]int
	most, mostNaive := 0, 0
	for range 200 {
		for id := range uint32(7) {
			p.Observe(digest(id+1), start)
		}
		picked, naive = [8]int{}, [8]int{}
		for range 28 {
			c, ok := p.Pick(start, picker.Work{}, random)
			is.True(ok)
			picked[c.Target]++
			naive[1+random.IntN(7)]++
		}
		for i := range picked {
			most, mostNaive = max(most, picked[i]), max(mostNaive, naive[i])
		}
	}
	is.True(most < mostNaive)
}

func TestPicker(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	t.Run("without digests the published weights count", func(t *testing.T) {
		is := is.New(t)
		p := picker.NewPicker(picker.Options{Self: 1})
		p.SetTargets([]picker.Target{{ID: 1, Weight: 100}, {ID: 2, Weight: 300}, {ID: 3}})
		var count [4]int
		for range 4000 {
			c, ok := p.Pick(start, picker.Work{}, random)
			is.True(ok)
			is.Equal(c.Reason, picker.Published)
			count[c.Target]++
		}
		is.Equal(count[3], 0)
		is.True(count[2] > count[1])
	})
	t.Run("an older digest of the same incarnation is ignored", func(t *testing.T) {
		is := is.New(t)
		p := picker.NewPicker(picker.Options{Self: 1})
		p.SetTargets(targets(1))
		d := digest(1)
		d.Sequence = 5
		p.Observe(d, start)
		d.Sequence, d.Phase = 4, estimator.Draining
		p.Observe(d, start)
		_, ok := p.Pick(start, picker.Work{}, random)
		is.True(ok)
	})
	t.Run("a digest counts for two and a half intervals of its sender", func(t *testing.T) {
		is := is.New(t)
		p := picker.NewPicker(picker.Options{})
		p.SetTargets(targets(1))
		d := digest(1)
		d.Interval = time.Second
		p.Observe(d, start)
		c, _ := p.Pick(start.Add(2500*time.Millisecond), picker.Work{}, random)
		is.Equal(c.Reason, picker.Measured)
		c, _ = p.Pick(start.Add(2501*time.Millisecond), picker.Work{}, random)
		is.Equal(c.Reason != picker.Measured, true)
	})
	t.Run("a forwarded request stays local", func(t *testing.T) {
		is := is.New(t)
		p := picker.NewPicker(picker.Options{Self: 2})
		p.SetTargets(targets(5))
		for range 50 {
			c, ok := p.Pick(start, picker.Work{LocalOnly: true}, random)
			is.True(ok && c.Local)
		}
	})
	t.Run("a full target is avoided", func(t *testing.T) {
		is := is.New(t)
		p := picker.NewPicker(picker.Options{})
		p.SetTargets(targets(2))
		full := digest(1)
		full.Running[0], full.Queued[0] = 2, 3
		for range 50 {
			p.Observe(full, start)
			p.Observe(digest(2), start)
			c, _ := p.Pick(start, picker.Work{}, random)
			is.Equal(c.Target, uint32(2))
		}
	})
	t.Run("a target with a high cost estimate is probed while it gets no requests", func(t *testing.T) {
		is := is.New(t)
		p := picker.NewPicker(picker.Options{})
		p.SetTargets(targets(3))
		now, probes := start, 0
		for range 2000 {
			now = now.Add(20 * time.Millisecond)
			slow := digest(1)
			slow.Cost[0] *= 10
			p.Observe(slow, now)
			p.Observe(digest(2), now)
			p.Observe(digest(3), now)
			if c, _ := p.Pick(now, picker.Work{Probe: true}, random); c.Reason == picker.Probe {
				is.Equal(c.Target, uint32(1))
				probes++
			}
		}
		is.True(probes > 10 && probes <= 80) // ProbeInterval allows at most two a second
	})
	t.Run("the less busy of two idle targets is taken", func(t *testing.T) {
		is := is.New(t)
		p := picker.NewPicker(picker.Options{})
		p.SetTargets(targets(2))
		busy := digest(1)
		busy.Busy = 0.8
		p.Observe(busy, start)
		p.Observe(digest(2), start)
		c, _ := p.Pick(start, picker.Work{}, random)
		is.Equal(c.Target, uint32(2))
	})
}
