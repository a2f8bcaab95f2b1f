package measurer

import (
	"math"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
)

// bucket holds the counts of one interval of a run. Work is in seconds at speed 1.
type bucket struct {
	offered, refused, admitted int
	finished, late, failed     int
	local, remote              int       // requests sent to the agent's own target, or forwarded
	backendRefused             int       // attempts refused by a backend server without a free slot
	goodWork                   float64   // work of responses before their deadline
	longWork                   float64   // part of goodWork that was declared long
	dispatched                 []float64 // attempts by target
	work                       []float64 // completed work by target
	capacity                   []float64 // work that each target could have completed
	latencies                  []float64 // of short requests, in seconds
}

// stats holds the statistics of one run.
type stats struct {
	width                 time.Duration
	buckets               []bucket
	keepLatency           bool
	executed              map[uint64]bool
	executedTwice         int // jobs that backend servers executed more than once
	lostJobs              int
	refusedAfterAdmission int // refused after they were queued
	returnsAdmitted       int // requests repeated after their Retry-After time and admitted
	returns               int
	totalOffered          int
}

func newStats(sc scenario, targets int) *stats {
	s := &stats{width: sc.bucketWidthOr(time.Second), keepLatency: sc.effectiveJobScale() == 1}
	s.buckets = make([]bucket, int(sc.duration/s.width)+1)
	for i := range s.buckets {
		s.buckets[i].dispatched = make([]float64, targets)
		s.buckets[i].work = make([]float64, targets)
		s.buckets[i].capacity = make([]float64, targets)
	}
	return s
}

func (s *stats) currentBucket(sm *simulation) *bucket { return &s.buckets[int(sm.elapsed()/s.width)] }

func (s *stats) recordOffer(sm *simulation, j *job) {
	s.currentBucket(sm).offered++
	s.totalOffered++
	if j.offers > 1 {
		s.returns++
	}
}

func (s *stats) recordDispatch(sm *simulation, n *node) { s.currentBucket(sm).dispatched[n.id-1]++ }

func (s *stats) recordForward(sm *simulation, remote bool) {
	if remote {
		s.currentBucket(sm).remote++
	} else {
		s.currentBucket(sm).local++
	}
}

func (s *stats) recordAdmission(sm *simulation, j *job) {
	s.currentBucket(sm).admitted++
	if j.offers > 1 {
		s.returnsAdmitted++
	}
}

func (s *stats) recordRefusal(sm *simulation, _ *job, _ time.Duration) { s.currentBucket(sm).refused++ }

func (s *stats) recordFailure(sm *simulation, _ *job) { s.currentBucket(sm).failed++ }

func (s *stats) recordLostJob(sm *simulation, _ *job) {
	s.lostJobs++
	s.currentBucket(sm).failed++
}

// recordExecution counts a job that a backend server completed.
func (s *stats) recordExecution(sm *simulation, n *node, j *job) {
	s.currentBucket(sm).work[n.id-1] += j.work
	if j.executions > 1 {
		s.executedTwice++
	}
}

// recordResponse counts a response that reached its caller.
func (s *stats) recordResponse(sm *simulation, j *job) {
	b := s.currentBucket(sm)
	b.finished++
	if sm.now.After(j.deadline) {
		b.late++
	} else {
		b.goodWork += j.work
		if j.kind == estimator.Long {
			b.longWork += j.work
		}
	}
	if j.kind == estimator.Short && !j.undeclared && s.keepLatency {
		b.latencies = append(b.latencies, sm.now.Sub(j.arrived).Seconds())
	}
}

// addCapacity adds the capacity of a target, in work per second, to the buckets
// that an interval covers.
func (s *stats) addCapacity(id uint32, from, to time.Time, rate float64) {
	for from.Before(to) {
		i := int(from.Sub(epoch) / s.width)
		end := epoch.Add(time.Duration(i+1) * s.width)
		if end.After(to) {
			end = to
		}
		s.buckets[i].capacity[id-1] += rate * end.Sub(from).Seconds()
		from = end
	}
}

// sum returns the total of the buckets of an interval.
func (s *stats) sum(from, to time.Duration) bucket {
	var t bucket
	first, last := int(from/s.width), min(int(to/s.width), len(s.buckets))
	t.dispatched = make([]float64, len(s.buckets[0].work))
	t.work = make([]float64, len(s.buckets[0].work))
	t.capacity = make([]float64, len(s.buckets[0].work))
	for _, b := range s.buckets[first:last] {
		t.offered += b.offered
		t.refused += b.refused
		t.admitted += b.admitted
		t.finished += b.finished
		t.late += b.late
		t.failed += b.failed
		t.backendRefused += b.backendRefused
		t.local += b.local
		t.remote += b.remote
		t.goodWork += b.goodWork
		t.longWork += b.longWork
		t.latencies = append(t.latencies, b.latencies...)
		for i := range b.work {
			t.dispatched[i] += b.dispatched[i]
			t.work[i] += b.work[i]
			t.capacity[i] += b.capacity[i]
		}
	}
	return t
}

// imbalance returns the highest utilisation of a target over the lowest, where
// utilisation is completed work over available capacity.
func (b bucket) imbalance() float64 {
	smallest, largest := math.Inf(1), 0.0
	for i := range b.work {
		if b.capacity[i] == 0 {
			continue
		}
		r := b.work[i] / b.capacity[i]
		smallest, largest = min(smallest, r), max(largest, r)
	}
	return largest / max(smallest, 1e-9)
}

// relativeShare returns a target's share of the dispatched attempts over its share
// of the capacity at full speed.
func (b bucket) relativeShare(i int, capacity []float64) float64 {
	var sent, all float64
	for k := range capacity {
		sent += b.dispatched[k]
		all += capacity[k]
	}
	if sent == 0 {
		return 0
	}
	return b.dispatched[i] / sent / (capacity[i] / all)
}

func (b bucket) totalCapacity() float64 {
	var c float64
	for _, x := range b.capacity {
		c += x
	}
	return c
}

// quantile returns a quantile of the latencies of short requests in seconds.
func (b bucket) quantile(q float64) float64 {
	if len(b.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(b.latencies))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }
