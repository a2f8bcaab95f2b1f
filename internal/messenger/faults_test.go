package messenger

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// TestFaultyPeers guards against peers that send invalid data, have a certificate
// of another authority or do not read: they must not reach a handler, end the
// session of other streams or block a sender past its deadline.
func TestFaultyPeers(t *testing.T) {
	cases := []struct {
		name  string
		bytes func() []byte
	}{
		{"another protocol version", func() []byte {
			var b bytes.Buffer
			hello := &wirepb.Hello{ProtocolVersion: ProtocolVersion + 1, Lane: LaneControl}
			_ = EncodeEnvelope(&b, &wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: hello}}, 1<<20)
			return b.Bytes()
		}},
		{"no hello first", func() []byte {
			var b bytes.Buffer
			_ = EncodeEnvelope(&b, head(1), 1<<20)
			return b.Bytes()
		}},
		{"an oversized frame", func() []byte { return []byte{0xff, 0xff, 0xff, 0xff, 0x7f} }},
		{"garbage", func() []byte { return bytes.Repeat([]byte{0x05, 0xff, 0x00, 0x99}, 64) }},
	}
	for _, c := range cases {
		t.Run(c.name+" ends the stream and leaves the session in use", func(t *testing.T) {
			is := is.New(t)
			a := newAuthority(t)
			server := start(t, a.config(t), nil)
			server.Handle(LaneControl, func(context.Context, *Stream) { t.Error("a faulty stream reached the handler") })
			session := rawSession(t, a.config(t), server.Address())
			for range 2 {
				y, err := session.OpenStream()
				is.NoErr(err)
				_, err = y.Write(c.bytes())
				is.NoErr(err)
				_, err = io.Copy(io.Discard, y) // returns when the server closes the stream
				is.NoErr(err)
			}
		})
	}
	t.Run("a certificate of another authority is refused on both sides", func(t *testing.T) {
		is := is.New(t)
		trusted := newAuthority(t)
		server := start(t, trusted.config(t), nil)
		server.Handle(LaneControl, echo)
		config := newAuthority(t).config(t)
		client := start(t, config, nil)
		_, err := client.Open(t.Context(), server.Address(), LaneControl)
		is.True(errors.Is(err, ErrUnreachable))
		// This client trusts the server, so the refusal must come from the server.
		config = config.Clone()
		config.RootCAs = trusted.config(t).RootCAs
		client = start(t, config, nil)
		_, err = client.Open(t.Context(), server.Address(), LaneControl)
		is.True(errors.Is(err, ErrUnreachable))
	})
	t.Run("a peer that does not read blocks the sender only until its deadline", func(t *testing.T) {
		is := is.New(t)
		a := newAuthority(t)
		server := start(t, a.config(t), nil)
		release := make(chan struct{})
		server.Handle(LaneBulk, func(context.Context, *Stream) { <-release })
		defer close(release)
		client := start(t, a.config(t), nil)
		s, err := client.Open(t.Context(), server.Address(), LaneBulk)
		is.NoErr(err)
		is.NoErr(s.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
		chunk := &wirepb.Envelope{Body: &wirepb.Envelope_BodyChunk{BodyChunk: &wirepb.BodyChunk{Data: make([]byte, 64<<10)}}}
		for err == nil {
			err = s.Send(chunk)
		}
		is.True(errors.Is(err, yamux.ErrTimeout))
	})
	t.Run("an envelope above the limit is not sent", func(t *testing.T) {
		is := is.New(t)
		var b bytes.Buffer
		err := EncodeEnvelope(&b, head(1<<40), 3)
		is.True(errors.Is(err, ErrProtocol))
		is.Equal(b.Len(), 0)
	})
}

// silentConn discards writes once silent is closed, like a host that is paused
// or partitioned without closing its connection.
type silentConn struct {
	net.Conn
	silent chan struct{}
}

func (c silentConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// TestSilentPeer guards against sessions that stay open, with streams that wait
// forever, after a peer is paused or partitioned without closing its connection.
func TestSilentPeer(t *testing.T) {
	t.Run("both sides end the session of a silent peer", func(t *testing.T) {
		is := is.New(t)
		a := newAuthority(t)
		server := start(t, a.config(t), nil)
		ended := make(chan error, 1)
		server.Handle(LaneControl, func(_ context.Context, s *Stream) {
			_, err := s.Receive()
			ended <- err
		})
		silent := make(chan struct{})
		client := start(t, a.config(t), func(o *Options) {
			o.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
				return silentConn{Conn: conn, silent: silent}, err
			}
		})
		s, err := client.Open(t.Context(), server.Address(), LaneControl)
		is.NoErr(err)
		begin := time.Now()
		close(silent)
		_, err = s.Receive()
		is.True(err != nil)
		t.Logf("dialing side noticed after %v", time.Since(begin))
		is.True(<-ended != nil)
		t.Logf("accepting side noticed after %v", time.Since(begin))
	})
}

// failingListener fails its first accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// TestAcceptErrors guards against a process that ends because a peer's connection
// was aborted before it was accepted, or because descriptors ran out for a moment.
func TestAcceptErrors(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	server := newMessenger(t, a.config(t), nil)
	server.listener = &failingListener{Listener: server.listener, failures: []error{syscall.ECONNABORTED, syscall.EMFILE}}
	run(t, server)
	server.Handle(LaneControl, echo)
	client := start(t, a.config(t), nil)
	stream, err := client.Open(t.Context(), server.Address(), LaneControl)
	is.NoErr(err)
	is.NoErr(stream.Send(head(1)))
	_, err = stream.Receive()
	is.NoErr(err)
}

// TestHandlerPanic guards against a process that one message of a peer ends.
func TestHandlerPanic(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	server := start(t, a.config(t), nil)
	server.Handle(LaneControl, func(ctx context.Context, s *Stream) {
		if e, err := s.Receive(); err == nil && e.GetHead().GetRevision() == 13 {
			panic("index out of range")
		}
		echo(ctx, s)
	})
	client := start(t, a.config(t), nil)
	for _, revision := range []uint64{13, 1} {
		stream, err := client.Open(t.Context(), server.Address(), LaneControl)
		is.NoErr(err)
		is.NoErr(stream.Send(head(revision)))
		is.NoErr(stream.Send(head(revision)))
		_, err = stream.Receive()
		is.Equal(err != nil, revision == 13)
	}
}
