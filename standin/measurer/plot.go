package measurer

import (
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotSeed   = 1
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// WritePlots writes SVG plots that compare the policy with the first three
// baselines for seed 1 into a directory, which it creates: goodput during the
// demand peak, imbalance over time and the latency tail of short requests that
// share targets with long ones.
func WritePlots(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return merry.Prepend(err, "create plot directory")
	}
	for _, s := range services {
		for _, d := range []struct {
			name, title, x, y string
			draw              func(runner) plotter.XYs
			logarithmic       bool
		}{
			{"peak", "goodput over a demand peak of 3 times capacity", "seconds", "goodput / capacity", plotGoodput, false},
			{"imbalance", "imbalance over time at 70% load", "seconds", "largest / smallest utilisation in 30 s", plotImbalance, false},
			{"tail", "short requests beside bundles at 70% load", "milliseconds", "share of slower requests", plotLatencyTail, true},
		} {
			p := plot.New()
			p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.name+": "+d.title, d.x, d.y
			if d.logarithmic {
				p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
				p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
			}
			p.Legend.Top = true
			for i, v := range variants()[:4] {
				l, err := plotter.NewLine(d.draw(runner{service: s, variant: v, seed: plotSeed}))
				if err != nil {
					return merry.Prependf(err, "plot %s of %s", d.name, s.name)
				}
				l.Color = plotutil.Color(i)
				p.Add(l)
				p.Legend.Add(v.name, l)
			}
			if err := p.Save(plotWidth, plotHeight, filepath.Join(directory, d.name+"-"+s.name+".svg")); err != nil {
				return merry.Prependf(err, "save plot %s of %s", d.name, s.name)
			}
		}
	}
	return nil
}

func plotGoodput(r runner) plotter.XYs {
	sc := newPeak()
	s := r.run(sc)
	var line plotter.XYs
	for t := warmup; t < sc.duration-time.Second; t += 2 * time.Second {
		b := s.sum(t, t+2*time.Second)
		line = append(line, plotter.XY{X: t.Seconds(), Y: b.goodWork / b.totalCapacity()})
	}
	return line
}

func plotImbalance(r runner) plotter.XYs {
	sc := newSteady(false)
	s := r.run(sc)
	var line plotter.XYs
	for t := warmup; t < sc.duration-30*time.Second; t += 10 * time.Second {
		line = append(line, plotter.XY{X: t.Seconds(), Y: min(10, s.sum(t, t+30*time.Second).imbalance())})
	}
	return line
}

func plotLatencyTail(r runner) plotter.XYs {
	sc := newSteady(false)
	b := r.run(sc).sum(warmup, sc.duration)
	sorted := slices.Sorted(slices.Values(b.latencies))
	var line plotter.XYs
	for share := 1.0; share >= 1e-4; share /= 1.2 {
		i := min(len(sorted)-1, int(math.Floor((1-share)*float64(len(sorted)))))
		line = append(line, plotter.XY{X: 1000 * sorted[i], Y: share})
	}
	return line
}
