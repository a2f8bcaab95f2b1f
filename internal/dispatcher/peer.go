package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/journaler"
)

// ServePeer handles a request that another agent of the service has forwarded.
func (d *Dispatcher) ServePeer(ctx context.Context, stream *messenger.Stream) {
	if stream.SetReadDeadline(time.Now().Add(headerTimeout)) != nil {
		return
	}
	envelope, err := stream.Receive()
	if err != nil || envelope.GetRequestHeader() == nil {
		return
	}
	header := envelope.GetRequestHeader()
	deadline := time.Now().Add(min(time.Duration(max(header.GetTimeoutMs(), 1))*time.Millisecond, maxRequestTimeout))
	if stream.SetDeadline(deadline.Add(responseGrace)) != nil {
		return
	}
	if reason := d.checkPeerRequest(header); reason != "" {
		r := notRun(reason, estimator.Refused)
		if header.GetToMinter() { // the ticket was not looked up in the journal
			r = unknown(reason, estimator.Refused)
		}
		d.finishPeerResponse(stream, header, &sink{}, r)
		return
	}
	if header.GetToMinter() && header.GetTicket() == "" {
		d.serveTicket(stream, header)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b, err := receiveBody(stream, header.GetRequestId(), cancel)
	if err != nil {
		return // an incomplete request is never executed
	}
	kind, _ := estimator.ParseKind(header.GetKind())
	j := &job{
		id: d.nextID(), runContext: ctx, method: header.GetMethod(), path: header.GetPath(),
		authority: header.GetAuthority(), header: filterHeader(decodeHeader(header.GetHeaders())), body: b,
		ticket: header.GetTicket(), kind: kind, idempotent: isIdempotent(header.GetMethod()),
		arrived: time.Now(), deadline: deadline, hops: header.GetHops(), maxQueueWait: time.Duration(max(header.GetMaxQueueWaitMs(), 0)) * time.Millisecond, caller: header.GetCaller(),
	}
	var stop context.CancelFunc
	j.waitContext, stop = context.WithDeadline(ctx, deadline)
	defer stop()
	s := newPeerSink(stream, header.GetRequestId())
	var r result
	if header.GetToMinter() {
		j.hops = 0 // the minter may forward it
		r = d.dispatchOnce(j, s)
	} else {
		r = d.dispatch(j, s)
	}
	d.finishPeerResponse(stream, header, s, r)
}

// checkPeerRequest returns the reason to refuse a forwarded request, or an empty
// string.
func (d *Dispatcher) checkPeerRequest(h *wirepb.RequestHeader) string {
	service := d.currentService()
	d.lock.Lock()
	isDraining := d.isDraining()
	d.lock.Unlock()
	switch {
	case h.GetService() != uint32(d.options.Service):
		return reasonService
	case !service.HasName(h.GetAuthority()):
		return reasonAuthority
	case h.GetHops() != 1:
		return reasonHops
	case h.GetKind() != estimator.Short.String() && h.GetKind() != estimator.Long.String():
		return reasonService
	// Only the minter knows the outcome of its tickets, so it serves these
	// requests even while draining.
	case isDraining && !h.GetToMinter():
		return reasonDraining
	case !isIdempotent(h.GetMethod()) && h.GetTicket() == "" && !h.GetToMinter():
		return reasonTicketNeeded
	}
	return ""
}

// receiveBody buffers a body up to its End message or until it exceeds
// MaxReplayableBodyBytes. It calls onFailure if the stream fails, if the body is
// invalid, or when the other agent closes the stream after End.
func receiveBody(stream *messenger.Stream, id uint64, onFailure func()) (*body, error) {
	source := &chunkReader{stream: stream, id: id, onFailure: onFailure}
	var prefix bytes.Buffer
	for prefix.Len() <= MaxReplayableBodyBytes {
		chunk, err := source.readChunk()
		if err == io.EOF {
			return &body{prefix: prefix.Bytes(), length: int64(prefix.Len())}, nil
		}
		if err != nil {
			return nil, err
		}
		prefix.Write(chunk)
	}
	return &body{prefix: prefix.Bytes(), remainder: source, length: -1}, nil
}

// chunkReader reads the body of a forwarded request.
type chunkReader struct {
	stream    *messenger.Stream
	id        uint64
	onFailure func()
	received  uint64
	unread    []byte
}

// readChunk returns the next chunk. It returns io.EOF after an End message that
// matches the body, and io.ErrUnexpectedEOF if the body is incomplete or invalid.
func (c *chunkReader) readChunk() ([]byte, error) {
	envelope, err := c.stream.Receive()
	if err != nil {
		c.onFailure()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	switch b := envelope.GetBody().(type) {
	case *wirepb.Envelope_BodyChunk:
		c.received += uint64(len(b.BodyChunk.GetData()))
		return b.BodyChunk.GetData(), nil
	case *wirepb.Envelope_End:
		if b.End.GetBodyBytes() == c.received && b.End.GetRequestId() == c.id {
			go c.watchClose()
			return nil, io.EOF
		}
	}
	c.onFailure()
	return nil, io.ErrUnexpectedEOF
}

// watchClose waits for the end of the stream and calls onFailure. The stream ends
// at the latest when ServePeer returns.
func (c *chunkReader) watchClose() {
	for {
		if _, err := c.stream.Receive(); err != nil {
			c.onFailure()
			return
		}
	}
}

// Read reads the part of the body that follows the buffered prefix.
func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		var err error
		if c.unread, err = c.readChunk(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// newPeerSink returns a sink that sends the response to another agent.
func newPeerSink(stream *messenger.Stream, id uint64) *sink {
	return &sink{
		sendHeader: func(status int, header http.Header) error {
			return stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ResponseHeader{ResponseHeader: &wirepb.ResponseHeader{
				Status: int32(status), Headers: encodeHeader(header), Outcome: journaler.Done.String(), RequestId: id,
			}}})
		},
		sendChunk: func(b []byte) error {
			return stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_BodyChunk{BodyChunk: &wirepb.BodyChunk{Data: b}}})
		},
	}
}

// finishPeerResponse completes the response to another agent. An incomplete
// response gets no End message, by which the other agent detects it.
func (d *Dispatcher) finishPeerResponse(stream *messenger.Stream, h *wirepb.RequestHeader, s *sink, r result) {
	countResult(r)
	if !s.started && r.replay != nil {
		if replay(r.replay, s) != nil {
			return
		}
	}
	switch {
	case s.started && r.outcome != journaler.Done:
	case s.started:
		d.lock.Lock()
		digest := d.encodeDigest(time.Now())
		d.lock.Unlock()
		end := &wirepb.End{BodyBytes: s.bodyBytes, Digest: digest, RequestId: h.GetRequestId()}
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_End{End: end}})
	case r.outcome == journaler.NotRun:
		sendRefusal(stream, h, r)
	default:
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ResponseHeader{ResponseHeader: &wirepb.ResponseHeader{
			Status: http.StatusGatewayTimeout, Outcome: r.outcome.String(), RequestId: h.GetRequestId(),
		}}})
	}
}

func sendRefusal(stream *messenger.Stream, h *wirepb.RequestHeader, r result) {
	_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_Refusal{Refusal: &wirepb.Refusal{
		Reason: r.reason, RetryAfterMs: r.retryAfter.Milliseconds(), RequestId: h.GetRequestId(),
	}}})
}
