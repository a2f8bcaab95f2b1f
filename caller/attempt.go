package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go/http3"
)

// state is what the client knows about an attempt after it has ended.
type state int

const (
	// stateNotRun: the request was not executed and will not be.
	stateNotRun state = iota
	// stateDone: a response arrived and is complete up to BufferBytes.
	stateDone
	// stateUnknown: the agent answered that the outcome is unknown.
	stateUnknown
	// stateUnanswered: the request was sent and no response arrived.
	stateUnanswered
	// stateTruncated: the response ended early within its first BufferBytes,
	// before any byte was returned to the user.
	stateTruncated
)

// attempt is the outcome of one attempt.
type attempt struct {
	state  state
	result *Result
	err    error
}

// Values of HeaderOutcome.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// send makes one attempt on the current connection.
func (c *Client) send(ctx context.Context, r *request, body []byte) *attempt {
	a := &attempt{state: stateNotRun, result: newResult(r.ticket)}
	conn, err := c.acquire(ctx)
	if err != nil {
		a.err = err
		return a
	}
	// The user reads the body after Do has returned, so the request context is
	// cancelled only when the body ends.
	ctx, cancel := context.WithCancel(ctx)
	finish := func() {
		cancel()
		conn.release()
	}
	response, isSent, err := conn.roundTrip(ctx, r, body)
	if err != nil {
		finish()
		a.err = err
		if isSent && !isRejected(err) {
			a.state = stateUnanswered
		}
		return a
	}
	a.result.status, a.result.header = response.StatusCode, response.Header
	a.state = classify(response)
	a.err = merry.Errorf("status %d", response.StatusCode)
	c.readPrefix(a, &responseBody{source: response.Body, finish: finish})
	return a
}

// readPrefix buffers the first BufferBytes of a response. A failure within them
// can be retried, as the user has not seen any of the body.
func (c *Client) readPrefix(a *attempt, body *responseBody) {
	prefix, err := io.ReadAll(io.LimitReader(body, int64(c.options.BufferBytes)))
	switch {
	case err != nil && a.state == stateDone:
		a.state, a.err = stateTruncated, err
	case a.state != stateDone || len(prefix) < c.options.BufferBytes:
		a.result.body = io.NopCloser(bytes.NewReader(prefix))
		_ = body.Close()
	default:
		a.result.body = prefixedBody{Reader: io.MultiReader(bytes.NewReader(prefix), body), Closer: body}
	}
}

// roundTrip sends a request. The second result reports whether any part of the
// request may have reached an agent.
func (n *connection) roundTrip(ctx context.Context, r *request, body []byte) (*http.Response, bool, error) {
	var isSent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Called while the header is encoded, before any byte is written.
		WroteHeaderField: func(string, []string) { isSent.Store(true) },
	})
	req, err := r.build(traced, body)
	if err != nil {
		return nil, false, err
	}
	if deadline, ok := ctx.Deadline(); ok && req.Header.Get(HeaderTimeout) == "" {
		remaining := max(1, time.Until(deadline).Milliseconds())
		req.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
	response, err := n.http.RoundTrip(req)
	return response, isSent.Load(), err
}

// isRejected reports whether the agent rejected the request before processing
// it, with H3_REQUEST_REJECTED (RFC 9114, section 8.1).
func isRejected(err error) bool {
	var failure *http3.Error
	return errors.As(err, &failure) && failure.Remote && failure.ErrorCode == http3.ErrCodeRequestRejected
}

// classify returns the outcome that a response states in HeaderOutcome. Without
// that header, status 421 or 428 means not run and a 5xx status unknown.
func classify(response *http.Response) state {
	switch response.Header.Get(HeaderOutcome) {
	case outcomeDone:
		return stateDone
	case outcomeNotRun:
		return stateNotRun
	case outcomeUnknown:
		return stateUnknown
	}
	switch {
	case response.StatusCode == http.StatusPreconditionRequired, response.StatusCode == http.StatusMisdirectedRequest:
		return stateNotRun
	case response.StatusCode >= http.StatusInternalServerError:
		return stateUnknown
	}
	return stateDone
}
