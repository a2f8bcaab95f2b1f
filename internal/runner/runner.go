// Package runner builds and runs one process that serves packet flows: a
// balancer or an agent.
//
// The follower's goroutine owns the routing table, another one sends beacons and
// expires flows at each tick, and others read sockets. SIGTERM, SIGINT or a
// request of an operator starts a graceful shutdown, in which the readiness
// check fails while the process continues to serve, until the drain deadline at
// the latest.
//
// # Usage
//
//	r, err := runner.NewRunner(ctx, settings, runner.Platform{Source: source, Codec: codec, ReadyPath: path}, log)
//	err = r.Run(ctx)
package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"kingcupvalve.example/kingcupvalve/internal/admitter"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/deliverer"
	"kingcupvalve.example/kingcupvalve/internal/follower"
	"kingcupvalve.example/kingcupvalve/internal/forecaster"
	"kingcupvalve.example/kingcupvalve/internal/forwarder"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/operator"
	"kingcupvalve.example/kingcupvalve/internal/pacer"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/presenter"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/signaller"
	"kingcupvalve.example/kingcupvalve/internal/tracker"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// tickInterval is the interval at which beacons are sent, flows are expired and
// the conditions of a graceful shutdown are checked.
const tickInterval = 50 * time.Millisecond

// Platform has the parts of a process that depend on the platform.
type Platform struct {
	Source    follower.Source
	Codec     framer.Codec
	ReadyPath string
	// SetURL changes the URL of the platform after a reload of the settings. It
	// may be nil.
	SetURL func(url string)
}

// Runner holds the parts of one balancer or agent process.
type Runner struct {
	settings    *parser.Settings
	reloader    *reloader
	platform    Platform
	logger      zerolog.Logger
	incarnation uint64
	messenger   *messenger.Messenger
	signaller   *signaller.Signaller
	follower    *follower.Follower
	chooser     *chooser.Chooser
	tracker     *tracker.Tracker
	pacer       *pacer.Pacer
	// ledger is set in a balancer that places by expected work.
	ledger     *forecaster.Ledger
	forwarder  *forwarder.Forwarder
	deliverer  *deliverer.Deliverer
	isStopping atomic.Bool
	// isIsolated is set while all agents are down. The process is then not ready,
	// because another balancer may reach them.
	isIsolated atomic.Bool
	ownTarget  atomic.Uint32
	signals    chan os.Signal
	drain      chan struct{}
	presenter  *presenter.Presenter
	operator   *operator.Endpoint
	// pendingAgents passes the agents of a new table to tick, whose goroutine sets
	// the signaller's agents.
	pendingAgents atomic.Pointer[tableAgents]
	// listedHosts has the hosts of the targets in the table.
	listedHosts atomic.Pointer[map[netip.Addr]struct{}]
	// silentSince, isSuspect and cold are used by the goroutine of tick only.
	silentSince time.Time
	isSuspect   bool
	cold        coldPeriod
}

// NewRunner builds the parts of a process and binds its sockets, except those
// for HTTP, which Run binds.
func NewRunner(ctx context.Context, settings *parser.Settings, platform Platform, logger zerolog.Logger) (*Runner, error) {
	r := &Runner{
		settings: settings, platform: platform, logger: logger, incarnation: rand.Uint64(),
		reloader: newReloader(settings, platform.SetURL, logger),
	}
	r.pacer = pacer.NewPacer(pacer.Options{
		Factor: settings.Packets().ColdFactor(), Allowance: settings.Packets().ColdAllowance(), StartedAt: time.Now(),
	})
	r.buildTracker()
	r.drain = make(chan struct{}, 1)
	// Until Notify is called, a signal ends the process without a graceful shutdown.
	r.signals = make(chan os.Signal, 4)
	signal.Notify(r.signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	var err error
	if r.messenger, err = messenger.NewMessenger(messenger.Options{
		Address: settings.ControlAddress(), IsPlain: true, Logger: logger,
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{Process: settings.Process(), Incarnation: r.incarnation, Role: settings.Role(), AvailabilityZone: settings.AvailabilityZone()}
		},
	}); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	if r.signaller, err = signaller.NewSignaller(ctx, signaller.Options{
		Address: settings.ControlAddress(), BuildBeacon: r.buildBeacon, HandleHint: r.addHint, HandleSearchEnd: r.endSearch, HandleReport: r.handleReport,
		BuildForecast: r.forecastBuilder(), HandleForecast: r.handleForecast, Logger: logger,
	}); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	r.buildChooser()
	r.follower = follower.NewFollower(follower.Options{
		Source: platform.Source, FetchChanges: r.fetchChanges, FetchDepartures: r.fetchDepartures, Peers: r.followerPeers, Seeds: r.seeds, IsPlatformReader: r.isPlatformReader,
		IsInUse:  r.isTargetInUse,
		Deadline: settings.Packets().ChangeDeadline(), FlowLifetime: settings.Packets().FlowLifetime(), StartSpread: settings.StartSpread(), Logger: logger,
	})
	r.follower.Subscribe(r.handleTable)
	r.messenger.Handle(messenger.LaneControl, r.follower.ServeTableRequests)
	r.buildPresenter()
	if err = r.buildOperator(ctx); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	if settings.Role() == cataloger.RoleBalancer {
		err = r.buildForwarder(ctx)
	} else {
		err = r.buildDeliverer(ctx)
	}
	return r, merry.Prepend(err, "start process")
}

