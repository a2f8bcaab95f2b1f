package tracker

import (
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/assessor"
	"kingcupvalve.example/kingcupvalve/internal/forecaster"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
)

// Defaults of Options and limits of a tracker.
const (
	// DefaultMaxFlows limits the memory of a tracker to about 15 MB.
	DefaultMaxFlows = 65_536
	// DefaultIdleTimeout applies while the configuration sets no idle timeout.
	DefaultIdleTimeout = 15 * time.Second
	// firstRequestTimeout is the time for which a new flow without data counts as a
	// running request. The caller's first data arrives earlier: it follows the
	// handshake, which takes two round trips of at most about 10 ms.
	firstRequestTimeout = 100 * time.Millisecond
	// requestTimeout ends requests that were never answered. The longest request
	// on a slow target takes about 1 s.
	requestTimeout = 3 * time.Second
	// silenceTimeout is the time after an opening packet without any packet from
	// the target after which the target counts as silent. A running target answers
	// an opening packet within about 1 ms.
	silenceTimeout = 250 * time.Millisecond
	// maxBytesAhead exceeds the data that a caller sends beyond what the target has
	// acknowledged: 16 packets of at most 1,200 bytes.
	maxBytesAhead = 1 << 17
	// hintInterval is the time after which a balancer is notified again if it still
	// searches for a flow. Packets of one window arrive within a few milliseconds.
	hintInterval = 50 * time.Millisecond
)

// responseTime is a histogram of the seconds from the caller's data to the
// target's first answer.
var responseTime = metrics.GetOrCreateHistogram("kingcupvalve_tracker_answer_seconds")

// Options configures a Tracker. Zero fields take the defaults.
type Options struct {
	MaxFlows int
	// Slots returns the slots of the target, 0 while they are not known.
	Slots func() int
	// Record is called with the outcome of each request, while the tracker is
	// locked.
	Record func(o recorder.Outcome, now time.Time)
	// StartedAt is when the agent started. If it is zero, the tracker never claims to
	// know every flow of the target.
	StartedAt time.Time
	// RecordRestart is called when the target returns a packet of a flow that it held,
	// which shows that it has restarted. The tracker is locked meanwhile.
	RecordRestart func(now time.Time)
	// Forecaster learns the work of the target. It may be nil. The tracker locks it.
	Forecaster *forecaster.Forecaster
}

// flow is the state of one flow. Via and hops are those of the mark of the
// caller's last packet.
type flow struct {
	caller    netip.AddrPort
	published netip.AddrPort
	// isQueued is set when the pending request has to wait for a slot.
	isQueued bool
	openedAt time.Time
	lastSeen time.Time
	// pendingSince is the time of the first data of the caller that is unanswered.
	pendingSince   time.Time
	firstSequence  uint32 // sequence number of the opening packet, if hasOpening
	hasOpening     bool   // the opening packet of the flow was seen
	ackNumber      uint32 // of the caller's last packet
	nextSequence   uint32 // sequence number after the caller's last new byte
	hasSentData    bool   // the caller has sent data, or the wait for it has ended
	isPending      bool   // the caller's data is unanswered
	isEstablished  bool   // the target has sent a packet of the flow
	hasEnded       bool   // either end has sent a FIN
	via            netip.Addr
	hops           uint8
	requests       uint32 // started since the flow was opened
	isRunning      bool   // the pending request occupies a slot
	runningSince   time.Time
	hintedBalancer netip.Addr // last balancer notified that the target holds the flow
	hintedAt       time.Time
}

// Tracker tracks the flows of one target. It is safe for concurrent use.
type Tracker struct {
	options          Options
	lock             sync.Mutex
	flows            map[uint64]*flow
	assessor         *assessor.Assessor
	runningRequests  int // pending requests of established flows
	queue            serviceQueue
	expectedRequests int // new flows whose first request is expected
	demand           demand
	// unansweredSince is the time of the first opening packet since the last packet
	// from the target, or zero.
	unansweredSince time.Time
	// unansweredCount is the number of packets since then that a running target
	// answers.
	unansweredCount int
	lastProbe       time.Time
	// probes has the times of the probes whose answers callers don't get.
	probes    map[uint64]time.Time
	knowledge knowledge
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
	if options.RecordRestart == nil {
		options.RecordRestart = func(time.Time) {}
	}
	return &Tracker{
		options: options, flows: make(map[uint64]*flow), probes: make(map[uint64]time.Time), assessor: assessor.NewAssessor(), demand: newDemand(),
		knowledge: knowledge{startedAt: options.StartedAt, hasMissed: options.StartedAt.IsZero()},
	}
}

