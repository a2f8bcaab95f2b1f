package follower

import (
	"context"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// replyBytes is the size from which on a reply takes no further item. The largest
// item is a configuration of the size of a platform value, so a reply stays below
// messenger.DefaultMaxMessageBytes.
const replyBytes = 32 << 10

// FetchChanges fetches the changes after a position from the process at an
// address, or all items if that process does not know every removal since. It
// observes the deadline of the context, and fails with
// messenger.ErrProtocol if the process sends anything but table replies.
func FetchChanges(ctx context.Context, m *messenger.Messenger, address netip.AddrPort, after router.Position) (Batch, error) {
	batch, err := fetch(ctx, m, address, &wirepb.TableRequest{AfterEpoch: after.Epoch, AfterRevision: after.Revision})
	return batch, merry.Prepend(err, "fetch table")
}

// FetchDepartures fetches the targets that the process at an address knows and that
// a table which is complete up to a position may lack. Deadline and errors are those
// of FetchChanges.
func FetchDepartures(ctx context.Context, m *messenger.Messenger, address netip.AddrPort, known router.Position) (Batch, error) {
	batch, err := fetch(ctx, m, address, &wirepb.TableRequest{DeparturesOnly: true, AfterEpoch: known.Epoch, AfterRevision: known.Revision})
	return batch, merry.Prepend(err, "fetch departures")
}

func fetch(ctx context.Context, m *messenger.Messenger, address netip.AddrPort, request *wirepb.TableRequest) (Batch, error) {
	var batch Batch
	stream, err := m.Open(ctx, address, messenger.LaneControl)
	if err != nil {
		return batch, err
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return batch, err
		}
	}
	if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_TableRequest{TableRequest: request}}); err != nil {
		return batch, err
	}
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return Batch{}, err
		}
		reply := envelope.GetTableReply()
		if reply == nil {
			return Batch{}, merry.Prepend(messenger.ErrProtocol, "message is not a table reply")
		}
		for _, item := range reply.GetItems() {
			batch.Changes = append(batch.Changes, decodeItem(item, time.Now()))
		}
		for _, entry := range reply.GetRouteHistory() {
			decodeHistory(entry, &batch, time.Now())
		}
		if !reply.GetMore() {
			batch.Position = router.Position{Epoch: reply.GetEpoch(), Revision: reply.GetRevision()}
			batch.IsSnapshot, batch.KnowsDepartures = reply.GetIsSnapshot(), reply.GetKnowsDepartures()
			batch.KnowsRouteHistory = reply.GetKnowsRouteHistory()
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
		batch, ok := f.answer(ctx, request)
		if !ok {
			return
		}
		if err := sendBatch(stream, batch); err != nil {
			f.options.Logger.Warn().Err(err).Msg("failed to send routing table")
			return
		}
	}
}

func (f *Follower) answer(ctx context.Context, request *wirepb.TableRequest) (Batch, bool) {
	after := router.Position{Epoch: request.GetAfterEpoch(), Revision: request.GetAfterRevision()}
	if request.GetDeparturesOnly() {
		return f.Departures(ctx, after)
	}
	return f.Changes(ctx, after)
}

func sendBatch(stream *messenger.Stream, batch Batch) error {
	changes, now := batch.Changes, time.Now()
	history := encodeHistory(batch.History, now)
	for {
		reply := &wirepb.TableReply{
			Epoch: batch.Epoch, Revision: batch.Revision, IsSnapshot: batch.IsSnapshot,
			ConfirmedAgeMs: encodeAge(batch.ConfirmedAt, now), KnowsDepartures: batch.KnowsDepartures,
			KnowsRouteHistory: batch.KnowsRouteHistory,
		}
		size := 0
		for ; len(history) > 0 && size < replyBytes; history = history[1:] {
			reply.RouteHistory = append(reply.RouteHistory, history[0])
			size += proto.Size(history[0])
		}
		for ; len(changes) > 0 && size < replyBytes; changes = changes[1:] {
			item := encodeItem(changes[0], now)
			reply.Items = append(reply.Items, item)
			size += proto.Size(item)
		}
		reply.More = len(changes)+len(history) > 0
		if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_TableReply{TableReply: reply}}); err != nil {
			return err
		}
		if !reply.More {
			return nil
		}
	}
}

