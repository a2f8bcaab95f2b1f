package listener

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/tunneler"
)

// conn is the net.PacketConn that QUIC reads from and writes to. It has
// SyscallConn and the buffer methods of a UDP connection, so that QUIC sets the
// Don't Fragment bit and runs path MTU discovery.
type conn struct {
	listener *Listener
	buffer   []byte
	receive  func(b []byte) (int, netip.AddrPort, error)
}

// receiveRetryDelay is the pause after a failed receive, so that a lasting fault
// does not occupy a processor.
const receiveRetryDelay = 10 * time.Millisecond

func newConn(l *Listener) *conn {
	return &conn{listener: l, buffer: make([]byte, 1<<16), receive: l.udp.ReadFromUDPAddrPort}
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

// ReadFrom returns the next valid datagram, with an Address. QUIC reads from
// one goroutine.
func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.receive(c.buffer)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, nil, err
		}
		if err != nil {
			// QUIC would close every connection because of this error.
			c.listener.counters.add(dropReceive)
			time.Sleep(receiveRetryDelay)
			continue
		}
		payload, address, ok := c.listener.receive(c.buffer[:n], from, time.Now())
		if !ok {
			continue
		}
		if len(payload) > len(p) {
			c.listener.counters.add(dropSize)
			continue
		}
		c.listener.counters.add(resultAccepted)
		return copy(p, payload), address, nil
	}
}

// WriteTo encapsulates a datagram and sends it through a balancer. A datagram
// that cannot be sent is treated as lost, and QUIC retransmits its content.
func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	address, ok := to.(Address)
	if !ok {
		return 0, merry.Errorf("write datagram: address %s is not a caller address", to)
	}
	c.listener.sendTo(p, address, time.Now())
	return len(p), nil
}

// sendTo sends a packet to a caller through a balancer.
func (l *Listener) sendTo(p []byte, address Address, now time.Time) {
	balancer, ok := l.balancers.selectBalancer(address.caller, now)
	if !ok {
		l.counters.add(dropNoBalancer)
		return
	}
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	*b = l.codec.Encode((*b)[:0], tunneler.Header{
		Source: address.caller, Destination: address.published, Service: l.options.Service,
		Revision: l.options.Snapshot().Revision(), Flags: tunneler.FlagTowardCaller | l.drainFlag(),
		Incarnation: l.options.Incarnation,
	}, p)
	if l.write(*b, balancer) {
		l.counters.add(resultSent)
	}
}

// Close does nothing, because the Listener owns the socket.
func (c *conn) Close() error { return nil }

// LocalAddr returns the tunnel address.
func (c *conn) LocalAddr() net.Addr { return c.listener.udp.LocalAddr() }

// SetDeadline sets both deadlines of the socket.
func (c *conn) SetDeadline(t time.Time) error { return c.listener.udp.SetDeadline(t) }

// SetReadDeadline sets the read deadline of the socket.
func (c *conn) SetReadDeadline(t time.Time) error { return c.listener.udp.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline of the socket.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.listener.udp.SetWriteDeadline(t) }

// SetReadBuffer sets the receive buffer of the socket in bytes.
func (c *conn) SetReadBuffer(n int) error { return c.listener.udp.SetReadBuffer(n) }

// SetWriteBuffer sets the send buffer of the socket in bytes.
func (c *conn) SetWriteBuffer(n int) error { return c.listener.udp.SetWriteBuffer(n) }

// SyscallConn gives access to the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.listener.udp.SyscallConn() }
