package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

func newRequest(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "https://ignored"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// ticketRecorder stands for the tickets of an agent: it issues them and records
// those of the requests received.
type ticketRecorder struct {
	mutex   sync.Mutex
	minted  int
	tickets []string
}

// handler refuses requests without a ticket and issues one. It passes others to
// answer, with the number of the attempt.
func (j *ticketRecorder) handler(answer func(w http.ResponseWriter, body string, attempt int)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		j.mutex.Lock()
		ticket := r.Header.Get(HeaderTicket)
		if ticket == "" {
			j.minted++
			w.Header().Set(HeaderTicket, fmt.Sprintf("ticket-%d", j.minted))
			w.Header().Set(HeaderOutcome, outcomeNotRun)
			w.WriteHeader(http.StatusPreconditionRequired)
			j.mutex.Unlock()
			return
		}
		j.tickets = append(j.tickets, ticket)
		n := len(j.tickets)
		j.mutex.Unlock()
		body, _ := io.ReadAll(r.Body)
		answer(w, string(body), n)
	}
}

// receivedTickets returns the tickets of all requests that had one, in order.
func (j *ticketRecorder) receivedTickets() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.tickets)
}

func done(w http.ResponseWriter, text string) {
	w.Header().Set(HeaderOutcome, outcomeDone)
	_, _ = io.WriteString(w, text)
}

func assertOutcome(t *testing.T, result *Result, err, want error, body string) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
	if want != nil {
		for _, other := range []error{ErrNotRun, ErrOutcomeUnknown, ErrTruncated} {
			if other != want && errors.Is(err, other) {
				t.Fatalf("error %v is also %v", err, other)
			}
		}
		return
	}
	if b, err := result.ReadAll(); err != nil || string(b) != body {
		t.Fatalf("read %q, %v; want %q", b, err, body)
	}
}

func TestTickets(t *testing.T) {
	t.Run("a ticket is fetched by a request without body and sent with the body", func(t *testing.T) {
		is := is.New(t)
		a, options := newAgent(t)
		j := &ticketRecorder{}
		a.Handle("/amend", j.handler(func(w http.ResponseWriter, body string, _ int) { done(w, "ran "+body) }))
		result, err := do(t, dial(t, options), newRequest(t, http.MethodPost, "/amend", "cut 3"))
		assertOutcome(t, result, err, nil, "ran cut 3")
		is.Equal(result.Ticket(), "ticket-1")
	})
	t.Run("a request whose response was lost is retried with the same ticket", func(t *testing.T) {
		is := is.New(t)
		a, options := newAgent(t)
		j := &ticketRecorder{}
		a.Handle("/amend", j.handler(func(w http.ResponseWriter, _ string, attempt int) {
			if attempt < 3 {
				panic(http.ErrAbortHandler)
			}
			done(w, "stored answer")
		}))
		result, err := do(t, dial(t, options), newRequest(t, http.MethodPatch, "/amend", "x"))
		assertOutcome(t, result, err, nil, "stored answer")
		is.Equal(j.receivedTickets(), []string{"ticket-1", "ticket-1", "ticket-1"})
	})
	t.Run("after a lost response no other ticket is used", func(t *testing.T) {
		is := is.New(t)
		a, options := newAgent(t)
		j := &ticketRecorder{}
		a.Handle("/amend", j.handler(func(w http.ResponseWriter, _ string, attempt int) {
			if attempt == 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(HeaderTicket, "ticket-other")
			w.Header().Set(HeaderOutcome, outcomeNotRun)
			w.WriteHeader(http.StatusPreconditionRequired)
		}))
		result, err := do(t, dial(t, options), newRequest(t, http.MethodPost, "/amend", "x"))
		assertOutcome(t, result, err, ErrOutcomeUnknown, "")
		is.Equal(result.Ticket(), "ticket-1")
		is.Equal(j.receivedTickets(), []string{"ticket-1", "ticket-1"})
	})
	t.Run("a ticket refused as not run is replaced by the new one", func(t *testing.T) {
		is := is.New(t)
		a, options := newAgent(t)
		j := &ticketRecorder{}
		a.Handle("/amend", j.handler(func(w http.ResponseWriter, _ string, attempt int) {
			if attempt > 1 {
				done(w, "ran")
				return
			}
			w.Header().Set(HeaderTicket, "ticket-fresh")
			w.WriteHeader(http.StatusPreconditionRequired)
		}))
		result, err := do(t, dial(t, options), newRequest(t, http.MethodPost, "/amend", "x"))
		assertOutcome(t, result, err, nil, "ran")
		is.Equal(j.receivedTickets(), []string{"ticket-1", "ticket-fresh"})
	})
	t.Run("a request rejected before processing is retried", func(t *testing.T) {
		a, options := newAgent(t)
		j := &ticketRecorder{}
		a.Handle("/amend", j.handler(func(w http.ResponseWriter, _ string, attempt int) {
			if attempt == 1 {
				reject(w)
				return
			}
			done(w, "ran")
		}))
		result, err := do(t, dial(t, options), newRequest(t, http.MethodPost, "/amend", "x"))
		assertOutcome(t, result, err, nil, "ran")
	})
}

