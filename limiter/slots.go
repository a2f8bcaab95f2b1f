package limiter

import (
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
)

// limitDecreaseFactor is applied to the concurrency limit on each explicit
// refusal.
const limitDecreaseFactor = 0.75

// limitRecovery is the time in which the limit grows from zero to the number of
// slots.
const limitRecovery = 10 * time.Second

// minRetryAfter keeps a refused caller from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

func (l *Limiter) usableSlots() int {
	return max(1, int(l.limit+1e-9))
}

func (l *Limiter) growLimit(now time.Time) {
	if elapsed := now.Sub(l.limitGrownAt); !l.limitGrownAt.IsZero() && elapsed > 0 {
		slots := float64(l.options.Slots)
		l.limit = min(slots, l.limit+slots*elapsed.Seconds()/limitRecovery.Seconds())
	}
	l.limitGrownAt = now
}

// recordEmptyQueues records the time for each queue that is empty.
func (l *Limiter) recordEmptyQueues(now time.Time) {
	for k := range l.queues {
		if len(l.queues[k]) == 0 {
			l.lastEmpty[k] = now
		}
	}
}

// hasStandingQueue reports whether a queue has not been empty for longer than a
// short burst would explain.
func (l *Limiter) hasStandingQueue(now time.Time, kind estimator.Kind) bool {
	return now.Sub(l.lastEmpty[kind]) > max(time.Second, 2*l.options.Cost(kind))
}

// maxWait returns the bound on the wait in a standing queue. It is at least two
// costs, so that work of either kind can wait for the requests that run before
// it.
func (l *Limiter) maxWait(kind estimator.Kind) time.Duration {
	return max(l.options.MaxStandingWait, 2*l.options.Cost(kind))
}

// reclassify counts running short requests as long after a multiple of the
// expected cost of short work. Such a request is long without having been
// declared so. Counted as short, it would let too much long work run beside it.
func (l *Limiter) reclassify(now time.Time) {
	limit := time.Duration(l.options.ReclassifyFactor * float64(l.options.Cost(estimator.Short)))
	if l.runningByKind[estimator.Short] == 0 {
		return
	}
	for id, e := range l.running {
		if e.Kind == estimator.Short && now.Sub(e.started) > limit {
			e.Kind = estimator.Long
			l.running[id] = e
			l.runningByKind[estimator.Short]--
			l.runningByKind[estimator.Long]++
		}
	}
}

// longSlots returns the number of slots that long work may use: all of them when
// no short work is present or likely, otherwise its share, at least one. Of two
// or more slots it leaves at least one to short work, unless the share is 1.
func (l *Limiter) longSlots(now time.Time) int {
	usable := l.usableSlots()
	quiet := l.lastShort.IsZero() || now.Sub(l.lastShort) > l.options.ShortWorkWindow
	if quiet && l.runningByKind[estimator.Short] == 0 && len(l.queues[estimator.Short]) == 0 {
		return usable
	}
	if usable == 1 || l.options.LongShare >= 1 {
		return usable
	}
	return min(usable-1, max(1, int(float64(usable)*l.options.LongShare)))
}

func (l *Limiter) mayStart(now time.Time, kind estimator.Kind) bool {
	if len(l.running) >= l.usableSlots() {
		return false
	}
	return kind == estimator.Short || l.runningByKind[estimator.Long] < l.longSlots(now)
}

// selectQueue returns the kind whose oldest queued request starts next, or false
// when none can start. Short work goes first until a long request has waited for
// LongPriorityWait. In overload, when short work has a standing queue, long work
// takes its share immediately: short work waits anyway, and long work must
// progress.
func (l *Limiter) selectQueue(now time.Time) (estimator.Kind, bool) {
	short, long := l.queues[estimator.Short], l.queues[estimator.Long]
	longReady := len(long) > 0 && l.mayStart(now, estimator.Long)
	shortReady := len(short) > 0 && l.mayStart(now, estimator.Short)
	if longReady && shortReady {
		overload := l.hasStandingQueue(now, estimator.Short)
		if overload || now.Sub(long[0].arrived) >= l.options.LongPriorityWait {
			return estimator.Long, true
		}
		return estimator.Short, true
	}
	if longReady {
		return estimator.Long, true
	}
	return estimator.Short, shortReady
}

// refuseExpired refuses queued requests that are expected to end after their
// deadline and those that have waited longer than their limit.
func (l *Limiter) refuseExpired(now time.Time, c *Changes) {
	for k := range l.queues {
		kept := l.queues[k][:0]
		for _, e := range l.queues[k] {
			if e.MaxQueueWait > 0 && now.Sub(e.arrived) > e.MaxQueueWait {
				c.Refuse = append(c.Refuse, Refusal{ID: e.ID, Reroute: true, RetryAfter: minRetryAfter})
				continue
			}
			late := now.Add(l.ownCost(e.Request)).Sub(e.Deadline)
			if e.Deadline.IsZero() || late <= 0 {
				kept = append(kept, e)
				continue
			}
			c.Refuse = append(c.Refuse, Refusal{ID: e.ID, RetryAfter: l.retryAfter(now, e.Kind, late, l.estimateWait(now, e.Kind))})
		}
		l.queues[k] = kept
	}
}

func (l *Limiter) ownCost(r Request) time.Duration {
	if r.Cost > 0 {
		return r.Cost
	}
	return l.options.Cost(r.Kind)
}

func (l *Limiter) finishCost(r Request) time.Duration {
	return time.Duration(float64(l.ownCost(r)) * l.options.CostMargin)
}

// estimateWait returns the expected time until a new request of this kind
// starts. It assumes that the work ahead of it runs on the slots that its kind
// may use while the other kind uses its share.
func (l *Limiter) estimateWait(now time.Time, kind estimator.Kind) time.Duration {
	if len(l.queues[kind]) == 0 && l.mayStart(now, kind) {
		return 0
	}
	slots := l.longSlots(now)
	if kind == estimator.Short {
		slots = max(1, l.usableSlots()-min(slots, l.runningByKind[estimator.Long]+len(l.queues[estimator.Long])))
	}
	ahead := float64(len(l.queues[kind])) + 1
	return time.Duration(ahead * float64(l.options.Cost(kind)) / float64(slots))
}

// retryAfter returns the time after which a refused request would be admitted if
// no other arrives. The work ahead must shrink by the time by which the request
// is late, and to the bound on the wait if the queue is a standing queue by
// then. A request that would be late even with an empty queue gets the whole
// wait.
func (l *Limiter) retryAfter(now time.Time, kind estimator.Kind, late, wait time.Duration) time.Duration {
	after := min(late, wait)
	if l.hasStandingQueue(now.Add(after), kind) {
		after = max(after, wait-l.maxWait(kind))
	}
	return max(minRetryAfter, after)
}
