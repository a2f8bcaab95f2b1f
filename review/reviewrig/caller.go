package main

import (
	"bytes"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 4 * time.Second
	resetWindow    = 76_800
)

// outcome is the end of an exchange.
type outcome string

const (
	answered outcome = "answered"
	timedOut outcome = "timed out"
	wasReset outcome = "reset"
)

// callerHost has the flows of one caller address.
type callerHost struct {
	rig     *rig
	address netip.Addr
	conn    *net.UDPConn
	lock    sync.Mutex
	flows   map[uint16]chan packet
	port    uint16
}

func (r *rig) newCallerHost(address netip.Addr) (*callerHost, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, r.packetPort)))
	if err != nil {
		return nil, err
	}
	h := &callerHost{rig: r, address: address, conn: conn, flows: map[uint16]chan packet{}, port: 1024}
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
		p, ok := decode(buffer[:n])
		if !ok || !p.hasValidSum && !p.isOwnReset {
			h.rig.record("caller %s got a packet that its sender did not write: %x", h.address, buffer[:n])
			continue
		}
		h.lock.Lock()
		incoming := h.flows[p.destination.Port()]
		h.lock.Unlock()
		select {
		case incoming <- p:
		default:
		}
	}
}

// flow is the caller's end of a flow.
type flow struct {
	host                   *callerHost
	id                     flowID
	incoming               chan packet
	sequence, acknowledged uint32
	isOpen                 bool
	openedAt               time.Time
	// resetByTarget is set if the last reset was one of the target.
	resetByTarget bool
	// lastVia is the balancer that got the last packet.
	lastVia string
}

func (h *callerHost) newFlow(published netip.AddrPort) *flow {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.port++
	f := &flow{host: h, id: flowID{caller: netip.AddrPortFrom(h.address, h.port), published: published}, incoming: make(chan packet, 64), sequence: h.rig.nextSequence()}
	h.flows[h.port] = f.incoming
	return f
}

func (f *flow) close() {
	if f.isOpen {
		f.send(packet{flags: flagFIN | flagACK})
	}
	f.host.lock.Lock()
	defer f.host.lock.Unlock()
	delete(f.host.flows, f.id.caller.Port())
}

func (f *flow) send(p packet) {
	p.source, p.destination, p.sequence = f.id.caller, f.id.published, f.sequence
	if !p.has(flagSYN) {
		p.acknowledged = f.acknowledged
	}
	to := f.host.rig.route(f.id)
	f.lastVia = to.name
	_, _ = f.host.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to.address, f.host.rig.packetPort))
}

// exchange sends a packet, repeats it at the given times and waits for a packet that
// accept takes.
func (f *flow) exchange(timeout time.Duration, repeats []time.Duration, send func(copyNumber int), accept func(p packet) bool) outcome {
	start := time.Now()
	for number := 0; ; number++ {
		send(number)
		end := timeout
		if number < len(repeats) {
			end = min(timeout, repeats[number])
		}
		timer := time.NewTimer(time.Until(start.Add(end)))
		for isWaiting := true; isWaiting; {
			select {
			case p := <-f.incoming:
				if p.has(flagRST) {
					distance := int32(p.sequence - f.acknowledged)
					if f.isOpen && (distance > resetWindow || distance < -resetWindow) {
						continue
					}
					timer.Stop()
					f.resetByTarget = !p.isOwnReset
					return wasReset
				}
				if accept(p) {
					timer.Stop()
					return answered
				}
			case <-timer.C:
				isWaiting = false
			}
		}
		if time.Since(start) >= timeout {
			return timedOut
		}
	}
}

func (f *flow) open() outcome {
	result := f.exchange(openTimeout, []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, openTimeout}, func(number int) {
		if number < 3 {
			f.send(packet{flags: flagSYN, acknowledged: uint32(number)})
		}
	}, func(p packet) bool {
		f.acknowledged = p.sequence + 1
		return p.has(flagSYN) && p.has(flagACK)
	})
	f.host.rig.record("flow %s to %s: opening sent, %s", f.id.caller, f.id.published, result)
	if result == answered {
		f.sequence++
		f.isOpen, f.openedAt = true, time.Now()
	}
	return result
}

func (f *flow) request(number uint64) outcome {
	data := binary.BigEndian.AppendUint64(nil, number)
	repeats := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second}
	result := f.exchange(requestTimeout, repeats, func(int) { f.send(packet{flags: flagACK, data: data}) }, func(p packet) bool {
		return bytes.Equal(p.data, data)
	})
	f.host.rig.record("flow %s to %s: request %d sent, %s", f.id.caller, f.id.published, number, result)
	if result == answered {
		f.sequence += uint32(len(data))
		f.acknowledged += uint32(len(data))
		f.send(packet{flags: flagACK})
	}
	return result
}
