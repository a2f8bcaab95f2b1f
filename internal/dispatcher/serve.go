package dispatcher

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/journaler"
)

// ServeHTTP handles a request from a caller. It panics with
// http.ErrAbortHandler to reset the stream if the response ends incomplete.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service := d.currentService()
	if !service.HasName(r.Host) {
		refusal := refuseBeforeJournal(r, reasonAuthority)
		refusal.status = http.StatusMisdirectedRequest
		d.finishResponse(w, r, nil, nil, refusal)
		return
	}
	j, refusal, ok := d.newJob(w, r)
	if !ok {
		d.finishResponse(w, r, nil, nil, refusal)
		return
	}
	s := newCallerSink(w)
	var cancel context.CancelFunc
	j.waitContext, cancel = j.withDeadline(j.waitContext)
	defer cancel()
	var res result
	if j.idempotent {
		res = d.dispatch(j, s)
	} else {
		res = d.dispatchOnce(j, s)
	}
	d.finishResponse(w, r, j, s, res)
}

// newJob creates a job from a caller's request and reads the first part of its
// body. It returns false and the refusal if the request is not acceptable.
func (d *Dispatcher) newJob(w http.ResponseWriter, r *http.Request) (*job, result, bool) {
	now := time.Now()
	path := r.URL.RequestURI()
	d.lock.Lock()
	kind := d.estimator.Classify(r.Method, path, kindHint(r.Header))
	d.lock.Unlock()
	j := &job{
		id: d.nextID(), waitContext: r.Context(), runContext: r.Context(),
		method: r.Method, path: path, authority: r.Host, header: filterHeader(r.Header),
		ticket: r.Header.Get(HeaderTicket), kind: kind, idempotent: isIdempotent(r.Method),
		arrived: now,
	}
	if address, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		j.caller = address.Addr().String()
	}
	if r.Method == http.MethodConnect {
		refusal := notRun(reasonRequestBody, estimator.Refused)
		refusal.status = http.StatusMethodNotAllowed
		return nil, refusal, false
	}
	if !j.idempotent && j.ticket == "" {
		return nil, requireTicket(reasonTicketNeeded), false
	}
	if j.idempotent {
		j.ticket = ""
	} else if kind == estimator.Feed {
		j.kind = estimator.Short
	}
	timeout := requestTimeout(r.Header, j.kind, d.currentService().Policy())
	if j.kind != estimator.Feed {
		j.deadline = now.Add(timeout)
	}
	// A slow upload must not keep the stream open beyond the deadline.
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(timeout))
	var err error
	if j.body, err = readBody(r.Body, r.ContentLength); err != nil {
		refusal := refuseBeforeJournal(r, reasonRequestBody)
		refusal.status = http.StatusBadRequest
		return nil, refusal, false
	}
	return j, result{}, true
}

// refuseBeforeJournal refuses a request before its ticket is looked up in the
// journal. If it has a ticket the outcome is unknown, because an earlier copy
// may have been executed.
func refuseBeforeJournal(r *http.Request, reason string) result {
	if !isIdempotent(r.Method) && r.Header.Get(HeaderTicket) != "" {
		return unknown(reason, estimator.Refused)
	}
	return notRun(reason, estimator.Refused)
}

// finishResponse completes the response to a caller and records the outcome.
func (d *Dispatcher) finishResponse(w http.ResponseWriter, request *http.Request, j *job, s *sink, r result) {
	countResult(r)
	if s != nil && s.started {
		d.recordOutcome(j, r)
		if r.outcome != journaler.Done {
			panic(http.ErrAbortHandler) // resets the stream, because the response is incomplete
		}
		return
	}
	if r.replay != nil {
		d.options.RecordOutcome(OutcomeDone)
		if replay(r.replay, s) != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	d.recordOutcome(j, r)
	h := w.Header()
	h.Set(HeaderOutcome, r.outcome.String())
	h.Set("Kingcupvalve-Reason", r.reason)
	status := r.status
	switch {
	case r.outcome == journaler.Done: // executed, but the response is no longer available
		status = http.StatusGone
	case r.outcome == journaler.Unknown && status == 0:
		status = http.StatusGatewayTimeout
	case status == 0:
		status = http.StatusServiceUnavailable
		h.Set("Retry-After", formatRetryAfter(r.retryAfter))
	}
	if needsTicket := status == http.StatusPreconditionRequired || j != nil && !j.idempotent; needsTicket &&
		r.outcome == journaler.NotRun {
		if ticket := d.issueTicket(request.Context(), request.Host); ticket != "" {
			h.Set(HeaderTicket, ticket)
		}
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// recordOutcome reports the outcome of a request, from which the burn rate of
// the error budget is computed. A response that only issues a ticket is part of
// the protocol and does not count as a refusal.
func (d *Dispatcher) recordOutcome(j *job, r result) {
	if r.outcome == journaler.NotRun && r.reason == reasonTicketNeeded {
		return
	}
	d.options.RecordOutcome(d.classifyOutcome(j, r))
}

// classifyOutcome returns the outcome to report to Options.RecordOutcome.
func (d *Dispatcher) classifyOutcome(j *job, r result) string {
	switch {
	case r.outcome == journaler.NotRun:
		return OutcomeNotRun
	case j != nil && j.kind == estimator.Feed && r.reason == reasonCancelled:
		return OutcomeDone // a feed normally ends when its caller disconnects
	case r.outcome == journaler.Unknown && r.reason == reasonTruncated:
		return OutcomeTruncated
	case r.outcome == journaler.Unknown:
		return OutcomeUnknown
	case r.status >= 500:
		return OutcomeFailed
	}
	objective := time.Duration(d.currentService().Policy().ObjectiveLatencyMs) * time.Millisecond
	if j != nil && j.kind == estimator.Short && time.Since(j.arrived) > objective {
		return OutcomeLate
	}
	return OutcomeDone
}

// formatRetryAfter returns the value of a Retry-After field in seconds, rounded
// up and at least 1 (RFC 9110, section 10.2.3).
func formatRetryAfter(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}
