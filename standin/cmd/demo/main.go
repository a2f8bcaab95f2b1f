// Command demo runs the main use case of kingcupvalve as separate processes on
// loopback. It exits with status 0 only if nothing broke.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"kingcupvalve.example/kingcupvalve/standin/demo"
)

// runTimeout is the longest time that a run may take.
const runTimeout = 45 * time.Second

func main() {
	seed := flag.Uint64("seed", 1, "seed of the callers' requests")
	keep := flag.Bool("keep", false, "keep the folder with settings and logs")
	page := flag.String("page", "", "file for the report on service-level burn as HTML")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	program, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("seed %d\n", *seed)
	report, err := demo.Run(ctx, demo.Options{
		BinDir: filepath.Dir(program), Out: os.Stdout, Seed: *seed, KeepDir: *keep, BurnReportFile: *page,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	report.Write(os.Stdout)
	if !report.IsClean() {
		os.Exit(1)
	}
}
