package follower

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// tickInterval is the time between two updates of the follower's state.
	tickInterval = 50 * time.Millisecond
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 700 * time.Millisecond
	// initialTableAge is the age of the empty table before the first read. It is
	// far above router.MaxConclusiveAge, so that nothing is concluded from entries
	// that the empty table lacks.
	initialTableAge = 24 * time.Hour
	// fetchRetryDelay is the wait after a fetch from a peer that failed or brought
	// nothing.
	fetchRetryDelay = 300 * time.Millisecond
)

var (
	readsDone   = metrics.GetOrCreateCounter(`kingcupvalve_follower_reads_total{result="done"}`)
	readsFailed = metrics.GetOrCreateCounter(`kingcupvalve_follower_reads_total{result="failed"}`)
	// evacuatedZones is the number of zones that get no new flows.
	evacuatedZones = metrics.GetOrCreateGauge("kingcupvalve_follower_evacuated_zones", nil)
	epochChanges   = metrics.GetOrCreateCounter("kingcupvalve_follower_epoch_changes_total")
)

// Options configures a Follower.
type Options struct {
	Source Source
	// FetchChanges fetches the changes after a position from a peer.
	FetchChanges func(ctx context.Context, peer netip.Addr, after router.Position) (Batch, error)
	// FetchDepartures fetches the targets that a peer knows and that a process whose
	// table is complete up to a position may lack.
	FetchDepartures func(ctx context.Context, peer netip.Addr, known router.Position) (Batch, error)
	// Peers returns the processes that recently sent a beacon.
	Peers func() []Peer
	// Seeds returns processes to fetch a first table from, before the platform has
	// answered.
	Seeds func() []netip.Addr
	// IsPlatformReader reports whether this process is one of the few that always
	// watch the platform.
	IsPlatformReader func(t *router.Table) bool
	// FlowLifetime is the age at which flows end; 0 means registrar.DefaultFlowLifetime.
	FlowLifetime time.Duration
	// IsInUse reports whether a target holds flows. A removed target that does stays
	// in the table.
	IsInUse func(target uint32) bool
	// Deadline is the time within which a change must be in force.
	Deadline time.Duration
	// StartSpread is the time over which the first reads of a fleet are spread.
	StartSpread time.Duration
	Logger      zerolog.Logger
}

// Follower holds the routing table. Table, TableAge, ConclusiveAge, ConfirmedAt and
// Changes are safe for concurrent use.
type Follower struct {
	options        Options
	timing         timing
	registrar      *registrar.Registrar
	table          atomic.Pointer[router.Table]
	confirmedAt    atomic.Int64 // ns after start
	start          time.Time
	ready          chan struct{}
	results        chan result
	requests       chan request
	shouldRead     atomic.Bool
	wakeReader     chan struct{}
	lastReadFailed atomic.Bool // of the platform
	position       atomic.Pointer[router.Position]
	// evacuationDigest is that of the registrar.
	evacuationDigest atomic.Uint32
	// isBehind is set while a peer is known to have a later configuration.
	isBehind   atomic.Bool
	isFetching bool
	nextFetch  time.Time
	seedCursor int
	departures departureSearch
	listeners  []func(t *router.Table)
	lastTick   time.Time
	isReading  bool
	// unreachableSince is when the platform stopped answering; zero while it
	// answers.
	unreachableSince time.Time
	// answerEpoch is the epoch of the last answer of the platform.
	answerEpoch uint64
	reads       sync.WaitGroup
}

type result struct {
	batch  Batch
	err    error
	source string
	peer   netip.Addr
	// isDepartures is set on the answer to a request for departures.
	isDepartures bool
}

// request asks the goroutine of Run for changes, or for departures only.
type request struct {
	after          router.Position
	departuresOnly bool
	reply          chan Batch
}

