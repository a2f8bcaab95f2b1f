// Package retrier provides a retry budget. It limits retries to a share of the
// successful requests and spaces them by exponential backoff with jitter, so
// that retries cannot multiply the load of an overloaded service.
//
// A Budget is not safe for concurrent use.
//
// # Usage
//
//	budget := retrier.NewBudget(retrier.Options{})
//	budget.RecordSuccess(now)
//	if budget.TryRetry(now) {
//		wait := budget.Backoff(1, random)
//	}
package retrier

import (
	"math/rand/v2"
	"time"
)

// Options configures a Budget. Zero fields take the default in brackets.
type Options struct {
	Ratio        float64       // retries per success [0.1]
	MinPerSecond float64       // retries per second on top of the ratio, also without any success [1]
	Burst        float64       // maximum number of unused retries that accumulate [10]
	BaseBackoff  time.Duration // upper bound of the backoff before the first retry [25 ms]
	MaxBackoff   time.Duration // upper bound of every backoff [1 s]
}

// Budget is a token bucket that successes and time refill. A retry takes one
// token.
type Budget struct {
	options    Options
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a Budget that holds the retries of one second at the minimum
// rate, at most Burst.
func NewBudget(options Options) *Budget {
	o := options
	if o.Ratio == 0 {
		o.Ratio = 0.1
	}
	if o.MinPerSecond == 0 {
		o.MinPerSecond = 1
	}
	if o.Burst == 0 {
		o.Burst = 10
	}
	if o.BaseBackoff == 0 {
		o.BaseBackoff = 25 * time.Millisecond
	}
	if o.MaxBackoff == 0 {
		o.MaxBackoff = time.Second
	}
	return &Budget{options: o, tokens: min(o.MinPerSecond, o.Burst)}
}

// RecordSuccess adds Ratio retries for one successful request.
func (b *Budget) RecordSuccess(now time.Time) {
	b.refill(now)
	b.tokens = min(b.options.Burst, b.tokens+b.options.Ratio)
}

// TryRetry reports whether the budget allows a retry, and if so takes its token.
func (b *Budget) TryRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the time to wait before the given attempt (1 is the first
// retry). It is uniform between zero and an exponentially growing bound (full
// jitter), which spreads callers better than a fixed wait with a small jitter.
func (b *Budget) Backoff(attempt int, random *rand.Rand) time.Duration {
	bound := b.options.MaxBackoff
	if shift := max(0, attempt-1); shift < 20 {
		bound = min(bound, b.options.BaseBackoff<<shift)
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); !b.refilledAt.IsZero() && elapsed > 0 {
		b.tokens = min(b.options.Burst, b.tokens+elapsed.Seconds()*b.options.MinPerSecond)
	}
	if b.refilledAt.Before(now) {
		b.refilledAt = now
	}
}
