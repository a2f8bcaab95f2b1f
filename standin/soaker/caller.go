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
	// attemptTime is how long a caller waits for a flow to open, and deadline how
	// long for an answer.
	attemptTime = 1400 * time.Millisecond
	deadline    = 2500 * time.Millisecond
)

// resendAfter are the times after which an unanswered packet is sent again.
var resendAfter = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// callerHost receives the packets of all flows of one address.
type callerHost struct {
	world   *world
	address netip.Addr
	conn    *net.UDPConn
	lock    sync.Mutex
	flows   map[uint16]chan framer.Packet
	port    uint16
}

func (w *world) newCallerHost(address netip.Addr) (*callerHost, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, w.port)))
	if err != nil {
		return nil, err
	}
	h := &callerHost{world: w, address: address, conn: conn, flows: map[uint16]chan framer.Packet{}, port: 1000}
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
			h.world.report.violate("a caller got a packet that its sender did not write: %x", buffer[:n])
			continue
		}
		if len(data) == requestSize {
			// The number of the answered request takes the place of fields that the
			// soak does not use.
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

// flow is one flow of a caller.
type flow struct {
	host     *callerHost
	source   netip.AddrPort
	to       netip.AddrPort
	incoming chan framer.Packet
	sequence uint32
	expected uint32
}

func (h *callerHost) newFlow(to netip.AddrPort) *flow {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.port++
	f := &flow{host: h, source: netip.AddrPortFrom(h.address, h.port), to: to, incoming: make(chan framer.Packet, 64), sequence: 100}
	h.flows[h.port] = f.incoming
	return f
}

func (f *flow) close() {
	f.send(framer.Packet{FIN: true, ACK: true}, nil)
	f.host.lock.Lock()
	delete(f.host.flows, f.source.Port())
	f.host.lock.Unlock()
}

func (f *flow) send(p framer.Packet, data []byte) {
	p.Source, p.Destination, p.Sequence = f.source, f.to, f.sequence
	if !p.SYN {
		p.AckNumber = f.expected
	}
	if to, ok := f.host.world.route(p); ok {
		_, _ = f.host.conn.WriteToUDPAddrPort(standin.Encode(p, data), to)
	}
}

// exchange sends a packet, again and again until one arrives that accept
// takes. It reports whether one did and whether the flow was reset.
func (f *flow) exchange(limit time.Duration, send func(number int), accept func(p framer.Packet) bool) (ok, isReset bool) {
	start := time.Now()
	for number := 0; ; number++ {
		send(number)
		end := limit
		if number < len(resendAfter) {
			end = min(limit, resendAfter[number])
		}
		timer := time.NewTimer(time.Until(start.Add(end)))
		for isWaiting := true; isWaiting; {
			select {
			case p := <-f.incoming:
				if p.RST {
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
		if time.Since(start) >= limit {
			return false, false
		}
	}
}

// open opens the flow.
func (f *flow) open() bool {
	ok, _ := f.exchange(attemptTime, func(number int) {
		if number < 3 {
			f.send(framer.Packet{SYN: true, AckNumber: uint32(number)}, nil)
		}
	}, func(p framer.Packet) bool {
		f.expected = p.Sequence + 1
		return p.SYN && p.ACK
	})
	f.sequence++
	return ok
}

// request sends one request. It reports whether it was answered and whether
// the flow was reset.
func (f *flow) request(number uint64, kind byte) (ok, isReset bool) {
	data := binary.BigEndian.AppendUint64(nil, number)
	data = append(data, kind)
	ok, isReset = f.exchange(deadline, func(int) { f.send(framer.Packet{ACK: true}, data) },
		func(p framer.Packet) bool { return p.Mark.Progress == uint32(number) && p.Length == requestSize })
	f.sequence += requestSize
	return ok, isReset
}
