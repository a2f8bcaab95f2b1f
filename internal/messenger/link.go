package messenger

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"
)

type linkKey struct {
	address netip.AddrPort
	lane    string
}

// link holds the outgoing session to one address and lane, and its backoff.
type link struct {
	// dialing is held during a connection attempt; callers that wait for it share
	// the new session.
	dialing     chan struct{}
	lock        sync.Mutex
	session     *yamux.Session
	failures    int
	nextAttempt time.Time
	lastUsed    time.Time
}

func newLink() *link {
	return &link{dialing: make(chan struct{}, 1)}
}

// liveSession returns the session, or nil if there is none or it has ended.
func (l *link) liveSession(now time.Time) *yamux.Session {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.lastUsed = now
	if l.session == nil || l.session.IsClosed() {
		return nil
	}
	return l.session
}

// startAttempt starts the backoff of a connection attempt. Every attempt counts
// as failed until the peer's Hello arrives, so that a peer which accepts and
// then drops connections is also subject to the backoff.
func (l *link) startAttempt(now time.Time, jitter float64) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if now.Before(l.nextAttempt) {
		return ErrBackoff
	}
	delay := min(initialBackoff<<min(l.failures, 10), maxBackoff)
	l.failures++
	l.nextAttempt = now.Add(delay/2 + time.Duration(jitter*float64(delay)/2))
	return nil
}

func (l *link) resetBackoff() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.failures, l.nextAttempt = 0, time.Time{}
}

func (l *link) setSession(s *yamux.Session) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.session = s
}

// expire closes a session that has had no stream since the given time and
// reports whether the link can be removed.
func (l *link) expire(before, now time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.session != nil && !l.session.IsClosed() {
		if l.session.NumStreams() > 0 {
			l.lastUsed = now
		}
		if l.lastUsed.After(before) {
			return false
		}
		l.session.Close()
	}
	return l.lastUsed.Before(before) && now.After(l.nextAttempt)
}

// session returns the live session of a link or dials one.
func (m *Messenger) session(ctx context.Context, key linkKey) (*link, *yamux.Session, error) {
	l, err := m.link(key)
	if err != nil {
		return nil, nil, err
	}
	if s := l.liveSession(time.Now()); s != nil {
		return l, s, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, nil, merry.Prepend(ctx.Err(), "wait for session")
	}
	if s := l.liveSession(time.Now()); s != nil {
		return l, s, nil
	}
	if err := l.startAttempt(time.Now(), m.options.Jitter()); err != nil {
		return nil, nil, err
	}
	s, err := m.dial(ctx, key)
	if err != nil {
		dialFailures.Inc()
		return nil, nil, merry.Wrap(ErrUnreachable, merry.WithCause(err))
	}
	if !m.trackSession(s) {
		s.Close()
		return nil, nil, ErrClosed
	}
	l.setSession(s)
	m.options.Logger.Debug().Stringer("address", key.address).Str("lane", key.lane).Msg("peer session opened")
	return l, s, nil
}

func (m *Messenger) dial(ctx context.Context, key linkKey) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := m.options.Dial(ctx, key.address)
	if err != nil {
		return nil, merry.Prepend(err, "dial peer")
	}
	conn, err := m.options.handshakeClient(ctx, raw, key.address)
	if err != nil {
		raw.Close()
		return nil, merry.Prepend(err, "handshake with peer")
	}
	traffic := newCoalescingConn(conn)
	isControl := key.lane == LaneControl
	session, err := yamux.Client(traffic, m.options.yamuxConfig(!isControl))
	if err != nil {
		raw.Close()
		return nil, merry.Prepend(err, "start session")
	}
	// In TLS 1.3 the server rejects a client certificate only after the client's
	// handshake has returned; the ping makes that an error of this attempt.
	if _, err := session.Ping(); err != nil {
		session.Close()
		return nil, merry.Prepend(err, "ping peer")
	}
	if isControl {
		go m.keepAlive(session, traffic)
	}
	return session, nil
}

// readTimeoutConn fails reads on an accepted connection when the peer, which
// pings at the keepalive interval, is silent for the timeout.
type readTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read sets a new deadline before each read.
func (c readTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}
