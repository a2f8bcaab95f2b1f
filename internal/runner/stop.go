package runner

import (
	"context"
	"syscall"
	"time"
)

const (
	// stopMargin is the time between the end of a planned stop and the deadline at
	// which the process is killed.
	stopMargin = time.Second
	// minRotationTime exceeds the time in which routers take a balancer that is not
	// ready out of rotation: two checks, half a second apart.
	minRotationTime = 1200 * time.Millisecond
	// minIdleTime is the time without a packet from a caller after which a balancer
	// that is not ready counts as out of rotation.
	minIdleTime = 400 * time.Millisecond
	// maxAgentDrain is the time for running requests at a stopping agent to finish.
	// It is short, because open flows do not end with the process: they wait for
	// the agent's next one.
	maxAgentDrain = 300 * time.Millisecond
)

// awaitStop reloads changed settings until the context ends or a planned stop is
// requested. It returns after the planned stop.
func (r *Runner) awaitStop(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.reloader.reloadIfChanged()
		case <-r.drain:
			r.drainAndStop(ctx)
			return
		case s := <-r.signals:
			if s == syscall.SIGHUP {
				r.reloader.reloadIfChanged()
				continue
			}
			r.drainAndStop(ctx)
			return
		}
	}
}

func (r *Runner) drainAndStop(ctx context.Context) {
	r.isStopping.Store(true)
	started := time.Now()
	limit := r.reloader.settings().DrainDeadline() - stopMargin
	if r.deliverer != nil {
		r.deliverer.RefuseNewFlows()
		limit = min(limit, maxAgentDrain)
	}
	r.logger.Info().Dur("deadline_ms", limit).Msg("process leaves")
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for now := started; now.Sub(started) < limit && !r.isOutOfRotation(now, started); {
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
	r.logger.Info().Dur("duration_ms", time.Since(started)).Msg("process stops")
}

// isOutOfRotation reports whether routers no longer send packets to a stopping
// balancer.
func (r *Runner) isOutOfRotation(now, started time.Time) bool {
	return r.forwarder != nil && now.Sub(started) >= minRotationTime && r.forwarder.TimeSinceLastPacket(now) >= minIdleTime
}
