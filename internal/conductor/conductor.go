// Package conductor builds and runs one process that serves packet flows: a
// balancer or an agent.
//
// The follower's goroutine owns the routing table, another one sends beacons and
// expires flows at each tick, and others read sockets. SIGTERM, SIGINT or a
// request of an operator starts a planned stop, in which the readiness check
// fails while the process continues to serve, until the drain deadline at the
// latest.
//
// # Usage
//
//	c, err := conductor.NewConductor(ctx, settings, conductor.Platform{Source: source, Codec: codec, ReadyPath: path}, log)
//	err = c.Run(ctx)
package conductor

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

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/deliverer"
	"kingcupvalve.example/kingcupvalve/internal/follower"
	"kingcupvalve.example/kingcupvalve/internal/forwarder"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/operator"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/presenter"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/signaller"
	"kingcupvalve.example/kingcupvalve/internal/tracker"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// tickInterval is the interval at which beacons are sent, flows are expired and
// the conditions of a planned stop are checked.
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

// Conductor holds the parts of one balancer or agent process.
type Conductor struct {
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
	forwarder   *forwarder.Forwarder
	deliverer   *deliverer.Deliverer
	isStopping  atomic.Bool
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
	pendingAgents atomic.Pointer[map[uint32]netip.Addr]
	// silentSince and isSuspect are used by the goroutine of tick only.
	silentSince time.Time
	isSuspect   bool
}

// NewConductor builds the parts of a process and binds its sockets, except those
// for HTTP, which Run binds.
func NewConductor(ctx context.Context, settings *parser.Settings, platform Platform, logger zerolog.Logger) (*Conductor, error) {
	c := &Conductor{
		settings: settings, platform: platform, logger: logger, incarnation: rand.Uint64(),
		reloader: newReloader(settings, platform.SetURL, logger),
	}
	c.tracker = tracker.NewTracker(tracker.Options{Slots: c.slots, Record: func(o recorder.Outcome, now time.Time) {
		c.presenter.Record(settings.Packets().Service(), o, now)
	}})
	c.drain = make(chan struct{}, 1)
	// Until Notify is called, a signal ends the process without a planned stop.
	c.signals = make(chan os.Signal, 4)
	signal.Notify(c.signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	var err error
	if c.messenger, err = messenger.NewMessenger(messenger.Options{
		Address: settings.ControlAddress(), IsPlain: true, Logger: logger,
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{Process: settings.Process(), Incarnation: c.incarnation, Role: settings.Role(), AvailabilityZone: settings.AvailabilityZone()}
		},
	}); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	if c.signaller, err = signaller.NewSignaller(ctx, signaller.Options{
		Address: settings.ControlAddress(), BuildBeacon: c.buildBeacon, HandleHint: c.addHint, Logger: logger,
	}); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	c.chooser = chooser.NewChooser(c.signaller.IsDown, c.agentReport)
	c.follower = follower.NewFollower(follower.Options{
		Source: platform.Source, FetchChanges: c.fetchChanges, Peers: c.followerPeers, Seeds: c.seeds, IsPlatformReader: c.isPlatformReader,
		Deadline: settings.Packets().ChangeDeadline(), StartSpread: settings.StartSpread(), Logger: logger,
	})
	c.follower.Subscribe(c.handleTable)
	c.messenger.Handle(messenger.LaneControl, c.follower.ServeTableRequests)
	c.buildPresenter()
	if err = c.buildOperator(ctx); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	if settings.Role() == cataloger.RoleBalancer {
		err = c.buildForwarder(ctx)
	} else {
		err = c.buildDeliverer(ctx)
	}
	return c, merry.Prepend(err, "start process")
}

func (c *Conductor) buildForwarder(ctx context.Context) (err error) {
	c.forwarder, err = forwarder.NewForwarder(ctx, forwarder.Options{
		Address: c.settings.Packets().Address(), Codec: c.platform.Codec, Table: c.follower.Table, TableAge: c.follower.TableAge,
		Chooser: c.chooser, IsDown: c.signaller.IsDown, Record: c.presenter.Record, Logger: c.logger,
	})
	return err
}

func (c *Conductor) buildDeliverer(ctx context.Context) (err error) {
	p := c.settings.Packets()
	c.deliverer, err = deliverer.NewDeliverer(ctx, deliverer.Options{
		Address: p.Address(), Outbound: p.OutboundAddress(), Backend: p.BackendAddress(), Service: p.Service(),
		Codec: c.platform.Codec, Table: c.follower.Table, Chooser: c.chooser, Tracker: c.tracker, SendHint: c.signaller.SendHint,
		TableAge: c.follower.TableAge, Record: c.presenter.Record, Logger: c.logger,
	})
	return err
}

