package simulator

import (
	"net/netip"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/framer"
)

const (
	// Targets and callers repeat data after minRetransmission; the interval doubles
	// up to maxRetransmission.
	minRetransmission = 200 * time.Millisecond
	maxRetransmission = 1600 * time.Millisecond
	// maxTargetRetransmissions is the number of repetitions after which a target
	// gives up.
	maxTargetRetransmissions = 8
)

// target is a backend server.
type target struct {
	world   *world
	agent   *agent
	id      string
	service string
	address netip.AddrPort
	zone    int
	slots   int
	queue   int
	speed   float64
	slow    float64 // factor of a fault, 1 without one
	// resetShare is the share of requests that the target resets by a fault.
	resetShare float64
	isUp       bool
	// incarnation counts the starts. What belongs to an earlier one is lost.
	incarnation int
	coldUntil   time.Time
	coldFactor  float64
	flows       map[uint64]*targetFlow
	running     int
	waiting     []*request
	// active are the requests that run, openFlows counts the flows of each kind.
	active    []*request
	openFlows map[*kind]int
}

// targetFlow is a target's end of a flow.
type targetFlow struct {
	flow     *flow
	hasEnded bool
	seen     map[uint64]bool // requests
}

func (t *target) start(cold time.Duration) {
	t.isUp, t.coldUntil = true, t.world.now.Add(cold)
	t.incarnation++
	t.flows, t.running, t.waiting = make(map[uint64]*targetFlow), 0, nil
	t.active, t.openFlows = nil, make(map[*kind]int)
}

func (t *target) stop() { t.isUp = false }

func (t *target) receive(p packet) {
	if !t.isUp {
		return
	}
	key := p.Key()
	f := t.flows[key]
	switch {
	case p.SYN:
		if f == nil || f.hasEnded || f.flow != p.flow {
			t.world.recordOpening(t)
			t.flows[key] = &targetFlow{flow: p.flow, seen: make(map[uint64]bool)}
			t.openFlows[p.flow.kind]++
		}
		t.agent.sendToCaller(p.flow, framer.Packet{SYN: true, ACK: true}, func() { p.flow.open(t) })
	case f == nil || f.flow != p.flow || p.flow.isOpen && p.flow.target != t:
		// The caller may have opened the flow at another target that got a copy of its
		// opening packet.
		t.agent.returnPacket(p)
	case p.FIN:
		if !f.hasEnded {
			t.openFlows[p.flow.kind]--
		}
		f.hasEnded = true
		t.agent.sendToCaller(p.flow, framer.Packet{ACK: true, FIN: true}, func() {})
	case p.request != nil && t.resetShare > 0 && t.world.random.Float64() < t.resetShare:
		delete(t.flows, key)
		t.openFlows[p.flow.kind]--
		t.agent.sendToCaller(p.flow, framer.Packet{RST: true}, p.flow.reset)
	case p.request != nil:
		t.agent.sendToCaller(p.flow, framer.Packet{ACK: true}, func() { p.flow.acknowledge(p.request) })
		if !f.seen[p.request.id] {
			f.seen[p.request.id] = true
			t.accept(p.request, p.flow)
		}
	}
}

// accept starts or queues a request, or rejects it if the queue is full.
func (t *target) accept(r *request, f *flow) {
	r.flow, r.arrivedAt = f, t.world.now
	switch {
	case t.running < t.slots:
		t.run(r)
	case len(t.waiting) < t.queue:
		t.waiting = append(t.waiting, r)
	default:
		t.answer(r, false)
	}
}

func (t *target) run(r *request) {
	w := t.world
	t.running++
	r.startedAt = w.now
	if r.runs++; r.runs > 1 && !r.kind.isIdempotent {
		w.result.repeated++
	}
	length, incarnation := t.scale(r.work), t.incarnation
	r.endsAt = w.now.Add(length)
	t.active = append(t.active, r)
	w.after(length, func() {
		if !t.isUp || t.incarnation != incarnation {
			return
		}
		t.running--
		if i := slices.Index(t.active, r); i >= 0 {
			t.active = slices.Delete(t.active, i, i+1)
		}
		t.answer(r, true)
		for len(t.waiting) > 0 && t.running < t.slots {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			t.run(next)
		}
	})
}

// answer sends the response of a request and repeats it until the caller has it.
func (t *target) answer(r *request, isDone bool) {
	t.sendAnswer(r, r.flow, isDone, t.incarnation, minRetransmission, maxTargetRetransmissions)
}

func (t *target) sendAnswer(r *request, f *flow, isDone bool, incarnation int, interval time.Duration, left int) {
	if !t.isUp || t.incarnation != incarnation || left == 0 || r.isOver || f.isClosed {
		return
	}
	t.agent.sendToCaller(f, framer.Packet{ACK: true, Length: 1000}, func() { f.answer(r, isDone) })
	t.world.after(interval, func() { t.sendAnswer(r, f, isDone, incarnation, min(2*interval, maxRetransmission), left-1) })
}
