package batcher

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"
	"unsafe"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// socketBufferSize is the requested size of kernel buffers in bytes; the kernel
// may grant less (net.core.rmem_max).
const socketBufferSize = 4 << 20

// receiveRetryDelay is the pause after a failed receive, so that a lasting shortage
// of kernel memory does not occupy a processor.
const receiveRetryDelay = 10 * time.Millisecond

var receiveErrors = metrics.GetOrCreateCounter("kingcupvalve_batcher_receive_errors_total")

// Conn is a UDP socket that is read and written in batches.
type Conn struct {
	*net.UDPConn
	raw   syscall.RawConn
	local netip.AddrPort
}

// Listen binds a UDP socket with SO_REUSEPORT, so that several sockets can
// share an address. It disables IP fragmentation, since the path MTU discovery of
// callers relies on too large datagrams being dropped (RFC 8899).
func Listen(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	network := "udp6"
	if address.Addr().Unmap().Is4() {
		network = "udp4"
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return setSocketOptions(raw, network)
	}}
	packet, err := config.ListenPacket(ctx, network, address.String())
	if err != nil {
		return nil, merry.Prepend(err, "bind udp socket")
	}
	conn := packet.(*net.UDPConn)
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, merry.Prepend(err, "access udp socket")
	}
	// Errors are ignored: the kernel's default buffers work too, but drop more
	// datagrams in bursts.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	local := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Conn{UDPConn: conn, raw: raw, local: netip.AddrPortFrom(local.Addr().Unmap(), local.Port())}, nil
}

func setSocketOptions(raw syscall.RawConn, network string) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		if failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); failure != nil {
			return
		}
		if network == "udp4" {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_MTU_DISCOVER, unix.IP_PMTUDISC_PROBE)
		} else {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_MTU_DISCOVER, unix.IPV6_PMTUDISC_PROBE)
		}
	})
	if err != nil {
		return err
	}
	return failure
}

// StopReading makes Read fail with an error that wraps os.ErrDeadlineExceeded. The
// socket can still be written to.
func (c *Conn) StopReading() error { return c.SetReadDeadline(time.Unix(1, 0)) }

// LocalAddrPort returns the bound address.
func (c *Conn) LocalAddrPort() netip.AddrPort { return c.local }

// Reader reads batches from a socket. It must be used by one goroutine only.
type Reader struct {
	conn            *Conn
	pool            *Pool
	batch           *Batch
	errno           syscall.Errno
	receiveCallback func(fd uintptr) bool
	receive         func(fd uintptr, messages []mmsghdr) (int, syscall.Errno)

	onUnreachable func(netip.AddrPort)
}

// NewReader returns a reader that takes its batches from a pool.
func (c *Conn) NewReader(pool *Pool) *Reader {
	r := &Reader{conn: c, pool: pool, receive: receiveMessages}
	r.receiveCallback = r.receiveBatch
	return r
}

// Read waits for datagrams and returns a batch of at least one. The caller must
// put the batch back into the pool. A receive that fails is repeated, because the
// socket can be used again when the cause has passed. Read returns an error that
// wraps net.ErrClosed after the socket was closed, and any other error if the
// socket can't be used any more.
func (r *Reader) Read() (*Batch, error) {
	for {
		if err := r.conn.raw.Read(r.receiveCallback); err != nil {
			return nil, err
		}
		switch {
		case r.errno == 0:
			b := r.batch
			r.batch = nil
			return b, nil
		case isUnusableSocket(r.errno):
			return nil, merry.Prepend(r.errno, "receive datagrams")
		case !isPendingICMPError(r.errno):
			receiveErrors.Inc()
			time.Sleep(receiveRetryDelay)
		}
	}
}

// ReadAvailable returns a batch of datagrams that have arrived, or false if there
// are none or the socket is closed. Unlike Read it also works after StopReading.
func (r *Reader) ReadAvailable() (*Batch, bool) {
	r.batch = nil
	if err := r.conn.raw.Control(func(fd uintptr) { r.receiveBatch(fd) }); err != nil {
		return nil, false
	}
	b := r.batch
	r.batch = nil
	return b, b != nil
}

// isUnusableSocket reports whether an error shows that the descriptor or the
// arguments of the system call are wrong, so that a repetition fails too.
func isUnusableSocket(errno syscall.Errno) bool {
	switch errno {
	case unix.EBADF, unix.ENOTSOCK, unix.EINVAL, unix.EFAULT, unix.ENOSYS:
		return true
	}
	return false
}

