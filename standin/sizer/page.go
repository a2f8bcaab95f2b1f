package sizer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
)

// slopeLine is the JSON encoding of a slope.
type slopeLine struct {
	Slope     string    `json:"slope"`
	Unit      string    `json:"unit"`
	SizeUnit  string    `json:"size_unit"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Intercept float64   `json:"intercept"`
	Gradient  float64   `json:"gradient"`
	RSquared  float64   `json:"r_squared"`
}

// WriteSlopes writes one JSON line for each slope.
func WriteSlopes(w io.Writer, slopes []Slope) error {
	encoder := json.NewEncoder(w)
	for _, s := range slopes {
		if err := encoder.Encode(slopeLine{s.name, s.unit, s.sizeUnit, s.sizes, s.values, s.intercept, s.gradient, s.rSquared}); err != nil {
			return merry.Prependf(err, "write slope %s", s.name)
		}
	}
	return nil
}

// ReadSlopes reads the JSON lines of slopes and skips all other lines, such as the
// text of a Markdown page. It fits each slope again from its values.
func ReadSlopes(r io.Reader) ([]Slope, error) {
	var slopes []Slope
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if !strings.HasPrefix(scanner.Text(), `{"slope"`) {
			continue
		}
		var line slopeLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, merry.Prepend(err, "read slope")
		}
		s, err := NewSlope(line.Slope, line.Unit, line.SizeUnit, line.Sizes, line.Values)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, merry.Prepend(scanner.Err(), "read slopes")
}

// FormatRows returns the rows as a Markdown table.
func FormatRows(rows []Row) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"role", "figure", "value", "budget", "within budget", "mechanism", "extrapolated"})
	for _, r := range rows {
		budget, fits := "", ""
		if r.budget > 0 {
			budget = formatValue(r.budget, r.unit)
			fits = "yes"
			if !r.Fits() {
				fits = "NO"
			}
		}
		t.AppendRow(table.Row{r.role, r.figure, formatValue(r.value, r.unit), budget, fits, r.mechanism, fmt.Sprintf("x%.1f", max(r.extrapolation, 1))})
	}
	return t.RenderMarkdown()
}

func formatValue(value float64, unit string) string {
	switch {
	case unit == "bytes" && value >= 1e6:
		return fmt.Sprintf("%.1f MB", value/1e6)
	case unit == "bytes/s":
		return fmt.Sprintf("%.1f KB/s", value/1e3)
	default:
		return strings.TrimSpace(fmt.Sprintf("%.3g %s", value, unit))
	}
}
