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
	// tickInterval is the resolution of the control state.
	tickInterval = 50 * time.Millisecond
	// pullTimeout bounds a fetch from a peer.
	pullTimeout = 700 * time.Millisecond
	// unconfirmedAge is the age of a table that nothing was read into.
	unconfirmedAge = 24 * time.Hour
	// pullPause follows a failed fetch from a peer.
	pullPause = 300 * time.Millisecond
)

var (
	readsDone   = metrics.GetOrCreateCounter(`kingcupvalve_follower_reads_total{result="done"}`)
	readsFailed = metrics.GetOrCreateCounter(`kingcupvalve_follower_reads_total{result="failed"}`)
)

// Options configures a Follower.
type Options struct {
	Source Source
	// Pull fetches the changes after a revision from a peer.
	Pull func(ctx context.Context, peer netip.Addr, after uint64) (Batch, error)
	// Peers returns the processes heard of.
	Peers func() []Peer
	// Seeds returns processes to ask for a table before the platform has
	// answered.
	Seeds func() []netip.Addr
	// IsReader reports whether this process is one of those that watch the
	// platform.
	IsReader func(t *router.Table) bool
	// Deadline is the time in which a change must be in force.
	Deadline time.Duration
	// StartSpread is the time over which the first reads of a fleet are spread.
	StartSpread time.Duration
	Logger      zerolog.Logger
}

// Follower holds the table. Table, Age and Changes are safe for concurrent
// use.
type Follower struct {
	options     Options
	cadence     cadence
	registrar   *registrar.Registrar
	table       atomic.Pointer[router.Table]
	confirmedAt atomic.Int64 // ns after start
	start       time.Time
	ready       chan struct{}
	results     chan result
	requests    chan request
	wanted      atomic.Bool
	wake        chan struct{}
	isLost      atomic.Bool // the last read of the platform failed
	revision    atomic.Uint64
	pulling     bool
	pullAfter   time.Time
	seeded      int
	listeners   []func(t *router.Table)
	lastTick    time.Time
	isReading   bool
	// lostAt is when the platform stopped answering, zero while it answers.
	lostAt time.Time
	reads  sync.WaitGroup
}

type result struct {
	batch  Batch
	err    error
	source string
	peer   netip.Addr
}

type request struct {
	after uint64
	reply chan Batch
}

// NewFollower returns a follower without a table.
func NewFollower(options Options) *Follower {
	f := &Follower{
		options: options, cadence: newCadence(options.Deadline), registrar: registrar.NewRegistrar(), start: time.Now(), ready: make(chan struct{}),
		results: make(chan result, 4), requests: make(chan request), wake: make(chan struct{}, 1),
	}
	f.table.Store(router.NewTable(router.Config{}, nil, 0))
	f.confirmedAt.Store(int64(-unconfirmedAge))
	f.wanted.Store(true)
	return f
}

// Subscribe calls a function with each new table, in the goroutine of Run. It
// is called before Run.
func (f *Follower) Subscribe(listener func(t *router.Table)) {
	f.listeners = append(f.listeners, listener)
}

// Ready is closed when the first table is known.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Table returns the table in force.
func (f *Follower) Table() *router.Table { return f.table.Load() }

// Revision returns the revision that the table is complete up to.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

// IsReady reports whether a table is known.
func (f *Follower) IsReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// IsReading reports whether this process reads the platform.
func (f *Follower) IsReading() bool { return f.wanted.Load() }

// IsPlatformLost reports whether this process reads the platform and the last
// read failed.
func (f *Follower) IsPlatformLost() bool { return f.isLost.Load() && f.wanted.Load() }

// IsStale reports whether the table was not known to be current for so long
// that the process reads the platform itself.
func (f *Follower) IsStale(now time.Time) bool { return f.Age(now) > f.cadence.staleAfter }

// Age returns the time since the table was last known to be current.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(f.start) - time.Duration(f.confirmedAt.Load())
}

// AddAge makes the table older by a time that the clock did not count.
func (f *Follower) AddAge(d time.Duration) { f.confirmedAt.Add(-int64(d)) }

// Changes returns the changes after a revision for a peer.
func (f *Follower) Changes(ctx context.Context, after uint64) (Batch, bool) {
	r := request{after: after, reply: make(chan Batch, 1)}
	select {
	case f.requests <- r:
		return <-r.reply, true
	case <-ctx.Done():
		return Batch{}, false
	}
}

