package caller

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Bounds of the exponential backoff between attempts.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// request holds a request with its buffered body, so that it can be sent several
// times.
type request struct {
	method string
	url    string
	header http.Header
	body   []byte
	ticket string
	// maybeRun is set once an attempt with the ticket may have been executed.
	// A new ticket could execute the request a second time, so the ticket must
	// not be replaced after that.
	maybeRun bool
}

// Do sends a request and returns when the outcome is known, all attempts are
// used up or the context ends. The scheme and host of the request's URL are
// replaced by those of the client. The Result is nil only if the request is
// invalid. If the error is nil, the body of the Result must be closed.
//
// A request that may have been executed is retried only if its method is
// idempotent or if it has a ticket, which the retry reuses.
func (c *Client) Do(ctx context.Context, r *http.Request) (*Result, error) {
	req, err := c.newRequest(r)
	if err != nil {
		return nil, err
	}
	for n := 0; ; {
		a := c.try(ctx, req)
		if a.isTicketAnswer() && !req.maybeRun && req.ticket == "" {
			req.ticket = a.result.header.Get(HeaderTicket)
			continue
		}
		wait, isDone, err := c.decideRetry(req, a, n)
		if isDone {
			return a.result, err
		}
		n++
		if n >= c.options.MaxAttempts {
			return a.result, err
		}
		if !c.retries.Allow() {
			return a.result, merry.Prepend(err, "retry rate exhausted")
		}
		if cause := sleep(ctx, wait); cause != nil {
			return a.result, merry.Prepend(err, "wait for next attempt: "+cause.Error())
		}
	}
}

// try makes one attempt. A request that needs a ticket and has none is sent
// without its body; an agent answers it with status 428 and a new ticket.
func (c *Client) try(ctx context.Context, req *request) *attempt {
	if !needsTicket(req.method) || req.ticket != "" {
		return c.attempt(ctx, req, req.body)
	}
	a := c.attempt(ctx, req, nil)
	switch a.state {
	case stateDone:
		_ = a.result.body.Close()
		a.state = stateUnknown
	case stateUnanswered, stateTruncated:
		// Agents never execute such a request without a ticket.
		a.state = stateNotRun
	}
	return a
}

// isTicketAnswer reports whether the response is a refusal with a new ticket.
func (a *attempt) isTicketAnswer() bool {
	return a.state == stateNotRun && a.result.status == http.StatusPreconditionRequired &&
		a.result.header.Get(HeaderTicket) != ""
}

// decideRetry reports whether the request is done after attempt n, and otherwise
// the time until the next attempt. The error is returned to the user if no
// further attempt is made.
func (c *Client) decideRetry(req *request, a *attempt, n int) (wait time.Duration, isDone bool, err error) {
	switch a.state {
	case stateDone:
		return 0, true, nil
	case stateUnknown:
		return 0, true, merry.Prependf(ErrOutcomeUnknown, "status %d", a.result.status)
	case stateTruncated:
		req.maybeRun = true
		return backoff(n), false, merry.Prepend(merry.Wrap(ErrTruncated, merry.WithCause(a.err)), "read response")
	case stateUnanswered:
		req.maybeRun = true
		return backoff(n), false, merry.Prepend(merry.Wrap(ErrOutcomeUnknown, merry.WithCause(a.err)), "read response")
	}
	err = merry.Wrap(ErrNotRun, merry.WithCause(a.err))
	if req.maybeRun {
		// This attempt was not executed, but an earlier one may have been.
		err = merry.Wrap(ErrOutcomeUnknown, merry.WithCause(a.err))
	}
	switch a.result.status {
	case 0:
		return backoff(n), false, err
	case http.StatusPreconditionRequired:
		if req.maybeRun || !a.isTicketAnswer() {
			return 0, true, err
		}
		req.ticket = a.result.header.Get(HeaderTicket)
		a.result.ticket = req.ticket
		return 0, false, err
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if c.options.RetryRefused || req.maybeRun {
			return max(backoff(n), a.result.RetryAfter()), false, err
		}
	}
	return 0, true, err
}

func (c *Client) newRequest(r *http.Request) (*request, error) {
	path := r.URL.RequestURI()
	req := &request{method: r.Method, url: c.url(path), header: r.Header.Clone(), ticket: r.Header.Get(HeaderTicket)}
	if req.header == nil {
		req.header = http.Header{}
	}
	// The user may have sent this ticket before.
	req.maybeRun = req.ticket != ""
	req.header.Del(HeaderTicket)
	if r.Body == nil {
		return req, nil
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(r.Body, c.options.MaxBodyBytes+1))
	if err != nil {
		return nil, merry.Prepend(err, "read request body")
	}
	if int64(len(body)) > c.options.MaxBodyBytes {
		return nil, merry.Errorf("read request body: more than %d bytes", c.options.MaxBodyBytes)
	}
	req.body = body
	return req, nil
}

// build returns the HTTP request for one attempt.
func (r *request) build(ctx context.Context, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Prepend(err, "build request")
	}
	if len(body) == 0 {
		req.Body, req.ContentLength = http.NoBody, 0
	}
	req.Header = r.header.Clone()
	if r.ticket != "" {
		req.Header.Set(HeaderTicket, r.ticket)
	}
	return req, nil
}

// backoff returns the time to wait after attempt n, with full jitter.
func backoff(n int) time.Duration {
	return rand.N(min(maxBackoff, minBackoff<<min(n, 10))) + time.Millisecond
}

func sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
