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

// Dispatcher handles the requests of one agent. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	minter  *minter.Minter
	name    string
	zone    string
	// aborted is cancelled by Abort. It bounds the execution of requests with a
	// ticket, which outlives the caller's connection.
	aborted context.Context
	abort   context.CancelFunc

	digestPeriod atomic.Int64 // time between two digests to the same peer, in ns

	lock       sync.Mutex
	snapshot   *cataloger.Snapshot
	service    *cataloger.Service
	leaving    bool
	slots      int
	healthHint prober.Hint
	estimator  *estimator.Estimator
	limiter    *limiter.Limiter
	picker     *picker.Picker
	ejector    *ejector.Ejector
	budget     *retrier.Budget
	journal    *journaler.Journal
	waiters    map[uint64]chan admission // queued requests, by job ID
	inFlight   map[uint64]chan struct{}  // by ticket serial, closed at the end of the execution
	feeds      int
	lastID     uint64
	sequence   uint64
}

// NewDispatcher returns a dispatcher. It returns an error if the current
// configuration lacks the service or the target, or assigns the target to
// another service, or if the options for tickets are invalid.
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
		waiters:  make(map[uint64]chan admission),
		inFlight: make(map[uint64]chan struct{}),
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
	d.refreshSnapshot()
	return d, nil
}

// refreshSnapshot applies the current configuration snapshot if it has changed.
// The caller holds the lock.
func (d *Dispatcher) refreshSnapshot() {
	s := d.options.Snapshot()
	if s == d.snapshot {
		return
	}
	d.snapshot = s
	service, ok := s.ServiceByNumber(d.options.Service)
	if !ok {
		// After the service is removed from the configuration, its last known
		// targets stay in use, so that open flows can complete.
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

// Run admits queued requests and sends digests until the context is cancelled.
// It then calls Abort and returns nil.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer d.Abort()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { d.sendDigests(ctx) })
	ticker := time.NewTicker(queueTickInterval)
	defer ticker.Stop()
	lastSlowTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		d.lock.Lock()
		d.refreshSnapshot()
		d.tickLimiter(now)
		if now.Sub(lastSlowTick) >= MinDigestInterval {
			lastSlowTick = now
			d.ejector.Tick(now)
			d.journal.Tick(now)
			d.limiter.SetSlots(int(d.estimator.State(now).Capacity + 0.5))
		}
		d.lock.Unlock()
	}
}

// Abort cancels the running requests that have a ticket, which continue after
// their caller has disconnected.
func (d *Dispatcher) Abort() { d.abort() }

// ObserveHealth updates the health of the local backend server.
func (d *Dispatcher) ObserveHealth(h prober.Hint) {
	now := time.Now()
	d.lock.Lock()
	defer d.lock.Unlock()
	if h.State() == prober.StateWarming && d.healthHint.State() != prober.StateWarming {
		d.estimator.RecordRestart(now)
	}
	d.healthHint = h
	// The number of slots comes from the configuration, because the number that
	// the backend server reports may be wrong.
	d.estimator.ObserveHealth(estimator.Hint{
		Healthy: h.State() == prober.StateServing || h.State() == prober.StateWarming, Slots: d.slots,
	}, now)
}

// isDraining reports whether the local target takes no new requests. The caller
// holds the lock.
func (d *Dispatcher) isDraining() bool {
	return d.leaving || d.healthHint.State() == prober.StateDraining || d.options.IsDraining()
}

// recordAttempt updates the ejector and the retry budget with the result of an
// attempt at a target. The caller holds the lock.
func (d *Dispatcher) recordAttempt(target uint32, j *job, r result, now time.Time) {
	var duration time.Duration
	if j.kind == estimator.Short && r.targetResult == estimator.Succeeded {
		duration = r.duration
	}
	d.ejector.Observe(target, r.targetResult, duration, now)
	if r.targetResult == estimator.Succeeded {
		d.budget.RecordSuccess(now)
	}
}

func (d *Dispatcher) nextID() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.lastID++
	return d.lastID
}

// currentService returns the service from the latest snapshot that contains it.
func (d *Dispatcher) currentService() *cataloger.Service {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.refreshSnapshot()
	return d.service
}
