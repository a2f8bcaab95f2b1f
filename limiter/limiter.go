// Package limiter decides for one target which requests run, wait or are
// refused. Short and long work wait in separate queues. Long work is limited to
// a share of the slots while short work is present or likely, and keeps that
// share under load, so that neither kind starves.
//
// A request is admitted only if its expected finish (expected wait plus
// expected cost with a margin) is before its deadline. A refusal is final: the
// request was not run.
//
// A standing queue (RFC 8289), that is one that has not been empty for a while,
// adds delay and no throughput. While there is one, requests whose expected wait
// exceeds a bound are refused even if their deadline is far off, so that the
// queue empties soon after a demand peak.
//
// Digests lag, so a request may reach a target that has filled up since. A
// request with a limit on its wait is refused with Reroute set instead of
// waiting longer, and the agent chooses another target.
//
// The concurrency limit follows explicit refusals by the backend server: it
// shrinks by a quarter on each refusal and grows back linearly to the number of
// slots within 10 seconds.
//
// A Limiter is not safe for concurrent use.
//
// # Usage
//
//	l := limiter.NewLimiter(limiter.Options{Slots: 2, Cost: e.Cost})
//	switch d := l.Offer(now, limiter.Request{ID: 7, Kind: estimator.Short, Deadline: deadline}); d.Verdict {
//	case limiter.Run: // start now, then l.Finish and l.Tick
//	case limiter.Queue: // wait for the ID in Changes
//	case limiter.Refuse: // answer 503 with d.RetryAfter
//	}
//	l.Finish(now, 7, duration, estimator.Succeeded)
//	changes := l.Tick(now) // after every Finish and every few milliseconds
package limiter

import (
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
)

