package dispatcher

import (
	"context"
	"net/http"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/journaler"
	"kingcupvalve.example/kingcupvalve/picker"
)

// mintTimeout limits a request for a ticket to another agent.
const mintTimeout = time.Second

// issueTicket returns a new ticket, or an empty string if that fails. A draining
// agent requests it from another agent first, because the draining agent may exit
// before its own ticket is used, and the outcome of the request would then be
// unknown.
func (d *Dispatcher) issueTicket(ctx context.Context, authority string) string {
	d.lock.Lock()
	isDraining := d.isDraining()
	d.lock.Unlock()
	if isDraining && d.options.OpenStream != nil {
		if text := d.requestTicket(ctx, authority); text != "" {
			return text
		}
	}
	text, err := d.minter.Mint(time.Now())
	if err != nil {
		d.options.Logger.Error().Err(err).Msg("failed to issue ticket")
	}
	return text
}

// requestTicket obtains a ticket from the agent of another target. It returns an
// empty string if that fails or the ticket is not valid for the service.
func (d *Dispatcher) requestTicket(ctx context.Context, authority string) string {
	d.lock.Lock()
	choice, ok := d.picker.Pick(time.Now(), picker.Work{
		Kind: estimator.Short, Exclude: []uint32{d.options.Target},
	}, d.options.Random)
	d.lock.Unlock()
	t, known := d.options.Snapshot().TargetByNumber(choice.Target)
	if !ok || !known {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	stream, err := d.options.OpenStream(ctx, t.ControlAddress(), messenger.LaneShort)
	if err != nil {
		return ""
	}
	defer stream.Close()
	header := &wirepb.RequestHeader{
		Method: http.MethodPost, Path: "/", Authority: authority, Kind: estimator.Short.String(),
		Service: uint32(d.options.Service), Hops: 1, ToMinter: true,
		TimeoutMs: mintTimeout.Milliseconds(), RequestId: d.nextID(),
	}
	if stream.SetDeadline(time.Now().Add(mintTimeout)) != nil ||
		stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_RequestHeader{RequestHeader: header}}) != nil {
		return ""
	}
	envelope, err := stream.Receive()
	if err != nil {
		return ""
	}
	response := envelope.GetResponseHeader()
	if response.GetRequestId() != header.GetRequestId() {
		return ""
	}
	text := decodeHeader(response.GetHeaders()).Get(HeaderTicket)
	if ticket, err := d.minter.Parse(text); err != nil || ticket.Service() != d.options.Service {
		return ""
	}
	return text
}

// serveTicket sends a new ticket to another agent.
func (d *Dispatcher) serveTicket(stream *messenger.Stream, h *wirepb.RequestHeader) {
	text, err := d.minter.Mint(time.Now())
	if err != nil {
		return
	}
	_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ResponseHeader{ResponseHeader: &wirepb.ResponseHeader{
		Status: http.StatusPreconditionRequired, Outcome: journaler.NotRun.String(), RequestId: h.GetRequestId(),
		Headers: encodeHeader(http.Header{HeaderTicket: {text}}),
	}}})
}
