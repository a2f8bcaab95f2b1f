package responder

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 20 * time.Second

// TestReset guards against a caller that waits forever after its agent was
// killed. A caller without unacknowledged data sends only keep-alive packets,
// which are smaller than those that quic-go answers with a stateless reset.
func TestReset(t *testing.T) {
	is := is.New(t)
	server, _ := NewServer(testTimeout)
	is.NoErr(server.Start())
	defer server.Kill()
	conn, err := net.Dial("udp", server.Address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))

	keepalive := make([]byte, 1+connectionIDSize+20)
	keepalive[0] = 0x40
	_, err = conn.Write(keepalive)
	is.NoErr(err)
	answer := make([]byte, 100)
	n, err := conn.Read(answer)
	is.NoErr(err)
	is.True(n >= 21)                           // smallest stateless reset (RFC 9000, 10.3)
	is.Equal(answer[0]&longHeaderBit, byte(0)) // a short header
}
