// Package framer describes the packets of flows whose bytes only the two ends
// read, independent of their layout on the wire.
//
// A flow is named by the addresses and ports of its caller and of the
// published address. Balancers and agents add a mark to a packet while it
// travels between them: how far the search for its target has come, and the
// balancer that took it. Targets return the progress with a packet that they
// do not accept.
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

// Packet is what the header of one packet says.
type Packet struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Opens       bool // first packet of a flow
	Answers     bool // carries an acknowledgement
	Ends        bool // sender has no more data
	Resets      bool
	Returned    bool // a target did not accept the packet
	Sequence    uint32
	// Acknowledged is the next byte that the sender expects. On an opening
	// packet it is the number of the copy, 0 for the first one.
	Acknowledged uint32
	Length       int // bytes of data
	Mark         Mark
}

// Mark is what processes of the system add to a packet.
type Mark struct {
	// Progress is the rank of the target that the packet was last sent to,
	// with the pass of the search in the lowest bit.
	Progress uint32
	Via      netip.Addr // balancer that took the packet from the caller
	Hops     uint8      // targets that returned the packet or passed it on
}

// Codec reads and writes the layout of the wire.
type Codec struct {
	// Decode reads the header of a datagram; false for anything but a packet.
	Decode func(datagram []byte) (Packet, bool)
	// Mark writes a mark into a datagram and removes the sign that a target
	// returned it. Nothing that the sender's checksum covers changes.
	Mark func(datagram []byte, m Mark)
	// EncodeReset appends a reset that answers a packet of a caller.
	EncodeReset func(dst []byte, p Packet) []byte
}

// Key is the key of the flow of a packet that a caller sent.
func (p Packet) Key() uint64 { return hashFlow(p.Source, p.Destination) }

// ReverseKey is the key of the flow of a packet that a target sent.
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
