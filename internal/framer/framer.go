// Package framer defines the packets of layer 4 flows, independent of their
// layout on the wire. Only the header is read; the payload is opaque to balancers
// and agents.
//
// A flow is identified by the addresses and ports of its caller and of the
// published address. While a packet travels between balancers and agents, its
// header carries a mark: the progress of the search for its target, the balancer
// that received it and the number of hops. A target that returns a packet keeps
// the progress in it.
//
// # Usage
//
//	packet, ok := codec.Decode(datagram)
//	codec.Mark(datagram, framer.Mark{Progress: p, Via: balancer, Hops: 1})
//	reset := codec.EncodeReset(nil, packet)
package framer

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Packet is a decoded packet header.
type Packet struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	SYN         bool // opening packet of a flow or, with ACK, its answer
	ACK         bool // carries an acknowledgement
	FIN         bool // sender has no more data
	RST         bool // sender aborts the flow
	IsReturned  bool // a target did not accept the packet
	Sequence    uint32
	// AckNumber is the sequence number of the next byte that the sender expects.
	// In an opening packet it counts retransmissions, starting at 0.
	AckNumber uint32
	Length    int // size of the payload in bytes
	Mark      Mark
}

// Mark is the routing state that balancers and agents write into a packet header.
type Mark struct {
	// Progress is the rank of the target that the packet was last sent to, with
	// the pass of the search in the lowest passBits bits; see NewProgress.
	Progress uint32
	Via      netip.Addr // balancer that received the packet from the caller
	Hops     uint8      // times the packet was passed on to another target
}

// Codec reads and writes the wire format of packets.
type Codec struct {
	// Decode decodes the header of a datagram. It returns false if the datagram is
	// not a valid packet.
	Decode func(datagram []byte) (Packet, bool)
	// Mark writes a mark into a datagram and clears the flag by which a target
	// returned it. It changes no bytes that the sender's checksum covers.
	Mark func(datagram []byte, m Mark)
	// EncodeReset appends to dst a reset that answers a caller's packet, and returns
	// the extended slice.
	EncodeReset func(dst []byte, p Packet) []byte
}

// Key returns the flow key, a 64-bit hash, of a packet from a caller.
func (p Packet) Key() uint64 { return hashFlow(p.Source, p.Destination) }

// ReverseKey returns the flow key of a packet from a target.
func (p Packet) ReverseKey() uint64 { return hashFlow(p.Destination, p.Source) }

func hashFlow(caller, published netip.AddrPort) uint64 {
	var b [12]byte
	c, s := caller.Addr().As4(), published.Addr().As4()
	copy(b[0:], c[:])
	copy(b[4:], s[:])
	binary.BigEndian.PutUint16(b[8:], caller.Port())
	binary.BigEndian.PutUint16(b[10:], published.Port())
	return xxhash.Sum64(b[:])
}
