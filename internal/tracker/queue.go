package tracker

import (
	"math"
	"slices"
	"time"
)

const (
	// serviceWeight is the weight of a new observation in the mean service time.
	serviceWeight = 0.05
	// serviceTimeLifetime is the time without an observation after which the mean
	// no longer describes the target, for example because it was started again.
	serviceTimeLifetime = 10 * time.Second
	// sampleHalfLife is the time in which observations lose half their weight.
	sampleHalfLife = 2 * time.Second
	// serviceSpread is the standard deviation of the logarithm of a service time.
	serviceSpread = 0.5
)

// serviceQueue follows which pending requests of a target occupy its slots, and
// how long. A target starts requests in the order of their arrival, so that the
// time of a request is counted from the moment when a slot became free for it.
type serviceQueue struct {
	occupied int
	running  []*flow
	waiting  []*flow
	mean     time.Duration
	// samples is the number of observations that the mean stands for. It halves every
	// sampleHalfLife.
	samples    float64
	observedAt time.Time
}

// add adds a flow whose request became pending.
func (q *serviceQueue) add(f *flow, slots int, now time.Time) {
	if slots > 0 && q.occupied >= slots {
		q.waiting = append(q.waiting, f)
		return
	}
	q.start(f, now)
}

func (q *serviceQueue) start(f *flow, now time.Time) {
	q.occupied++
	q.running = append(q.running, f)
	f.isRunning, f.runningSince = true, now
}

// observe records the service time of a flow's request that was answered.
func (q *serviceQueue) observe(f *flow, now time.Time) {
	if !f.isRunning {
		return
	}
	q.samples = q.samplesAt(now) + 1
	q.observedAt = now
	weight := max(serviceWeight, 1/q.samples)
	q.mean += time.Duration(weight * float64(now.Sub(f.runningSince)-q.mean))
}

// remove removes a flow whose request is no longer pending, and gives its slot to
// the next one.
func (q *serviceQueue) remove(f *flow, now time.Time) {
	if !f.isRunning {
		for i, w := range q.waiting {
			if w == f {
				q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
				break
			}
		}
		return
	}
	f.isRunning = false
	q.occupied--
	if i := slices.Index(q.running, f); i >= 0 {
		q.running = slices.Delete(q.running, i, i+1)
	}
	if len(q.waiting) > 0 {
		next := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.start(next, now)
	}
}

// samplesAt returns the number of observations that the mean stands for as of now.
func (q *serviceQueue) samplesAt(now time.Time) float64 {
	return q.samples * math.Exp2(-now.Sub(q.observedAt).Seconds()/sampleHalfLife.Seconds())
}

// serviceTime returns the mean service time, or 0 if it is not known.
func (q *serviceQueue) serviceTime(now time.Time) time.Duration {
	if q.samples == 0 || now.Sub(q.observedAt) > serviceTimeLifetime {
		return 0
	}
	return q.mean
}

// leastServiceTime returns the lower end of the error of the mean service time, which
// grows with time, or 0 if the mean is not known.
func (q *serviceQueue) leastServiceTime(now time.Time) time.Duration {
	deviation := serviceSpread / math.Sqrt(min(q.samplesAt(now), 1/serviceWeight))
	return time.Duration(float64(q.serviceTime(now)) * math.Exp(-deviation))
}
