// Command flowstand runs one case of a review against the real programs: it
// starts them on loopback addresses beside small stand-ins of the platform's
// store, the routers, the callers and the targets, and judges what the callers
// and the targets see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
// case could not run.
//
// # Usage
//
//	flowstand -case frozen-agent -program target/kingcupvalved -root . -record record.txt
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// runLimit ends a case that does not end by itself.
const runLimit = 110 * time.Second

// options are the arguments of a run.
type options struct {
	name     string
	program  string
	root     string
	record   string
	trouble  bool
	keepLogs string
}

// cases has the function of each case, which returns whether the rule was broken.
var cases = map[string]func(f *fleet) (bool, error){
	"frozen-agent": runFrozenAgent,
}

func main() {
	var o options
	flag.StringVar(&o.name, "case", "", "name of the case")
	flag.StringVar(&o.program, "program", "target/kingcupvalved", "program under review")
	flag.StringVar(&o.root, "root", ".", "root of the repository")
	flag.StringVar(&o.record, "record", "record.txt", "file that gets what was sent, answered and run")
	flag.StringVar(&o.keepLogs, "logs", "", "folder that gets the logs of the programs")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	os.Exit(run(o))
}

func run(o options) int {
	file, err := os.Create(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	record := newRecord(io.MultiWriter(file))
	play, ok := cases[o.name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", o.name)
		return exitFailed
	}
	f, err := newFleet(o, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	type result struct {
		isBroken bool
		err      error
	}
	done := make(chan result, 1)
	go func() {
		isBroken, err := play(f)
		done <- result{isBroken, err}
	}()
	select {
	case r := <-done:
		return report(record, r.isBroken, r.err)
	case <-time.After(runLimit):
		return report(record, false, fmt.Errorf("the case did not end within %v", runLimit))
	}
}

func report(record *record, isBroken bool, err error) int {
	switch {
	case err != nil:
		record.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case isBroken:
		record.write("result: the rule was broken")
		return exitBroken
	}
	record.write("result: the rule held")
	return exitHeld
}
