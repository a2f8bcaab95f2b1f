package responder

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 20 * time.Second

// TestReset guards against a caller that waits for ever after its agent was
// killed: a caller with nothing unacknowledged sends only keepalives, which are
// below the size that quic-go resets.
func TestReset(t *testing.T) {
	is := is.New(t)
	server, _ := NewServer(testTimeout)
	is.NoErr(server.Start())
	defer server.Kill()
	conn, err := net.Dial("udp", server.Address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))

	keepalive := make([]byte, 1+identitySize+20)
	keepalive[0] = 0x40
	_, err = conn.Write(keepalive)
	is.NoErr(err)
	answer := make([]byte, 100)
	n, err := conn.Read(answer)
	is.NoErr(err)
	is.True(n >= 21)                             // smallest stateless reset (RFC 9000, 10.3)
	is.Equal(answer[0]&shortHeaderMask, byte(0)) // a short header
}
