// Package picker chooses the agent that runs one request. It applies the power
// of two random choices to the load digests of the service's agents: of two
// candidates drawn at random, the one with the lower score wins. The score is
// the expected time to the end of the request plus a penalty for a busy
// target. The local target is preferred within a margin, and a target in the
// picker's own availability zone on a tie.
//
// Candidates are drawn in proportion to capacity: the measured one (usable
// slots divided by the time per request) while the digest is fresh, otherwise
// the published weight. When fewer than half of the targets look usable, all
// that are neither draining nor disconnected are used (panic mode), so that
// traffic does not concentrate on the few targets that still look healthy.
//
// Digests lag behind the load, so Pick counts each request against its target
// until that target's next digest arrives.
//
// A Picker is not safe for concurrent use.
//
// # Usage
//
//	p := picker.NewPicker(picker.Options{Self: 3, Zone: "howrah"})
//	p.SetTargets(targets)
//	p.Observe(digest, now) // from peers on arrival, from the picker's own target before Pick
//	choice, ok := p.Pick(now, picker.Work{Kind: estimator.Short}, random)
package picker

import (
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
)

// Options configures a Picker. Zero fields take the default in brackets.
type Options struct {
	Self             uint32            // the picker's own target
	Zone             string            // the picker's own availability zone
	MaxDigestAge     time.Duration     // age up to which a digest is fresh [1 s]
	Choices          int               // candidates drawn for each request [2]
	LocalMargin      float64           // score excess up to which the local target is preferred, in mean costs [0.5]
	BusyPenalty      float64           // penalty for a busy share of 1, in mean costs [40]
	MaxBusyDeviation float64           // bound on the difference of a busy share from the mean [0.05]
	SettleTime       time.Duration     // time after a target's return until its busy share counts in full [5 s]
	ExtraQueueWait   float64           // wait beyond the expected one until the request is rerouted, in mean costs [0.5]
	LongShare        float64           // share of the slots for long work, same as in the limiter [0.5]
	PanicThreshold   float64           // share of usable targets below which all targets are used [0.5]
	ProbeShare       float64           // share of requests that probe an unusable or starved target [0.02]
	ProbeInterval    time.Duration     // minimum time between two probes of one target [500 ms]
	IsEjected        func(uint32) bool // reports ejected targets [none]
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxDigestAge, time.Second)
	setDefault(&o.Choices, 2)
	setDefault(&o.LocalMargin, 0.5)
	setDefault(&o.BusyPenalty, 40)
	setDefault(&o.MaxBusyDeviation, 0.05)
	setDefault(&o.SettleTime, 5*time.Second)
	setDefault(&o.ExtraQueueWait, 0.5)
	setDefault(&o.LongShare, 0.5)
	setDefault(&o.PanicThreshold, 0.5)
	setDefault(&o.ProbeShare, 0.02)
	setDefault(&o.ProbeInterval, 500*time.Millisecond)
	if o.IsEjected == nil {
		o.IsEjected = func(uint32) bool { return false }
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Target is one published target of the service.
type Target struct {
	ID     uint32
	Weight uint16 // published weight; a target of weight 0 gets no requests
	Zone   string
}

// Digest is the load summary of one target at the time it was sent.
type Digest struct {
	Target      uint32
	Incarnation uint64
	Sequence    uint64
	Phase       estimator.Phase
	Slots       int
	Running     [2]int // by kind
	Queued      [2]int // by kind
	Cost        [2]time.Duration
	ErrorRate   float64 // 0 to 1
	Capacity    float64 // usable slots, after ramp and concurrency limit
	Busy        float64 // averaged share of busy slots, 0 to 1
	// Interval is the time until the sender's next digest. A digest is fresh
	// for 2.5 intervals if that is longer than MaxDigestAge, so that one late
	// digest does not make a target look silent.
	Interval time.Duration
}

// Work describes the request to place.
type Work struct {
	Kind      estimator.Kind
	Exclude   []uint32 // targets that already refused it
	LocalOnly bool     // the request was already forwarded once and must run here
	Probe     bool     // may be sent to an unusable target: idempotent, with time left to the deadline
}

// Reason states why a target was chosen.
type Reason uint8

// The reasons of a choice.
const (
	Measured  Reason = iota // by measured capacity: a digest is fresh
	Published               // by published weight: no digest is fresh
	Panic                   // panic mode: too few targets look usable, so all are used
	Probe                   // probe of an unusable or starved target
)

// Choice is the target for one request.
type Choice struct {
	Target uint32
	Local  bool
	Wait   time.Duration // expected wait for a slot
	Reason Reason
	// MaxQueueWait is the queue wait at the target beyond which another choice
	// is worth its cost. The first time that a request waits or would wait
	// longer, the limiter returns it (Reroute) and the agent picks again from
	// newer digests, at most once.
	MaxQueueWait time.Duration
}

// targetState is a published target with its last digest.
type targetState struct {
	Target
	digest       Digest
	observedAt   time.Time
	hasDigest    bool
	disconnected bool      // its session ended and no digest has arrived since
	returnedAt   time.Time // time of the first digest after a restart, missing digests or an ended session
	pending      [2]int    // requests picked since the digest, by kind
	probedAt     time.Time
}

// Picker holds the last digest of each target of the service.
type Picker struct {
	options Options
	targets []*targetState // sorted by id
}

// NewPicker returns a Picker without targets.
func NewPicker(options Options) *Picker {
	return &Picker{options: options.withDefaults()}
}

// SetTargets replaces the published targets. Targets that remain keep their
// digests.
func (p *Picker) SetTargets(targets []Target) {
	states := make([]*targetState, 0, len(targets))
	for _, t := range targets {
		s := p.find(t.ID)
		if s == nil {
			s = &targetState{}
		}
		s.Target = t
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *targetState) int { return int(int64(a.ID) - int64(b.ID)) })
	p.targets = states
}

func (p *Picker) find(id uint32) *targetState {
	i, ok := slices.BinarySearchFunc(p.targets, id, func(s *targetState, id uint32) int {
		return int(int64(s.ID) - int64(id))
	})
	if !ok {
		return nil
	}
	return p.targets[i]
}

// Observe records a digest that arrived at time now. It ignores digests of
// unknown targets and digests that are older than the recorded one of the same
// incarnation.
func (p *Picker) Observe(d Digest, now time.Time) {
	s := p.find(d.Target)
	if s == nil {
		return
	}
	if s.hasDigest && d.Incarnation == s.digest.Incarnation && d.Sequence < s.digest.Sequence {
		return
	}
	silent := now.Sub(s.observedAt) > p.options.MaxDigestAge
	if s.disconnected || s.hasDigest && (silent || d.Incarnation != s.digest.Incarnation) {
		s.returnedAt = now
	}
	s.digest, s.observedAt, s.hasDigest, s.disconnected = d, now, true, false
	s.pending = [2]int{}
}

// MarkDisconnected drops the digest of a target whose session ended. Until its
// next digest the target gets only probes, unless no other target is left. Panic
// mode does not use it either: the lost session shows that it is unreachable,
// whereas the other signs of a bad target may be wrong.
func (p *Picker) MarkDisconnected(target uint32) {
	if s := p.find(target); s != nil {
		s.digest, s.hasDigest, s.disconnected, s.pending = Digest{}, false, true, [2]int{}
	}
}
