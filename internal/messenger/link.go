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

// link is the dialed session to one address in one lane, with its backoff.
type link struct {
	// dialing is held during an attempt, so that waiting callers share it.
	dialing   chan struct{}
	lock      sync.Mutex
	session   *yamux.Session
	failures  int
	notBefore time.Time
	lastUsed  time.Time
}

func newLink() *link {
	return &link{dialing: make(chan struct{}, 1)}
}

// live returns the session unless it has ended.
func (l *link) live(now time.Time) *yamux.Session {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.lastUsed = now
	if l.session == nil || l.session.IsClosed() {
		return nil
	}
	return l.session
}

// begin notes an attempt. Every attempt counts as failed until the peer has
// spoken, so that a peer which accepts and then drops connections is also
// subject to the backoff.
func (l *link) begin(now time.Time, jitter float64) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if now.Before(l.notBefore) {
		return ErrBackoff
	}
	delay := min(firstBackoff<<min(l.failures, 10), lastBackoff)
	l.failures++
	l.notBefore = now.Add(delay/2 + time.Duration(jitter*float64(delay)/2))
	return nil
}

func (l *link) proven() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.failures, l.notBefore = 0, time.Time{}
}

func (l *link) attach(s *yamux.Session) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.session = s
}

// expire closes a session that has had no stream since the given time and
// reports whether the link can be forgotten.
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
	return l.lastUsed.Before(before) && now.After(l.notBefore)
}

// session returns the live session of a link or dials one.
func (m *Messenger) session(ctx context.Context, key linkKey) (*link, *yamux.Session, error) {
	l, err := m.link(key)
	if err != nil {
		return nil, nil, err
	}
	if s := l.live(time.Now()); s != nil {
		return l, s, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, nil, merry.Prepend(ctx.Err(), "wait for session")
	}
	if s := l.live(time.Now()); s != nil {
		return l, s, nil
	}
	if err := l.begin(time.Now(), m.options.Jitter()); err != nil {
		return nil, nil, err
	}
	s, err := m.dial(ctx, key)
	if err != nil {
		dialFailures.Inc()
		return nil, nil, merry.Wrap(ErrUnreachable, merry.WithCause(err))
	}
	if !m.keepSession(s) {
		s.Close()
		return nil, nil, ErrClosed
	}
	l.attach(s)
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
	conn, err := m.options.secureClient(ctx, raw, key.address)
	if err != nil {
		raw.Close()
		return nil, merry.Prepend(err, "handshake with peer")
	}
	traffic := newTrafficConn(conn)
	isControl := key.lane == LaneControl
	session, err := yamux.Client(traffic, m.options.yamuxConfig(!isControl))
	if err != nil {
		raw.Close()
		return nil, merry.Prepend(err, "start session")
	}
	// In TLS 1.3 the peer rejects a certificate only after the handshake has
	// returned here; the ping makes that an error of this attempt.
	if _, err := session.Ping(); err != nil {
		session.Close()
		return nil, merry.Prepend(err, "ping peer")
	}
	if isControl {
		go m.keepAlive(session, traffic)
	}
	return session, nil
}

// deadlineConn ends the connection of an accepted session when the peer, which
// pings at the keepalive interval, stays silent.
type deadlineConn struct {
	net.Conn
	silence time.Duration
}

// Read reads with a fresh deadline.
func (c deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}
