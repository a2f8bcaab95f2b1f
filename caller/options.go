// Package caller is the client of services behind kingcupvalve. It speaks
// HTTP/3 over QUIC and hides deployments and failures of agents from its users
// as far as that is possible without executing a request twice.
//
// A request has one of four outcomes: a complete response, ErrNotRun,
// ErrOutcomeUnknown or ErrTruncated. Requests with the methods POST and PATCH
// carry a ticket; an agent executes at most one request with it. Do fetches the
// ticket, and a retry uses the same one if any earlier attempt may have been
// executed.
//
// Feeds are streams of server-sent events. When an agent drains or a connection
// is lost, a feed resumes on another connection after the last event received.
//
// # Usage
//
//	client, err := caller.Dial(ctx, caller.Options{Address: "198.18.0.1:443", TLS: config})
//	defer client.Close()
//	result, err := client.Do(ctx, request)
//	if errors.Is(err, caller.ErrNotRun) {
//		return retryLater(result.RetryAfter())
//	}
//	body, err := result.ReadAll()
//
//	feed, err := client.Feed(ctx, "/sequence", "")
//	for {
//		event, err := feed.Next(ctx)
//		...
//	}
package caller

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go/http3"
	"github.com/rs/zerolog"
)

// Headers and paths of the protocol between callers and agents.
const (
	HeaderTicket  = "Kingcupvalve-Ticket"
	HeaderKind    = "Kingcupvalve-Kind"
	HeaderTimeout = "Kingcupvalve-Timeout-Ms"
	HeaderOutcome = "Kingcupvalve-Outcome"

	// DrainPath is a long poll that the agent answers when it starts to drain.
	DrainPath = "/.well-known/kingcupvalve/drain"
)

// Defaults of Options. A silent connection is closed after the keep-alive
// period plus the idle timeout at the latest, so that a lost connection is
// replaced within 2 s.
const (
	DefaultKeepAlive     = 300 * time.Millisecond
	DefaultIdleTimeout   = 1200 * time.Millisecond
	DefaultDialTimeout   = 5 * time.Second
	DefaultDialStagger   = 400 * time.Millisecond
	DefaultMaxAttempts   = 4
	DefaultRetryRate     = 10
	DefaultRetryBurst    = 20
	DefaultBufferBytes   = 64 << 10
	DefaultMaxBodyBytes  = 16 << 20
	DefaultMaxEventBytes = 1 << 20
)

// Options configures a client. Zero values take the defaults.
type Options struct {
	// Address is the published address as host:port.
	Address string
	// TLS is the client configuration; its ServerName is the authority of the
	// requests unless Authority is set.
	TLS *tls.Config
	// Authority is the :authority of the requests.
	Authority string
	// KeepAlive is the interval of keep-alive packets. They also provoke the
	// stateless reset by which the client detects that an agent was lost.
	KeepAlive time.Duration
	// IdleTimeout is the time without a received packet after which a
	// connection is closed.
	IdleTimeout time.Duration
	// DialTimeout bounds the handshake of one connection.
	DialTimeout time.Duration
	// DialStagger is the interval at which further concurrent handshakes start
	// while none has succeeded. Each is likely to reach another target.
	DialStagger time.Duration
	// MaxAttempts is the limit of attempts for one request.
	MaxAttempts int
	// RetryRefused lets Do retry a request that an agent refused with status
	// 429 or 503, after the Retry-After time and within MaxAttempts and the
	// context.
	RetryRefused bool
	// RetryRate is the limit of retries per second over all requests.
	RetryRate float64
	// RetryBurst is the largest number of retries in one burst.
	RetryBurst int
	// BufferBytes is the number of response bytes that Do buffers before it
	// returns. A failure within them is retried.
	BufferBytes int
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes int64
	// MaxEventBytes is the largest event of a feed.
	MaxEventBytes int
	// Logger receives debug messages of the client.
	Logger zerolog.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.Address == "" || o.TLS == nil {
		return o, merry.New("check caller options: address and TLS configuration are required")
	}
	if o.Authority == "" {
		o.Authority = o.TLS.ServerName
	}
	if o.Authority == "" {
		o.Authority = o.Address
	}
	o.TLS = o.TLS.Clone()
	o.TLS.NextProtos = []string{http3.NextProtoH3}
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.DialStagger, DefaultDialStagger)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.RetryRate, DefaultRetryRate)
	setDefault(&o.RetryBurst, DefaultRetryBurst)
	setDefault(&o.BufferBytes, DefaultBufferBytes)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxEventBytes, DefaultMaxEventBytes)
	return o, nil
}

func setDefault[T int | int64 | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Errors of Do, of feeds and of response bodies. Test for them with errors.Is.
var (
	// ErrNotRun reports that the request was not executed and will not be.
	ErrNotRun = merry.Sentinel("request not run")
	// ErrOutcomeUnknown reports that the request may or may not have been
	// executed. A request with a ticket can be sent again safely with the same
	// ticket (Result.Ticket).
	ErrOutcomeUnknown = merry.Sentinel("request outcome unknown")
	// ErrTruncated reports that the request was executed and that its response
	// ended early.
	ErrTruncated = merry.Sentinel("response truncated")
	// ErrClosed reports that the client was closed.
	ErrClosed = merry.Sentinel("client closed")
	// ErrFeedRefused reports that the service rejected the feed request with a
	// status that a retry would not change.
	ErrFeedRefused = merry.Sentinel("feed refused")
)

// needsTicket reports whether a method is neither safe nor idempotent (RFC
// 9110, section 9.2.2).
func needsTicket(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete, "":
		return false
	}
	return true
}
