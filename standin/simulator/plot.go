package simulator

import (
	"image/color"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

var (
	faultColor = color.RGBA{R: 0xdd, G: 0xdd, B: 0xdd, A: 0xff}
	causeColor = []color.Color{
		color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
		color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
		color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
		color.RGBA{R: 0x9c, G: 0x67, B: 0xbd, A: 0xff},
	}
)

// causes are the parts of a late request's time, in the order in which they occur.
var causes = []struct {
	name string
	of   func(w window) time.Duration
}{
	{"until the flow opens", func(w window) time.Duration { return w.connect }},
	{"until the request arrives", func(w window) time.Duration { return w.other }},
	{"wait for a slot", func(w window) time.Duration { return w.queued }},
	{"service", func(w window) time.Duration { return w.service }},
}

// WritePlots writes two SVG files for each load into a directory: the share of the
// requests in time over time, and the time of late requests by cause. Both show one
// run of the policy, with its faults marked.
func WritePlots(directory string, loads []Load, seed uint64) error {
	for _, l := range loads {
		r := Play(l, Policy(), seed)
		name := strings.ReplaceAll(l.Name, " ", "-")
		if err := r.plotInTime(l.Name, filepath.Join(directory, "flows-in-time-"+name+".svg")); err != nil {
			return err
		}
		if err := r.plotCauses(l.Name, filepath.Join(directory, "flows-late-"+name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

func (r *Result) newPlot(title, label string, highest float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "start of the request, s", label
	p.Y.Min, p.Y.Max = 0, highest
	for _, f := range r.faults {
		from, to := f.from.Seconds(), f.to.Seconds()
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: highest}, {X: from, Y: highest}})
		if err != nil {
			return nil, merry.Prepend(err, "plot fault")
		}
		area.Color, area.LineStyle.Width = faultColor, 0
		p.Add(area)
	}
	return p, nil
}

func (r *Result) plotInTime(title, path string) error {
	p, err := r.newPlot(title, "share in time", 1)
	if err != nil {
		return err
	}
	points := make(plotter.XYs, 0, len(r.steps))
	for i, s := range r.steps {
		if s.requests > 0 {
			points = append(points, plotter.XY{X: (time.Duration(i) * stepLength).Seconds(), Y: float64(s.inTime) / float64(s.requests)})
		}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return merry.Prepend(err, "plot share in time")
	}
	line.StepStyle = plotter.PostStep
	p.Add(line)
	return merry.Prepend(p.Save(plotWidth, plotHeight, path), "write plot")
}

func (r *Result) plotCauses(title, path string) error {
	lower := make([]float64, len(r.steps))
	upper := make([][]float64, len(causes))
	highest := 0.0
	for c, cause := range causes {
		upper[c] = make([]float64, len(r.steps))
		for i, s := range r.steps {
			upper[c][i] = lower[i] + cause.of(s).Seconds()
			highest = max(highest, upper[c][i])
		}
		lower = upper[c]
	}
	p, err := r.newPlot(title, "time of late requests, s", max(highest, 1))
	if err != nil {
		return err
	}
	// The highest sum is drawn first, so that the lower ones cover its lower part.
	for c := len(causes) - 1; c >= 0; c-- {
		points := plotter.XYs{{X: 0, Y: 0}}
		for i, y := range upper[c] {
			from := (time.Duration(i) * stepLength).Seconds()
			points = append(points, plotter.XY{X: from, Y: y}, plotter.XY{X: from + stepLength.Seconds(), Y: y})
		}
		points = append(points, plotter.XY{X: points[len(points)-1].X, Y: 0})
		area, err := plotter.NewPolygon(points)
		if err != nil {
			return merry.Prepend(err, "plot causes")
		}
		area.Color, area.LineStyle.Width = causeColor[c], 0
		p.Add(area)
		p.Legend.Add(causes[c].name, area)
	}
	p.Legend.Top = true
	return merry.Prepend(p.Save(plotWidth, plotHeight, path), "write plot")
}
