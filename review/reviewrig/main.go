// Command reviewrig plays one case of the second review: it starts the project's own
// programs on loopback addresses, with a store, targets, routers and callers of its
// own, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
//
// # Usage
//
//	reviewrig -case stale-beacons -program target/kingcupvalved -record review/6/record.txt
//	TROUBLE=0 reviewrig -case stale-beacons ...
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit is the time after which a case counts as one that could not run.
const caseLimit = 110 * time.Second

// playFunc plays a case and returns the number of breaks of its rule.
type playFunc func(ctx context.Context, r *rig, hasTrouble bool) (int, error)

var cases = map[string]playFunc{
	"stale-beacons": playStaleBeacons,
	"power-loss":    playPowerLoss,
	"new-routes":    playNewRoutes,
	"clock-step":    playClockStep,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/kingcupvalved", "the program under test")
	record := flag.String("record", "record.txt", "file of what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *keep))
}

func play(name, program, record string, keep bool) int {
	playCase, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "reviewrig-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep {
		fmt.Println("logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	r, err := newRig(program, dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupts:
		case <-ctx.Done():
			if ctx.Err() == context.Canceled {
				return
			}
		}
		r.record("could not run: interrupted or too slow")
		r.close()
		os.Exit(2)
	}()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	broken, err := playCase(ctx, r, hasTrouble)
	switch {
	case err != nil:
		r.record("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken > 0:
		fmt.Printf("rule broken %d times, see %s\n", broken, record)
		return 1
	}
	fmt.Println("rule held")
	return 0
}
