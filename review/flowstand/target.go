package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// queueLimit is the number of requests that a target queues behind its slots.
	queueLimit = 8
	// responseSize is the size of a response in bytes.
	responseSize = 600
	// maxRetransmissions is the number of times that a target sends a response again.
	maxRetransmissions = 8
	firstRetransmit    = 200 * time.Millisecond
	longestRetransmit  = 1600 * time.Millisecond
)

// serverFlow is the target's side of a flow.
type serverFlow struct {
	caller, published netip.AddrPort
	synSequence       uint32
	sequence          uint32 // of the target's next byte
	received          uint32 // sequence number of the caller's next byte
	isOpen            bool
	openedAt          time.Time
	isRunning         bool
	response          []byte // last response that the caller has not acknowledged
	responseSequence  uint32
}

// target is a backend server. It holds flows, runs one request for each of its slots
// and returns the packets of flows that it does not hold.
type target struct {
	fleet    *fleet
	id       string
	service  string
	slots    int
	work     time.Duration
	address  netip.AddrPort
	outbound netip.AddrPort
	conn     *net.UDPConn
	born     time.Time
	lock     sync.Mutex
	flows    map[[2]netip.AddrPort]*serverFlow
	running  int
	queue    []func()
	sequence int
	state    string
	coldLeft time.Duration
	isClosed bool
	// openings has the times of the opening packets that the target took.
	openings []time.Time
	resets   int
}

// startTarget starts a target beside an agent. Its entry is written by publish.
func (f *fleet) startTarget(a *process, id, service string, slots int, work time.Duration) (*target, error) {
	t := &target{
		fleet: f, id: id, service: service, slots: slots, work: work, address: netip.AddrPortFrom(a.address, f.appPort),
		outbound: netip.AddrPortFrom(a.address, f.outboundPort), born: time.Now(), flows: make(map[[2]netip.AddrPort]*serverFlow), state: "ready",
	}
	var err error
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address)); err != nil {
		return nil, fmt.Errorf("start target: %w", err)
	}
	_ = t.conn.SetReadBuffer(1 << 20)
	go t.receive()
	f.record.write("target %s starts at %v", id, t.address)
	return t, nil
}

// publish writes the target's entry.
func (t *target) publish() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.sequence++
	cold := max(0, t.coldLeft-time.Since(t.born))
	t.fleet.store.put(t.fleet.names.EntryPrefix+t.id, fill(t.fleet.names.Entry, entry{
		Service: t.service, Address: t.address.String(), Zone: zone, State: t.state, Slots: t.slots, ColdLeft: int(cold.Milliseconds()),
		Sequence: t.sequence, Born: t.born.UnixMilli(),
	}))
	t.fleet.record.write("target %s publishes its entry as %s", t.id, t.state)
}

// drain reports the target as draining. It keeps its flows, and closes each one after its
// next response.
func (t *target) drain() {
	t.lock.Lock()
	t.state = "draining"
	t.lock.Unlock()
	t.publish()
}

// holds reports whether a caller's flow is open at the target, and since when.
func (t *target) holds(caller, published netip.AddrPort) (time.Time, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	f := t.flows[[2]netip.AddrPort{caller, published}]
	if t.isClosed || f == nil || !f.isOpen {
		return time.Time{}, false
	}
	return f.openedAt, true
}

func (t *target) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		b := append([]byte(nil), buffer[:n]...)
		p, ok := decode(b)
		if !ok || p.sum != checksum(b) {
			t.fleet.recordForged("target %s got a packet that its sender did not write", t.id)
			continue
		}
		t.lock.Lock()
		if !t.handle(p) {
			markReturned(b)
			t.write(b)
		}
		t.lock.Unlock()
	}
}

func (t *target) write(b []byte) { _, _ = t.conn.WriteToUDPAddrPort(b, t.outbound) }

func (t *target) send(f *serverFlow, flags byte, sequence uint32, data []byte) {
	t.write(packet{sequence: sequence, ack: f.received, flags: flags, from: f.published, to: f.caller, data: data}.encode())
}

