package simulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the probability that an interval contains the mean difference.
const confidence = 0.95

// figure is a value of a run that is compared between variants.
type figure struct {
	name string
	of   func(r *Result) float64
}

var figures = []figure{
	{"served", (*Result).Served},
	{"worst_windows", (*Result).Worst},
	{"worst_kind", (*Result).WorstKind},
	{"late_share", (*Result).Late},
	{"failed_share", (*Result).Failed},
	{"p50_ms", func(r *Result) float64 { return ms(r.Latency(0.5)) }},
	{"p99_ms", func(r *Result) float64 { return ms(r.Latency(0.99)) }},
	{"hops_per_request", (*Result).HopsPerRequest},
	{"hops_per_opening", (*Result).HopsPerOpening},
	{"cold_openings", (*Result).ColdOpenings},
	{"cross_zone_share", (*Result).CrossZone},
	{"mean_ms", func(r *Result) float64 { return ms(r.MeanLatency()) }},
	{"in_time", (*Result).InTime},
	{"report_age_ms", func(r *Result) float64 { return ms(r.ReportAge()) }},
}

// figuresOf returns the figures of a load: those of every load and, for each
// priority, the shares of its requests that were served within the latency target,
// late, or not served, divided by whether the caller gave up or was refused for the
// last time within its latency target, and the refused attempts for each request.
func figuresOf(l Load) []figure {
	all := slices.Clone(figures)
	for _, p := range l.Deployment.priorities() {
		for _, f := range []struct {
			name string
			of   func(w window) int
		}{
			{"in_time", func(w window) int { return w.inTime }},
			{"late", func(w window) int { return w.late }},
			{"not_served", func(w window) int { return w.failed }},
			{"refused_at_once", func(w window) int { return w.failedInTime }},
			{"refused_late", func(w window) int { return w.failed - w.failedInTime }},
			{"refused_attempts", func(w window) int { return w.refused }},
		} {
			all = append(all, figure{fmt.Sprintf("p%d_%s", p, f.name), func(r *Result) float64 {
				w := r.ofPriority(p)
				return w.part(f.of(w))
			}})
		}
	}
	if slices.ContainsFunc(l.Faults, func(f Fault) bool { return f.Kind == faultBusyCaller }) {
		all = append(all, figure{"busy_in_time", func(r *Result) float64 { return r.ofBusy.part(r.ofBusy.inTime) }})
	}
	return all
}

// priorities returns the priorities of the kinds, sorted.
func (d *Deployment) priorities() []int {
	var all []int
	for _, k := range d.Kinds {
		if k.Priority != nil && !slices.Contains(all, *k.Priority) {
			all = append(all, *k.Priority)
		}
	}
	slices.Sort(all)
	return all
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Options configures Measure.
type Options struct {
	// Seeds is the number of runs of each load and variant, from seed 1 on.
	Seeds int
	// Workers is the number of runs at the same time; 0 means one for each processor.
	Workers int
	// Lines gets one JSON object for each figure of each load and variant. It may be
	// nil.
	Lines io.Writer
}

// Row is a figure of a variant under a load: its mean over the seeds, and the mean
// difference from the first variant with the same seeds. Interval is half the width
// of the 95% confidence interval of the difference.
type Row struct {
	Load       string  `json:"load"`
	Variant    string  `json:"variant"`
	Figure     string  `json:"figure"`
	Seeds      int     `json:"seeds"`
	Mean       float64 `json:"mean"`
	Difference float64 `json:"difference"`
	Interval   float64 `json:"interval"`
}

// Measure plays each load with each variant and writes a table for each load.
func Measure(out io.Writer, loads []Load, variants []Variant, o Options) ([]Row, error) {
	if o.Seeds < 2 {
		return nil, merry.Errorf("measure: %d seeds, want at least 2", o.Seeds)
	}
	var rows []Row
	for _, l := range loads {
		results := playAll(l, variants, o)
		loadRows := compare(l, variants, results)
		rows = append(rows, loadRows...)
		if err := writeTable(out, l, variants, loadRows, o.Seeds); err != nil {
			return nil, merry.Prepend(err, "write table")
		}
		if o.Lines == nil {
			continue
		}
		encoder := json.NewEncoder(o.Lines)
		for _, r := range loadRows {
			if err := encoder.Encode(r); err != nil {
				return nil, merry.Prepend(err, "write lines")
			}
		}
	}
	return rows, nil
}

// playAll returns the results by variant and seed.
func playAll(l Load, variants []Variant, o Options) [][]*Result {
	workers := o.Workers
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	results := make([][]*Result, len(variants))
	slots := make(chan struct{}, workers)
	var group sync.WaitGroup
	for i, v := range variants {
		results[i] = make([]*Result, o.Seeds)
		for seed := range o.Seeds {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				results[i][seed] = Play(l, v, uint64(seed+1))
			})
		}
	}
	group.Wait()
	return results
}

func compare(l Load, variants []Variant, results [][]*Result) []Row {
	var rows []Row
	for i, v := range variants {
		for _, f := range figuresOf(l) {
			values, differences := make([]float64, len(results[i])), make([]float64, len(results[i]))
			for seed, r := range results[i] {
				values[seed] = f.of(r)
				differences[seed] = values[seed] - f.of(results[0][seed])
			}
			mean, deviation := stat.MeanStdDev(differences, nil)
			rows = append(rows, Row{
				Load: l.Name, Variant: v.name, Figure: f.name, Seeds: len(values), Mean: stat.Mean(values, nil),
				Difference: mean, Interval: halfInterval(deviation, len(values)),
			})
		}
	}
	return rows
}

// halfInterval returns half the width of the confidence interval of a mean, by
// Student's t-distribution.
func halfInterval(deviation float64, count int) float64 {
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(count - 1)}
	return t.Quantile((1+confidence)/2) * deviation / math.Sqrt(float64(count))
}

func writeTable(out io.Writer, l Load, variants []Variant, rows []Row, seeds int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	figures := figuresOf(l)
	names := make([]string, 0, len(figures))
	for _, f := range figures {
		names = append(names, f.name)
	}
	fmt.Fprintf(w, "%s, seeds 1 to %d: mean of the policy, difference from it with 95%% interval\n%s\n", l.Name, seeds, strings.Join(append([]string{"variant"}, names...), "\t"))
	for i, v := range variants {
		cells := []string{v.name}
		for _, r := range rows[i*len(figures) : (i+1)*len(figures)] {
			if i == 0 {
				cells = append(cells, fmt.Sprintf("%.4g", r.Mean))
			} else {
				cells = append(cells, fmt.Sprintf("%+.2g ± %.1g", r.Difference, r.Interval))
			}
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	fmt.Fprintln(w)
	return w.Flush()
}
