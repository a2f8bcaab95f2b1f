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
	// shed is how long a backend server takes to refuse a request.
	shed = time.Millisecond
	// coldFactor is the slowdown of a backend server that just started.
	coldFactor = 5
)

// node is one backend server with its agent.
type node struct {
	world *world
	id    uint32
	zone  int
	lag   time.Duration

	speed     float64
	slots     int     // slots that the backend server really has
	slow      float64 // gray failure: factor on every duration
	errorRate float64
	healthy   bool // what the health endpoint says
	up        bool
	cold      time.Time // until when it is slow after a start
	life      uint64
	running   int
	fifo      []*job // queue of the baselines

	since time.Time // start of the current speed, for the true capacity

	estimator *estimator.Estimator
	limiter   *limiter.Limiter
	picker    *picker.Picker
	ejector   *ejector.Ejector
	budget    *retrier.Budget
	queued    map[uint64]*job
	sequence  uint64
}

func newNode(w *world, id uint32, speed float64) *node {
	return &node{
		world: w, id: id, zone: int(id) % zoneCount, speed: speed, slots: w.service.slots,
		slow: 1, healthy: true, up: true, since: epoch,
		lag: hop + time.Duration(w.random.Float64()*float64(150*time.Millisecond)),
	}
}

// capacity returns the work per second of a healthy backend server.
func (n *node) capacity() float64 { return n.speed * float64(n.slots) }

// settle adds the capacity since the last change to the true capacity.
func (n *node) settle() {
	if n.up {
		rate := n.capacity() / n.slow
		if n.since.Before(n.cold) {
			rate /= coldFactor
		}
		n.world.stats.addCapacity(n.id, n.since, n.world.now, rate)
	}
	n.since = n.world.now
}

// change applies a fault after the capacity so far was counted.
func (n *node) change(do func(*node)) {
	n.settle()
	do(n)
}