func (r *Runner) buildForwarder(ctx context.Context) (err error) {
	r.forwarder, err = forwarder.NewForwarder(ctx, forwarder.Options{
		Address: r.settings.Packets().Address(), Zone: r.settings.AvailabilityZone(), Codec: r.platform.Codec, Table: r.follower.Table, TableAge: r.follower.TableAge,
		ConclusiveAge: r.follower.ConclusiveAge, ConfirmedAt: r.follower.ConfirmedAt,
		Chooser: r.chooser, Ledger: r.ledger, LinkBytesPerSecond: r.settings.Packets().LinkBytesPerSecond(), Record: r.presenter.Record, Logger: r.logger,
	})
	return err
}

func (r *Runner) buildDeliverer(ctx context.Context) (err error) {
	p := r.settings.Packets()
	var admission *admitter.Admitter
	if p.Admission() == parser.AdmissionPriority {
		admission = admitter.NewAdmitter(admitter.DefaultPolicy())
	}
	r.deliverer, err = deliverer.NewDeliverer(ctx, deliverer.Options{
		Address: p.Address(), Outbound: p.OutboundAddress(), Backend: p.BackendAddress(), Service: p.Service(), Zone: r.settings.AvailabilityZone(),
		Codec: r.platform.Codec, Table: r.follower.Table, Chooser: r.chooser, Tracker: r.tracker, Pacer: r.pacer, Admitter: admission, SendHint: r.signaller.SendHint, SendSearchEnd: r.signaller.SendSearchEnd,
		TableAge: r.follower.TableAge, ConclusiveAge: r.follower.ConclusiveAge, Record: r.presenter.Record, Logger: r.logger,
	})
	return err
}

// seeds returns the processes to fetch a first table from. Only their IP
// addresses are needed, because all processes use the same control port.
func (r *Runner) seeds() []netip.Addr {
	var seeds []netip.Addr
	for _, s := range r.reloader.settings().Seeds() {
		if s.Addr() != r.settings.ControlAddress().Addr() {
			seeds = append(seeds, s.Addr())
		}
	}
	return seeds
}

