package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDigestPause checks that an agent with many peers stays within the limit on
// control traffic.
func TestDigestPause(t *testing.T) {
	is := is.New(t)
	is.Equal(DigestPause(1), DigestInterval)
	is.Equal(DigestPause(4), DigestInterval)
	is.Equal(DigestPause(DigestPeers), time.Second)
	for peers := 4; peers <= DigestPeers; peers++ {
		is.True(float64(peers)/DigestPause(peers).Seconds() <= DigestRate)
	}
}
