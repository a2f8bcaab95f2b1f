package measurer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// WriteLines writes one JSON object for each result.
func WriteLines(out io.Writer, results []Result) error {
	encoder := json.NewEncoder(out)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return merry.Prepend(err, "write result")
		}
	}
	return nil
}

type rowKey struct{ scenario, service, figure, variant string }

// groups holds results by figure and variant, each group sorted by value.
type groups struct {
	keys   []rowKey // in order of appearance
	values map[rowKey][]Result
}

func group(results []Result) *groups {
	g := &groups{values: make(map[rowKey][]Result)}
	for _, r := range results {
		k := rowKey{r.Scenario, r.Service, r.Figure, r.Variant}
		if g.values[k] == nil {
			g.keys = append(g.keys, k)
		}
		g.values[k] = append(g.values[k], r)
	}
	for _, set := range g.values {
		slices.SortFunc(set, func(a, b Result) int { return cmp.Compare(a.Value, b.Value) })
	}
	return g
}

// WriteTable writes a text table with minimum, median and maximum over the seeds.
// It returns the number of the policy's objectives that at least one seed missed.
func WriteTable(out io.Writer, results []Result) (int, error) {
	g := group(results)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tservice\tfigure\tvariant\tmin\tmedian\tmax\tobjective\tverdict")
	missed := 0
	for _, k := range g.keys {
		set := g.values[k]
		objective, verdict := compareWithBound(set)
		if verdict == "missed" && k.variant == "policy" {
			missed++
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%s\t%s\n",
			k.scenario, k.service, k.figure, k.variant,
			set[0].Value, set[len(set)/2].Value, set[len(set)-1].Value, objective, verdict)
	}
	if err := t.Flush(); err != nil {
		return 0, merry.Prepend(err, "write table")
	}
	return missed, nil
}

func compareWithBound(set []Result) (objective, verdict string) {
	if set[0].Bound == nil {
		return "", ""
	}
	objective = fmt.Sprintf("<= %g", *set[0].Bound)
	if set[0].IsLowerBound {
		objective = fmt.Sprintf(">= %g", *set[0].Bound)
	}
	if slices.ContainsFunc(set, func(r Result) bool { return r.Missed }) {
		return objective, "missed"
	}
	return objective, "met"
}
