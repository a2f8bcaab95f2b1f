package reporter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// bucket holds the counts of a service in a time interval.
type bucket struct {
	target string // empty if summed over targets
	start  time.Time
	width  time.Duration
	counts Counts
}

func (b bucket) end() time.Time { return b.start.Add(b.width) }

// within reports whether the bucket starts in [from, to), with from rounded down
// to the bucket's width. A bucket that overlaps from is included whole. Two
// adjacent ranges share no bucket if their boundary is a multiple of the width.
func (b bucket) within(from, to time.Time) bool {
	return !b.start.Before(from.Truncate(b.width)) && b.start.Before(to)
}

// serviceSum holds the counts of a service, summed over all daemons.
type serviceSum struct {
	buckets map[bucketKey]*Counts
	// targets holds the counts by target within the report's time range.
	targets map[string]*Counts
}

type bucketKey struct {
	start int64
	width time.Duration
}

// Builder sums the responses of daemons one by one, so that those of a large
// fleet need not be held in memory at once. It is not safe for concurrent use.
type Builder struct {
	options  Options
	coverage coverageSum
	services map[string]*serviceSum
	events   map[eventKey]*eventSum
}

// NewBuilder returns an empty Builder.
func NewBuilder(o Options) *Builder {
	return &Builder{
		options: o, coverage: newCoverageSum(), services: make(map[string]*serviceSum), events: make(map[eventKey]*eventSum),
	}
}

// Add adds the response of a daemon. A second response from the same run of a
// process is listed as a duplicate and not counted.
func (b *Builder) Add(s Source) {
	if !b.coverage.add(b.options, s) {
		return
	}
	for _, x := range s.Burn.Buckets {
		b.addBucket(x.Service, newBucket(x))
	}
	for _, e := range s.Burn.Events {
		b.addEvent(s.Daemon, e)
	}
}

func (b *Builder) addBucket(service string, x bucket) {
	if b.options.Service != "" && service != b.options.Service {
		return
	}
	sum := b.services[service]
	if sum == nil {
		sum = &serviceSum{buckets: make(map[bucketKey]*Counts), targets: make(map[string]*Counts)}
		b.services[service] = sum
	}
	addCounts(sum.buckets, bucketKey{x.start.Unix(), x.width}, x.counts)
	if x.within(b.options.From, b.options.To) {
		addCounts(sum.targets, x.target, x.counts)
	}
}

func addCounts[K comparable](sums map[K]*Counts, key K, counts Counts) {
	if sums[key] == nil {
		sums[key] = &Counts{}
	}
	sums[key].add(counts)
}

// Report returns the report on the responses added so far. It does not depend on
// their order.
func (b *Builder) Report() *Report {
	o := b.options
	report := &Report{
		From: o.From.UTC(), To: o.To.UTC(), Objectives: "builtin",
		Coverage: b.coverage.report(o), Services: []ServiceReport{},
	}
	if o.Fleet != nil {
		report.Objectives = "fleet"
	}
	for _, name := range b.serviceNames() {
		report.Services = append(report.Services, b.newServiceReport(name))
	}
	slices.SortStableFunc(report.Services, func(x, y ServiceReport) int {
		return cmp.Compare(y.BudgetPercent, x.BudgetPercent)
	})
	return report
}

// NewReport returns the report on the responses of daemons.
func NewReport(o Options, sources []Source) *Report {
	b := NewBuilder(o)
	for _, s := range sources {
		b.Add(s)
	}
	return b.Report()
}

// serviceNames returns the sorted names of all services that daemons or the
// fleet document name.
func (b *Builder) serviceNames() []string {
	names := make(map[string]bool)
	for name := range b.services {
		names[name] = true
	}
	if b.options.Fleet != nil {
		for _, s := range b.options.Fleet.Services {
			if b.options.Service == "" || s.Name == b.options.Service {
				names[s.Name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func newBucket(b api.BurnBucket) bucket {
	return bucket{
		target: b.Target, start: time.Unix(b.StartUnixSeconds, 0).UTC(),
		width:  max(time.Duration(b.WidthSeconds)*time.Second, time.Second),
		counts: Counts{Good: b.Good, Refused: b.Refused, Broken: b.Broken, Late: b.Late, Unknown: b.Unknown},
	}
}

// resolveObjective returns the policy of a service. It is the built-in one
// without a fleet document, and for services that the document lacks.
func resolveObjective(o Options, service string) cataloger.PolicySpec {
	if o.Fleet != nil {
		if policy, err := cataloger.ResolvePolicy(*o.Fleet, service, ""); err == nil {
			return policy
		}
	}
	return cataloger.BuiltinPolicy()
}

func (b *Builder) newServiceReport(name string) ServiceReport {
	o := b.options
	policy := resolveObjective(o, name)
	s := ServiceReport{
		Service: name, ObjectivePermille: policy.ObjectivePermille, ObjectiveLatencyMs: policy.ObjectiveLatencyMs, Targets: []TargetReport{},
	}
	sum := b.services[name]
	if sum == nil {
		sum = &serviceSum{}
	}
	all := sum.sorted()
	within := slices.DeleteFunc(slices.Clone(all), func(x bucket) bool { return !x.within(o.From, o.To) })
	for _, x := range within {
		s.Counts.add(x.counts)
	}
	s.BudgetPercent = round(100 * burnRate(s.Counts, s.ObjectivePermille))
	s.Hours = newHours(o, within, s.ObjectivePermille)
	for _, pair := range windowPairs {
		s.Alerts = append(s.Alerts, newAlert(pair, o, all, s.Hours, s.ObjectivePermille))
	}
	for _, target := range slices.Sorted(maps.Keys(sum.targets)) {
		t := TargetReport{Target: target, Counts: *sum.targets[target]}
		if bad := s.Counts.Bad(); bad > 0 {
			t.SharePercent = round(100 * float64(t.Counts.Bad()) / float64(bad))
		}
		s.Targets = append(s.Targets, t)
	}
	slices.SortStableFunc(s.Targets, func(x, y TargetReport) int {
		return cmp.Compare(y.Counts.Bad(), x.Counts.Bad())
	})
	s.Events, s.EventsOmitted = b.newEventGroups(name, within)
	return s
}

// sorted returns the buckets sorted by start and width.
func (s *serviceSum) sorted() []bucket {
	buckets := make([]bucket, 0, len(s.buckets))
	for key, counts := range s.buckets {
		buckets = append(buckets, bucket{start: time.Unix(key.start, 0).UTC(), width: key.width, counts: *counts})
	}
	slices.SortFunc(buckets, func(x, y bucket) int {
		return cmp.Or(x.start.Compare(y.start), cmp.Compare(x.width, y.width))
	})
	return buckets
}

// burnRate returns the fraction of bad requests divided by the fraction that the
// objective allows. It is 0 if there are no requests.
func burnRate(c Counts, permille int64) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total()) * 1000 / float64(1000-permille)
}

// round rounds to four decimals, so that rounding errors don't make equal reports
// differ.
func round(v float64) float64 { return math.Round(v*10_000) / 10_000 }
