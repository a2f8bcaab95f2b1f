package reporter

import (
	_ "embed" // holds the page template
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

//go:embed report.html
var pageText string

// page is the data of the template.
type page struct {
	Report *Report
	Zone   string
}

// WriteHTML writes the report as a self-contained HTML page without scripts or
// external resources. Times are in the given location.
func WriteHTML(w io.Writer, r *Report, location *time.Location) error {
	functions := template.FuncMap{
		"time":      func(t time.Time) string { return formatTime(t, location) },
		"periods":   func(p []Period) string { return formatPeriods(p, location) },
		"chart":     func(s ServiceReport) chart { return newChart(s, location) },
		"window":    formatWindow,
		"objective": formatObjective,
		"yes":       yesNo,
		"lines":     func(c Coverage) []string { return c.Lines(location) },
		"kind":      func(k string) string { return strings.ReplaceAll(k, "_", " ") },
		"class":     func(verdict string) string { return strings.ReplaceAll(verdict, " ", "-") },
		"colours":   func() map[string]string { return outcomeColours },
	}
	t, err := template.New("report").Funcs(functions).Parse(pageText)
	if err != nil {
		return merry.Prepend(err, "parse report template")
	}
	return merry.Prepend(t.Execute(w, page{Report: r, Zone: formatZone(r.To, location)}), "write report page")
}