// isPendingICMPError reports whether an error may be an ICMP error about an earlier
// datagram, which the kernel reports at the next system call on the socket.
func isPendingICMPError(errno syscall.Errno) bool {
	switch errno {
	case unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EHOSTDOWN, unix.EMSGSIZE, unix.EPROTO, unix.EACCES:
		return true
	}
	return false
}

func (r *Reader) receiveBatch(fd uintptr) bool {
	b := r.pool.Get()
	b.reset()
	for {
		n, errno := r.receive(fd, b.messages)
		switch errno {
		case 0:
			b.count = n
			r.batch, r.errno = b, 0
			return true
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			r.pool.Put(b)
			if r.onUnreachable != nil {
				r.readErrorQueue(int(fd))
			}
			return false
		}
		r.pool.Put(b)
		r.errno = errno
		return true
	}
}

// receiveMessages receives the datagrams that have arrived, without waiting.
func receiveMessages(fd uintptr, messages []mmsghdr) (int, syscall.Errno) {
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&messages[0])), uintptr(len(messages)),
		unix.MSG_DONTWAIT, 0, 0)
	return int(n), errno
}

// Writer collects datagrams and writes them in batches. It must be used by one
// goroutine only, but several writers may share a socket.
type Writer struct {
	messages  []mmsghdr
	iovecs    []unix.Iovec
	sockaddrs []unix.RawSockaddrInet6
	count     int
	sent      int
	failed    int
	excess    int
	// isRetry is set if the next datagram is sent for the second time.
	isRetry      bool
	sendCallback func(fd uintptr) bool
}

// NewWriter returns a writer of up to size datagrams at a time.
func NewWriter(size int) *Writer {
	w := &Writer{
		messages:  make([]mmsghdr, size),
		iovecs:    make([]unix.Iovec, size),
		sockaddrs: make([]unix.RawSockaddrInet6, size),
	}
	for i := range w.messages {
		w.messages[i].header.Iov = &w.iovecs[i]
		w.messages[i].header.SetIovlen(1)
		w.messages[i].header.Name = (*byte)(unsafe.Pointer(&w.sockaddrs[i]))
	}
	w.sendCallback = w.sendMessages
	return w
}

// Len returns the number of datagrams that were added since the last Flush.
func (w *Writer) Len() int { return w.count }

// IsFull reports whether the writer has no room for another datagram.
func (w *Writer) IsFull() bool { return w.count == len(w.messages) }

// Add appends a datagram, whose bytes must stay unchanged until Flush returns. The
// writer must not be full.
func (w *Writer) Add(b []byte, to *Sockaddr) {
	i := w.count
	w.iovecs[i].Base = unsafe.SliceData(b)
	w.iovecs[i].SetLen(len(b))
	w.sockaddrs[i] = to.raw
	w.messages[i].header.Namelen = to.size
	w.count++
}

// Flush writes the collected datagrams to a socket. It returns the number of
// datagrams that the kernel refused and the number that were dropped because the
// socket's send buffer was full. It never blocks: datagrams for a host whose link
// address is being resolved occupy the buffer for seconds, and waiting for them
// would delay the datagrams for all other hosts.
func (w *Writer) Flush(conn *Conn) (failed, excess int) {
	if w.count == 0 {
		return 0, 0
	}
	w.sent, w.failed, w.excess = 0, 0, 0
	if err := conn.raw.Write(w.sendCallback); err != nil {
		w.failed += w.count - w.sent
	}
	w.count = 0
	return w.failed, w.excess
}

func (w *Writer) sendMessages(fd uintptr) bool {
	for w.sent < w.count {
		n, _, errno := unix.Syscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&w.messages[w.sent])),
			uintptr(w.count-w.sent), unix.MSG_DONTWAIT, 0, 0)
		switch errno {
		case 0:
			w.sent += int(n)
			w.isRetry = false
		case unix.EINTR:
		case unix.EAGAIN:
			w.excess = w.count - w.sent
			return true
		default:
			// The error is either about the first datagram of the call or a
			// pending ICMP error, which the kernel clears when it reports it.
			if isPendingICMPError(errno) && !w.isRetry {
				w.isRetry = true
				continue
			}
			w.sent++
			w.failed++
			w.isRetry = false
		}
	}
	return true
}
