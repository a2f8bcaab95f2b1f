package simulator

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/deferrer"
	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// confirmInterval is the time between two confirmations of a process's table, and
	// confirmAge how old they may be.
	confirmInterval = 300 * time.Millisecond
	confirmAge      = 200 * time.Millisecond
	// confirmError is the time by which they may seem later than they are.
	confirmError = 90 * time.Millisecond
	// refusalTime is the time within which a caller at an address without a route gets
	// a reset, from a balancer that runs.
	refusalTime = confirmInterval + confirmAge + 200*time.Millisecond
	// flowRequests is the number of requests on a flow of a test.
	flowRequests = 6
)

// versionedWorld plays configurations that processes learn at different times, while
// routers move flows between balancers.
type versionedWorld struct {
	*world
	t      fataler
	config router.Config
	// publishedAt is when a published route was added, by address.
	publishedAt map[netip.AddrPort]time.Time
}

func newVersionedWorld(t fataler, balancers, targets int, seed uint64) *versionedWorld {
	w := &versionedWorld{world: newWorld(Policy(), seed), t: t, publishedAt: make(map[netip.AddrPort]time.Time)}
	w.zones, w.crossZone, w.callerDelay, w.lossRate = 1, 500*time.Microsecond, time.Millisecond, 0
	w.result = newResult(w.now, time.Minute)
	exactly := func(n int) Range { return Range{low: float64(n), high: float64(n)} }
	service := func(name string) Service {
		return Service{Name: name, Targets: exactly(targets), Slots: exactly(8), Queue: exactly(8), Speeds: []Range{exactly(1)}}
	}
	w.build(Deployment{Zones: exactly(1), Balancers: exactly(balancers), Services: []Service{service("feeds"), service("bundles")}})
	w.config = router.Config{Version: 1, Services: []string{"feeds", "bundles"}}
	w.observeReset = w.checkReset
	for _, p := range w.processes {
		w.every(w.drawDuration(confirmInterval), confirmInterval, func() {
			p.confirm(w.now.Add(-w.drawDuration(confirmAge)), w.drawDuration(confirmError))
		})
	}
	w.runUntil(w.now.Add(discoveryTime))
	return w
}

// checkReset fails if a flow is reset that its target holds, unless its route was not
// published at any time since the flow began.
func (w *versionedWorld) checkReset(f *flow) {
	publishedAt, isPublished := w.publishedAt[f.published]
	if !f.isOpen || f.isClosed || !f.target.isUp || !isPublished || f.bornAt.Before(publishedAt) {
		return
	}
	for _, held := range f.target.flows {
		if held.flow == f && !held.hasEnded {
			w.t.Fatalf("a flow to %v was reset %v after it began, although %s holds it", f.published, w.now.Sub(f.bornAt), f.target.id)
		}
	}
}

func versionedAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(i)}), 443)
}

// publishVersion publishes the next version of the configuration.
func (w *versionedWorld) publishVersion() {
	w.config.Version++
	next := w.config
	next.Routes = slices.Clone(w.config.Routes)
	w.publish(registrar.Change{Key: "config", Config: &next})
}

func (w *versionedWorld) findRoute(i int) int {
	return slices.IndexFunc(w.config.Routes, func(r router.Route) bool { return r.Address == versionedAddress(i) })
}

// setRoute publishes a route with the given services, which have equal weights.
func (w *versionedWorld) setRoute(i int, services ...string) {
	route := router.Route{Name: fmt.Sprint("route-", i), Address: versionedAddress(i)}
	for _, s := range services {
		route.Shares = append(route.Shares, router.Share{Service: s, Weight: router.WeightScale})
	}
	if at := w.findRoute(i); at >= 0 {
		w.config.Routes[at] = route
	} else {
		w.config.Routes = append(w.config.Routes, route)
		w.publishedAt[route.Address] = w.now
	}
	w.publishVersion()
}

func (w *versionedWorld) removeRoute(i int) {
	at := w.findRoute(i)
	w.config.Routes = slices.Delete(slices.Clone(w.config.Routes), at, at+1)
	delete(w.publishedAt, versionedAddress(i))
	w.publishVersion()
}

