package messenger

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// recordConn records the bytes of each write.
type recordConn struct {
	net.Conn
	writes [][]byte
}

func (c *recordConn) Write(b []byte) (int, error) {
	c.writes = append(c.writes, bytes.Clone(b))
	return len(b), nil
}

// TestTrafficConn guards against bytes that are lost or reordered when headers
// are buffered until their bodies follow.
func TestTrafficConn(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		record := &recordConn{}
		c := newCoalescingConn(record)
		var want []byte
		write := func(b []byte) {
			want = append(want, b...)
			if n, err := c.Write(b); n != len(b) || err != nil {
				r.Fatalf("write gives %d, %v", n, err)
			}
		}
		frames := rapid.IntRange(1, 20).Draw(r, "frames")
		for range frames {
			header := make([]byte, frameHeaderSize)
			header[1] = rapid.ByteRange(0, 3).Draw(r, "type")
			body := rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(r, "body")
			binary.BigEndian.PutUint32(header[8:], uint32(len(body)))
			write(header)
			if header[1] == frameTypeData && len(body) > 0 {
				write(body)
			}
		}
		if got := bytes.Join(record.writes, nil); !bytes.Equal(got, want) {
			r.Fatalf("wrote %x, want %x", got, want)
		}
		if len(record.writes) != frames {
			r.Fatalf("%d frames took %d writes", frames, len(record.writes))
		}
	})
}

// TestPingDue guards against unnecessary pings while data is sent, and against a
// session that sends forever to a peer that does not answer.
func TestPingDue(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	c := newCoalescingConn(&recordConn{})
	c.sent.Store(start.UnixNano())
	c.received.Store(start.UnixNano())
	is.Equal(c.pingDue(time.Second), start.Add(time.Second))
	c.sent.Store(start.Add(900 * time.Millisecond).UnixNano())
	is.Equal(c.pingDue(time.Second), start.Add(1900*time.Millisecond))
	c.sent.Store(start.Add(time.Hour).UnixNano())
	is.Equal(c.pingDue(time.Second), start.Add(unansweredIntervals*time.Second))
}
