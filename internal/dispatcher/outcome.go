package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/journaler"
)

// Outcomes that are passed to Options.RecordOutcome.
const (
	OutcomeDone      = "done"
	OutcomeLate      = "late"
	OutcomeFailed    = "failed"
	OutcomeNotRun    = "not_run"
	OutcomeUnknown   = "unknown"
	OutcomeTruncated = "truncated"
)

// Reasons of results, sent in refusals and responses and used as the reason label
// of metrics.
const (
	reasonAuthority        = "authority"
	reasonTicketNeeded     = "ticket_needed"
	reasonTicketMalformed  = "ticket_malformed"
	reasonTicketForged     = "ticket_forged"
	reasonTicketKeyUnknown = "ticket_key_unknown"
	reasonTicketReused     = "ticket_reused"
	reasonTicketService    = "ticket_service"
	reasonTicketExpired    = "ticket_expired"
	reasonJournalFull      = "journal_full"
	reasonRecordGone       = "record_gone"
	reasonRecorded         = "recorded"
	reasonResponseNotKept  = "response_not_kept"
	reasonMinterGone       = "minter_gone"
	reasonOverload         = "overload"
	reasonDraining         = "draining"
	reasonNoTarget         = "no_target"
	reasonUnreachable      = "unreachable"
	reasonRefused          = "refused"
	reasonCancelled        = "cancelled"
	reasonDeadline         = "deadline"
	reasonRequestBody      = "request_body"
	reasonFailed           = "failed"
	reasonTruncated        = "truncated"
	reasonSwapped          = "swapped"
	reasonFeedLimit        = "feed_limit"
	// reasonReroute says that only the MaxQueueWait of the request was exceeded,
	// so that another target should be selected. Agents compare the value.
	reasonReroute = "move"
	reasonHops    = "hops"
	reasonService = "service"
)

// result describes how one attempt at a request, or the request as a whole, ended.
type result struct {
	outcome journaler.Outcome
	reason  string
	// retryAfter is set for NotRun if the delay is known.
	retryAfter time.Duration
	// status is the HTTP status of the response for Done; otherwise it replaces
	// the default status for the outcome unless it is 0.
	status int
	// targetResult is how the attempt counts in the target's statistics.
	targetResult estimator.Result
	duration     time.Duration
	// replay is the stored response to send to the caller.
	replay *journaler.Response
	// local is set if the attempt was made on the local backend server.
	local bool
}

func done(status int) result {
	targetResult := estimator.Succeeded
	if status >= 500 {
		targetResult = estimator.Failed
	}
	return result{outcome: journaler.Done, status: status, targetResult: targetResult}
}

func notRun(reason string, targetResult estimator.Result) result {
	return result{outcome: journaler.NotRun, reason: reason, targetResult: targetResult}
}

func unknown(reason string, targetResult estimator.Result) result {
	return result{outcome: journaler.Unknown, reason: reason, targetResult: targetResult}
}

func countResult(r result) {
	reason := r.reason
	if reason == "" {
		reason = "none"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"kingcupvalve_dispatcher_requests_total{outcome=%q,reason=%q}", r.outcome.String(), reason)).Inc()
}