// ObserveCallerPacket records a caller's packet that is forwarded to the target. If
// a search found the flow, which the target has answered before, it returns the
// balancer to notify that the target holds the flow.
func (t *Tracker) ObserveCallerPacket(key uint64, p framer.Packet, now time.Time) (netip.Addr, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.recordUnanswered(p, now)
	delete(t.probes, key)
	f := t.flows[key]
	if f != nil && p.SYN && !f.isOpenedBy(p.Sequence) {
		t.finishRequest(f, recorder.OutcomeUnknown, now)
		t.removeFlow(key, f, now)
		f = nil
	}
	if f == nil {
		if len(t.flows) >= t.options.MaxFlows {
			t.knowledge.hasMissed = true
			return netip.Addr{}, false
		}
		f = &flow{
			caller: p.Source, published: p.Destination, openedAt: now, firstSequence: p.Sequence, hasOpening: p.SYN,
			hasSentData: !p.SYN, nextSequence: p.Sequence,
		}
		t.flows[key] = f
		if p.SYN {
			t.expectedRequests++
			t.demand.add(f)
		}
	}
	if !f.contains(p) {
		return netip.Addr{}, false
	}
	f.lastSeen = now
	if !p.SYN {
		f.ackNumber = p.AckNumber
	}
	// A packet that a target returned after another one of its flow has lost its mark.
	if p.Mark.Via.IsValid() {
		f.via, f.hops = p.Mark.Via, p.Mark.Hops
	}
	end := p.Sequence + uint32(p.Length)
	if p.Length > 0 && (!f.hasSentData || int32(end-f.nextSequence) > 0) {
		t.stopExpecting(f)
		f.hasSentData, f.nextSequence = true, end
		if !f.isPending {
			t.setPending(f, true, now)
			t.options.Forecaster.ObserveRequest(f.published, f.requests > 0 || !f.hasOpening, now)
			f.requests++
			f.pendingSince = now
			slots := t.options.Slots()
			f.isQueued = slots > 0 && t.runningRequests > slots
		}
	}
	if p.FIN {
		f.hasEnded = true
		t.finishRequest(f, recorder.OutcomeUnknown, now)
	}
	if p.RST {
		t.finishRequest(f, recorder.OutcomeUnknown, now)
		t.removeFlow(key, f, now)
		return netip.Addr{}, false
	}
	if !f.isEstablished || !f.isSearched() || f.hintedBalancer == f.via && now.Sub(f.hintedAt) < hintInterval {
		return netip.Addr{}, false
	}
	f.hintedBalancer, f.hintedAt = f.via, now
	return f.via, true
}

// isSearched reports whether the balancer of the caller's last packet searches for
// the flow.
func (f *flow) isSearched() bool { return f.hops > 0 && f.via.IsValid() }

// isOpenedBy reports whether an opening packet with a sequence number belongs to
// this flow. Callers use their ports again, so an opening packet with another
// number, or after the end of the flow, opens a new flow with the same key. A flow
// whose opening packet was not seen may have any number.
func (f *flow) isOpenedBy(sequence uint32) bool {
	return !f.hasEnded && (!f.hasOpening || f.firstSequence == sequence)
}

// contains reports whether a caller's packet can belong to this flow. A packet of
// an earlier flow with the same key that arrives late must not end this one. A
// reset may have sequence number 0 (RFC 9293, section 3.10.7.1).
func (f *flow) contains(p framer.Packet) bool {
	if !f.hasOpening || p.RST && p.Sequence == 0 {
		return true
	}
	return int32(p.Sequence-f.firstSequence) >= 0 && int32(p.Sequence-f.nextSequence) <= maxBytesAhead
}

// finishRequest ends the pending request of a flow, if there is one, and records
// its outcome.
func (t *Tracker) finishRequest(f *flow, o recorder.Outcome, now time.Time) {
	if f.isPending && f.isEstablished {
		t.options.Record(o, now)
	}
	if f.isPending && o == recorder.OutcomeGood {
		t.queue.observe(f, now)
		if f.isRunning {
			t.options.Forecaster.ObserveWork(f.published, now.Sub(f.runningSince), now)
		}
	}
	t.setPending(f, false, now)
}

// setPending sets whether a flow has a pending request and updates the number of
// running requests. A request does not count while the target has sent nothing on
// the flow, because the target may never have received the data.
func (t *Tracker) setPending(f *flow, isPending bool, now time.Time) {
	if f.isEstablished && f.isPending != isPending {
		if isPending {
			t.runningRequests++
			t.demand.add(f)
			t.queue.add(f, t.options.Slots(), now)
		} else {
			t.runningRequests--
			t.demand.remove(f)
			t.queue.remove(f, now)
		}
	}
	f.isPending = isPending
}

