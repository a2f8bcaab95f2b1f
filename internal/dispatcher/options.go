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

// Header fields of requests and responses, exchanged with callers and backend
// servers.
const (
	HeaderTicket   = "Kingcupvalve-Ticket"
	HeaderKind     = "Kingcupvalve-Kind"
	HeaderTimeout  = "Kingcupvalve-Timeout-Ms"
	HeaderOutcome  = "Kingcupvalve-Outcome"
	HeaderDeadline = "Kingcupvalve-Deadline-Ms"
	headerPrefix   = "Kingcupvalve-"
)

const (
	// MaxReplayableBodyBytes is the size of a request body up to which it is
	// buffered before the request is admitted, so that it can be sent again to
	// another target. Of a larger body, only the first part is buffered.
	MaxReplayableBodyBytes = 64 << 10
	// MinDigestInterval is the minimum time between two digests to a peer agent.
	MinDigestInterval = 250 * time.Millisecond
	// MaxDigestsPerSecond is the maximum number of digests per second that an
	// agent sends to all peers together; it is reached with 4 peers. Sending 4 per
	// second to each of 16 peers would take 22 KB/s.
	MaxDigestsPerSecond = 16
	// MaxDigestPeers is the maximum number of agents to which an agent sends
	// digests.
	MaxDigestPeers = 16
	// queueTickInterval is the period at which queued requests are checked.
	queueTickInterval = 10 * time.Millisecond
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 3
	// responseGrace is how long after the deadline of a request a response that
	// is already in transit from another agent is still accepted.
	responseGrace = 250 * time.Millisecond
	// headerTimeout is the maximum time between the opening of a stream by
	// another agent and the arrival of the request header.
	headerTimeout = 5 * time.Second
	// maxRequestTimeout limits the timeout that a caller may request.
	maxRequestTimeout = 24 * time.Hour
	copyBufferBytes   = 32 << 10
)

// Options configures a Dispatcher.
type Options struct {
	// Target and Service are the numbers of the local target and its service.
	Target uint32
	// Incarnation distinguishes the runs of the agent of a target.
	Incarnation uint64
	Service     uint16
	// Ring holds the keys for tickets.
	Ring *deriver.KeyRing
	// Snapshot returns the current configuration.
	Snapshot func() *cataloger.Snapshot
	// BackendURL is the base URL of the local backend server, without a path.
	BackendURL string
	// OpenStream opens a stream to another agent. If it is nil, requests run only
	// on the local backend server and no digests are sent.
	OpenStream func(ctx context.Context, address netip.AddrPort, lane string) (*messenger.Stream, error)
	// IsDraining reports whether the agent is draining; nil means that it never
	// is.
	IsDraining func() bool
	// RecordOutcome is called with the outcome of each request of a caller: done,
	// late, failed, not_run, unknown or truncated. A response that only issues a
	// ticket does not count. It may be nil.
	RecordOutcome func(outcome string)
	// Transport sends requests to the backend server. If it is nil, each request
	// opens a connection.
	Transport http.RoundTripper
	// Random is used for target selection and retry backoff, under a lock. If
	// nil, a randomly seeded source is used.
	Random *rand.Rand
	// JournalCapacity is the maximum number of journal records; 0 means 16384.
	JournalCapacity int
	Logger          zerolog.Logger
}

func (o Options) withDefaults() Options {
	if o.IsDraining == nil {
		o.IsDraining = func() bool { return false }
	}
	if o.RecordOutcome == nil {
		o.RecordOutcome = func(string) {}
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	return o
}

// newTransport returns a transport to the local backend server. Each request uses
// a connection of its own: a late second copy of an answer would otherwise be taken
// for the answer to the next request, and the backend server may close an idle
// connection at the moment of the write, which leaves the outcome unknown.
func newTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 64 << 10}
}
