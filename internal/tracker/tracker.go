package tracker

import (
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/assessor"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
)

// Defaults of Options and limits of a tracker.
const (
	// DefaultMaxFlows bounds the memory of a tracker to about 15 MB.
	DefaultMaxFlows = 65_536
	// DefaultIdleTimeout is used while no configuration states one.
	DefaultIdleTimeout = 15 * time.Second
	// openingTime is the time that an opened flow without data counts as a
	// running request. A caller's first data follows the handshake, which takes
	// two round trips of at most some 10 ms, within it.
	openingTime = 100 * time.Millisecond
	// requestTimeout ends requests whose answer never came. The longest work of a
	// slow target takes about 1 s.
	requestTimeout = 3 * time.Second
	// silenceLimit is the time without any packet from the target after an
	// opening packet, which a live target answers in about 1 ms.
	silenceLimit = 250 * time.Millisecond
)

// answerTime is the time from a caller's data to the target's.
var answerTime = metrics.GetOrCreateHistogram("kingcupvalve_tracker_answer_seconds")

// Options configures a Tracker. Zero fields take the defaults.
type Options struct {
	MaxFlows int
	// Slots returns the slots of the target, 0 while they are not known.
	Slots func() int
	// Record takes the outcome of a request.
	Record func(o recorder.Outcome, now time.Time)
}

type flow struct {
	caller    netip.AddrPort
	published netip.AddrPort
	// isQueued is set when the request had to wait for a slot.
	isQueued bool
	opened   time.Time
	lastSeen time.Time
	// waitingSince is the time of the caller's first unanswered data.
	waitingSince time.Time
	sentUpTo     uint32 // sequence number after the caller's last new byte
	hasSent      bool
	waiting      bool // the caller's data is unanswered
	established  bool // the target has sent a packet of the flow
	hasEnded     bool // either end has closed the flow
	via          netip.Addr
	hops         uint8
	requests     uint32     // begun since the flow was opened
	hinted       netip.Addr // balancer that has the hint
}

// Tracker holds the flows of one target. It is safe for concurrent use.
type Tracker struct {
	options  Options
	lock     sync.Mutex
	flows    map[uint64]*flow
	assessor *assessor.Assessor
	running  int
	opening  int
	// unansweredSince is the time of the first opening packet after the last
	// packet from the target.
	unansweredSince time.Time
	lastProbe       time.Time
}

// NewTracker returns a tracker without flows.
func NewTracker(options Options) *Tracker {
	if options.MaxFlows == 0 {
		options.MaxFlows = DefaultMaxFlows
	}
	if options.Slots == nil {
		options.Slots = func() int { return 0 }
	}
	if options.Record == nil {
		options.Record = func(recorder.Outcome, time.Time) {}
	}
	return &Tracker{options: options, flows: make(map[uint64]*flow), assessor: assessor.NewAssessor()}
}

// Delivered records a caller's packet that goes to the target.
func (t *Tracker) Delivered(key uint64, p framer.Packet, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if p.Opens && t.unansweredSince.IsZero() {
		t.unansweredSince = now
	}
	f := t.flows[key]
	if f == nil {
		if len(t.flows) >= t.options.MaxFlows {
			return
		}
		f = &flow{caller: p.Source, published: p.Destination, opened: now, hasSent: !p.Opens, sentUpTo: p.Sequence}
		t.flows[key] = f
		if p.Opens {
			t.opening++
		}
	}
	f.lastSeen, f.via, f.hops = now, p.Mark.Via, p.Mark.Hops
	end := p.Sequence + uint32(p.Length)
	if p.Length > 0 && (!f.hasSent || int32(end-f.sentUpTo) > 0) {
		t.endOpening(f)
		f.hasSent, f.sentUpTo = true, end
		if !f.waiting {
			t.setWaiting(f, true)
			f.requests++
			f.waitingSince = now
			slots := t.options.Slots()
			f.isQueued = slots > 0 && t.running > slots
		}
	}
	if p.Ends {
		f.hasEnded = true
		t.finish(f, recorder.OutcomeUnknown, now)
	}
	if p.Resets {
		t.finish(f, recorder.OutcomeUnknown, now)
		t.remove(key, f)
	}
}

