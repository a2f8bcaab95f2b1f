// Command kingcupvalved runs one process of the load balancer, a balancer or an
// agent, as its settings file says.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/internal/conductor"
	"kingcupvalve.example/kingcupvalve/internal/logger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/supervisor"
	"kingcupvalve.example/kingcupvalve/internal/validator"
	"kingcupvalve.example/kingcupvalve/platform"
)

// A repeating fault writes at most faultBurst lines in each faultPeriod. The
// burst shows every request that a small drain cuts off.
const (
	faultBurst  = 20
	faultPeriod = 10 * time.Second
	// routineBurst shows every new flow of a process up to 300 a second.
	routineBurst = 3000
)

func main() {
	command := &cli.Command{
		Name:  "kingcupvalved",
		Usage: "run a balancer or an agent",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings file in YAML"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("settings"))
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	settings, err := parser.ParseSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(validator.ExitInvalid)
	}
	if problems := validator.ValidateSettings(settings); len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, p.String())
		}
		os.Exit(validator.ExitInvalid)
	}
	output, closeOutput := newOutput(settings)
	defer closeOutput()
	log, err := logger.NewLogger(output, logger.Options{
		Level: settings.LogLevel(), Format: settings.LogFormat(), Process: settings.Process(), Role: settings.Role(),
		AvailabilityZone: settings.AvailabilityZone(),
	})
	if err != nil {
		return err
	}
	faults := logger.NewFaultLog(log, faultBurst, faultPeriod)
	if settings.ServesPackets() {
		faults.LimitInfo(routineBurst)
	}
	r, err := newRunner(ctx, settings, faults.Logger())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		faults.Run(ctx)
	}()
	err = r.Run(ctx)
	cancel()
	<-flushed
	return err
}

// runner is a process of either way of serving.
type runner interface {
	Run(ctx context.Context) error
}

func newRunner(ctx context.Context, settings *parser.Settings, log zerolog.Logger) (runner, error) {
	if !settings.ServesPackets() {
		return supervisor.NewSupervisor(settings, log)
	}
	store := platform.NewStore(settings.PlatformURL(), log)
	return conductor.NewConductor(ctx, settings, conductor.Platform{
		Source: store.Source(), Codec: platform.NewCodec(), ReadyPath: platform.ReadyPath, SetURL: store.SetURL,
	}, log)
}

// newOutput returns the output of log lines. A process that forwards packets
// writes to standard output and never waits for it.
func newOutput(settings *parser.Settings) (io.Writer, func()) {
	if !settings.ServesPackets() {
		return os.Stderr, func() {}
	}
	return logger.NewQueue(os.Stdout)
}
