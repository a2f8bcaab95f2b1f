package main

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// sinkInterval is the time between two polls of a sink's socket.
const sinkInterval = time.Millisecond

// sink is a socket that counts and discards datagrams. It polls at intervals
// instead of blocking, because the wake-up of a blocked receiver would be
// charged to the forwarder and would depend on how busy the receiver is.
type sink struct {
	fd       int
	address  netip.AddrPort
	received atomic.Uint64
}

func newSink() (*sink, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	s := &sink{fd: fd}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback.Addr().As4()}); err != nil {
		s.close()
		return nil, err
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		s.close()
		return nil, err
	}
	local := name.(*unix.SockaddrInet4)
	s.address = netip.AddrPortFrom(netip.AddrFrom4(local.Addr), uint16(local.Port))
	return s, nil
}

func (s *sink) close() { _ = unix.Close(s.fd) }

// run discards datagrams until the context ends.
func (s *sink) run(ctx context.Context) {
	ticker := time.NewTicker(sinkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for {
			if _, _, err := unix.Recvfrom(s.fd, nil, unix.MSG_DONTWAIT); err != nil {
				break
			}
			s.received.Add(1)
		}
	}
}

// send sends one datagram from the address of the sink.
func (s *sink) send(b []byte, to netip.AddrPort) {
	// A lost keep-alive message is repeated after keepAliveInterval.
	_ = unix.Sendto(s.fd, b, 0, &unix.SockaddrInet4{Addr: to.Addr().As4(), Port: int(to.Port())})
}