// Run runs the process until it is stopped, the context ends or a part fails.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer signal.Stop(r.signals)
	r.logger.Info().Uint64("incarnation", r.incarnation).Msg("process starts")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.messenger.Run(ctx) })
	group.Go(r.signaller.Receive)
	group.Go(func() error {
		r.follower.Run(ctx)
		return nil
	})
	group.Go(func() error { return r.serveHTTP(ctx) })
	if r.operator != nil {
		group.Go(func() error { return r.operator.Serve(ctx) })
	}
	group.Go(func() error {
		r.presenter.Run(ctx)
		return nil
	})
	group.Go(func() error {
		r.tick(ctx)
		return nil
	})
	packetsDone := make(chan struct{})
	group.Go(func() error {
		defer close(packetsDone)
		if r.forwarder != nil {
			return r.forwarder.Run()
		}
		return r.deliverer.Run()
	})
	group.Go(func() error {
		defer cancel()
		r.awaitStop(ctx)
		err := r.stopPackets()
		<-packetsDone
		return errors.Join(err, r.close())
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// stopPackets ends the data path after the packets that have arrived are handled.
func (r *Runner) stopPackets() error {
	if r.forwarder != nil {
		return r.forwarder.Stop()
	}
	return r.deliverer.Stop()
}

func (r *Runner) close() error {
	err := r.signaller.Close()
	if r.forwarder != nil {
		return errors.Join(err, r.forwarder.Close())
	}
	return errors.Join(err, r.deliverer.Close())
}

// tick sends beacons and expires flows until the context ends.
func (r *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pauses, runningSince := newPauseDetector(time.Now()), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			if paused, uncounted := pauses.tick(now); paused > 0 {
				runningSince = now
				r.follower.AddTableAge(uncounted)
				r.logger.Warn().Dur("duration_ms", paused).Dur("table_age_ms", r.follower.TableAge(now)).Msg("process did not run")
			}
			if agents := r.pendingAgents.Swap(nil); agents != nil {
				r.signaller.SetHosts(agents.hosts)
				r.signaller.SetAgents(agents.addresses)
			}
			r.signaller.Tick(now)
			r.updateIsolation()
			if r.deliverer != nil {
				r.tracker.Expire(now, r.follower.Table().IdleTimeout())
				r.deliverer.ResetDeadFlows(runningSince, now)
				r.logOwnTarget(now)
			}
		}
	}
}

// updateIsolation updates isIsolated from the liveness of the agents.
func (r *Runner) updateIsolation() {
	if isIsolated := r.signaller.IsIsolated(); isIsolated != r.isIsolated.Load() {
		r.isIsolated.Store(isIsolated)
		r.logger.Warn().Bool("isolated", isIsolated).Msg("reachability of agents changed")
	}
}

// logOwnTarget logs when the agent's target stops or resumes answering, and when
// it becomes suspect or is no longer suspect.
func (r *Runner) logOwnTarget(now time.Time) {
	load := r.tracker.Load(now)
	if load.IsSuspect != r.isSuspect {
		r.isSuspect = load.IsSuspect
		r.logger.Warn().Bool("suspect", load.IsSuspect).Int("running", load.Running).Msg("suspicion of own target changed")
	}
	if load.IsSilent {
		// A target that is silent may be about to restart.
		r.pacer.RecordRestart(now)
	}
	r.cold.log(r.pacer.State(now), now, r.logger)
	isSilent := load.IsSilent
	switch {
	case isSilent && r.silentSince.IsZero():
		r.silentSince = now
		r.logger.Warn().Msg("own target does not answer")
	case !isSilent && !r.silentSince.IsZero():
		r.logger.Info().Dur("duration_ms", now.Sub(r.silentSince)).Msg("own target answers again")
		r.silentSince = time.Time{}
	}
}

// tableAgents has the agents of a table by target, and the targets that the platform
// lists by the addresses of their agents.
type tableAgents struct {
	addresses map[uint32]netip.Addr
	hosts     map[netip.Addr]uint32
}

// handleTable updates the set of agents, and the number and the cold period of the
// agent's own target, from a new table.
func (r *Runner) handleTable(t *router.Table) {
	agents, hosts := make(map[uint32]netip.Addr), make(map[netip.Addr]struct{})
	listed := make(map[netip.Addr]uint32)
	own := r.settings.ControlAddress().Addr()
	t.VisitTargets(func(n uint32, target *router.Target) {
		if target.Address.Addr() != own {
			agents[n] = target.Address.Addr()
			hosts[target.Address.Addr()] = struct{}{}
			if target.State == router.Serving || target.State == router.Draining {
				listed[target.Address.Addr()] = n
			}
		}
	})
	r.pendingAgents.Store(&tableAgents{addresses: agents, hosts: listed})
	r.listedHosts.Store(&hosts)
	if r.ledger != nil {
		r.ledger.Forget(func(target uint32) bool {
			_, isListed := agents[target]
			return isListed
		})
	}
	if r.deliverer != nil {
		n, target, ok := t.FindTargetAt(r.settings.Packets().BackendAddress())
		r.ownTarget.Store(n)
		r.tracker.SetTarget(n, time.Now())
		service := r.settings.Packets().Service()
		if ok && target.Service != service {
			target = nil
		}
		if target != nil {
			r.tracker.ObserveTarget(target.StartedMs, time.Now())
		}
		r.pacer.Update(t, service, target, time.Now())
	}
}
