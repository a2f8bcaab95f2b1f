package watcher

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/ranker"
)

// targetProcesses is the number of processes at the target size.
const targetProcesses = 12_500

// readFigures are the platform reads measured for one fleet size.
type readFigures struct {
	Processes      int     `json:"processes"`
	Watching       int     `json:"watching"`
	StartReads     int     `json:"start_reads"`
	StartPeak      int     `json:"start_peak_reads_per_second"`
	StartReady     float64 `json:"start_last_ready_seconds"`
	SteadyReads    float64 `json:"steady_reads_per_second"`
	ChangeReads    int     `json:"change_reads_in_6_seconds"`
	ChangePeak     int     `json:"change_peak_reads_per_second"`
	ChangeInForce  float64 `json:"change_last_in_force_seconds"`
	RestartReads   int     `json:"restart_reads"`
	LostWatchReads int     `json:"lost_watching_reads_in_6_seconds"`
	ZoneReads      int     `json:"zone_return_reads_in_60_seconds"`
	ZonePeak       int     `json:"zone_return_peak_reads_per_second"`
}

func measureReads(t *testing.T, n int) readFigures {
	s := newSim(*measureSeed)
	s.ranker = ranker.Options{}
	s.spread = DefaultStartSpread
	contents := make([]string, cataloger.SectionCount+1)
	for i := range contents {
		contents[i] = fmt.Sprint(i)
	}
	s.platform.publish(1, contents...)
	for i := range n {
		s.addNode(fmt.Sprintf("zone-%d", i%4))
	}
	begin := s.now
	for _, node := range s.nodes {
		s.start(node)
	}
	s.advance(60 * time.Second)
	assertInForce(t, s, 1)
	f := readFigures{Processes: n, StartReads: s.platform.calls}
	peak := func() int {
		highest := 0
		for _, calls := range s.platform.perSecond {
			highest = max(highest, calls)
		}
		clear(s.platform.perSecond)
		return highest
	}
	lastInForce := func() float64 {
		latest := begin
		for _, node := range s.nodes {
			if node.inForceAt.After(latest) {
				latest = node.inForceAt
			}
		}
		return latest.Sub(begin).Seconds()
	}
	f.StartPeak, f.StartReady = peak(), lastInForce()
	for _, node := range s.nodes {
		if node.logic.isWatching() {
			f.Watching++
		}
	}
	if *measure {
		s.advance(periodicReadInterval) // until the periodic reads are spread out
	}
	calls := s.platform.calls
	s.advance(60 * time.Second)
	f.SteadyReads = float64(s.platform.calls-calls) / 60
	peak()
	calls, begin = s.platform.calls, s.now
	contents[7] = "changed"
	s.platform.publish(2, contents...)
	s.advance(inForceLimit)
	assertInForce(t, s, 2)
	f.ChangeReads = s.platform.calls - calls
	f.ChangePeak, f.ChangeInForce = peak(), lastInForce()
	nonWatching := slices.IndexFunc(s.nodes, func(o *simNode) bool { return !o.logic.isWatching() })
	s.kill(s.nodes[nonWatching])
	s.start(s.nodes[nonWatching])
	clear(s.platform.readers)
	s.advance(40 * time.Second)
	f.RestartReads = s.platform.readers[s.nodes[nonWatching].name]
	for _, node := range s.nodes {
		if node.zone == "zone-0" && node.logic.isWatching() {
			s.kill(node)
		}
	}
	calls = s.platform.calls
	contents[7] = "changed again"
	s.platform.publish(3, contents...)
	s.advance(inForceLimit)
	assertInForce(t, s, 3)
	f.LostWatchReads = s.platform.calls - calls
	f.ZoneReads, f.ZonePeak = measureZoneReturn(t, s, peak)
	return f
}

// measureZoneReturn stops a zone for 30 s and returns the number of platform reads
// in the 60 s after its restart and the peak per second.
func measureZoneReturn(t *testing.T, s *sim, peak func() int) (reads, highest int) {
	t.Helper()
	var zone []*simNode
	for _, node := range s.nodes {
		if node.zone == "zone-1" {
			zone = append(zone, node)
			s.kill(node)
		}
	}
	s.advance(30 * time.Second)
	peak()
	calls := s.platform.calls
	for _, node := range zone {
		s.start(node)
	}
	s.advance(60 * time.Second)
	assertInForce(t, s, 3)
	return s.platform.calls - calls, peak()
}

// printSlope prints a line in the format of docs/CAPACITY.md.
func printSlope(t *testing.T, name string, figures []readFigures, value func(readFigures) float64) {
	t.Helper()
	line := struct {
		Slope    string    `json:"slope"`
		Unit     string    `json:"unit"`
		SizeUnit string    `json:"size_unit"`
		Sizes    []float64 `json:"sizes"`
		Values   []float64 `json:"values"`
	}{Slope: name, Unit: "reads", SizeUnit: "processes"}
	for _, f := range figures {
		line.Sizes, line.Values = append(line.Sizes, float64(f.Processes)), append(line.Values, value(f))
	}
	if *measure {
		if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
			t.Fatal(err)
		}
	}
}

// TestMeasureReads counts platform reads of whole fleets in virtual time and
// extrapolates the counts that grow with the fleet to the target size.
func TestMeasureReads(t *testing.T) {
	sizes := []int{24, 48}
	if *measure {
		sizes = []int{250, 500, 1000, 2000}
	}
	var figures []readFigures
	for _, n := range sizes {
		f := measureReads(t, n)
		figures = append(figures, f)
		printLine(t, map[string]any{"measure": "platform_reads", "figures": f})
	}
	extrapolate := func(name string, value func(readFigures) float64) float64 {
		printSlope(t, name, figures, value)
		slope, base := fitLine(figures, value)
		estimate := base + slope*targetProcesses
		printLine(t, map[string]any{
			"measure": "extrapolation", "name": name, "processes": targetProcesses, "value": estimate, "slope_per_process": slope, "base": base,
		})
		return estimate
	}
	is := is.New(t)
	extrapolate("start_reads", func(f readFigures) float64 { return float64(f.StartReads) })
	startPeak := extrapolate("start_peak_reads_per_second", func(f readFigures) float64 { return float64(f.StartPeak) })
	steady := extrapolate("steady_reads_per_second", func(f readFigures) float64 { return f.SteadyReads })
	extrapolate("change_reads_in_6_seconds", func(f readFigures) float64 { return float64(f.ChangeReads) })
	extrapolate("change_peak_reads_per_second", func(f readFigures) float64 { return float64(f.ChangePeak) })
	extrapolate("lost_watching_reads_in_6_seconds", func(f readFigures) float64 { return float64(f.LostWatchReads) })
	extrapolate("zone_return_reads_in_60_seconds", func(f readFigures) float64 { return float64(f.ZoneReads) })
	extrapolate("zone_return_peak_reads_per_second", func(f readFigures) float64 { return float64(f.ZonePeak) })
	if *measure { // fleets of the small sizes are too small to extrapolate
		is.True(startPeak < 2000) // the platform's limit over all readers
		is.True(steady < 200)
	}
	is.True(figures[len(figures)-1].SteadyReads < 2*figures[0].SteadyReads) // only the periodic reads grow with the fleet
}

// fitLine returns the least-squares line through the figures.
func fitLine(figures []readFigures, value func(readFigures) float64) (slope, base float64) {
	var n, sx, sy, sxx, sxy float64
	for _, f := range figures {
		x, y := float64(f.Processes), value(f)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}
