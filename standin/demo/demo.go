// Package demo runs the main use case as separate processes and reports what
// callers and backend servers saw.
//
// Feeds, short amendments and long bundles continue while a configuration
// change is published, one backend server is drained and one balancer is
// replaced.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Options{BinDir: "bin", Out: os.Stdout, Seed: 1})
//	if err == nil && !report.IsClean() {
//		os.Exit(1)
//	}
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"kingcupvalve.example/kingcupvalve/standin/launcher"
	"kingcupvalve.example/kingcupvalve/standin/loader"
)

// Options configures one run.
type Options struct {
	// BinDir is the directory of the programs kingcupvalved, kingcupvalvectl
	// and standin.
	BinDir string
	// Out receives progress lines and the burn report.
	Out io.Writer
	// Seed determines the pauses between the callers' requests.
	Seed uint64
	// BurnReportFile is the file for the HTML report on service-level burn; no
	// report is made if it is empty.
	BurnReportFile string
	// KeepDir keeps the directory of the run with the logs of all processes.
	KeepDir bool
}

// changeInterval is the time between two planned changes.
const changeInterval = 4 * time.Second

// Run executes the demo. It returns an error if a process can't be started or
// exits unexpectedly; faults that callers see are part of the report.
func Run(ctx context.Context, o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "kingcupvalve-demo-")
	if err != nil {
		return Report{}, fmt.Errorf("create run directory: %w", err)
	}
	if !o.KeepDir {
		defer os.RemoveAll(dir)
	}
	f, err := launcher.NewFleet(dir, o.BinDir)
	if err != nil {
		return Report{}, err
	}
	defer f.StopAll()
	d := &driver{options: o, fleet: f, load: loader.NewLoad(f, o.Seed), started: time.Now()}
	if err := d.run(ctx); err != nil {
		return Report{}, fmt.Errorf("run demo in %s: %w", dir, err)
	}
	return NewReport(d.load, f.Records()), nil
}

// driver runs the steps of the demo in order.
type driver struct {
	options Options
	fleet   *launcher.Fleet
	load    *loader.Load
	started time.Time
}

func (d *driver) printProgress(format string, args ...any) {
	fmt.Fprintf(d.options.Out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *driver) run(ctx context.Context) error {
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	d.printProgress("started platform, fabric, %d backend servers with agents, %d balancers", len(d.fleet.Agents()), len(d.fleet.Balancers()))
	if err := d.load.Start(ctx); err != nil {
		return err
	}
	d.printProgress("serving feeds, amendments and bundles")
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"published a configuration change (weight of cutlist-1)", d.changeWeight},
		{"drained backend server cutlist-2", func(ctx context.Context) error { return d.fleet.StopAgent(ctx, d.fleet.Agents()[1]) }},
		{"replaced balancer-1 by balancer-3", d.replaceBalancer},
	}
	for _, s := range steps {
		if err := launcher.Sleep(ctx, changeInterval); err != nil {
			return err
		}
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		d.printProgress("%s", s.name)
	}
	if err := launcher.Sleep(ctx, changeInterval); err != nil {
		return err
	}
	d.load.Stop()
	d.printProgress("stopped the callers")
	if err := d.fleet.CollectRecords(ctx); err != nil {
		return err
	}
	return d.writeBurnReport(ctx)
}

// writeBurnReport writes the HTML report on service-level burn and prints its
// summary.
func (d *driver) writeBurnReport(ctx context.Context) error {
	if d.options.BurnReportFile == "" {
		return nil
	}
	text, err := d.fleet.BurnReport(ctx, d.options.BurnReportFile)
	if err != nil {
		return fmt.Errorf("%w: %s", err, text)
	}
	fmt.Fprintln(d.options.Out, text)
	d.printProgress("wrote the burn report to %s", d.options.BurnReportFile)
	return nil
}

func (d *driver) changeWeight(ctx context.Context) error {
	if err := d.fleet.ChangeWeight(ctx, 50); err != nil {
		return err
	}
	_, err := d.fleet.WaitInForce(ctx)
	return err
}

func (d *driver) replaceBalancer(ctx context.Context) error {
	if _, err := d.fleet.AddBalancer(ctx); err != nil {
		return err
	}
	return d.fleet.RetireBalancer(ctx, d.fleet.Balancers()[0])
}
