package dispatcher

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// job is the state of one request in the dispatcher.
type job struct {
	id uint64
	// waitContext is done when no one waits for the response any more; a request
	// that has not started is then cancelled. runContext is done when a request
	// that has started must be cancelled.
	waitContext context.Context
	runContext  context.Context
	method      string
	path        string
	authority   string
	header      http.Header
	body        *body
	ticket      string
	kind        estimator.Kind
	idempotent  bool
	arrived     time.Time
	deadline    time.Time
	hops        uint32
	caller      string
	excluded    []uint32
	attempts    int
	// maxQueueWait is the estimated queue wait above which it pays to select
	// another target; 0 means no limit.
	maxQueueWait time.Duration
	// rerouted is set once the request has exceeded maxQueueWait and a target was
	// selected again, which happens at most once.
	rerouted bool
}

// withDeadline returns a context that expires at the deadline of the job, if it
// has one.
func (j *job) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if j.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, j.deadline)
}

// isIdempotent reports whether a method is idempotent (RFC 9110, section 9.2.2).
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// fingerprint returns a hash of the request, by which a ticket that is reused
// for a different request is detected.
func (j *job) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{j.method, "\x00", j.path, "\x00", j.authority, "\x00", strconv.FormatInt(j.body.length, 10), "\x00"} {
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(j.body.prefix)
	return h.Sum64()
}

// requestTimeout returns the timeout of a request: the one that the caller sets
// in HeaderTimeout, or else the service's timeout for the kind.
func requestTimeout(header http.Header, kind estimator.Kind, policy cataloger.PolicySpec) time.Duration {
	if ms, err := strconv.ParseInt(header.Get(HeaderTimeout), 10, 64); err == nil && ms > 0 {
		return min(time.Duration(min(ms, maxRequestTimeout.Milliseconds()))*time.Millisecond, maxRequestTimeout)
	}
	if kind == estimator.Long {
		return time.Duration(policy.LongTimeoutMs) * time.Millisecond
	}
	return time.Duration(policy.ShortTimeoutMs) * time.Millisecond
}

// droppedFields are header fields that are not forwarded: hop-by-hop fields (RFC
// 9110, section 7.6.1), and Idempotency-Key, with which net/http retries a POST
// on its own.
var droppedFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Idempotency-Key": true, "X-Idempotency-Key": true, "Expect": true,
}

// filterHeader returns a copy of a header with only the fields to forward. Fields
// with headerPrefix are left out, because each hop sets its own.
func filterHeader(from http.Header) http.Header {
	hopByHop := make(map[string]bool)
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			hopByHop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	to := make(http.Header, len(from))
	for name, values := range from {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if droppedFields[canonical] || hopByHop[canonical] || strings.HasPrefix(canonical, headerPrefix) {
			continue
		}
		to[canonical] = append(to[canonical], values...)
	}
	return to
}

// kindHint returns the kind that a request declares: the value of HeaderKind, or
// feed if it accepts server-sent events, or an empty string.
func kindHint(header http.Header) string {
	if hint := header.Get(HeaderKind); hint != "" {
		return hint
	}
	if strings.Contains(header.Get("Accept"), "text/event-stream") {
		return estimator.Feed.String()
	}
	return ""
}
