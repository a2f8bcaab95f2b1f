package messenger

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"

	"kingcupvalve.example/kingcupvalve/internal/recoverer"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// acceptRetryDelay is the pause after a failed accept, so that a lasting lack of
// descriptors does not occupy a processor.
const acceptRetryDelay = 20 * time.Millisecond

var (
	sessionsAccepted = metrics.GetOrCreateCounter("kingcupvalve_messenger_sessions_accepted_total")
	sessionsRefused  = metrics.GetOrCreateCounter("kingcupvalve_messenger_sessions_refused_total")
	streamsRefused   = metrics.GetOrCreateCounter("kingcupvalve_messenger_streams_refused_total")
	acceptErrors     = metrics.GetOrCreateCounter("kingcupvalve_messenger_accept_errors_total")
	dialFailures     = metrics.GetOrCreateCounter("kingcupvalve_messenger_dial_failures_total")
)

// Handler serves one accepted stream. The stream is closed when it returns.
type Handler func(ctx context.Context, s *Stream)

// Messenger accepts and opens streams between processes. It is safe for
// concurrent use.
type Messenger struct {
	options       Options
	listener      net.Listener
	wait          sync.WaitGroup
	lock          sync.Mutex
	handlers      map[string]Handler
	links         map[linkKey]*link
	sessions      map[*yamux.Session]struct{}
	incomingCount int
	closed        bool
	streams       *recoverer.Recoverer
}

// NewMessenger listens on the address of the options. Connections are served
// once Run is called.
func NewMessenger(options Options) (*Messenger, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", options.Address.String())
	if err != nil {
		return nil, merry.Prepend(err, "listen for peers")
	}
	return &Messenger{
		options: options, listener: listener,
		handlers: make(map[string]Handler),
		links:    make(map[linkKey]*link),
		sessions: make(map[*yamux.Session]struct{}),
		streams:  recoverer.NewRecoverer(options.Logger, "stream"),
	}, nil
}

// Address returns the address that peers can dial.
func (m *Messenger) Address() netip.AddrPort {
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Handle sets the handler of a lane. Streams of a lane without a handler are
// closed.
func (m *Messenger) Handle(lane string, h func(ctx context.Context, s *Stream)) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.handlers[lane] = h
}

// Run serves peers until the context ends, then closes every session and waits
// for the handlers.
func (m *Messenger) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(closed)
		m.Close()
	})
	m.wait.Go(func() { m.expireLinks(ctx) })
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			// A connection that its peer has ended, or a lack of descriptors, does not
			// concern the streams that are open.
			acceptErrors.Inc()
			m.options.Logger.Warn().Err(err).Msg("failed to accept peer")
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		m.lock.Lock()
		admitted := !m.closed && m.incomingCount < m.options.MaxSessions
		if admitted {
			m.incomingCount++
			m.wait.Add(1)
		}
		m.lock.Unlock()
		if !admitted {
			sessionsRefused.Inc()
			conn.Close()
			continue
		}
		go func() {
			defer m.wait.Done()
			m.serveConn(ctx, conn)
			m.lock.Lock()
			m.incomingCount--
			m.lock.Unlock()
		}()
	}
	cancel()
	// Accept can fail before the socket is closed, and the address can be bound
	// again only afterwards.
	<-closed
	m.wait.Wait()
	return nil
}

// Close stops listening and ends every session. Open fails afterwards.
func (m *Messenger) Close() error {
	m.lock.Lock()
	m.closed = true
	sessions := m.sessions
	m.sessions = make(map[*yamux.Session]struct{})
	m.lock.Unlock()
	for s := range sessions {
		s.Close()
	}
	return m.listener.Close()
}

// Open opens a stream to the process at an address. An error for which
// errors.Is reports ErrUnreachable or ErrBackoff means that the peer accepted
// no data. The peer's Hello is read by the first Receive, so that opening
// takes no round trip on a live session. After Close it returns ErrClosed.
func (m *Messenger) Open(ctx context.Context, address netip.AddrPort, lane string) (*Stream, error) {
	l, session, err := m.session(ctx, linkKey{address: address, lane: lane})
	if err != nil {
		return nil, merry.Prependf(err, "open %s stream to %s", lane, address)
	}
	y, err := session.OpenStream()
	if err != nil {
		err = merry.Wrap(ErrUnreachable, merry.WithCause(err))
		return nil, merry.Prependf(err, "open %s stream to %s", lane, address)
	}
	s := newStream(y, lane, m.options.MaxMessageBytes)
	s.onHello = l.resetBackoff
	if err := s.sendHello(m.hello(lane)); err != nil {
		s.Close()
		err = merry.Wrap(ErrUnreachable, merry.WithCause(err))
		return nil, merry.Prependf(err, "open %s stream to %s", lane, address)
	}
	return s, nil
}

func (m *Messenger) hello(lane string) *wirepb.Hello {
	h := m.options.Hello()
	h.ProtocolVersion, h.Lane = ProtocolVersion, lane
	return h
}

func (m *Messenger) link(key linkKey) (*link, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.closed {
		return nil, ErrClosed
	}
	l := m.links[key]
	if l == nil {
		l = newLink()
		m.links[key] = l
	}
	return l, nil
}

// trackSession registers a session to be closed by Close. It returns false when
// the messenger is already closed.
func (m *Messenger) trackSession(s *yamux.Session) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.closed {
		return false
	}
	m.sessions[s] = struct{}{}
	return true
}

// expireLinks closes idle sessions and removes ended ones.
func (m *Messenger) expireLinks(ctx context.Context) {
	ticker := time.NewTicker(m.options.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.lock.Lock()
			for key, l := range m.links {
				if l.expire(now.Add(-m.options.IdleTimeout), now) {
					delete(m.links, key)
				}
			}
			for s := range m.sessions {
				if s.IsClosed() {
					delete(m.sessions, s)
				}
			}
			m.lock.Unlock()
		}
	}
}

func (m *Messenger) serveConn(ctx context.Context, raw net.Conn) {
	logger := m.options.Logger.With().Stringer("address", raw.RemoteAddr()).Logger()
	handshake, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := m.options.handshakeServer(handshake, raw)
	if err != nil {
		sessionsRefused.Inc()
		raw.Close()
		logger.Warn().Err(err).Msg("peer handshake failed")
		return
	}
	readTimeout := m.options.KeepaliveInterval + m.options.KeepaliveTimeout
	session, err := yamux.Server(newCoalescingConn(readTimeoutConn{Conn: conn, timeout: readTimeout}), m.options.yamuxConfig(false))
	if err != nil {
		raw.Close()
		logger.Error().Err(err).Msg("peer session failed to start")
		return
	}
	defer session.Close()
	if !m.trackSession(session) {
		return
	}
	sessionsAccepted.Inc()
	m.serveSession(ctx, session, logger)
}
