package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/ejector"
	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/prober"
	"kingcupvalve.example/kingcupvalve/journaler"
	"kingcupvalve.example/kingcupvalve/limiter"
	"kingcupvalve.example/kingcupvalve/minter"
	"kingcupvalve.example/kingcupvalve/picker"
	"kingcupvalve.example/kingcupvalve/retrier"
)

// Dispatcher runs the requests of one agent. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	minter  *minter.Minter
	name    string
	zone    string
	// aborted ends the work that does not end with its caller's connection.
	aborted context.Context
	abort   context.CancelFunc

	digestPause atomic.Int64 // time between two digests to a peer, in ns

	lock      sync.Mutex
	snapshot  *cataloger.Snapshot
	service   *cataloger.Service
	leaving   bool
	slots     int
	hint      prober.Hint
	estimator *estimator.Estimator
	limiter   *limiter.Limiter
	picker    *picker.Picker
	ejector   *ejector.Ejector
	budget    *retrier.Budget
	journal   *journaler.Journal
	waiters   map[uint64]chan verdict
	flights   map[uint64]chan struct{}
	feeds     int
	lastID    uint64
	sequence  uint64
}

// NewDispatcher returns a dispatcher. It fails when the current configuration
// does not have the target in the service.
func NewDispatcher(o Options) (*Dispatcher, error) {
	o = o.withDefaults()
	s := o.Snapshot()
	if _, ok := s.ServiceByNumber(o.Service); !ok {
		return nil, merry.Errorf("build dispatcher: service %d is not in revision %d", o.Service, s.Revision())
	}
	target, ok := s.TargetByNumber(o.Target)
	if !ok || target.Service() != o.Service {
		return nil, merry.Errorf("build dispatcher: target %d is not in service %d", o.Target, o.Service)
	}
	policy := target.Policy()
	m, err := minter.NewMinter(minter.Options{
		Ring: o.Ring, Target: o.Target, Incarnation: o.Incarnation, Service: o.Service,
		Lifetime: time.Duration(policy.TicketLifetimeMs) * time.Millisecond,
	})
	if err != nil {
		return nil, merry.Prepend(err, "build dispatcher")
	}
	now := time.Now()
	d := &Dispatcher{
		options: o, minter: m, name: target.Name(), zone: target.AvailabilityZone(),
		estimator: estimator.NewEstimator(estimator.Options{Slots: int(policy.Slots), Start: now}),
		ejector:   ejector.NewEjector(ejector.Options{}),
		budget:    retrier.NewBudget(retrier.Options{}),
		journal: journaler.NewJournal(journaler.Options{
			Target: o.Target, Incarnation: o.Incarnation, Capacity: o.JournalCapacity,
		}),
		waiters: make(map[uint64]chan verdict),
		flights: make(map[uint64]chan struct{}),
	}
	d.aborted, d.abort = context.WithCancel(context.Background())
	d.limiter = limiter.NewLimiter(limiter.Options{
		Slots: int(policy.Slots), QueueLimit: int(policy.QueueLimit),
		LongShare: float64(policy.LongSharePercent) / 100, Cost: d.estimator.Cost,
	})
	d.picker = picker.NewPicker(picker.Options{
		Self: o.Target, Zone: d.zone, IsEjected: d.ejector.IsEjected,
		LongShare: float64(policy.LongSharePercent) / 100,
	})
	d.lock.Lock()
	defer d.lock.Unlock()
	d.refresh()
	return d, nil
}

// refresh takes over a new snapshot. The lock is held.
func (d *Dispatcher) refresh() {
	s := d.options.Snapshot()
	if s == d.snapshot {
		return
	}
	d.snapshot = s
	service, ok := s.ServiceByNumber(d.options.Service)
	if !ok {
		// A service that has left the configuration keeps its last targets, so
		// that its open flows end in order.
		return
	}
	d.service, d.leaving = service, false
	var targets []picker.Target
	var numbers []uint32
	for _, t := range service.Targets() {
		weight := uint16(t.Policy().Weight)
		if t.IsLeaving() {
			weight = 0
		}
		targets = append(targets, picker.Target{ID: t.Number(), Weight: weight, Zone: t.AvailabilityZone()})
		numbers = append(numbers, t.Number())
		if t.Number() == d.options.Target {
			d.leaving, d.slots = t.IsLeaving(), int(t.Policy().Slots)
		}
	}
	d.picker.SetTargets(targets)
	d.ejector.SetTargets(numbers)
}

// Run serves the queues and sends digests until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer d.Abort()
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { d.sendDigests(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	slow := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		d.lock.Lock()
		d.refresh()
		d.tickLimiter(now)
		if now.Sub(slow) >= DigestInterval {
			slow = now
			d.ejector.Tick(now)
			d.journal.Tick(now)
			d.limiter.SetSlots(int(d.estimator.State(now).Capacity + 0.5))
		}
		d.lock.Unlock()
	}
}

// Abort ends all work, also that of tickets.
func (d *Dispatcher) Abort() {
	d.abort()
	for _, t := range []any{d.options.Transport, d.options.TicketTransport} {
		if c, ok := t.(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
	}
}

// ObserveHealth takes a hint of the backend server's health.
func (d *Dispatcher) ObserveHealth(h prober.Hint) {
	now := time.Now()
	d.lock.Lock()
	defer d.lock.Unlock()
	if h.State() == prober.StateWarming && d.hint.State() != prober.StateWarming {
		d.estimator.RecordRestart(now)
	}
	d.hint = h
	// The number of slots is the published one: a stated one may mislead.
	d.estimator.ObserveHealth(estimator.Hint{
		Healthy: h.State() == prober.StateServing || h.State() == prober.StateWarming, Slots: d.slots,
	}, now)
}

// isDraining reports whether the target takes no new work. The lock is held.
func (d *Dispatcher) isDraining() bool {
	return d.leaving || d.hint.State() == prober.StateDraining || d.options.IsDraining()
}

// observe tells the policies how an attempt at a target ended. The lock is held.
func (d *Dispatcher) observe(target uint32, j *job, r result, now time.Time) {
	var duration time.Duration
	if j.kind == estimator.Short && r.judged == estimator.Succeeded {
		duration = r.duration
	}
	d.ejector.Observe(target, r.judged, duration, now)
	if r.judged == estimator.Succeeded {
		d.budget.RecordSuccess(now)
	}
}

func (d *Dispatcher) nextID() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.lastID++
	return d.lastID
}

// currentService returns the service of the last snapshot that had it.
func (d *Dispatcher) currentService() *cataloger.Service {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.refresh()
	return d.service
}
