package listener

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

// Defaults of Options.
const (
	DefaultMTU         = 1500
	DefaultConnections = 2000
	// DefaultHandshakeRate is about 30 times the rate of new flows per target at
	// the planned fleet size. Above it, callers validate their address first.
	DefaultHandshakeRate = 500
)

// ErrConnectionLimit reports a connection refused above Options.Connections.
var ErrConnectionLimit = merry.New("connection limit reached")

// Options configures a Listener.
type Options struct {
	// Address is the UDP address of the tunnel. Port 0 lets the kernel choose.
	Address     netip.AddrPort
	Target      uint32
	Incarnation uint64
	Service     uint16
	Ring        *deriver.KeyRing
	// Snapshot returns the current configuration.
	Snapshot func() *cataloger.Snapshot
	// MTU is the maximum size of an IP packet of the tunnel in bytes; 0 means
	// DefaultMTU.
	MTU int
	// Connections is the maximum number of open connections; 0 means
	// DefaultConnections.
	Connections int
	// HandshakeRate is the number of handshakes per second that may start
	// without a validated address; 0 means DefaultHandshakeRate. Above it,
	// callers get a Retry packet (RFC 9000, 8.1.2).
	HandshakeRate float64
	Logger        zerolog.Logger
}

// Listener owns the tunnel socket of an agent and its QUIC transport.
type Listener struct {
	options         Options
	codec           *tunneler.Codec
	decoder         *marker.Decoder
	udp             *net.UDPConn
	transport       *quic.Transport
	resetter        resetter
	balancers       balancerTable
	flows           flowTable
	cachedView      *snapshotView
	counters        counters
	connections     atomic.Int64
	draining        atomic.Bool
	divertsNewFlows atomic.Bool
	drainingChanged chan struct{}
}

// NewListener binds the tunnel address.
func NewListener(o Options) (*Listener, error) {
	if o.MTU <= 0 {
		o.MTU = DefaultMTU
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	if o.HandshakeRate <= 0 {
		o.HandshakeRate = DefaultHandshakeRate
	}
	codec, err := tunneler.NewCodec(o.Ring)
	if err != nil {
		return nil, merry.Prepend(err, "build listener")
	}
	marks, err := marker.NewMarker(o.Ring)
	if err != nil {
		return nil, merry.Prepend(err, "build listener")
	}
	resetKey, tokenKey, err := deriveKeys(o.Ring)
	if err != nil {
		return nil, merry.Prepend(err, "build listener")
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Address))
	if err != nil {
		return nil, merry.Prepend(err, "listen on tunnel address")
	}
	l := &Listener{options: o, codec: codec, decoder: marks.NewDecoder(), udp: udp, resetter: resetter{key: resetKey}, drainingChanged: make(chan struct{}, 1)}
	limiter := rate.NewLimiter(rate.Limit(o.HandshakeRate), int(2*o.HandshakeRate)+1)
	l.transport = &quic.Transport{
		Conn:                  newConn(l),
		ConnectionIDGenerator: newConnectionIDGenerator(marks, o),
		StatelessResetKey:     resetKey,
		TokenGeneratorKey:     tokenKey,
		VerifySourceAddress:   func(net.Addr) bool { return !limiter.Allow() },
		ConnContext:           l.admitConnection,
	}
	return l, nil
}

func deriveKeys(ring *deriver.KeyRing) (*quic.StatelessResetKey, *quic.TokenGeneratorKey, error) {
	reset, err := ring.Derive("stateless reset", 32)
	if err != nil {
		return nil, nil, err
	}
	token, err := ring.Derive("address validation token", 32)
	if err != nil {
		return nil, nil, err
	}
	resetKey, tokenKey := quic.StatelessResetKey(reset[0].Bytes()), quic.TokenGeneratorKey(token[0].Bytes())
	return &resetKey, &tokenKey, nil
}