// handle takes a packet, or returns false if the target does not accept it. The
// caller holds the lock.
func (t *target) handle(p packet) bool {
	key := [2]netip.AddrPort{p.from, p.to}
	f := t.flows[key]
	switch {
	case p.has(flagSYN) && p.has(flagACK):
		t.fleet.recordForged("target %s got a packet of a target", t.id)
		return true
	case p.has(flagSYN):
		return t.handleOpening(key, f, p)
	case f == nil || !f.isOpen && p.ack != f.synSequence+1:
		return false
	case p.has(flagRST):
		delete(t.flows, key)
		return true
	}
	if !f.isOpen {
		f.isOpen, f.openedAt = true, time.Now()
	}
	if f.response != nil && p.ack == f.responseSequence+uint32(len(f.response)) {
		f.response = nil
	}
	if len(p.data) > 0 {
		t.handleRequest(f, p)
	}
	if p.has(flagFIN) {
		f.received++
		t.send(f, flagACK|flagFIN, f.sequence, nil)
		delete(t.flows, key)
	}
	return true
}

func (t *target) handleOpening(key [2]netip.AddrPort, f *serverFlow, p packet) bool {
	if f == nil {
		if t.running+len(t.queue) >= t.slots+queueLimit {
			return false
		}
		t.openings = append(t.openings, time.Now())
		f = &serverFlow{caller: p.from, published: p.to, synSequence: t.fleet.random.Uint32(), received: p.sequence + 1}
		f.sequence = f.synSequence + 1
		t.flows[key] = f
	}
	t.send(f, flagSYN|flagACK, f.synSequence, nil)
	return true
}

// handleRequest runs a request, each one once. The response goes out again if the
// caller repeats its request.
func (t *target) handleRequest(f *serverFlow, p packet) {
	switch {
	case p.sequence != f.received && f.response != nil:
		t.send(f, t.responseFlags(), f.responseSequence, f.response)
		return
	case p.sequence != f.received || f.isRunning:
		return
	}
	f.received += uint32(len(p.data))
	f.isRunning = true
	id := binary.BigEndian.Uint64(p.data)
	t.fleet.countRun(id, t.id)
	run := func() {
		time.AfterFunc(t.work, func() {
			t.lock.Lock()
			defer t.lock.Unlock()
			t.finish(f, id)
		})
	}
	if t.running < t.slots {
		t.running++
		run()
		return
	}
	t.queue = append(t.queue, run)
}

// finish ends a request and starts the next one. The caller holds the lock.
func (t *target) finish(f *serverFlow, id uint64) {
	if len(t.queue) > 0 {
		t.queue[0]()
		t.queue = t.queue[1:]
	} else {
		t.running--
	}
	f.isRunning = false
	if t.isClosed || t.flows[[2]netip.AddrPort{f.caller, f.published}] != f {
		return
	}
	f.response = binary.BigEndian.AppendUint64(make([]byte, 0, responseSize), id)[:responseSize]
	f.responseSequence = f.sequence
	f.sequence += responseSize
	t.send(f, t.responseFlags(), f.responseSequence, f.response)
	t.retransmit(f, f.responseSequence, firstRetransmit, 0)
}

// responseFlags returns the flags of a response. The caller holds the lock.
func (t *target) responseFlags() byte {
	if t.state == "draining" {
		return flagACK | flagFIN
	}
	return flagACK
}

// retransmit sends a response again until it is acknowledged.
func (t *target) retransmit(f *serverFlow, sequence uint32, after time.Duration, count int) {
	time.AfterFunc(after, func() {
		t.lock.Lock()
		defer t.lock.Unlock()
		isHeld := !t.isClosed && t.flows[[2]netip.AddrPort{f.caller, f.published}] == f
		if !isHeld || f.response == nil || f.responseSequence != sequence || count == maxRetransmissions {
			return
		}
		t.send(f, t.responseFlags(), f.responseSequence, f.response)
		t.retransmit(f, sequence, min(2*after, longestRetransmit), count+1)
	})
}
