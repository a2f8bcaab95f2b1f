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

// shutDown is the planned stop of an agent.
func shutDown(m *member) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := m.Shutdown(ctx); err != nil {
		return err
	}
	return <-m.done
}

// closeAtOnce is the naive stop: accept nothing more and close.
func closeAtOnce(m *member) error {
	m.stop()
	return <-m.done
}

// TestPlannedStop guards guarantee 7: no request in flight is cut off by a
// planned stop, while requests start, finish, pass to other agents and are sent
// again, and after a drain that was announced and perhaps withdrawn.
func TestPlannedStop(t *testing.T) {
	seeder.LimitChecks(t, 5)
	ran, answered := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		l, err := playStop(t, stopPlans().Draw(r, "plan"), shutDown)
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

// TestNaiveStop shows that the property above catches an agent that stops to
// accept and closes.
func TestNaiveStop(t *testing.T) {
	is := is.New(t)
	const scripts = 3
	caught := 0
	for seed := range scripts {
		if _, err := playStop(t, stopPlans().Example(seed), closeAtOnce); err != nil {
			caught++
		}
	}
	t.Logf("caught by %d of %d stops", caught, scripts)
	is.True(caught > 0)
}

// TestStopWithLateTicket guards against a stop that cuts off a request which
// another agent passes to the minter of its ticket after the minter's last own
// request has ended, while it waits for its responses to be delivered. A ticket
// that comes even later is not run, and its outcome is unknown.
func TestStopWithLateTicket(t *testing.T) {
	const stops = 3
	ran := 0
	for range stops {
		is := is.New(t)
		l := &stopLog{runs: make(map[string][]*execution), attempts: make(map[string]attempt)}
		c := newCluster(t, 2, l)
		ticket := l.send(c.newClient(t), "mint", http.MethodPost, "/work/300", "", 0)
		is.True(ticket != "")
		// A connection that its caller leaves open lengthens the wait.
		open, err := quic.DialAddr(t.Context(), c.relayer.Address().String(),
			&tls.Config{RootCAs: c.tls.RootCAs, ServerName: authority, NextProtos: []string{"h3"}}, &quic.Config{})
		is.NoErr(err)
		c.first.Store(2)
		second := c.newClient(t)
		l.send(second, "open", http.MethodGet, "/work/1", "", 0)
		stopped := make(chan error, 1)
		go func() { stopped <- shutDown(c.members[0]) }()
		for !c.members[0].goneAway.Load() {
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
