package listener

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/quic-go/quic-go"
)

const (
	resetTokenSize = 16
	// minResetSize and maxResetSize limit the size of a stateless reset in bytes
	// (RFC 9000, 10.3). The maximum is the size that QUIC implementations send.
	minResetSize = 21
	maxResetSize = 42
)

// resetter builds stateless resets for the flows of any agent of the service.
// quic-go does not reset packets of up to 42 bytes. A caller that only receives
// sends nothing larger than keepalives of 41 bytes, so it would never learn that
// its agent is lost.
type resetter struct {
	key *quic.StatelessResetKey
}

// token computes the same reset token that quic-go announced for a connection
// ID: HMAC-SHA-256 of the ID, truncated to 16 bytes.
func (r resetter) token(id []byte) []byte {
	h := hmac.New(sha256.New, r.key[:])
	h.Write(id)
	return h.Sum(nil)[:resetTokenSize]
}

// reset returns the stateless reset for a packet with a short header, or nil if
// the packet is too small. The reset is smaller than the packet, so that two
// endpoints without state do not answer each other forever.
func (r resetter) reset(id, packet []byte) []byte {
	size := min(len(packet)-1, maxResetSize)
	if size < minResetSize {
		return nil
	}
	b := make([]byte, size)
	_, _ = rand.Read(b[:size-resetTokenSize]) // crypto/rand never fails
	b[0] = b[0]&0x3f | 0x40
	copy(b[size-resetTokenSize:], r.token(id))
	return b
}
