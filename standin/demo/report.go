package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"kingcupvalve.example/kingcupvalve/standin/backend"
	"kingcupvalve.example/kingcupvalve/standin/loader"
)

// Report is the result of one run as seen by callers and backend servers.
type Report struct {
	tally           loader.Tally
	faults          []string
	duplicated      int
	misdelivered    int
	ranAfterRefusal int
}

// NewReport compares what the callers were told with the backend servers'
// records of the requests that they ran.
func NewReport(load *loader.Load, records []backend.Record) Report {
	r := Report{tally: load.Tally(), faults: load.Faults()}
	runs := map[string]int{}
	for _, record := range records {
		runs[record.RequestID]++
		if record.Method == "POST" && runs[record.RequestID] == 2 {
			r.duplicated++
		}
		if record.IntendedService != "" && record.IntendedService != record.Service {
			r.misdelivered++
		}
	}
	for _, id := range load.NotRunIDs() {
		if runs[id] > 0 {
			r.ranAfterRefusal++
		}
	}
	return r
}

// Tally returns the callers' counts.
func (r Report) Tally() loader.Tally { return r.tally }

// Faults returns a line for each fault that a caller saw.
func (r Report) Faults() []string { return r.faults }

// Duplicated returns the number of non-idempotent requests that ran more than
// once.
func (r Report) Duplicated() int { return r.duplicated }

// Misdelivered returns the number of requests that ran at a service other than
// the intended one.
func (r Report) Misdelivered() int { return r.misdelivered }

// RanAfterRefusal returns the number of requests that ran although they were
// refused as not run.
func (r Report) RanAfterRefusal() int { return r.ranAfterRefusal }

// IsClean reports whether no feed or response broke and no request ran twice,
// ran after a refusal or was misdelivered.
func (r Report) IsClean() bool {
	return r.tally.Broken() == 0 && r.duplicated == 0 && r.misdelivered == 0 && r.ranAfterRefusal == 0
}

// Write prints the faults, the table of counts and the summary line.
func (r Report) Write(w io.Writer) {
	for _, f := range r.faults {
		fmt.Fprintln(w, "fault:", f)
	}
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"seen by callers and backend servers", "count"})
	t.AppendRows([]table.Row{
		{"requests", r.tally.Requests},
		{"answered whole", r.tally.Complete},
		{"refused as not run", r.tally.NotRun},
		{"refused as not run, but run", r.ranAfterRefusal},
		{"outcome unknown", r.tally.Unknown},
		{"run twice", r.duplicated},
		{"misdelivered", r.misdelivered},
		{"truncated, foreign or failed answers", r.tally.Truncated + r.tally.Mismatched + r.tally.Failed},
		{"feeds held", r.tally.Feeds},
		{"feed events", r.tally.Events},
		{"broken feeds", r.tally.BrokenFeeds},
		{"longest gap in a feed", r.tally.LongestGap.Round(time.Millisecond)},
		{"plain HTTP/3 client: answered whole", fmt.Sprintf("%d of %d", r.tally.PlainComplete, r.tally.PlainRequests)},
	})
	t.Render()
	fmt.Fprintf(w, "demo: requests=%d broken=%d duplicated=%d misdelivered=%d\n",
		r.tally.Requests, r.tally.Broken(), r.duplicated, r.misdelivered)
}
