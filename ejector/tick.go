package ejector

import (
	"math"
	"slices"
	"time"
)

// resultDecay is the time constant of the decay of result and error counts.
const resultDecay = 5 * time.Second

// ejectionResetAfter is the time without a new ejection, counted from the
// target's return, after which its next ejection is as short as the first.
const ejectionResetAfter = time.Minute

// Tick decays the error counts, readmits targets whose ejection time is over and
// ejects outliers. Call it several times a second.
func (e *Ejector) Tick(now time.Time) {
	e.decay(now)
	e.restore(now)
	e.eject(now)
}

func (e *Ejector) decay(now time.Time) {
	if elapsed := now.Sub(e.tickedAt); !e.tickedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / resultDecay.Seconds())
		for _, t := range e.targets {
			t.errors *= factor
			t.results *= factor
		}
	}
	e.tickedAt = now
}

// restore readmits targets whose ejection time is over, unless probe requests
// failed or were slow in the meantime. The threshold for returning is lower than
// the one for ejection (hysteresis).
func (e *Ejector) restore(now time.Time) {
	for _, t := range e.targets {
		if !t.ejected && t.consecutiveEjections > 0 && now.Sub(t.returnedAt) > ejectionResetAfter {
			t.consecutiveEjections = 0
		}
		if !t.ejected || now.Before(t.ejectedUntil) {
			continue
		}
		if t.isStillOutlier() {
			t.ejectedUntil = now.Add(e.options.BaseEjectionTime)
			t.resetSamples()
			continue
		}
		t.ejected, t.returnedAt = false, now
		t.resetSamples()
	}
}

func (t *target) isStillOutlier() bool {
	slow := t.samples >= 2 && t.recentDeviation > math.Log(2)
	return slow || t.results >= 1 && t.errors > t.results/4
}

// resetSamples drops the results so far, because they do not describe the target
// after an ejection or a return. The baseline stays.
func (t *target) resetSamples() { t.errors, t.results, t.samples, t.recentDeviation = 0, 0, 0, 0 }

func (e *Ejector) eject(now time.Time) {
	allowed := int(float64(len(e.targets))*e.options.MaxEjectedShare) - e.CountEjected()
	median := e.medianSlowdown()
	for allowed > 0 {
		worst := e.findWorst(median)
		if worst == nil {
			return
		}
		ejectionTime := e.options.MaxEjectionTime
		if worst.consecutiveEjections < 10 {
			ejectionTime = min(ejectionTime, e.options.BaseEjectionTime<<worst.consecutiveEjections)
		}
		worst.ejected, worst.ejectedUntil = true, now.Add(ejectionTime)
		worst.consecutiveEjections++
		worst.resetSamples()
		allowed--
	}
}

// findWorst returns the target that exceeds its threshold by the largest factor,
// or nil when none does.
func (e *Ejector) findWorst(median float64) *target {
	var worst *target
	var worstScore float64
	for _, t := range e.targets {
		if t.ejected {
			continue
		}
		score := t.slowdown() / median / e.options.SlowdownThreshold
		if t.results >= minSamples {
			score = max(score, t.errors/t.results/e.options.ErrorThreshold)
		}
		if score > 1 && score > worstScore {
			worst, worstScore = t, score
		}
	}
	return worst
}

// medianSlowdown returns the median slowdown of the targets, at least 1.
// Slowdowns are compared with it, so that a slowdown of the whole service under
// load ejects no target.
func (e *Ejector) medianSlowdown() float64 {
	slowdowns := make([]float64, 0, len(e.targets))
	for _, t := range e.targets {
		slowdowns = append(slowdowns, t.slowdown())
	}
	if len(slowdowns) == 0 {
		return 1
	}
	slices.Sort(slowdowns)
	return max(1, slowdowns[(len(slowdowns)-1)/2])
}
