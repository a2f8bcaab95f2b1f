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

func TestTickets(t *testing.T) {
	t.Run("a request runs once and a copy gets its response", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		ticket := freshTicket(is, n)
		for range 3 {
			a := post(n, ticket)
			assertAnswer(is, a, http.StatusOK, "done")
			is.Equal(a.body, "POST /amend cut 7")
		}
		is.Equal(n.backend.Total(), 1)
		a := send(t.Context(), n, http.MethodPost, "/amend", "cut 8", ticket)
		assertAnswer(is, a, http.StatusUnprocessableEntity, "not_run")
		is.Equal(n.backend.Total(), 1)
	})
	t.Run("copies wait for the first, whose caller has gone", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		entered, release := make(chan struct{}), make(chan struct{})
		n.backend.SetBehaviour(func(w http.ResponseWriter, _ *http.Request, run func()) {
			run()
			close(entered)
			<-release
			_, _ = io.WriteString(w, "late")
		})
		ticket := freshTicket(is, n)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { send(ctx, n, http.MethodPost, "/amend", "cut 7", ticket) })
		<-entered
		cancel()
		answers := make([]answer, 5)
		for i := range answers {
			wait.Go(func() { answers[i] = post(n, ticket) })
		}
		close(release)
		wait.Wait()
		for _, a := range answers {
			assertAnswer(is, a, http.StatusOK, "done")
			is.Equal(a.body, "late")
		}
		is.Equal(n.backend.Total(), 1)
	})
	t.Run("a copy at another agent is answered by the minter", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ticket := freshTicket(is, ns[0])
		for range 2 {
			a := post(ns[1], ticket)
			assertAnswer(is, a, http.StatusOK, "done")
			is.Equal(a.body, "POST /amend cut 7")
		}
		is.Equal(ns[0].backend.Total()+ns[1].backend.Total(), 1)
	})
	t.Run("a draining agent gives out tickets of another one, which outlives it", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ns[0].draining.Store(true)
		ticket := freshTicket(is, ns[0])
		ns[0].stop()
		assertAnswer(is, post(ns[1], ticket), http.StatusOK, "done")
	})
	t.Run("without the minter the outcome is unknown and nothing runs", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ticket := freshTicket(is, ns[0])
		ns[0].stop()
		assertAnswer(is, post(ns[1], ticket), http.StatusGatewayTimeout, "unknown")
		is.Equal(ns[1].backend.Total(), 0)
	})
	t.Run("tickets that nobody minted are refused with a fresh one", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		ticket := freshTicket(is, n)
		for _, bad := range []string{"x", ticket[:len(ticket)-2] + "AA", strings.Repeat("A", len(ticket))} {
			a := post(n, bad)
			assertAnswer(is, a, http.StatusPreconditionRequired, "not_run")
			is.True(a.header.Get(HeaderTicket) != "")
		}
		is.Equal(n.backend.Total(), 0)
	})
	t.Run("a large response is not kept, and a copy learns that the request ran", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		large := bytes.Repeat([]byte("x"), 100_000)
		n.backend.SetBehaviour(func(w http.ResponseWriter, _ *http.Request, run func()) {
			run()
			_, _ = w.Write(large)
		})
		ticket := freshTicket(is, n)
		is.Equal(len(post(n, ticket).body), len(large))
		assertAnswer(is, post(n, ticket), http.StatusGone, "done")
		is.Equal(n.backend.Total(), 1)
	})
	t.Run("a ticket refused by its backend server never runs, a fresh one does", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		ticket := freshTicket(is, n)
		n.backend.SetBehaviour(refuseRun)
		a := post(n, ticket)
		assertAnswer(is, a, http.StatusServiceUnavailable, "not_run")
		n.backend.SetBehaviour(nil)
		// 428 rather than 503, so that the caller takes the fresh ticket.
		assertAnswer(is, post(n, ticket), http.StatusPreconditionRequired, "not_run")
		is.Equal(n.backend.Total(), 0)
		assertAnswer(is, post(n, a.header.Get(HeaderTicket)), http.StatusOK, "done")
	})
}
