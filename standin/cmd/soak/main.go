// Command soak runs balancers and agents in packet mode under random faults and
// checks the guarantees. It exits with status 1 if one is violated.
//
// It prints one JSON line for each seed. In it, calm is the number of requests
// that began in the steady state, explained is the number of failures for which the
// logs show a cause, and live_resets is the number of open flows that were reset
// although their targets held them. With -evacuations, evacuated is the number of new
// flows at targets of zones whose evacuation was requested less than its deadline ago.
//
// # Usage
//
//	soak -program bin/kingcupvalved -seed 7 -seeds 3 -length 20s
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"kingcupvalve.example/kingcupvalve/standin/soaker"
)

func main() {
	program := flag.String("program", "bin/kingcupvalved", "daemon to run")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	length := flag.Duration("length", 15*time.Second, "time with faults for each seed")
	dir := flag.String("dir", "out/soak", "folder of settings and logs")
	feeds := flag.Int("feeds", 4, "targets of the first service; the others follow in proportion")
	restores := flag.Bool("restores", false, "let the store come back from older copies too")
	odd := flag.Bool("odd", false, "write odd entries of other writers to the store too")
	evacuations := flag.Bool("evacuations", false, "put the processes into two availability zones and evacuate them too")
	flag.Parse()
	isViolated := false
	for i := range *seeds {
		ok, err := soak(soaker.Options{
			Program: *program, Seed: *seed + uint64(i), Length: *length,
			Balancers: max(2, *feeds/2), Feeds: *feeds, Bundles: max(2, *feeds/2), HasRestores: *restores,
			HasOddEntries: *odd, HasEvacuations: *evacuations,
		}, *dir)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		isViolated = isViolated || !ok
	}
	if isViolated {
		os.Exit(1)
	}
}

func soak(options soaker.Options, root string) (bool, error) {
	dir, err := filepath.Abs(filepath.Join(root, fmt.Sprint("seed-", options.Seed)))
	if err != nil {
		return false, err
	}
	// Logs of an earlier run contain flows with the same addresses, which would
	// mix with those of this run.
	if err := os.RemoveAll(dir); err != nil {
		return false, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	options.Dir = dir
	s, err := soaker.NewSoak(options)
	if err != nil {
		return false, err
	}
	report, err := s.Run(context.Background())
	if err != nil {
		return false, err
	}
	all, answered, steady := report.Requests()
	line := map[string]any{
		"seed": options.Seed, "requests": all, "answered": answered, "calm": steady, "live_resets": report.LiveResets(),
		"violations": len(report.Violations()), "dir": dir,
	}
	if options.HasEvacuations {
		line["evacuated"] = report.Evacuated()
	}
	if len(report.Failures()) > 0 {
		explained, err := explainFailures(report.Failures(), dir)
		if err != nil {
			return false, err
		}
		line["failed"], line["explained"] = len(report.Failures()), explained
	}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return false, err
	}
	if len(report.Violations()) == 0 {
		return true, nil
	}
	for _, e := range report.Events() {
		fmt.Println("event:", e)
	}
	for _, v := range report.Violations() {
		fmt.Println("violation:", v)
	}
	return false, nil
}
