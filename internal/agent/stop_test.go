package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

// shutDown stops an agent after draining it.
func shutDown(m *member) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := m.Shutdown(ctx); err != nil {
		return err
	}
	return <-m.done
}

// closeAtOnce stops an agent without draining it.
func closeAtOnce(m *member) error {
	m.stop()
	return <-m.done
}

// TestPlannedStop guards against a planned stop that cuts off a request in
// flight (guarantee 7), while requests start, finish, are forwarded to other
// agents and are retried, and after a drain that may have been withdrawn.
func TestPlannedStop(t *testing.T) {
	seeder.LimitChecks(t, 5)
	ran, answered := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		l, err := runStop(t, stopPlans().Draw(r, "plan"), shutDown)
		if err != nil {
			r.Fatal(err)
		}
		ran += len(l.runs)
		for _, a := range l.attempts {
			if a.isAnswered {
				answered++
			}
		}
	})
	t.Logf("%d requests ran, %d answers", ran, answered)
	is.New(t).True(ran > 0 && answered > 0)
}

// TestNaiveStop checks that the property of TestPlannedStop detects an agent
// that closes without draining.
func TestNaiveStop(t *testing.T) {
	is := is.New(t)
	const plans = 3
	detected := 0
	for seed := range plans {
		if _, err := runStop(t, stopPlans().Example(seed), closeAtOnce); err != nil {
			detected++
		}
	}
	t.Logf("detected in %d of %d stops", detected, plans)
	is.True(detected > 0)
}

// TestStopWithLateTicket guards against a stop that cuts off a request which
// another agent forwards to the agent that issued its ticket, after that agent's
// own last request has ended and while it waits for its responses to be
// delivered. A ticket that arrives even later is not run, and its outcome is
// unknown.
func TestStopWithLateTicket(t *testing.T) {
	const stops = 3
	ran := 0
	for range stops {
		is := is.New(t)
		l := &requestLog{runs: make(map[string][]*execution), attempts: make(map[string]attempt)}
		c := newCluster(t, 2, l)
		ticket := l.send(c.newClient(t), "mint", http.MethodPost, "/work/300", "", 0)
		is.True(ticket != "")
		// A connection that its caller leaves open extends the wait for delivery.
		open, err := quic.DialAddr(t.Context(), c.relayer.Address().String(),
			&tls.Config{RootCAs: c.tls.RootCAs, ServerName: authority, NextProtos: []string{"h3"}}, &quic.Config{})
		is.NoErr(err)
		c.newFlowTarget.Store(2)
		second := c.newClient(t)
		l.send(second, "open", http.MethodGet, "/work/1", "", 0)
		stopped := make(chan error, 1)
		go func() { stopped <- shutDown(c.members[0]) }()
		for !c.members[0].goAwayStarted.Load() {
			<-time.After(time.Millisecond)
		}
		l.send(second, "late", http.MethodPost, "/work/300", ticket, 0)
		is.NoErr(<-stopped)
		_ = open.CloseWithError(0, "")
		is.NoErr(l.check())
		ran += len(l.runs["late"])
	}
	t.Logf("%d of %d late tickets ran", ran, stops)
}
