package soaker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Report collects the results of a soak: request counts, failures, events and
// violated guarantees. Its accessors may be called once Run has returned.
type Report struct {
	lock       sync.Mutex
	violations []string
	runs       map[uint64]int // number of runs by request
	requests   int
	answered   int
	steady     int
	liveResets int
	// evacuated counts the new flows at targets of zones whose evacuation was requested.
	evacuated int
	lastFault time.Time
	events    []string
	failures  []Failure
	start     time.Time
}

// Failure is a request that was not answered, or a flow that did not open.
type Failure struct {
	Caller   netip.AddrPort
	FailedAt time.Time
}

func newReport() *Report { return &Report{runs: map[uint64]int{}, start: time.Now()} }

// Violations returns a line for each violated guarantee, the first 20 at most.
func (r *Report) Violations() []string { return r.violations }

// Events returns a line for each fault and change, with its time since the start
// of the run.
func (r *Report) Events() []string { return r.events }

// Failures returns all requests and flows that failed, including those that
// failed while a fault was active.
func (r *Report) Failures() []Failure { return r.failures }

// LiveResets returns the number of open flows that were reset although a living
// target held them. In the steady state each is a violation as well.
func (r *Report) LiveResets() int { return r.liveResets }

// Evacuated returns the number of new flows at targets of zones whose evacuation was
// requested, but not yet long enough ago for a violation.
func (r *Report) Evacuated() int { return r.evacuated }

// Requests returns the number of requests, of answered ones, and of those that
// began in the steady state.
func (r *Report) Requests() (all, answered, steady int) { return r.requests, r.answered, r.steady }

func (r *Report) recordViolation(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if len(r.violations) < 20 {
		r.violations = append(r.violations, fmt.Sprintf("%.3f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, values...))
	}
}

// recordEvent records an event. An unplanned fault ends the steady state for
// recoveryTime.
func (r *Report) recordEvent(isFault bool, format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.events = append(r.events, fmt.Sprintf("%.3f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, values...))
	if isFault {
		r.lastFault = time.Now()
	}
}

// wasSteady reports whether no unplanned fault occurred between recoveryTime
// before the given time and now.
func (r *Report) wasSteady(since time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return since.Sub(r.lastFault) > recoveryTime
}

func (r *Report) countRun(number uint64, isNonIdempotent bool) {
	r.lock.Lock()
	r.runs[number]++
	count := r.runs[number]
	r.lock.Unlock()
	if isNonIdempotent && count > 1 {
		r.recordViolation("request %d ran %d times although it must not be repeated", number, count)
	}
}

func (r *Report) countEvacuated() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.evacuated++
}

func (r *Report) countLiveReset(caller netip.AddrPort) {
	r.recordEvent(false, "the flow of %s was reset although its target holds it", caller)
	r.lock.Lock()
	defer r.lock.Unlock()
	r.liveResets++
}

func (r *Report) countResult(caller netip.AddrPort, ok, isSteady bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.requests++
	if ok {
		r.answered++
	} else {
		r.failures = append(r.failures, Failure{Caller: caller, FailedAt: time.Now()})
	}
	if isSteady {
		r.steady++
	}
}