// ObserveTargetPacket records a packet from the target. If a search placed or
// found the flow at the target, it returns the balancer to notify that the
// target holds the flow, unless that balancer was the last one to be notified.
func (t *Tracker) ObserveTargetPacket(key uint64, p framer.Packet, now time.Time) (netip.Addr, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.unansweredSince = time.Time{}
	f := t.flows[key]
	if f == nil {
		return netip.Addr{}, false
	}
	f.lastSeen = now
	f.hasEnded = f.hasEnded || p.FIN
	if !f.isEstablished {
		f.isEstablished = true
		t.options.Forecaster.OpenFlow(f.published, now)
		if f.isPending {
			t.runningRequests++
			t.demand.add(f)
			t.queue.add(f, t.options.Slots(), now)
		}
	}
	if p.Length > 0 {
		if f.isPending {
			elapsed := now.Sub(f.pendingSince)
			responseTime.Update(elapsed.Seconds())
			t.assessor.Observe(f.published, elapsed, f.isQueued, now)
		}
		t.finishRequest(f, recorder.OutcomeGood, now)
	}
	if p.RST {
		if f.isPending && !f.hasEnded {
			t.assessor.ObserveReset(now)
		}
		t.finishRequest(f, recorder.OutcomeBroken, now)
		t.removeFlow(key, f, now)
		return netip.Addr{}, false
	}
	if !f.isSearched() || f.hintedBalancer == f.via {
		return netip.Addr{}, false
	}
	f.hintedBalancer, f.hintedAt = f.via, now
	return f.via, true
}

// ObserveReturnedPacket records that the target returned a caller's packet, and
// returns the balancer and hops of the mark of the flow's last packet.
func (t *Tracker) ObserveReturnedPacket(key uint64, p framer.Packet, now time.Time) framer.Mark {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.unansweredSince = time.Time{}
	f := t.flows[key]
	if f == nil {
		return framer.Mark{}
	}
	if !f.contains(p) {
		return framer.Mark{Via: f.via, Hops: f.hops}
	}
	if f.isEstablished && !f.hasEnded {
		t.assessor.ObserveLostFlow(now)
		t.knowledge.observeLostFlow(f.openedAt)
		t.options.RecordRestart(now)
		t.finishRequest(f, recorder.OutcomeBroken, now)
	}
	t.removeFlow(key, f, now)
	return framer.Mark{Via: f.via, Hops: f.hops}
}

// removeFlow deletes a flow and its share of the load.
func (t *Tracker) removeFlow(key uint64, f *flow, now time.Time) {
	t.stopExpecting(f)
	t.setPending(f, false, now)
	if f.isEstablished {
		t.options.Forecaster.CloseFlow(f.published, now)
	}
	delete(t.flows, key)
}

// stopExpecting ends the time in which a new flow without data counts as a
// running request.
func (t *Tracker) stopExpecting(f *flow) {
	if !f.hasSentData {
		f.hasSentData = true
		t.expectedRequests--
		t.demand.remove(f)
	}
}

// Expire removes idle flows, ends requests without an answer and stops counting
// new flows without data as requests. A timeout of 0 or less means
// DefaultIdleTimeout.
func (t *Tracker) Expire(now time.Time, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = DefaultIdleTimeout
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.knowledge.setIdleTimeout(idleTimeout, now)
	t.expireProbes(now)
	for key, f := range t.flows {
		switch {
		case now.Sub(f.lastSeen) > max(idleTimeout, t.knowledge.idleTimeout):
			t.finishRequest(f, recorder.OutcomeUnknown, now)
			t.removeFlow(key, f, now)
		case f.isPending && now.Sub(f.pendingSince) > requestTimeout:
			t.finishRequest(f, recorder.OutcomeUnknown, now)
		case !f.hasSentData && now.Sub(f.openedAt) > firstRequestTimeout:
			t.stopExpecting(f)
		}
	}
}

// Load is the estimated load and health of the target.
type Load struct {
	Running int // running requests and new flows that are about to send one
	Flows   int
	// ServiceTime is the mean time that recent requests occupied a slot, 0 if there
	// were none.
	ServiceTime time.Duration
	// LeastServiceTime is the lower end of the error of that mean. Targets are compared
	// by it: one that seems slow gets no requests, and nothing else would show that it is
	// not, or not any more.
	LeastServiceTime time.Duration
	IsSilent         bool // the target does not answer opening packets
	// IsSuspect is set when the target is an outlier by its response times or lost
	// an open flow.
	IsSuspect bool
}

// Load returns the load of the target as of now.
func (t *Tracker) Load(now time.Time) Load {
	t.lock.Lock()
	defer t.lock.Unlock()
	return Load{
		Running: t.runningRequests + t.expectedRequests, Flows: len(t.flows), ServiceTime: t.queue.serviceTime(now), LeastServiceTime: t.queue.leastServiceTime(now),
		IsSuspect: t.assessor.IsSuspect(now),
		IsSilent:  t.isSilent(now),
	}
}

// HoldsFlow reports whether the target has answered the flow that an opening
// packet with a sequence number belongs to, and neither end has closed it.
func (t *Tracker) HoldsFlow(key uint64, sequence uint32) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	f := t.flows[key]
	return f != nil && f.isEstablished && f.isOpenedBy(sequence)
}
