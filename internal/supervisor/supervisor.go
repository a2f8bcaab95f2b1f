// Package supervisor builds the role of a process from its settings, runs it
// and shuts it down gracefully.
//
// A process starts its peer sessions, the watcher and the operator API, and then,
// once the highest known configuration revision is in force, its role. SIGTERM
// starts a graceful shutdown with the drain deadline; a second SIGTERM more than a
// second later stops the process immediately.
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

// duplicateSignalWindow is the time after the first signal in which further signals
// are treated as duplicates: timeout(1) and some init systems signal both the
// process and its process group.
const duplicateSignalWindow = time.Second

// ErrForcedStop is returned by Run if a second signal stopped the process before its
// role had drained.
var ErrForcedStop = merry.New("drain role: stopped by a second signal")

// role is a balancer or an agent.
type role interface {
	Run(ctx context.Context) error
	Shutdown(ctx context.Context) error
}

// Supervisor runs one process.
type Supervisor struct {
	settings      *parser.Settings
	logger        zerolog.Logger
	ring          *deriver.KeyRing
	incarnation   uint64
	startedAt     time.Time
	messenger     *messenger.Messenger
	watcher       *watcher.Watcher
	recorder      *recorder.Recorder
	operator      *operator.Endpoint
	state         atomic.Int32
	drainRequests chan struct{}
	// roleView is nil until the role is built.
	roleView atomic.Pointer[roleView]
}

// NewSupervisor loads keys and certificates and binds the control and operator
// addresses.
func NewSupervisor(settings *parser.Settings, logger zerolog.Logger) (*Supervisor, error) {
	s := &Supervisor{
		settings: settings, logger: logger, startedAt: time.Now(), incarnation: newIncarnation(time.Now()),
		recorder: recorder.NewRecorder(recorder.Options{}), drainRequests: make(chan struct{}, 1),
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

// newIncarnation returns a number that identifies this run of the process. The Unix
// time in ms in the upper bits makes it increase from run to run; the random lower
// 20 bits distinguish runs that start within the same ms.
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
			if v := s.roleView.Load(); v != nil && v.serveDigests != nil {
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

// requestDrain starts a graceful shutdown. Further calls have no effect.
func (s *Supervisor) requestDrain() {
	select {
	case s.drainRequests <- struct{}{}:
	default:
	}
}

// Run runs the process until it has drained, the context is cancelled or a
// component fails.
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
		s.recorder.RecordChanges(groupContext, s.eventState)
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

// runRole waits for a configuration, runs the role and drains it on a signal or a
// drain request.
func (s *Supervisor) runRole(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-signals:
		return nil
	case <-s.drainRequests:
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
	case <-s.drainRequests:
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
				if time.Since(started) < duplicateSignalWindow {
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
	s.logger.Info().Err(err).Int64("duration_ms", time.Since(started).Milliseconds()).Msg("drain finished")
	select {
	case <-forced:
		return merry.Wrap(ErrForcedStop)
	default:
		return err
	}
}

// drainDeadline returns the drain deadline of the settings or, for an agent whose
// settings have none, that of its target's policy.
func (s *Supervisor) drainDeadline() time.Duration {
	if s.settings.HasDrainDeadline() || s.settings.Role() != cataloger.RoleAgent {
		return s.settings.DrainDeadline()
	}
	if t, ok := s.watcher.Snapshot().TargetByNumber(s.settings.TargetNumber()); ok {
		return time.Duration(t.Policy().DrainDeadlineMs) * time.Millisecond
	}
	return s.settings.DrainDeadline()
}
