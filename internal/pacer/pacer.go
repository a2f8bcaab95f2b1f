// Package pacer bounds the opening packets that an agent's target gets while it is
// cold: for some time after its start and after the evacuation of its availability
// zone ends. It uses no sockets and takes the time as a parameter.
//
// The bound holds in any sliding window of one second. A pacer therefore remembers
// the times of the last admitted packets, as many as the bound; a token bucket would
// admit up to twice the bound around the moment at which it is full.
//
// What a process can't know counts against it: a pacer that has just been created
// assumes that the target has just started and that the second before was full.
//
// # Usage
//
//	p := pacer.NewPacer(pacer.Options{Factor: 1.5, Allowance: 5, StartedAt: now})
//	p.Update(table, service, target, now) // for each new table, target is the own one
//	if !p.Admit(now) {
//		// The opening packet must not reach the target.
//	}
package pacer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// windowLength is the second of the bound and a margin for the time from a decision
	// until the packet reaches the target. An agent that has used up its CPU quota may
	// stop in between for most of a quota period, which is 100 ms on Linux.
	windowLength = time.Second + 100*time.Millisecond
	// maxBound limits the memory of a pacer to 512 KB. A higher bound counts as this
	// one.
	maxBound = 65_536
)

var (
	admitted = metrics.GetOrCreateCounter("kingcupvalve_pacer_openings_admitted_total")
	refused  = metrics.GetOrCreateCounter("kingcupvalve_pacer_openings_refused_total")
	ownCold  = metrics.GetOrCreateGauge("kingcupvalve_pacer_own_target_cold", nil)
)

// Options configures a Pacer.
type Options struct {
	// Factor times the rate of a service's limit, plus Allowance, is the number of
	// opening packets that a cold target may get in a second.
	Factor, Allowance float64
	// StartedAt is the time when the agent started.
	StartedAt time.Time
}

// Pacer admits the opening packets for one target. It is safe for concurrent use.
type Pacer struct {
	options Options
	// isBounded is set while the service has a rate for cold targets.
	isBounded atomic.Bool

	lock  sync.Mutex
	limit router.ColdLimit
	// admissions has the times of the last admitted packets since StartedAt as a ring,
	// as many as the bound; next is the index of the oldest one.
	admissions []time.Duration
	next       int
	// latest is the latest time that Admit has seen. Goroutines that read packets at
	// the same time may call it out of order.
	latest time.Duration
	// restartedAt is the time of the last sign that the target became cold, and
	// coldUntil the latest end of the cold time that its entries state.
	restartedAt time.Duration
	coldUntil   time.Duration
	id          string
	zone        string
	position    router.Position
	isEvacuated bool
}

// NewPacer returns a pacer that admits every packet until a table states a limit.
func NewPacer(options Options) *Pacer { return &Pacer{options: options} }

// Update takes over the limit of the target's service and the state of the target
// from a table. The target is nil while the table does not list it.
func (p *Pacer) Update(table *router.Table, service string, target *router.Target, now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	at := p.advance(now)
	p.setLimit(table.ColdLimit(service), at)
	if target != nil {
		p.observeEntry(target, at)
	}
	isEvacuated := p.zone != "" && table.IsEvacuated(p.zone)
	if p.isEvacuated && !isEvacuated {
		p.restartedAt = at
	}
	p.isEvacuated = isEvacuated
}

// RecordRestart records a sign that the target may have restarted, so that it is
// cold from now on.
func (p *Pacer) RecordRestart(now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.restartedAt = p.advance(now)
}

// Admit reports whether an opening packet may be sent to the target now, and counts
// it if it may. Every opening packet counts, copies included.
func (p *Pacer) Admit(now time.Time) bool {
	if !p.isBounded.Load() {
		return true
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	at := p.advance(now)
	isCold := at < p.coldEnd()
	if isCold && (len(p.admissions) == 0 || at-p.admissions[p.next] <= windowLength) {
		refused.Inc()
		return false
	}
	if isCold {
		admitted.Inc()
	}
	// Packets count while the target is warm, too: it may become cold within a second.
	if len(p.admissions) > 0 {
		p.admissions[p.next] = at
		p.next = (p.next + 1) % len(p.admissions)
	}
	return true
}

// State is what operators see of a pacer.
type State struct {
	// IsCold is set while the opening packets at the target are bounded.
	IsCold bool
	// Remaining is the rest of the cold period.
	Remaining time.Duration
	// Bound is the number of opening packets that the target may get in a second.
	Bound int
}

// State returns the state as of now.
func (p *Pacer) State(now time.Time) State {
	if !p.isBounded.Load() {
		ownCold.Set(0)
		return State{}
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	remaining := p.coldEnd() - p.advance(now)
	if remaining <= 0 {
		ownCold.Set(0)
		return State{}
	}
	ownCold.Set(1)
	return State{IsCold: true, Remaining: remaining, Bound: len(p.admissions)}
}

// Refused returns the number of opening packets that the pacers of the process have
// refused.
func Refused() uint64 { return refused.Get() }

// advance returns the time since the agent started. It never goes back.
func (p *Pacer) advance(now time.Time) time.Duration {
	p.latest = max(p.latest, now.Sub(p.options.StartedAt))
	return p.latest
}

// coldEnd returns the end of the cold period: the later one of what the entries state
// and what this process has seen.
func (p *Pacer) coldEnd() time.Duration { return max(p.coldUntil, p.restartedAt+p.limit.Period) }

// observeEntry records a restart if the entry shows one, and the cold time that it
// states. An entry that is not later than the last one states nothing new.
func (p *Pacer) observeEntry(target *router.Target, at time.Duration) {
	p.zone = target.Zone
	isSame := target.ID == p.id
	if isSame && target.Compare(p.position) <= 0 {
		return
	}
	if !isSame {
		p.id, p.restartedAt = target.ID, at
	}
	p.position = target.Position
	if target.ColdFor > 0 {
		p.coldUntil = max(p.coldUntil, at+target.ColdFor)
	}
}

// setLimit takes over a limit. If there was none before, the packets of the last
// second are not known, so that the second counts as full.
func (p *Pacer) setLimit(limit router.ColdLimit, at time.Duration) {
	wasBounded := p.isBounded.Load()
	p.limit = limit
	isBounded := limit.Rate > 0
	if isBounded {
		p.resize(computeBound(p.options.Factor*limit.Rate+p.options.Allowance), wasBounded, at)
	}
	p.isBounded.Store(isBounded)
}

func computeBound(perSecond float64) int {
	return int(math.Floor(min(max(perSecond, 0), maxBound)))
}

// resize keeps the latest admissions. Those that a smaller ring no longer had count
// as if they were as late as the oldest one that it had.
func (p *Pacer) resize(bound int, wasBounded bool, at time.Duration) {
	if wasBounded && bound == len(p.admissions) {
		return
	}
	latest := make([]time.Duration, 0, bound)
	unknown := at
	if known := len(p.admissions); wasBounded && known > 0 {
		// From the oldest to the latest.
		ordered := append(append([]time.Duration{}, p.admissions[p.next:]...), p.admissions[:p.next]...)
		unknown = ordered[0]
		latest = append(latest, ordered[max(0, known-bound):]...)
	}
	p.admissions, p.next = make([]time.Duration, bound), 0
	missing := bound - len(latest)
	for i := range missing {
		p.admissions[i] = unknown
	}
	copy(p.admissions[missing:], latest)
}
