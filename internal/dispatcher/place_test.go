package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/prober"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/journaler"
)

func TestPassing(t *testing.T) {
	t.Run("what the own backend server refuses runs at another agent", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ns[0].backend.SetBehaviour(refuseRun)
		a := post(ns[0], freshTicket(is, ns[0]))
		assertAnswer(is, a, http.StatusOK, "done")
		is.Equal(ns[1].backend.Total(), 1)
	})
	t.Run("a backend server that accepts no connection counts as refusing", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ns[0].backend.Close()
		assertAnswer(is, post(ns[0], freshTicket(is, ns[0])), http.StatusOK, "done")
		is.Equal(ns[1].backend.Total(), 1)
	})
	t.Run("a draining agent passes its requests on", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ns[0].draining.Store(true)
		for range 5 {
			assertAnswer(is, post(ns[0], freshTicket(is, ns[0])), http.StatusOK, "done")
		}
		is.Equal(ns[0].backend.Total(), 0)
		is.Equal(ns[1].backend.Total(), 5)
	})
	t.Run("a backend server that states that it drains gets no new work", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		health := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"state":"draining"}`)
		}))
		defer health.Close()
		ctx, cancel := context.WithCancel(t.Context())
		seen := make(chan struct{}, 1)
		p, err := prober.NewProber(prober.Options{BaseURL: health.URL, Report: func(h prober.Hint) {
			ns[0].ObserveHealth(h)
			select {
			case seen <- struct{}{}:
			default:
			}
		}})
		is.NoErr(err)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = p.Run(ctx)
		}()
		<-seen
		assertAnswer(is, post(ns[0], freshTicket(is, ns[0])), http.StatusOK, "done")
		is.Equal(ns[0].backend.Total(), 0)
		cancel()
		<-done
	})
	t.Run("a timeout is not a refusal", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 3, nil)
		for _, n := range ns {
			n.backend.SetBehaviour(func(_ http.ResponseWriter, r *http.Request, run func()) {
				run()
				<-r.Context().Done()
			})
		}
		ticket := freshTicket(is, ns[0])
		a := send(t.Context(), ns[0], http.MethodPost, "/amend", "cut 7", ticket, HeaderTimeout, "300")
		assertAnswer(is, a, http.StatusGatewayTimeout, "unknown")
		assertAnswer(is, post(ns[1], ticket), http.StatusGatewayTimeout, "unknown")
		is.Equal(ns[0].backend.Total()+ns[1].backend.Total()+ns[2].backend.Total(), 1)
	})
	t.Run("an idempotent request is tried again after a lost connection", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		for _, n := range ns {
			n.backend.SetBehaviour(func(w http.ResponseWriter, _ *http.Request, run func()) {
				run()
				if ns[0].backend.Total()+ns[1].backend.Total() == 1 {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, "second")
			})
		}
		a := send(t.Context(), ns[0], http.MethodPut, "/sheet", "content", "")
		assertAnswer(is, a, http.StatusOK, "done")
		is.Equal(a.body, "second")
	})
	t.Run("a refusal after an attempt that may have run is not a refusal of the request", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		for _, n := range ns {
			n.backend.SetBehaviour(func(w http.ResponseWriter, r *http.Request, run func()) {
				if ns[0].backend.Total()+ns[1].backend.Total() > 0 {
					refuseRun(w, r, run)
					return
				}
				run()
				panic(http.ErrAbortHandler)
			})
		}
		a := send(t.Context(), ns[0], http.MethodPut, "/sheet", "content", "")
		assertAnswer(is, a, http.StatusGatewayTimeout, "unknown")
	})
	t.Run("digests reach the other agents", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ns[1].draining.Store(true)
		digests := make(chan *wirepb.Digest)
		ns[0].messenger.Handle(messenger.LaneControl, func(ctx context.Context, s *messenger.Stream) {
			for e, err := s.Receive(); err == nil; e, err = s.Receive() {
				select {
				case digests <- e.GetDigest():
				case <-ctx.Done():
					return
				}
			}
		})
		for digest := range digests {
			ns[0].observeDigest(digest)
			if digest.GetState() == "draining" {
				break
			}
		}
		_, ok := ns[0].pick(&job{excluded: []uint32{1}})
		is.True(!ok) // the other agent states that it drains
	})
}

// TestMove guards against requests that wait at a target that filled up after
// its digest was sent, and against requests that are given back for ever.
func TestMove(t *testing.T) {
	t.Run("a request given back once is placed again, then it waits", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		entered, release := make(chan struct{}), make(chan struct{})
		n.backend.SetBehaviour(func(_ http.ResponseWriter, _ *http.Request, run func()) {
			run()
			entered <- struct{}{}
			<-release
		})
		var wait sync.WaitGroup
		for range 4 { // two more than the slots
			wait.Go(func() { send(context.Background(), n, http.MethodPut, "/", "x", "") })
		}
		<-entered
		<-entered
		close(release)
		<-entered
		<-entered
		wait.Wait()
		is.Equal(n.backend.Total(), 4)
	})
	t.Run("a passed request above its wait limit is given back", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		entered, release := make(chan struct{}), make(chan struct{})
		n.backend.SetBehaviour(func(http.ResponseWriter, *http.Request, func()) {
			entered <- struct{}{}
			<-release
		})
		var wait sync.WaitGroup
		for range 2 {
			wait.Go(func() { send(context.Background(), n, http.MethodPut, "/", "x", "") })
		}
		<-entered
		<-entered
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		j := &job{
			id: n.nextID(), wanted: ctx, context: ctx, body: &body{}, hops: 1, maxQueueWait: time.Millisecond,
			deadline: time.Now().Add(10 * time.Second), idempotent: true, method: http.MethodPut, path: "/",
		}
		r := n.place(j, &sink{})
		is.Equal(r.reason, reasonMove)
		is.Equal(r.outcome, journaler.NotRun)
		close(release)
		wait.Wait()
	})
}
