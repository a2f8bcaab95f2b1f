package simulator

import (
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/framer"
)

const (
	// A caller repeats an opening packet after these times and gives up at
	// openTimeout.
	secondOpening = 200 * time.Millisecond
	thirdOpening  = 600 * time.Millisecond
	openTimeout   = 1400 * time.Millisecond
	// maxRetries is the number of further attempts of a request.
	maxRetries = 2
	// retryDelay is the time from the end of an attempt to the next one.
	retryDelay = 5 * time.Millisecond
	// maxIdle is the time after which a caller closes a kept flow.
	maxIdle = 10 * time.Second
)

// request is one request of a caller, over all its attempts.
type request struct {
	id       uint64
	kind     *kind
	zone     int
	user     *user // nil for a kind that opens a flow for each request
	caller   int   // source address within the zone
	isBusy   bool  // of a busy caller
	bornAt   time.Time
	work     time.Duration
	attempts int
	runs     int
	isOver   bool
	flow     *flow
	// openedAt, arrivedAt and startedAt are of the last attempt: the flow opened,
	// the target received and started the request.
	openedAt, arrivedAt, startedAt time.Time
	endsAt                         time.Time // of the run at the target
}

// flow is a caller's end of a flow.
type flow struct {
	world        *world
	zone         int
	kind         *kind
	caller       netip.AddrPort
	published    netip.AddrPort
	sequence     uint32
	target       *target
	isOpen       bool
	isClosed     bool
	bornAt       time.Time
	usedAt       time.Time
	current      *request
	acknowledged bool
}

// begin starts a request of a kind from a zone.
func (w *world) begin(k *kind, zone int) {
	w.lastRequest++
	r := &request{id: w.lastRequest, kind: k, zone: zone, bornAt: w.now, work: w.drawWork(k)}
	if users := k.users[zone]; len(users) > 0 {
		at := w.arrivals.IntN(len(users))
		r.user, r.caller = users[at], at%max(1, k.callers)
	} else if k.callers > 0 {
		r.caller = w.arrivals.IntN(k.callers)
	}
	if w.busyShare > 0 && w.busyKind == k.name && w.arrivals.Float64() < w.busyShare {
		// A busy caller opens a flow for each request.
		r.user, r.caller, r.isBusy = nil, k.callers, true
	}
	w.result.begin(r)
	w.after(k.deadline, func() { w.finish(r, false) })
	w.attempt(r)
}

func (w *world) attempt(r *request) {
	if r.isOver {
		return
	}
	r.attempts++
	if f := r.user.keptFlow(w.now); f != nil {
		f.current, r.flow, r.openedAt = r, f, w.now
		f.sendRequest()
		return
	}
	w.lastPort++
	f := &flow{
		world: w, zone: r.zone, kind: r.kind, bornAt: w.now, published: r.kind.published, sequence: w.random.Uint32(), current: r,
		caller: w.newCallerAddress(r),
	}
	r.flow = f
	for i, delay := range []time.Duration{0, secondOpening, thirdOpening} {
		w.after(delay, func() {
			if !f.isOpen && !f.isClosed {
				f.send(framer.Packet{SYN: true, Sequence: f.sequence, AckNumber: uint32(i)}, nil)
			}
		})
	}
	w.after(openTimeout, func() {
		if !f.isOpen && !f.isClosed {
			f.end(true)
		}
	})
}

// newCallerAddress returns the address of a new flow. The port is not in use by an
// earlier flow.
func (w *world) newCallerAddress(r *request) netip.AddrPort {
	port := uint16(w.lastPort&0x3fff + 1024)
	if r.kind.callers == 0 {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(r.zone), byte(w.lastPort >> 14)}), port)
	}
	zone := r.zone
	if r.isBusy {
		zone = 0
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(64 + zone), byte(r.caller >> 8), byte(r.caller)}), port)
}

// user is one of the callers of a kind that keep a flow for many requests.
type user struct{ flow *flow }

// keptFlow returns the open flow of a user, or nil if it has none or is waiting for
// an answer on it.
func (u *user) keptFlow(now time.Time) *flow {
	if u == nil || u.flow == nil || u.flow.isClosed || u.flow.current != nil {
		return nil
	}
	life := u.flow.kind.flowLife
	if now.Sub(u.flow.usedAt) > maxIdle || life > 0 && now.Sub(u.flow.bornAt) > life {
		u.flow.close()
		return nil
	}
	return u.flow
}

func (f *flow) send(p framer.Packet, r *request) {
	p.Source, p.Destination = f.caller, f.published
	f.world.routePacket(f.zone, packet{Packet: p, request: r, flow: f})
}

// open handles the first answer of a target.
func (f *flow) open(t *target) {
	if f.isOpen || f.isClosed {
		return
	}
	f.isOpen, f.target = true, t
	f.sequence++
	f.current.openedAt = f.world.now
	f.sendRequest()
}

// sendRequest sends the data of the current request until it is acknowledged.
func (f *flow) sendRequest() {
	f.acknowledged = false
	f.repeatRequest(f.current, f.sequence, minRetransmission)
	f.sequence += 100
}

func (f *flow) repeatRequest(r *request, sequence uint32, interval time.Duration) {
	if f.isClosed || r.isOver || f.current != r || f.acknowledged {
		return
	}
	f.send(framer.Packet{ACK: true, Sequence: sequence, Length: 100}, r)
	f.world.after(interval, func() { f.repeatRequest(r, sequence, min(2*interval, maxRetransmission)) })
}

func (f *flow) acknowledge(r *request) {
	if f.current == r {
		f.acknowledged = true
	}
}

// answer handles a response. A response that is not done says that the request
// did not run.
func (f *flow) answer(r *request, isDone bool) {
	if f.isClosed || f.current != r || r.isOver {
		return
	}
	f.current = nil
	w := f.world
	if isDone {
		w.finish(r, true)
	} else {
		w.retry(r, true)
	}
	if r.user == nil {
		f.close()
		return
	}
	f.usedAt = w.now
	if old := r.user.flow; old != f && old != nil && old.current == nil {
		old.close()
	}
	r.user.flow = f
}

// close ends the flow with a FIN.
func (f *flow) close() {
	if !f.isClosed {
		f.send(framer.Packet{FIN: true, ACK: true, Sequence: f.sequence}, nil)
		f.isClosed = true
	}
}

// reset handles a reset by the system.
func (f *flow) reset() {
	if f.world.observeReset != nil {
		f.world.observeReset(f)
	}
	if !f.isClosed {
		f.end(!f.isOpen)
	}
}

// end ends the attempt. A request that may have run is repeated only if it is
// idempotent.
func (f *flow) end(isNotRun bool) {
	f.isClosed = true
	if r := f.current; r != nil {
		f.current = nil
		f.world.retry(r, isNotRun)
	}
}

func (w *world) retry(r *request, isNotRun bool) {
	if !isNotRun && !r.kind.isIdempotent || r.attempts > maxRetries {
		w.finish(r, false)
		return
	}
	w.after(retryDelay, func() { w.attempt(r) })
}

// finish ends a request and records what its caller got.
func (w *world) finish(r *request, isServed bool) {
	if r.isOver {
		return
	}
	r.isOver = true
	w.result.finish(r, w.now, isServed)
	if f := r.flow; f != nil && f.current == r {
		f.current = nil
		f.close()
	}
}
