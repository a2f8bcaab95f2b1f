// Command reviewstand plays one case of the review: it starts the programs of a
// small deployment as separate processes on loopback addresses, with a stand-in of
// the platform's store, of the routers, the targets and the callers, and checks a
// rule from what callers and targets see.
//
// # Usage
//
//	reviewstand --case crash --program target/kingcupvalved --record review/1/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With --trouble=false it does the same without the disruption.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// startGap is the time between the starts of two users.
	startGap   = 10 * time.Millisecond
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, f *fleet, trouble bool) error{"crash": playCrash}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/kingcupvalved", "program of the deploy file")
	path := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	broken, err := play(*name, *program, *path, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	case broken > 0:
		fmt.Printf("rule broken %d times\n", broken)
		os.Exit(exitBroken)
	}
	fmt.Println("rule held")
}

func play(name, program, path string, trouble bool) (int, error) {
	run, ok := cases[name]
	if !ok {
		return 0, errors.New("unknown case")
	}
	var n names
	if err := json.Unmarshal(namesFile, &n); err != nil {
		return 0, err
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "reviewstand")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := newRecord()
	f, err := newFleet(program, dir, n, r)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	go f.checkReadiness(ctx)
	if err := run(ctx, f, trouble); err != nil {
		return 0, err
	}
	if ctx.Err() != nil {
		return 0, errors.New("interrupted")
	}
	cancel()
	if r.counts["requests answered"] == 0 {
		return 0, errors.New("no request was answered")
	}
	f.judgeFlows()
	return len(r.failures), r.write(path)
}

// startAll starts balancers and agents with their targets, and waits until routers
// can use them and all are in touch.
func startAll(ctx context.Context, f *fleet, balancers, agents int) error {
	for range balancers {
		if _, err := f.add("balancer"); err != nil {
			return err
		}
	}
	for range agents {
		p, err := f.add("agent")
		if err != nil {
			return err
		}
		if err := f.addTarget(p); err != nil {
			return err
		}
		go p.target.reportRegularly()
	}
	sleep(ctx, stabilityWindow+2*time.Second)
	return nil
}

// startUsers starts users at several addresses; see runUser.
func startUsers(ctx context.Context, f *fleet, hosts, users int, pause time.Duration) error {
	for h := range hosts {
		host, err := newCallerHost(f, f.host(byte(100+h)))
		if err != nil {
			return err
		}
		for u := range users {
			go host.runUser(ctx, u, f.published, pause)
			sleep(ctx, startGap)
		}
	}
	return nil
}

// playCrash lets a target crash for good while a balancer is added.
func playCrash(ctx context.Context, f *fleet, trouble bool) error {
	if err := startAll(ctx, f, 3, 7); err != nil {
		return err
	}
	if err := startUsers(ctx, f, 20, 12, 600*time.Millisecond); err != nil {
		return err
	}
	sleep(ctx, 6*time.Second)
	if trouble {
		crashed := f.agents[0].target
		f.record.add("trouble: target %s crashes for good", crashed.id)
		crashed.crash()
	}
	f.record.add("planned: a balancer is added")
	if err := f.addNew("balancer"); err != nil {
		return err
	}
	sleep(ctx, 12*time.Second)
	return nil
}
