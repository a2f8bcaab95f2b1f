package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clockStep is how far the time of day of one machine is ahead for a while.
	clockStep    = 2400 * time.Millisecond
	clockBackAt  = 500 * time.Millisecond
	flowsWanted  = 6
	rollStartsAt = 1500 * time.Millisecond
	agentBackAt  = 2500 * time.Millisecond
	nextCallAt   = 7 * time.Second
)

// playClockStep adds a machine whose time of day is ahead while its target starts and
// jumps back soon after. Then its agent is stopped and started as planned. No caller may
// get a reset on a flow that the target holds.
func playClockStep(ctx context.Context, r *rig, hasTrouble bool) (int, error) {
	if err := r.build(2, "live", "live", "live", "live", "live"); err != nil {
		return 0, err
	}
	all := r.agents
	added := all[len(all)-1]
	r.agents = all[:len(all)-1]
	if err := r.startAll(ctx, newConfig(1, []routeConfig{newRoute(0, "live")}, "live")); err != nil {
		return 0, err
	}
	r.agents = all
	time.Sleep(3 * time.Second)
	if err := r.start(added); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	born := start
	if hasTrouble {
		born = start.Add(clockStep)
		r.record("the time of day on %s is %v ahead", added.name, clockStep)
	}
	if _, err := r.startTarget(added, fmt.Sprintf("added-%d", start.UnixNano()%1_000_000), born); err != nil {
		return 0, err
	}
	r.record("target of %s starts, by its clock at %s", added.name, born.Format(time.TimeOnly+".000"))
	at(clockBackAt)
	r.record("the time of day on %s is right again", added.name)
	host, err := r.newCallerHost(r.host(100))
	if err != nil {
		return 0, err
	}
	flows := r.openFlowsAt(added, host, start.Add(rollStartsAt-100*time.Millisecond))
	if len(flows) < flowsWanted {
		return 0, errors.New("too few flows reach the added target")
	}
	at(rollStartsAt)
	r.record("SIGTERM to %s", added.name)
	added.stop()
	r.record("%s has ended", added.name)
	at(agentBackAt)
	if err := r.start(added); err != nil {
		return 0, err
	}
	r.record("%s starts again", added.name)
	at(nextCallAt)
	var broken atomic.Int32
	var calls sync.WaitGroup
	for _, f := range flows {
		calls.Go(func() {
			number := r.requestNumber.Add(1)
			result := f.request(number)
			holds := added.target.holds(f.id)
			r.record("flow %s to %s: request %d %s, by the target: %v, the target holds the flow: %v",
				f.id.caller, f.id.published, number, result, result == wasReset && f.resetByTarget, holds)
			if result == wasReset && !f.resetByTarget && holds {
				broken.Add(1)
			}
			f.close()
		})
	}
	calls.Wait()
	fmt.Printf("%d of %d flows reset while the target held them\n", broken.Load(), len(flows))
	return int(broken.Load()), nil
}

// openFlowsAt opens flows until the target of a machine holds enough of them, or until
// the given time.
func (r *rig) openFlowsAt(m *machine, host *callerHost, end time.Time) []*flow {
	const callers = 30
	var lock sync.Mutex
	var flows []*flow
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			for time.Now().Before(end) {
				lock.Lock()
				isDone := len(flows) >= flowsWanted
				lock.Unlock()
				if isDone {
					return
				}
				f := host.newFlow(published(0))
				if f.open() == answered && f.request(r.requestNumber.Add(1)) == answered && m.target.holds(f.id) {
					r.record("flow %s to %s is open at the target of %s", f.id.caller, f.id.published, m.name)
					lock.Lock()
					flows = append(flows, f)
					lock.Unlock()
					continue
				}
				f.close()
			}
		})
	}
	calls.Wait()
	return flows
}
