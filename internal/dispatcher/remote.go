package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/journaler"
)

// runRemote forwards a request to the agent of another target of the service and
// records the result.
func (d *Dispatcher) runRemote(j *job, target uint32, s *sink) result {
	started := time.Now()
	r := d.forward(j, target, s, &wirepb.RequestHeader{Hops: j.hops + 1})
	now := time.Now()
	r.duration = now.Sub(started)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.recordAttempt(target, j, r, now)
	return r
}

// forward sends a request to another agent and copies its response to the sink.
// The given header has the fields that depend on the purpose of the request; the
// others are filled in from the job.
func (d *Dispatcher) forward(j *job, target uint32, s *sink, header *wirepb.RequestHeader) result {
	t, ok := d.options.Snapshot().TargetByNumber(target)
	if !ok || t.Service() != d.options.Service || d.options.OpenStream == nil {
		return notRun(reasonUnreachable, estimator.Failed)
	}
	ctx, cancel := context.WithDeadline(j.runContext, j.deadline)
	defer cancel()
	lane := messenger.LaneShort
	if j.kind == estimator.Long {
		lane = messenger.LaneBulk
	}
	stream, err := d.options.OpenStream(ctx, t.ControlAddress(), lane)
	if err != nil { // no byte was sent
		return notRun(reasonUnreachable, classifyFailure(ctx))
	}
	defer stream.Close()
	if err := stream.SetDeadline(j.deadline.Add(responseGrace)); err != nil {
		return notRun(reasonUnreachable, estimator.Failed)
	}
	// Closing the stream tells the other agent that the request is cancelled.
	stop := context.AfterFunc(j.runContext, func() { _ = stream.Close() })
	defer stop()
	d.fillRequestHeader(j, header)
	if sent, err := sendRequest(stream, j, header); err != nil {
		if !sent {
			return notRun(reasonUnreachable, classifyFailure(ctx))
		}
		return unknown(failureReason(ctx), classifyFailure(ctx))
	}
	r := d.receiveResponse(stream, s, header.GetRequestId())
	if r.reason == reasonFailed && ctx.Err() != nil {
		r.reason, r.targetResult = failureReason(ctx), classifyFailure(ctx)
	}
	return r
}

// fillRequestHeader fills in the header of a forwarded request from its job.
func (d *Dispatcher) fillRequestHeader(j *job, h *wirepb.RequestHeader) {
	h.Method, h.Path, h.Authority, h.Headers = j.method, j.path, j.authority, encodeHeader(j.header)
	h.Ticket, h.Kind, h.Service, h.Caller = j.ticket, j.kind.String(), uint32(d.options.Service), j.caller
	h.TimeoutMs = max(time.Until(j.deadline).Milliseconds(), 1)
	h.MaxQueueWaitMs = j.maxQueueWait.Milliseconds()
	h.RequestId = d.nextID()
}

// sendRequest sends a request to another agent. It returns false if the request
// cannot have been executed: the other agent does not start it before it has
// received the End message or more than MaxReplayableBodyBytes of the body.
func sendRequest(stream *messenger.Stream, j *job, header *wirepb.RequestHeader) (sent bool, err error) {
	if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_RequestHeader{RequestHeader: header}}); err != nil {
		return false, err
	}
	total, err := sendBody(stream, j.body.reader())
	if err != nil {
		return total > MaxReplayableBodyBytes, err
	}
	end := &wirepb.End{BodyBytes: total, RequestId: header.GetRequestId()}
	return true, stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_End{End: end}})
}

func sendBody(stream *messenger.Stream, r io.Reader) (uint64, error) {
	buffer := make([]byte, copyBufferBytes)
	total := uint64(0)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			total += uint64(n)
			chunk := &wirepb.BodyChunk{Data: buffer[:n]}
			if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_BodyChunk{BodyChunk: chunk}}); err != nil {
				return total, err
			}
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// receiveResponse copies the response of another agent to the sink. A response
// without a matching End message is truncated; one with another request ID
// belongs to another request and is discarded.
func (d *Dispatcher) receiveResponse(stream *messenger.Stream, s *sink, id uint64) result {
	var header *wirepb.ResponseHeader
	received := uint64(0)
	for {
		envelope, err := stream.Receive()
		if err != nil {
			if header != nil {
				truncatedTotal.Inc()
				return unknown(reasonTruncated, estimator.Failed)
			}
			return unknown(reasonFailed, estimator.Failed)
		}
		switch b := envelope.GetBody().(type) {
		case *wirepb.Envelope_Refusal:
			if header != nil || b.Refusal.GetRequestId() != id {
				return rejectSwapped()
			}
			r := notRun(b.Refusal.GetReason(), estimator.Refused)
			r.retryAfter = time.Duration(b.Refusal.GetRetryAfterMs()) * time.Millisecond
			return r
		case *wirepb.Envelope_ResponseHeader:
			if header != nil || b.ResponseHeader.GetRequestId() != id {
				return rejectSwapped()
			}
			header = b.ResponseHeader
			if header.GetOutcome() != journaler.Done.String() {
				return unknown(reasonFailed, estimator.Failed)
			}
			if err := s.writeHeader(int(header.GetStatus()), filterHeader(decodeHeader(header.GetHeaders()))); err != nil {
				return unknown(reasonCancelled, estimator.Cancelled)
			}
		case *wirepb.Envelope_BodyChunk:
			if header == nil {
				return rejectSwapped()
			}
			received += uint64(len(b.BodyChunk.GetData()))
			if err := s.write(b.BodyChunk.GetData()); err != nil {
				return unknown(reasonCancelled, estimator.Cancelled)
			}
			if err := s.flushNow(); err != nil {
				return unknown(reasonCancelled, estimator.Cancelled)
			}
		case *wirepb.Envelope_End:
			if header == nil || b.End.GetRequestId() != id {
				return rejectSwapped()
			}
			if b.End.GetBodyBytes() != received {
				truncatedTotal.Inc()
				return unknown(reasonTruncated, estimator.Failed)
			}
			d.observeDigest(b.End.GetDigest())
			return done(int(header.GetStatus()))
		default:
			return rejectSwapped()
		}
	}
}

// rejectSwapped counts a response that belongs to another request, or that
// violates the protocol, and returns its result.
func rejectSwapped() result {
	swappedTotal.Inc()
	return unknown(reasonSwapped, estimator.Failed)
}

func encodeHeader(h http.Header) []*wirepb.Header {
	fields := make([]*wirepb.Header, 0, len(h))
	for name, values := range h {
		fields = append(fields, &wirepb.Header{Name: name, Values: values})
	}
	return fields
}

func decodeHeader(fields []*wirepb.Header) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.GetName())
		h[name] = append(h[name], f.GetValues()...)
	}
	return h
}
