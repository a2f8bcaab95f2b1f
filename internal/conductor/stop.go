package conductor

import (
	"context"
	"syscall"
	"time"
)

const (
	// stopMargin is kept between the end of a planned stop and the deadline at
	// which the process is killed.
	stopMargin = time.Second
	// rotationTime is above the time in which routers take a balancer that is
	// not ready out of rotation: two checks, half a second apart.
	rotationTime = 1200 * time.Millisecond
	// quietTime without a packet shows that they did.
	quietTime = 400 * time.Millisecond
	// agentStop lets requests that run at a leaving agent finish. Its flows
	// wait for the next process, so it is short.
	agentStop = 300 * time.Millisecond
)

// awaitStop returns after a planned stop or the end of the context.
func (c *Conductor) awaitStop(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.reloader.check()
		case <-c.drain:
			c.leave(ctx)
			return
		case s := <-c.signals:
			if s == syscall.SIGHUP {
				c.reloader.check()
				continue
			}
			c.leave(ctx)
			return
		}
	}
}

func (c *Conductor) leave(ctx context.Context) {
	c.isLeaving.Store(true)
	started := time.Now()
	longest := c.reloader.settings().DrainDeadline() - stopMargin
	if c.deliverer != nil {
		c.deliverer.Leave()
		longest = min(longest, agentStop)
	}
	c.logger.Info().Dur("deadline_ms", longest).Msg("process leaves")
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for now := started; now.Sub(started) < longest && !c.isUnused(now, started); {
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
	c.logger.Info().Dur("duration_ms", time.Since(started)).Msg("process stops")
}

// isUnused reports whether routers no longer send to a leaving balancer.
func (c *Conductor) isUnused(now, leaving time.Time) bool {
	return c.steerer != nil && now.Sub(leaving) >= rotationTime && c.steerer.QuietFor(now) >= quietTime
}
