package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// authority issues certificates for tests.
type authority struct{ *issuer.Authority }

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a, err := issuer.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return &authority{a}
}

func (a *authority) config(t *testing.T) *tls.Config {
	t.Helper()
	certificate, err := a.Issue()
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: a.Pool()}
}

func start(t *testing.T, config *tls.Config, change func(*Options)) *Messenger {
	t.Helper()
	m := newMessenger(t, config, change)
	run(t, m)
	return m
}

func newMessenger(t *testing.T, config *tls.Config, change func(*Options)) *Messenger {
	t.Helper()
	options := Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), TLS: config,
		Hello:  func() *wirepb.Hello { return &wirepb.Hello{Process: "test"} },
		Logger: zerolog.Nop(),
	}
	if change != nil {
		change(&options)
	}
	m, err := NewMessenger(options)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// run runs a messenger until the end of the test.
func run(t *testing.T, m *Messenger) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func echo(_ context.Context, s *Stream) {
	for {
		e, err := s.Receive()
		if err != nil || s.Send(e) != nil {
			return
		}
	}
}

func head(revision uint64) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Head{Head: &wirepb.Head{Revision: revision}}}
}

func assertEcho(t *testing.T, s *Stream, revision uint64) {
	t.Helper()
	is := is.New(t)
	is.NoErr(s.Send(head(revision)))
	e, err := s.Receive()
	is.NoErr(err)
	is.Equal(e.GetHead().GetRevision(), revision)
}

// rawSession dials a messenger with plain TLS and yamux, so that a test can send
// invalid data.
func rawSession(t *testing.T, config *tls.Config, address netip.AddrPort) *yamux.Session {
	t.Helper()
	c := config.Clone()
	c.ServerName = "127.0.0.1"
	conn, err := tls.Dial("tcp", address.String(), c)
	if err != nil {
		t.Fatal(err)
	}
	y := yamux.DefaultConfig()
	y.KeepAliveInterval, y.LogOutput = 100*time.Millisecond, io.Discard
	s, err := yamux.Client(conn, y)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// TestStreams guards against streams that dial a new connection each, share one
// with a bulk transfer, or stay unusable after a session has ended.
func TestStreams(t *testing.T) {
	t.Run("envelopes go both ways and streams of a lane share one connection", func(t *testing.T) {
		is := is.New(t)
		a := newAuthority(t)
		server := start(t, a.config(t), nil)
		server.Handle(LaneShort, echo)
		server.Handle(LaneBulk, echo)
		dials := 0
		client := start(t, a.config(t), func(o *Options) {
			o.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				dials++
				return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
			}
		})
		for i := range 5 {
			s, err := client.Open(t.Context(), server.Address(), LaneShort)
			is.NoErr(err)
			assertEcho(t, s, uint64(i))
			is.Equal(s.Peer().GetProcess(), "test")
		}
		is.Equal(dials, 1)
		s, err := client.Open(t.Context(), server.Address(), LaneBulk)
		is.NoErr(err)
		assertEcho(t, s, 9)
		is.Equal(dials, 2) // a bulk transfer must not delay the short lane
	})
	t.Run("a session that ended is dialed again", func(t *testing.T) {
		is := is.New(t)
		a := newAuthority(t)
		server := start(t, a.config(t), nil)
		server.Handle(LaneControl, echo)
		client := start(t, a.config(t), nil)
		s, err := client.Open(t.Context(), server.Address(), LaneControl)
		is.NoErr(err)
		assertEcho(t, s, 1)
		for session := range server.sessions {
			session.Close()
		}
		_, err = s.Receive()
		is.True(err != nil)
		s, err = client.Open(t.Context(), server.Address(), LaneControl)
		is.NoErr(err)
		assertEcho(t, s, 2)
	})
	t.Run("an unreachable peer fails at once until the backoff has passed", func(t *testing.T) {
		is := is.New(t)
		client := start(t, newAuthority(t).config(t), nil)
		free, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		address := free.Addr().(*net.TCPAddr).AddrPort()
		is.NoErr(free.Close())
		_, err = client.Open(t.Context(), address, LaneControl)
		is.True(errors.Is(err, ErrUnreachable))
		_, err = client.Open(t.Context(), address, LaneControl)
		is.True(errors.Is(err, ErrBackoff))
	})
}

// TestRun guards against an address that is still in use after Run has returned,
// which made an immediate restart of the process fail.
func TestRun(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("127.0.0.1:0")
	for range 200 {
		m, err := NewMessenger(Options{
			Address: address, IsPlain: true, Hello: func() *wirepb.Hello { return &wirepb.Hello{} }, Logger: zerolog.Nop(),
		})
		is.NoErr(err)
		address = m.Address()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		cancel()
		is.NoErr(<-done)
	}
}
