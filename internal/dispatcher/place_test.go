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

// TestPassing guards against requests that fail although another target could
// run them, and against a second execution: a timeout or a lost connection does
// not show that the backend server did not run the request.
func TestPassing(t *testing.T) {
	t.Run("a request refused by the local backend server runs at another agent", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ns[0].backend.SetBehaviour(refuseRequest)
		got := post(ns[0], obtainTicket(is, ns[0]))
		assertResult(is, got, http.StatusOK, "done")
		is.Equal(ns[1].backend.Total(), 1)
	})
	t.Run("a backend server that accepts no connection counts as refusing", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ns[0].backend.Close()
		assertResult(is, post(ns[0], obtainTicket(is, ns[0])), http.StatusOK, "done")
		is.Equal(ns[1].backend.Total(), 1)
	})
	t.Run("a draining agent forwards its requests", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		ns[0].draining.Store(true)
		for range 5 {
			assertResult(is, post(ns[0], obtainTicket(is, ns[0])), http.StatusOK, "done")
		}
		is.Equal(ns[0].backend.Total(), 0)
		is.Equal(ns[1].backend.Total(), 5)
	})
	t.Run("a backend server that reports draining gets no new requests", func(t *testing.T) {
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
		assertResult(is, post(ns[0], obtainTicket(is, ns[0])), http.StatusOK, "done")
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
		ticket := obtainTicket(is, ns[0])
		got := send(t.Context(), ns[0], http.MethodPost, "/amend", "cut 7", ticket, HeaderTimeout, "300")
		assertResult(is, got, http.StatusGatewayTimeout, "unknown")
		assertResult(is, post(ns[1], ticket), http.StatusGatewayTimeout, "unknown")
		is.Equal(ns[0].backend.Total()+ns[1].backend.Total()+ns[2].backend.Total(), 1)
	})
	t.Run("an idempotent request is retried after a lost connection", func(t *testing.T) {
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
		got := send(t.Context(), ns[0], http.MethodPut, "/sheet", "content", "")
		assertResult(is, got, http.StatusOK, "done")
		is.Equal(got.body, "second")
	})
	t.Run("a refusal after an attempt that may have run leaves the outcome unknown", func(t *testing.T) {
		is := is.New(t)
		ns := newNodes(t, 2, nil)
		for _, n := range ns {
			n.backend.SetBehaviour(func(w http.ResponseWriter, r *http.Request, run func()) {
				if ns[0].backend.Total()+ns[1].backend.Total() > 0 {
					refuseRequest(w, r, run)
					return
				}
				run()
				panic(http.ErrAbortHandler)
			})
		}
		got := send(t.Context(), ns[0], http.MethodPut, "/sheet", "content", "")
		assertResult(is, got, http.StatusGatewayTimeout, "unknown")
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
		_, ok := ns[0].pickTarget(&job{excluded: []uint32{1}})
		is.True(!ok) // the other agent reports that it is draining
	})
}

// TestMove guards against requests that wait at a target that filled up after it
// sent its digest, and against requests that are rerouted endlessly.
func TestMove(t *testing.T) {
	t.Run("a request is rerouted once and then waits", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		started, release := make(chan struct{}), make(chan struct{})
		n.backend.SetBehaviour(func(_ http.ResponseWriter, _ *http.Request, run func()) {
			run()
			started <- struct{}{}
			<-release
		})
		var wait sync.WaitGroup
		for range 4 { // two more than the slots
			wait.Go(func() { send(context.Background(), n, http.MethodPut, "/", "x", "") })
		}
		<-started
		<-started
		close(release)
		<-started
		<-started
		wait.Wait()
		is.Equal(n.backend.Total(), 4)
	})
	t.Run("a forwarded request above its queue wait limit is rerouted", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		started, release := make(chan struct{}), make(chan struct{})
		n.backend.SetBehaviour(func(http.ResponseWriter, *http.Request, func()) {
			started <- struct{}{}
			<-release
		})
		var wait sync.WaitGroup
		for range 2 {
			wait.Go(func() { send(context.Background(), n, http.MethodPut, "/", "x", "") })
		}
		<-started
		<-started
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		j := &job{
			id: n.nextID(), waitContext: ctx, runContext: ctx, body: &body{}, hops: 1, maxQueueWait: time.Millisecond,
			deadline: time.Now().Add(10 * time.Second), idempotent: true, method: http.MethodPut, path: "/",
		}
		r := n.dispatch(j, &sink{})
		is.Equal(r.reason, reasonReroute)
		is.Equal(r.outcome, journaler.NotRun)
		close(release)
		wait.Wait()
	})
}