// finish ends the request of a flow, if there is one.
func (t *Tracker) finish(f *flow, o recorder.Outcome, now time.Time) {
	if f.waiting && f.established {
		t.options.Record(o, now)
	}
	t.setWaiting(f, false)
}

// setWaiting keeps the number of running requests. Data that a target may
// never have received, because it has not sent anything on the flow, does not
// count.
func (t *Tracker) setWaiting(f *flow, waiting bool) {
	if f.established && f.waiting != waiting {
		if waiting {
			t.running++
		} else {
			t.running--
		}
	}
	f.waiting = waiting
}

// Answered records a packet of the target. It returns the balancer to tell
// that the target holds the flow, if the flow was found by a search.
func (t *Tracker) Answered(key uint64, p framer.Packet, now time.Time) (netip.Addr, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.unansweredSince = time.Time{}
	f := t.flows[key]
	if f == nil {
		return netip.Addr{}, false
	}
	f.lastSeen = now
	f.hasEnded = f.hasEnded || p.Ends
	if !f.established {
		f.established = true
		if f.waiting {
			t.running++
		}
	}
	if p.Length > 0 {
		if f.waiting {
			took := now.Sub(f.waitingSince)
			answerTime.Update(took.Seconds())
			t.assessor.Observe(f.published, took, f.isQueued, now)
		}
		t.finish(f, recorder.OutcomeGood, now)
	}
	if p.Resets {
		t.finish(f, recorder.OutcomeBroken, now)
		t.remove(key, f)
		return netip.Addr{}, false
	}
	if f.hops == 0 || !f.via.IsValid() || f.hinted == f.via {
		return netip.Addr{}, false
	}
	f.hinted = f.via
	return f.via, true
}

// Returned records that the target did not accept a packet, and returns the
// mark that the packet had before.
func (t *Tracker) Returned(key uint64, now time.Time) framer.Mark {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.unansweredSince = time.Time{}
	f := t.flows[key]
	if f == nil {
		return framer.Mark{}
	}
	if f.established && !f.hasEnded {
		t.assessor.ObserveLoss(now)
		t.finish(f, recorder.OutcomeBroken, now)
	}
	t.remove(key, f)
	return framer.Mark{Via: f.via, Hops: f.hops}
}

func (t *Tracker) remove(key uint64, f *flow) {
	t.endOpening(f)
	t.setWaiting(f, false)
	delete(t.flows, key)
}

func (t *Tracker) endOpening(f *flow) {
	if !f.hasSent {
		f.hasSent = true
		t.opening--
	}
}

// Tick forgets idle flows and ends requests without an answer.
func (t *Tracker) Tick(now time.Time, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = DefaultIdleTimeout
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	for key, f := range t.flows {
		switch {
		case now.Sub(f.lastSeen) > idleTimeout:
			t.finish(f, recorder.OutcomeUnknown, now)
			t.remove(key, f)
		case f.waiting && now.Sub(f.waitingSince) > requestTimeout:
			t.finish(f, recorder.OutcomeUnknown, now)
		case !f.hasSent && now.Sub(f.opened) > openingTime:
			t.endOpening(f)
		}
	}
}

// Load is the load of the target.
type Load struct {
	Running  int // requests and opening flows
	Flows    int
	IsSilent bool // the target leaves opening packets without an answer
	// IsSuspect is set when the target answers much sooner or later than usual.
	IsSuspect bool
}

// Load returns the load at a time.
func (t *Tracker) Load(now time.Time) Load {
	t.lock.Lock()
	defer t.lock.Unlock()
	return Load{
		Running: t.running + t.opening, Flows: len(t.flows),
		IsSuspect: t.assessor.IsSuspect(now),
		IsSilent:  !t.unansweredSince.IsZero() && now.Sub(t.unansweredSince) > silenceLimit,
	}
}

// Holds reports whether a flow is known and the target has answered it.
func (t *Tracker) Holds(key uint64) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	f := t.flows[key]
	return f != nil && f.established
}

// TryProbe reports, once in each silenceLimit, that an opening packet may test
// a silent target.
func (t *Tracker) TryProbe(now time.Time) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if now.Sub(t.lastProbe) < silenceLimit {
		return false
	}
	t.lastProbe = now
	return true
}
