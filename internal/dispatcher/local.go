package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/journaler"
	"kingcupvalve.example/kingcupvalve/limiter"
)

var (
	swappedTotal   = metrics.GetOrCreateCounter("kingcupvalve_dispatcher_swapped_responses_total")
	truncatedTotal = metrics.GetOrCreateCounter("kingcupvalve_dispatcher_truncated_responses_total")
)

// admission is the decision on a request that waits in the queue.
type admission struct {
	admitted   bool
	retryAfter time.Duration
	reroute    bool
	draining   bool
}

// runLocal runs a request on the local backend server after it has obtained a
// slot.
func (d *Dispatcher) runLocal(j *job, s *sink) result {
	if r, ok := d.admit(j); !ok {
		r.local = true
		return r
	}
	started := time.Now()
	d.lock.Lock()
	d.estimator.RecordStart(j.kind, started)
	d.lock.Unlock()
	r := d.sendToBackend(j, s)
	r.local = true
	now := time.Now()
	r.duration = now.Sub(started)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.limiter.Finish(now, j.id, r.duration, r.targetResult)
	d.estimator.RecordFinish(j.kind, now, r.duration, r.targetResult)
	if r.targetResult == estimator.Succeeded {
		d.estimator.Learn(j.method, j.path, r.duration)
	}
	d.recordAttempt(d.options.Target, j, r, now)
	d.tickLimiter(now)
	return r
}

// admit waits for a slot. It returns false with the refusal if the request does
// not get one. If a slot is assigned at the same moment as the wait is cancelled,
// it is released, so that a refused request never runs.
func (d *Dispatcher) admit(j *job) (result, bool) {
	waiter := make(chan admission, 1)
	now := time.Now()
	d.lock.Lock()
	decision := d.limiter.Offer(now, limiter.Request{ID: j.id, Kind: j.kind, Deadline: j.deadline, MaxQueueWait: j.maxQueueWait})
	if decision.Verdict == limiter.Queue {
		d.waiters[j.id] = waiter
	}
	d.lock.Unlock()
	switch decision.Verdict {
	case limiter.Run:
		return result{}, true
	case limiter.Refuse:
		return admission{retryAfter: decision.RetryAfter, reroute: decision.Reroute}.result(), false
	}
	select {
	case v := <-waiter:
		return v.result(), v.admitted
	case <-j.waitContext.Done():
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.waiters, j.id)
	if !d.limiter.Cancel(time.Now(), j.id) {
		if v := <-waiter; v.admitted {
			d.limiter.Finish(time.Now(), j.id, 0, estimator.Cancelled)
			d.tickLimiter(time.Now())
		}
	}
	return notRun(failureReason(j.waitContext), estimator.Cancelled), false
}

func (a admission) result() result {
	r := notRun(reasonOverload, estimator.Refused)
	switch {
	case a.draining:
		r.reason = reasonDraining
	case a.reroute:
		r.reason = reasonReroute
	}
	r.retryAfter = a.retryAfter
	return r
}

// tickLimiter advances the limiter and notifies the queued requests that it
// admits or refuses. The caller holds the lock.
func (d *Dispatcher) tickLimiter(now time.Time) {
	d.evictQueued(now)
	changes := d.limiter.Tick(now)
	for _, id := range changes.Run {
		if waiter := d.waiters[id]; waiter != nil {
			waiter <- admission{admitted: true}
			delete(d.waiters, id)
		}
	}
	for _, r := range changes.Refuse {
		if waiter := d.waiters[r.ID]; waiter != nil {
			waiter <- admission{retryAfter: r.RetryAfter, reroute: r.Reroute}
			delete(d.waiters, r.ID)
		}
	}
}

// evictQueued refuses all queued requests while the local target is draining or
// leaving, so that they are retried on another target. A request left in the
// queue could otherwise start on the backend server many seconds later. The
// caller holds the lock.
func (d *Dispatcher) evictQueued(now time.Time) {
	if len(d.waiters) == 0 || !d.isDraining() {
		return
	}
	for id, waiter := range d.waiters {
		if d.limiter.Cancel(now, id) {
			waiter <- admission{draining: true}
			delete(d.waiters, id)
		}
	}
}