// Address returns the bound tunnel address.
func (l *Listener) Address() netip.AddrPort { return l.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// Connections returns the number of open connections, including handshakes.
func (l *Listener) Connections() int { return int(l.connections.Load()) }

// Listen starts accepting connections. 0-RTT is never accepted, because early
// data can be replayed (RFC 8446, 8).
func (l *Listener) Listen(tlsConfig *tls.Config, config *quic.Config) (*quic.Listener, error) {
	config = config.Clone()
	config.Allow0RTT = false
	q, err := l.transport.Listen(tlsConfig, config)
	if err != nil {
		return nil, merry.Prepend(err, "listen for connections")
	}
	return q, nil
}

// admitConnection counts a connection until it ends, or refuses it at the limit.
func (l *Listener) admitConnection(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if l.connections.Add(1) > int64(l.options.Connections) {
		l.connections.Add(-1)
		return nil, ErrConnectionLimit
	}
	context.AfterFunc(ctx, func() { l.connections.Add(-1) })
	return ctx, nil
}

// SetDraining announces to balancers, from the next datagram on, whether the
// agent is stopping, and forwards new flows to other targets while it is.
// Balancers treat an agent as draining until it starts a new incarnation.
func (l *Listener) SetDraining(draining bool) {
	l.draining.Store(draining)
	select {
	case l.drainingChanged <- struct{}{}:
	default:
	}
}

// DivertNewFlows forwards new flows to other targets, or accepts them again. It
// is not announced to balancers, so that it can be undone.
func (l *Listener) DivertNewFlows(divert bool) { l.divertsNewFlows.Store(divert) }

// acceptsNewFlows reports whether the agent accepts new connections itself.
func (l *Listener) acceptsNewFlows(v *snapshotView) bool {
	return !l.draining.Load() && !l.divertsNewFlows.Load() && !v.leaving && l.Connections() < l.options.Connections
}

// Run probes candidate balancers until the context ends, as long as datagrams
// arrive from too few balancers. A change of the draining state is sent to all
// candidates.
func (l *Listener) Run(ctx context.Context) error {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		l.probe(l.balancers.selectProbes(l.probeCandidates(), turn, time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-l.drainingChanged:
			l.probe(l.probeCandidates())
		}
	}
}

// probeCandidates returns the live balancers that this agent may probe.
func (l *Listener) probeCandidates() []netip.AddrPort {
	var live []netip.AddrPort
	for _, h := range l.options.Snapshot().Balancers() {
		if h.State() == cataloger.HostLive && h.TunnelAddress().IsValid() {
			live = append(live, h.TunnelAddress())
		}
	}
	return probeCandidates(l.options.Target, live)
}

func (l *Listener) probe(balancers []netip.AddrPort) {
	for _, address := range balancers {
		l.sendLocal(address, tunneler.FlagProbe)
	}
}

func (l *Listener) sendLocal(to netip.AddrPort, flags tunneler.Flags) {
	var buffer [tunneler.MaxHeaderSize]byte
	b := l.codec.AppendHeader(buffer[:0], tunneler.Header{
		Service: l.options.Service, Revision: l.options.Snapshot().Revision(),
		Flags: flags | l.drainFlag(), Incarnation: l.options.Incarnation,
	})
	l.write(b, to)
}

func (l *Listener) drainFlag() tunneler.Flags {
	if l.draining.Load() {
		return tunneler.FlagDraining
	}
	return 0
}

// write sends a datagram of the tunnel. A datagram above the MTU is dropped, so
// that QUIC's path MTU discovery (RFC 8899) settles on a size that fits.
func (l *Listener) write(b []byte, to netip.AddrPort) bool {
	if tunneler.PacketSize(to.Addr(), len(b)) > l.options.MTU {
		l.counters.add(dropSize)
		return false
	}
	if _, err := l.udp.WriteToUDPAddrPort(b, to); err != nil {
		l.counters.add(dropWrite)
		return false
	}
	return true
}

// Close ends all connections without notifying callers and closes the socket.
func (l *Listener) Close() error {
	if err := l.transport.Close(); err != nil {
		l.udp.Close()
		return merry.Prepend(err, "close transport")
	}
	if err := l.udp.Close(); err != nil {
		return merry.Prepend(err, "close tunnel socket")
	}
	return nil
}
