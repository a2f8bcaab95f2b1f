// Package assessor is a passive outlier detector. It identifies an unhealthy
// target by its response times, because the payload of packet flows can't be
// read.
//
// A target that fails requests answers much faster than a healthy one or resets
// their flows, and since it is always idle it would attract every new flow. A target that is overloaded
// or has an internal fault answers much slower than before. Response times are
// compared with the target's own baseline for the same route, so that targets of
// different speeds are not compared with each other. A suspicion expires after a
// time that doubles when the target becomes suspect again soon after.
//
// # Usage
//
//	a := assessor.NewAssessor()
//	a.Observe(route, elapsed, isQueued, now)
//	if a.IsSuspect(now) { ... }
package assessor

import (
	"math"
	"net/netip"
	"time"
)

const (
	// outlierFactor is the ratio to the baseline at which an answer is an outlier.
	// Response times of one kind of request have a standard deviation of 0.5 in
	// natural logarithms, so 0.3% of normal answers are that fast; 3% are that slow
	// because the request is long.
	outlierFactor = 4
	// windowSize is the number of most recent answers in which outliers are counted.
	windowSize = 16
	// fastThreshold and slowThreshold are the numbers of fast and of slow outliers
	// in the window that make a target suspect. A healthy target reaches them in
	// one of a million windows.
	fastThreshold = 4
	slowThreshold = 8
	// resetThreshold is the number of requests in the window that the target reset. A
	// healthy one resets none. A target that was suspect a short time ago and resets
	// the next request has not recovered.
	resetThreshold = 2
	// warmupAnswers is the number of answers that a route's baseline needs before
	// any answer counts as an outlier.
	warmupAnswers = 20
	// smoothingFactor is the weight of a new answer in the moving average.
	smoothingFactor = 0.05
	// minSuspicion and maxSuspicion limit the duration of a suspicion. It starts
	// again at minSuspicion after suspicionReset without a suspicion.
	minSuspicion   = 2 * time.Second
	maxSuspicion   = 16 * time.Second
	suspicionReset = 20 * time.Second
	// maxRoutes limits the memory of an assessor.
	maxRoutes = 1024
)

// baseline is the usual response time of a target for one route.
type baseline struct {
	logSeconds float64 // moving average of the logarithm of the time in seconds
	answers    int
}

// verdict classifies a response time against the baseline.
type verdict uint8

const (
	normal verdict = iota
	fast
	slow
	reset
)

// Assessor holds the baselines and recent answers of one target. It is not safe
// for concurrent use.
type Assessor struct {
	baselines    map[netip.AddrPort]*baseline
	recent       [windowSize]verdict
	next         int
	suspectUntil time.Time
	suspicion    time.Duration
}

// NewAssessor returns an assessor without baselines.
func NewAssessor() *Assessor { return &Assessor{baselines: make(map[netip.AddrPort]*baseline)} }

// IsSuspect reports whether the target should get no new work while other targets
// have capacity.
func (a *Assessor) IsSuspect(now time.Time) bool { return now.Before(a.suspectUntil) }

// Observe records the response time of a request. A slow answer to a queued
// request is no outlier, because the time includes the wait for a slot.
func (a *Assessor) Observe(route netip.AddrPort, elapsed time.Duration, isQueued bool, now time.Time) {
	b := a.baselines[route]
	if b == nil {
		if len(a.baselines) >= maxRoutes {
			return
		}
		b = &baseline{}
		a.baselines[route] = b
	}
	logarithm := math.Log(max(elapsed, time.Microsecond).Seconds())
	v := b.classify(logarithm, isQueued)
	if v == normal {
		b.update(logarithm, isQueued)
	}
	a.record(v)
	if !a.IsSuspect(now) && (a.count(fast) >= fastThreshold || a.count(slow) >= slowThreshold) {
		a.startSuspicion(now)
	}
}

// ObserveReset records that the target reset a flow with an unanswered request. Such
// a target is always idle and would attract every new flow.
func (a *Assessor) ObserveReset(now time.Time) {
	a.record(reset)
	if !a.IsSuspect(now) && (a.count(reset) >= resetThreshold || a.wasSuspect(now)) {
		a.startSuspicion(now)
	}
}

// wasSuspect reports whether a suspicion ended less than suspicionReset ago.
func (a *Assessor) wasSuspect(now time.Time) bool {
	return a.suspicion > 0 && now.Sub(a.suspectUntil) <= suspicionReset
}

func (a *Assessor) record(v verdict) {
	a.recent[a.next%windowSize] = v
	a.next++
}

// ObserveLostFlow records that the target returned a packet of a flow that it
// held. The target has restarted after a crash and may crash again soon.
func (a *Assessor) ObserveLostFlow(now time.Time) {
	if !a.IsSuspect(now) {
		a.startSuspicion(now)
	}
}

func (b *baseline) classify(logarithm float64, isQueued bool) verdict {
	switch difference := logarithm - b.logSeconds; {
	case b.answers < warmupAnswers:
		return normal
	case difference < -math.Log(outlierFactor):
		return fast
	case difference > math.Log(outlierFactor) && !isQueued:
		return slow
	}
	return normal
}

func (b *baseline) update(logarithm float64, isQueued bool) {
	if isQueued {
		return
	}
	b.answers++
	rate := max(smoothingFactor, 1/float64(b.answers))
	b.logSeconds += rate * (logarithm - b.logSeconds)
}

func (a *Assessor) count(v verdict) int {
	n := 0
	for _, r := range a.recent {
		if r == v {
			n++
		}
	}
	return n
}

func (a *Assessor) startSuspicion(now time.Time) {
	if a.wasSuspect(now) {
		a.suspicion = min(2*a.suspicion, maxSuspicion)
	} else {
		a.suspicion = minSuspicion
	}
	a.suspectUntil = now.Add(a.suspicion)
	a.recent = [windowSize]verdict{}
}
