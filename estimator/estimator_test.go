package estimator_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/estimator"
)

var start = time.Unix(1_000_000, 0)

// interval is a time with a constant number of running requests.
type interval struct {
	length time.Duration
	busy   float64 // share of busy slots
}

// naiveBusy recomputes the busy share from the whole history.
func naiveBusy(intervals []interval, window time.Duration) float64 {
	var sum, weight, age float64
	for i := len(intervals) - 1; i >= 0; i-- {
		from, to := age, age+intervals[i].length.Seconds()
		w := math.Exp(-from/window.Seconds()) - math.Exp(-to/window.Seconds())
		sum, weight, age = sum+w*intervals[i].busy, weight+w, to
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// TestBusy guards against a busy share that differs from the average of the
// slots in use. Agents balance the load of the whole service on it.
func TestBusy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		e := estimator.NewEstimator(estimator.Options{Slots: slots, BusyWindow: 5 * time.Second})
		e.State(start)
		now, running, intervals := start, 0, []interval(nil)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				s := e.State(now)
				if want := naiveBusy(intervals, 5*time.Second); math.Abs(s.Busy-want) > 1e-6 {
					t.Fatalf("busy share %v, naive %v", s.Busy, want)
				}
				if s.Running[0] != running {
					t.Fatalf("%d running, oracle has %d", s.Running[0], running)
				}
			},
			"start": func(*rapid.T) { e.RecordStart(estimator.Short, now); running++ },
			"finish": func(*rapid.T) {
				e.RecordFinish(estimator.Short, now, time.Millisecond, estimator.Cancelled)
				running = max(0, running-1)
			},
			"wait": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
				intervals = append(intervals, interval{d, min(1, float64(running)/float64(slots))})
				now = now.Add(d)
			},
		})
	})
}

// TestCost guards against an estimate outside the range of the observed durations
// and the initial estimate.
func TestCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := estimator.NewEstimator(estimator.Options{ShortCost: 100 * time.Millisecond})
		smallest, largest := 100, 100
		for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 10_000), 1, 100).Draw(t, "ms") {
			e.RecordFinish(estimator.Short, start, time.Duration(ms)*time.Millisecond, estimator.Succeeded)
			smallest, largest = min(smallest, ms), max(largest, ms)
		}
		got := e.Cost(estimator.Short)
		if got < time.Duration(smallest)*time.Millisecond-1 || got > time.Duration(largest)*time.Millisecond+1 {
			t.Fatalf("cost %v outside of %d to %d ms", got, smallest, largest)
		}
	})
}

// finish runs n requests with the same result.
func finish(e *estimator.Estimator, now time.Time, n int, r estimator.Result) {
	for range n {
		e.RecordStart(estimator.Short, now)
		e.RecordFinish(estimator.Short, now, 50*time.Millisecond, r)
	}
}

func TestPhase(t *testing.T) {
	t.Run("a healthy endpoint does not hide failing requests", func(t *testing.T) {
		is := is.New(t)
		e := estimator.NewEstimator(estimator.Options{})
		e.ObserveHealth(estimator.Hint{Healthy: true}, start)
		finish(e, start, 10, estimator.Failed)
		is.Equal(e.State(start).Phase, estimator.Failing)
	})
	t.Run("an unhealthy endpoint does not hide served requests", func(t *testing.T) {
		is := is.New(t)
		e := estimator.NewEstimator(estimator.Options{})
		e.ObserveHealth(estimator.Hint{}, start)
		is.Equal(e.State(start).Phase, estimator.Failing)
		finish(e, start, 10, estimator.Succeeded)
		is.Equal(e.State(start).Phase, estimator.Serving)
	})
	t.Run("three successes in a row end the failing phase", func(t *testing.T) {
		is := is.New(t)
		e := estimator.NewEstimator(estimator.Options{})
		finish(e, start, 10, estimator.Failed)
		finish(e, start, 2, estimator.Succeeded)
		is.Equal(e.State(start).Phase, estimator.Failing)
		finish(e, start, 1, estimator.Succeeded)
		is.Equal(e.State(start).Phase, estimator.Serving)
	})
	t.Run("a failing phase ends after a time without results", func(t *testing.T) {
		is := is.New(t)
		e := estimator.NewEstimator(estimator.Options{})
		finish(e, start, 10, estimator.Failed)
		is.Equal(e.State(start.Add(5*time.Minute)).Phase, estimator.Serving)
	})
	t.Run("capacity ramps up after a cold start", func(t *testing.T) {
		is := is.New(t)
		e := estimator.NewEstimator(estimator.Options{Slots: 4, Start: start})
		s := e.State(start)
		is.Equal(s.Phase, estimator.Warming)
		is.Equal(s.Usable(), 1)
		s = e.State(start.Add(10 * time.Second))
		is.Equal(s.Phase, estimator.Serving)
		is.Equal(s.Usable(), 4)
	})
}

func TestClassify(t *testing.T) {
	t.Run("the hint decides without a learned cost", func(t *testing.T) {
		is := is.New(t)
		e := estimator.NewEstimator(estimator.Options{})
		is.Equal(e.Classify("GET", "/a", ""), estimator.Short)
		is.Equal(e.Classify("GET", "/a", "long"), estimator.Long)
		is.Equal(e.Classify("GET", "/a", "feed"), estimator.Feed)
		is.Equal(e.Classify("GET", "/a", "other"), estimator.Short)
	})
	t.Run("learned cost overrides the hint for the path class", func(t *testing.T) {
		is := is.New(t)
		e := estimator.NewEstimator(estimator.Options{})
		for range 10 {
			e.Learn("GET", "/sheets/17", 2*time.Second)
			e.Learn("GET", "/plans/17", 30*time.Millisecond)
		}
		is.Equal(e.Classify("GET", "/sheets/18?x=1", ""), estimator.Long)
		is.Equal(e.Classify("GET", "/plans/18", "long"), estimator.Short)
		is.Equal(e.Classify("POST", "/sheets/18", ""), estimator.Short)
	})
	t.Run("names are parsed back", func(t *testing.T) {
		is := is.New(t)
		for _, k := range []estimator.Kind{estimator.Short, estimator.Long, estimator.Feed} {
			got, ok := estimator.ParseKind(k.String())
			is.True(ok && got == k)
		}
		for _, p := range []estimator.Phase{estimator.Warming, estimator.Serving, estimator.Draining, estimator.Failing} {
			got, ok := estimator.ParsePhase(p.String())
			is.True(ok && got == p)
		}
		_, ok := estimator.ParsePhase("other")
		is.True(!ok)
	})
}
