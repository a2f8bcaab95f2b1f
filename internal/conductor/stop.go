package conductor

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
func (c *Conductor) awaitStop(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.reloader.reloadIfChanged()
		case <-c.drain:
			c.drainAndStop(ctx)
			return
		case s := <-c.signals:
			if s == syscall.SIGHUP {
				c.reloader.reloadIfChanged()
				continue
			}
			c.drainAndStop(ctx)
			return
		}
	}
}

func (c *Conductor) drainAndStop(ctx context.Context) {
	c.isStopping.Store(true)
	started := time.Now()
	limit := c.reloader.settings().DrainDeadline() - stopMargin
	if c.deliverer != nil {
		c.deliverer.RefuseNewFlows()
		limit = min(limit, maxAgentDrain)
	}
	c.logger.Info().Dur("deadline_ms", limit).Msg("process leaves")
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for now := started; now.Sub(started) < limit && !c.isOutOfRotation(now, started); {
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
	c.logger.Info().Dur("duration_ms", time.Since(started)).Msg("process stops")
}

// isOutOfRotation reports whether routers no longer send packets to a stopping
// balancer.
func (c *Conductor) isOutOfRotation(now, started time.Time) bool {
	return c.forwarder != nil && now.Sub(started) >= minRotationTime && c.forwarder.TimeSinceLastPacket(now) >= minIdleTime
}
