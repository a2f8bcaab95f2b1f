package soaker

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// workTime is what a request costs a target.
	workTime = 10 * time.Millisecond
	// requestSize is the length of a request: its number and its kind.
	requestSize = 9
	kindUnsafe  = 1
)

// target is a backend server that speaks packets. It holds no flow longer than
// the soak.
type target struct {
	world    *world
	id       string
	service  string
	address  netip.AddrPort
	outbound netip.AddrPort
	conn     *net.UDPConn
	lock     sync.Mutex
	flows    map[uint64]*heldFlow
	draining time.Time
	isClosed bool
}

type heldFlow struct {
	sequence    uint32
	established bool
	answered    map[uint64]bool
}

func (w *world) newTarget(service string, address, outbound netip.AddrPort) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind target: %w", err)
	}
	t := &target{
		world: w, id: fmt.Sprintf("i-%d", w.nextID()), service: service, address: address, outbound: outbound, conn: conn,
		flows: map[uint64]*heldFlow{},
	}
	go t.serve()
	t.publish("ready")
	return t, nil
}

func (t *target) publish(state string) {
	t.world.store.Put(standin.EntryKey(t.id), standin.Entry{
		Service: t.service, Address: t.address.String(), Zone: zone, Version: "v1", Slots: 4, State: state, Born: time.Now().UnixMilli(),
	})
}

// drain announces the end of the target.
func (t *target) drain() {
	t.publish("draining")
	t.lock.Lock()
	t.draining = time.Now()
	t.lock.Unlock()
}

// close ends the target; its entry stays until it is removed.
func (t *target) close() {
	t.lock.Lock()
	t.isClosed = true
	t.lock.Unlock()
	_ = t.conn.Close()
}

func (t *target) isAlive() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return !t.isClosed
}

func (t *target) serve() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		b := append([]byte(nil), buffer[:n]...)
		p, data, ok := standin.Decode(b)
		if !ok || !standin.HasValidChecksum(b) {
			t.world.report.violate("a target got a packet that its sender did not write: %x", b)
			continue
		}
		t.handle(b, p, data)
	}
}

func (t *target) send(b []byte) { _, _ = t.conn.WriteToUDPAddrPort(b, t.outbound) }

func (t *target) handle(b []byte, p framer.Packet, data []byte) {
	if !t.world.allows(p.Destination, t.service) {
		t.world.report.violate("a packet for %s reached %s", p.Destination, t.service)
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	key := p.Key()
	f := t.flows[key]
	if p.SYN {
		if f == nil {
			t.world.checkOpening(t, p)
			f = &heldFlow{sequence: uint32(t.world.nextID()) * 1000, answered: map[uint64]bool{}}
			t.flows[key] = f
		}
		t.send(standin.Encode(framer.Packet{Source: p.Destination, Destination: p.Source, SYN: true, ACK: true, Sequence: f.sequence}, nil))
		return
	}
	if f == nil || !f.established && p.AckNumber != f.sequence+1 {
		standin.MarkReturned(b)
		t.send(b)
		return
	}
	f.established = true
	if p.FIN {
		delete(t.flows, key)
		return
	}
	if len(data) == requestSize {
		t.run(f, p, data)
	}
}

func (t *target) run(f *heldFlow, p framer.Packet, data []byte) {
	number := binary.BigEndian.Uint64(data)
	if done, known := f.answered[number]; known {
		if done {
			t.answer(p, data)
		}
		return
	}
	f.answered[number] = false
	t.world.report.ran(number, data[8] == kindUnsafe)
	time.AfterFunc(workTime, func() {
		t.lock.Lock()
		defer t.lock.Unlock()
		f.answered[number] = true
		t.answer(p, data)
	})
}

func (t *target) answer(p framer.Packet, data []byte) {
	t.send(standin.Encode(framer.Packet{
		Source: p.Destination, Destination: p.Source, ACK: true, Sequence: p.AckNumber, AckNumber: p.Sequence + requestSize,
	}, data))
}
