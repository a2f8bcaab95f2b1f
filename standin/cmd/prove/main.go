// Command prove checks the guarantees against real processes under faults and
// prints a JSON line for each scenario. It exits with status 1 if a guarantee
// was violated.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"kingcupvalve.example/kingcupvalve/standin/prover"
)

func main() {
	seed := flag.Uint64("seed", 1, "first seed")
	budget := flag.Duration("budget", 4*time.Minute, "time after which no further scenario starts")
	only := flag.String("scenarios", "", "names of scenarios, separated by commas; all when empty")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	violated, err := run(ctx, *seed, *budget, *only)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || violated {
		os.Exit(1)
	}
}

// run executes the scenarios in rounds, each with the next seed, until the
// budget is used up. Every selected scenario runs at least once.
func run(ctx context.Context, seed uint64, budget time.Duration, only string) (violated bool, err error) {
	program, err := os.Executable()
	if err != nil {
		return false, fmt.Errorf("find executable path: %w", err)
	}
	end := time.Now().Add(budget)
	for round := seed; round == seed || time.Now().Before(end); round++ {
		for _, s := range prover.NewScenarios() {
			if only != "" && !slices.Contains(strings.Split(only, ","), s.Name()) {
				continue
			}
			if round > seed && time.Now().After(end) {
				return violated, nil
			}
			v, err := prover.Run(ctx, prover.Options{BinDir: filepath.Dir(program), Seed: round}, s)
			if err != nil {
				return violated, err
			}
			if err := v.Write(os.Stdout); err != nil {
				return violated, err
			}
			violated = violated || len(v.Violations()) > 0
		}
	}
	return violated, nil
}
