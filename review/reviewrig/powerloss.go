package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// downTime is how long the machines have no power, and bootTime how much longer
	// than the agents the targets take to start.
	downTime = 1600 * time.Millisecond
	bootTime = time.Second
	// recoveryBound is the time after which requests count.
	recoveryBound = 12 * time.Second
	countTime     = 8 * time.Second
	callsBefore   = 5 * time.Second
	callsASecond  = 30
)

// playPowerLoss takes the power from all machines. They come back, and the targets
// start again under the names that they had, a little later than the agents beside
// them. After the time for the recovery, a quarter of the requests must be served.
func playPowerLoss(ctx context.Context, r *rig, hasTrouble bool) (int, error) {
	if err := r.build(2, "live", "live", "live", "live"); err != nil {
		return 0, err
	}
	if err := r.startAll(ctx, newConfig(1, []routeConfig{newRoute(0, "live")}, "live")); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var calls sync.WaitGroup
	if err := r.callShortFlows(callers, &calls, callsASecond, 1); err != nil {
		return 0, err
	}
	time.Sleep(callsBefore)
	before := r.takeCalls()
	if before.served*4 < before.sent {
		return 0, errors.New("too little is served before the fault")
	}
	if hasTrouble {
		if err := r.losePower(); err != nil {
			return 0, err
		}
	}
	time.Sleep(recoveryBound)
	r.takeCalls()
	time.Sleep(countTime)
	after := r.takeCalls()
	stopCallers()
	calls.Wait()
	r.record("before the fault %d of %d requests were served, later than %v after it %d of %d", before.served, before.sent, recoveryBound, after.served, after.sent)
	fmt.Printf("before the fault %d of %d requests were served, later than %v after it %d of %d\n", before.served, before.sent, recoveryBound, after.served, after.sent)
	if after.served*4 < after.sent {
		return 1, nil
	}
	return 0, nil
}

// losePower ends every process and target, and starts them again. The entries of the
// targets stay in the store, which drops them after 3.6 s of silence only.
func (r *rig) losePower() error {
	r.record("all machines lose power")
	for _, m := range r.machines() {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range r.agents {
		m.target.crash()
	}
	time.Sleep(downTime)
	for _, m := range r.machines() {
		if err := r.start(m); err != nil {
			return err
		}
	}
	r.record("all machines are back")
	time.Sleep(bootTime)
	for _, m := range r.agents {
		if _, err := r.startTarget(m, m.target.id, time.Now()); err != nil {
			return err
		}
	}
	r.record("all targets are back")
	return nil
}