// Run follows until the context ends and the reads under way have returned.
func (f *Follower) Run(ctx context.Context) {
	defer f.reads.Wait()
	f.reads.Go(func() { f.read(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.results:
			f.take(r, time.Now())
		case r := <-f.requests:
			r.reply <- Batch{Changes: f.registrar.Changes(r.after), Revision: f.registrar.Revision(), ConfirmedAt: f.confirmedTime()}
		case now := <-ticker.C:
			f.tick(ctx, now)
		}
	}
}

func (f *Follower) confirmedTime() time.Time { return f.start.Add(time.Duration(f.confirmedAt.Load())) }

func (f *Follower) take(r result, now time.Time) {
	if r.peer.IsValid() {
		f.pulling = false
	}
	if !r.peer.IsValid() {
		f.noteAnswer(r.err, now)
	}
	if r.err != nil {
		if r.peer.IsValid() {
			f.pullAfter = now.Add(pullPause)
		}
		f.options.Logger.Warn().Err(r.err).Str("source", r.source).Dur("table_age_ms", f.Age(now)).Msg("table not read")
		return
	}
	before := f.registrar.Revision()
	if r.batch.Revision < before && !r.batch.IsWhole {
		return
	}
	var changed bool
	if r.batch.IsWhole {
		changed = f.registrar.MergeSnapshot(r.batch.Changes, r.batch.Revision, now)
	} else {
		changed = f.registrar.Merge(r.batch.Changes, r.batch.Revision, now)
	}
	f.revision.Store(f.registrar.Revision())
	if r.batch.Revision >= f.registrar.Revision() {
		f.confirm(r.batch.ConfirmedAt)
	}
	if changed {
		f.publish(now)
		f.options.Logger.Info().Str("source", r.source).Uint64("revision", f.registrar.Revision()).
			Uint64("version", f.Table().Version()).Int("changes", len(r.batch.Changes)).Msg("table updated")
		f.logTargets(r.batch.Changes, before)
	}
}

func (f *Follower) confirm(at time.Time) {
	ns := int64(at.Sub(f.start))
	for before := f.confirmedAt.Load(); ns > before && !f.confirmedAt.CompareAndSwap(before, ns); {
		before = f.confirmedAt.Load()
	}
}

func (f *Follower) publish(now time.Time) {
	t := f.registrar.BuildTable(now)
	f.table.Store(t)
	for _, listener := range f.listeners {
		listener(t)
	}
	if f.registrar.HasConfig() {
		select {
		case <-f.ready:
		default:
			f.wanted.Store(f.needsReads(now))
			close(f.ready)
		}
	}
}

func (f *Follower) tick(ctx context.Context, now time.Time) {
	if f.registrar.Expire(f.lastTick, now) {
		f.publish(now)
	}
	f.lastTick = now
	f.consultPeers(ctx, now)
	reads := f.needsReads(now)
	if reads != f.isReading {
		f.isReading = reads
		f.options.Logger.Info().Bool("reads", reads).Dur("table_age_ms", f.Age(now)).Msg("reading of the platform changed")
	}
	f.wanted.Store(reads)
	if reads {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// needsReads reports whether this process has to read the platform itself.
func (f *Follower) needsReads(now time.Time) bool {
	return !f.registrar.HasConfig() || f.IsStale(now) || f.options.IsReader(f.Table())
}

// consultPeers takes over what beacons say of peers' tables and fetches a
// newer one.
func (f *Follower) consultPeers(ctx context.Context, now time.Time) {
	var newest Peer
	for _, p := range f.options.Peers() {
		if p.Revision == f.registrar.Revision() && f.registrar.HasConfig() {
			f.confirm(p.ConfirmedAt)
		}
		if p.Revision > newest.Revision {
			newest = p
		}
	}
	if f.pulling || now.Before(f.pullAfter) {
		return
	}
	if newest.Revision > f.registrar.Revision() {
		f.pull(ctx, newest.Address)
	} else if seeds := f.options.Seeds(); !f.registrar.HasConfig() && len(seeds) > 0 {
		f.seeded++
		f.pull(ctx, seeds[f.seeded%len(seeds)])
	}
}

func (f *Follower) pull(ctx context.Context, peer netip.Addr) {
	f.pulling = true
	after := f.registrar.Revision()
	f.reads.Go(func() {
		pullContext, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		batch, err := f.options.Pull(pullContext, peer, after)
		select {
		case f.results <- result{batch: batch, err: err, source: "peer " + peer.String(), peer: peer}:
		case <-ctx.Done():
		}
	})
}
