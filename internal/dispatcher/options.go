package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
)

// Header fields of requests and responses.
const (
	HeaderTicket   = "Kingcupvalve-Ticket"
	HeaderKind     = "Kingcupvalve-Kind"
	HeaderTimeout  = "Kingcupvalve-Timeout-Ms"
	HeaderOutcome  = "Kingcupvalve-Outcome"
	HeaderDeadline = "Kingcupvalve-Deadline-Ms"
	headerPrefix   = "Kingcupvalve-"
)

const (
	// BodyBytes is the part of a request body that is read before the request
	// is admitted. A body within it can be sent again to another target.
	BodyBytes = 64 << 10
	// DigestInterval is the shortest time between two digests to a peer agent.
	DigestInterval = 250 * time.Millisecond
	// DigestRate is the number of digests that an agent sends in a second to
	// all peers together, from 4 peers on. 4 a second to each of 16 peers would
	// take 22 KB/s.
	DigestRate = 16
	// DigestPeers is the largest number of agents that receive digests.
	DigestPeers = 16
	// tickInterval is the time between two looks at the queues.
	tickInterval = 10 * time.Millisecond
	// maxAttempts is the number of targets that one request may try.
	maxAttempts = 3
	// overtime is the time after a request's deadline in which an answer that
	// is already on its way still arrives from another agent.
	overtime = 250 * time.Millisecond
	// headerTimeout is the time in which the header of a passed request must
	// follow the opening of its stream.
	headerTimeout = 5 * time.Second
	// maxTimeout bounds what a caller may ask for.
	maxTimeout = 24 * time.Hour
	copySize   = 32 << 10
)

// Options are the settings and seams of a Dispatcher.
type Options struct {
	Target      uint32
	Incarnation uint64
	Service     uint16
	Ring        *deriver.KeyRing
	// Snapshot returns the current configuration.
	Snapshot func() *cataloger.Snapshot
	// BackendURL is the address of the local backend server, without a path.
	BackendURL string
	// Open opens a stream to another agent; nil means that there is none.
	Open func(ctx context.Context, address netip.AddrPort, lane string) (*messenger.Stream, error)
	// IsDraining reports whether the agent is stopping.
	IsDraining func() bool
	// Record receives the outcome of each caller's request: done, late,
	// failed, not_run, unknown or truncated.
	Record func(outcome string)
	// Transport carries idempotent requests, TicketTransport the others. Nil
	// uses the defaults; the second one opens a connection for each request.
	Transport       http.RoundTripper
	TicketTransport http.RoundTripper
	// Random is used under a lock; nil seeds one.
	Random *rand.Rand
	// JournalCapacity is the largest number of journal records [16384].
	JournalCapacity int
	Logger          zerolog.Logger
}

func (o Options) withDefaults() Options {
	if o.IsDraining == nil {
		o.IsDraining = func() bool { return false }
	}
	if o.Record == nil {
		o.Record = func(string) {}
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Transport == nil {
		o.Transport = newTransport(false)
	}
	if o.TicketTransport == nil {
		o.TicketTransport = newTransport(true)
	}
	return o
}

// newTransport returns a transport to the local backend server. A
// non-idempotent request takes a fresh connection: on a kept one the backend
// server may close it at the moment of the write, which leaves the outcome
// unknown.
func newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DisableKeepAlives: fresh, DisableCompression: true,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
		MaxResponseHeaderBytes: 64 << 10,
	}
}
