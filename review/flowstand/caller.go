package main

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// openTimeout is how long a caller waits for a flow to open.
	openTimeout = 1400 * time.Millisecond
	// requestDeadline is how long a caller waits for a response.
	requestDeadline = 2500 * time.Millisecond
	requestSize     = 200
	// resetWindow is the largest distance of a reset's sequence number from the
	// caller's last acknowledgement.
	resetWindow = 76_800
)

// copyTimes are the times at which copies of an opening packet are sent.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// host is a caller's host with one socket.
type host struct {
	fleet   *fleet
	address netip.Addr
	conn    *net.UDPConn
	lock    sync.Mutex
	flows   map[uint16]*callerFlow
	port    uint16
}

// callerFlow is the caller's side of a flow.
type callerFlow struct {
	host            *host
	from, to        netip.AddrPort
	packets         chan received
	sequence, ack   uint32
	openingSequence uint32
	isOpen          bool
	openedAt        time.Time
	// isClosing is set when the target has closed its side.
	isClosing bool
}

// received is a packet with the address of the process that sent it.
type received struct {
	packet
	sender netip.Addr
}

// outcome is the end of an exchange.
type outcome int

const (
	answered outcome = iota
	timedOut
	wasReset
)

func (f *fleet) newHost(address netip.Addr) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, f.packetPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	h := &host{fleet: f, address: address, conn: conn, flows: make(map[uint16]*callerFlow), port: 1024}
	go h.receive()
	return h, nil
}

func (h *host) receive() {
	buffer := make([]byte, 2048)
	for {
		n, sender, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		isReset := ok && p.has(flagRST) && p.sum == 0
		if !ok || !isReset && p.sum != checksum(buffer[:n]) {
			h.fleet.recordForged("a caller got a packet that its sender did not write")
			continue
		}
		h.lock.Lock()
		f := h.flows[p.to.Port()]
		h.lock.Unlock()
		if f == nil || f.to != p.from {
			continue
		}
		select {
		case f.packets <- received{packet: p, sender: sender.Addr().Unmap()}:
		default:
		}
	}
}

// newFlow returns a flow from a port that the host has not used before.
func (h *host) newFlow(to netip.AddrPort) *callerFlow {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.port++
	f := &callerFlow{
		host: h, from: netip.AddrPortFrom(h.address, h.port), to: to, packets: make(chan received, 64), openingSequence: h.fleet.random.Uint32(),
	}
	f.sequence = f.openingSequence
	h.flows[h.port] = f
	return f
}

func (f *callerFlow) forget() {
	f.host.lock.Lock()
	defer f.host.lock.Unlock()
	delete(f.host.flows, f.from.Port())
}

func (f *callerFlow) send(flags byte, ack uint32, data []byte) {
	p := packet{sequence: f.sequence, ack: ack, flags: flags, from: f.from, to: f.to, data: data}
	f.host.fleet.route(f.host.conn, p)
}

// open opens the flow.
func (f *callerFlow) open() outcome {
	start := time.Now()
	for number := 0; ; {
		if number < len(copyTimes) && time.Since(start) >= copyTimes[number] {
			f.send(flagSYN, uint32(number), nil)
			number++
		}
		next := openTimeout
		if number < len(copyTimes) {
			next = copyTimes[number]
		}
		select {
		case p := <-f.packets:
			switch {
			case p.has(flagRST):
				return wasReset
			case p.has(flagSYN) && p.has(flagACK):
				f.sequence++
				f.ack = p.sequence + 1
				f.isOpen, f.openedAt = true, time.Now()
				f.send(flagACK, f.ack, nil)
				return answered
			}
		case <-time.After(time.Until(start.Add(next))):
			if time.Since(start) >= openTimeout {
				return timedOut
			}
		}
	}
}

// request sends a request and waits for its response. After a reset it returns the
// process that sent it.
func (f *callerFlow) request(id uint64) (outcome, netip.Addr) {
	data := binary.BigEndian.AppendUint64(make([]byte, 0, requestSize), id)[:requestSize]
	f.host.fleet.record.write("request %d is sent on the flow of %v", id, f.from)
	start, wait := time.Now(), firstRetransmit
	next := start
	for {
		if !time.Now().Before(next) {
			f.send(flagACK, f.ack, data)
			next = time.Now().Add(wait)
			wait = min(2*wait, longestRetransmit)
		}
		select {
		case p := <-f.packets:
			switch {
			case p.has(flagRST):
				if f.acceptsReset(p.packet) {
					return wasReset, p.sender
				}
			case len(p.data) > 0 && p.sequence == f.ack && binary.BigEndian.Uint64(p.data) == id:
				f.sequence += requestSize
				f.ack += uint32(len(p.data))
				if f.isClosing = p.has(flagFIN); f.isClosing {
					f.ack++
				}
				f.send(flagACK, f.ack, nil)
				f.host.fleet.record.write("request %d is answered", id)
				return answered, netip.Addr{}
			}
		case <-time.After(time.Until(next)):
		}
		if time.Since(start) >= requestDeadline {
			return timedOut, netip.Addr{}
		}
	}
}

// pause waits between two requests. It returns the process that sent a reset.
func (f *callerFlow) pause(d time.Duration) (netip.Addr, bool) {
	end := time.After(d)
	for {
		select {
		case p := <-f.packets:
			if p.has(flagRST) && f.acceptsReset(p.packet) {
				return p.sender, true
			}
			if len(p.data) > 0 { // its acknowledgement was lost
				f.send(flagACK, f.ack, nil)
			}
		case <-end:
			return netip.Addr{}, false
		}
	}
}

func (f *callerFlow) acceptsReset(p packet) bool {
	distance := int32(p.sequence - f.ack)
	return distance >= -resetWindow && distance <= resetWindow
}

func (f *callerFlow) close() {
	f.send(flagACK|flagFIN, f.ack, nil)
	f.forget()
}