// seeds returns the processes to fetch a first table from. Only their IP
// addresses are needed, because all processes use the same control port.
func (c *Conductor) seeds() []netip.Addr {
	var seeds []netip.Addr
	for _, s := range c.reloader.settings().Seeds() {
		if s.Addr() != c.settings.ControlAddress().Addr() {
			seeds = append(seeds, s.Addr())
		}
	}
	return seeds
}

// Run runs the process until it is stopped, the context ends or a part fails.
func (c *Conductor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer signal.Stop(c.signals)
	c.logger.Info().Uint64("incarnation", c.incarnation).Msg("process starts")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.messenger.Run(ctx) })
	group.Go(c.signaller.Receive)
	group.Go(func() error {
		c.follower.Run(ctx)
		return nil
	})
	group.Go(func() error { return c.serveHTTP(ctx) })
	if c.operator != nil {
		group.Go(func() error { return c.operator.Serve(ctx) })
	}
	group.Go(func() error {
		c.presenter.Run(ctx)
		return nil
	})
	group.Go(func() error {
		c.tick(ctx)
		return nil
	})
	if c.forwarder != nil {
		group.Go(c.forwarder.Run)
	} else {
		group.Go(c.deliverer.Run)
	}
	group.Go(func() error {
		defer cancel()
		c.awaitStop(ctx)
		return c.close()
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (c *Conductor) close() error {
	err := c.signaller.Close()
	if c.forwarder != nil {
		return errors.Join(err, c.forwarder.Close())
	}
	return errors.Join(err, c.deliverer.Close())
}

// tick sends beacons and expires flows until the context ends.
func (c *Conductor) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pauses := newPauseDetector(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			if paused, uncounted := pauses.tick(now); paused > 0 {
				c.follower.AddTableAge(uncounted)
				c.logger.Warn().Dur("duration_ms", paused).Dur("table_age_ms", c.follower.TableAge(now)).Msg("process did not run")
			}
			if agents := c.pendingAgents.Swap(nil); agents != nil {
				c.signaller.SetAgents(*agents)
			}
			c.signaller.Tick(now)
			c.updateIsolation()
			if c.deliverer != nil {
				c.tracker.Expire(now, c.follower.Table().IdleTimeout())
				c.logOwnTarget(now)
			}
		}
	}
}

// updateIsolation updates isIsolated from the liveness of the agents.
func (c *Conductor) updateIsolation() {
	if isIsolated := c.signaller.IsIsolated(); isIsolated != c.isIsolated.Load() {
		c.isIsolated.Store(isIsolated)
		c.logger.Warn().Bool("isolated", isIsolated).Msg("reachability of agents changed")
	}
}

// logOwnTarget logs when the agent's target stops or resumes answering, and when
// it becomes suspect or is no longer suspect.
func (c *Conductor) logOwnTarget(now time.Time) {
	load := c.tracker.Load(now)
	if load.IsSuspect != c.isSuspect {
		c.isSuspect = load.IsSuspect
		c.logger.Warn().Bool("suspect", load.IsSuspect).Int("running", load.Running).Msg("suspicion of own target changed")
	}
	isSilent := load.IsSilent
	switch {
	case isSilent && c.silentSince.IsZero():
		c.silentSince = now
		c.logger.Warn().Msg("own target does not answer")
	case !isSilent && !c.silentSince.IsZero():
		c.logger.Info().Dur("duration_ms", now.Sub(c.silentSince)).Msg("own target answers again")
		c.silentSince = time.Time{}
	}
}

// handleTable updates the set of agents and the number of the agent's own target
// from a new table.
func (c *Conductor) handleTable(t *router.Table) {
	agents := make(map[uint32]netip.Addr)
	own := c.settings.ControlAddress().Addr()
	t.VisitTargets(func(n uint32, target *router.Target) {
		if target.Address.Addr() != own {
			agents[n] = target.Address.Addr()
		}
	})
	c.pendingAgents.Store(&agents)
	if c.deliverer != nil {
		n, _, _ := t.FindTargetAt(c.settings.Packets().BackendAddress())
		c.ownTarget.Store(n)
	}
}
