package reporter

import (
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteTable writes the report as text tables. Times are in the given location.
func WriteTable(w io.Writer, r *Report, location *time.Location) error {
	p := &printer{w: w, location: location}
	p.printf("Service-level burn from %s to %s (%s)\n", formatTime(r.From, location), formatTime(r.To, location), formatZone(r.To, location))
	for _, line := range r.Coverage.Lines(location) {
		p.printf("%s\n", line)
	}
	if r.Objectives == "builtin" {
		p.printf("No fleet document was given: built-in objectives are assumed.\n")
	}
	services := table.Row{"SERVICE", "VERDICT", "OBJECTIVE", "REQUESTS", "BAD", "BUDGET SPENT", "REFUSED", "BROKEN", "LATE", "UNKNOWN"}
	var rows []table.Row
	for _, s := range r.Services {
		rows = append(rows, table.Row{
			s.Service, s.Verdict(), formatObjective(s), s.Counts.Total(), s.Counts.Bad(), fmt.Sprintf("%.1f%%", s.BudgetPercent),
			s.Counts.Refused, s.Counts.Broken, s.Counts.Late, s.Counts.Unknown,
		})
	}
	p.printTable(services, rows)
	for _, s := range r.Services {
		p.printService(s)
	}
	return merry.Prepend(p.err, "write burn report")
}

func formatObjective(s ServiceReport) string {
	return fmt.Sprintf("%.1f%% in %d ms", float64(s.ObjectivePermille)/10, s.ObjectiveLatencyMs)
}

// printer writes text. After the first error, which it keeps, it writes nothing
// more.
type printer struct {
	w        io.Writer
	location *time.Location
	err      error
}

func (p *printer) printf(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, values...)
	}
}

func (p *printer) printTable(header table.Row, rows []table.Row) {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	t.AppendRows(rows)
	p.printf("%s\n", t.Render())
}

func (p *printer) printService(s ServiceReport) {
	p.printf("\n%s: %s\n", s.Service, s.Summary())
	var rows []table.Row
	for _, a := range s.Alerts {
		rows = append(rows, table.Row{
			a.Name, formatWindow(a.Short), formatWindow(a.Long), a.Threshold, yesNo(a.Firing), formatPeriods(a.Above, p.location),
		})
	}
	p.printTable(table.Row{"ALERT", "SHORT WINDOW", "LONG WINDOW", "THRESHOLD", "FIRING", "LONG WINDOW WAS ABOVE"}, rows)
	if s.Counts.Bad() == 0 {
		return
	}
	rows = nil
	for _, t := range s.Targets {
		rows = append(rows, table.Row{
			t.Target, t.Counts.Total(), t.Counts.Refused, t.Counts.Broken, t.Counts.Late, t.Counts.Unknown, fmt.Sprintf("%.1f%%", t.SharePercent),
		})
	}
	p.printTable(table.Row{"TARGET", "REQUESTS", "REFUSED", "BROKEN", "LATE", "UNKNOWN", "SHARE OF BURN"}, rows)
	if len(s.Events) == 0 {
		return
	}
	rows = nil
	for _, e := range s.Events {
		rows = append(rows, table.Row{formatTime(e.First, p.location), formatTime(e.Last, p.location), e.Kind, e.Target, e.Message, e.Times, e.Daemons, e.BadAfter})
	}
	p.printTable(table.Row{"FIRST", "LAST", "EVENT", "TARGET", "MESSAGE", "TIMES", "DAEMONS", "BAD WITHIN 10 MIN"}, rows)
	if s.EventsOmitted > 0 {
		p.printf("%d more kinds of events are left out.\n", s.EventsOmitted)
	}
}

func formatWindow(w Window) string {
	text := fmt.Sprintf("%s: %.2f", formatLength(w.Length()), w.BurnRate)
	if w.Coarse {
		text += " (by hours)"
	}
	return text
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
