package listener

import "net/netip"

// Address is the remote address that QUIC sees for a caller. Its text form is
// the caller's address only, so that address validation tokens stay valid when
// the caller reaches the service through another published address.
type Address struct {
	caller    netip.AddrPort
	published netip.AddrPort
}

// Caller returns the caller's own address.
func (a Address) Caller() netip.AddrPort { return a.caller }

// Published returns the service address that the caller sent to.
func (a Address) Published() netip.AddrPort { return a.published }

// Network returns the network of a tunnelled datagram.
func (a Address) Network() string { return "udp" }

// String returns the caller's address.
func (a Address) String() string { return a.caller.String() }
