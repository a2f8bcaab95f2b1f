package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/dispatcher"
	"kingcupvalve.example/kingcupvalve/internal/drainer"
)

var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s", r.Method, b)
})

func assertResponse(is *is.I, response *http.Response, err error, status int, backend string) {
	is.Helper()
	is.NoErr(err)
	is.Equal(response.StatusCode, status)
	is.Equal(response.Header.Get("Backend"), backend)
}

// postWithTicket sends a non-idempotent request with a ticket.
func postWithTicket(t *testing.T, c *cluster) (*http.Response, string, error) {
	t.Helper()
	client := c.newClient(t)
	response, _, err := do(client, newRequest(t, http.MethodPost, "/amend", "cut 7"))
	if err != nil {
		return nil, "", err
	}
	ticket := response.Header.Get(dispatcher.HeaderTicket)
	return do(client, newRequest(t, http.MethodPost, "/amend", "cut 7", dispatcher.HeaderTicket, ticket))
}

// TestServe guards against requests and responses that are changed, cut short
// unnoticed or left running on their way between a caller and the backend server.
func TestServe(t *testing.T) {
	t.Run("requests of all sizes pass balancer, agent and backend server", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, echo)
		client := c.newClient(t)
		for _, size := range []int{0, 1, 10_000, 1 << 20} {
			content := strings.Repeat("x", size)
			response, body, err := do(client, newRequest(t, http.MethodPut, "/sheet", content))
			assertResponse(is, response, err, http.StatusOK, "1")
			is.Equal(body, "PUT "+content)
			is.Equal(response.Header.Get(dispatcher.HeaderOutcome), "done")
		}
		is.Equal(len(c.members[0].Flows()), 1)
		is.Equal(c.members[0].Flows()[0].Requests(), uint64(4))
	})
	t.Run("a request with a ticket runs", func(t *testing.T) {
		is := is.New(t)
		response, body, err := postWithTicket(t, newCluster(t, 1, echo))
		assertResponse(is, response, err, http.StatusOK, "1")
		is.Equal(body, "POST cut 7")
	})
	t.Run("a header above the limit is refused", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, echo)
		response, _, err := do(c.newClient(t), newRequest(t, http.MethodGet, "/", "", "X-Large", strings.Repeat("x", 2*DefaultHeaderBytes)))
		is.True(err != nil || response.StatusCode == http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("a response cut short is an error for the caller", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "begin")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		_, _, err := do(c.newClient(t), newRequest(t, http.MethodGet, "/", ""))
		is.True(err != nil)
	})
	t.Run("a cancelled request is cancelled at the backend server", func(t *testing.T) {
		is := is.New(t)
		started, ended := make(chan struct{}), make(chan struct{})
		c := newCluster(t, 1, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(ended)
		}))
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-started
			cancel()
		}()
		_, _, err := do(c.newClient(t), newRequest(t, http.MethodGet, "/", "").WithContext(ctx))
		is.True(err != nil)
		<-ended
	})
}

// TestLostAgent guards against callers that wait for their idle timeout after
// their agent was killed.
func TestLostAgent(t *testing.T) {
	t.Run("callers of a lost agent get a stateless reset", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		client := c.newClient(t)
		response, err := client.RoundTrip(newRequest(t, http.MethodGet, "/feed", "", dispatcher.HeaderKind, "feed"))
		is.NoErr(err)
		defer response.Body.Close()
		c.newFlowTarget.Store(2)
		c.lostTarget.Store(1) // balancers flag packets of a killed agent
		_, err = io.ReadAll(response.Body)
		var reset *quic.StatelessResetError
		is.True(errors.As(err, &reset))
	})
}

// TestLostListener guards against an agent that runs on without serving, because its
// QUIC listener failed and nobody restarts the process.
func TestLostListener(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	is.NoErr(c.members[0].quic.Close())
	err := <-c.members[0].done
	is.True(errors.Is(err, quic.ErrServerClosed))
}

// TestShutdown guards against requests that a drain cuts off before its deadline,
// and against drains that wait for idle callers or past the deadline.
func TestShutdown(t *testing.T) {
	t.Run("a drain cuts off no request: running ones end, new flows and requests go to other agents, waiting callers are notified", func(t *testing.T) {
		is := is.New(t)
		started, release := make(chan struct{}), make(chan struct{})
		c := newCluster(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				close(started)
				<-release
			}
			echo(w, r)
		}))
		client := c.newClient(t)
		var wait sync.WaitGroup
		wait.Go(func() {
			is := is.New(t)
			response, body, err := do(client, newRequest(t, http.MethodPut, "/slow", "a", dispatcher.HeaderKind, "long"))
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, "PUT a")
		})
		notified := make(chan struct{})
		wait.Go(func() {
			is := is.New(t)
			response, _, err := do(client, newRequest(t, http.MethodGet, drainer.Path, ""))
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			close(notified)
		})
		<-started
		drained := make(chan error, 1)
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			drained <- c.members[0].Shutdown(ctx)
		})
		<-notified
		// New flows still reach the draining agent, as from a balancer that has
		// not learned of the drain yet.
		response, body, err := postWithTicket(t, c)
		assertResponse(is, response, err, http.StatusOK, "2")
		is.Equal(body, "POST cut 7")
		is.True(c.members[0].Counters()["forwarded"] > 0)
		is.Equal(len(c.members[1].Flows()), 1)
		close(release)
		is.NoErr(<-drained)
		wait.Wait()
		is.NoErr(<-c.members[0].done)
	})
	t.Run("what is left at the deadline is cut off and reported", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		response, err := c.newClient(t).RoundTrip(newRequest(t, http.MethodGet, "/feed", "", dispatcher.HeaderKind, "feed"))
		is.NoErr(err)
		defer response.Body.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		is.True(errors.Is(c.members[0].Shutdown(ctx), ErrCutOff))
		_, err = io.ReadAll(response.Body)
		is.True(err != nil)
		is.NoErr(<-c.members[0].done)
	})
	t.Run("an idle caller does not delay a drain", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, echo)
		_, _, err := do(c.newClient(t), newRequest(t, http.MethodGet, "/", ""))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		is.NoErr(c.members[0].Shutdown(ctx))
	})
}

// TestLeaving guards against a leaving target that still gets new work, and
// against one that gets none after its state is set back to serving.
func TestLeaving(t *testing.T) {
	t.Run("a target published as leaving gets no new work until it serves again", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, echo)
		client := c.newClient(t)
		wait := func() {
			response, _, err := do(client, newRequest(t, http.MethodGet, drainer.Path, ""))
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
		}
		_, _, err := do(client, newRequest(t, http.MethodPut, "/", "a"))
		is.NoErr(err)
		c.spec.Services[0].Targets[0].State = cataloger.TargetLeaving
		c.publish(t)
		wait()
		for range 5 {
			response, _, err := do(client, newRequest(t, http.MethodPut, "/", "a"))
			assertResponse(is, response, err, http.StatusOK, "2")
			response, _, err = postWithTicket(t, c)
			assertResponse(is, response, err, http.StatusOK, "2")
		}
		c.spec.Services[0].Targets[0].State = cataloger.TargetServing
		c.publish(t)
		for c.members[0].drainer.IsDraining() {
			<-time.After(statePollInterval / 10)
		}
		response, _, err := do(client, newRequest(t, http.MethodGet, "/feed", "", dispatcher.HeaderKind, "feed"))
		assertResponse(is, response, err, http.StatusOK, "1")
	})
}
