// Package journaler records which requests one agent incarnation has started
// for its own tickets, so that each request is executed at most once.
//
// A ticket is an idempotency key that the agent issued (see package minter). It
// is in one of these states: without a record, running, finished with or
// without a stored response, or closed. A ticket is closed when its request was
// answered as not run; it then never starts, so that a duplicate of the request
// that arrives later cannot contradict the answer. Records are kept until their
// ticket expires. After that the journal keeps two bits per serial, started and
// closed, for a sliding window of WindowSerials serials. A ticket below the
// window never starts and its outcome is reported as unknown.
//
// A Journal is not safe for concurrent use; its owner serialises the calls. It
// reads no clock; the methods take the current time.
//
// # Usage
//
//	journal := journaler.NewJournal(journaler.Options{Target: 7, Incarnation: 1})
//	decision := journal.Begin(ticket, fingerprint, now)
//	switch decision.Action() {
//	case journaler.Start:
//		// run the request, then journal.Finish(ticket.Serial(), outcome, response, now)
//	case journaler.Wait:
//		// wait until the first request of the ticket finishes
//	case journaler.Replay:
//		// answer with decision.Outcome() and decision.Response()
//	case journaler.Foreign, journaler.Mismatch:
//		// forward to the issuing agent, or refuse the request
//	}
package journaler

import (
	"time"

	"kingcupvalve.example/kingcupvalve/minter"
)

const (
	// DefaultCapacity is the largest number of records. With 100 tickets used per
	// second and a ticket lifetime of 2 minutes, 12,000 records are in use.
	DefaultCapacity = 16_384
	// DefaultResponseBytes is the largest stored response body, in bytes.
	DefaultResponseBytes = 64 << 10
	// DefaultStoredBytes bounds the sum of all stored bodies in bytes, so that a
	// burst of large responses cannot exhaust the memory of an agent.
	DefaultStoredBytes = 32 << 20
)

// Options are the parameters of a Journal. A limit of 0 selects its default.
type Options struct {
	// Target and Incarnation identify the agent whose tickets the journal accepts.
	Target      uint32
	Incarnation uint64
	// Capacity is the largest number of records.
	Capacity int
	// ResponseBytes is the largest response body that is stored, in bytes.
	ResponseBytes int
	// StoredBytes is the largest sum of stored response bodies, in bytes.
	StoredBytes int
}

// Outcome states whether a request was executed.
type Outcome uint8

// Outcomes of a request.
const (
	// NotRun means that the request was not executed and never will be.
	NotRun Outcome = iota + 1
	// Done means that the request was executed and its response was complete.
	Done
	// Unknown means that the request may have been executed.
	Unknown
)

// String returns the value of the Kingcupvalve-Outcome header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Action tells the owner of the journal what to do with a request.
type Action uint8

// Actions for a request.
const (
	// Start means that the owner executes the request now and must call Finish
	// afterwards.
	Start Action = iota + 1
	// Wait means that the first request of the ticket is still running.
	Wait
	// Replay means that the owner answers with the outcome of the decision and, if
	// one is stored, its response.
	Replay
	// Foreign means that another agent or another incarnation issued the ticket.
	Foreign
	// Mismatch means that the ticket was used before for a different request,
	// whose response must not be given to this one.
	Mismatch
)

// Reason states why a request was not started.
type Reason uint8

// Reasons of a Replay decision.
const (
	// Recorded means that the journal still knows the outcome of the ticket.
	Recorded Reason = iota + 1
	// Expired means that the ticket expired before its request was started.
	Expired
	// Full means that the journal has reached its capacity.
	Full
	// Forgotten means that the record of the ticket is gone: its request was
	// started, or its serial is below the window.
	Forgotten
)

// Response is a stored HTTP response. Its maps and slices must not be changed.
type Response struct {
	status int
	header map[string][]string
	body   []byte
}

// NewResponse returns a response that retains its arguments without a copy.
func NewResponse(status int, header map[string][]string, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.status }

// Header returns the header fields.
func (r *Response) Header() map[string][]string { return r.header }

// Body returns the complete body.
func (r *Response) Body() []byte { return r.body }

// Decision is the result of Begin.
type Decision struct {
	action   Action
	outcome  Outcome
	reason   Reason
	response *Response
}

// Action returns what to do with the request.
func (d Decision) Action() Action { return d.action }

// Outcome returns the outcome to report for Replay.
func (d Decision) Outcome() Outcome { return d.outcome }

