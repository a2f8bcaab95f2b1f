package prober

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// poll returns the first hint from a backend server with the given responses.
func poll(t *testing.T, healthStatus int, health, load string) Hint {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Path == "/loadz" {
			io.WriteString(w, load)
			return
		}
		w.WriteHeader(healthStatus)
		io.WriteString(w, health)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	hints := make(chan Hint, 1)
	p, err := NewProber(Options{BaseURL: server.URL, Interval: time.Hour, Report: func(h Hint) { hints <- h }})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	hint := <-hints
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return hint
}

func TestProber(t *testing.T) {
	const load = `{"slots":2,"running":1,"queued":5,"shedding":true}`
	t.Run("health and load are reported as received", func(t *testing.T) {
		is := is.New(t)
		hint := poll(t, http.StatusOK, `{"state":"serving"}`, load)
		is.Equal(hint, Hint{state: StateServing, hasLoad: true, slots: 2, running: 1, queued: 5, shedding: true})
	})
	t.Run("a response with status 503 still gives its state", func(t *testing.T) {
		is := is.New(t)
		is.Equal(poll(t, http.StatusServiceUnavailable, `{"state":"draining"}`, load).State(), StateDraining)
	})
	t.Run("an invalid load response does not hide the health", func(t *testing.T) {
		is := is.New(t)
		hint := poll(t, http.StatusOK, `{"state":"warming"}`, `[]`)
		_, _, _, ok := hint.Load()
		is.Equal(hint.State(), StateWarming)
		is.True(!ok)
	})
	t.Run("an invalid health response counts as silent", func(t *testing.T) {
		is := is.New(t)
		is.Equal(poll(t, http.StatusTeapot, `{}`, load).State(), StateSilent)
	})
}
