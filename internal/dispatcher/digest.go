package dispatcher

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/picker"
)

// buildDigest summarises the load of the local target and advances the sequence
// number. The caller holds the lock.
func (d *Dispatcher) buildDigest(now time.Time) picker.Digest {
	state, load := d.estimator.State(now), d.limiter.Load()
	d.sequence++
	digest := picker.Digest{
		Target: d.options.Target, Incarnation: d.options.Incarnation, Sequence: d.sequence,
		Phase: state.Phase, Slots: state.Slots, Running: load.Running, Queued: load.Queued,
		Cost: state.Cost, ErrorRate: state.ErrorRate,
		Capacity: min(state.Capacity, float64(load.Limit)), Busy: state.Busy,
	}
	if d.isDraining() {
		digest.Phase = estimator.Draining
	}
	return digest
}

// encodeDigest returns the result of buildDigest as a protobuf message. The
// caller holds the lock.
func (d *Dispatcher) encodeDigest(now time.Time) *wirepb.Digest {
	digest := d.buildDigest(now)
	return &wirepb.Digest{
		Target: digest.Target, Incarnation: digest.Incarnation, Service: uint32(d.options.Service), State: digest.Phase.String(),
		Slots:        uint32(digest.Slots),
		ShortRunning: uint32(digest.Running[estimator.Short]), LongRunning: uint32(digest.Running[estimator.Long]),
		ShortQueued: uint32(digest.Queued[estimator.Short]), LongQueued: uint32(digest.Queued[estimator.Long]),
		ShortCostUs:   uint32(digest.Cost[estimator.Short].Microseconds()),
		LongCostUs:    uint32(digest.Cost[estimator.Long].Microseconds()),
		ErrorPermille: uint32(1000 * digest.ErrorRate), Sequence: digest.Sequence,
		CapacityMilli: uint32(1000 * digest.Capacity), Feeds: uint32(d.feeds), BusyPermille: uint32(1000 * digest.Busy),
		IntervalMs: uint32(time.Duration(d.digestPeriod.Load()).Milliseconds()),
	}
}

// Digest returns the current load summary of the local target.
func (d *Dispatcher) Digest() *wirepb.Digest {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.encodeDigest(time.Now())
}

// observeDigest passes a digest of another agent to the picker. It ignores one of
// another service, of the local target or with an unknown state.
func (d *Dispatcher) observeDigest(message *wirepb.Digest) {
	if message == nil || message.GetService() != uint32(d.options.Service) || message.GetTarget() == d.options.Target {
		return
	}
	phase, ok := estimator.ParsePhase(message.GetState())
	if !ok {
		return
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	d.picker.Observe(picker.Digest{
		Target: message.GetTarget(), Incarnation: message.GetIncarnation(), Sequence: message.GetSequence(), Phase: phase,
		Slots:   int(message.GetSlots()),
		Running: [2]int{int(message.GetShortRunning()), int(message.GetLongRunning())},
		Queued:  [2]int{int(message.GetShortQueued()), int(message.GetLongQueued())},
		Cost: [2]time.Duration{
			time.Duration(message.GetShortCostUs()) * time.Microsecond, time.Duration(message.GetLongCostUs()) * time.Microsecond,
		},
		ErrorRate: float64(message.GetErrorPermille()) / 1000, Capacity: float64(message.GetCapacityMilli()) / 1000,
		Busy: float64(message.GetBusyPermille()) / 1000, Interval: time.Duration(message.GetIntervalMs()) * time.Millisecond,
	}, time.Now())
}

// ServeDigests receives digests from a control stream, of which the caller has
// already read the first message. It returns on the first other message, or when
// the stream fails or is silent for 8 times the longest digest period.
func (d *Dispatcher) ServeDigests(stream *messenger.Stream, first *wirepb.Envelope) {
	for envelope := first; ; {
		digest := envelope.GetDigest()
		if digest == nil {
			return
		}
		d.observeDigest(digest)
		if stream.SetReadDeadline(time.Now().Add(8*DigestPeriod(MaxDigestPeers))) != nil {
			return
		}
		var err error
		if envelope, err = stream.Receive(); err != nil {
			return
		}
	}
}

// digestPeers returns the targets whose agents receive digests: up to
// MaxDigestPeers of the service, chosen by rendezvous hashing of the pair of
// target numbers, so that each agent receives digests from about equally many
// others.
func digestPeers(self uint32, service *cataloger.Service) []*cataloger.Target {
	var peers []*cataloger.Target
	for _, t := range service.Targets() {
		if t.Number() != self {
			peers = append(peers, t)
		}
	}
	rank := func(t *cataloger.Target) uint64 {
		var b [8]byte
		binary.BigEndian.PutUint32(b[:], self)
		binary.BigEndian.PutUint32(b[4:], t.Number())
		return xxhash.Sum64(b[:])
	}
	slices.SortFunc(peers, func(a, b *cataloger.Target) int { return cmp.Compare(rank(a), rank(b)) })
	return peers[:min(len(peers), MaxDigestPeers)]
}

// DigestPeriod returns the time between two digests to the same peer, given the
// number of peers: 250 ms for up to 4 peers, 1 s for 16.
func DigestPeriod(peers int) time.Duration {
	return max(MinDigestInterval, time.Duration(peers)*time.Second/MaxDigestsPerSecond)
}

// sendDigests runs one sender for each peer until the context is cancelled, and
// starts and stops senders as the targets of the service change.
func (d *Dispatcher) sendDigests(ctx context.Context) {
	if d.options.OpenStream == nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	senders := make(map[uint32]context.CancelFunc)
	ticker := time.NewTicker(MinDigestInterval)
	defer ticker.Stop()
	for {
		wanted := make(map[uint32]bool)
		peers := digestPeers(d.options.Target, d.currentService())
		d.digestPeriod.Store(int64(DigestPeriod(len(peers))))
		for _, t := range peers {
			wanted[t.Number()] = true
			if senders[t.Number()] == nil {
				peer, stop := context.WithCancel(ctx)
				senders[t.Number()] = stop
				wg.Go(func() { d.sendDigestsTo(peer, t.Number()) })
			}
		}
		for number, stop := range senders {
			if !wanted[number] {
				stop()
				delete(senders, number)
			}
		}
		select {
		case <-ctx.Done():
			for _, stop := range senders {
				stop()
			}
			return
		case <-ticker.C:
		}
	}
}

// sendDigestsTo sends digests to one peer over a stream, which it reopens after a
// failure.
func (d *Dispatcher) sendDigestsTo(ctx context.Context, target uint32) {
	var stream *messenger.Stream
	defer func() {
		if stream != nil {
			_ = stream.Close()
		}
	}()
	for {
		if stream == nil {
			if t, ok := d.options.Snapshot().TargetByNumber(target); ok {
				stream, _ = d.options.OpenStream(ctx, t.ControlAddress(), messenger.LaneControl)
			}
		}
		if stream != nil {
			envelope := &wirepb.Envelope{Body: &wirepb.Envelope_Digest{Digest: d.Digest()}}
			if stream.SetWriteDeadline(time.Now().Add(MinDigestInterval)) != nil || stream.Send(envelope) != nil {
				_ = stream.Close()
				stream = nil
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(d.digestPeriod.Load())):
		}
	}
}
