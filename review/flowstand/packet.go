package main

import (
	"encoding/binary"
	"net/netip"
)

// headerSize is the size of a packet's head in bytes.
const headerSize = 36

// Bits of the flags of a packet.
const (
	flagSYN      = 128
	flagReturned = 64
	flagFIN      = 16
	flagRST      = 8
	flagACK      = 2
)

// packet is the head of a packet and its data.
type packet struct {
	sum      uint32
	sequence uint32
	ack      uint32
	flags    byte
	from, to netip.AddrPort
	data     []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the bytes of a packet as its sender writes them.
func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[8:], p.sequence)
	binary.BigEndian.PutUint32(b[12:], p.ack)
	b[16] = p.flags
	binary.BigEndian.PutUint16(b[22:], uint16(len(p.data)))
	from, to := p.from.Addr().As4(), p.to.Addr().As4()
	copy(b[24:], from[:])
	binary.BigEndian.PutUint16(b[28:], p.from.Port())
	binary.BigEndian.PutUint16(b[30:], p.to.Port())
	copy(b[32:], to[:])
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b, checksum(b))
	return b
}

// decode returns the packet of a datagram, or false if it is none.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[22:])) {
		return packet{}, false
	}
	return packet{
		sum: binary.BigEndian.Uint32(b), sequence: binary.BigEndian.Uint32(b[8:]), ack: binary.BigEndian.Uint32(b[12:]), flags: b[16],
		from: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[24:28])), binary.BigEndian.Uint16(b[28:])),
		to:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[32:36])), binary.BigEndian.Uint16(b[30:])),
		data: append([]byte(nil), b[headerSize:]...),
	}, true
}

// markReturned marks the bytes of a packet as not accepted by a target.
func markReturned(b []byte) {
	b[16] |= flagReturned
	clear(b[17:22])
}

// checksum returns a keyed sum over all that processes on the way must not change.
func checksum(b []byte) uint32 {
	h := uint32(2166136261)
	for i := 8; i < len(b); i++ {
		c := b[i]
		switch {
		case i >= 17 && i < 22:
			c = 0
		case i == 16:
			c &^= flagReturned
		}
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}
