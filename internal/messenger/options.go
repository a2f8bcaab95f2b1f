package messenger

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// ProtocolVersion is the version that both sides of a stream must state in
// their Hello.
const ProtocolVersion = 1

// Lanes of sessions between two processes.
const (
	LaneControl = "control"
	LaneShort   = "short"
	LaneBulk    = "bulk"
)

// Defaults of Options.
const (
	// DefaultMaxMessageBytes leaves room for a platform value of 1 MiB and its
	// envelope.
	DefaultMaxMessageBytes = 1<<20 + 64<<10
	// DefaultKeepaliveInterval and DefaultKeepaliveTimeout add up to the 2 s
	// after which the session of a silent peer ends. With an interval of 500 ms,
	// the pings of a process with 24 children in the watch tree would take
	// 12 KB/s. The interval is longer than the 1 s between two digests, which
	// make pings unnecessary.
	DefaultKeepaliveInterval = 1200 * time.Millisecond
	DefaultKeepaliveTimeout  = 800 * time.Millisecond
	// DefaultIdleTimeout closes sessions that the watch tree or the target
	// selection no longer uses.
	DefaultIdleTimeout = time.Minute
	// DefaultMaxStreams limits the memory that one peer can use.
	DefaultMaxStreams = 4096
	// DefaultMaxSessions limits the incoming connections. A process has at
	// most about 100 peers and 3 lanes.
	DefaultMaxSessions = 4096

	helloTimeout   = 2 * time.Second
	connectTimeout = 2 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Errors of the package. They are returned wrapped; compare with errors.Is.
var (
	// ErrBackoff reports that a recent attempt to reach the address failed. No
	// data was sent.
	ErrBackoff = merry.New("peer is in backoff")
	// ErrUnreachable reports that no session could be established. The peer
	// accepted no part of a message.
	ErrUnreachable = merry.New("peer is unreachable")
	// ErrVersion reports a peer with another protocol version.
	ErrVersion = merry.New("protocol version differs")
	// ErrProtocol reports a stream that violates the protocol.
	ErrProtocol = merry.New("protocol violation")
	// ErrClosed reports a messenger that has stopped.
	ErrClosed = merry.New("messenger is closed")
)

// Options configures a Messenger.
type Options struct {
	// Address is the TCP address to listen on. Port 0 lets the kernel choose.
	Address netip.AddrPort
	// TLS holds the process certificate and the authorities that peers are
	// checked against (RootCAs for both directions unless ClientCAs is set).
	// When ServerName is empty, a peer's certificate must name its IP address.
	TLS *tls.Config
	// IsPlain disables TLS, for fleets without keys on a network that no other
	// host can access. The TLS field is then ignored.
	IsPlain bool
	// Hello describes this process. Protocol version and lane are filled in.
	Hello func() *wirepb.Hello
	// Dial opens a TCP connection; nil uses the net package.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Jitter returns a number from [0, 1); nil uses math/rand/v2.
	Jitter func() float64
	// MaxMessageBytes is the maximum size of an envelope in bytes, sent or received.
	MaxMessageBytes int
	// KeepaliveInterval is the time between pings of the dialing side. In the
	// control lane it counts from the last byte sent.
	KeepaliveInterval time.Duration
	// KeepaliveTimeout is the time that a ping or a write of a session may take.
	KeepaliveTimeout time.Duration
	// IdleTimeout is the time without streams after which a dialed session closes.
	IdleTimeout time.Duration
	// MaxStreams is the maximum number of open streams on an incoming session.
	MaxStreams int
	// MaxSessions is the maximum number of incoming connections.
	MaxSessions int
	Logger      zerolog.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.TLS == nil && !o.IsPlain || o.Hello == nil {
		return o, merry.New("check messenger options: TLS and Hello are required")
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
		}
	}
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
	setDefault(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&o.KeepaliveInterval, DefaultKeepaliveInterval)
	setDefault(&o.KeepaliveTimeout, DefaultKeepaliveTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxStreams, DefaultMaxStreams)
	setDefault(&o.MaxSessions, DefaultMaxSessions)
	return o, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// handshakeServer returns an accepted connection once its peer is authenticated.
func (o Options) handshakeServer(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if o.IsPlain {
		return raw, nil
	}
	conn := tls.Server(raw, o.serverTLS())
	return conn, conn.HandshakeContext(ctx)
}

// handshakeClient returns a dialed connection once its peer is authenticated.
func (o Options) handshakeClient(ctx context.Context, raw net.Conn, address netip.AddrPort) (net.Conn, error) {
	if o.IsPlain {
		return raw, nil
	}
	conn := tls.Client(raw, o.clientTLS(address))
	return conn, conn.HandshakeContext(ctx)
}

func (o Options) serverTLS() *tls.Config {
	c := o.TLS.Clone()
	c.MinVersion = tls.VersionTLS13
	c.ClientAuth = tls.RequireAndVerifyClientCert
	if c.ClientCAs == nil {
		c.ClientCAs = c.RootCAs
	}
	return c
}

func (o Options) clientTLS(address netip.AddrPort) *tls.Config {
	c := o.TLS.Clone()
	c.MinVersion = tls.VersionTLS13
	if c.ServerName == "" {
		c.ServerName = address.Addr().String()
	}
	return c
}

// yamuxConfig returns the settings of a session. Only the dialing side sends
// pings: pings from both sides would double the bytes that they take.
func (o Options) yamuxConfig(pings bool) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = pings
	c.KeepAliveInterval = o.KeepaliveInterval
	c.ConnectionWriteTimeout = o.KeepaliveTimeout
	c.StreamOpenTimeout = 5 * time.Second
	c.StreamCloseTimeout = 30 * time.Second
	c.LogOutput = io.Discard
	return c
}
