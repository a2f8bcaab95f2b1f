// Package tunneler encodes and decodes the datagrams between balancers and agents:
// a PROXY protocol version 2 header with type-length-value fields and a MAC,
// followed by the caller's unmodified QUIC datagram.
//
// The source of a header is always the caller and its destination always the
// published service address, in both directions; FlagTowardCaller gives
// the direction of the datagram. A header without addresses has the command LOCAL
// and carries probes, probe answers and announcements.
//
// # Usage
//
//	codec, err := tunneler.NewCodec(ring)
//	b := codec.Encode(nil, tunneler.Header{Source: caller, Destination: published, Service: 7}, datagram)
//	header, payload, err := codec.Decode(b)
package tunneler

import "net/netip"

// Flags of a header.
const (
	// FlagTowardCaller marks a datagram from an agent to a caller.
	FlagTowardCaller Flags = 1 << iota
	// FlagReset asks an agent to answer the packet with a stateless reset
	// (RFC 9000, section 10.3), because the target of the packet is down.
	FlagReset
	// FlagDraining states that the sending agent accepts no new flows.
	FlagDraining
	// FlagProbe asks the receiver for a probe answer.
	FlagProbe
	// FlagProbeAnswer marks the answer to a probe.
	FlagProbeAnswer
	// FlagBalancerLeaving states that the sending balancer is shutting down.
	FlagBalancerLeaving
	// FlagSuspect tells a balancer that another balancer considers
	// Header.Target down, so that it probes the target immediately.
	FlagSuspect
)

// Flags is the value of the flags field.
type Flags uint8

// Has reports whether all flags of mask are set.
func (f Flags) Has(mask Flags) bool { return f&mask == mask }

// Header is the content of a tunnel header. If Source and Destination are zero,
// it is encoded as a LOCAL header.
type Header struct {
	// Source is the caller's address.
	Source netip.AddrPort
	// Destination is the published service address.
	Destination netip.AddrPort
	// Service is the number of the service.
	Service uint16
	// Hops is the number of agents that have forwarded the datagram to another
	// agent.
	Hops uint8
	// Revision is the configuration revision of the sender.
	Revision uint64
	// Flags are the flags of the datagram.
	Flags Flags
	// Incarnation is the incarnation of the sending process.
	Incarnation uint64
	// Target is the number of a suspected target, 0 for none.
	Target uint32
}

// IsLocal reports whether the header has the command LOCAL, that is, no addresses.
func (h Header) IsLocal() bool { return !h.Source.IsValid() && !h.Destination.IsValid() }

// isIPv4 reports whether both addresses are IPv4 or IPv4-mapped IPv6 addresses.
func (h Header) isIPv4() bool {
	return h.Source.Addr().Unmap().Is4() && h.Destination.Addr().Unmap().Is4()
}

// Size returns the encoded size of the header in bytes.
func (h Header) Size() int {
	size := proxyHeaderSize + fieldsSize
	if h.Target != 0 {
		size += targetFieldSize
	}
	switch {
	case h.IsLocal():
		return size
	case h.isIPv4():
		return size + 2*(4+2)
	}
	return size + 2*(16+2)
}

// MaxHeaderSize is the largest encoded size of a header in bytes.
const MaxHeaderSize = proxyHeaderSize + 2*(16+2) + fieldsSize + targetFieldSize

// Size in bytes of the IP and UDP headers of a tunnel datagram.
const (
	outerSizeIPv4 = 20 + 8
	outerSizeIPv6 = 40 + 8
)

// PacketSize returns the size in bytes of the IP packet that carries a tunnel
// datagram of size bytes to an address, for comparison with the tunnel MTU.
func PacketSize(to netip.Addr, size int) int {
	if to.Unmap().Is4() {
		return size + outerSizeIPv4
	}
	return size + outerSizeIPv6
}
