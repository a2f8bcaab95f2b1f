package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/journaler"
	"kingcupvalve.example/kingcupvalve/minter"
)

// dispatchOnce executes a request with a ticket at most once. If the request has
// been executed before, it returns the recorded result.
func (d *Dispatcher) dispatchOnce(j *job, s *sink) result {
	ticket, err := d.minter.Parse(j.ticket)
	switch {
	case errors.Is(err, minter.ErrUnknownKey):
		return unknown(reasonTicketKeyUnknown, estimator.Refused)
	case errors.Is(err, minter.ErrForged):
		return requireTicket(reasonTicketForged)
	case err != nil:
		return requireTicket(reasonTicketMalformed)
	case ticket.Service() != d.options.Service:
		// Only the agents of the ticket's service know its outcome.
		return unknown(reasonTicketService, estimator.Refused)
	}
	for {
		d.lock.Lock()
		decision := d.journal.Begin(ticket, j.fingerprint(), time.Now())
		finished := d.inFlight[ticket.Serial()]
		if decision.Action() == journaler.Start {
			finished = make(chan struct{})
			d.inFlight[ticket.Serial()] = finished
		}
		d.lock.Unlock()
		switch decision.Action() {
		case journaler.Start:
			return d.runOnce(j, ticket, s, finished)
		case journaler.Replay:
			return recordedResult(decision)
		case journaler.Foreign:
			return d.forwardToMinter(j, ticket, s)
		case journaler.Mismatch:
			r := notRun(reasonTicketReused, estimator.Refused)
			r.status = http.StatusUnprocessableEntity
			return r
		}
		select {
		case <-finished:
		case <-j.waitContext.Done():
			return unknown(failureReason(j.waitContext), estimator.Cancelled)
		}
	}
}

// requireTicket refuses a request that lacks a usable ticket.
func requireTicket(reason string) result {
	r := notRun(reason, estimator.Refused)
	r.status = http.StatusPreconditionRequired
	return r
}

// runOnce executes a request for which a journal record was started. The
// execution continues after the caller disconnects, because the caller may repeat
// the request.
func (d *Dispatcher) runOnce(j *job, ticket minter.Ticket, s *sink, finished chan struct{}) result {
	ctx, cancel := context.WithCancel(context.WithoutCancel(j.runContext))
	defer cancel()
	stop := context.AfterFunc(d.aborted, cancel)
	defer stop()
	j.runContext = ctx
	recorder, recording := newRecordingSink(s, d.journal.ResponseBytes())
	r := d.dispatch(j, recorder)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.journal.Finish(ticket.Serial(), r.outcome, recording.response(), time.Now())
	delete(d.inFlight, ticket.Serial())
	close(finished)
	return r
}

// recordedResult returns the result of a request that the journal has decided
// without executing it.
func recordedResult(decision journaler.Decision) result {
	r := result{outcome: decision.Outcome(), targetResult: estimator.Cancelled, replay: decision.Response()}
	switch decision.Reason() {
	case journaler.Expired:
		r.reason = reasonTicketExpired
	case journaler.Full:
		r.reason = reasonJournalFull
	case journaler.Forgotten:
		r.reason = reasonRecordGone
	default:
		r.reason = reasonRecorded
		if r.outcome == journaler.Done && r.replay == nil {
			r.reason = reasonResponseNotKept
		}
	}
	r.status = closedTicketStatus(r)
	return r
}

// closedTicketStatus returns the HTTP status of a result. It is 428 if the ticket
// can no longer be used, so that the caller repeats the request with a new one
// rather than being refused every time.
func closedTicketStatus(r result) int {
	if r.outcome == journaler.NotRun && (r.reason == reasonRecorded || r.reason == reasonTicketExpired) {
		return http.StatusPreconditionRequired
	}
	return r.status
}

// forwardToMinter forwards a request to the agent that issued its ticket. If that
// agent does not respond, the outcome is unknown, because it may have executed
// the request earlier.
func (d *Dispatcher) forwardToMinter(j *job, ticket minter.Ticket, s *sink) result {
	if ticket.Target() == d.options.Target {
		return unknown(reasonMinterGone, estimator.Refused)
	}
	r := d.forward(j, ticket.Target(), s, &wirepb.RequestHeader{Hops: 1, ToMinter: true})
	if r.outcome == journaler.NotRun && r.targetResult != estimator.Refused { // the refusal is not from the minter
		return unknown(reasonMinterGone, r.targetResult)
	}
	r.status = closedTicketStatus(r)
	return r
}
