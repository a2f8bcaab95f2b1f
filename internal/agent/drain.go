package agent

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"kingcupvalve.example/kingcupvalve/internal/prober"
)

// ErrCutOff reports that requests in flight were cut off at the drain deadline.
var ErrCutOff = merry.New("requests were cut off at the drain deadline")

// watchTargetState announces a drain while the target is published as leaving
// or the backend server reports that it is draining, and withdraws it
// afterwards.
func (a *Agent) watchTargetState(ctx context.Context) {
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		target, ok := a.options.Snapshot().TargetByNumber(a.options.Target)
		leaving := ok && target.IsLeaving() || a.prober.Latest().State() == prober.StateDraining
		switch {
		case a.stopping.Load():
		case leaving && a.drainer.Announce():
			a.listener.DivertNewFlows(true)
			a.options.Logger.Info().Msg("target is leaving")
		case !leaving && a.drainer.Withdraw():
			a.listener.DivertNewFlows(false)
			a.options.Logger.Info().Msg("target is serving again")
		}
	}
}

// Shutdown drains the agent and ends Run. It announces the drain in digests
// and in the tunnel headers toward balancers, forwards new flows to other
// agents, answers the callers that wait for a drain, sends GOAWAY (RFC 9114,
// 5.2), and waits until the requests in flight have ended and their responses
// are delivered. Requests that remain when the context ends are cut off,
// logged and counted, and ErrCutOff is returned.
func (a *Agent) Shutdown(ctx context.Context) error {
	defer a.stopOnce.Do(func() { close(a.stopped) })
	a.stopping.Store(true)
	a.drainer.Announce()
	a.listener.SetDraining(true)
	a.options.Logger.Info().Int("in_flight", a.drainer.InFlight()).Msg("drain started")
	// Callers that were notified of the drain open their next connection now.
	sleep(ctx, a.options.Linger)
	a.goAwayStarted.Store(true)
	serverContext, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.server.Shutdown(serverContext)
	}()
	defer func() {
		cancel()
		<-done
	}()
	// Other agents forward requests with tickets of this agent until the drainer
	// is closed.
	for a.drainer.Wait(ctx) == nil {
		a.waitForDelivery(ctx)
		if a.drainer.Close() {
			a.closeConnections("agent drained")
			a.options.Logger.Info().Msg("drain finished")
			return nil
		}
	}
	names := a.drainer.CancelAll()
	a.dispatcher.Abort()
	for _, name := range names {
		a.options.Logger.Warn().Str("request", name).Msg("request cut off at the drain deadline")
	}
	// The streams are reset before the connections close.
	abortContext, stop := context.WithTimeout(context.Background(), abortTimeout)
	defer stop()
	_ = a.drainer.Wait(abortContext)
	a.closeConnections("agent drain deadline")
	return merry.Prependf(ErrCutOff, "drain agent with %d requests", len(names))
}

// waitForDelivery waits until every connection is closed by its caller or has
// been idle for the linger time; idle connections are closed one by one.
func (a *Agent) waitForDelivery(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		a.lock.Lock()
		for q, c := range a.connections {
			if c.isDelivered(q, now, a.options.Linger) {
				closeConnection(q, "agent drained")
			}
		}
		left := len(a.connections)
		a.lock.Unlock()
		if left == 0 {
			return
		}
		sleep(ctx, a.options.Linger/10)
	}
}

// maxIdleBytes is the number of bytes that acknowledgements and probes may send
// between two checks of an idle connection; more counts as response data.
const maxIdleBytes = 200

// isDelivered reports whether a connection without requests has been idle for
// the linger time. QUIC retransmits unacknowledged data, so a connection with
// undelivered data does not become idle.
func (c *connection) isDelivered(q *quic.Conn, now time.Time, linger time.Duration) bool {
	sent := q.ConnectionStats().BytesSent
	if c.running.Load() > 0 || sent > c.bytesSent+maxIdleBytes {
		c.idleSince = now
	}
	c.bytesSent = sent
	return now.Sub(c.idleSince) >= linger
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