// NewFollower returns a follower with an empty table.
func NewFollower(options Options) *Follower {
	f := &Follower{
		options: options, timing: newTiming(options.Deadline), registrar: registrar.NewRegistrar(), start: time.Now(), ready: make(chan struct{}),
		results: make(chan result, 4), requests: make(chan request), wakeReader: make(chan struct{}, 1),
	}
	if options.FlowLifetime > 0 {
		f.registrar.SetFlowLifetime(options.FlowLifetime)
	}
	f.table.Store(router.NewTable(router.Config{}, nil, router.Position{}))
	f.confirmedAt.Store(int64(-initialTableAge))
	f.position.Store(&router.Position{})
	f.shouldRead.Store(true)
	return f
}

// Subscribe registers a function that is called with each new table before Table
// returns it, in the goroutine of Run. Subscribe must be called before Run.
func (f *Follower) Subscribe(listener func(t *router.Table)) {
	f.listeners = append(f.listeners, listener)
}

// Ready returns a channel that is closed when the first table is known.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Table returns the table in force.
func (f *Follower) Table() *router.Table { return f.table.Load() }

// Position returns the position up to which the table is complete.
func (f *Follower) Position() router.Position { return *f.position.Load() }

// EvacuationDigest returns a number that tells sets of evacuated zones apart, or 0 if
// the position does.
func (f *Follower) EvacuationDigest() uint32 { return f.evacuationDigest.Load() }

// IsReady reports whether a table is known.
func (f *Follower) IsReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// IsReadingPlatform reports whether this process currently reads the platform.
func (f *Follower) IsReadingPlatform() bool { return f.shouldRead.Load() }

// IsPlatformUnreachable reports whether this process reads the platform and the
// last read failed.
func (f *Follower) IsPlatformUnreachable() bool {
	return f.lastReadFailed.Load() && f.shouldRead.Load()
}

// IsStale reports whether the table was last confirmed as current so long ago
// that the process has to read the platform itself.
func (f *Follower) IsStale(now time.Time) bool { return f.TableAge(now) > f.timing.staleAfter }

// TableAge returns the time since the table was last known to be current.
func (f *Follower) TableAge(now time.Time) time.Duration {
	return now.Sub(f.start) - time.Duration(f.confirmedAt.Load())
}

// ConclusiveAge returns the age of the table for conclusions from what it lacks. While a
// peer is known to have a later configuration, it is that of an empty table.
func (f *Follower) ConclusiveAge(now time.Time) time.Duration {
	if f.isBehind.Load() {
		return initialTableAge
	}
	return f.TableAge(now)
}

// ConfirmedAt returns when the table was last known to be current, for conclusions from
// what it lacks: long ago while a peer is known to have a later configuration.
func (f *Follower) ConfirmedAt() time.Time {
	if f.isBehind.Load() {
		return f.start.Add(-initialTableAge)
	}
	return f.confirmedTime()
}

// AddTableAge increases the age of the table by a time that the monotonic clock
// did not count, such as a suspension of the machine.
func (f *Follower) AddTableAge(d time.Duration) { f.confirmedAt.Add(-int64(d)) }

// Changes returns the changes after a position, or all items if some removals
// after it are not known. It returns false if the context ends first.
func (f *Follower) Changes(ctx context.Context, after router.Position) (Batch, bool) {
	return f.ask(ctx, request{after: after, reply: make(chan Batch, 1)})
}

func (f *Follower) ask(ctx context.Context, r request) (Batch, bool) {
	select {
	case f.requests <- r:
		return <-r.reply, true
	case <-ctx.Done():
		return Batch{}, false
	}
}

