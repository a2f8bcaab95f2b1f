// Package estimator measures one backend server by the requests that it serves:
// requests in flight, time per request by kind of work, errors and refusals. The
// server's health and load endpoints are only hints: their health state counts
// only while there are no recent results of requests.
//
// The busy share is the number of slots in use divided by all slots, averaged
// over BusyWindow. It is the ratio of load to capacity at any speed of the
// backend server, so agents can balance on it without knowing the speed.
//
// An Estimator is not safe for concurrent use.
//
// # Usage
//
//	e := estimator.NewEstimator(estimator.Options{Slots: 2, Start: now})
//	kind := e.Classify(method, path, hint)
//	e.RecordStart(kind, now)
//	e.RecordFinish(kind, now, duration, estimator.Succeeded)
//	e.Learn(method, path, duration)
//	state := e.State(now)
package estimator

import (
	"math"
	"time"
)

// Options configures an Estimator. Zero fields take the default in brackets.
type Options struct {
	Slots      int           // requests that the backend server runs concurrently [2]
	ShortCost  time.Duration // initial estimate for short work [50 ms]
	LongCost   time.Duration // initial estimate for long work [2 s]
	RampUp     time.Duration // duration of the ramp after a cold start [10 s]
	RampFloor  float64       // usable share of the slots at the start of the ramp [0.25]
	BusyWindow time.Duration // time constant of the busy share [10 s]
	Start      time.Time     // when the backend server started; zero skips the ramp
}

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, 2)
	setDefault(&o.ShortCost, 50*time.Millisecond)
	setDefault(&o.LongCost, 2*time.Second)
	setDefault(&o.RampUp, 10*time.Second)
	setDefault(&o.RampFloor, 0.25)
	setDefault(&o.BusyWindow, 10*time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Hint is one reading of the health and load endpoints of a backend server.
type Hint struct {
	Healthy bool
	Slots   int // zero when not reported
}

// State is the summary of a target that goes into its digest.
type State struct {
	Phase     Phase
	Slots     int
	Running   [2]int           // by kind
	Cost      [2]time.Duration // by kind
	ErrorRate float64          // share of failed requests, 0 to 1
	Busy      float64          // slots in use over all slots, averaged, 0 to 1
	Capacity  float64          // slots that new work may use, after the ramp
}

// Usable returns the whole slots that new work may use, at least one.
func (s State) Usable() int { return max(1, int(s.Capacity+1e-9)) }

// Estimator holds the observations of one backend server.
type Estimator struct {
	options       Options
	start         time.Time
	running       [kindCount]int
	cost          [kindCount]float64 // seconds
	samples       [kindCount]int     // durations behind cost, counting the initial estimate as one
	busy          float64
	busyWeight    float64 // weight of the time observed so far, which normalizes busy after the start
	busyUpdatedAt time.Time
	errors        float64
	results       float64 // decaying number of results behind errors
	decayedAt     time.Time
	failing       bool
	successStreak int // consecutive successes
	hint          Hint
	hasHint       bool
	classes       *classTable
}

// NewEstimator returns an Estimator.
func NewEstimator(options Options) *Estimator {
	o := options.withDefaults()
	return &Estimator{
		options: o,
		start:   o.Start,
		cost:    [kindCount]float64{o.ShortCost.Seconds(), o.LongCost.Seconds()},
		samples: [kindCount]int{1, 1},
		classes: newClassTable(),
	}
}

// RecordRestart records that the backend server restarted at time now: the ramp
// begins again and errors from before the restart are dropped.
func (e *Estimator) RecordRestart(now time.Time) {
	e.start, e.errors, e.results, e.failing, e.successStreak = now, 0, 0, false, 0
}

// RecordStart records that a request was sent to the backend server.
func (e *Estimator) RecordStart(kind Kind, now time.Time) {
	if kind >= kindCount {
		return
	}
	e.updateBusy(now)
	e.running[kind]++
}

// RecordFinish records the end of a request after duration on the backend server.
func (e *Estimator) RecordFinish(kind Kind, now time.Time, duration time.Duration, result Result) {
	if kind >= kindCount {
		return
	}
	e.updateBusy(now)
	e.running[kind] = max(0, e.running[kind]-1)
	e.updateFailing(now, result)
	if result == Succeeded {
		e.samples[kind]++
		e.cost[kind] = updateAverage(e.cost[kind], duration.Seconds(), e.samples[kind])
	}
}

// costRate is the weight of one new duration. About 30 requests replace an
// outdated estimate, so that it follows a gray failure within seconds.
const costRate = 0.06

// costClip bounds one sample relative to the estimate, because a few requests run
// 30 times longer than the rest and do not predict the next one.
const costClip = 10

// updateAverage returns the moving average after one more sample. The first
// samples are weighted as in an arithmetic mean, so that a few of them replace
// the initial estimate.
func updateAverage(old, sample float64, samples int) float64 {
	weight := max(costRate, 1/float64(samples))
	return old + weight*(min(sample, old*costClip)-old)
}

// ObserveHealth records a reading of the health and load endpoints. A reported
// number of slots replaces the configured one.
func (e *Estimator) ObserveHealth(hint Hint, now time.Time) {
	e.updateBusy(now)
	e.hint, e.hasHint = hint, true
	if hint.Slots > 0 {
		e.options.Slots = hint.Slots
	}
}

// Cost returns the expected time of one request of this kind on the backend
// server, without waiting.
func (e *Estimator) Cost(kind Kind) time.Duration {
	if kind >= kindCount {
		return 0
	}
	return time.Duration(e.cost[kind] * float64(time.Second))
}

// State returns the summary of the target at time now.
func (e *Estimator) State(now time.Time) State {
	e.updateBusy(now)
	ramp := e.rampShare(now)
	s := State{
		Phase:    e.phase(now, ramp),
		Slots:    e.options.Slots,
		Running:  e.running,
		Cost:     [kindCount]time.Duration{e.Cost(Short), e.Cost(Long)},
		Capacity: max(1, ramp*float64(e.options.Slots)),
	}
	if e.busyWeight > 0 {
		s.Busy = e.busy / e.busyWeight
	}
	if e.results > 0 {
		s.ErrorRate = e.errors / e.results
	}
	return s
}

func (e *Estimator) rampShare(now time.Time) float64 {
	if e.start.IsZero() {
		return 1
	}
	progress := now.Sub(e.start).Seconds() / e.options.RampUp.Seconds()
	return min(1, e.options.RampFloor+(1-e.options.RampFloor)*max(0, progress))
}

// A target is failing above failingErrorShare, given at least minFailingResults
// results, so that one error after a time without requests is not enough. It
// stops failing after recoverySuccesses consecutive successes, or when its
// results have decayed below negligibleResults.
const (
	failingErrorShare = 0.5
	minFailingResults = 5
	resultDecay       = 10 * time.Second
	negligibleResults = 0.1
	recoverySuccesses = 3
)

func (e *Estimator) phase(now time.Time, ramp float64) Phase {
	e.decayErrors(now)
	switch {
	case e.failing:
		return Failing
	case e.results < 1 && e.hasHint && !e.hint.Healthy:
		return Failing
	case ramp < 1:
		return Warming
	default:
		return Serving
	}
}

// updateFailing records a result and updates the failing state. The error share
// sets it, consecutive successes clear it, and decayErrors clears it when the
// last results are old.
func (e *Estimator) updateFailing(now time.Time, result Result) {
	e.decayErrors(now)
	switch result {
	case Failed, TimedOut:
		e.errors++
		e.results++
		e.successStreak = 0
	case Succeeded:
		e.results++
		e.successStreak++
	default:
		return
	}
	if e.results >= minFailingResults && e.errors/e.results > failingErrorShare {
		e.failing = true
	}
	if e.failing && e.successStreak >= recoverySuccesses {
		e.failing, e.errors, e.results = false, 0, float64(e.successStreak)
	}
}

func (e *Estimator) decayErrors(now time.Time) {
	if elapsed := now.Sub(e.decayedAt); !e.decayedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / resultDecay.Seconds())
		e.errors *= factor
		e.results *= factor
		if e.results < negligibleResults {
			e.failing = false
		}
	}
	e.decayedAt = now
}

func (e *Estimator) updateBusy(now time.Time) {
	elapsed := now.Sub(e.busyUpdatedAt)
	if e.busyUpdatedAt.IsZero() || elapsed <= 0 {
		if e.busyUpdatedAt.IsZero() {
			e.busyUpdatedAt = now
		}
		return
	}
	busyShare := min(1, float64(e.running[Short]+e.running[Long])/float64(e.options.Slots))
	decay := math.Exp(-elapsed.Seconds() / e.options.BusyWindow.Seconds())
	e.busy = e.busy*decay + busyShare*(1-decay)
	e.busyWeight = e.busyWeight*decay + (1 - decay)
	e.busyUpdatedAt = now
}
