// Package prover checks the documented guarantees against real processes under
// faults. It compares what callers were told with what the backend servers ran.
//
// A scenario starts a fleet, puts load on it and injects faults. Its verdict
// lists the violated guarantees and counts the injected faults by kind.
//
// # Usage
//
//	verdict, err := prover.Run(ctx, prover.Options{BinDir: "bin", Seed: 1}, prover.NewRollingReplacement())
//	for _, v := range verdict.Violations() {
//		fmt.Println(v)
//	}
package prover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"kingcupvalve.example/kingcupvalve/standin/backend"
	"kingcupvalve.example/kingcupvalve/standin/demo"
	"kingcupvalve.example/kingcupvalve/standin/launcher"
	"kingcupvalve.example/kingcupvalve/standin/loader"
)

// Upper limits of the guarantees, as documented.
const (
	maxInForceDelay = 6 * time.Second
	// maxLeavingDelay is the time after the publication of a leaving target
	// from which no request may begin there.
	maxLeavingDelay = 6 * time.Second
)

// Options configures one run.
type Options struct {
	// BinDir is the directory of the programs kingcupvalved and standin.
	BinDir string
	// Seed determines the pauses of the load and the order of random faults.
	Seed uint64
	// Rounds is how many times the faults of the scenario are injected; 0 means
	// 1.
	Rounds int
}

// Scenario is a sequence of faults and the guarantee that it checks.
type Scenario struct {
	name      string
	guarantee string
	// planned is set if callers must not notice the changes of the scenario: no
	// feed or response may break, no request may fail and no outcome may be
	// unknown.
	planned bool
	inject  func(ctx context.Context, r *run) error
}

// Name returns the name of the scenario.
func (s Scenario) Name() string { return s.name }

// Verdict is the result of one scenario.
type Verdict struct {
	scenario     Scenario
	seed         uint64
	report       demo.Report
	faults       map[string]int
	violations   []string
	inForceDelay time.Duration
	burst        loader.BurstResult
}

// Violations returns a line for each violated guarantee, followed by details
// such as the faults that callers saw and the directory of the logs.
func (v Verdict) Violations() []string { return v.violations }

// leavingPeriod is the period in which a target is published as leaving.
type leavingPeriod struct {
	from time.Time
	to   time.Time
}

// run is the state of one scenario in progress.
type run struct {
	fleet        *launcher.Fleet
	load         *loader.Load
	rounds       int
	faults       map[string]int
	violations   []string
	inForceDelay time.Duration
	burst        loader.BurstResult
	revisions    map[string]uint64
	leaving      map[string]leavingPeriod
	random       *rand.Rand
}

func (r *run) countFault(kind string) { r.faults[kind]++ }

func (r *run) recordViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Run executes one scenario. An error means that the run itself failed;
// violated guarantees are part of the verdict. The directory with settings and
// logs is removed after a run without violations and kept otherwise.
func Run(ctx context.Context, o Options, s Scenario) (Verdict, error) {
	dir, err := os.MkdirTemp("", "kingcupvalve-prove-")
	if err != nil {
		return Verdict{}, fmt.Errorf("create run directory: %w", err)
	}
	f, err := launcher.NewFleet(dir, o.BinDir)
	if err != nil {
		return Verdict{}, err
	}
	defer f.StopAll()
	r := &run{
		fleet: f, load: loader.NewLoad(f, o.Seed), rounds: max(o.Rounds, 1), faults: map[string]int{},
		revisions: map[string]uint64{}, leaving: map[string]leavingPeriod{},
		random: rand.New(rand.NewPCG(o.Seed, 0)),
	}
	if err := r.execute(ctx, s); err != nil {
		return Verdict{}, fmt.Errorf("run %s in %s: %w", s.name, dir, err)
	}
	v := Verdict{
		scenario: s, seed: o.Seed, faults: r.faults, inForceDelay: r.inForceDelay, burst: r.burst,
		report: demo.NewReport(r.load, f.Records()),
	}
	v.violations = append(r.violations, checkReport(v.report, s.planned)...)
	v.violations = append(v.violations, r.checkLeavingTargets(f.Records())...)
	if len(v.violations) == 0 {
		return v, os.RemoveAll(dir)
	}
	v.violations = append(v.violations, "logs are in "+dir)
	return v, nil
}

