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

// verdict is what a queued request is told.
type verdict struct {
	run        bool
	retryAfter time.Duration
	move       bool
	leaving    bool
}

// runLocal runs a request on the local backend server once it has a slot.
func (d *Dispatcher) runLocal(j *job, s *sink) result {
	if r, ok := d.admit(j); !ok {
		r.local = true
		return r
	}
	started := time.Now()
	d.lock.Lock()
	d.estimator.RecordStart(j.kind, started)
	d.lock.Unlock()
	r := d.execute(j, s)
	r.local = true
	now := time.Now()
	r.duration = now.Sub(started)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.limiter.Finish(now, j.id, r.duration, r.judged)
	d.estimator.RecordFinish(j.kind, now, r.duration, r.judged)
	if r.judged == estimator.Succeeded {
		d.estimator.Learn(j.method, j.path, r.duration)
	}
	d.observe(d.options.Target, j, r, now)
	d.tickLimiter(now)
	return r
}

// admit waits for a slot. It returns false with the refusal when the request
// gets none; a slot that came in the same moment is given back, so that a
// refused request never runs.
func (d *Dispatcher) admit(j *job) (result, bool) {
	waiter := make(chan verdict, 1)
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
		return verdict{retryAfter: decision.RetryAfter, move: decision.Reroute}.result(), false
	}
	select {
	case v := <-waiter:
		return v.result(), v.run
	case <-j.wanted.Done():
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.waiters, j.id)
	if !d.limiter.Cancel(time.Now(), j.id) {
		if v := <-waiter; v.run {
			d.limiter.Finish(time.Now(), j.id, 0, estimator.Cancelled)
			d.tickLimiter(time.Now())
		}
	}
	return notRun(contextReason(j.wanted), estimator.Cancelled), false
}

func (v verdict) result() result {
	r := notRun(reasonOverload, estimator.Refused)
	switch {
	case v.leaving:
		r.reason = reasonDraining
	case v.move:
		r.reason = reasonMove
	}
	r.retryAfter = v.retryAfter
	return r
}

// tickLimiter tells queued requests what became of them. The lock is held.
func (d *Dispatcher) tickLimiter(now time.Time) {
	d.releaseQueue(now)
	changes := d.limiter.Tick(now)
	for _, id := range changes.Run {
		if waiter := d.waiters[id]; waiter != nil {
			waiter <- verdict{run: true}
			delete(d.waiters, id)
		}
	}
	for _, r := range changes.Refuse {
		if waiter := d.waiters[r.ID]; waiter != nil {
			waiter <- verdict{retryAfter: r.RetryAfter, move: r.Reroute}
			delete(d.waiters, r.ID)
		}
	}
}

// releaseQueue gives back the queued requests of a target that is leaving, so
// that they run elsewhere: a request that waits for a slot would otherwise be
// new work for its backend server many seconds later. The lock is held.
func (d *Dispatcher) releaseQueue(now time.Time) {
	if len(d.waiters) == 0 || !d.isDraining() {
		return
	}
	for id, waiter := range d.waiters {
		if d.limiter.Cancel(now, id) {
			waiter <- verdict{leaving: true}
			delete(d.waiters, id)
		}
	}
}

// execute sends a request to the local backend server and passes its response
// to the sink.
func (d *Dispatcher) execute(j *job, s *sink) result {
	ctx, cancel := j.limit(j.context)
	defer cancel()
	if ctx.Err() != nil {
		return notRun(contextReason(ctx), estimator.Cancelled)
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport writes nothing before it has a connection and reports
		// it in the goroutine of RoundTrip.
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := d.newRequest(ctx, j)
	if err != nil {
		return notRun(reasonBody, estimator.Cancelled)
	}
	transport := d.options.Transport
	if !j.idempotent {
		transport = d.options.TicketTransport
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		if !connected {
			return notRun(reasonUnreachable, judge(ctx))
		}
		return unknown(contextReason(ctx), judge(ctx))
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
	return d.pass(ctx, j, response, s)
}

func (d *Dispatcher) newRequest(ctx context.Context, j *job) (*http.Request, error) {
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
		left := max(time.Until(j.deadline).Milliseconds(), 1)
		request.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
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

// pass copies a response to the sink.
func (d *Dispatcher) pass(ctx context.Context, j *job, response *http.Response, s *sink) result {
	if err := s.start(response.StatusCode, filterHeader(response.Header)); err != nil {
		return unknown(reasonCancelled, estimator.Cancelled)
	}
	// Only a stated length or chunks tell a complete body from one cut short
	// (RFC 9112, 8).
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || j.method == http.MethodHead
	flush := j.kind == estimator.Feed || response.ContentLength < 0
	if flush {
		if err := s.flushNow(); err != nil {
			return unknown(reasonCancelled, estimator.Cancelled)
		}
	}
	buffer := make([]byte, copySize)
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
			return unknown(contextReason(ctx), judge(ctx))
		default:
			truncatedTotal.Inc()
			return unknown(reasonTruncated, estimator.Failed)
		}
	}
}

// contextReason names why work was given up.
func contextReason(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reasonDeadline
	case ctx.Err() != nil:
		return reasonCancelled
	}
	return reasonFailed
}

// judge returns what a failed attempt says about the target.
func judge(ctx context.Context) estimator.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return estimator.TimedOut
	case ctx.Err() != nil:
		return estimator.Cancelled
	}
	return estimator.Failed
}
