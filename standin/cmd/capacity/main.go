// Command capacity measures the slopes of the capacity page and prints them
// with the rows that follow from them.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/standin/sizer"
)

// limit bounds a run.
const limit = 5 * time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	slopes, err := sizer.Measure(ctx)
	if err != nil {
		return err
	}
	// The counts of platform reads come from the watcher's TestMeasureReads.
	// Lines of slopes that were measured here are left out, so that the page
	// itself may be the input.
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
