// Package recorder counts request outcomes by service and target in time
// buckets and keeps bounded lists of events, for the report on error budget
// burn.
//
// Counts are kept in buckets of one minute for at least 6 hours and of one hour
// for 4 days. They are kept in memory only: a process that is replaced loses
// them, and the report states the period that it covers. Memory is bounded by
// MaxSeries, with about 20 KB for each pair of service and target, and by the
// limits of the event lists.
//
// # Usage
//
//	r := recorder.NewRecorder(recorder.Options{})
//	r.Record("cutlist-svc", "saw-3", recorder.OutcomeGood, time.Now())
//	r.AddEvent(recorder.NewEvent(recorder.EventRevision, "", "", "revision 42 in force"), time.Now())
//	buckets := r.Buckets(time.Now().Add(-time.Hour), time.Now())
package recorder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Outcome is the result of one request as the service-level objective counts
// it.
type Outcome uint8

// Outcomes. All but OutcomeGood spend error budget.
const (
	// OutcomeGood is a complete response in time.
	OutcomeGood Outcome = iota
	// OutcomeRefused is a request that was refused without being run.
	OutcomeRefused
	// OutcomeBroken is a truncated response or an error of the backend server.
	OutcomeBroken
	// OutcomeLate is a complete response after the objective's latency.
	OutcomeLate
	// OutcomeUnknown is a request that may or may not have run.
	OutcomeUnknown
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"good", "refused", "broken", "late", "unknown"}

// String returns the name of the outcome in the operator API and in metrics.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "invalid"
	}
	return outcomeNames[o]
}

// dispatcherOutcomes maps the outcome names of package dispatcher that differ
// from those of this package.
var dispatcherOutcomes = map[string]Outcome{
	"done": OutcomeGood, "not_run": OutcomeRefused, "failed": OutcomeBroken, "truncated": OutcomeBroken,
}

// ParseOutcome returns the outcome with the given name, either as returned by
// String or as used by package dispatcher. It returns false for other names.
func ParseOutcome(name string) (Outcome, bool) {
	if o, ok := dispatcherOutcomes[name]; ok {
		return o, true
	}
	i := slices.Index(outcomeNames[:], name)
	return Outcome(max(i, 0)), i >= 0
}

// Outcomes lists all outcomes, the good one first.
func Outcomes() []Outcome {
	return []Outcome{OutcomeGood, OutcomeRefused, OutcomeBroken, OutcomeLate, OutcomeUnknown}
}

const (
	minuteWidth = time.Minute
	hourWidth   = time.Hour
	// minuteBuckets covers 7 hours. An hour with expired minutes is read from the
	// hour buckets, so that at least 6 whole hours are available by the minute.
	minuteBuckets = 7 * 60
	hourBuckets   = 4*24 + 1
)

// MaxSeries is the number of pairs of service and target that are counted
// separately. Further targets are counted under OtherTarget of their service,
// and beyond twice the number under OtherTarget as both service and target.
const MaxSeries = 256

// OtherTarget is the name under which the remaining targets or services are
// counted together.
const OtherTarget = "(other)"

// seriesKey identifies what is counted separately.
type seriesKey struct {
	service string
	target  string
}

// bucketCounts holds the counts of one bucket. The start is the Unix time in
// units of the bucket width.
type bucketCounts struct {
	start  int64
	counts [outcomeCount]uint32
}

// seriesCounts holds the counts of one service and target, in a ring of buckets
// for each width.
type seriesCounts struct {
	minutes [minuteBuckets]bucketCounts
	hours   [hourBuckets]bucketCounts
}

// Options configures a Recorder.
type Options struct {
	// MaxSeries overrides the constant MaxSeries unless it is 0.
	MaxSeries int
}

// Recorder counts outcomes and keeps events. It is safe for concurrent use.
type Recorder struct {
	maxSeries int
	mutex     sync.Mutex
	newest    time.Time
	counts    map[seriesKey]*seriesCounts
	events    [eventKindCount][]Event
}

// NewRecorder returns an empty recorder.
func NewRecorder(o Options) *Recorder {
	return &Recorder{maxSeries: cmp.Or(o.MaxSeries, MaxSeries), counts: make(map[seriesKey]*seriesCounts)}
}

var outcomeCounters = func() (counters [outcomeCount]*metrics.Counter) {
	for i, name := range outcomeNames {
		counters[i] = metrics.GetOrCreateCounter(`kingcupvalve_outcomes_total{outcome="` + name + `"}`)
	}
	return counters
}()

