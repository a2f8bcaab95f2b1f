package watcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// DefaultStartSpread keeps the first two reads of each of 12,500 processes and
// the section reads of the watching processes below 2,000 reads per second when
// a whole fleet starts at once. The extrapolated peak is 2,093 reads per second
// with 16 s and 2,043 with 20 s.
const DefaultStartSpread = 30 * time.Second

// eventQueueSize is the number of events that may wait for the control goroutine.
const eventQueueSize = 1024

// maxPostponed is the number of events for which publishing a changed snapshot
// may be postponed.
const maxPostponed = 64

var (
	platformCalls     = metrics.GetOrCreateCounter("kingcupvalve_watcher_platform_calls_total")
	platformFailures  = metrics.GetOrCreateCounter("kingcupvalve_watcher_platform_failures_total")
	revisionsAccepted = metrics.GetOrCreateCounter("kingcupvalve_watcher_revisions_accepted_total")
	revisionsRefused  = metrics.GetOrCreateCounter("kingcupvalve_watcher_revisions_refused_total")
	slowPeers         = metrics.GetOrCreateCounter("kingcupvalve_watcher_slow_peers_total")
)

// Options are the settings and dependencies of a Watcher.
type Options struct {
	// Name is the name of the process in the host list.
	Name             string
	AvailabilityZone string
	// PlatformURL is the base URL of the platform's API.
	PlatformURL string
	// Transport is used for platform calls; nil selects a new http.Transport.
	Transport http.RoundTripper
	// Messenger carries the control streams. The watcher sets the handler of the
	// control lane.
	Messenger *messenger.Messenger
	// Validate checks a fleet document. Its result must depend only on the
	// document, so that every process refuses the same revisions.
	Validate func(cataloger.FleetSpec) error
	// ServeDigests handles a control stream whose first message is a digest. If
	// nil, such streams are closed. The stream is closed when it returns.
	ServeDigests func(s *messenger.Stream, first *wirepb.Envelope)
	// Seeds are the control addresses of some processes from the settings. With
	// them, a process can start while the platform is down.
	Seeds []netip.AddrPort
	// StartSpread is the upper limit of the random delay before the first
	// platform read. With 0 there is no delay; see DefaultStartSpread.
	StartSpread time.Duration
	// Random returns a number in [0, 1); nil selects math/rand/v2.
	Random func() float64
	Logger zerolog.Logger
}

// Watcher keeps the configuration of a process up to date. Its methods are safe
// for concurrent use.
type Watcher struct {
	options  Options
	platform *platformClient
	events   chan func(now time.Time)
	logic    *logic // owned by the control goroutine
	joiner   joiner // owned by the control goroutine
	fleet    cataloger.FleetSpec
	// postponed counts the events handled since the snapshot changed.
	postponed  int
	streams    map[string]*linkStream // owned by the control goroutine
	linkSerial atomic.Uint64
	tasks      sync.WaitGroup

	snapshot atomic.Pointer[cataloger.Snapshot]
	status   atomic.Pointer[Status]
	ready    chan struct{}

	lock        sync.Mutex
	subscribers []func(*cataloger.Snapshot)
}

// NewWatcher returns a watcher, which is started with Run.
func NewWatcher(options Options) (*Watcher, error) {
	if options.Name == "" || options.Messenger == nil || options.Validate == nil {
		return nil, merry.New("check watcher options: Name, Messenger and Validate are required")
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.Transport == nil {
		options.Transport = &http.Transport{MaxIdleConnsPerHost: maxPlatformFetches, IdleConnTimeout: time.Minute}
	}
	client, err := newPlatformClient(options.PlatformURL, options.Transport)
	if err != nil {
		return nil, err
	}
	w := &Watcher{
		options: options, platform: client, events: make(chan func(time.Time), eventQueueSize),
		streams: make(map[string]*linkStream), ready: make(chan struct{}),
	}
	w.snapshot.Store(cataloger.NewEmptySnapshot())
	w.status.Store(&Status{})
	return w, nil
}

// Ready returns a channel that is closed once the highest revision that the
// platform and the peers announced is in force.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Snapshot returns the snapshot of the fleet in force, an empty one before Ready.
func (w *Watcher) Snapshot() *cataloger.Snapshot { return w.snapshot.Load() }

// Status returns the current status.
func (w *Watcher) Status() Status { return *w.status.Load() }

// Subscribe calls f immediately with the current snapshot, then on the control
// goroutine with each new one. f must return quickly and must not call
// Subscribe.
func (w *Watcher) Subscribe(f func(*cataloger.Snapshot)) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.subscribers = append(w.subscribers, f)
	f(w.snapshot.Load())
}

// Run runs the control loop until the context is done, then returns nil. The
// messenger must be running.
func (w *Watcher) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer w.tasks.Wait()
	defer cancel()
	w.logic = newLogic(logicOptions{
		name: w.options.Name, zone: w.options.AvailabilityZone, seeds: w.options.Seeds,
		startSpread: w.options.StartSpread, random: w.options.Random, check: w.check, effects: w.effects(ctx),
	}, time.Now())
	w.options.Messenger.Handle(messenger.LaneControl, func(_ context.Context, s *messenger.Stream) { w.serveLink(ctx, s) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer w.close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-w.events:
			f(time.Now())
		case now := <-ticker.C:
			w.logic.tick(now)
		}
		w.publish()
	}
}

// post queues f for the control goroutine. It returns false if the context is
// done.
func (w *Watcher) post(ctx context.Context, f func(now time.Time)) bool {
	select {
	case w.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// publish makes the status and a changed snapshot visible to other goroutines.
func (w *Watcher) publish() {
	status := w.logic.status()
	w.status.Store(&status)
	if !w.logic.ready || !w.logic.snapshotChanged {
		return
	}
	if len(w.events) > 0 && w.postponed < maxPostponed {
		w.postponed++
		return // combine changes in quick succession into one snapshot
	}
	w.logic.snapshotChanged, w.postponed = false, 0
	snapshot, err := cataloger.NewSnapshot(w.fleet, w.logic.hosts.specs())
	if err != nil {
		w.options.Logger.Error().Err(err).Uint64("revision", w.fleet.Revision).Msg("failed to build snapshot")
		return
	}
	w.snapshot.Store(snapshot)
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, f := range w.subscribers {
		f(snapshot)
	}
	select {
	case <-w.ready:
	default:
		close(w.ready)
	}
}

// check validates a complete revision. The keeper accepts a valid revision
// immediately, so the last valid fleet document is the one in force.
func (w *Watcher) check(revision uint64, sections []keeper.Section) error {
	fleet, err := w.joiner.join(revision, sections)
	if err != nil {
		return err
	}
	if err := w.options.Validate(fleet); err != nil {
		return err
	}
	if _, err := cataloger.NewSnapshot(fleet, nil); err != nil {
		return err
	}
	w.fleet = fleet
	return nil
}

func (w *Watcher) reportVerdict(verdict keeper.Verdict, head keeper.Head, source string) {
	event := w.options.Logger.Info()
	message := "configuration revision in force"
	switch verdict {
	case keeper.Accepted:
		revisionsAccepted.Inc()
	default:
		revisionsRefused.Inc()
		event, message = w.options.Logger.Warn(), "configuration revision refused"
		if _, err := w.logic.keeper.Refused(); err != nil && verdict == keeper.Invalid {
			event = event.Err(err)
		}
	}
	event.Uint64("revision", head.Revision()).Str("source", source).Stringer("verdict", verdict).Msg(message)
}
