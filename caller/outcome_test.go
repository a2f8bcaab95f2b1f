package caller

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/ansel1/merry/v2"
	"go.uber.org/goleak"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeder.SetSeed(41)
	goleak.VerifyTestMain(m)
}

// fakeFleet is the model for TestOutcomeProperties: agents that execute each
// ticket at most once, behind a network that loses requests and responses.
type fakeFleet struct {
	answers  []string
	minted   int
	runs     map[string]int
	maybeRun bool
	tickets  []string
	failure  string
}

func (w *fakeFleet) run(ticket string) {
	// The journal of the agent that issued a ticket executes it at most once.
	w.runs[ticket] = 1
}

// attempt answers one attempt with the next of the drawn answers.
func (w *fakeFleet) attempt(_ context.Context, r *request, _ []byte) *attempt {
	a := &attempt{state: stateNotRun, result: newResult(r.ticket), err: merry.New("not run")}
	isTicketless := needsTicket(r.method) && r.ticket == ""
	key := r.ticket
	if !isTicketless && (len(w.tickets) == 0 || w.tickets[len(w.tickets)-1] != key) {
		if w.maybeRun && needsTicket(r.method) {
			w.failure = fmt.Sprintf("ticket %q was replaced while an earlier attempt may have been executed", w.tickets[len(w.tickets)-1])
		}
		w.tickets = append(w.tickets, key)
	}
	answer := w.answers[0]
	w.answers = append(w.answers[1:], answer)
	switch {
	case answer == "428" || isTicketless && answer != "lost before" && answer != "busy" && answer != "rejected":
		w.minted++
		a.result.status = http.StatusPreconditionRequired
		a.result.header.Set(HeaderTicket, fmt.Sprint("ticket-", w.minted))
	case answer == "done":
		w.run(key)
		a.state, a.result.status = stateDone, http.StatusOK
	case answer == "truncated":
		w.run(key)
		a.state = stateTruncated
		w.maybeRun = true
	case answer == "lost before":
		a.state = stateUnanswered
		w.maybeRun = w.maybeRun || !isTicketless
	case answer == "lost after":
		w.run(key)
		a.state = stateUnanswered
		w.maybeRun = true
	case answer == "unknown", answer == "unknown but run":
		if answer != "unknown" {
			w.run(key)
		}
		a.state, a.result.status = stateUnknown, http.StatusGatewayTimeout
	case answer == "busy":
		a.result.status = http.StatusServiceUnavailable
	case answer == "421":
		a.result.status = http.StatusMisdirectedRequest
	}
	return a
}

func (w *fakeFleet) executions() (sum int) {
	for _, n := range w.runs {
		sum += n
	}
	return sum
}

// TestOutcomeProperties guards the guarantees of Do for any sequence of answers:
// a request reported as not run was not executed, and no request is executed
// under two tickets.
func TestOutcomeProperties(t *testing.T) {
	answer := rapid.SampledFrom([]string{
		"done", "truncated", "lost before", "lost after", "unknown", "unknown but run", "busy", "rejected", "428", "421",
	})
	rapid.Check(t, func(r *rapid.T) {
		w := &fakeFleet{runs: make(map[string]int), answers: rapid.SliceOfN(answer, 1, 10).Draw(r, "answers")}
		c := &Client{retries: rate.NewLimiter(rate.Inf, 1), attempt: w.attempt, options: Options{
			Authority: "a.example", MaxAttempts: rapid.IntRange(1, 8).Draw(r, "attempts"),
			RetryRefused: rapid.Bool().Draw(r, "retry refused"), MaxBodyBytes: 100,
		}}
		method := rapid.SampledFrom([]string{http.MethodPost, http.MethodPatch, http.MethodGet}).Draw(r, "method")
		var err error
		synctest.Test(t, func(t *testing.T) { _, err = c.Do(context.Background(), newRequest(t, method, "/", "")) })
		isNotRun, isTruncated := errors.Is(err, ErrNotRun), errors.Is(err, ErrTruncated)
		switch n := w.executions(); {
		case w.failure != "":
			r.Fatal(w.failure)
		case err != nil && !isNotRun && !isTruncated && !errors.Is(err, ErrOutcomeUnknown):
			r.Fatalf("untyped error %v", err)
		case n > 1 || isNotRun && n > 0 || (err == nil || isTruncated) && n == 0:
			r.Fatalf("%d executions for the error %v", n, err)
		}
	})
}
