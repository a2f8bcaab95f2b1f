package reporter

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
)

type rawOutcome struct {
	service, target string
	outcome         recorder.Outcome
	at              time.Time
}

// naiveRate computes the counts and the burn rate of a service in [from, to)
// from raw outcomes, as a reference.
func naiveRate(raw []rawOutcome, service string, from, to time.Time, permille int64) (bad, total int64, rate float64) {
	for _, x := range raw {
		if x.service != service || x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		total++
		if x.outcome != recorder.OutcomeGood {
			bad++
		}
	}
	if total == 0 {
		return 0, 0, 0
	}
	return bad, total, float64(bad) / float64(total) / (1 - float64(permille)/1000)
}

// toBurn returns the buckets of a recorder as the response of a daemon.
func toBurn(r *recorder.Recorder, process string, startedAt, now time.Time) *api.Burn {
	burn := &api.Burn{Process: process, StartedAt: startedAt}
	for _, b := range r.Buckets(time.Time{}, now) {
		burn.Buckets = append(burn.Buckets, api.BurnBucket{
			Service: b.Service(), Target: b.Target(), StartUnixSeconds: b.Start().Unix(), WidthSeconds: int32(b.Width().Seconds()),
			Good: b.Count(recorder.OutcomeGood), Refused: b.Count(recorder.OutcomeRefused), Broken: b.Count(recorder.OutcomeBroken),
			Late: b.Count(recorder.OutcomeLate), Unknown: b.Count(recorder.OutcomeUnknown),
		})
	}
	return burn
}

func isClose(a, b float64) bool { return a-b < 0.001*max(1, b) && b-a < 0.001*max(1, b) }

// TestBurnAgreesWithRecount guards against requests that are lost, counted twice
// or assigned to the wrong window between the daemons and the report.
func TestBurnAgreesWithRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Unix(1_790_000_000, 0).UTC().Truncate(time.Hour)
		now := begin
		permille := rapid.Int64Range(900, 999).Draw(t, "objective")
		daemons := []*recorder.Recorder{recorder.NewRecorder(recorder.Options{}), recorder.NewRecorder(recorder.Options{}), recorder.NewRecorder(recorder.Options{})}
		var raw []rawOutcome
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 20, 61, 700, 4000}).Draw(t, "step")) * time.Second)
			x := rawOutcome{
				rapid.SampledFrom([]string{"poster-live", "poster-pdf"}).Draw(t, "service"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"),
				recorder.Outcome(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3, 4}).Draw(t, "outcome")), now,
			}
			raw = append(raw, x)
			daemons[rapid.IntRange(0, 2).Draw(t, "daemon")].Record(x.service, x.target, x.outcome, x.at)
		}
		now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "wait")) * time.Second)
		// The time range starts at the first request, but no earlier than the
		// daemons' retention.
		from := begin
		if oldest := now.Add(-Retention).Truncate(time.Hour); from.Before(oldest) {
			from = oldest
		}
		var sources []Source
		for i, d := range daemons {
			sources = append(sources, Source{Daemon: fmt.Sprint(i), Burn: toBurn(d, fmt.Sprint(i), begin, now)})
		}
		fleet := &cataloger.FleetSpec{Defaults: cataloger.PolicySpec{ObjectivePermille: permille}}
		report := NewReport(Options{From: from, To: now, Fleet: fleet}, sources)
		for _, s := range report.Services {
			bad, total, rate := naiveRate(raw, s.Service, from, now, permille)
			if s.Counts.Bad() != bad || s.Counts.Total() != total || !isClose(s.BudgetPercent, 100*rate) {
				t.Fatalf("%s: got %+v and %f%%, want %d of %d and %f%%", s.Service, s.Counts, s.BudgetPercent, bad, total, 100*rate)
			}
			for _, a := range s.Alerts {
				for _, w := range []Window{a.Short, a.Long} {
					bad, total, rate := naiveRate(raw, s.Service, now.Add(-w.Length()).Truncate(time.Minute), now, permille)
					if w.Counts.Bad() != bad || w.Counts.Total() != total || !isClose(w.BurnRate, rate) || w.Coarse {
						t.Fatalf("%s over %s: got %+v, want %d of %d at %f", s.Service, w.Length(), w, bad, total, rate)
					}
				}
				if firing := a.Short.BurnRate >= a.Threshold && a.Long.BurnRate >= a.Threshold; firing != a.Firing {
					t.Fatalf("alert %+v", a)
				}
			}
			targets, hours := Counts{}, Counts{}
			for _, x := range s.Targets {
				targets.add(x.Counts)
			}
			for _, x := range s.Hours {
				hours.add(x.Counts)
			}
			if targets != s.Counts || hours != s.Counts {
				t.Fatalf("%s: targets %+v, hours %+v, service %+v", s.Service, targets, hours, s.Counts)
			}
		}
	})
}

