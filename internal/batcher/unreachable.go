package batcher

import (
	"encoding/binary"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// extendedErrorSize is the size of struct sock_extended_err of ip(7).
const extendedErrorSize = 16

// EnableICMPErrors makes the kernel queue the ICMP errors about datagrams of the
// socket (IP_RECVERR in ip(7)). Readers must then set a function for them with
// OnUnreachable; otherwise the error queue fills up and further errors are dropped.
func (c *Conn) EnableICMPErrors() error {
	level, option := unix.IPPROTO_IPV6, unix.IPV6_RECVERR
	if c.local.Addr().Is4() {
		level, option = unix.IPPROTO_IP, unix.IP_RECVERR
	}
	var failure error
	if err := c.raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), level, option, 1)
	}); err != nil {
		return merry.Prepend(err, "access udp socket")
	}
	if failure != nil {
		return merry.Prepend(failure, "enable reporting of icmp errors")
	}
	return nil
}

// OnUnreachable sets a function that is called with the destination of each
// datagram that ICMP reports as undeliverable. ICMP is not authenticated, so the
// function must treat the report as a hint only.
func (r *Reader) OnUnreachable(handle func(netip.AddrPort)) { r.onUnreachable = handle }

// readErrorQueue reads the error queue of the socket.
func (r *Reader) readErrorQueue(fd int) {
	var control [128]byte
	for {
		_, size, _, from, err := unix.Recvmsg(fd, nil, control[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return
		}
		if isUnreachable(control[:size]) {
			r.onUnreachable(addrPortFromSockaddr(from))
		}
	}
}

// isUnreachable reports whether control messages contain an ICMP error that the
// destination is unreachable.
func isUnreachable(control []byte) bool {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return false
	}
	for _, m := range messages {
		if len(m.Data) < extendedErrorSize {
			continue
		}
		isIPv4 := m.Header.Level == unix.IPPROTO_IP && m.Header.Type == unix.IP_RECVERR
		isIPv6 := m.Header.Level == unix.IPPROTO_IPV6 && m.Header.Type == unix.IPV6_RECVERR
		origin := m.Data[4]
		if !(isIPv4 && origin == unix.SO_EE_ORIGIN_ICMP) && !(isIPv6 && origin == unix.SO_EE_ORIGIN_ICMP6) {
			continue
		}
		switch unix.Errno(binary.NativeEndian.Uint32(m.Data)) {
		case unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EHOSTDOWN, unix.ENONET:
			return true
		}
	}
	return false
}

func addrPortFromSockaddr(sockaddr unix.Sockaddr) netip.AddrPort {
	switch a := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}