// startAgent makes the decision packages of a starting agent.
func (n *node) startAgent() {
	w, v := n.world, n.world.variant
	scale := w.plan.scaleOr1()
	eo := estimator.Options{Slots: w.service.slots}
	eo.ShortCost = time.Duration(shortMean / 2 * scale * float64(time.Second))
	eo.LongCost = time.Duration(longMean / 2 * scale * float64(time.Second))
	if n.cold.After(w.now) {
		eo.Start = w.now
	}
	lo := limiter.Options{Slots: w.service.slots, LongPriorityWait: time.Duration(2 * scale * float64(time.Second))}
	po := picker.Options{Self: n.id, Zone: zoneName(n.zone)}
	if w.plan.scaleOr1() > 1 {
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
	n.life++
	targets := make([]picker.Target, 0, len(w.nodes))
	ids := make([]uint32, 0, len(w.nodes))
	for i := range w.service.targets {
		targets = append(targets, picker.Target{ID: uint32(i + 1), Weight: 100, Zone: zoneName((i + 1) % zoneCount)})
		ids = append(ids, uint32(i+1))
	}
	n.picker.SetTargets(targets)
	n.ejector.SetTargets(ids)
	if n.life == 1 && v.baseline == "" {
		w.every(w.plan.tickOr(tickPeriod), n.tick)
		w.every(w.plan.digestOr(100*time.Millisecond), n.announce)
		w.every(time.Second, func() { n.estimator.ObserveHealth(estimator.Hint{Healthy: n.healthy}, w.now) })
	}
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

func (n *node) reaches(m *node) bool {
	w := n.world
	return m.up && (w.cut < 0 || (n.zone == w.cut) == (m.zone == w.cut))
}

func (n *node) tick() {
	if !n.up {
		return
	}
	n.ejector.Tick(n.world.now)
	n.advance()
}

// advance applies the decisions of the limiter.
func (n *node) advance() {
	w := n.world
	n.limiter.SetSlots(n.estimator.State(w.now).Usable())
	c := n.limiter.Tick(w.now)
	for _, id := range c.Run {
		j := n.queued[id]
		delete(n.queued, id)
		n.execute(j)
	}
	for _, r := range c.Refuse {
		j := n.queued[r.ID]
		delete(n.queued, r.ID)
		if r.Reroute {
			n.giveBack(j)
			continue
		}
		w.after(n.distance(j), func() { j.ingress.refusedBy(n, j, r.RetryAfter) })
	}
}

// giveBack lets the agent of the connection choose again, with the newest
// digest of this target.
func (n *node) giveBack(j *job) {
	w := n.world
	j.moved = true
	w.after(n.distance(j), func() {
		j.ingress.picker.Observe(n.digest(), w.now)
		j.ingress.place(j)
	})
}

func (n *node) distance(j *job) time.Duration {
	if j.ingress == n {
		return 0
	}
	return hop
}

func (n *node) digest() picker.Digest {
	n.sequence++
	s, l := n.estimator.State(n.world.now), n.limiter.Load()
	d := picker.Digest{
		Target: n.id, Incarnation: n.life, Sequence: n.sequence, Phase: s.Phase, Slots: s.Slots,
		Running: l.Running, Queued: l.Queued, Cost: s.Cost, ErrorRate: s.ErrorRate,
		Capacity: min(s.Capacity, float64(l.Limit)), Busy: s.Busy,
	}
	n.world.variant.distort(&d)
	return d
}

// announce sends a digest to every reachable agent; each sees it later by its
// own lag.
func (n *node) announce() {
	if !n.up {
		return
	}
	d := n.digest()
	for _, m := range n.world.nodes {
		if m != n && n.reaches(m) {
			n.world.after(m.lag, func() { m.picker.Observe(d, n.world.now.Add(-m.lag)) })
		}
	}
}

// place chooses the target of a request that arrived at this agent.
func (n *node) place(j *job) {
	w := n.world
	n.picker.Observe(n.digest(), w.now)
	c, ok := n.picker.Pick(w.now, picker.Work{Kind: j.kind, Exclude: j.exclude, Probe: j.idempotent && j.attempts == 0}, w.random)
	if !ok {
		w.refuse(j, 0)
		return
	}
	j.attempts++
	j.maxQueueWait = c.MaxQueueWait
	m := w.nodes[c.Target-1]
	w.stats.dispatched(w, m)
	w.stats.passedOn(w, m != n)
	if m == n {
		n.admit(j)
		return
	}
	w.after(hop, func() {
		if !n.reaches(m) {
			// The session is gone: no byte was accepted.
			n.picker.MarkDisconnected(m.id)
			n.ejector.Observe(m.id, estimator.Failed, 0, w.now)
			n.refusedBy(m, j, time.Second)
			return
		}
		m.admit(j)
	})
}

// admit offers a request to the limiter of the target.
func (n *node) admit(j *job) {
	w := n.world
	r := limiter.Request{ID: j.id, Kind: w.variant.queueKind(j.kind), Deadline: j.deadline}
	if !j.moved && !w.variant.noMove {
		r.MaxQueueWait = j.maxQueueWait
	}
	if w.variant.noDeadline {
		r.Deadline = time.Time{}
	}
	d := n.limiter.Offer(w.now, r)
	switch d.Verdict {
	case limiter.Run:
		w.stats.admitted(w, j)
		n.execute(j)
	case limiter.Queue:
		w.stats.admitted(w, j)
		n.queued[j.id] = j
	default:
		if d.Reroute {
			n.giveBack(j)
			return
		}
		w.after(n.distance(j), func() { j.ingress.refusedBy(n, j, d.RetryAfter) })
	}
}

// refusedBy retries a request that a target did not run, within the budget.
func (n *node) refusedBy(m *node, j *job, retryAfter time.Duration) {
	w := n.world
	j.exclude = append(j.exclude, m.id)
	if !w.variant.noRetry && j.attempts < 3 && w.now.Before(j.deadline) && n.up && n.budget.TryRetry(w.now) {
		n.place(j)
		return
	}
	w.refuse(j, retryAfter)
}
