package measurer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Origin identifies the command and the commit that produced results.
type Origin struct {
	Command string
	Commit  string
}

// ReadLines reads results that WriteLines wrote.
func ReadLines(in io.Reader) ([]Result, error) {
	var all []Result
	decoder := json.NewDecoder(in)
	for decoder.More() {
		var r Result
		if err := decoder.Decode(&r); err != nil {
			return nil, merry.Prepend(err, "read result")
		}
		all = append(all, r)
	}
	return all, nil
}

// WritePage writes a Markdown page with two tables: one row for each figure of the
// policy with its minimum, median and maximum over the seeds and the medians of
// the baselines, then one row for each ablation whose figure differs from the
// policy's.
func WritePage(out io.Writer, results []Result, o Origin) error {
	set := group(results)
	w := bufio.NewWriter(out)
	fmt.Fprintln(w, "# Measurements of the policy")
	fmt.Fprintln(w)
	fmt.Fprintf(w, "Virtual time, fixed seeds; minimum / median / maximum over the seeds for the policy, medians for the others. Command: `%s`. Commit: %s.\n\n", o.Command, o.Commit)
	fmt.Fprintln(w, "A figure without an objective is for information. `-` means not measured: a baseline has no agents that a partition could cut off.")
	fmt.Fprintln(w)
	baselines, parts := groupVariants()
	writeTable(w, set, baselines, false)
	fmt.Fprintln(w, "\n## The policy without each of its parts")
	fmt.Fprintln(w)
	writeTable(w, set, parts, true)
	if err := w.Flush(); err != nil {
		return merry.Prepend(err, "write page")
	}
	return nil
}

func groupVariants() (baselines, parts []string) {
	for _, v := range variants()[1:] {
		if v.baseline != "" {
			baselines = append(baselines, v.name)
		} else {
			parts = append(parts, v.name)
		}
	}
	return baselines, parts
}

// writeTable writes one row for each figure with a column for each variant or, if
// transposed, one row for each variant of a figure that differs from the policy.
func writeTable(w io.Writer, g *groups, names []string, transposed bool) {
	if transposed {
		fmt.Fprintln(w, "| scenario | service | figure | variant | minimum / median / maximum | policy |")
		fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	} else {
		fmt.Fprintf(w, "| scenario | service | figure | objective | verdict | policy | %s |\n", strings.Join(names, " | "))
		fmt.Fprintf(w, "|%s\n", strings.Repeat(" --- |", 6+len(names)))
	}
	for _, k := range g.keys {
		if k.variant != "policy" {
			continue
		}
		own := g.values[k]
		objective, verdict := compareWithBound(own)
		row := fmt.Sprintf("| %s | %s | %s | %s | %s | %s |", k.scenario, k.service, k.figure, objective, verdict, spread(own))
		for _, name := range names {
			other := g.values[rowKey{k.scenario, k.service, k.figure, name}]
			if transposed {
				if len(other) > 0 && spread(other) != spread(own) {
					fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", k.scenario, k.service, k.figure, name, spread(other), spread(own))
				}
				continue
			}
			row += " " + median(other) + " |"
		}
		if !transposed {
			fmt.Fprintln(w, row)
		}
	}
}

func spread(set []Result) string {
	return fmt.Sprintf("%.3g / %.3g / %.3g", set[0].Value, set[len(set)/2].Value, set[len(set)-1].Value)
}

func median(set []Result) string {
	if len(set) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g", set[len(set)/2].Value)
}