func at(text string) time.Time {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		panic(err)
	}
	return t
}

func hourBucket(service, target, start string, good, refused, broken int64) api.BurnBucket {
	return api.BurnBucket{Service: service, Target: target, StartUnixSeconds: at(start).Unix(), WidthSeconds: 3600, Good: good, Refused: refused, Broken: broken}
}

// weekendSources returns the responses of three daemons after a weekend with a
// fault on Sunday at 03:00.
func weekendSources() []Source {
	event := func(kind api.BurnEventKind, target, when, message string) api.BurnEvent {
		return api.BurnEvent{Kind: kind, Service: api.NewOptString("poster-live"), Target: api.NewOptString(target), AtUnixSeconds: at(when).Unix(), Message: message}
	}
	revision := api.BurnEvent{Kind: api.BurnEventKindRevision, AtUnixSeconds: at("2026-12-06T02:58:00Z").Unix(), Message: "revision 42 in force"}
	return []Source{
		{Daemon: "127.0.0.1:1", Burn: &api.Burn{
			Process: "tb-a-depot-1", StartedAt: at("2026-12-01T00:00:00Z"),
			Buckets: []api.BurnBucket{
				hourBucket("poster-live", "depot-1", "2026-12-05T10:00:00Z", 100_000, 0, 10), hourBucket("poster-live", "depot-1", "2026-12-06T03:00:00Z", 5000, 0, 0),
			},
			Events: []api.BurnEvent{revision, event(api.BurnEventKindTargetDown, "depot-2", "2026-12-06T03:01:00Z", "no answer to 3 probes")},
		}},
		{Daemon: "127.0.0.1:2", Burn: &api.Burn{
			Process: "tb-b-depot-2", StartedAt: at("2026-12-06T04:00:00Z"),
			Buckets: []api.BurnBucket{hourBucket("poster-live", "depot-2", "2026-12-06T03:00:00Z", 4000, 900, 100), hourBucket("poster-pdf", "press-1", "2026-12-07T04:00:00Z", 500, 0, 0)},
			Events:  []api.BurnEvent{revision, event(api.BurnEventKindTargetUp, "depot-2", "2026-12-06T12:00:00Z", "answers again")},
		}},
		{Daemon: "127.0.0.1:3", Err: errors.New("connection refused")},
	}
}

func weekendReport() *Report {
	return NewReport(Options{From: at("2026-12-04T17:00:00Z"), To: at("2026-12-07T08:00:00Z")}, weekendSources())
}

