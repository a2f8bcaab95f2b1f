package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// freezes has the times of the freezes: in each one, one agent and then two more
// stand still, and all three wake together.
var freezes = []struct{ first, others, end time.Duration }{
	{300 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond},
	{1750 * time.Millisecond, 1950 * time.Millisecond, 2650 * time.Millisecond},
	{2900 * time.Millisecond, 3100 * time.Millisecond, 3500 * time.Millisecond},
}

const (
	// frozenAgents is the number of agents that freeze, frozenAtOnce at a time.
	frozenAgents = 6
	frozenAtOnce = 3
	// leavingTargets is the number of targets that drain.
	leavingTargets = 2
	liveAgents     = 8
	archiveAgents  = 16
)

// playStaleBeacons cuts the agents that watch the store off from it, while another
// agent freezes and wakes again. A target starts to drain meanwhile. Machines that are
// in touch may open no flow there later than the bound.
func playStaleBeacons(ctx context.Context, r *rig, hasTrouble bool) (int, error) {
	r.slots = 2
	services := slices.Concat(slices.Repeat([]string{"live"}, liveAgents), slices.Repeat([]string{"archive"}, archiveAgents))
	if err := r.build(4, services...); err != nil {
		return 0, err
	}
	routes := []routeConfig{newRoute(0, "live"), newRoute(1, "archive")}
	if err := r.startAll(ctx, newConfig(1, routes, "live", "archive")); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	readers := r.readers()
	if len(readers) != 3 {
		return 0, fmt.Errorf("%d agents watch the store", len(readers))
	}
	var frozen []*machine
	for _, m := range r.agents {
		if m.service == "archive" && !slices.Contains(readers, m) && len(frozen) < frozenAgents {
			frozen = append(frozen, m)
		}
	}
	if len(frozen) < frozenAgents {
		return 0, fmt.Errorf("only %d agents can freeze", len(frozen))
	}
	for _, m := range readers {
		r.record("%s watches the store", m.name)
	}

	var lock sync.Mutex
	var confirmed time.Time
	var draining []*target
	var broken int
	var worst time.Duration
	opened := map[*target]int{}
	r.opened = func(t *target, id flowID, at time.Time) {
		lock.Lock()
		defer lock.Unlock()
		opened[t]++
		if !slices.Contains(draining, t) {
			return
		}
		late := at.Sub(confirmed)
		r.record("draining target %s takes the opening packet of %s, %.3f s after the store confirmed the drain", t.id, id.caller, late.Seconds())
		if late > drainBound {
			broken++
			worst = max(worst, late)
		}
	}
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var group sync.WaitGroup
	if err := r.callShortFlows(callers, &group, 300, 1); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	// The targets that get most flows drain.
	var leaving []*target
	for _, m := range r.agents {
		if m.service == "live" && !slices.Contains(readers, m) {
			leaving = append(leaving, m.target)
		}
	}
	lock.Lock()
	slices.SortFunc(leaving, func(a, b *target) int { return opened[b] - opened[a] })
	lock.Unlock()
	leaving = leaving[:leavingTargets]
	select {
	case <-readers[0].endpoint.confirmed:
	default:
	}
	<-readers[0].endpoint.confirmed
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	at(20 * time.Millisecond)
	if hasTrouble {
		for _, m := range readers {
			m.endpoint.isCut.Store(true)
			r.record("%s is cut off from the store", m.name)
		}
	}
	at(40 * time.Millisecond)
	for _, t := range leaving {
		at := t.report("draining")
		lock.Lock()
		draining, confirmed = append(draining, t), at
		lock.Unlock()
		r.record("store confirms that target %s drains", t.id)
	}
	if hasTrouble {
		for i, f := range freezes {
			group := frozen[i%2*frozenAtOnce:][:frozenAtOnce]
			at(f.first)
			r.freeze(group[0])
			at(f.others)
			r.freeze(group[1])
			r.freeze(group[2])
			at(f.end)
			for _, m := range group {
				r.wake(m)
			}
		}
	}
	at(5500 * time.Millisecond)
	for _, m := range readers {
		m.endpoint.isCut.Store(false)
	}
	r.record("end of the cuts")
	at(8 * time.Second)
	stopCallers()
	group.Wait()
	lock.Lock()
	defer lock.Unlock()
	r.record("%d flows after the bound, the last %.3f s after the confirmation", broken, worst.Seconds())
	fmt.Printf("%d flows after the bound, the last %.3f s after the confirmation\n", broken, worst.Seconds())
	return broken, nil
}

// callShortFlows opens flows of one request each, at a rate for each of the first
// routes, until the context ends.
func (r *rig) callShortFlows(ctx context.Context, group *sync.WaitGroup, perSecond, routes int) error {
	for i := range routes {
		host, err := r.newCallerHost(r.host(100 + i))
		if err != nil {
			return err
		}
		group.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					group.Go(func() { r.callOnce(host, i) })
				}
			}
		})
	}
	return nil
}

func (r *rig) callOnce(host *callerHost, route int) {
	f := host.newFlow(published(route))
	defer f.close()
	r.countCall(f.open() == answered && f.request(r.requestNumber.Add(1)) == answered)
}

func (r *rig) freeze(m *machine) {
	m.signal(syscall.SIGSTOP)
	r.record("%s freezes", m.name)
}

func (r *rig) wake(m *machine) {
	m.signal(syscall.SIGCONT)
	r.record("%s wakes", m.name)
}
