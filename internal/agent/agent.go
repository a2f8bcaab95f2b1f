package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/dispatcher"
	"kingcupvalve.example/kingcupvalve/internal/drainer"
	"kingcupvalve.example/kingcupvalve/internal/listener"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/prober"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

const (
	// DefaultStreams is the maximum number of concurrent requests per connection.
	DefaultStreams = 100
	// DefaultHeaderBytes is the maximum size of a request header in bytes.
	DefaultHeaderBytes = 16 << 10
	// DefaultLinger is the delay between announcing a drain and sending GOAWAY,
	// in which callers open their next connection. It is also the idle time
	// after which a draining agent closes a connection without requests.
	DefaultLinger = 500 * time.Millisecond

	idleTimeout       = 30 * time.Second
	keepAlivePeriod   = 10 * time.Second
	statePollInterval = 100 * time.Millisecond
	abortTimeout      = time.Second
	// The flow control windows limit the memory for a caller's uploads to 2 MiB
	// per connection, and to 512 KiB until the connection needs more.
	initialStreamWindow     = 256 << 10
	maxStreamWindow         = 1 << 20
	initialConnectionWindow = 512 << 10
	maxConnectionWindow     = 2 << 20
)

// ErrUnknownTarget reports a target that the configuration does not have.
var ErrUnknownTarget = merry.New("target is not in the configuration")

// Options configures an Agent.
type Options struct {
	// Target is the number of the agent's target.
	Target      uint32
	Incarnation uint64
	Ring        *deriver.KeyRing
	// Snapshot returns the current configuration, which must have the target.
	Snapshot func() *cataloger.Snapshot
	// TunnelAddress is the UDP address to bind; the zero value takes the
	// published tunnel address of the target.
	TunnelAddress netip.AddrPort
	// BackendURL is the address of the local backend server, without a path.
	BackendURL string
	// TLS holds the server certificate for callers.
	TLS *tls.Config
	// Messenger carries requests and digests between agents; nil disables both.
	// The agent handles its short and bulk lanes.
	Messenger *messenger.Messenger
	// MTU, HandshakeRate: see listener.Options.
	MTU           int
	HandshakeRate float64
	// Streams, HeaderBytes and Linger default to the Default constants above.
	Streams     int64
	HeaderBytes int
	Linger      time.Duration
	// RecordOutcome receives the outcome of each caller's request.
	RecordOutcome func(outcome string)
	Logger        zerolog.Logger
}

// Agent serves the callers of one target.
type Agent struct {
	options       Options
	listener      *listener.Listener
	quic          *quic.Listener
	server        *http3.Server
	dispatcher    *dispatcher.Dispatcher
	drainer       *drainer.Drainer
	prober        *prober.Prober
	stopping      atomic.Bool
	goAwayStarted atomic.Bool
	stopped       chan struct{}
	stopOnce      sync.Once

	lock        sync.Mutex
	connections map[*quic.Conn]*connection
}

