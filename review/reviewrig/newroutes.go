package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stormCount    = 14
	stormVersions = 12
	stormGap      = 330 * time.Millisecond
	stormPause    = 2 * time.Second
	flowsPerRoute = 60
	requestCount  = 20
	requestPause  = 10 * time.Millisecond
	rollGap       = 2 * time.Second
)

// playNewRoutes adds routes in quick succession, with callers that open flows there
// at once, while the balancers are stopped and started in turn. No caller may get a
// reset on an open flow whose target lives.
func playNewRoutes(ctx context.Context, r *rig, hasTrouble bool) (int, error) {
	if err := r.build(4, "live", "live", "live", "live", "live", "live", "live", "live"); err != nil {
		return 0, err
	}
	routes := []routeConfig{newRoute(0, "live")}
	if err := r.startAll(ctx, newConfig(1, routes, "live")); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	var hosts []*callerHost
	for i := range 4 {
		host, err := r.newCallerHost(r.host(100 + i))
		if err != nil {
			return 0, err
		}
		hosts = append(hosts, host)
	}
	var rolls, flows sync.WaitGroup
	var broken, opened atomic.Int32
	version := uint64(1)
	var isOver atomic.Bool
	if hasTrouble {
		rolls.Go(func() {
			for !isOver.Load() {
				r.rollAll(r.balancers, rollGap)
			}
		})
	}
	for storm := range stormCount {
		for range stormVersions {
			version++
			routes = append(routes, newRoute(len(routes), "live"))
			newest := len(routes) - 1
			r.store.put(names.ConfigKey, newConfig(version, routes, "live"))
			r.record("store confirms version %d with a new route %s", version, published(newest))
			for i := range flowsPerRoute {
				flows.Go(func() { r.callLongFlow(hosts[i%len(hosts)], newest, &opened, &broken) })
			}
			time.Sleep(stormGap)
		}
		r.record("end of storm %d", storm+1)
		time.Sleep(stormPause)
	}
	isOver.Store(true)
	rolls.Wait()
	flows.Wait()
	fmt.Printf("%d flows opened, %d reset while their targets held them\n", opened.Load(), broken.Load())
	return int(broken.Load()), nil
}

// callLongFlow opens a flow of a new route and sends requests on it.
func (r *rig) callLongFlow(host *callerHost, route int, opened, broken *atomic.Int32) {
	var f *flow
	for try := range 10 {
		if f = host.newFlow(published(route)); f.open() == answered {
			break
		}
		f.close()
		if try == 9 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	defer f.close()
	opened.Add(1)
	for range requestCount {
		number := r.requestNumber.Add(1)
		switch f.request(number) {
		case answered:
		case timedOut:
			return
		case wasReset:
			holder := r.findHolder(f.id)
			r.record("flow %s to %s: request %d reset, %.3f s after the flow opened, by the target: %v, the target that holds it: %s, via %s",
				f.id.caller, f.id.published, number, time.Since(f.openedAt).Seconds(), f.resetByTarget, holder, f.lastVia)
			if !f.resetByTarget && holder != "" {
				broken.Add(1)
			}
			return
		}
		time.Sleep(requestPause)
	}
}

// findHolder returns the target that holds a flow.
func (r *rig) findHolder(id flowID) string {
	for _, m := range r.agents {
		if m.target != nil && m.target.holds(id) {
			return m.target.id
		}
	}
	return ""
}

// rollAll stops machines and starts them again, one after the other.
func (r *rig) rollAll(machines []*machine, gap time.Duration) {
	var rolls sync.WaitGroup
	defer rolls.Wait()
	for _, m := range machines {
		rolls.Go(func() { r.roll(m) })
		time.Sleep(gap)
	}
}
