package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDigestPause guards against an agent with many peers that exceeds the limit
// on control traffic because it sends digests to each of them at the full rate.
func TestDigestPause(t *testing.T) {
	is := is.New(t)
	is.Equal(DigestPeriod(1), MinDigestInterval)
	is.Equal(DigestPeriod(4), MinDigestInterval)
	is.Equal(DigestPeriod(MaxDigestPeers), time.Second)
	for peers := 4; peers <= MaxDigestPeers; peers++ {
		is.True(float64(peers)/DigestPeriod(peers).Seconds() <= MaxDigestsPerSecond)
	}
}
