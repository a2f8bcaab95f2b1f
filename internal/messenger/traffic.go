package messenger

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	frameHeaderSize = 12
	frameTypeData   = 0
	// unansweredIntervals is the number of keepalive intervals without received
	// data after which a control session that keeps sending is pinged.
	unansweredIntervals = 5
)

// UnansweredPingInterval returns the time between pings of a control session
// that keeps sending without receiving data, with the default settings.
func UnansweredPingInterval() time.Duration { return unansweredIntervals * DefaultKeepaliveInterval }

// coalescingConn is the connection below a session. It writes the header and
// the body of a yamux frame, which yamux writes separately, in one call: as two
// TLS records in two packets a small message takes 74 bytes more. It also
// records the times of the last write and read.
type coalescingConn struct {
	net.Conn
	header   []byte // buffered until the body follows; used by the sending goroutine only
	sent     atomic.Int64
	received atomic.Int64
}

func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{Conn: conn}
	c.sent.Store(time.Now().UnixNano())
	c.received.Store(c.sent.Load())
	return c
}

// Read reads from the connection.
func (c *coalescingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write buffers b if it is a header whose body follows, and otherwise writes it
// after the buffered header. yamux calls it from one goroutine and with complete
// headers.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.header) == 0 && hasBody(b) {
		c.header = append(c.header, b...)
		return len(b), nil
	}
	joined := b
	if len(c.header) > 0 {
		joined = append(c.header, b...)
		c.header = c.header[:0]
	}
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	c.sent.Store(time.Now().UnixNano())
	return len(b), nil
}

// hasBody reports whether b is the header of a data frame with a body: version,
// type, flags of 2 bytes, stream of 4 and length of 4.
func hasBody(b []byte) bool {
	return len(b) == frameHeaderSize && b[1] == frameTypeData && b[8]|b[9]|b[10]|b[11] != 0
}

// pingDue returns the time at which a ping is due if no more bytes pass.
func (c *coalescingConn) pingDue(interval time.Duration) time.Time {
	return time.Unix(0, min(c.sent.Load()+int64(interval), c.received.Load()+unansweredIntervals*int64(interval)))
}

// keepAlive pings the peer of a control session when nothing was sent for an
// interval, or nothing received for unansweredIntervals. Digests and heartbeats
// already show the receiver that the sender is alive; additional pings would cost
// an agent with 16 digest peers 3 KB/s.
func (m *Messenger) keepAlive(session *yamux.Session, c *coalescingConn) {
	for {
		if wait := time.Until(c.pingDue(m.options.KeepaliveInterval)); wait > 0 {
			select {
			case <-session.CloseChan():
				return
			case <-time.After(wait):
			}
			continue
		}
		if _, err := session.Ping(); err != nil {
			session.Close()
			return
		}
	}
}
