package follower

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// itemsPerReply keeps a reply below the size limit of a message: a target takes
// about 100 bytes, and a configuration with 1,000 routes about 100 KB.
const itemsPerReply = 500

// FetchChanges fetches the changes after a position from the process at an
// address, or all items if that process does not know every removal since. It
// observes the deadline of the context, and fails with
// messenger.ErrProtocol if the process sends anything but table replies.
func FetchChanges(ctx context.Context, m *messenger.Messenger, address netip.AddrPort, after router.Position) (Batch, error) {
	var batch Batch
	stream, err := m.Open(ctx, address, messenger.LaneControl)
	if err != nil {
		return batch, merry.Prepend(err, "fetch table")
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return batch, merry.Prepend(err, "fetch table")
		}
	}
	request := &wirepb.TableRequest{AfterEpoch: after.Epoch, AfterRevision: after.Revision}
	if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_TableRequest{TableRequest: request}}); err != nil {
		return batch, merry.Prepend(err, "fetch table")
	}
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return Batch{}, merry.Prepend(err, "fetch table")
		}
		reply := envelope.GetTableReply()
		if reply == nil {
			return Batch{}, merry.Prepend(messenger.ErrProtocol, "fetch table: message is not a table reply")
		}
		for _, item := range reply.GetItems() {
			batch.Changes = append(batch.Changes, decodeItem(item))
		}
		if !reply.GetMore() {
			batch.Position = router.Position{Epoch: reply.GetEpoch(), Revision: reply.GetRevision()}
			batch.IsSnapshot = reply.GetIsSnapshot()
			batch.ConfirmedAt = time.Now().Add(-time.Duration(reply.GetConfirmedAgeMs()) * time.Millisecond)
			return batch, nil
		}
	}
}

// ServeTableRequests answers the table requests of one stream until the stream
// ends.
func (f *Follower) ServeTableRequests(ctx context.Context, stream *messenger.Stream) {
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return
		}
		request := envelope.GetTableRequest()
		if request == nil {
			return
		}
		batch, ok := f.Changes(ctx, router.Position{Epoch: request.GetAfterEpoch(), Revision: request.GetAfterRevision()})
		if !ok {
			return
		}
		if err := sendBatch(stream, batch); err != nil {
			f.options.Logger.Warn().Err(err).Msg("failed to send routing table")
			return
		}
	}
}

func sendBatch(stream *messenger.Stream, batch Batch) error {
	changes := batch.Changes
	for {
		n := min(len(changes), itemsPerReply)
		reply := &wirepb.TableReply{
			Epoch: batch.Epoch, Revision: batch.Revision, IsSnapshot: batch.IsSnapshot, More: n < len(changes),
			ConfirmedAgeMs: uint32(max(0, time.Since(batch.ConfirmedAt).Milliseconds())),
		}
		for _, c := range changes[:n] {
			reply.Items = append(reply.Items, encodeItem(c))
		}
		if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_TableReply{TableReply: reply}}); err != nil {
			return err
		}
		if changes = changes[n:]; len(changes) == 0 {
			return nil
		}
	}
}

func encodeItem(c registrar.Change) *wirepb.TableItem {
	item := &wirepb.TableItem{
		Key: c.Key, Epoch: c.Epoch, Revision: c.Revision, StampStartedMs: c.Stamp.StartedMs, StampNumber: c.Stamp.Number,
	}
	if c.Config != nil {
		item.Config = &wirepb.RoutingConfig{
			Version: c.Config.Version, IdleTimeoutMs: uint32(c.Config.IdleTimeout.Milliseconds()), Services: c.Config.Services,
		}
		for _, r := range c.Config.Routes {
			entry := &wirepb.RouteEntry{Address: r.Address.String(), Name: r.Name}
			for _, s := range r.Shares {
				entry.Shares = append(entry.Shares, &wirepb.RouteShare{Service: s.Service, Weight: s.Weight})
			}
			item.Config.Routes = append(item.Config.Routes, entry)
		}
	}
	if t := c.Target; t != nil {
		item.Target = &wirepb.TargetEntry{
			Id: t.ID, Service: t.Service, Address: t.Address.String(), Draining: t.State == router.Draining,
			Slots: uint32(t.Slots), AvailabilityZone: t.Zone,
		}
	}
	return item
}

// decodeItem converts an item to a change. A target or a route whose address
// doesn't parse is left out, like an unreadable item of the platform.
func decodeItem(item *wirepb.TableItem) registrar.Change {
	change := registrar.Change{
		Key: item.GetKey(), Position: router.Position{Epoch: item.GetEpoch(), Revision: item.GetRevision()},
		Stamp: registrar.Stamp{StartedMs: item.GetStampStartedMs(), Number: item.GetStampNumber()},
	}
	if c := item.GetConfig(); c != nil {
		change.Config = &router.Config{
			Version: c.GetVersion(), IdleTimeout: time.Duration(c.GetIdleTimeoutMs()) * time.Millisecond, Services: c.GetServices(),
		}
		for _, r := range c.GetRoutes() {
			address, err := router.ParseAddress(r.GetAddress())
			if err != nil {
				continue
			}
			route := router.Route{Name: r.GetName(), Address: address}
			for _, s := range r.GetShares() {
				route.Shares = append(route.Shares, router.Share{Service: s.GetService(), Weight: s.GetWeight()})
			}
			change.Config.Routes = append(change.Config.Routes, route)
		}
	}
	if t := item.GetTarget(); t != nil {
		address, err := router.ParseAddress(t.GetAddress())
		if err != nil {
			return change
		}
		change.Target = &router.Target{
			ID: t.GetId(), Service: t.GetService(), Zone: t.GetAvailabilityZone(), Address: address, Slots: int(t.GetSlots()),
			Position: change.Position,
		}
		if t.GetDraining() {
			change.Target.State = router.Draining
		}
	}
	return change
}
