package simulator

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// revisionTime is the time after which a target that answers again counts as silent
// nowhere, from the first opening packet of its service on: a report of its agent
// reaches the balancers, a copy of the packet tests the target, and the next report
// says so. Reports come each 250 ms in fleets of this size.
const revisionTime = 2*minBeaconInterval + 500*time.Millisecond

// returningTargets plays a service whose targets stop and come back while callers open
// flows at a low rate.
type returningTargets struct {
	*world
	t fataler
}

func newReturningTargets(t fataler, targets, balancers int, seed uint64) *returningTargets {
	w := &returningTargets{world: newWorld(Policy(), seed), t: t}
	w.zones, w.crossZone, w.callerDelay, w.lossRate = 1, 500*time.Microsecond, time.Millisecond, 0
	w.result = newResult(w.now, time.Minute)
	exactly := func(n int) Range { return Range{low: float64(n), high: float64(n)} }
	w.build(Deployment{
		Zones: exactly(1), Balancers: exactly(balancers),
		Services: []Service{{Name: "feeds", Targets: exactly(targets), Slots: exactly(4), Queue: exactly(8), Speeds: []Range{exactly(1)}}},
		Kinds:    []Kind{{Name: "feed", Service: "feeds", TailEvery: exactly(1), TailFactor: exactly(1), Work: exactly(1), Deadline: exactly(5000)}},
	})
	w.runUntil(w.now.Add(time.Second))
	return w
}

// call has callers open flows at a rate, one request each, for a time.
func (w *returningTargets) call(perSecond float64, length time.Duration) {
	end := w.now.Add(length)
	var next func()
	next = func() {
		if w.now.Before(end) {
			w.begin(w.kinds[0], 0)
			w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	next()
	w.runUntil(end)
}

// startTarget starts a target again, under another name if it is new.
func (w *returningTargets) startTarget(t *target, isNew, restartsAgent bool) {
	t.start(0)
	if isNew {
		w.publish(registrar.Change{Key: "targets/" + t.id})
		t.id = w.newTargetID()
		w.publishTarget(t, router.Serving)
	}
	if restartsAgent {
		t.agent.stop()
		w.after(100*time.Millisecond, t.agent.start)
	}
}

// checkNotSilent fails if a balancer counts a target as silent that answers.
func (w *returningTargets) checkNotSilent() {
	w.t.Helper()
	for _, b := range w.balancers {
		for _, a := range w.agents {
			number, _, ok := b.table.FindTargetAt(a.target.address)
			if r, isKnown := b.report(number); a.target.isUp && (!ok || !isKnown || r.IsSilent) {
				w.t.Fatalf("%s is up, and a balancer counts it as silent or away: listed %t, report %t %+v", a.target.id, ok, isKnown, r)
			}
		}
	}
}

// TestReturningTarget guards against targets that are silent for a while and get no new
// flow any more although they answer again, because nothing but a new flow shows it: one
// among others, or all of them, at any rate of requests.
func TestReturningTarget(t *testing.T) {
	t.Run("all targets come back one second after their agents", func(t *testing.T) {
		w := newReturningTargets(t, 4, 2, 1)
		w.call(30, 2*time.Second)
		for _, a := range w.agents {
			a.target.stop()
			a.stop()
		}
		for _, b := range w.balancers {
			b.stop()
		}
		w.runUntil(w.now.Add(1600 * time.Millisecond))
		for _, p := range w.processes {
			p.start()
		}
		w.call(30, time.Second)
		for _, a := range w.agents {
			w.startTarget(a.target, false, false)
		}
		w.call(30, revisionTime)
		w.checkNotSilent()
	})
	for _, perSecond := range []float64{1, 3, 30, 100} {
		t.Run(fmt.Sprintf("any targets return in any order, %v requests/s", perSecond), rapid.MakeCheck(func(t *rapid.T) {
			playReturns(t, perSecond)
		}))
	}
}

// playReturns stops some targets of a service and starts them again, each at a moment of
// its own.
func playReturns(t *rapid.T, perSecond float64) {
	targets := rapid.IntRange(1, 8).Draw(t, "targets")
	w := newReturningTargets(t, targets, rapid.IntRange(1, 3).Draw(t, "balancers"), rapid.Uint64().Draw(t, "seed"))
	pause := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	w.call(perSecond, pause("before", 1000))
	stopped := rapid.Permutation(w.agents).Draw(t, "agents")[:rapid.IntRange(1, targets).Draw(t, "stopped")]
	for _, a := range stopped {
		w.after(pause("stops after", 500), func() { a.target.stop() })
	}
	w.call(perSecond, 500*time.Millisecond+pause("away", 4000))
	for _, a := range stopped {
		isNew, restartsAgent := rapid.Bool().Draw(t, "new name"), rapid.Bool().Draw(t, "agent restarts")
		w.after(pause("returns after", 1000), func() { w.startTarget(a.target, isNew, restartsAgent) })
	}
	w.runUntil(w.now.Add(1500*time.Millisecond + pause("no requests", 20_000)))
	// Two requests reach each balancer with near certainty at the lowest rate.
	w.call(perSecond, max(revisionTime, time.Duration(10/perSecond*float64(time.Second))))
	w.checkNotSilent()
}
