package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const headerSize = 36

// Bits of the flags of a packet.
const (
	flagSYN      = 128
	flagReturned = 64
	flagFIN      = 16
	flagRST      = 8
	flagACK      = 2
)

// packet is a packet of a flow as its sender writes it.
type packet struct {
	sequence, acknowledged  uint32
	flags                   byte
	source, destination     netip.AddrPort
	data                    []byte
	hasValidSum, isOwnReset bool
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[8:], p.sequence)
	binary.BigEndian.PutUint32(b[12:], p.acknowledged)
	b[16] = p.flags
	binary.BigEndian.PutUint16(b[22:], uint16(len(p.data)))
	source, destination := p.source.Addr().As4(), p.destination.Addr().As4()
	copy(b[24:], source[:])
	binary.BigEndian.PutUint16(b[28:], p.source.Port())
	binary.BigEndian.PutUint16(b[30:], p.destination.Port())
	copy(b[32:], destination[:])
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b, checksum(b))
	return b
}

// checksum covers what balancers and agents must not change.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the rig"))
	_, _ = h.Write(b[8:16])
	_, _ = h.Write([]byte{b[16] &^ flagReturned})
	_, _ = h.Write(b[22:])
	return h.Sum32()
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[22:])) {
		return packet{}, false
	}
	sum := binary.BigEndian.Uint32(b)
	return packet{
		sequence: binary.BigEndian.Uint32(b[8:]), acknowledged: binary.BigEndian.Uint32(b[12:]),
		flags:       b[16] &^ flagReturned,
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[24:28])), binary.BigEndian.Uint16(b[28:])),
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[32:36])), binary.BigEndian.Uint16(b[30:])),
		data:        append([]byte(nil), b[headerSize:]...), hasValidSum: sum == checksum(b),
		isOwnReset: sum == 0 && b[16] == flagRST && len(b) == headerSize,
	}, true
}

// markReturned makes a packet one that a target returns.
func markReturned(b []byte) {
	b[16] |= flagReturned
	clear(b[17:22])
}

// flowID names a flow from the caller's side.
type flowID struct{ caller, published netip.AddrPort }

func (id flowID) hash() uint64 {
	h := fnv.New64a()
	b, _ := id.caller.MarshalBinary()
	_, _ = h.Write(b)
	b, _ = id.published.MarshalBinary()
	_, _ = h.Write(b)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// requestNumber returns the number of a request from its bytes.
func requestNumber(data []byte) uint64 {
	if len(data) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}
