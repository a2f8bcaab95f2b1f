package messenger

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// Stream is an ordered, flow-controlled stream of envelopes in both directions.
// One goroutine may send while another one receives.
type Stream struct {
	yamux    *yamux.Stream
	reader   *bufio.Reader
	limit    int
	lane     string
	onHello  func()
	sendLock sync.Mutex
	buffer   bytes.Buffer
	peerLock sync.Mutex
	peer     *wirepb.Hello
}

func newStream(y *yamux.Stream, lane string, limit int) *Stream {
	return &Stream{yamux: y, reader: bufio.NewReader(y), lane: lane, limit: limit}
}

// Lane returns the lane of the stream's session.
func (s *Stream) Lane() string { return s.lane }

// Peer returns the Hello of the peer. On an opened stream it is nil until the
// first Receive has returned.
func (s *Stream) Peer() *wirepb.Hello {
	s.peerLock.Lock()
	defer s.peerLock.Unlock()
	return s.peer
}

// Send writes one envelope. It blocks while the peer does not read, until the
// deadline. For an envelope above the size limit it returns ErrProtocol and
// sends nothing.
func (s *Stream) Send(envelope *wirepb.Envelope) error {
	s.sendLock.Lock()
	defer s.sendLock.Unlock()
	s.buffer.Reset()
	if err := EncodeEnvelope(&s.buffer, envelope, s.limit); err != nil {
		return err
	}
	if _, err := s.yamux.Write(s.buffer.Bytes()); err != nil {
		return merry.Prepend(err, "send envelope")
	}
	return nil
}

// Receive reads one envelope. It returns io.EOF after the peer has closed the
// stream between two envelopes, and ErrVersion when the peer's Hello states
// another protocol version.
func (s *Stream) Receive() (*wirepb.Envelope, error) {
	if s.Peer() == nil {
		if err := s.receiveHello(); err != nil {
			return nil, err
		}
	}
	return DecodeEnvelope(s.reader, s.limit)
}

func (s *Stream) receiveHello() error {
	envelope, err := DecodeEnvelope(s.reader, s.limit)
	if err != nil {
		return merry.Prepend(err, "receive hello")
	}
	hello := envelope.GetHello()
	if hello == nil {
		return merry.Prepend(ErrProtocol, "receive hello: another message came first")
	}
	if hello.GetProtocolVersion() != ProtocolVersion {
		return merry.Prependf(ErrVersion, "receive hello: peer %q has version %d, want %d",
			hello.GetProcess(), hello.GetProtocolVersion(), ProtocolVersion)
	}
	s.peerLock.Lock()
	s.peer = hello
	s.peerLock.Unlock()
	if s.onHello != nil {
		s.onHello()
	}
	return nil
}

func (s *Stream) sendHello(hello *wirepb.Hello) error {
	return s.Send(&wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: hello}})
}

// SetDeadline limits the time of Send and Receive. The zero time removes the
// limit.
func (s *Stream) SetDeadline(t time.Time) error { return s.yamux.SetDeadline(t) }

// SetReadDeadline limits the time of Receive.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.yamux.SetReadDeadline(t) }

// SetWriteDeadline limits the time of Send.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.yamux.SetWriteDeadline(t) }

// Close ends the stream in both directions. The peer still receives what was
// sent before.
func (s *Stream) Close() error { return s.yamux.Close() }

// EncodeEnvelope appends one envelope with its length prefix to a buffer. It
// returns ErrProtocol when the envelope is larger than limit bytes.
func EncodeEnvelope(buffer *bytes.Buffer, envelope *wirepb.Envelope, limit int) error {
	start := buffer.Len()
	n, err := protodelim.MarshalTo(buffer, envelope)
	if err != nil {
		return merry.Prepend(err, "encode envelope")
	}
	if n > limit {
		buffer.Truncate(start)
		return merry.Prependf(ErrProtocol, "encode envelope: %d bytes are above the limit of %d", n, limit)
	}
	return nil
}

// DecodeEnvelope reads one envelope with its length prefix. It returns io.EOF
// at the end of the input and ErrProtocol for a length above limit bytes, for
// bytes that are not an envelope and for an envelope without a known body.
func DecodeEnvelope(r *bufio.Reader, limit int) (*wirepb.Envelope, error) {
	var envelope wirepb.Envelope
	err := protodelim.UnmarshalOptions{MaxSize: int64(limit)}.UnmarshalFrom(r, &envelope)
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return nil, io.EOF
	case errors.As(err, &tooLarge):
		return nil, merry.Prependf(ErrProtocol, "decode envelope: %d bytes are above the limit of %d", tooLarge.Size, limit)
	case isTransportError(err):
		return nil, merry.Prepend(err, "receive envelope")
	case err != nil:
		return nil, merry.Prependf(ErrProtocol, "decode envelope: %v", err)
	case envelope.GetBody() == nil:
		return nil, merry.Prepend(ErrProtocol, "decode envelope: no known body")
	}
	return &envelope, nil
}

func isTransportError(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout) ||
		errors.Is(err, yamux.ErrTimeout) || errors.Is(err, yamux.ErrSessionShutdown) ||
		errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)
}