// Reason returns why the request was not started, for Replay.
func (d Decision) Reason() Reason { return d.reason }

// Response returns the stored response for Replay, or nil when none is kept.
func (d Decision) Response() *Response { return d.response }

// record is the state of one started request.
type record struct {
	// fingerprint detects a ticket that is reused for a different request.
	fingerprint uint64
	expiry      time.Time
	finished    bool
	outcome     Outcome
	response    *Response
}

// Journal records the started requests of one agent incarnation.
type Journal struct {
	options Options
	records map[uint64]*record
	// serials lists the serials of the records in the order of Begin, for Tick,
	// which also removes those whose record was deleted in the meantime.
	serials     []uint64
	storedBytes int
	window      window
}

// NewJournal returns an empty journal.
func NewJournal(o Options) *Journal {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.ResponseBytes <= 0 {
		o.ResponseBytes = DefaultResponseBytes
	}
	if o.StoredBytes <= 0 {
		o.StoredBytes = DefaultStoredBytes
	}
	return &Journal{options: o, records: make(map[uint64]*record)}
}

// Len returns the number of records.
func (j *Journal) Len() int { return len(j.records) }

// StoredBytes returns the size of all stored response bodies in bytes.
func (j *Journal) StoredBytes() int { return j.storedBytes }

// ResponseBytes returns the largest body that is stored, in bytes.
func (j *Journal) ResponseBytes() int { return j.options.ResponseBytes }

// Begin decides whether the request of a ticket starts. A ticket for which it
// has returned NotRun never starts afterwards. The fingerprint is a hash of the
// request that is the same for every transmission of it.
func (j *Journal) Begin(t minter.Ticket, fingerprint uint64, now time.Time) Decision {
	if t.Target() != j.options.Target || t.Incarnation() != j.options.Incarnation {
		return Decision{action: Foreign}
	}
	serial := t.Serial()
	if r := j.records[serial]; r != nil {
		if r.fingerprint != fingerprint {
			return Decision{action: Mismatch}
		}
		if !r.finished {
			return Decision{action: Wait}
		}
		return Decision{action: Replay, outcome: r.outcome, reason: Recorded, response: r.response}
	}
	switch {
	case j.window.isBelow(serial), j.window.isStarted(serial):
		return Decision{action: Replay, outcome: Unknown, reason: Forgotten}
	case j.window.isClosed(serial):
		return Decision{action: Replay, outcome: NotRun, reason: Recorded}
	case t.IsExpired(now):
		j.window.close(serial)
		return Decision{action: Replay, outcome: NotRun, reason: Expired}
	case len(j.records) >= j.options.Capacity:
		j.Tick(now)
		if len(j.records) >= j.options.Capacity {
			j.window.close(serial)
			return Decision{action: Replay, outcome: NotRun, reason: Full}
		}
	}
	j.window.advanceTo(serial)
	j.records[serial] = &record{fingerprint: fingerprint, expiry: t.Expiry()}
	j.serials = append(j.serials, serial)
	return Decision{action: Start}
}

// Finish records the outcome of a started request and reports whether the
// request was running. For NotRun it closes the ticket and deletes the record. A
// response is stored only for Done and within the limits.
func (j *Journal) Finish(serial uint64, o Outcome, response *Response, now time.Time) bool {
	r := j.records[serial]
	if r == nil || r.finished {
		return false
	}
	if o == NotRun {
		delete(j.records, serial)
		j.window.close(serial)
		return true
	}
	r.finished, r.outcome = true, o
	if o == Done && response != nil && len(response.body) <= j.options.ResponseBytes &&
		j.storedBytes+len(response.body) <= j.options.StoredBytes {
		r.response = response
		j.storedBytes += len(response.body)
	}
	if !now.Before(r.expiry) {
		j.dropRecord(serial, r)
	}
	return true
}

// Tick deletes the records of finished requests whose ticket has expired. The
// record of a running request is kept until Finish.
func (j *Journal) Tick(now time.Time) {
	kept := j.serials[:0]
	for _, serial := range j.serials {
		r := j.records[serial]
		switch {
		case r == nil:
		case r.finished && !now.Before(r.expiry):
			j.dropRecord(serial, r)
		default:
			kept = append(kept, serial)
		}
	}
	j.serials = kept
}

// dropRecord deletes a record and marks its serial as started in the window.
func (j *Journal) dropRecord(serial uint64, r *record) {
	if r.response != nil {
		j.storedBytes -= len(r.response.body)
	}
	delete(j.records, serial)
	j.window.start(serial)
}
