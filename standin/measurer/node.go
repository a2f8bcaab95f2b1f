package measurer

import (
	"time"

	"kingcupvalve.example/kingcupvalve/ejector"
	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/limiter"
	"kingcupvalve.example/kingcupvalve/picker"
	"kingcupvalve.example/kingcupvalve/retrier"
)

const (
	tickPeriod = 10 * time.Millisecond
	// refusalDelay is the time in which a backend server refuses or fails a request.
	refusalDelay = time.Millisecond
	// coldSlowdown is the factor on durations while a backend server warms up.
	coldSlowdown = 5
)

// node is a backend server with its agent.
type node struct {
	simulation  *simulation
	id          uint32
	zone        int
	digestDelay time.Duration

	speed       float64
	slots       int     // actual slots of the backend server
	slowdown    float64 // factor on every duration, above 1 during a gray failure
	errorRate   float64
	healthy     bool // answer of the health endpoint
	up          bool
	coldUntil   time.Time // end of the warm-up after a start
	incarnation uint64
	running     int
	fifo        []*job // queue in the baselines

	capacitySince time.Time // time up to which recordCapacity has counted

	estimator *estimator.Estimator
	limiter   *limiter.Limiter
	picker    *picker.Picker
	ejector   *ejector.Ejector
	budget    *retrier.Budget
	queued    map[uint64]*job
	sequence  uint64
}

func newNode(sm *simulation, id uint32, speed float64) *node {
	return &node{
		simulation: sm, id: id, zone: int(id) % zoneCount, speed: speed, slots: sm.service.slots,
		slowdown: 1, healthy: true, up: true, capacitySince: epoch,
		digestDelay: forwardLatency + time.Duration(sm.random.Float64()*float64(150*time.Millisecond)),
	}
}

// capacity returns the work per second of a healthy backend server.
func (n *node) capacity() float64 { return n.speed * float64(n.slots) }

// recordCapacity adds the actual capacity since its last call to the statistics.
// It must run before the speed, slots or state of the node change.
func (n *node) recordCapacity() {
	if n.up {
		rate := n.capacity() / n.slowdown
		if n.capacitySince.Before(n.coldUntil) {
			rate /= coldSlowdown
		}
		n.simulation.stats.addCapacity(n.id, n.capacitySince, n.simulation.now, rate)
	}
	n.capacitySince = n.simulation.now
}

// change modifies the node after recording the capacity up to now.
func (n *node) change(do func(*node)) {
	n.recordCapacity()
	do(n)
}