func TestOutcomes(t *testing.T) {
	refuse := func(status int, outcome string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderOutcome, outcome)
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(status)
		}
	}
	a, options := newAgent(t)
	a.Handle("/busy", refuse(http.StatusServiceUnavailable, outcomeNotRun))
	a.Handle("/misdirected", refuse(http.StatusMisdirectedRequest, ""))
	a.Handle("/unknown", refuse(http.StatusGatewayTimeout, outcomeUnknown))
	a.Handle("/failed", refuse(http.StatusInternalServerError, outcomeDone))
	a.Handle("/rejected", func(w http.ResponseWriter, _ *http.Request) { reject(w) })
	a.Handle("/lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	attempts := 0
	a.Handle("/flaky", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, outcomeDone)
		_, _ = io.WriteString(w, "whole")
		if attempts++; attempts == 1 {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	a.Handle("/bundle", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderOutcome, outcomeDone)
		_, _ = w.Write(bytes.Repeat([]byte("b"), 4*DefaultBufferBytes))
		if r.URL.RawQuery == "cut" {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	c := dial(t, options)
	for path, want := range map[string]error{
		"/busy": ErrNotRun, "/misdirected": ErrNotRun, "/rejected": ErrNotRun,
		"/unknown": ErrOutcomeUnknown, "/lost": ErrOutcomeUnknown, "/failed": nil,
	} {
		t.Run("the error of "+path+" matches its outcome", func(t *testing.T) {
			result, err := do(t, c, newRequest(t, http.MethodGet, path, ""))
			assertOutcome(t, result, err, want, "")
		})
	}
	t.Run("a refusal states the time to retry after", func(t *testing.T) {
		is := is.New(t)
		result, err := do(t, c, newRequest(t, http.MethodGet, "/busy", ""))
		is.True(errors.Is(err, ErrNotRun))
		is.Equal(result.RetryAfter().Seconds(), 7.0)
	})
	t.Run("a truncated response within BufferBytes is retried", func(t *testing.T) {
		result, err := do(t, c, newRequest(t, http.MethodGet, "/flaky", ""))
		assertOutcome(t, result, err, nil, "whole")
	})
	t.Run("a truncated response beyond BufferBytes is reported as truncated", func(t *testing.T) {
		is := is.New(t)
		result, err := do(t, c, newRequest(t, http.MethodGet, "/bundle?cut", ""))
		is.NoErr(err)
		_, err = result.ReadAll()
		is.True(errors.Is(err, ErrTruncated))
	})
	t.Run("a response beyond BufferBytes arrives complete", func(t *testing.T) {
		result, err := do(t, c, newRequest(t, http.MethodGet, "/bundle", ""))
		assertOutcome(t, result, err, nil, strings.Repeat("b", 4*DefaultBufferBytes))
	})
}
