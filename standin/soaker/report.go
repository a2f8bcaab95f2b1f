package soaker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Report is what a soak saw.
type Report struct {
	lock       sync.Mutex
	violations []string
	runs       map[uint64]int
	requests   int
	answered   int
	calm       int
	lastFault  time.Time
	events     []string
	failures   []Failure
	start      time.Time
}

// Failure is a request that was not answered, or a flow that did not open.
type Failure struct {
	Caller   netip.AddrPort
	FailedAt time.Time
}

func newReport() *Report { return &Report{runs: map[uint64]int{}, start: time.Now()} }

// Violations returns the broken promises.
func (r *Report) Violations() []string { return r.violations }

// Events returns the faults and changes with their times.
func (r *Report) Events() []string { return r.events }

// Failures returns what was not served, in trouble too.
func (r *Report) Failures() []Failure { return r.failures }

// Requests returns the number of requests, of answered ones, and of those that
// were sent in calm.
func (r *Report) Requests() (all, answered, calm int) { return r.requests, r.answered, r.calm }

func (r *Report) violate(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if len(r.violations) < 20 {
		r.violations = append(r.violations, fmt.Sprintf("%.3f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, values...))
	}
}

// note records an event; an unplanned fault ends the calm.
func (r *Report) note(isFault bool, format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.events = append(r.events, fmt.Sprintf("%.3f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, values...))
	if isFault {
		r.lastFault = time.Now()
	}
}

// wasCalm reports whether no unplanned fault struck from settleTime before a
// time until now.
func (r *Report) wasCalm(since time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return since.Sub(r.lastFault) > settleTime
}

func (r *Report) ran(number uint64, isUnsafe bool) {
	r.lock.Lock()
	r.runs[number]++
	count := r.runs[number]
	r.lock.Unlock()
	if isUnsafe && count > 1 {
		r.violate("request %d ran %d times although it must not be repeated", number, count)
	}
}

func (r *Report) finished(caller netip.AddrPort, ok, isCalm bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.requests++
	if ok {
		r.answered++
	} else {
		r.failures = append(r.failures, Failure{Caller: caller, FailedAt: time.Now()})
	}
	if isCalm {
		r.calm++
	}
}
