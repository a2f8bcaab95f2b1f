package reporter

import (
	"fmt"
	"math"
	"time"
)

// Dimensions of a chart in SVG user units.
const (
	chartWidth  = 960.0
	chartHeight = 200.0
	chartLeft   = 48.0
	chartRight  = 8.0
	chartTop    = 14.0
	chartBottom = 38.0
	// eventRowHeight is the height of the row of event marks below the bars.
	eventRowHeight = 10.0
)

// outcomeColours are distinguishable with the common colour vision deficiencies
// (palette of Okabe and Ito).
var outcomeColours = map[string]string{
	"refused": "#e69f00", "broken": "#d55e00", "late": "#56b4e9", "unknown": "#cc79a7",
}

// rect is a coloured rectangle with a tooltip.
type rect struct {
	X, Y, Width, Height float64
	Colour, Title       string
}

// tick is a labelled grid line.
type tick struct {
	X, Y  float64
	Label string
}

// chart shows the burn rate by hour as bars stacked by outcome, the budget line,
// and event marks.
type chart struct {
	Width, Height            float64
	Left, Right, Top, Bottom float64
	Bars, Events             []rect
	Days, Scale              []tick
	BudgetY                  float64
	Label                    string
	plotWidth, plotHeight    float64
	maxRate                  float64
	from                     time.Time
	hours                    int
	location                 *time.Location
	barWidth                 float64
}

func newChart(s ServiceReport, location *time.Location) chart {
	c := chart{
		Width: chartWidth, Height: chartHeight, Left: chartLeft, Right: chartWidth - chartRight, Top: chartTop,
		Bottom: chartHeight - chartBottom, location: location, hours: len(s.Hours), maxRate: 2,
		Label: "Burn rate of " + s.Service + " by hour",
	}
	if c.hours == 0 {
		return c
	}
	c.from = s.Hours[0].Start
	c.plotWidth, c.plotHeight = c.Right-c.Left, c.Bottom-c.Top
	c.barWidth = c.plotWidth / float64(c.hours)
	for _, h := range s.Hours {
		c.maxRate = max(c.maxRate, h.BurnRate)
	}
	c.maxRate = niceCeiling(c.maxRate)
	c.BudgetY = c.y(1)
	for i, h := range s.Hours {
		c.addBar(i, h)
	}
	c.addTicks()
	for _, e := range s.Events {
		c.Events = append(c.Events, rect{
			X: c.x(e.First), Y: c.Bottom + 3, Width: max(c.x(e.Last)-c.x(e.First), 3), Height: eventRowHeight - 3, Colour: "#444444",
			Title: fmt.Sprintf("%s %s: %s %s", formatTime(e.First, location), e.Kind, e.Target, e.Message),
		})
	}
	return c
}

func (c *chart) x(t time.Time) float64 {
	return roundToTenth(c.Left + c.barWidth*t.Sub(c.from).Hours())
}

// y returns the position of a rate on a square-root scale, on which the budget
// line and hours with a low rate stay visible next to an hour with a hundred
// times the rate.
func (c *chart) y(rate float64) float64 {
	return roundToTenth(c.Bottom - c.plotHeight*math.Sqrt(rate/c.maxRate))
}

func (c *chart) addBar(i int, h Hour) {
	bad := h.Counts.Bad()
	if bad == 0 {
		return
	}
	// The height of the whole bar is the rate. It is divided between the
	// outcomes in proportion to their counts.
	height, below := c.Bottom-c.y(h.BurnRate), c.Bottom
	for _, cause := range h.Counts.Causes() {
		if cause.Count == 0 {
			continue
		}
		part := height * float64(cause.Count) / float64(bad)
		c.Bars = append(c.Bars, rect{
			X: roundToTenth(c.Left + c.barWidth*float64(i)), Y: roundToTenth(below - part), Width: roundToTenth(max(c.barWidth-1, 1)), Height: roundToTenth(part),
			Colour: outcomeColours[cause.Outcome],
			Title: fmt.Sprintf("%s: %d %s of %d requests, burn rate of the hour %.2f",
				formatTime(h.Start, c.location), cause.Count, cause.Outcome, h.Counts.Total(), h.BurnRate),
		})
		below -= part
	}
}

// addTicks adds the scale of rates, and a time line at each midnight, or every
// 6 hours in charts of less than 30 hours.
func (c *chart) addTicks() {
	for _, part := range []float64{0, 0.05, 0.25, 0.5, 1} {
		rate := c.maxRate * part
		c.Scale = append(c.Scale, tick{X: c.Left, Y: c.y(rate), Label: fmt.Sprintf("%.4g", rate)})
	}
	step, format := 24, "Mon 2 Jan"
	if c.hours < 30 {
		step, format = 6, "Mon 15:04"
	}
	for i := range c.hours + 1 {
		t := c.from.Add(time.Duration(i) * time.Hour).In(c.location)
		if t.Hour()%step == 0 {
			c.Days = append(c.Days, tick{X: c.x(t), Y: c.Bottom + eventRowHeight + 16, Label: t.Format(format)})
		}
	}
}

// niceCeiling rounds up to the next of 2, 4, 8, 20, 40, 80, 200 and so on.
func niceCeiling(v float64) float64 {
	magnitude := math.Pow(10, math.Floor(math.Log10(v)))
	for _, factor := range []float64{2, 4, 8, 20} {
		if factor*magnitude >= v {
			return factor * magnitude
		}
	}
	return v
}

func roundToTenth(v float64) float64 { return math.Round(v*10) / 10 }
