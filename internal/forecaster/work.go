package forecaster

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// workAccuracy is the relative accuracy of the bins of a distribution of work. The
	// work of one kind of request varies by a factor of 1.6, so that 5% is fine enough.
	workAccuracy = 0.05
	// workBins covers a factor of 3,600,000 between the shortest and the longest
	// request; a distribution takes about 2 KB.
	workBins = 150
	// workLifetime is the time in which the weight of an observation falls to 1/e.
	workLifetime = 30 * time.Second
	// maxWorkAge is the age at which the weights are scaled, so that they stay within
	// the range of floating-point numbers.
	maxWorkAge = 20 * workLifetime
	// minWork and maxWork bound an observation. No target answers sooner, and a
	// request without an answer is given up after 3 s.
	minWork = 10 * time.Microsecond
	maxWork = time.Minute
	// minWeight is the sum of the weights from which a distribution is used.
	minWeight = 3
)

// work is the distribution of the time that requests occupy a slot. Observations
// age: a later one has a weight that is larger by e for each workLifetime.
type work struct {
	sketch *ddsketch.DDSketch
	// since is the time at which an observation has weight 1.
	since time.Time
	sum   float64 // weighted seconds
	count float64 // sum of the weights
}

func newWork(now time.Time) (*work, error) {
	sketch, err := ddsketch.LogCollapsingHighestDenseDDSketch(workAccuracy, workBins)
	if err != nil {
		return nil, err
	}
	return &work{sketch: sketch, since: now}, nil
}

// observe adds an observation. A time before that of earlier observations counts
// as theirs.
func (w *work) observe(elapsed time.Duration, now time.Time) {
	age := max(0, now.Sub(w.since))
	if age > maxWorkAge {
		w.rescale(now)
		age = 0
	}
	seconds, weight := min(max(elapsed, minWork), maxWork).Seconds(), math.Exp(age.Seconds()/workLifetime.Seconds())
	if w.sketch.AddWithCount(seconds, weight) != nil {
		return
	}
	w.sum += weight * seconds
	w.count += weight
}

// rescale gives an observation at a time weight 1.
func (w *work) rescale(now time.Time) {
	factor := math.Exp(-now.Sub(w.since).Seconds() / workLifetime.Seconds())
	if factor <= 1e-100 || w.sketch.Reweight(factor) != nil {
		w.sketch.Clear()
		factor = 0
	}
	w.sum, w.count, w.since = w.sum*factor, w.count*factor, now
}

// weight returns the number of observations, each with the weight that it has now.
func (w *work) weight(now time.Time) float64 {
	return w.count * math.Exp(-max(0, now.Sub(w.since)).Seconds()/workLifetime.Seconds())
}

func (w *work) isKnown(now time.Time) bool { return w.weight(now) >= minWeight }

// mean returns the expected work of a request.
func (w *work) mean() time.Duration { return seconds(w.sum / w.count) }

// remainder returns the expected remaining work of a request that has run for a
// time, E[X - t | X > t]. A request that has run for longer than every observed one
// is expected to take as long again.
func (w *work) remainder(elapsed time.Duration) time.Duration {
	t := elapsed.Seconds()
	if t <= 0 {
		return w.mean()
	}
	var sum, count float64
	w.sketch.ForEach(func(value, weight float64) bool {
		// The bin reaches from value*(1-a) to value*(1+a), and the part of it above t
		// counts.
		low, high := value*(1-workAccuracy), value*(1+workAccuracy)
		if low = max(low, t); low < high {
			part := weight * (high - low) / (2 * workAccuracy * value)
			sum, count = sum+part*((low+high)/2-t), count+part
		}
		return false
	})
	if count < w.count*1e-6 {
		return min(elapsed, maxWork)
	}
	return seconds(sum / count)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
