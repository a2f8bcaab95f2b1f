package recorder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type rawOutcome struct {
	service, target string
	outcome         Outcome
	at              time.Time
}

// naiveCount counts the raw outcomes of a service and target in [from, to).
func naiveCount(raw []rawOutcome, service, target string, outcome Outcome, from, to time.Time) int64 {
	n := int64(0)
	for _, x := range raw {
		if x.service == service && x.target == target && x.outcome == outcome && !x.at.Before(from) && x.at.Before(to) {
			n++
		}
	}
	return n
}

func sum(buckets []Bucket, service, target string, outcome Outcome, from, to time.Time) int64 {
	n := int64(0)
	for _, b := range buckets {
		if b.Service() == service && b.Target() == target && !b.Start().Before(from) && b.Start().Before(to) {
			n += b.Count(outcome)
		}
	}
	return n
}

// Guards against outcomes that are lost or counted twice at the boundary between
// minute and hour buckets, and against buckets that are returned after they have
// expired.
func TestBucketsAgreeWithRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecorder(Options{})
		now := time.Unix(1_790_000_000+rapid.Int64Range(0, 7200).Draw(t, "start"), 0)
		var raw []rawOutcome
		for range rapid.IntRange(1, 300).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 59, 61, 600, 3600, 5000, 40_000}).Draw(t, "step")) * time.Second)
			x := rawOutcome{"s", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"), Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), now}
			raw = append(raw, x)
			r.Record(x.service, x.target, x.outcome, x.at)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 10*3600).Draw(t, "wait")) * time.Second)
		buckets := r.Buckets(time.Time{}, now)
		for _, from := range []time.Time{
			now.Truncate(minuteWidth), now.Add(-5 * time.Minute).Truncate(minuteWidth), now.Add(-6 * time.Hour).Truncate(minuteWidth),
			now.Add(-20 * time.Hour).Truncate(hourWidth), now.Add(-4 * 24 * time.Hour).Truncate(hourWidth),
		} {
			for _, target := range []string{"a", "b"} {
				for _, o := range Outcomes() {
					want := naiveCount(raw, "s", target, o, from, now.Add(time.Second))
					if got := sum(buckets, "s", target, o, from, now.Add(time.Second)); got != want {
						t.Fatalf("%s %s since %s: got %d, want %d", target, o, from, got, want)
					}
				}
			}
		}
	})
}

func TestBucketsOverDays(t *testing.T) {
	t.Run("a weekend of steady traffic is retained and older counts expire", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := NewRecorder(Options{})
			ticker := time.NewTicker(30 * time.Second)
			defer ticker.Stop()
			start := time.Now()
			for time.Since(start) < 6*24*time.Hour {
				<-ticker.C
				r.Record("poster-live", "a", OutcomeGood, time.Now())
			}
			now := time.Now()
			buckets := r.Buckets(time.Time{}, now)
			is.Equal(sum(buckets, "poster-live", "a", OutcomeGood, now.Add(-6*time.Hour), now), int64(6*120))
			is.Equal(sum(buckets, "poster-live", "a", OutcomeGood, now.Add(-96*time.Hour), now), int64(96*120))
			is.True(len(buckets) <= minuteBuckets+hourBuckets)
			is.True(!buckets[0].Start().Before(now.Add(-97 * time.Hour)))
		})
	})
	t.Run("a process that was paused for days returns no expired minutes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := NewRecorder(Options{})
			r.Record("s", "a", OutcomeBroken, time.Now())
			time.Sleep(5 * 24 * time.Hour)
			is.Equal(len(r.Buckets(time.Time{}, time.Now())), 0)
		})
	})
	t.Run("a clock that steps back loses no count", func(t *testing.T) {
		is := is.New(t)
		r := NewRecorder(Options{})
		now := time.Unix(1_790_000_000, 0)
		r.Record("s", "a", OutcomeGood, now)
		r.Record("s", "a", OutcomeGood, now.Add(-minuteBuckets*time.Minute))
		is.Equal(sum(r.Buckets(time.Time{}, now), "s", "a", OutcomeGood, time.Time{}, now), int64(2))
	})
}

func TestBounds(t *testing.T) {
	t.Run("targets beyond the limit are counted together", func(t *testing.T) {
		is := is.New(t)
		r := NewRecorder(Options{MaxSeries: 4})
		now := time.Unix(1_790_000_000, 0)
		for i := range 100 {
			r.Record(fmt.Sprintf("s%d", i%20), fmt.Sprint(i), OutcomeGood, now)
		}
		is.True(len(r.counts) <= 2*4+1)
		total := int64(0)
		for _, b := range r.Buckets(time.Time{}, now) {
			total += b.Count(OutcomeGood)
		}
		is.Equal(total, int64(100))
	})
	t.Run("many events of one kind do not evict those of other kinds", func(t *testing.T) {
		is := is.New(t)
		r := NewRecorder(Options{})
		now := time.Unix(1_790_000_000, 0)
		r.AddEvent(NewEvent(EventRevision, "", "", "revision 42 in force"), now)
		for i := range 5000 {
			r.AddEvent(NewEvent(EventTargetDown, "s", "a", "no answer"), now.Add(time.Duration(i)*time.Second))
		}
		events := r.Events(time.Time{})
		is.Equal(len(events), 1001)
		is.Equal(events[0].Message(), "revision 42 in force")
		is.Equal(len(r.Events(now.Add(4990*time.Second))), 10)
	})
}

// TestOutcomeNames guards against outcome names, including those of package
// dispatcher, that are counted as another outcome or not at all.
func TestOutcomeNames(t *testing.T) {
	for _, o := range Outcomes() {
		parsed, ok := ParseOutcome(o.String())
		is.New(t).True(ok && parsed == o)
	}
	_, ok := ParseOutcome("none")
	is.New(t).True(!ok)
	// The names of package dispatcher.
	for name, want := range map[string]Outcome{
		"done": OutcomeGood, "late": OutcomeLate, "failed": OutcomeBroken, "not_run": OutcomeRefused, "unknown": OutcomeUnknown, "truncated": OutcomeBroken,
	} {
		o, ok := ParseOutcome(name)
		is.New(t).True(ok && o == want)
	}
}