// encodeAge returns the time from then to now in ms, or 0 if then is later.
func encodeAge(then, now time.Time) uint32 {
	return uint32(min(max(0, now.Sub(then).Milliseconds()), math.MaxUint32))
}

func encodeItem(c registrar.Change, now time.Time) *wirepb.TableItem {
	item := &wirepb.TableItem{
		Key: c.Key, Epoch: c.Epoch, Revision: c.Revision, StampStartedMs: c.Stamp.StartedMs, StampNumber: c.Stamp.Number,
		Problem: c.Problem,
	}
	if c.Config != nil {
		item.Config = &wirepb.RoutingConfig{
			Version: c.Config.Version, IdleTimeoutMs: uint32(c.Config.IdleTimeout.Milliseconds()), Services: c.Config.Services,
		}
		for _, r := range c.Config.Routes {
			entry := &wirepb.RouteEntry{
				Address: r.Address.String(), Name: r.Name, HasPriority: r.HasPriority, Priority: uint32(r.Priority),
				LatencyTargetMs: uint32(r.LatencyTarget.Milliseconds()), DeadlineMs: uint32(r.Deadline.Milliseconds()), Idempotent: r.IsIdempotent,
			}
			for _, s := range r.Shares {
				entry.Shares = append(entry.Shares, &wirepb.RouteShare{Service: s.Service, Weight: s.Weight})
			}
			item.Config.Routes = append(item.Config.Routes, entry)
		}
		for _, service := range slices.Sorted(maps.Keys(c.Config.ColdLimits)) {
			limit := c.Config.ColdLimits[service]
			item.Config.ColdLimits = append(item.Config.ColdLimits, &wirepb.ColdLimit{
				Service: service, PeriodMs: uint32(limit.Period.Milliseconds()), Rate: limit.Rate,
			})
		}
	}
	if c.Evacuation != nil {
		item.Evacuation = &wirepb.Evacuation{AvailabilityZone: c.Evacuation.Zone}
	}
	item.IsEvacuation, item.IsEvent = c.IsEvacuation, c.IsEvent
	item.CarriedEpoch, item.CarriedRevision, item.CarriedListed = c.Carried.Epoch, c.Carried.Revision, c.Carried.IsListed
	if c.Target != nil {
		item.Target = encodeTarget(c.Target)
	}
	if d := c.Departure; d != nil {
		item.Departure = &wirepb.Departure{
			Target: encodeTarget(&d.Target), Epoch: d.Target.Epoch, Revision: d.Target.Revision,
			RemovedAgeMs: encodeAge(d.RemovedAt, now), UsedAgeMs: encodeAge(d.UsedAt, now),
		}
	}
	return item
}

func encodeTarget(t *router.Target) *wirepb.TargetEntry {
	return &wirepb.TargetEntry{
		Id: t.ID, Service: t.Service, Address: t.Address.String(), Draining: t.State == router.Draining,
		Slots: uint32(t.Slots), AvailabilityZone: t.Zone, ColdMs: uint32(t.ColdFor.Milliseconds()),
	}
}

