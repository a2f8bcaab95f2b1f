package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

func assertResult(is *is.I, got callerResult, status int, outcome string) {
	is.Helper()
	is.Equal(got.status, status)
	is.Equal(got.outcome(), outcome)
	is.True(!got.aborted)
}

// obtainTicket returns the ticket that an agent issues with a 428 response.
func obtainTicket(is *is.I, n *node) string {
	is.Helper()
	got := send(context.Background(), n, http.MethodPost, "/amend", "x", "")
	assertResult(is, got, http.StatusPreconditionRequired, "not_run")
	return got.header.Get(HeaderTicket)
}

func post(n *node, ticket string) callerResult {
	return send(context.Background(), n, http.MethodPost, "/amend", "cut 7", ticket)
}

// TestServeHTTP guards against a proxy that alters what it forwards: hop-by-hop
// fields that reach the backend server, requests for another service or past
// their deadline that are executed, truncated responses that look complete, and
// feeds that are held back in a buffer.
func TestServeHTTP(t *testing.T) {
	t.Run("a request gets the response of its backend server", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		got := send(t.Context(), n, http.MethodPut, "/sheet?page=2", "content", "", "Idempotency-Key", "k", "Connection", "X-Hop", "X-Hop", "1", "X-Keep", "2")
		assertResult(is, got, http.StatusOK, "done")
		is.Equal(got.body, "PUT /sheet content")
		h := n.backend.Header()
		is.Equal(h.Get("X-Keep"), "2")
		is.Equal(h.Get("X-Hop"), "")
		is.Equal(h.Get("Idempotency-Key"), "") // net/http would retry the request
		is.True(h.Get(HeaderDeadline) != "")
	})
	t.Run("a request for the authority of another service is not run", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		r := httptest.NewRequest(http.MethodGet, "https://archive.example/", nil)
		w := httptest.NewRecorder()
		n.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusMisdirectedRequest)
		is.Equal(w.Header().Get(HeaderOutcome), "not_run")
		is.Equal(n.backend.Total(), 0)
	})
	t.Run("a request that cannot finish in time is refused with Retry-After", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		got := send(t.Context(), n, http.MethodGet, "/", "", "", HeaderTimeout, "1")
		assertResult(is, got, http.StatusServiceUnavailable, "not_run")
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(n.backend.Total(), 0)
	})
	t.Run("a truncated body and one without a defined length are not forwarded as complete", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 1, nil)[0]
		for _, head := range []string{"Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n", ""} {
			n.backend.SetBehaviour(func(w http.ResponseWriter, _ *http.Request, _ func()) {
				c, _, _ := w.(http.Hijacker).Hijack()
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Connection: close\r\n\r\n5\r\nhello")
				_ = c.Close()
			})
			is.True(send(t.Context(), n, http.MethodGet, "/", "", "").aborted)
		}
	})
	t.Run("a feed is streamed without buffering and refused while draining", func(t *testing.T) {
		is := is.New(t)
		n := newNodes(t, 2, nil)[0]
		next := make(chan string)
		n.backend.SetBehaviour(func(w http.ResponseWriter, r *http.Request, _ func()) {
			for {
				select {
				case line := <-next:
					_, _ = io.WriteString(w, line)
					_ = http.NewResponseController(w).Flush()
				case <-r.Context().Done():
					return
				}
			}
		})
		front := httptest.NewServer(n)
		defer front.Close()
		ctx, cancel := context.WithCancel(t.Context())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, front.URL+"/feed", nil)
		is.NoErr(err)
		r.Host = authority
		r.Header.Set("Accept", "text/event-stream")
		sent := make(chan struct{})
		go func() {
			next <- "id: 1\n"
			close(sent)
		}()
		response, err := http.DefaultTransport.RoundTrip(r)
		is.NoErr(err)
		b := make([]byte, 6)
		_, err = io.ReadFull(response.Body, b)
		is.NoErr(err)
		<-sent
		cancel()
		response.Body.Close()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		n.draining.Store(true)
		got := send(t.Context(), n, http.MethodGet, "/feed", "", "", HeaderKind, "feed")
		assertResult(is, got, http.StatusServiceUnavailable, "not_run")
	})
}
