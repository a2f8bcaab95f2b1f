package main

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// openFunc is called when a target takes an opening packet.
type openFunc func(t *target, id flowID, at time.Time)

// target is an application server beside an agent.
type target struct {
	rig      *rig
	id       string
	service  string
	address  netip.AddrPort
	outbound netip.AddrPort
	conn     *net.UDPConn
	born     int64
	reports  int
	lock     sync.Mutex
	flows    map[flowID]*targetFlow
	slots    chan struct{}
	isClosed bool
}

type targetFlow struct {
	sequence uint32
	isOpen   bool
	answers  map[uint32][]byte // by the sequence number of the request
}

func (r *rig) startTarget(m *machine, id string, born time.Time) (*target, error) {
	t := &target{
		rig: r, id: id, service: m.service, address: netip.AddrPortFrom(m.address, r.backendPort),
		outbound: netip.AddrPortFrom(m.address, r.outboundPort), born: born.UnixMilli(), flows: map[flowID]*targetFlow{},
		slots: make(chan struct{}, r.slots),
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address))
	if err != nil {
		return nil, err
	}
	t.conn = conn
	m.target = t
	go t.serve()
	t.report("ready")
	return t, nil
}

// report writes the entry of the target and returns the time of the confirmation.
func (t *target) report(state string) time.Time {
	t.reports++
	return t.rig.store.put(names.EntryPrefix+t.id, map[string]any{
		"service": t.service, "addr": t.address.String(), "zone": "zone-a", "configVersion": "v1", "slots": t.rig.slots, "state": state,
		names.ColdLeft: 0, "sequence": t.reports, "born": t.born,
	})
}

func (t *target) serve() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		b := append([]byte(nil), buffer[:n]...)
		if p, ok := decode(b); ok && p.hasValidSum {
			t.handle(b, p)
		} else {
			t.rig.record("target %s got a packet that its sender did not write: %x", t.id, b)
		}
	}
}

func (t *target) send(b []byte) { _, _ = t.conn.WriteToUDPAddrPort(b, t.outbound) }

func (t *target) handle(b []byte, p packet) {
	t.lock.Lock()
	defer t.lock.Unlock()
	id := flowID{caller: p.source, published: p.destination}
	f := t.flows[id]
	if p.has(flagSYN) {
		if f == nil {
			f = &targetFlow{sequence: t.rig.nextSequence(), answers: map[uint32][]byte{}}
			t.flows[id] = f
			t.rig.opened(t, id, time.Now())
		}
		t.send(packet{flags: flagSYN | flagACK, source: p.destination, destination: p.source, sequence: f.sequence, acknowledged: p.sequence + 1}.encode())
		return
	}
	if f == nil || p.acknowledged-f.sequence > 1<<20 || p.acknowledged == f.sequence {
		markReturned(b)
		t.send(b)
		return
	}
	f.isOpen = true
	switch {
	case p.has(flagRST):
		delete(t.flows, id)
	case p.has(flagFIN):
		delete(t.flows, id)
		t.send(packet{flags: flagACK | flagFIN, source: p.destination, destination: p.source, sequence: p.acknowledged, acknowledged: p.sequence + 1}.encode())
	case len(p.data) > 0:
		t.run(f, id, p)
	}
}

// run runs a request once and sends its answer, again if the request is repeated.
func (t *target) run(f *targetFlow, id flowID, p packet) {
	if answer, ok := f.answers[p.sequence]; ok {
		if answer != nil {
			t.send(answer)
		}
		return
	}
	f.answers[p.sequence] = nil
	t.rig.record("target %s runs request %d of flow %s to %s", t.id, requestNumber(p.data), id.caller, id.published)
	answer := packet{
		flags: flagACK, source: p.destination, destination: p.source, sequence: p.acknowledged,
		acknowledged: p.sequence + uint32(len(p.data)), data: p.data,
	}.encode()
	go func() {
		t.slots <- struct{}{}
		time.Sleep(t.rig.workTime)
		<-t.slots
		t.lock.Lock()
		defer t.lock.Unlock()
		f.answers[p.sequence] = answer
		if !t.isClosed {
			t.send(answer)
		}
	}()
}

// crash ends the target without a word.
func (t *target) crash() {
	t.lock.Lock()
	t.isClosed = true
	t.lock.Unlock()
	_ = t.conn.Close()
}

// holds reports whether the target has a flow open.
func (t *target) holds(id flowID) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	f := t.flows[id]
	return f != nil && f.isOpen && !t.isClosed
}
