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
	is.Equal(DigestPeriod(1), MinDigestInterval)
	is.Equal(DigestPeriod(4), MinDigestInterval)
	is.Equal(DigestPeriod(MaxDigestPeers), time.Second)
	for peers := 4; peers <= MaxDigestPeers; peers++ {
		is.True(float64(peers)/DigestPeriod(peers).Seconds() <= MaxDigestsPerSecond)
	}
}