// Record counts the outcome of one request that ended at the time now. It
// ignores an invalid outcome.
func (r *Recorder) Record(service, target string, outcome Outcome, now time.Time) {
	if outcome >= outcomeCount {
		return
	}
	outcomeCounters[outcome].Inc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// If the clock steps back by more than the retained minutes, the outcome is
	// counted at the oldest retained minute. The bucket of an earlier minute has
	// been reused for a later one, so minute and hour buckets would disagree.
	r.newest = maxTime(r.newest, now)
	now = maxTime(now, r.newest.Add(-(minuteBuckets-1)*minuteWidth))
	c := r.findCounts(seriesKey{service, target})
	addCount(c.minutes[:], now.Unix()/int64(minuteWidth/time.Second), outcome)
	addCount(c.hours[:], now.Unix()/int64(hourWidth/time.Second), outcome)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addCount counts an outcome in the bucket with the given start. The bucket must
// not hold a later start. A count stops at its maximum instead of wrapping.
func addCount(ring []bucketCounts, start int64, outcome Outcome) {
	b := &ring[start%int64(len(ring))]
	if start > b.start {
		*b = bucketCounts{start: start}
	}
	if b.counts[outcome]+1 != 0 {
		b.counts[outcome]++
	}
}

func (r *Recorder) findCounts(key seriesKey) *seriesCounts {
	if c := r.counts[key]; c != nil {
		return c
	}
	// Beyond the limit, a service adds at most one entry for all its further
	// targets. Beyond twice the limit, all further services share one entry.
	if len(r.counts) >= r.maxSeries {
		key.target = OtherTarget
	}
	if len(r.counts) >= 2*r.maxSeries {
		key.service = OtherTarget
	}
	c := r.counts[key]
	if c == nil {
		c = &seriesCounts{}
		r.counts[key] = c
	}
	return c
}

// Bucket holds the counts of one service and target in one interval of time.
type Bucket struct {
	service string
	target  string
	start   time.Time
	width   time.Duration
	counts  [outcomeCount]uint32
}

// Service returns the name of the service.
func (b Bucket) Service() string { return b.service }

// Target returns the name of the target.
func (b Bucket) Target() string { return b.target }

// Start returns the start of the bucket in UTC.
func (b Bucket) Start() time.Time { return b.start }

// Width returns one minute or one hour.
func (b Bucket) Width() time.Duration { return b.width }

// Count returns the number of requests with an outcome.
func (b Bucket) Count(o Outcome) int64 { return int64(b.counts[o]) }

// Buckets returns the buckets that end after since, sorted by service, target
// and start. Buckets don't overlap: an hour is returned as minute buckets if all
// its minutes are retained, and as one hour bucket otherwise. Empty buckets are
// omitted.
func (r *Recorder) Buckets(since, now time.Time) []Bucket {
	// The newest minute overwrites the bucket of minuteBuckets minutes earlier.
	oldestMinute := now.Truncate(minuteWidth).Add(-(minuteBuckets - 1) * minuteWidth)
	cutoff := oldestMinute.Add(hourWidth - 1).Truncate(hourWidth)
	oldestHour := now.Truncate(hourWidth).Add(-(hourBuckets - 1) * hourWidth)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var buckets []Bucket
	for key, c := range r.counts {
		buckets = appendBuckets(buckets, key, c.hours[:], hourWidth, func(start time.Time) bool {
			return !start.Before(oldestHour) && start.Before(cutoff) && start.Add(hourWidth).After(since)
		})
		buckets = appendBuckets(buckets, key, c.minutes[:], minuteWidth, func(start time.Time) bool {
			return !start.Before(cutoff) && start.Add(minuteWidth).After(since)
		})
	}
	slices.SortFunc(buckets, func(a, b Bucket) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.target, b.target), a.start.Compare(b.start))
	})
	return buckets
}

func appendBuckets(buckets []Bucket, key seriesKey, ring []bucketCounts, width time.Duration, wanted func(time.Time) bool) []Bucket {
	for i := range ring {
		b := &ring[i]
		start := time.Unix(b.start*int64(width/time.Second), 0).UTC()
		if b.counts == [outcomeCount]uint32{} || !wanted(start) {
			continue
		}
		buckets = append(buckets, Bucket{service: key.service, target: key.target, start: start, width: width, counts: b.counts})
	}
	return buckets
}