// openFlow has a caller open a flow and send requests on it.
func (w *versionedWorld) openFlow(i int) *flow {
	k := &kind{name: "feed", published: versionedAddress(i), work: time.Millisecond, deadline: 10 * time.Second, isIdempotent: true}
	r := &request{kind: k, user: &user{}, bornAt: w.now, work: k.work}
	w.result.begin(r)
	w.attempt(r)
	for n := range flowRequests {
		w.after(time.Duration(n+1)*100*time.Millisecond, func() {
			if r.user.flow != nil && !r.user.flow.isClosed && r.user.flow.current == nil {
				next := &request{kind: k, user: r.user, bornAt: w.now, work: k.work}
				w.result.begin(next)
				w.attempt(next)
			}
		})
	}
	return r.flow
}

// moveFlows has the routers choose among the given balancers, so that nearly all flows
// move.
func (w *versionedWorld) moveFlows(balancers []*balancer) {
	w.rotations[0] = nil
	for _, b := range balancers {
		w.rotations[0] = append(w.rotations[0], &rotation{balancer: b})
	}
}

func (w *versionedWorld) restartProcess(p *process, pause time.Duration) {
	if p.isUp {
		p.stop()
		w.after(pause, p.start)
	}
}

// steps are the actions of a run, each of which may come at any moment.
func (w *versionedWorld) steps(t *rapid.T) map[string]func(*rapid.T) {
	route := func() int { return rapid.IntRange(1, 4).Draw(t, "route") }
	service := func(i int) string { return []string{"feeds", "bundles"}[i%2] }
	openSome := func(i int) {
		for range rapid.IntRange(0, 6).Draw(t, "flows") {
			w.after(time.Duration(rapid.IntRange(0, 200).Draw(t, "delay"))*time.Millisecond, func() { w.openFlow(i) })
		}
	}
	return map[string]func(*rapid.T){
		"publish a route": func(*rapid.T) {
			i := route()
			if w.findRoute(i) < 0 {
				w.setRoute(i, service(i))
			}
			openSome(i)
		},
		"remove a route": func(*rapid.T) {
			if i := route(); w.findRoute(i) >= 0 {
				w.removeRoute(i)
				openSome(i)
			}
		},
		"remove a route and publish it again": func(*rapid.T) {
			if i := route(); w.findRoute(i) >= 0 {
				w.removeRoute(i)
				w.runUntil(w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond))
				w.setRoute(i, service(i))
				openSome(i)
			}
		},
		"move flows": func(*rapid.T) {
			picked := rapid.Permutation(w.balancers).Draw(t, "balancers")
			w.moveFlows(picked[:rapid.IntRange(1, len(picked)).Draw(t, "count")])
		},
		"restart a process": func(*rapid.T) {
			p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
			w.restartProcess(p, time.Duration(rapid.IntRange(10, 600).Draw(t, "pause"))*time.Millisecond)
		},
		"": func(*rapid.T) {
			w.runUntil(w.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond))
		},
	}
}

// serviceSteps change the services of one route, which always has at least one.
func (w *versionedWorld) serviceSteps(t *rapid.T, sets [][]string) map[string]func(*rapid.T) {
	steps := w.steps(t)
	return map[string]func(*rapid.T){
		"change the services of the route": func(*rapid.T) {
			w.setRoute(1, rapid.SampledFrom(sets).Draw(t, "services")...)
		},
		"open flows": func(*rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "flows") {
				w.openFlow(1)
			}
		},
		"move flows": steps["move flows"],
		"":           steps[""],
	}
}

func (w *versionedWorld) playServices(t *rapid.T, steps map[string]func(*rapid.T)) {
	w.setRoute(1, "feeds")
	w.runUntil(w.now.Add(time.Second))
	t.Repeat(steps)
	w.runUntil(w.now.Add(2 * time.Second))
}