// sendToBackend sends a request to the local backend server and copies its
// response to the sink.
func (d *Dispatcher) sendToBackend(j *job, s *sink) result {
	ctx, cancel := j.withDeadline(j.runContext)
	defer cancel()
	if ctx.Err() != nil {
		return notRun(failureReason(ctx), estimator.Cancelled)
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport writes nothing before it has a connection. It calls
		// GotConn in the goroutine of RoundTrip, so no lock is needed.
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := d.newBackendRequest(ctx, j)
	if err != nil {
		return notRun(reasonRequestBody, estimator.Cancelled)
	}
	response, err := d.options.Transport.RoundTrip(request)
	if err != nil {
		if !connected {
			return notRun(reasonUnreachable, classifyFailure(ctx))
		}
		return unknown(failureReason(ctx), classifyFailure(ctx))
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(HeaderOutcome) == journaler.NotRun.String() {
		r := notRun(reasonRefused, estimator.Refused)
		if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
			r.retryAfter = time.Duration(seconds) * time.Second
		}
		return r
	}
	if echo := response.Header.Get(HeaderTicket); echo != "" && echo != j.ticket {
		swappedTotal.Inc()
		return unknown(reasonSwapped, estimator.Failed)
	}
	return d.copyResponse(ctx, j, response, s)
}

func (d *Dispatcher) newBackendRequest(ctx context.Context, j *job) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, j.method, d.options.BackendURL+j.path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Host = j.authority
	request.Header = j.header.Clone()
	if j.body.length != 0 {
		request.Body, request.ContentLength = io.NopCloser(j.body.reader()), j.body.length
	}
	if !j.deadline.IsZero() {
		remaining := max(time.Until(j.deadline).Milliseconds(), 1)
		request.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	if j.ticket != "" {
		request.Header.Set(HeaderTicket, j.ticket)
	}
	request.Header.Set(HeaderKind, j.kind.String())
	if j.caller != "" {
		request.Header.Set("X-Forwarded-For", j.caller)
	}
	return request, nil
}

// copyResponse copies a response of the backend server to the sink. It flushes
// after each read if the response is a feed or has no Content-Length.
func (d *Dispatcher) copyResponse(ctx context.Context, j *job, response *http.Response, s *sink) result {
	if err := s.writeHeader(response.StatusCode, filterHeader(response.Header)); err != nil {
		return unknown(reasonCancelled, estimator.Cancelled)
	}
	// Without Content-Length or chunked encoding, a complete body cannot be told
	// from a truncated one (RFC 9112, section 8).
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || j.method == http.MethodHead
	flush := j.kind == estimator.Feed || response.ContentLength < 0
	if flush {
		if err := s.flushNow(); err != nil {
			return unknown(reasonCancelled, estimator.Cancelled)
		}
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := s.write(buffer[:n]); err != nil {
				return unknown(reasonCancelled, estimator.Cancelled)
			}
			if flush {
				if err := s.flushNow(); err != nil {
					return unknown(reasonCancelled, estimator.Cancelled)
				}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && delimited:
			return done(response.StatusCode)
		case ctx.Err() != nil:
			return unknown(failureReason(ctx), classifyFailure(ctx))
		default:
			truncatedTotal.Inc()
			return unknown(reasonTruncated, estimator.Failed)
		}
	}
}

// failureReason returns the reason of a failure: the deadline, a cancellation or
// any other fault.
func failureReason(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reasonDeadline
	case ctx.Err() != nil:
		return reasonCancelled
	}
	return reasonFailed
}

// classifyFailure returns how a failed attempt counts in the target's statistics.
func classifyFailure(ctx context.Context) estimator.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return estimator.TimedOut
	case ctx.Err() != nil:
		return estimator.Cancelled
	}
	return estimator.Failed
}
