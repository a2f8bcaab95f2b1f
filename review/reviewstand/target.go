package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// slots is the number of requests that a target runs at a time.
	slots = 5
	// meanWork is the mean time of a request.
	meanWork = 34 * time.Millisecond
	// maxRepeats is the number of retransmissions after which a target gives up.
	maxRepeats = 8
)

// target is a server: it reports itself to the store, holds flows and runs the
// requests in them.
type target struct {
	id       string
	service  string
	address  netip.AddrPort
	outbound netip.AddrPort
	store    *store
	record   *record
	conn     *net.UDPConn
	lock     sync.Mutex
	flows    map[flowKey]*heldFlow
	slots    chan struct{}
	bornMs   int64
	reports  int
	isDead   bool
}

// heldFlow is the target's end of a flow.
type heldFlow struct {
	key      flowKey
	seq      uint32 // next byte of the target
	first    uint32 // the target's number in the handshake
	next     uint32 // next byte that the caller sends
	isOpen   bool
	isBusy   bool
	response *packet
}

// startTarget binds the target's socket. It is listed once report is called.
func startTarget(s *store, r *record, id, service string, address, outbound netip.AddrPort) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, service: service, address: address, outbound: outbound, store: s, record: r, conn: conn,
		flows: map[flowKey]*heldFlow{}, slots: make(chan struct{}, slots), bornMs: time.Now().UnixMilli(),
	}
	go t.receive()
	return t, nil
}

// reportRegularly writes the target's entry until it dies. Targets do
// not report at the same moments.
func (t *target) reportRegularly() {
	t.report()
	time.Sleep(rand.N(pingInterval))
	for {
		t.lock.Lock()
		isDone := t.isDead
		t.lock.Unlock()
		if isDone {
			return
		}
		t.report()
		time.Sleep(pingInterval)
	}
}

func (t *target) report() {
	// The sequence is left out of what changes the entry: the store takes a report
	// that brings nothing new without a new revision.
	value, _ := json.Marshal(map[string]any{
		"service": t.service, "addr": t.address.String(), "zone": zone, "configVersion": "v1", "slots": slots, "state": "ready",
		t.store.names.ColdField: 0, "sequence": 1, "born": t.bornMs,
	})
	t.store.put(t.key(), value, true)
}

// key returns the key of the target's entry.
func (t *target) key() string { return t.store.names.EntryPrefix + t.id }

// crash ends the target for good: its socket closes and it reports no more.
func (t *target) crash() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.isDead = true
	_ = t.conn.Close()
}

// holds reports whether the target lives and holds an open flow.
func (t *target) holds(key flowKey) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	f := t.flows[key]
	return !t.isDead && f != nil && f.isOpen
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
		if !ok || !hasValidSum(b) {
			t.record.fail("UNASKED", "%s got a packet that its sender did not write so", t.id)
			continue
		}
		t.handle(b, p)
	}
}

func (t *target) send(p packet) { _, _ = t.conn.WriteToUDPAddrPort(encode(p), t.outbound) }

func (t *target) handle(b []byte, p packet) {
	key := flowKey{p.from, p.to}
	t.lock.Lock()
	defer t.lock.Unlock()
	f := t.flows[key]
	if p.has(flagSYN) {
		if f == nil {
			first := rand.Uint32()
			f = &heldFlow{key: key, first: first, seq: first + 1, next: p.seq + 1}
			t.flows[key] = f
		}
		t.send(packet{from: p.to, to: p.from, flags: flagSYN | flagACK, seq: f.first, ack: f.next})
		return
	}
	isOwn := f != nil && (f.isOpen || p.ack == f.first+1)
	t.record.arrive(arrival{at: time.Now(), key: key, target: t.id, isOwn: isOwn})
	if !isOwn {
		returnPacket(b)
		_, _ = t.conn.WriteToUDPAddrPort(b, t.outbound)
		return
	}
	if !f.isOpen {
		f.isOpen = true
		t.record.open(key, t)
	}
	if p.has(flagFIN) {
		delete(t.flows, key)
		return
	}
	if f.response != nil && p.ack == f.response.seq+uint32(len(f.response.data)) {
		f.response = nil
	}
	if len(p.data) == 0 {
		return
	}
	switch {
	case p.seq == f.next && !f.isBusy:
		f.next += uint32(len(p.data))
		f.isBusy, f.response = true, nil
		t.record.run(key, t.id, string(p.data))
		go t.work(f)
	case p.seq != f.next && f.response != nil:
		t.send(*f.response)
	}
}

// work runs a request in a slot and repeats the answer until it is acknowledged.
func (t *target) work(f *heldFlow) {
	t.slots <- struct{}{}
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(meanWork)))
	<-t.slots
	t.lock.Lock()
	if t.isDead {
		t.lock.Unlock()
		return
	}
	response := &packet{from: f.key.published, to: f.key.caller, flags: flagACK, seq: f.seq, ack: f.next, data: make([]byte, 1000)}
	f.seq += uint32(len(response.data))
	f.isBusy, f.response = false, response
	t.lock.Unlock()
	wait := 200 * time.Millisecond
	for range maxRepeats + 1 {
		t.lock.Lock()
		isDone := t.isDead || f.response != response
		if !isDone {
			t.send(*response)
		}
		t.lock.Unlock()
		if isDone {
			return
		}
		time.Sleep(wait)
		wait = min(2*wait, 1600*time.Millisecond)
	}
}

func (t *target) hasCrashed() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.isDead
}
