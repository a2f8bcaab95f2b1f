package sizer

import (
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/gonum/stat"
)

// Slope is a quantity measured at several sizes, with its least-squares line.
type Slope struct {
	name      string
	unit      string
	sizeUnit  string
	sizes     []float64
	values    []float64
	intercept float64
	gradient  float64
	rSquared  float64
}

// NewSlope fits a line to values at sizes. It fails with fewer than four points.
func NewSlope(name, unit, sizeUnit string, sizes, values []float64) (Slope, error) {
	if len(sizes) < 4 || len(sizes) != len(values) {
		return Slope{}, merry.Errorf("fit %s: %d sizes and %d values, want at least 4 of each", name, len(sizes), len(values))
	}
	s := Slope{name: name, unit: unit, sizeUnit: sizeUnit, sizes: sizes, values: values}
	s.intercept, s.gradient = stat.LinearRegression(sizes, values, nil, false)
	s.rSquared = stat.RSquared(sizes, values, nil, s.intercept, s.gradient)
	return s, nil
}

// Name returns the name of the measured quantity.
func (s Slope) Name() string { return s.name }

// At returns the value of the line at a size, at least 0.
func (s Slope) At(size float64) float64 { return max(s.intercept+s.gradient*size, 0) }

// Extrapolation returns a size over the largest measured one; a value above 1 means
// that the line is extrapolated.
func (s Slope) Extrapolation(size float64) float64 { return size / s.sizes[len(s.sizes)-1] }

// measureCPU returns the processor time of one call of do in µs, user and system,
// as the mean over at least 50 ms. Unlike wall-clock time it doesn't depend much on
// other load of the machine.
func measureCPU(do func() error) (float64, error) {
	const minMeasured = 50 * time.Millisecond
	if err := do(); err != nil {
		return 0, err
	}
	start, err := readProcessorTime()
	if err != nil {
		return 0, err
	}
	for runs := 1; ; runs++ {
		if err := do(); err != nil {
			return 0, err
		}
		now, err := readProcessorTime()
		if err != nil {
			return 0, err
		}
		if used := now - start; used >= minMeasured {
			return float64(used.Nanoseconds()) / 1000 / float64(runs), nil
		}
	}
}

func readProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, merry.Prepend(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// measureSizes calls measure at each size and fits a line to the values.
func measureSizes(name, unit, sizeUnit string, sizes []float64, measure func(size int) (float64, error)) (Slope, error) {
	values := make([]float64, len(sizes))
	for i, size := range sizes {
		var err error
		if values[i], err = measure(int(size)); err != nil {
			return Slope{}, merry.Prependf(err, "measure %s at %v %s", name, size, sizeUnit)
		}
	}
	return NewSlope(name, unit, sizeUnit, sizes, values)
}
