// Command capacity measures the slopes of the capacity page and prints them
// with the rows that are computed from them. It reads slopes that it can't
// measure itself from standard input.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/standin/sizer"
)

// runTimeout is the longest time that a run may take.
const runTimeout = 5 * time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	slopes, err := sizer.Measure(ctx)
	if err != nil {
		return err
	}
	// Slopes of platform reads are measured by the watcher's TestMeasureReads
	// and read from standard input. Input lines of slopes that were measured
	// here are skipped, so that the page itself can be the input.
	reads, err := sizer.ReadSlopes(os.Stdin)
	if err != nil {
		return err
	}
	measured := len(slopes)
	for _, r := range reads {
		if !slices.ContainsFunc(slopes[:measured], func(s sizer.Slope) bool { return s.Name() == r.Name() }) {
			slopes = append(slopes, r)
		}
	}
	if err := sizer.WriteSlopes(os.Stdout, slopes); err != nil {
		return err
	}
	rows, err := sizer.BuildRows(sizer.NewDesignSize(), slopes)
	if err != nil {
		return err
	}
	fmt.Println()
	fmt.Println(sizer.FormatRows(rows))
	return nil
}
