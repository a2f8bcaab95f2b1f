package detector

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeder.SetSeed(31)
	os.Exit(m.Run())
}

const tick = 50 * time.Millisecond

var (
	base  = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	start = base.Add(time.Second)
)

func newDetector(targets ...uint32) *Detector {
	d := NewDetector(Options{Epoch: base})
	d.SetTargets(targets)
	return d
}

// advance calls Tick from one time to another and returns the times of the
// probes, relative to the first.
func advance(d *Detector, from, to time.Time, onProbe func(now time.Time)) []time.Duration {
	var probes []time.Duration
	for now := from; !now.After(to); now = now.Add(tick) {
		for range d.Tick(now) {
			probes = append(probes, now.Sub(from))
			if onProbe != nil {
				onProbe(now)
			}
		}
	}
	return probes
}

func TestDetector(t *testing.T) {
	t.Run("a silent target is down within a second and then probed slowly", func(t *testing.T) {
		is := is.New(t)
		d := newDetector(1)
		d.RecordForwarded(1, start)
		probes := advance(d, start, start.Add(850*time.Millisecond), nil)
		is.Equal(probes, []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond})
		is.True(!d.IsDown(1))
		advance(d, start.Add(900*time.Millisecond), start.Add(900*time.Millisecond), nil)
		is.True(d.IsDown(1))
		slow := advance(d, start.Add(time.Second), start.Add(11*time.Second), nil)
		is.Equal(len(slow), 10)
	})
	t.Run("a down target is up as soon as a datagram from it arrives", func(t *testing.T) {
		is := is.New(t)
		d := newDetector(1)
		d.RecordForwarded(1, start)
		advance(d, start, start.Add(5*time.Second), nil)
		is.True(d.IsDown(1))
		d.RecordReceived(1, start.Add(5*time.Second))
		is.True(!d.IsDown(1))
		is.Equal(len(advance(d, start.Add(5*time.Second), start.Add(60*time.Second), nil)), 0)
	})
	t.Run("a suspected target is down after three quick probes, one that answers is not", func(t *testing.T) {
		is := is.New(t)
		d := newDetector(1, 2)
		d.Peer(1).Suspect()
		d.Peer(2).Suspect()
		for now := start; !now.After(start.Add(300 * time.Millisecond)); now = now.Add(tick) {
			d.Tick(now)
			d.RecordReceived(2, now.Add(time.Millisecond))
		}
		is.True(d.IsDown(1))
		is.True(!d.IsDown(2))
		is.Equal(len(d.TakeNewlyDown()), 0) // a suspicion is not forwarded to other balancers
		is.Equal(len(advance(d, start.Add(tick*7), start.Add(tick*19), nil)), 0)
	})
	t.Run("a target that went down for lack of answers is reported once", func(t *testing.T) {
		is := is.New(t)
		d := newDetector(1)
		d.RecordForwarded(1, start)
		advance(d, start, start.Add(time.Second), nil)
		is.Equal(d.TakeNewlyDown(), []uint32{1})
		is.Equal(len(d.TakeNewlyDown()), 0)
	})
	t.Run("suspected targets go before the others when probes are bounded", func(t *testing.T) {
		is := is.New(t)
		d := NewDetector(Options{Epoch: base, ProbesPerTick: 1})
		d.SetTargets([]uint32{1, 2, 3})
		for n := range uint32(3) {
			d.RecordForwarded(n+1, start)
		}
		d.Peer(3).Suspect()
		is.Equal(d.Tick(start.Add(time.Second)), []Probe{{target: 3}})
	})
	t.Run("a target without traffic is not probed", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(advance(newDetector(1), start, start.Add(time.Hour), nil)), 0)
	})
	t.Run("a target that answers its probes is never down", rapid.MakeCheck(func(t *rapid.T) {
		d := newDetector(1)
		answer := time.Duration(0)
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(tick) {
			if rapid.Bool().Draw(t, "traffic") {
				d.RecordForwarded(1, now)
			}
			if answer > 0 {
				if answer -= tick; answer <= 0 {
					d.RecordReceived(1, now)
				}
			}
			for range d.Tick(now) {
				if answer <= 0 {
					answer = tick * time.Duration(rapid.IntRange(1, 11).Draw(t, "latency"))
				}
			}
			if d.IsDown(1) {
				t.Fatal("target is down although every probe was answered within 550 ms")
			}
		}
	}))
	t.Run("a pause of the balancer alone takes no target down", rapid.MakeCheck(func(t *rapid.T) {
		d, now := newDetector(1), start
		for range 50 {
			d.RecordForwarded(1, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "pause")) * time.Millisecond)
			if len(d.Tick(now)) > 0 {
				d.RecordReceived(1, now.Add(time.Millisecond))
				now = now.Add(2 * time.Millisecond)
			}
			if d.IsDown(1) {
				t.Fatal("target is down because of silence during a pause")
			}
		}
	}))
	t.Run("a bounded number of probes reaches every target in turn", func(t *testing.T) {
		is := is.New(t)
		d := NewDetector(Options{Epoch: base, ProbesPerTick: 2})
		targets := []uint32{1, 2, 3, 4, 5, 6, 7}
		d.SetTargets(targets)
		for _, n := range targets {
			d.RecordForwarded(n, start)
		}
		seen := map[uint32]bool{}
		for i := range 4 {
			probes := d.Tick(start.Add(300*time.Millisecond + time.Duration(i)*tick))
			is.True(len(probes) <= 2)
			for _, p := range probes {
				seen[p.Target()] = true
			}
		}
		is.Equal(len(seen), len(targets))
	})
	t.Run("targets that stay keep their state when the set changes", func(t *testing.T) {
		is := is.New(t)
		d := newDetector(1, 2)
		d.RecordForwarded(1, start)
		advance(d, start, start.Add(2*time.Second), nil)
		peer := d.Peer(1)
		d.SetTargets([]uint32{1, 3})
		is.True(d.IsDown(1))
		is.Equal(d.Peer(1), peer)
		is.Equal(d.Peer(2), nil)
	})
	t.Run("records of traffic do not allocate", func(t *testing.T) {
		is := is.New(t)
		p := newDetector(1).Peer(1)
		is.Equal(testing.AllocsPerRun(1000, func() {
			p.RecordForwarded(start)
			p.RecordReceived(start)
		}), 0.0)
	})
}
