package responder

import (
	"crypto/rand"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// connectionIDSize is the length of the connection IDs of a server, in bytes.
const connectionIDSize = 8

// minResetTriggerSize is the size in bytes of the smallest packet that quic-go
// answers with a stateless reset. A caller that only receives sends smaller
// keep-alive packets, and agents reset those too.
const minResetTriggerSize = 43

// longHeaderBit is the bit of the first byte that is set in packets with a long
// header and clear in those with a short one (RFC 9000, 17.2 and 17.3).
const longHeaderBit = 0x80

// socket pads short packets of connections from earlier starts of the server, so
// that quic-go answers them with a stateless reset whatever their size.
type socket struct {
	// Given a *net.UDPConn, quic-go would not call ReadFrom.
	net.PacketConn

	mutex  sync.Mutex
	issued map[[connectionIDSize]byte]bool
}

func newSocket(conn net.PacketConn) *socket {
	return &socket{PacketConn: conn, issued: map[[connectionIDSize]byte]bool{}}
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (s *socket) GenerateConnectionID() (quic.ConnectionID, error) {
	var id [connectionIDSize]byte
	_, _ = rand.Read(id[:]) // crypto/rand never fails
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.issued[id] = true
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (s *socket) ConnectionIDLen() int { return connectionIDSize }

// ReadFrom implements net.PacketConn.
func (s *socket) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := s.PacketConn.ReadFrom(b)
	if err != nil {
		return n, from, err
	}
	if n < minResetTriggerSize && minResetTriggerSize <= len(b) && s.hasUnknownID(b[:n]) {
		clear(b[n:minResetTriggerSize])
		n = minResetTriggerSize
	}
	return n, from, nil
}

// hasUnknownID reports whether a packet has a short header and a connection ID
// that this start of the server did not issue.
func (s *socket) hasUnknownID(packet []byte) bool {
	if len(packet) <= connectionIDSize || packet[0]&longHeaderBit != 0 {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.issued[[connectionIDSize]byte(packet[1:])]
}