// NewAgent binds the tunnel address and creates the components of the agent.
// Connections are accepted once Run is called. It returns ErrUnknownTarget if the
// snapshot does not have the target.
func NewAgent(o Options) (*Agent, error) {
	if o.Streams <= 0 {
		o.Streams = DefaultStreams
	}
	if o.HeaderBytes <= 0 {
		o.HeaderBytes = DefaultHeaderBytes
	}
	if o.Linger <= 0 {
		o.Linger = DefaultLinger
	}
	target, ok := o.Snapshot().TargetByNumber(o.Target)
	if !ok {
		return nil, merry.Prependf(ErrUnknownTarget, "start agent of target %d", o.Target)
	}
	if !o.TunnelAddress.IsValid() {
		o.TunnelAddress = target.TunnelAddress()
	}
	a := &Agent{
		options: o, drainer: drainer.NewDrainer(), stopped: make(chan struct{}),
		connections: make(map[*quic.Conn]*connection),
	}
	d := dispatcher.Options{
		Target: o.Target, Incarnation: o.Incarnation, Service: target.Service(), Ring: o.Ring,
		Snapshot: o.Snapshot, BackendURL: o.BackendURL, IsDraining: a.stopping.Load,
		RecordOutcome: o.RecordOutcome, Logger: o.Logger,
	}
	if o.Messenger != nil {
		d.OpenStream = o.Messenger.Open
	}
	var err error
	if a.dispatcher, err = dispatcher.NewDispatcher(d); err != nil {
		return nil, merry.Prepend(err, "start agent")
	}
	a.prober, err = prober.NewProber(prober.Options{BaseURL: o.BackendURL, Report: a.dispatcher.ObserveHealth})
	if err != nil {
		return nil, merry.Prepend(err, "start agent")
	}
	if a.listener, err = listener.NewListener(listener.Options{
		Address: o.TunnelAddress, Target: o.Target, Incarnation: o.Incarnation, Service: target.Service(),
		Ring: o.Ring, Snapshot: o.Snapshot, MTU: o.MTU, Connections: int(target.Policy().Connections),
		HandshakeRate: o.HandshakeRate, Logger: o.Logger,
	}); err != nil {
		return nil, merry.Prepend(err, "start agent")
	}
	a.server = a.newServer()
	a.quic, err = a.listener.Listen(http3.ConfigureTLSConfig(o.TLS), &quic.Config{
		MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlivePeriod, MaxIncomingStreams: o.Streams, MaxIncomingUniStreams: 8,
		InitialStreamReceiveWindow: initialStreamWindow, MaxStreamReceiveWindow: maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow, MaxConnectionReceiveWindow: maxConnectionWindow,
	})
	if err != nil {
		_ = a.listener.Close()
		return nil, merry.Prepend(err, "start agent")
	}
	return a, nil
}

// TunnelAddress returns the bound tunnel address.
func (a *Agent) TunnelAddress() netip.AddrPort { return a.listener.Address() }

// Run serves callers until the context ends or Shutdown returns. It fails if the
// agent can no longer accept connections, so that the process is restarted.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if m := a.options.Messenger; m != nil {
		m.Handle(messenger.LaneShort, a.servePeer)
		m.Handle(messenger.LaneBulk, a.servePeer)
	}
	var wait sync.WaitGroup
	wait.Go(func() { _ = a.listener.Run(ctx) })
	wait.Go(func() { _ = a.dispatcher.Run(ctx) })
	wait.Go(func() { _ = a.prober.Run(ctx) })
	wait.Go(func() { a.watchTargetState(ctx) })
	failed := make(chan error, 1)
	wait.Go(func() {
		if err := a.accept(ctx, &wait); err != nil {
			failed <- err
		}
	})
	var failure error
	select {
	case <-ctx.Done():
	case <-a.stopped:
	case failure = <-failed:
		a.options.Logger.Error().Err(failure).Msg("failed to accept connections")
	}
	a.stopping.Store(true)
	cancel()
	a.dispatcher.Abort()
	a.closeConnections("agent stopped")
	wait.Wait()
	_ = a.quic.Close()
	if err := a.listener.Close(); err != nil {
		return errors.Join(failure, merry.Prepend(err, "stop agent"))
	}
	return failure
}

// ServeControl receives the digests of other agents. A process that handles
// other messages on its control lane calls ServeDigests instead.
func (a *Agent) ServeControl(_ context.Context, s *messenger.Stream) {
	if first, err := s.Receive(); err == nil {
		a.dispatcher.ServeDigests(s, first)
	}
}

// ServeDigests receives digests from a stream whose first message was already read.
func (a *Agent) ServeDigests(s *messenger.Stream, first *wirepb.Envelope) {
	a.dispatcher.ServeDigests(s, first)
}

func (a *Agent) servePeer(ctx context.Context, s *messenger.Stream) {
	task := a.drainer.Begin(ctx, "forwarded request")
	defer task.End()
	if task.Context().Err() != nil {
		return // the agent has stopped; a request started now would be cut off
	}
	a.dispatcher.ServePeer(task.Context(), s)
}

// Counters returns the number of datagrams by result.
func (a *Agent) Counters() map[string]uint64 { return a.listener.Counters() }

// InFlight returns the number of requests in flight.
func (a *Agent) InFlight() int { return a.drainer.InFlight() }
