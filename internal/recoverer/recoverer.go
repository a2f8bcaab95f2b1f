// Package recoverer limits a panic to the message that caused it.
//
// A loop that reads messages from other processes handles each one inside
// Handle, so that one message that meets a fault in this program is dropped and
// the process keeps serving. Each panic is logged with its stack and counted. Code
// that handles no message from outside must not use this package: its panics
// show that the state of the process is wrong.
//
// # Usage
//
//	r := recoverer.NewRecoverer(logger, "datagram")
//	ok := r.Handle(func() { handle(datagram) })
package recoverer

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// stacksPerSecond and stackBurst bound the stacks that are taken. The rate limit
	// of the log comes too late for that: a sender can repeat a faulty message
	// thousands of times a second.
	stacksPerSecond = 1
	stackBurst      = 3
)

// Recoverer handles messages of one kind. It is safe for concurrent use.
type Recoverer struct {
	logger  zerolog.Logger
	kind    string
	panics  *metrics.Counter
	limiter *rate.Limiter
}

// NewRecoverer returns a recoverer. The kind of message appears in the log and
// in the name of the counter.
func NewRecoverer(logger zerolog.Logger, kind string) *Recoverer {
	return &Recoverer{
		logger: logger, kind: kind, limiter: rate.NewLimiter(stacksPerSecond, stackBurst),
		panics: metrics.GetOrCreateCounter(fmt.Sprintf("kingcupvalve_message_panics_total{kind=%q}", kind)),
	}
}

// Handle calls handle and reports whether it returned without a panic.
func (r *Recoverer) Handle(handle func()) (ok bool) {
	defer func() {
		if ok {
			return
		}
		r.panics.Inc()
		if cause := recover(); r.limiter.Allow() {
			r.logger.Error().Str("kind", r.kind).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).
				Uint64("panics", r.panics.Get()).Msg("message dropped after panic")
		}
	}()
	handle()
	return true
}
