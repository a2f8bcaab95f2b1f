// Command measure evaluates the policy of target selection and admission in
// virtual time and writes a table, JSON lines and plots.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/standin/measurer"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure the policy in virtual time; fails when an objective is missed",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds"},
			&cli.IntFlag{Name: "workers", Usage: "runs at the same time"},
			&cli.BoolFlag{Name: "quick", Usage: "leave out the hour and the weekend"},
			&cli.StringFlag{Name: "scenario", Usage: "expression on scenario names"},
			&cli.StringFlag{Name: "service", Usage: "expression on service names"},
			&cli.StringFlag{Name: "variant", Usage: "expression on variant names"},
			&cli.StringFlag{Name: "lines", Usage: "file for JSON lines"},
			&cli.StringFlag{Name: "read", Usage: "file of JSON lines to report instead of measuring"},
			&cli.StringFlag{Name: "page", Usage: "file for the Markdown page"},
			&cli.StringFlag{Name: "commit", Usage: "commit that the page names"},
			&cli.StringFlag{Name: "plots", Usage: "directory for SVG plots"},
		},
		Action: measure,
	}
}

func measure(_ context.Context, c *cli.Command) error {
	o := measurer.Options{Seeds: c.Int("seeds"), Workers: c.Int("workers"), Quick: c.Bool("quick")}
	for name, field := range map[string]**regexp.Regexp{
		"scenario": &o.Scenarios, "service": &o.Services, "variant": &o.Variants,
	} {
		if c.String(name) == "" {
			continue
		}
		e, err := regexp.Compile("^(" + c.String(name) + ")$")
		if err != nil {
			return merry.Prependf(err, "read flag %s", name)
		}
		*field = e
	}
	results, err := measureOrRead(o, c.String("read"), c.String("lines"))
	if err != nil {
		return err
	}
	missed, err := measurer.WriteTable(os.Stdout, results)
	if err != nil {
		return err
	}
	if path := c.String("page"); path != "" {
		origin := measurer.Origin{Command: "make measure", Commit: c.String("commit")}
		write := func(f io.Writer) error { return measurer.WritePage(f, results, origin) }
		if err := writeFile(path, write); err != nil {
			return err
		}
	}
	if path := c.String("plots"); path != "" {
		if err := measurer.WritePlots(path); err != nil {
			return err
		}
	}
	if missed > 0 {
		return merry.Errorf("%d objectives missed", missed)
	}
	return nil
}

// measureOrRead returns the results of earlier runs, read from the file from, or
// runs the measurement if from is empty. It then writes the lines of each run to
// the file lines, unless that is empty, as soon as the run ends.
func measureOrRead(o measurer.Options, from, lines string) ([]measurer.Result, error) {
	if from != "" {
		f, err := os.Open(from)
		if err != nil {
			return nil, merry.Prepend(err, "open lines")
		}
		results, err := measurer.ReadLines(f)
		return results, errors.Join(err, f.Close())
	}
	if lines == "" {
		return measurer.Run(o), nil
	}
	var results []measurer.Result
	err := writeFile(lines, func(f io.Writer) error {
		var failed error
		o.Emit = func(r []measurer.Result) { failed = errors.Join(failed, measurer.WriteLines(f, r)) }
		results = measurer.Run(o)
		return failed
	})
	return results, err
}

func writeFile(path string, write func(io.Writer) error) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return merry.Prepend(err, "make directory")
	}
	f, err := os.Create(path)
	if err != nil {
		return merry.Prepend(err, "create file")
	}
	if err := write(f); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}
