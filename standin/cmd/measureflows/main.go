// Command measureflows plays loads and faults against the decisions about packet
// flows in virtual time, and compares the policy with variants of its rules.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"regexp"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/standin/simulator"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measureflows:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "measureflows",
		Usage: "compare variants of the decisions about packet flows in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "loads", Value: "standin/simulator/loads/flows.yaml", Usage: "file of loads"},
			&cli.IntFlag{Name: "seeds", Value: 30, Usage: "number of seeds of each load and variant"},
			&cli.IntFlag{Name: "workers", Usage: "runs at the same time"},
			&cli.StringFlag{Name: "load", Usage: "expression on load names"},
			&cli.StringFlag{Name: "variant", Usage: "expression on variant names; the policy is always played"},
			&cli.BoolFlag{Name: "placements", Usage: "compare placements of new flows in place of rules"},
			&cli.BoolFlag{Name: "admission", Usage: "compare admission by slots, the policy, with admission by priority"},
			&cli.StringFlag{Name: "lines", Usage: "file for JSON lines"},
			&cli.StringFlag{Name: "plots", Usage: "existing directory for SVG plots of seed 1"},
		},
		Action: measure,
	}
}

func measure(_ context.Context, c *cli.Command) (err error) {
	loads, err := simulator.ReadLoads(c.String("loads"))
	if err != nil {
		return err
	}
	if loads, err = filter(loads, c.String("load"), func(l simulator.Load) string { return l.Name }); err != nil {
		return err
	}
	variants := simulator.Variants()
	if c.Bool("placements") {
		variants = simulator.Placements()
	}
	if c.Bool("admission") {
		variants = simulator.AdmissionVariants()
	}
	policy, others := variants[:1], variants[1:]
	if others, err = filter(others, c.String("variant"), simulator.Variant.Name); err != nil {
		return err
	}
	o := simulator.Options{Seeds: c.Int("seeds"), Workers: c.Int("workers")}
	if path := c.String("lines"); path != "" {
		f, createErr := os.Create(path)
		if createErr != nil {
			return merry.Prepend(createErr, "create file of lines")
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		o.Lines = f
	}
	if _, err := simulator.Measure(os.Stdout, loads, append(policy, others...), o); err != nil {
		return err
	}
	if directory := c.String("plots"); directory != "" {
		return simulator.WritePlots(directory, loads, 1)
	}
	return nil
}

// filter returns the elements whose name matches an expression as a whole. An
// empty expression matches all.
func filter[T any](all []T, expression string, name func(T) string) ([]T, error) {
	if expression == "" {
		return all, nil
	}
	e, err := regexp.Compile("^(" + expression + ")$")
	if err != nil {
		return nil, merry.Prependf(err, "read expression %q", expression)
	}
	var kept []T
	for _, x := range all {
		if e.MatchString(name(x)) {
			kept = append(kept, x)
		}
	}
	return kept, nil
}
