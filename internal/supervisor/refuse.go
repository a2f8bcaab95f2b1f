package supervisor

import (
	"context"

	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// refuseRequests makes the process refuse requests that peers forward to it until
// the role registers its own handlers for the lanes. The refusal tells the sender
// that the request was not run. Without it, the requests that peers forwarded to a
// restarting agent before it was serving ended with an unknown outcome.
func (s *Supervisor) refuseRequests() {
	s.messenger.Handle(messenger.LaneShort, sendRefusal)
	s.messenger.Handle(messenger.LaneBulk, sendRefusal)
}

func sendRefusal(_ context.Context, stream *messenger.Stream) {
	first, err := stream.Receive()
	if err != nil || first.GetRequestHeader() == nil {
		return
	}
	refusal := &wirepb.Refusal{Reason: "starting", RequestId: first.GetRequestHeader().GetRequestId()}
	_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_Refusal{Refusal: refusal}})
}
