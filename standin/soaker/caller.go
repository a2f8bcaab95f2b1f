package soaker

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// openTimeout is how long a caller waits for a flow to open, requestTimeout
	// how long it waits for a response.
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 2500 * time.Millisecond
)

const (
	// firstPort and portCount bound the ports of a caller address, so that a port is
	// used again within seconds.
	firstPort = 1000
	portCount = 40
	// sequenceStep is the distance of the first sequence numbers of two flows.
	sequenceStep = 100_003
	// resetWindow is the largest distance of a reset's sequence number from what the
	// caller of an open flow acknowledged last. Others belong to an earlier flow with
	// the same port.
	resetWindow = 76_800
)

// retransmitAfter lists the times since the first transmission at which an
// unanswered packet is retransmitted.
var retransmitAfter = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// callerHost is the socket of one caller address. It passes received packets to
// the flows by destination port.
type callerHost struct {
	environment *environment
	address     netip.Addr
	conn        *net.UDPConn
	lock        sync.Mutex
	flows       map[uint16]chan framer.Packet
	lastPort    uint16
	// lastSequence is the first sequence number of the last flow.
	lastSequence uint32
}

func (e *environment) newCallerHost(address netip.Addr) (*callerHost, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, e.packetPort)))
	if err != nil {
		return nil, err
	}
	h := &callerHost{environment: e, address: address, conn: conn, flows: map[uint16]chan framer.Packet{}, lastPort: firstPort}
	go h.receive()
	return h, nil
}

func (h *callerHost) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, data, ok := standin.Decode(buffer[:n])
		if !ok || !p.RST && !standin.HasValidChecksum(buffer[:n]) {
			h.environment.report.recordViolation("a caller got a packet that its sender did not write: %x", buffer[:n])
			continue
		}
		if len(data) == requestSize {
			// Progress is unused by the soak, so it carries the request number
			// of the response to the flow.
			p.Mark.Progress = uint32(binary.BigEndian.Uint64(data))
		}
		h.lock.Lock()
		flow := h.flows[p.Destination.Port()]
		h.lock.Unlock()
		select {
		case flow <- p:
		default:
		}
	}
}

// flow is the caller's side of one flow.
type flow struct {
	host        *callerHost
	source      netip.AddrPort
	destination netip.AddrPort
	incoming    chan framer.Packet
	sequence    uint32
	ackNumber   uint32
	isOpen      bool
}

func (h *callerHost) newFlow(to netip.AddrPort) *flow {
	h.lock.Lock()
	defer h.lock.Unlock()
	for isUsed := true; isUsed; _, isUsed = h.flows[h.lastPort] {
		h.lastPort = firstPort + (h.lastPort-firstPort+1)%portCount
	}
	h.lastSequence += sequenceStep
	f := &flow{
		host: h, source: netip.AddrPortFrom(h.address, h.lastPort), destination: to, incoming: make(chan framer.Packet, 64),
		sequence: h.lastSequence,
	}
	h.flows[h.lastPort] = f.incoming
	return f
}

func (f *flow) close() {
	f.send(framer.Packet{FIN: true, ACK: true}, nil)
	f.host.lock.Lock()
	delete(f.host.flows, f.source.Port())
	f.host.lock.Unlock()
}

func (f *flow) send(p framer.Packet, data []byte) {
	p.Source, p.Destination, p.Sequence = f.source, f.destination, f.sequence
	if !p.SYN {
		p.AckNumber = f.ackNumber
	}
	if to, ok := f.host.environment.selectBalancer(p); ok {
		_, _ = f.host.conn.WriteToUDPAddrPort(standin.Encode(p, data), to)
	}
}

// exchange sends a packet, retransmits it at the times of retransmitAfter and
// waits for a packet that accept matches, until the timeout or a reset. It
// reports whether a match arrived and whether the flow was reset.
func (f *flow) exchange(timeout time.Duration, send func(number int), accept func(p framer.Packet) bool) (ok, isReset bool) {
	start := time.Now()
	for number := 0; ; number++ {
		send(number)
		end := timeout
		if number < len(retransmitAfter) {
			end = min(timeout, retransmitAfter[number])
		}
		timer := time.NewTimer(time.Until(start.Add(end)))
		for isWaiting := true; isWaiting; {
			select {
			case p := <-f.incoming:
				if p.RST {
					if !f.acceptsReset(p) {
						continue
					}
					timer.Stop()
					return false, true
				}
				if accept(p) {
					timer.Stop()
					return true, false
				}
			case <-timer.C:
				isWaiting = false
			}
		}
		if time.Since(start) >= timeout {
			return false, false
		}
	}
}

func (f *flow) acceptsReset(p framer.Packet) bool {
	distance := int32(p.Sequence - f.ackNumber)
	return !f.isOpen || -resetWindow <= distance && distance <= resetWindow
}

// open performs the handshake and reports whether it succeeded within
// openTimeout.
func (f *flow) open() bool {
	ok, _ := f.exchange(openTimeout, func(number int) {
		if number < 3 {
			f.send(framer.Packet{SYN: true, AckNumber: uint32(number)}, nil)
		}
	}, func(p framer.Packet) bool {
		f.ackNumber = p.Sequence + 1
		return p.SYN && p.ACK
	})
	f.sequence++
	f.isOpen = ok
	return ok
}

// request sends one request. It reports whether a response arrived within
// requestTimeout and whether the flow was reset.
func (f *flow) request(number uint64, kind byte) (ok, isReset bool) {
	data := binary.BigEndian.AppendUint64(nil, number)
	data = append(data, kind)
	ok, isReset = f.exchange(requestTimeout, func(int) { f.send(framer.Packet{ACK: true}, data) },
		func(p framer.Packet) bool { return p.Mark.Progress == uint32(number) && p.Length == requestSize })
	f.sequence += requestSize
	return ok, isReset
}