// Options configures a Limiter. Zero fields take the default in brackets.
type Options struct {
	Slots            int                                // requests that may run concurrently [2]
	QueueLimit       int                                // maximum number of queued requests, both kinds together [256]
	LongShare        float64                            // share of the slots for long work while short work is present or likely [0.5]
	ShortWorkWindow  time.Duration                      // time after the last short request while more short work is likely [10 s]
	LongPriorityWait time.Duration                      // wait after which a long request goes before short ones [2 s]
	CostMargin       float64                            // factor on the request's own expected cost [2]
	MaxStandingWait  time.Duration                      // bound on the wait in a standing queue, at least two costs [300 ms]
	ReclassifyFactor float64                            // running time, in costs of short work, after which a short request counts as long [4]
	TestInterval     time.Duration                      // minimum time between two requests of a kind that test the cost estimate [250 ms]
	Cost             func(estimator.Kind) time.Duration // expected cost [50 ms short, 2 s long]
}

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, 2)
	setDefault(&o.QueueLimit, 256)
	setDefault(&o.LongShare, 0.5)
	setDefault(&o.ShortWorkWindow, 10*time.Second)
	setDefault(&o.LongPriorityWait, 2*time.Second)
	setDefault(&o.CostMargin, 2)
	setDefault(&o.ReclassifyFactor, 4)
	setDefault(&o.MaxStandingWait, 300*time.Millisecond)
	setDefault(&o.TestInterval, 250*time.Millisecond)
	if o.Cost == nil {
		o.Cost = func(k estimator.Kind) time.Duration {
			if k == estimator.Long {
				return 2 * time.Second
			}
			return 50 * time.Millisecond
		}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Verdict is the decision on an offered request.
type Verdict uint8

// The verdicts on a request.
const (
	Run Verdict = iota
	Queue
	Refuse
)

// Request is a request that needs a slot. Feeds need none and are not offered.
type Request struct {
	ID           uint64 // unique among running and queued requests
	Kind         estimator.Kind
	Deadline     time.Time     // zero for none
	Cost         time.Duration // zero for the expected cost of the kind
	MaxQueueWait time.Duration // refuse it with Reroute set when it waits or would wait longer; zero for no limit
}

// Decision is the answer to Offer.
type Decision struct {
	Verdict    Verdict
	Wait       time.Duration // expected wait in the queue
	Finish     time.Duration // expected time until the request ends, with the margin
	Reroute    bool          // refused only because of its wait limit: another target may be better
	Test       bool          // runs to test the cost estimate although it is expected to miss its deadline
	RetryAfter time.Duration // with Refuse: time after which the same request would be admitted
}

// Refusal is a queued request that is refused and not run.
type Refusal struct {
	ID         uint64
	Reroute    bool // refused only because of its wait limit
	RetryAfter time.Duration
}

// Changes lists the queued requests that a Tick started or refused.
type Changes struct {
	Run    []uint64
	Refuse []Refusal
}

// Load counts the requests that the limiter holds, by kind.
type Load struct {
	Running [2]int
	Queued  [2]int
	Limit   int // slots that may be used now, after the concurrency limit
}

// entry is a queued or running request.
type entry struct {
	Request
	arrived time.Time
	started time.Time
}

// Limiter admits the requests of one target.
type Limiter struct {
	options       Options
	limit         float64
	limitGrownAt  time.Time
	running       map[uint64]entry
	runningByKind [2]int
	queues        [2][]entry
	lastShort     time.Time
	lastEmpty     [2]time.Time // when each queue was last empty
	lastTested    [2]time.Time // when a request of each kind last tested the cost estimate
}

// NewLimiter returns a Limiter without requests whose limit is the number of
// slots.
func NewLimiter(options Options) *Limiter {
	o := options.withDefaults()
	return &Limiter{options: o, limit: float64(o.Slots), running: make(map[uint64]entry)}
}

// Load returns the current counts and the limit.
func (l *Limiter) Load() Load {
	return Load{
		Running: l.runningByKind,
		Queued:  [2]int{len(l.queues[0]), len(l.queues[1])},
		Limit:   l.usableSlots(),
	}
}

// SetSlots changes the number of slots, for instance during a cold start ramp.
// Running requests continue; new ones start only while fewer than the new number
// run.
func (l *Limiter) SetSlots(slots int) {
	slots = max(1, slots)
	if l.limit >= float64(l.options.Slots) || l.limit > float64(slots) {
		l.limit = float64(slots)
	}
	l.options.Slots = slots
}

// Offer decides whether a new request runs now, is queued or is refused.
func (l *Limiter) Offer(now time.Time, r Request) Decision {
	if r.Kind != estimator.Long {
		r.Kind = estimator.Short
		l.lastShort = now
	}
	if _, ok := l.running[r.ID]; ok {
		return Decision{Verdict: Refuse, RetryAfter: minRetryAfter}
	}
	l.recordEmptyQueues(now)
	d := Decision{Wait: l.estimateWait(now, r.Kind)}
	d.Finish = d.Wait + l.finishCost(r)
	if d.Wait > l.maxWait(r.Kind) && l.hasStandingQueue(now, r.Kind) {
		d.Verdict, d.RetryAfter = Refuse, l.retryAfter(now, r.Kind, 0, d.Wait)
		return d
	}
	if !r.Deadline.IsZero() && now.Add(d.Finish).After(r.Deadline) {
		if l.mayTestEstimate(now, r) {
			l.lastTested[r.Kind] = now
			l.start(now, entry{Request: r, arrived: now})
			d.Verdict, d.Test = Run, true
			return d
		}
		d.Verdict = Refuse
		d.RetryAfter = l.retryAfter(now, r.Kind, now.Add(d.Finish).Sub(r.Deadline), d.Wait)
		return d
	}
	if r.MaxQueueWait > 0 && d.Wait > r.MaxQueueWait {
		d.Verdict, d.Reroute, d.RetryAfter = Refuse, true, l.retryAfter(now, r.Kind, d.Wait, d.Wait)
		return d
	}
	e := entry{Request: r, arrived: now}
	if len(l.queues[r.Kind]) == 0 && l.mayStart(now, r.Kind) {
		l.start(now, e)
		return d
	}
	if len(l.queues[0])+len(l.queues[1]) >= l.options.QueueLimit {
		d.Verdict = Refuse
		d.RetryAfter = l.retryAfter(now, r.Kind, d.Wait, d.Wait)
		return d
	}
	d.Verdict = Queue
	l.queues[r.Kind] = append(l.queues[r.Kind], e)
	return d
}

// maxTestCostRatio is the largest ratio of the expected cost to the time left
// until the deadline at which a request may test the estimate. Durations differ
// by a factor of about 30, so a request with less time left is not worth a slot.
const maxTestCostRatio = 32

// mayTestEstimate reports whether a request may run although it is expected to
// miss its deadline. Only requests that run correct the cost estimate: without
// such tests, an initial value or a slow phase that is over would refuse all
// work of a kind forever.
func (l *Limiter) mayTestEstimate(now time.Time, r Request) bool {
	return r.Deadline.Sub(now) >= l.ownCost(r)/maxTestCostRatio && l.runningByKind[r.Kind] == 0 && len(l.queues[r.Kind]) == 0 && l.mayStart(now, r.Kind) &&
		(l.lastTested[r.Kind].IsZero() || now.Sub(l.lastTested[r.Kind]) >= l.options.TestInterval)
}

// Finish ends a running request and adapts the concurrency limit to its result.
// Unknown IDs are ignored.
func (l *Limiter) Finish(now time.Time, id uint64, _ time.Duration, result estimator.Result) {
	e, ok := l.running[id]
	if !ok {
		return
	}
	delete(l.running, id)
	l.runningByKind[e.Kind]--
	l.growLimit(now)
	if result == estimator.Refused {
		l.limit = max(1, l.limit*limitDecreaseFactor)
	}
}

// Cancel removes a queued request and reports whether it was queued. A running
// request is ended by Finish.
func (l *Limiter) Cancel(_ time.Time, id uint64) bool {
	for k := range l.queues {
		for i, e := range l.queues[k] {
			if e.ID == id {
				l.queues[k] = append(l.queues[k][:i], l.queues[k][i+1:]...)
				return true
			}
		}
	}
	return false
}

// Tick starts queued requests on free slots. It refuses those that are expected
// to miss their deadline and those that exceeded their wait limit.
func (l *Limiter) Tick(now time.Time) Changes {
	var c Changes
	l.growLimit(now)
	l.reclassify(now)
	l.refuseExpired(now, &c)
	for {
		kind, ok := l.selectQueue(now)
		if !ok {
			l.recordEmptyQueues(now)
			return c
		}
		e := l.queues[kind][0]
		l.queues[kind] = l.queues[kind][1:]
		l.start(now, e)
		c.Run = append(c.Run, e.ID)
	}
}

func (l *Limiter) start(now time.Time, e entry) {
	e.started = now
	l.running[e.ID] = e
	l.runningByKind[e.Kind]++
}
