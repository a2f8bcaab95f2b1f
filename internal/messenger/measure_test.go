package messenger

import (
	"context"
	"flag"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

var measure = flag.Bool("measure", false, "measure the traffic of idle sessions for 10 s")

// countingConn counts the bytes of TLS records in both directions.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// TestMeasureIdleSession prints the traffic of one session while it is idle.
func TestMeasureIdleSession(t *testing.T) {
	if !*measure {
		return // takes 10 s of real time and asserts nothing
	}
	is := is.New(t)
	a := newAuthority(t)
	server := start(t, a.config(t), nil)
	server.Handle(LaneControl, echo)
	var sent, received atomic.Int64
	client := start(t, a.config(t), func(o *Options) {
		o.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
			return countingConn{Conn: conn, sent: &sent, received: &received}, err
		}
	})
	s, err := client.Open(t.Context(), server.Address(), LaneControl)
	is.NoErr(err)
	assertEcho(t, s, 1)
	t.Logf(`{"measure":"open_session","sent_bytes":%d,"received_bytes":%d}`, sent.Load(), received.Load())
	sent.Store(0)
	received.Store(0)
	time.Sleep(10 * time.Second)
	t.Logf(`{"measure":"idle_session","sent_bytes_per_second":%.1f,"received_bytes_per_second":%.1f}`,
		float64(sent.Load())/10, float64(received.Load())/10)
}
