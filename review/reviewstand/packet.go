package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const headerSize = 36

// Bits of the flags field.
const (
	flagSYN      = 128
	flagReturned = 64
	flagFIN      = 16
	flagRST      = 8
	flagACK      = 2
)

// packet is one datagram of a flow, as the platform's pages lay it out.
type packet struct {
	from, to netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// flowKey names a flow by the ends of its caller's packets.
type flowKey struct{ caller, published netip.AddrPort }

func encode(p packet) []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[8:], p.seq)
	binary.BigEndian.PutUint32(b[12:], p.ack)
	b[16] = p.flags
	binary.BigEndian.PutUint16(b[22:], uint16(len(p.data)))
	from, to := p.from.Addr().As4(), p.to.Addr().As4()
	copy(b[24:], from[:])
	binary.BigEndian.PutUint16(b[28:], p.from.Port())
	binary.BigEndian.PutUint16(b[30:], p.to.Port())
	copy(b[32:], to[:])
	binary.BigEndian.PutUint32(b, sum(b, p.data))
	return append(b, p.data...)
}

// decode returns false if the bytes are no packet.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[22:])) {
		return packet{}, false
	}
	return packet{
		from:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[24:28])), binary.BigEndian.Uint16(b[28:])),
		to:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[32:36])), binary.BigEndian.Uint16(b[30:])),
		flags: b[16], seq: binary.BigEndian.Uint32(b[8:]), ack: binary.BigEndian.Uint32(b[12:]), data: b[headerSize:],
	}, true
}

// hasValidSum reports whether nobody changed what the sum covers.
func hasValidSum(b []byte) bool { return binary.BigEndian.Uint32(b) == sum(b, b[headerSize:]) }

// sum covers all fields but the sum itself, the two fields that the system may
// write and the bit by which a target returns a packet.
func sum(b, data []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(b[8:16])
	_, _ = h.Write([]byte{b[16] &^ flagReturned})
	_, _ = h.Write(b[22:headerSize])
	_, _ = h.Write(data)
	return h.Sum32()
}

// returnPacket turns a received packet into the one that a target gives back.
func returnPacket(b []byte) {
	b[16] |= flagReturned
	clear(b[17:22])
}
