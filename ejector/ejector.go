// Package ejector implements outlier detection: it removes from target
// selection the targets that fail requests and those that became much slower
// than before while the other targets did not (gray failures). It relies on the
// results of requests and not on health endpoints.
//
// At most a share of the targets of the service is ejected. An ejected target
// returns after a time that doubles with each consecutive ejection, unless
// probe requests still fail or are slow. The threshold for returning is lower
// than the one for ejection (hysteresis).
//
// An Ejector is not safe for concurrent use.
//
// # Usage
//
//	e := ejector.NewEjector(ejector.Options{})
//	e.SetTargets(ids)
//	e.Observe(target, estimator.Succeeded, duration, now)
//	e.Tick(now) // several times a second
//	if e.IsEjected(target) { ... }
package ejector

import (
	"math"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
)

// Options configures an Ejector. Zero fields take the default in brackets.
type Options struct {
	MaxEjectedShare   float64       // maximum share of the targets that may be ejected [0.34]
	ErrorThreshold    float64       // error share above which a target is ejected [0.5]
	SlowdownThreshold float64       // slowdown against the target's own baseline, over the median slowdown, above which a target is ejected [4]
	BaseEjectionTime  time.Duration // duration of the first ejection [5 s]
	MaxEjectionTime   time.Duration // maximum duration of an ejection [20 s]
}

func (o Options) withDefaults() Options {
	if o.MaxEjectedShare == 0 {
		o.MaxEjectedShare = 0.34
	}
	if o.ErrorThreshold == 0 {
		o.ErrorThreshold = 0.5
	}
	if o.SlowdownThreshold == 0 {
		o.SlowdownThreshold = 4
	}
	if o.BaseEjectionTime == 0 {
		o.BaseEjectionTime = 5 * time.Second
	}
	if o.MaxEjectionTime == 0 {
		o.MaxEjectionTime = 20 * time.Second
	}
	return o
}

// minSamples is the number of results needed before a target can be ejected.
const minSamples = 5

// target holds the observations of one target.
type target struct {
	id                   uint32
	errors               float64
	results              float64   // decaying number of results behind errors
	recentDeviation      float64   // moving average of ln(duration) - baseline
	baseline             float64   // ln of the usual duration in seconds
	samples              int       // durations since the last return or ejection
	baselineSamples      int       // durations behind baseline, never reset
	ejectedUntil         time.Time // end of the ejection
	ejected              bool
	consecutiveEjections int
	returnedAt           time.Time
}

// slowdown returns the factor by which the target is slower than its baseline.
func (t *target) slowdown() float64 {
	if t.samples < minSamples {
		return 1
	}
	return math.Exp(t.recentDeviation)
}

// Ejector holds the observations of each target.
type Ejector struct {
	options  Options
	targets  []*target // sorted by id
	tickedAt time.Time
}

// NewEjector returns an Ejector without targets.
func NewEjector(options Options) *Ejector {
	return &Ejector{options: options.withDefaults()}
}

// SetTargets replaces the set of targets. Targets that remain keep their state.
func (e *Ejector) SetTargets(ids []uint32) {
	sorted := slices.Compact(slices.Sorted(slices.Values(ids)))
	states := make([]*target, 0, len(sorted))
	for _, id := range sorted {
		t := e.find(id)
		if t == nil {
			t = &target{id: id}
		}
		states = append(states, t)
	}
	e.targets = states
}

func (e *Ejector) find(id uint32) *target {
	i, ok := slices.BinarySearchFunc(e.targets, id, func(t *target, id uint32) int {
		return int(int64(t.id) - int64(id))
	})
	if !ok {
		return nil
	}
	return e.targets[i]
}

// Observe records the result of one request at a target. The duration is that
// of short work; with zero only the result counts.
func (e *Ejector) Observe(id uint32, result estimator.Result, duration time.Duration, _ time.Time) {
	t := e.find(id)
	if t == nil || result == estimator.Cancelled || result == estimator.Refused {
		return
	}
	t.results++
	if result != estimator.Succeeded {
		t.errors++
	}
	if duration <= 0 || result == estimator.Failed {
		return
	}
	logSeconds := math.Log(duration.Seconds())
	if t.samples == 0 && t.baseline == 0 {
		t.baseline = logSeconds
	}
	t.samples++
	t.baselineSamples++
	t.recentDeviation += recentRate * (logSeconds - t.baseline - t.recentDeviation)
	rate := max(baselineRate, 1/float64(t.baselineSamples))
	if t.recentDeviation > math.Log(2) {
		rate = driftRate
	}
	t.baseline += rate * (logSeconds - t.baseline)
}

// Weights of one sample in the moving averages. The averages are of logarithms
// because durations are heavy-tailed: with any arithmetic mean that reacts
// within a few requests, a single job that runs 30 times longer would eject its
// target. driftRate applies to the baseline while the target is slow: it lets a
// lasting change of speed become the baseline after a few thousand requests.
const (
	recentRate   = 0.2
	baselineRate = 0.01
	driftRate    = 0.0005
)

// IsEjected reports whether a target is ejected and gets only probe requests.
func (e *Ejector) IsEjected(id uint32) bool {
	t := e.find(id)
	return t != nil && t.ejected
}

// CountEjected returns the number of ejected targets.
func (e *Ejector) CountEjected() int {
	n := 0
	for _, t := range e.targets {
		if t.ejected {
			n++
		}
	}
	return n
}