// startAgent creates the decision packages of a starting agent and, on the first
// start, schedules its periodic events.
func (n *node) startAgent() {
	sm, v := n.simulation, n.simulation.variant
	scale := sm.scenario.effectiveJobScale()
	eo := estimator.Options{Slots: sm.service.slots}
	eo.ShortCost = time.Duration(shortMeanSeconds / 2 * scale * float64(time.Second))
	eo.LongCost = time.Duration(longMeanSeconds / 2 * scale * float64(time.Second))
	if n.coldUntil.After(sm.now) {
		eo.Start = sm.now
	}
	lo := limiter.Options{Slots: sm.service.slots, LongPriorityWait: time.Duration(2 * scale * float64(time.Second))}
	po := picker.Options{Self: n.id, Zone: zoneName(n.zone)}
	if sm.scenario.effectiveJobScale() > 1 {
		po.MaxDigestAge = 3 * time.Second
	}
	jo := ejector.Options{}
	ro := retrier.Options{}
	v.apply(&eo, &lo, &po, &jo)
	n.estimator = estimator.NewEstimator(eo)
	lo.Cost = n.estimator.Cost
	n.limiter = limiter.NewLimiter(lo)
	n.ejector = ejector.NewEjector(jo)
	po.IsEjected = n.ejector.IsEjected
	n.picker = picker.NewPicker(po)
	n.budget = retrier.NewBudget(ro)
	n.queued = make(map[uint64]*job)
	n.incarnation++
	targets := make([]picker.Target, 0, len(sm.nodes))
	ids := make([]uint32, 0, len(sm.nodes))
	for i := range sm.service.targets {
		targets = append(targets, picker.Target{ID: uint32(i + 1), Weight: 100, Zone: zoneName((i + 1) % zoneCount)})
		ids = append(ids, uint32(i+1))
	}
	n.picker.SetTargets(targets)
	n.ejector.SetTargets(ids)
	if n.incarnation == 1 && v.baseline == "" {
		sm.every(sm.scenario.tickPeriodOr(tickPeriod), n.tick)
		sm.every(sm.scenario.digestPeriodOr(100*time.Millisecond), n.sendDigest)
		sm.every(time.Second, func() { n.estimator.ObserveHealth(estimator.Hint{Healthy: n.healthy}, sm.now) })
	}
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

func (n *node) canReach(m *node) bool {
	sm := n.simulation
	return m.up && (sm.isolatedZone < 0 || (n.zone == sm.isolatedZone) == (m.zone == sm.isolatedZone))
}

func (n *node) tick() {
	if !n.up {
		return
	}
	n.ejector.Tick(n.simulation.now)
	n.applyLimiter()
}

// applyLimiter starts, refuses and reroutes queued jobs as the limiter decides.
func (n *node) applyLimiter() {
	sm := n.simulation
	n.limiter.SetSlots(n.estimator.State(sm.now).Usable())
	c := n.limiter.Tick(sm.now)
	for _, id := range c.Run {
		j := n.queued[id]
		delete(n.queued, id)
		n.startJob(j)
	}
	for _, r := range c.Refuse {
		j := n.queued[r.ID]
		delete(n.queued, r.ID)
		if r.Reroute {
			n.reroute(j)
			continue
		}
		sm.after(n.forwardDelay(j), func() { j.ingress.handleRefusal(n, j, r.RetryAfter) })
	}
}

// reroute returns a job to the agent that holds the connection, which chooses
// again with the newest digest of this target.
func (n *node) reroute(j *job) {
	sm := n.simulation
	j.rerouted = true
	sm.after(n.forwardDelay(j), func() {
		j.ingress.picker.Observe(n.buildDigest(), sm.now)
		j.ingress.place(j)
	})
}

func (n *node) forwardDelay(j *job) time.Duration {
	if j.ingress == n {
		return 0
	}
	return forwardLatency
}

func (n *node) buildDigest() picker.Digest {
	n.sequence++
	s, l := n.estimator.State(n.simulation.now), n.limiter.Load()
	d := picker.Digest{
		Target: n.id, Incarnation: n.incarnation, Sequence: n.sequence, Phase: s.Phase, Slots: s.Slots,
		Running: l.Running, Queued: l.Queued, Cost: s.Cost, ErrorRate: s.ErrorRate,
		Capacity: min(s.Capacity, float64(l.Limit)), Busy: s.Busy,
	}
	n.simulation.variant.adjustDigest(&d)
	return d
}

// sendDigest sends a digest to every reachable agent, which receives it after its
// own digestDelay.
func (n *node) sendDigest() {
	if !n.up {
		return
	}
	d := n.buildDigest()
	for _, m := range n.simulation.nodes {
		if m != n && n.canReach(m) {
			n.simulation.after(m.digestDelay, func() { m.picker.Observe(d, n.simulation.now.Add(-m.digestDelay)) })
		}
	}
}

// place picks a target for a request that arrived at this agent and forwards it.
func (n *node) place(j *job) {
	sm := n.simulation
	n.picker.Observe(n.buildDigest(), sm.now)
	c, ok := n.picker.Pick(sm.now, picker.Work{Kind: j.kind, Exclude: j.exclude, Probe: j.idempotent && j.attempts == 0}, sm.random)
	if !ok {
		sm.refuse(j, 0)
		return
	}
	j.attempts++
	j.maxQueueWait = c.MaxQueueWait
	m := sm.nodes[c.Target-1]
	sm.stats.recordDispatch(sm, m)
	sm.stats.recordForward(sm, m != n)
	if m == n {
		n.admit(j)
		return
	}
	sm.after(forwardLatency, func() {
		if !n.canReach(m) {
			// The session is closed and the target accepted no byte, so a retry is safe.
			n.picker.MarkDisconnected(m.id)
			n.ejector.Observe(m.id, estimator.Failed, 0, sm.now)
			n.handleRefusal(m, j, time.Second)
			return
		}
		m.admit(j)
	})
}

// admit offers a request to the limiter of the target.
func (n *node) admit(j *job) {
	sm := n.simulation
	r := limiter.Request{ID: j.id, Kind: sm.variant.queueKind(j.kind), Deadline: j.deadline}
	if !j.rerouted && !sm.variant.noReroute {
		r.MaxQueueWait = j.maxQueueWait
	}
	if sm.variant.noDeadline {
		r.Deadline = time.Time{}
	}
	d := n.limiter.Offer(sm.now, r)
	switch d.Verdict {
	case limiter.Run:
		sm.stats.recordAdmission(sm, j)
		n.startJob(j)
	case limiter.Queue:
		sm.stats.recordAdmission(sm, j)
		n.queued[j.id] = j
	default:
		if d.Reroute {
			n.reroute(j)
			return
		}
		sm.after(n.forwardDelay(j), func() { j.ingress.handleRefusal(n, j, d.RetryAfter) })
	}
}

// handleRefusal retries a request that target m did not run, within the retry
// budget.
func (n *node) handleRefusal(m *node, j *job, retryAfter time.Duration) {
	sm := n.simulation
	j.exclude = append(j.exclude, m.id)
	if !sm.variant.noRetry && j.attempts < 3 && sm.now.Before(j.deadline) && n.up && n.budget.TryRetry(sm.now) {
		n.place(j)
		return
	}
	sm.refuse(j, retryAfter)
}
