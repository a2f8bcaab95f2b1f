package soaker

import (
	"context"
	"time"
)

// routeProbeInterval is the pause between two flows of probeRoute.
const routeProbeInterval = 200 * time.Millisecond

// probeRoute opens flows to the address that the configuration publishes on and
// off, until the context ends. In the steady state a flow must open if the address
// has been published for maxConfigDelay, and must not if it has been removed for as
// long.
func (s *Soak) probeRoute(ctx context.Context, host *callerHost) {
	e := s.environment
	to := publishedAddress(2)
	state := func() (isPublished bool, changedAt time.Time) {
		e.lock.Lock()
		defer e.lock.Unlock()
		return e.isPublished(to), e.changedAt[to]
	}
	for ; ctx.Err() == nil; sleep(ctx, routeProbeInterval) {
		start := time.Now()
		isPublished, changedAt := state()
		f := host.newFlow(to)
		isOpen := f.open()
		f.close()
		_, changedSince := state()
		if !isOpen && e.options.HasEvacuations && e.mayLackTargets(start) {
			continue
		}
		if isOpen != isPublished && changedSince.Equal(changedAt) && start.Sub(changedAt) > maxConfigDelay && e.report.wasSteady(start) {
			e.report.recordViolation("a flow of %s to %s: open %t, published %t since %v", f.source, to, isOpen, isPublished, start.Sub(changedAt))
		}
	}
}
