package messenger

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBackoff guards against a peer that is dialed too often because it accepts
// connections and drops them, and against a backoff that outlasts its recovery.
func TestBackoff(t *testing.T) {
	t.Run("the backoff grows up to its limit and the peer's Hello resets it", func(t *testing.T) {
		is := is.New(t)
		l, now := newLink(), time.Unix(0, 0)
		var last time.Duration
		for range 10 {
			is.NoErr(l.startAttempt(now, 1))
			wait := l.nextAttempt.Sub(now)
			is.True(errors.Is(l.startAttempt(now.Add(wait-1), 1), ErrBackoff))
			is.True(wait >= last && wait <= maxBackoff)
			last, now = wait, now.Add(wait)
		}
		is.Equal(last, maxBackoff)
		l.resetBackoff()
		is.NoErr(l.startAttempt(now, 1))
		is.Equal(l.nextAttempt.Sub(now), initialBackoff)
	})
	t.Run("jitter shortens the backoff by at most half", func(t *testing.T) {
		is := is.New(t)
		l, now := newLink(), time.Unix(0, 0)
		is.NoErr(l.startAttempt(now, 0))
		is.Equal(l.nextAttempt.Sub(now), initialBackoff/2)
	})
}
