package tracker

import "time"

const (
	// restartMargin is less than the time that an agent needs to start again. A target
	// that started at most this long before its agent got no flow from an earlier
	// process of the agent.
	restartMargin = 300 * time.Millisecond
	// maxClockDrift is the difference between the wall clock and the monotonic clock
	// from which on the wall clock counts as stepped.
	maxClockDrift = 100 * time.Millisecond
	// settleTime covers the packets that were on their way when the agent started.
	settleTime = time.Second
)

// knowledge tells whether the tracker has seen every flow that the target may hold.
// Flows reach the target through the agent only, so it has seen them all if the
// target did not run before the agent, or if the agent has run for longer than flows
// may be idle.
type knowledge struct {
	startedAt time.Time // of the agent
	// completeAt is when every flow that is not idle for too long has been seen.
	completeAt  time.Time
	idleTimeout time.Duration // the longest one so far
	// targetStartedMs is the start of the target as it states it, in ms since 1970.
	targetStartedMs int64
	// isTargetNew is set if the target did not run before the agent.
	isTargetNew bool
	// hasMissed is set when a flow was not tracked because there were too many.
	hasMissed bool
}

// setIdleTimeout sets the time after which an idle flow may be dropped. Flows that
// were dropped by a shorter one are not known.
func (k *knowledge) setIdleTimeout(d time.Duration, now time.Time) {
	if d <= k.idleTimeout {
		return
	}
	k.isTargetNew = k.isTargetNew && k.idleTimeout == 0
	k.idleTimeout, k.completeAt = d, now.Add(d+settleTime)
}

// observeTarget records when the target says that it started, 0 if it doesn't.
func (k *knowledge) observeTarget(startedMs int64, now time.Time) {
	if startedMs == k.targetStartedMs {
		return
	}
	k.targetStartedMs = startedMs
	drift := now.Round(0).Sub(k.startedAt.Round(0)) - now.Sub(k.startedAt)
	started := time.UnixMilli(startedMs)
	k.isTargetNew = startedMs != 0 && drift.Abs() < maxClockDrift &&
		started.After(k.startedAt.Add(-restartMargin)) && started.Before(now.Add(maxClockDrift))
}

// isComplete reports whether every flow that the target may hold has been seen.
func (k *knowledge) isComplete(now time.Time) bool {
	return !k.hasMissed && (k.isTargetNew || k.idleTimeout > 0 && !now.Before(k.completeAt))
}

// ObserveTarget records when the target says that it started, in ms since 1970; 0 if
// it doesn't say.
func (t *Tracker) ObserveTarget(startedMs int64, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.knowledge.observeTarget(startedMs, now)
}

// Lacks reports whether the target certainly does not hold a flow, so that a packet
// of it need not be offered to the target.
func (t *Tracker) Lacks(key uint64, now time.Time) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.flows[key] == nil && t.knowledge.isComplete(now)
}