// decodeItem converts an item that arrives now to a change. A target or a route
// whose address doesn't parse is left out, like an unreadable item of the platform.
func decodeItem(item *wirepb.TableItem, now time.Time) registrar.Change {
	change := registrar.Change{
		Key: item.GetKey(), Position: router.Position{Epoch: item.GetEpoch(), Revision: item.GetRevision()},
		Stamp:   registrar.Stamp{StartedMs: item.GetStampStartedMs(), Number: item.GetStampNumber()},
		Problem: item.GetProblem(),
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
			route := router.Route{
				Name: r.GetName(), Address: address, HasPriority: r.GetHasPriority(), Priority: int(r.GetPriority()),
				LatencyTarget: time.Duration(r.GetLatencyTargetMs()) * time.Millisecond, Deadline: time.Duration(r.GetDeadlineMs()) * time.Millisecond,
				IsIdempotent: r.GetIdempotent(),
			}
			for _, s := range r.GetShares() {
				route.Shares = append(route.Shares, router.Share{Service: s.GetService(), Weight: s.GetWeight()})
			}
			change.Config.Routes = append(change.Config.Routes, route)
		}
		for _, limit := range c.GetColdLimits() {
			if change.Config.ColdLimits == nil {
				change.Config.ColdLimits = make(map[string]router.ColdLimit)
			}
			change.Config.ColdLimits[limit.GetService()] = router.ColdLimit{
				Period: time.Duration(limit.GetPeriodMs()) * time.Millisecond, Rate: limit.GetRate(),
			}
		}
	}
	if zone := item.GetEvacuation().GetAvailabilityZone(); zone != "" {
		change.Evacuation = &registrar.Evacuation{Zone: zone}
	}
	change.IsEvacuation, change.IsEvent = item.GetIsEvacuation() || change.Evacuation != nil, item.GetIsEvent()
	change.Carried = registrar.Carry{
		Position: router.Position{Epoch: item.GetCarriedEpoch(), Revision: item.GetCarriedRevision()}, IsListed: item.GetCarriedListed(),
	}
	change.Target = decodeTarget(item.GetTarget(), change.Position)
	if d := item.GetDeparture(); d != nil && change.IsGone() {
		if t := decodeTarget(d.GetTarget(), router.Position{Epoch: d.GetEpoch(), Revision: d.GetRevision()}); t != nil {
			change.Departure = &registrar.Departure{
				Target: *t, RemovedAt: decodeAge(d.GetRemovedAgeMs(), now), UsedAt: decodeAge(d.GetUsedAgeMs(), now),
			}
		}
	}
	return change
}

func decodeAge(ms uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// decodeTarget returns the target of an entry with the position of its last change,
// or nil if there is no entry or its address doesn't parse.
func decodeTarget(t *wirepb.TargetEntry, position router.Position) *router.Target {
	address, err := router.ParseAddress(t.GetAddress())
	if err != nil {
		return nil
	}
	target := &router.Target{
		ID: t.GetId(), Service: t.GetService(), Zone: t.GetAvailabilityZone(), Address: address, Slots: int(t.GetSlots()), Position: position,
		ColdFor: time.Duration(t.GetColdMs()) * time.Millisecond,
	}
	if t.GetDraining() {
		target.State = router.Draining
	}
	return target
}

// encodeHistory returns the wire form of the former services of the routes, sorted by
// address.
func encodeHistory(history registrar.RouteHistory, now time.Time) []*wirepb.RouteHistory {
	var entries []*wirepb.RouteHistory
	for _, address := range slices.SortedFunc(maps.Keys(history), netip.AddrPort.Compare) {
		record := history[address]
		entry := &wirepb.RouteHistory{Address: address.String()}
		if !record.ChangedAt.IsZero() {
			entry.HasChanged, entry.ChangedAgeMs = true, encodeAge(record.ChangedAt, now)
		}
		for _, service := range slices.Sorted(maps.Keys(record.Left)) {
			entry.Former = append(entry.Former, &wirepb.FormerService{Service: service, LeftAgeMs: encodeAge(record.Left[service], now)})
		}
		entries = append(entries, entry)
	}
	return entries
}

// decodeHistory adds an entry that arrives now to the history of a batch. An entry
// whose address doesn't parse is left out.
func decodeHistory(entry *wirepb.RouteHistory, batch *Batch, now time.Time) {
	address, err := router.ParseAddress(entry.GetAddress())
	if err != nil {
		return
	}
	record := registrar.RouteRecord{Left: make(map[string]time.Time, len(entry.GetFormer()))}
	if entry.GetHasChanged() {
		record.ChangedAt = decodeAge(entry.GetChangedAgeMs(), now)
	}
	for _, former := range entry.GetFormer() {
		record.Left[former.GetService()] = decodeAge(former.GetLeftAgeMs(), now)
	}
	if batch.History == nil {
		batch.History = make(registrar.RouteHistory)
	}
	batch.History[address] = record
}
