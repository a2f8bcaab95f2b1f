package dispatcher

import (
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/journaler"
	"kingcupvalve.example/kingcupvalve/picker"
)

// dispatch runs a request on the best target and retries it on others where that
// is safe.
func (d *Dispatcher) dispatch(j *job, s *sink) result {
	if j.kind == estimator.Feed {
		return d.runFeed(j, s)
	}
	r, mayHaveRun := d.tryTargets(j, s)
	if r.outcome == journaler.NotRun && mayHaveRun {
		r.outcome, r.status = journaler.Unknown, 0
	}
	return r
}

// tryTargets attempts a request on one target after another. It returns the last
// result and whether an earlier attempt may have executed the request.
func (d *Dispatcher) tryTargets(j *job, s *sink) (last result, mayHaveRun bool) {
	last = notRun(reasonNoTarget, estimator.Refused)
	for {
		choice, ok := d.pickTarget(j)
		if !ok {
			return last, mayHaveRun
		}
		j.attempts++
		if j.hops == 0 { // otherwise the forwarding agent has set it
			j.maxQueueWait = choice.MaxQueueWait
			if j.rerouted {
				j.maxQueueWait = 0
			}
		}
		if choice.Local {
			last = d.runLocal(j, s)
		} else {
			last = d.runRemote(j, choice.Target, s)
		}
		if last.reason == reasonReroute && j.hops == 0 && !j.rerouted && j.waitContext.Err() == nil && j.body.isReplayable() {
			// The next selection uses newer digests and may return the same target.
			j.rerouted = true
			continue
		}
		if !d.awaitRetry(j, s, last) {
			return last, mayHaveRun
		}
		mayHaveRun = mayHaveRun || last.outcome == journaler.Unknown
		j.excluded = append(j.excluded, choice.Target)
	}
}

// pickTarget selects a target for a request. It returns false if there is none.
func (d *Dispatcher) pickTarget(j *job) (picker.Choice, bool) {
	now := time.Now()
	d.lock.Lock()
	defer d.lock.Unlock()
	d.refreshSnapshot()
	d.picker.Observe(d.buildDigest(now), now)
	isLocal := j.hops > 0 || d.options.OpenStream == nil
	if isLocal && d.isDraining() {
		return picker.Choice{}, false
	}
	return d.picker.Pick(now, picker.Work{
		Kind: j.kind, Exclude: j.excluded, LocalOnly: isLocal, Probe: j.idempotent && j.attempts == 0,
	}, d.options.Random)
}

// awaitRetry reports whether a request may be retried on another target, and
// waits for the backoff if there is one. A request that may have been executed
// is retried only if it is idempotent, and no request is retried once the
// response to the caller has started.
func (d *Dispatcher) awaitRetry(j *job, s *sink, r result) bool {
	if r.outcome == journaler.Done || s.started || j.hops > 0 || j.attempts >= maxAttempts || !j.body.isReplayable() {
		return false
	}
	if r.outcome == journaler.Unknown && !j.idempotent {
		return false
	}
	if r.targetResult == estimator.Cancelled || j.waitContext.Err() != nil || !time.Now().Before(j.deadline) {
		return false
	}
	// The first retry is free, as part of normal operation, if the local backend
	// server did not run the request, or another target did not for a reason other
	// than overload, such as draining. Any other retry is charged to the budget.
	if r.outcome == journaler.NotRun && j.attempts == 1 && (r.local || r.reason != reasonOverload) {
		return true
	}
	d.lock.Lock()
	allowed := d.budget.TryRetry(time.Now())
	backoff := d.budget.Backoff(j.attempts, d.options.Random)
	d.lock.Unlock()
	if !allowed || time.Now().Add(backoff).After(j.deadline) {
		return false
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-j.waitContext.Done():
		return false
	}
}

// runFeed runs a feed on the local backend server. A feed counts against the
// connection limit of the service and takes no slot.
func (d *Dispatcher) runFeed(j *job, s *sink) result {
	d.lock.Lock()
	d.refreshSnapshot()
	reason := ""
	switch {
	case d.isDraining():
		reason = reasonDraining
	case d.feeds >= int(d.service.Policy().Connections):
		reason = reasonFeedLimit
	default:
		d.feeds++
	}
	d.lock.Unlock()
	if reason != "" {
		return notRun(reason, estimator.Refused)
	}
	r := d.sendToBackend(j, s)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.feeds--
	return r
}