// Run keeps the table up to date until the context ends, and returns when the
// running reads have ended.
func (f *Follower) Run(ctx context.Context) {
	defer f.reads.Wait()
	f.reads.Go(func() { f.readPlatform(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.results:
			f.applyResult(r, time.Now())
		case r := <-f.requests:
			r.reply <- f.buildBatch(r)
		case now := <-ticker.C:
			f.tick(ctx, now)
		}
	}
}

func (f *Follower) buildBatch(r request) Batch {
	b := Batch{
		Position: f.registrar.Position(), ConfirmedAt: f.confirmedTime(), KnowsDepartures: f.registrar.KnowsDepartures(),
		History: f.registrar.History(), KnowsRouteHistory: f.registrar.HasRouteHistory(time.Now()),
	}
	if r.departuresOnly {
		b.Changes = f.registrar.Departures(r.after)
	} else {
		b.Changes, b.IsSnapshot = f.registrar.Changes(r.after)
	}
	return b
}

func (f *Follower) confirmedTime() time.Time { return f.start.Add(time.Duration(f.confirmedAt.Load())) }

func (f *Follower) applyResult(r result, now time.Time) {
	if r.peer.IsValid() {
		f.isFetching = false
	}
	if !r.peer.IsValid() {
		f.recordPlatformAnswer(r.err, now)
		f.recordEpoch(r.batch)
	}
	if r.err != nil {
		if r.peer.IsValid() {
			f.nextFetch = now.Add(fetchRetryDelay)
		}
		f.options.Logger.Warn().Err(r.err).Str("source", r.source).Dur("table_age_ms", f.TableAge(now)).Msg("failed to read routing table")
		return
	}
	if r.isDepartures {
		f.applyDepartures(r, now)
		return
	}
	previous := f.registrar.Position()
	if r.batch.Compare(previous) < 0 {
		f.options.Logger.Warn().Str("source", r.source).Uint64("epoch", r.batch.Epoch).Uint64("revision", r.batch.Revision).
			Uint64("known_epoch", previous.Epoch).Uint64("known_revision", previous.Revision).Msg("source is behind the routing table")
	}
	if !f.isMergeable(r.batch) {
		return
	}
	var changed bool
	if r.batch.IsSnapshot {
		changed = f.registrar.MergeSnapshot(r.batch.Changes, r.batch.Position, now)
	} else {
		changed = f.registrar.Merge(r.batch.Changes, r.batch.Position, now)
	}
	changed = f.registrar.MergeHistory(r.batch.History, r.batch.Position, r.batch.KnowsRouteHistory, now) || changed
	position := f.registrar.Position()
	f.position.Store(&position)
	f.evacuationDigest.Store(f.registrar.EvacuationDigest())
	if r.peer.IsValid() && !changed && position == previous {
		f.nextFetch = now.Add(fetchRetryDelay)
	}
	confirmedAt := time.Time{}
	if r.batch.Compare(position) >= 0 {
		confirmedAt = r.batch.ConfirmedAt
	}
	if !changed {
		f.advanceConfirmedAt(confirmedAt)
	}
	if changed {
		f.publish(now, confirmedAt)
		f.options.Logger.Info().Str("source", r.source).Uint64("epoch", position.Epoch).Uint64("revision", position.Revision).
			Uint64("version", f.Table().Version()).Int("changes", len(r.batch.Changes)).Msg("routing table updated")
		f.logTargets(r.batch.Changes, previous)
	}
}

// isMergeable reports whether a batch may be merged: a snapshot of this epoch or of
// a later one, or changes that continue the epoch.
func (f *Follower) isMergeable(b Batch) bool {
	known := f.registrar.Position()
	if b.IsSnapshot {
		return b.Epoch >= known.Epoch
	}
	return b.Epoch == known.Epoch && b.Compare(known) >= 0
}

// advanceConfirmedAt sets confirmedAt to a later time; an earlier one is
// ignored.
func (f *Follower) advanceConfirmedAt(at time.Time) {
	ns := int64(at.Sub(f.start))
	for before := f.confirmedAt.Load(); ns > before && !f.confirmedAt.CompareAndSwap(before, ns); {
		before = f.confirmedAt.Load()
	}
}

// publish replaces the table. The new one was known to be current at confirmedAt, or at
// no later time than the one before if that is zero. The table comes before its time: a
// reader that takes the time first never judges by a table that is older than it.
func (f *Follower) publish(now, confirmedAt time.Time) {
	t := f.registrar.BuildTable(now)
	f.recordEvacuations(t)
	// The listeners come first, so that a target whose evacuation has ended is cold
	// before the table admits its first new flow.
	for _, listener := range f.listeners {
		listener(t)
	}
	f.table.Store(t)
	f.advanceConfirmedAt(confirmedAt)
	if f.registrar.HasConfig() {
		select {
		case <-f.ready:
		default:
			f.shouldRead.Store(f.needsReads(now))
			f.departures.deadline, f.departures.gapEnd = now.Add(departureSearchTimeout), f.registrar.HistoryGapEnd()
			close(f.ready)
		}
	}
}

func (f *Follower) tick(ctx context.Context, now time.Time) {
	if f.registrar.Expire(f.lastTick, now, f.options.IsInUse) {
		f.publish(now, time.Time{})
	}
	f.lastTick = now
	f.syncWithPeers(ctx, now)
	reads := f.needsReads(now)
	if reads != f.isReading {
		f.isReading = reads
		f.options.Logger.Info().Bool("reads", reads).Dur("table_age_ms", f.TableAge(now)).Msg("reading of the platform started or stopped")
	}
	f.shouldRead.Store(reads)
	if reads {
		select {
		case f.wakeReader <- struct{}{}:
		default:
		}
	}
}

// needsReads reports whether this process has to read the platform itself.
func (f *Follower) needsReads(now time.Time) bool {
	return !f.registrar.HasConfig() || f.IsStale(now) || f.options.IsPlatformReader(f.Table())
}

// syncWithPeers confirms the table from the beacons of peers at the same
// position, and fetches changes from the peer with the newest table. A peer of the
// same epoch may have a newer configuration at the same position, if the platform
// lost it; then everything is fetched. So it is if a peer at the same position has
// other zones evacuated, since it may know a request that this process does not.
func (f *Follower) syncWithPeers(ctx context.Context, now time.Time) {
	known, version := f.registrar.Position(), f.Table().Version()
	var newest, newestConfig, differing Peer
	digest := f.registrar.EvacuationDigest()
	for _, p := range f.options.Peers() {
		if p.Position == known && p.Version <= version && f.registrar.HasConfig() {
			f.advanceConfirmedAt(p.ConfirmedAt)
		}
		if p.Compare(newest.Position) > 0 {
			newest = p
		}
		if p.Epoch == known.Epoch && p.Version > newestConfig.Version {
			newestConfig = p
		}
		if p.Position == known && p.EvacuationDigest != digest && p.EvacuationDigest != 0 {
			differing = p
		}
	}
	f.isBehind.Store(f.registrar.HasConfig() && newestConfig.Version > version)
	if f.isFetching || now.Before(f.nextFetch) {
		return
	}
	seeds := f.options.Seeds()
	switch {
	case newest.Compare(known) > 0:
		f.fetchFromPeer(ctx, newest.Address, known)
	case f.registrar.HasConfig() && newestConfig.Version > version:
		f.fetchFromPeer(ctx, newestConfig.Address, router.Position{})
	case !f.registrar.HasConfig() && len(seeds) > 0:
		f.seedCursor++
		f.fetchFromPeer(ctx, seeds[f.seedCursor%len(seeds)], known)
	case f.needsDepartures(now):
		f.searchDepartures(ctx, now)
	case f.registrar.HasConfig() && differing.Address.IsValid():
		f.fetchFromPeer(ctx, differing.Address, router.Position{})
	}
}

func (f *Follower) fetchFromPeer(ctx context.Context, peer netip.Addr, after router.Position) {
	f.startFetch(ctx, result{peer: peer}, func(ctx context.Context) (Batch, error) { return f.options.FetchChanges(ctx, peer, after) })
}

// startFetch runs a fetch from the peer of a result in another goroutine, which
// completes the result and passes it to Run.
func (f *Follower) startFetch(ctx context.Context, r result, fetch func(ctx context.Context) (Batch, error)) {
	f.isFetching = true
	f.reads.Go(func() {
		fetchContext, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		r.source = "peer " + r.peer.String()
		r.batch, r.err = fetch(fetchContext)
		select {
		case f.results <- r:
		case <-ctx.Done():
		}
	})
}