// TestNewerService guards against the reset of an open flow at a service that its route
// has just got, by processes that do not know this yet.
func TestNewerService(t *testing.T) {
	t.Run("a route gets and loses a second service", rapid.MakeCheck(func(t *rapid.T) {
		w := newVersionedWorld(t, rapid.IntRange(2, 4).Draw(t, "balancers"), rapid.IntRange(1, 5).Draw(t, "targets"), rapid.Uint64().Draw(t, "seed"))
		w.playServices(t, w.serviceSteps(t, [][]string{{"feeds"}, {"feeds", "bundles"}}))
	}))
}

// TestMovedRoute guards against the same reset where the route has no service left that
// all processes know, and by processes that have just started and can't tell which of its
// services are new.
func TestMovedRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newVersionedWorld(t, rapid.IntRange(2, 4).Draw(t, "balancers"), rapid.IntRange(1, 5).Draw(t, "targets"), rapid.Uint64().Draw(t, "seed"))
		steps := w.serviceSteps(t, [][]string{{"feeds"}, {"bundles"}, {"feeds", "bundles"}})
		steps["restart a process"] = w.steps(t)["restart a process"]
		w.playServices(t, steps)
	})
}

// TestNewerRoute guards against the reset of an open flow by a balancer that does not
// know the flow's route yet, and against callers that get no answer where there is no
// route.
func TestNewerRoute(t *testing.T) {
	t.Run("a balancer that lacks the newest version resets no flow of it", func(t *testing.T) {
		w := newVersionedWorld(t, 2, 4, 1)
		behind := w.balancers[1]
		version, position := behind.table, behind.registrar.Position()
		for i := range 12 {
			w.setRoute(i+1, "feeds")
			w.moveFlows(w.balancers[:1])
			w.balancers[0].learn()
			for _, a := range w.agents {
				a.learn()
			}
			for range 20 {
				w.openFlow(i + 1)
			}
			w.runUntil(w.now.Add(20 * time.Millisecond))
			if behind.registrar.Position() == position && behind.table != version {
				t.Fatalf("the table changed without a change of the configuration")
			}
			w.moveFlows(w.balancers[1:])
			w.runUntil(w.now.Add(330 * time.Millisecond))
		}
	})
	t.Run("routes come and go in any order", rapid.MakeCheck(func(t *rapid.T) {
		w := newVersionedWorld(t, rapid.IntRange(2, 4).Draw(t, "balancers"), rapid.IntRange(1, 5).Draw(t, "targets"), rapid.Uint64().Draw(t, "seed"))
		t.Repeat(w.steps(t))
		w.runUntil(w.now.Add(2 * time.Second))
	}))
	t.Run("a caller at an address without a route gets a reset in time", rapid.MakeCheck(func(t *rapid.T) {
		w := newVersionedWorld(t, 2, 1, rapid.Uint64().Draw(t, "seed"))
		w.runUntil(w.now.Add(time.Second))
		wasReset, hasChanged := false, rapid.Bool().Draw(t, "route is removed")
		if hasChanged {
			w.setRoute(9, "feeds")
			w.runUntil(w.now.Add(time.Second))
			w.removeRoute(9)
			w.runUntil(w.now.Add(time.Second))
		}
		f := w.openFlow(9)
		w.observeReset = func(reset *flow) { wasReset = wasReset || reset == f }
		w.runUntil(w.now.Add(refusalTime))
		if !wasReset {
			t.Fatalf("the caller got no answer within %v", refusalTime)
		}
	}))
	t.Run("a balancer whose table is not confirmed resets no flow", func(t *testing.T) {
		w := newVersionedWorld(t, 1, 1, 1)
		w.balancers[0].confirmedAt = w.now.Add(-time.Second)
		w.balancers[0].process.registrar = registrar.NewRegistrar() // no confirmation holds any more
		f, wasReset := w.openFlow(9), false
		w.observeReset = func(reset *flow) { wasReset = wasReset || reset == f }
		w.runUntil(w.now.Add(2 * deferrer.MaxWait))
		if wasReset {
			t.Fatalf("a table that nobody confirmed led to a reset")
		}
	})
}
