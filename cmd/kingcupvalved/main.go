// Command kingcupvalved runs a process of the load balancer, either a balancer or
// an agent, as configured in its settings file. It exits with status 2 if the
// settings file has problems, and with 1 on other errors.
//
// # Usage
//
//	kingcupvalved --settings /etc/kingcupvalve/settings.yaml
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/internal/logger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/runner"
	"kingcupvalve.example/kingcupvalve/internal/supervisor"
	"kingcupvalve.example/kingcupvalve/internal/validator"
	"kingcupvalve.example/kingcupvalve/platform"
)

// Log limits. A repeated fault is logged at most faultBurst times per
// faultPeriod, enough to show each request that a small drain cuts off.
const (
	faultBurst  = 20
	faultPeriod = 10 * time.Second
	// routineBurst limits the lines of each info message per faultPeriod. It
	// is enough for 300 new flows per second.
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
	p, err := newProcess(ctx, settings, faults.Logger())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		faults.Run(ctx)
	}()
	err = p.Run(ctx)
	cancel()
	<-flushed
	return err
}

// process is what the command runs: a supervisor for HTTP/3, or a runner for
// packet flows.
type process interface {
	Run(ctx context.Context) error
}

// newProcess returns the process for the mode that the settings select.
func newProcess(ctx context.Context, settings *parser.Settings, log zerolog.Logger) (process, error) {
	if !settings.ServesPackets() {
		return supervisor.NewSupervisor(settings, log)
	}
	store := platform.NewStore(settings.PlatformURL(), log)
	return runner.NewRunner(ctx, settings, runner.Platform{
		Source: store.Source(), Codec: platform.NewCodec(), ReadyPath: platform.ReadyPath, SetURL: store.SetURL,
	}, log)
}

// newOutput returns the writer for log lines and a function that closes it. A
// process in packet mode writes to standard output through a queue, so that it
// never blocks on the output.
func newOutput(settings *parser.Settings) (io.Writer, func()) {
	if !settings.ServesPackets() {
		return os.Stderr, func() {}
	}
	return logger.NewQueue(os.Stdout)
}
