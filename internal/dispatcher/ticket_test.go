package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestTickets guards against a second execution of a non-idempotent request that
// its caller repeats after a lost response or a refusal, at the same agent or at
// another one, also while the agent that issued the ticket drains or has stopped.
func TestTickets(t *testing.T) {
	t.Run("a request runs once and a repeat gets its response", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		ticket := obtainTicket(is, n)
		for range 3 {
			got := post(n, ticket)
			assertResult(is, got, http.StatusOK, "done")
			is.Equal(got.body, "POST /amend cut 7")
		}
		is.Equal(n.backend.Total(), 1)
		got := send(t.Context(), n, http.MethodPost, "/amend", "cut 8", ticket)
		assertResult(is, got, http.StatusUnprocessableEntity, "not_run")
		is.Equal(n.backend.Total(), 1)
	})
	t.Run("repeats wait for the first request after its caller has disconnected", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		started, release := make(chan struct{}), make(chan struct{})
		n.backend.SetBehaviour(func(w http.ResponseWriter, _ *http.Request, run func()) {
			run()
			close(started)
			<-release
			_, _ = io.WriteString(w, "late")
		})
		ticket := obtainTicket(is, n)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { send(ctx, n, http.MethodPost, "/amend", "cut 7", ticket) })
		<-started
		cancel()
		results := make([]callerResult, 5)
		for i := range results {
			wait.Go(func() { results[i] = post(n, ticket) })
		}
		close(release)
		wait.Wait()
		for _, got := range results {
			assertResult(is, got, http.StatusOK, "done")
			is.Equal(got.body, "late")
		}
		is.Equal(n.backend.Total(), 1)
	})
	t.Run("a repeat at another agent is forwarded to the minter", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ticket := obtainTicket(is, ns[0])
		for range 2 {
			got := post(ns[1], ticket)
			assertResult(is, got, http.StatusOK, "done")
			is.Equal(got.body, "POST /amend cut 7")
		}
		is.Equal(ns[0].backend.Total()+ns[1].backend.Total(), 1)
	})
	t.Run("a draining agent issues tickets of another agent, which outlives it", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ns[0].draining.Store(true)
		ticket := obtainTicket(is, ns[0])
		ns[0].stop()
		assertResult(is, post(ns[1], ticket), http.StatusOK, "done")
	})
	t.Run("without the minter the outcome is unknown and nothing runs", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ticket := obtainTicket(is, ns[0])
		ns[0].stop()
		assertResult(is, post(ns[1], ticket), http.StatusGatewayTimeout, "unknown")
		is.Equal(ns[1].backend.Total(), 0)
	})
	t.Run("invalid tickets are refused and replaced by a new one", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		ticket := obtainTicket(is, n)
		for _, bad := range []string{"x", ticket[:len(ticket)-2] + "AA", strings.Repeat("A", len(ticket))} {
			got := post(n, bad)
			assertResult(is, got, http.StatusPreconditionRequired, "not_run")
			is.True(got.header.Get(HeaderTicket) != "")
		}
		is.Equal(n.backend.Total(), 0)
	})
	t.Run("a large response is not recorded, and a repeat learns that the request ran", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		large := bytes.Repeat([]byte("x"), 100_000)
		n.backend.SetBehaviour(func(w http.ResponseWriter, _ *http.Request, run func()) {
			run()
			_, _ = w.Write(large)
		})
		ticket := obtainTicket(is, n)
		is.Equal(len(post(n, ticket).body), len(large))
		assertResult(is, post(n, ticket), http.StatusGone, "done")
		is.Equal(n.backend.Total(), 1)
	})
	t.Run("a request refused by the backend server never runs with the same ticket, but with a new one", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		ticket := obtainTicket(is, n)
		n.backend.SetBehaviour(refuseRequest)
		got := post(n, ticket)
		assertResult(is, got, http.StatusServiceUnavailable, "not_run")
		n.backend.SetBehaviour(nil)
		// 428 rather than 503, so that the caller uses the new ticket.
		assertResult(is, post(n, ticket), http.StatusPreconditionRequired, "not_run")
		is.Equal(n.backend.Total(), 0)
		assertResult(is, post(n, got.header.Get(HeaderTicket)), http.StatusOK, "done")
	})
}