func TestReport(t *testing.T) {
	report := weekendReport()
	t.Run("the service with the most budget spent comes first, with its counts", func(t *testing.T) {
		is := is.New(t)
		s := report.Services[0]
		is.Equal(s.Service, "poster-live")
		is.Equal(s.Verdict(), VerdictMissed)
		is.Equal(s.Counts, Counts{Good: 109_000, Refused: 900, Broken: 110})
		is.True(isClose(s.BudgetPercent, 100*1010.0/110_010/0.001))
		is.Equal(s.Targets[0].Target, "depot-2")
		is.Equal(report.Services[1].Verdict(), VerdictMet)
	})
	t.Run("hours above a threshold are listed after the fault has passed", func(t *testing.T) {
		is := is.New(t)
		fast := report.Services[0].Alerts[0]
		is.True(!fast.Firing)
		is.Equal(fast.Above, []Period{{From: at("2026-12-06T03:00:00Z"), To: at("2026-12-06T04:00:00Z")}})
	})
	t.Run("events near the fault are merged over daemons, others are left out", func(t *testing.T) {
		is := is.New(t)
		events := report.Services[0].Events
		is.Equal(len(events), 2)
		is.Equal(events[0].Kind, "revision")
		is.Equal(events[0].Daemons, 2)
		is.Equal(events[0].BadAfter, int64(1000))
		is.Equal(events[1].Kind, "target_down")
	})
	t.Run("missing counts are reported", func(t *testing.T) {
		is := is.New(t)
		c := report.Coverage
		is.Equal(c.Answered, 2)
		is.Equal(c.Unreachable[0].Error, "connection refused")
		is.Equal(c.Partial[0].Process, "tb-b-depot-2")
		// Two daemons cover 63 h and 28 h; three would cover 63 h each.
		is.True(isClose(c.Percent, 100*91.0/189))
		is.True(!c.IsComplete())
	})
	t.Run("a daemon given under two addresses is counted once", func(t *testing.T) {
		is := is.New(t)
		sources := weekendSources()
		again := sources[1]
		again.Daemon = "127.0.0.1:9"
		r := NewReport(Options{From: report.From, To: report.To}, append(sources, again))
		is.Equal(r.Services[0].Counts, report.Services[0].Counts)
		is.Equal(r.Coverage.Duplicates, []Duplicate{{Daemon: "127.0.0.1:9", Process: "tb-b-depot-2"}})
		is.Equal(r.Coverage.Percent, report.Coverage.Percent)
	})
	t.Run("the order of the responses has no effect", func(t *testing.T) {
		is := is.New(t)
		sources := weekendSources()
		slices.Reverse(sources)
		is.Equal(NewReport(Options{From: report.From, To: report.To}, sources), report)
	})
	t.Run("targets of the fleet without counts are listed", func(t *testing.T) {
		is := is.New(t)
		fleet := &cataloger.FleetSpec{Services: []cataloger.ServiceSpec{
			{Name: "poster-live", Targets: []cataloger.TargetSpec{{Name: "depot-1"}, {Name: "depot-9"}}}, {Name: "quiet"},
		}}
		r := NewReport(Options{From: report.From, To: report.To, Fleet: fleet}, weekendSources())
		is.Equal(r.Coverage.SilentTargets, []string{"poster-live/depot-9"})
		is.Equal(r.Services[2].Service, "quiet")
		is.Equal(r.Services[2].Verdict(), VerdictNoData)
	})
}

func TestLastWeekend(t *testing.T) {
	for _, c := range []struct{ name, now, from, to string }{
		{"Monday before work", "2026-12-07T08:00:00Z", "2026-12-04T17:00:00Z", "2026-12-07T08:00:00Z"},
		{"Wednesday", "2026-12-09T12:00:00Z", "2026-12-04T17:00:00Z", "2026-12-07T09:00:00Z"},
		{"Saturday", "2026-12-05T12:00:00Z", "2026-12-04T17:00:00Z", "2026-12-05T12:00:00Z"},
		{"Friday before the end of work", "2026-12-04T16:00:00Z", "2026-11-27T17:00:00Z", "2026-11-30T09:00:00Z"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			from, to := LastWeekend(at(c.now))
			is.Equal(from, at(c.from))
			is.Equal(to, at(c.to))
		})
	}
}
