package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// recordedOutcomes sends requests to one agent and returns the outcomes that it
// reported to Options.RecordOutcome.
func recordedOutcomes(t *testing.T, requests func(n *node)) []string {
	t.Helper()
	var lock sync.Mutex
	var outcomes []string
	n := newNodes(t, 1, func(o *Options) {
		o.RecordOutcome = func(outcome string) {
			lock.Lock()
			defer lock.Unlock()
			outcomes = append(outcomes, outcome)
		}
	})[0]
	requests(n)
	lock.Lock()
	defer lock.Unlock()
	return outcomes
}

// TestRecord guards against error budget spent on normal operation: issuing a
// ticket is answered with 428, and a feed ends when its caller disconnects.
func TestRecord(t *testing.T) {
	t.Run("a response that issues a ticket spends no error budget", func(t *testing.T) {
		is := is.New(t)
		outcomes := recordedOutcomes(t, func(n *node) { post(n, obtainTicket(is, n)) })
		is.Equal(outcomes, []string{OutcomeDone})
	})
	t.Run("a feed that its caller closes spends no error budget", func(t *testing.T) {
		is := is.New(t)
		outcomes := recordedOutcomes(t, func(n *node) {
			ctx, cancel := context.WithCancel(t.Context())
			n.backend.SetBehaviour(func(w http.ResponseWriter, r *http.Request, _ func()) {
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				cancel()
				<-r.Context().Done()
			})
			send(ctx, n, http.MethodGet, "/feed", "", "", HeaderKind, "feed")
		})
		is.Equal(outcomes, []string{OutcomeDone})
	})
}
