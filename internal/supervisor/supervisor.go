// Package supervisor builds the role of a process from its settings, runs it
// and stops it gracefully.
//
// The order of a start is: peer sessions, watcher, operator API, then, once the
// highest known configuration revision is in force, the role. SIGTERM starts a
// graceful shutdown with the drain deadline; a second SIGTERM more than a second
// later ends it at once.
//
// # Usage
//
//	s, err := supervisor.NewSupervisor(settings, logger)
//	if err != nil {
//		return err
//	}
//	err = s.Run(ctx)
package supervisor

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/meter"
	"kingcupvalve.example/kingcupvalve/internal/operator"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/validator"
	"kingcupvalve.example/kingcupvalve/internal/watcher"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// States of a process.
const (
	stateStarting int32 = iota
	stateServing
	stateDraining
)

// repeatWindow is the time after the first signal in which further ones are
// taken for the same request: timeout(1) and some init systems signal both the
// process and its group.
const repeatWindow = time.Second

// ErrForced reports a stop by a second signal.
var ErrForced = merry.New("stop was forced by a second signal")

// role is what a balancer and an agent have in common.
type role interface {
	Run(ctx context.Context) error
	Shutdown(ctx context.Context) error
}

// Supervisor runs one process.
type Supervisor struct {
	settings    *parser.Settings
	logger      zerolog.Logger
	ring        *deriver.KeyRing
	incarnation uint64
	startedAt   time.Time
	messenger   *messenger.Messenger
	watcher     *watcher.Watcher
	recorder    *recorder.Recorder
	operator    *operator.Endpoint
	state       atomic.Int32
	drain       chan struct{}
	// view gives the role's part of the operator API once the role runs.
	view atomic.Pointer[roleView]
}

// NewSupervisor loads keys and certificates and binds the control and operator
// addresses.
func NewSupervisor(settings *parser.Settings, logger zerolog.Logger) (*Supervisor, error) {
	s := &Supervisor{
		settings: settings, logger: logger, startedAt: time.Now(), incarnation: newIncarnation(time.Now()),
		recorder: recorder.NewRecorder(recorder.Options{}), drain: make(chan struct{}, 1),
	}
	var err error
	if s.ring, err = settings.KeyRing(); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	if err := s.buildMessenger(); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	s.refuseRequests()
	if err := s.buildWatcher(); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	if err := s.buildOperator(); err != nil {
		return nil, merry.Prepend(err, "start process")
	}
	meter.Register(meter.Process{
		Role: settings.Role(), Version: operator.Version(), StartedAt: s.startedAt,
		Revision: func() uint64 { return s.watcher.Status().Revision() },
	})
	return s, nil
}

// newIncarnation returns a number that no other run of the process has: the
// time in ms in the upper bits keeps it rising, random lower bits tell apart
// starts within the same ms.
func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<20 | rand.Uint64N(1<<20)
}

func (s *Supervisor) buildMessenger() error {
	server, err := s.settings.PeerTLS().ServerConfig()
	if err != nil {
		return err
	}
	client, err := s.settings.PeerTLS().ClientConfig()
	if err != nil {
		return err
	}
	client.ClientCAs = server.ClientCAs
	s.messenger, err = messenger.NewMessenger(messenger.Options{
		Address: s.settings.ControlAddress(), TLS: client, Logger: s.logger,
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{
				Process: s.settings.Process(), Incarnation: s.incarnation, Role: s.settings.Role(),
				AvailabilityZone: s.settings.AvailabilityZone(), Target: s.settings.TargetNumber(),
				Revision: s.watcher.Status().Revision(),
			}
		},
	})
	return err
}

func (s *Supervisor) buildWatcher() (err error) {
	s.watcher, err = watcher.NewWatcher(watcher.Options{
		Name: s.settings.Process(), AvailabilityZone: s.settings.AvailabilityZone(), PlatformURL: s.settings.PlatformURL(),
		Messenger: s.messenger, Validate: validator.CheckFleet, Seeds: s.settings.Seeds(),
		StartSpread: s.settings.StartSpread(), Logger: s.logger,
		ServeDigests: func(stream *messenger.Stream, first *wirepb.Envelope) {
			if v := s.view.Load(); v != nil && v.serveDigests != nil {
				v.serveDigests(stream, first)
			}
		},
	})
	return err
}

func (s *Supervisor) buildOperator() (err error) {
	s.operator, err = operator.NewEndpoint(context.Background(), s.settings.OperatorAddress(), s.settings.OperatorTLS(), operator.Options{
		Logger: s.logger, Status: s.status, Targets: s.targets, Flows: s.flows, Burn: s.burn, Drain: s.requestDrain,
	})
	return err
}

// requestDrain starts a graceful shutdown; further requests change nothing.
func (s *Supervisor) requestDrain() {
	select {
	case s.drain <- struct{}{}:
	default:
	}
}

// Run runs the process until it has drained, the context ends or a part fails.
func (s *Supervisor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	group, groupContext := errgroup.WithContext(ctx)
	group.Go(func() error { return s.messenger.Run(groupContext) })
	group.Go(func() error { return s.watcher.Run(groupContext) })
	group.Go(func() error { return s.operator.Serve(groupContext) })
	group.Go(func() error {
		s.recorder.Follow(groupContext, s.eventState)
		return nil
	})
	group.Go(func() error {
		defer cancel(nil)
		return s.runRole(groupContext, signals)
	})
	err := group.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// runRole waits for a configuration, runs the role and drains it on a signal.
func (s *Supervisor) runRole(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-signals:
		return nil
	case <-s.drain:
		return nil
	case <-s.watcher.Ready():
	}
	r, err := s.buildRole()
	if err != nil {
		return err
	}
	runContext, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- r.Run(runContext) }()
	s.state.Store(stateServing)
	s.logger.Info().Uint64("revision", s.watcher.Status().Revision()).Msg("process serves")
	select {
	case err := <-done:
		return err
	case <-signals:
	case <-s.drain:
	}
	s.state.Store(stateDraining)
	s.recorder.AddEvent(recorder.NewEvent(recorder.EventDrain, "", "", s.settings.Process()+" drains"), time.Now())
	err = s.shutdown(ctx, r, signals)
	cancel()
	return errors.Join(err, <-done)
}

// shutdown drains the role within the drain deadline.
func (s *Supervisor) shutdown(ctx context.Context, r role, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeoutCause(ctx, s.drainDeadline(), nil)
	defer cancel()
	started := time.Now()
	forced := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				if time.Since(started) < repeatWindow {
					continue
				}
				close(forced)
				cancel()
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	err := r.Shutdown(ctx)
	s.logger.Info().Err(err).Int64("duration_ms", time.Since(started).Milliseconds()).Msg("drain ended")
	select {
	case <-forced:
		return merry.Wrap(ErrForced)
	default:
		return err
	}
}

// drainDeadline returns the deadline of the settings, or else of the policy of
// the agent's target.
func (s *Supervisor) drainDeadline() time.Duration {
	if s.settings.HasDrainDeadline() || s.settings.Role() != cataloger.RoleAgent {
		return s.settings.DrainDeadline()
	}
	if t, ok := s.watcher.Snapshot().TargetByNumber(s.settings.TargetNumber()); ok {
		return time.Duration(t.Policy().DrainDeadlineMs) * time.Millisecond
	}
	return s.settings.DrainDeadline()
}
