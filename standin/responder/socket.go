package responder

import (
	"crypto/rand"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// identitySize is the length of the connection IDs of a server, in bytes.
const identitySize = 8

// minResetTrigger is the size of the smallest packet that quic-go answers with
// a stateless reset. A caller that only listens sends smaller ones, which
// agents answer too.
const minResetTrigger = 43

// shortHeaderMask is the bit of the first byte that a packet with a short
// header leaves clear (RFC 9000, 17.3).
const shortHeaderMask = 0x80

// socket pads the packets of connections that this start of the server did not
// open, so that quic-go resets them whatever their size.
type socket struct {
	// A *net.UDPConn would let quic-go read past ReadFrom.
	net.PacketConn

	mutex  sync.Mutex
	issued map[[identitySize]byte]bool
}

func newSocket(conn net.PacketConn) *socket {
	return &socket{PacketConn: conn, issued: map[[identitySize]byte]bool{}}
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (s *socket) GenerateConnectionID() (quic.ConnectionID, error) {
	var id [identitySize]byte
	_, _ = rand.Read(id[:]) // crypto/rand never fails
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.issued[id] = true
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (s *socket) ConnectionIDLen() int { return identitySize }

// ReadFrom implements net.PacketConn.
func (s *socket) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := s.PacketConn.ReadFrom(b)
	if err != nil {
		return n, from, err
	}
	if n < minResetTrigger && minResetTrigger <= len(b) && s.isForeign(b[:n]) {
		clear(b[n:minResetTrigger])
		n = minResetTrigger
	}
	return n, from, nil
}

// isForeign reports whether a packet belongs to a connection that another start
// of the server opened.
func (s *socket) isForeign(packet []byte) bool {
	if len(packet) <= identitySize || packet[0]&shortHeaderMask != 0 {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.issued[[identitySize]byte(packet[1:])]
}
