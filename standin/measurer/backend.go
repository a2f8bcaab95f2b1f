package measurer

import (
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
)

// balancerCount is the number of balancers, which choose the targets in the
// baselines.
const balancerCount = 3

// jobDuration returns the execution time of a job that starts now.
func (n *node) jobDuration(j *job) time.Duration {
	d := j.work / n.speed * n.slowdown
	if n.coldUntil.After(n.simulation.now) {
		d *= coldSlowdown
	}
	return time.Duration(d * float64(time.Second))
}

// startJob runs an admitted request and reports the result to the decision
// packages of the target's agent and of the agent that holds the connection.
func (n *node) startJob(j *job) {
	sm := n.simulation
	started, incarnation, kind := sm.now, n.incarnation, sm.variant.queueKind(j.kind)
	n.estimator.RecordStart(kind, sm.now)
	n.runOnBackend(j, func(result estimator.Result) {
		if incarnation != n.incarnation {
			sm.stats.recordLostJob(sm, j)
			return
		}
		took := sm.now.Sub(started)
		n.estimator.RecordFinish(kind, sm.now, took, result)
		if result == estimator.Refused && sm.variant.noAdaptiveLimit {
			n.limiter.Finish(sm.now, j.id, took, estimator.Succeeded)
		} else {
			n.limiter.Finish(sm.now, j.id, took, result)
		}
		n.applyLimiter()
		sm.after(n.forwardDelay(j), func() { j.ingress.handleResponse(n, j, took, result) })
	})
}

// runOnBackend runs a job on the backend server and calls done with the result.
func (n *node) runOnBackend(j *job, done func(estimator.Result)) {
	sm := n.simulation
	if n.running >= n.slots {
		sm.stats.currentBucket(sm).backendRefused++
		sm.after(refusalDelay, func() { done(estimator.Refused) })
		return
	}
	if n.errorRate > 0 && sm.random.Float64() < n.errorRate {
		sm.after(refusalDelay, func() { done(estimator.Failed) })
		return
	}
	n.running++
	j.executions++
	incarnation := n.incarnation
	sm.after(n.jobDuration(j), func() {
		if incarnation == n.incarnation {
			n.running--
			sm.stats.recordExecution(sm, n, j)
		}
		done(estimator.Succeeded)
	})
}

// handleResponse processes the result of target m at the agent that holds the
// caller's connection.
func (n *node) handleResponse(m *node, j *job, took time.Duration, result estimator.Result) {
	sm := n.simulation
	n.picker.Observe(m.buildDigest(), sm.now)
	short := took
	if j.kind != estimator.Short || result != estimator.Succeeded {
		short = 0
	}
	n.ejector.Observe(m.id, result, short, sm.now)
	switch result {
	case estimator.Succeeded:
		n.budget.RecordSuccess(sm.now)
		sm.stats.recordResponse(sm, j)
	case estimator.Refused:
		n.handleRefusal(m, j, 100*time.Millisecond)
	default:
		if j.idempotent && !sm.variant.noRetry && j.attempts < 3 && n.budget.TryRetry(sm.now) {
			j.exclude = append(j.exclude, m.id)
			n.place(j)
			return
		}
		sm.stats.recordFailure(sm, j)
	}
}

// offerBaseline places a request through a random balancer, without agents. Every
// target has one bounded FIFO queue for all work.
func (sm *simulation) offerBaseline(j *job) {
	b := sm.random.IntN(balancerCount)
	i := sm.chooseBaseline(b)
	n := sm.nodes[i]
	sm.stats.recordDispatch(sm, n)
	if !n.up || len(n.fifo) >= 256 {
		sm.refuse(j, time.Second)
		return
	}
	sm.inFlight[b][i]++
	sm.stats.recordAdmission(sm, j)
	j.attempts = b
	n.fifo = append(n.fifo, j)
	n.startQueuedBaseline()
}

func (n *node) startQueuedBaseline() {
	sm := n.simulation
	for n.running < n.slots && len(n.fifo) > 0 {
		j := n.fifo[0]
		n.fifo = n.fifo[1:]
		incarnation := n.incarnation
		end := func(result estimator.Result) {
			sm.inFlight[j.attempts][n.id-1]--
			switch {
			case incarnation != n.incarnation:
				sm.stats.recordLostJob(sm, j)
			case result == estimator.Succeeded:
				sm.stats.recordResponse(sm, j)
			default:
				sm.stats.recordFailure(sm, j)
			}
			n.startQueuedBaseline()
		}
		if sm.now.After(j.deadline) {
			// The caller has closed the connection, so the server drops the job.
			sm.inFlight[j.attempts][n.id-1]--
			sm.stats.recordFailure(sm, j)
			continue
		}
		n.runOnBackend(j, end)
	}
}

func (sm *simulation) chooseBaseline(b int) int {
	switch sm.variant.baseline {
	case "round_robin":
		sm.roundRobin[b]++
		return (sm.roundRobin[b] + b) % len(sm.nodes)
	case "least_connections":
		best := sm.random.IntN(len(sm.nodes))
		for i := range sm.nodes {
			if sm.inFlight[b][i] < sm.inFlight[b][best] {
				best = i
			}
		}
		return best
	case "switch_uniform", "switch_capacity":
		return sm.chooseByWeight()
	default:
		return sm.random.IntN(len(sm.nodes))
	}
}

// chooseByWeight draws a target by static weights. At low utilisation the weights
// are the squares of the speeds, because fast targets complete a unit of work at
// lower cost. At high utilisation they are uniform or the true capacities, which
// a real system doesn't know. Weights switch to the former below 60% and to the
// latter above 70%, for hysteresis.
func (sm *simulation) chooseByWeight() int {
	var busy, slots float64
	for _, n := range sm.nodes {
		busy += float64(n.running)
		slots += float64(n.slots)
	}
	if share := busy / slots; share > 0.7 {
		sm.preferFast = false
	} else if share < 0.6 {
		sm.preferFast = true
	}
	weight := func(n *node) float64 {
		if sm.preferFast {
			return n.speed * n.speed
		}
		if sm.variant.baseline == "switch_capacity" {
			return n.capacity()
		}
		return 1
	}
	var total float64
	for _, n := range sm.nodes {
		total += weight(n)
	}
	at := sm.random.Float64() * total
	for i, n := range sm.nodes {
		if at -= weight(n); at < 0 {
			return i
		}
	}
	return len(sm.nodes) - 1
}
