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
	// processingTime is the time that a target takes to run a request.
	processingTime = 10 * time.Millisecond
	// requestSize is the length of a request in bytes: an 8-byte number and a
	// 1-byte kind.
	requestSize       = 9
	kindNonIdempotent = 1
)

// target is a backend server in packet mode. It keeps the state of a flow until
// the caller closes the flow or the target itself ends.
type target struct {
	environment     *environment
	id              string
	service         string
	zone            string
	address         netip.AddrPort
	outboundAddress netip.AddrPort
	conn            *net.UDPConn
	lock            sync.Mutex
	flows           map[uint64]*flowState
	draining        time.Time
	isClosed        bool
	startedAt       time.Time
	reports         int
}

type flowState struct {
	sequence    uint32
	established bool
	answered    map[uint64]bool
}

func (e *environment) newTarget(service, zone string, address, outbound netip.AddrPort) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind target: %w", err)
	}
	t := &target{
		environment: e, id: fmt.Sprintf("i-%d", e.nextID()), service: service, zone: zone, address: address, outboundAddress: outbound, conn: conn,
		flows: map[uint64]*flowState{}, startedAt: time.Now(),
	}
	go t.serve()
	t.publish()
	return t, nil
}

// publish writes the entry of the target unless the target is closed.
func (t *target) publish() {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.isClosed {
		t.publishLocked()
	}
}

func (t *target) publishLocked() {
	state := "ready"
	if !t.draining.IsZero() {
		state = "draining"
	}
	t.reports++
	t.environment.store.Put(standin.EntryKey(t.id), standin.Entry{
		Service: t.service, Address: t.address.String(), Zone: t.zone, Version: "v1", Slots: 4, State: state,
		Sequence: t.reports, Born: t.startedAt.UnixMilli(),
	})
}

// drain publishes the target as draining.
func (t *target) drain() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.draining = time.Now()
	t.publishLocked()
}

// close closes the socket of the target. Its store entry stays until it is
// removed separately.
func (t *target) close() {
	t.lock.Lock()
	t.isClosed = true
	t.lock.Unlock()
	_ = t.conn.Close()
}

// holds reports whether the target lives and holds a flow of a caller.
func (t *target) holds(f *flow) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	state := t.flows[framer.Packet{Source: f.source, Destination: f.destination}.Key()]
	return !t.isClosed && state != nil && f.ackNumber == state.sequence+1
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
			t.environment.report.recordViolation("a target got a packet that its sender did not write: %x", b)
			continue
		}
		t.handle(b, p, data)
	}
}

func (t *target) send(b []byte) { _, _ = t.conn.WriteToUDPAddrPort(b, t.outboundAddress) }

func (t *target) handle(b []byte, p framer.Packet, data []byte) {
	if !t.environment.isAddressOf(p.Destination, t.service) && (p.SYN || !t.environment.lacksRouteHistory()) {
		t.environment.report.recordViolation("a packet for %s reached %s", p.Destination, t.service)
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	key := p.Key()
	f := t.flows[key]
	if p.SYN {
		if f == nil {
			t.environment.checkNewFlow(t, p)
			f = &flowState{sequence: uint32(t.environment.nextID()) * 1000, answered: map[uint64]bool{}}
			t.flows[key] = f
		}
		t.send(standin.Encode(framer.Packet{Source: p.Destination, Destination: p.Source, SYN: true, ACK: true, Sequence: f.sequence}, nil))
		return
	}
	// The number that a caller acknowledges tells a flow from an earlier one with
	// the same ports.
	if f == nil || p.AckNumber != f.sequence+1 {
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
		t.runRequest(f, p, data)
	}
}

func (t *target) runRequest(f *flowState, p framer.Packet, data []byte) {
	number := binary.BigEndian.Uint64(data)
	if done, known := f.answered[number]; known {
		if done {
			t.answer(p, data)
		}
		return
	}
	f.answered[number] = false
	t.environment.report.countRun(number, data[8] == kindNonIdempotent)
	time.AfterFunc(processingTime, func() {
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
