package router

import (
	"net/netip"

	"github.com/ansel1/merry/v2"
)

// ParseAddress parses the address of a target or a route. Packets carry IPv4
// addresses, so any other address is an error, and so is one that no packet can be
// sent to.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, merry.Prepend(err, "parse address")
	}
	if ip := address.Addr(); !ip.Is4() || ip.IsUnspecified() || ip.IsMulticast() || address.Port() == 0 {
		return netip.AddrPort{}, merry.Errorf("parse address: %q is not an ipv4 unicast address with a port", text)
	}
	return address, nil
}
