package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// openTimeout is the time after which a caller gives up an unanswered opening.
	openTimeout = 1400 * time.Millisecond
	// deadline is the time after which a caller gives up a request.
	deadline = 3 * time.Second
	// resetWindow is the largest distance of a reset's number from what the caller
	// acknowledged last.
	resetWindow = 76_800
)

// repeats are the times after the first packet at which a caller repeats it: after
// 200 ms, with an interval that doubles up to 1.6 s.
var (
	openingRepeats = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}
	dataRepeats    = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
)

// callerHost is the address of a caller: its flows share a socket.
type callerHost struct {
	fleet    *fleet
	address  netip.Addr
	conn     *net.UDPConn
	lock     sync.Mutex
	flows    map[uint16]*flow
	nextPort uint16
}

// flow is the caller's end of a flow.
type flow struct {
	host     *callerHost
	key      flowKey
	seq, ack uint32
	isOpen   bool
	incoming chan received
}

type received struct {
	packet packet
	from   netip.AddrPort
}

func newCallerHost(f *fleet, address netip.Addr) (*callerHost, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, f.ports.packet)))
	if err != nil {
		return nil, err
	}
	h := &callerHost{fleet: f, address: address, conn: conn, flows: map[uint16]*flow{}, nextPort: 1024}
	go h.receive()
	return h, nil
}

func (h *callerHost) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		b := append([]byte(nil), buffer[:n]...)
		p, ok := decode(b)
		if !ok || !p.has(flagRST) && !hasValidSum(b) {
			h.fleet.record.fail("MIXED", "a caller got a packet that its sender did not write so")
			continue
		}
		h.lock.Lock()
		f := h.flows[p.to.Port()]
		h.lock.Unlock()
		if f != nil {
			select {
			case f.incoming <- received{p, from}:
			default:
			}
		}
	}
}

func (h *callerHost) newFlow(published netip.AddrPort) *flow {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.nextPort++
	f := &flow{
		host: h, key: flowKey{netip.AddrPortFrom(h.address, h.nextPort), published}, seq: rand.Uint32(), incoming: make(chan received, 64),
	}
	h.flows[h.nextPort] = f
	return f
}

func (f *flow) send(flags byte, data []byte) {
	ack := f.ack
	f.sendNumbered(flags, ack, data)
}

func (f *flow) sendNumbered(flags byte, ack uint32, data []byte) {
	b := f.host.fleet.route(f.key)
	f.host.fleet.record.sent(sending{time.Now(), f.key, b.name})
	p := packet{from: f.key.caller, to: f.key.published, flags: flags, seq: f.seq, ack: ack, data: data}
	_, _ = f.host.conn.WriteToUDPAddrPort(encode(p), netip.AddrPortFrom(b.address, f.host.fleet.ports.packet))
}

// wait sends, repeats at the given times and waits for an accepted packet. It
// reports whether one came in time, and whether the flow was reset.
func (f *flow) wait(ctx context.Context, limit time.Duration, repeats []time.Duration, send func(number int), accept func(p packet) bool) (ok, isReset bool) {
	start := time.Now()
	send(0)
	for copies := 1; ; {
		end := limit
		if copies <= len(repeats) {
			end = min(limit, repeats[copies-1])
		}
		timer := time.NewTimer(time.Until(start.Add(end)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false, false
		case r := <-f.incoming:
			timer.Stop()
			if r.packet.has(flagRST) {
				if distance := int32(r.packet.seq - f.ack); f.isOpen && (distance < -resetWindow || distance > resetWindow) {
					continue
				}
				f.noteReset(r)
				return false, true
			}
			if accept(r.packet) {
				return true, false
			}
		case <-timer.C:
			if time.Since(start) >= limit {
				return false, false
			}
			send(copies)
			copies++
		}
	}
}

// noteReset records a reset. Targets send none here, so it is one of the system's.
func (f *flow) noteReset(r received) {
	f.host.fleet.record.add("reset: flow of %s by %s (open: %t)", f.key.caller, r.from, f.isOpen)
	if f.isOpen {
		f.host.fleet.noteReset(f.key, r.from.Addr())
	}
}

func (f *flow) open(ctx context.Context) bool {
	ok, _ := f.wait(ctx, openTimeout, openingRepeats, func(number int) {
		if number <= len(openingRepeats) {
			f.sendNumbered(flagSYN, uint32(number), nil)
		}
	}, func(p packet) bool {
		if !p.has(flagSYN) || !p.has(flagACK) {
			return false
		}
		f.ack = p.seq + 1
		return true
	})
	if ok {
		f.seq++
		f.isOpen = true
		f.send(flagACK, nil)
	}
	return ok
}

// request sends a request and reports whether it was answered in time.
func (f *flow) request(ctx context.Context, id string) bool {
	data := []byte(id)
	end := f.seq + uint32(len(data))
	ok, _ := f.wait(ctx, deadline, dataRepeats, func(int) { f.send(flagACK, data) }, func(p packet) bool {
		if p.has(flagSYN) || len(p.data) == 0 || p.seq != f.ack || p.ack != end {
			return false
		}
		f.ack += uint32(len(p.data))
		return true
	})
	if ok {
		f.seq = end
		f.send(flagACK, nil)
	}
	return ok
}

func (f *flow) close() {
	f.host.fleet.record.close(f.key)
	if f.isOpen {
		f.send(flagFIN|flagACK, nil)
	}
	f.host.lock.Lock()
	delete(f.host.flows, f.key.caller.Port())
	f.host.lock.Unlock()
}

// runUser keeps a flow open for many requests with pauses between them, and opens
// another one when it breaks.
func (h *callerHost) runUser(ctx context.Context, user int, published netip.AddrPort, pause time.Duration) {
	r := h.fleet.record
	for number := 0; ctx.Err() == nil; {
		f := h.newFlow(published)
		if !f.open(ctx) {
			r.count("flows not opened")
			f.close()
			continue
		}
		r.count("flows opened")
		for ctx.Err() == nil {
			number++
			id := fmt.Sprintf("%s-%d-%d", h.address, user, number)
			r.count("requests sent")
			r.add("sent: request %s of %s", id, f.key.caller)
			if !f.request(ctx, id) {
				if ctx.Err() == nil {
					r.add("no answer: request %s of %s", id, f.key.caller)
					r.count("requests without answer")
				}
				break
			}
			r.count("requests answered")
			r.add("answered: request %s of %s", id, f.key.caller)
			sleep(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
		}
		f.close()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