func (r *run) execute(ctx context.Context, s Scenario) error {
	if err := r.fleet.Start(ctx); err != nil {
		return err
	}
	if err := r.load.Start(ctx); err != nil {
		return err
	}
	if err := launcher.Sleep(ctx, time.Second); err != nil {
		return err
	}
	for range r.rounds {
		if err := s.inject(ctx, r); err != nil {
			return err
		}
	}
	if err := launcher.Sleep(ctx, time.Second); err != nil {
		return err
	}
	r.load.Stop()
	return r.fleet.CollectRecords(ctx)
}

// checkReport compares a report with the guarantees. Under unplanned faults a
// request may fail or have an unknown outcome, but feeds must survive.
func checkReport(r demo.Report, planned bool) []string {
	var violations []string
	add := func(condition bool, format string, args ...any) {
		if condition {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	t := r.Tally()
	add(t.Complete == 0 || t.Events == 0, "no request or feed was served")
	add(t.BrokenFeeds > 0, "%d feeds broke", t.BrokenFeeds)
	add(t.Mismatched > 0, "%d answers were not the caller's own", t.Mismatched)
	add(r.Duplicated() > 0, "%d non-idempotent requests ran twice", r.Duplicated())
	add(r.Misdelivered() > 0, "%d requests reached another service", r.Misdelivered())
	add(r.RanAfterRefusal() > 0, "%d requests ran although refused as not run", r.RanAfterRefusal())
	add(planned && t.Truncated+t.Failed+t.Unknown > 0, "%d answers truncated, %d requests failed, %d unknown over planned change",
		t.Truncated, t.Failed, t.Unknown)
	add(planned && t.PlainComplete < t.PlainRequests, "%d of %d plain requests failed over planned change", t.PlainRequests-t.PlainComplete, t.PlainRequests)
	if len(violations) > 0 {
		violations = append(violations, r.Faults()...)
	}
	return violations
}

// checkLeavingTargets reports requests that began at a leaving target later
// than maxLeavingDelay after its publication.
func (r *run) checkLeavingTargets(records []backend.Record) []string {
	late := map[string]int{}
	for _, record := range records {
		l, ok := r.leaving[record.Target]
		if !ok {
			continue
		}
		if ms := record.StartedUnixMs; ms > l.from.Add(maxLeavingDelay).UnixMilli() && ms < l.to.UnixMilli() {
			late[record.Target]++
		}
	}
	var violations []string
	for target, n := range late {
		violations = append(violations, fmt.Sprintf("%d requests began at leaving target %s after %v", n, target, maxLeavingDelay))
	}
	return violations
}

// checkRevisions records the revision of every running node and reports a
// violation if a node went back to an earlier one.
func (r *run) checkRevisions(ctx context.Context) {
	for _, n := range r.fleet.RunningNodes() {
		s, err := r.fleet.Status(ctx, n)
		if err != nil {
			continue
		}
		key := n.Name() + "/" + s.Incarnation
		if s.Revision < r.revisions[key] {
			r.recordViolation("%s went back from revision %d to %d", n.Name(), r.revisions[key], s.Revision)
		}
		r.revisions[key] = max(r.revisions[key], s.Revision)
	}
}

// waitInForce waits until every running node, except those in skip, serves
// the published revision. It reports a violation if that takes longer than
// maxInForceDelay.
func (r *run) waitInForce(ctx context.Context, skip ...*launcher.Node) error {
	took, err := r.fleet.WaitInForce(ctx, skip...)
	if err != nil {
		return err
	}
	r.inForceDelay = max(r.inForceDelay, took)
	if took > maxInForceDelay {
		r.recordViolation("a configuration was in force after %v", took)
	}
	r.checkRevisions(ctx)
	return nil
}
