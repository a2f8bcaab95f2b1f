package agent

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"kingcupvalve.example/kingcupvalve/internal/prober"
)

// ErrCutOff reports that the drain deadline ended requests in flight.
var ErrCutOff = merry.New("requests were cut off at the drain deadline")

// followState announces a drain while the target is published as leaving or
// the backend server states that it drains, and withdraws it afterwards.
func (a *Agent) followState(ctx context.Context) {
	ticker := time.NewTicker(stateInterval)
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
			a.listener.TurnAway(true)
			a.options.Logger.Info().Msg("target is leaving")
		case !leaving && a.drainer.Withdraw():
			a.listener.TurnAway(false)
			a.options.Logger.Info().Msg("target is serving again")
		}
	}
}

// Shutdown drains the agent and ends Run: it states that it is draining in
// digests and return headers, passes new flows on, answers the callers that
// wait for a drain, sends GOAWAY (RFC 9114, 5.2) and waits for the requests in
// flight and for their responses to be delivered. What is left when the
// context ends is cut off, logged and counted, and ErrCutOff is returned.
func (a *Agent) Shutdown(ctx context.Context) error {
	defer a.stopOnce.Do(func() { close(a.stopped) })
	a.stopping.Store(true)
	a.drainer.Announce()
	a.listener.SetDraining(true)
	a.options.Logger.Info().Int("in_flight", a.drainer.InFlight()).Msg("drain started")
	// Callers that were answered open their next connection in this time.
	pause(ctx, a.options.Linger)
	a.goneAway.Store(true)
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
	// Other agents pass on the tickets of this one until the drainer is closed.
	for a.drainer.Wait(ctx) == nil {
		a.waitDelivered(ctx)
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
	cut, stop := context.WithTimeout(context.Background(), cutTimeout)
	defer stop()
	_ = a.drainer.Wait(cut)
	a.closeConnections("agent drain deadline")
	return merry.Prependf(ErrCutOff, "drain agent with %d requests", len(names))
}

// waitDelivered waits until callers have closed their connections or nothing
// was sent on them for the linger time. Connections are closed one by one.
func (a *Agent) waitDelivered(ctx context.Context) {
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
		pause(ctx, a.options.Linger/10)
	}
}

// quietBytes is what acknowledgements and probes may send in one look without
// counting as response data on its way.
const quietBytes = 200

// isDelivered reports whether a connection without requests has been quiet for
// the linger time. QUIC retransmits what is not acknowledged, so data that has
// not arrived keeps it from being quiet.
func (c *connection) isDelivered(q *quic.Conn, now time.Time, linger time.Duration) bool {
	sent := q.ConnectionStats().BytesSent
	if c.running.Load() > 0 || sent > c.sent+quietBytes {
		c.quietSince = now
	}
	c.sent = sent
	return now.Sub(c.quietSince) >= linger
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
