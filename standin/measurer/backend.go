package measurer

import (
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
)

// balancerCount is the number of entry hosts that decide in the baselines.
const balancerCount = 3

// duration returns how long the backend server runs a job that starts now.
func (n *node) duration(j *job) time.Duration {
	d := j.work / n.speed * n.slow
	if n.cold.After(n.world.now) {
		d *= coldFactor
	}
	return time.Duration(d * float64(time.Second))
}

// execute runs an admitted request and feeds the result to the decision
// packages of the target and of the agent that holds the connection.
func (n *node) execute(j *job) {
	w := n.world
	started, life, kind := w.now, n.life, w.variant.queueKind(j.kind)
	n.estimator.RecordStart(kind, w.now)
	n.runJob(j, func(result estimator.Result) {
		if life != n.life {
			w.stats.broken(w, j)
			return
		}
		took := w.now.Sub(started)
		n.estimator.RecordFinish(kind, w.now, took, result)
		if result == estimator.Refused && w.variant.noAdaptive {
			n.limiter.Finish(w.now, j.id, took, estimator.Succeeded)
		} else {
			n.limiter.Finish(w.now, j.id, took, result)
		}
		n.advance()
		w.after(n.distance(j), func() { j.ingress.answered(n, j, took, result) })
	})
}

// runJob runs a job on the backend server and calls done with the result.
func (n *node) runJob(j *job, done func(estimator.Result)) {
	w := n.world
	if n.running >= n.slots {
		w.stats.bucket(w).shed++
		w.after(shed, func() { done(estimator.Refused) })
		return
	}
	if n.errorRate > 0 && w.random.Float64() < n.errorRate {
		w.after(shed, func() { done(estimator.Failed) })
		return
	}
	n.running++
	j.started++
	life := n.life
	w.after(n.duration(j), func() {
		if life == n.life {
			n.running--
			w.stats.worked(w, n, j)
		}
		done(estimator.Succeeded)
	})
}

// answered handles the end of a request at the agent of its connection.
func (n *node) answered(m *node, j *job, took time.Duration, result estimator.Result) {
	w := n.world
	n.picker.Observe(m.digest(), w.now)
	short := took
	if j.kind != estimator.Short || result != estimator.Succeeded {
		short = 0
	}
	n.ejector.Observe(m.id, result, short, w.now)
	switch result {
	case estimator.Succeeded:
		n.budget.RecordSuccess(w.now)
		w.stats.finished(w, j)
	case estimator.Refused:
		n.refusedBy(m, j, 100*time.Millisecond)
	default:
		if j.idempotent && !w.variant.noRetry && j.attempts < 3 && n.budget.TryRetry(w.now) {
			j.exclude = append(j.exclude, m.id)
			n.place(j)
			return
		}
		w.stats.failed(w, j)
	}
}

// offerBaseline lets one balancer place a request without agents. Every target
// has one bounded queue for all work.
func (w *world) offerBaseline(j *job) {
	b := w.random.IntN(balancerCount)
	i := w.chooseBaseline(b)
	n := w.nodes[i]
	w.stats.dispatched(w, n)
	if !n.up || len(n.fifo) >= 256 {
		w.refuse(j, time.Second)
		return
	}
	w.open[b][i]++
	w.stats.admitted(w, j)
	j.attempts = b
	n.fifo = append(n.fifo, j)
	n.serveBaseline()
}

func (n *node) serveBaseline() {
	w := n.world
	for n.running < n.slots && len(n.fifo) > 0 {
		j := n.fifo[0]
		n.fifo = n.fifo[1:]
		life := n.life
		end := func(result estimator.Result) {
			w.open[j.attempts][n.id-1]--
			switch {
			case life != n.life:
				w.stats.broken(w, j)
			case result == estimator.Succeeded:
				w.stats.finished(w, j)
			default:
				w.stats.failed(w, j)
			}
			n.serveBaseline()
		}
		if w.now.After(j.deadline) {
			// The caller is gone; a usual server notices that.
			w.open[j.attempts][n.id-1]--
			w.stats.failed(w, j)
			continue
		}
		n.runJob(j, end)
	}
}

func (w *world) chooseBaseline(b int) int {
	switch w.variant.baseline {
	case "round_robin":
		w.turns[b]++
		return (w.turns[b] + b) % len(w.nodes)
	case "least_connections":
		best := w.random.IntN(len(w.nodes))
		for i := range w.nodes {
			if w.open[b][i] < w.open[b][best] {
				best = i
			}
		}
		return best
	case "switch_uniform", "switch_capacity":
		return w.chooseByRegime()
	default:
		return w.random.IntN(len(w.nodes))
	}
}

// chooseByRegime draws a target by static weights: while the service is below
// 60% busy by cost (fast targets finish a unit of work for less, so they are
// preferred by the square of their speed), above that uniformly or by the true
// capacity, which a real system would not know.
// The regime changes with hysteresis of ten percent.
func (w *world) chooseByRegime() int {
	var busy, slots float64
	for _, n := range w.nodes {
		busy += float64(n.running)
		slots += float64(n.slots)
	}
	if share := busy / slots; share > 0.7 {
		w.cheap = false
	} else if share < 0.6 {
		w.cheap = true
	}
	weight := func(n *node) float64 {
		if w.cheap {
			return n.speed * n.speed
		}
		if w.variant.baseline == "switch_capacity" {
			return n.capacity()
		}
		return 1
	}
	var total float64
	for _, n := range w.nodes {
		total += weight(n)
	}
	at := w.random.Float64() * total
	for i, n := range w.nodes {
		if at -= weight(n); at < 0 {
			return i
		}
	}
	return len(w.nodes) - 1
}
