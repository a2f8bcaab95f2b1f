// Package reporter computes error budgets and burn rates of services from the
// outcome counts of daemons, and writes the report as text or HTML.
//
// The error budget of a service is the fraction of requests that its objective
// allows to be bad: 1 of 1,000 with an objective of 999 per mille. Requests with
// the outcomes refused, broken, late and unknown are bad. The burn rate of a time
// interval is the fraction of bad requests divided by the allowed fraction. At a
// rate of 1, the budget is spent exactly at the end of the interval. An alert
// fires while both a short and a long window are at or above its threshold,
// which distinguishes a persistent fault from one that has passed.
//
// Daemons keep counts in memory only. The report therefore states its coverage:
// which daemons did not answer, and which started within the time range, so that
// their earlier counts are lost.
//
// # Usage
//
//	report := reporter.NewReport(reporter.Options{From: from, To: to, Fleet: &fleet}, sources)
//	err := reporter.WriteHTML(os.Stdout, report, time.Local)
package reporter

import (
	"time"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// Retention is the time for which daemons keep counts.
const Retention = 4 * 24 * time.Hour

// Source is the response of a daemon.
type Source struct {
	// Daemon is the operator address of the daemon.
	Daemon string
	// Burn is nil if the daemon did not answer.
	Burn *api.Burn
	// Err is the reason why the daemon did not answer.
	Err error
}

// Options configures a report on the time range from From, inclusive, to To,
// exclusive.
type Options struct {
	From time.Time
	To   time.Time
	// Now is the time of the responses, from which the retention of daemons
	// counts. The default is To.
	Now time.Time
	// Fleet provides the objectives and the targets that are expected to report.
	// Without it, the built-in objective applies.
	Fleet *cataloger.FleetSpec
	// Service limits the report to one service, unless it is empty.
	Service string
}

func (o Options) now() time.Time {
	if o.Now.IsZero() {
		return o.To
	}
	return o.Now
}

// Counts holds numbers of requests by outcome.
type Counts struct {
	Good    int64 `json:"good"`
	Refused int64 `json:"refused"`
	Broken  int64 `json:"broken"`
	Late    int64 `json:"late"`
	Unknown int64 `json:"unknown"`
}

// Bad returns the number of bad requests, which spend error budget.
func (c Counts) Bad() int64 { return c.Refused + c.Broken + c.Late + c.Unknown }

// Total returns the number of all requests.
func (c Counts) Total() int64 { return c.Good + c.Bad() }

func (c *Counts) add(b Counts) {
	c.Good += b.Good
	c.Refused += b.Refused
	c.Broken += b.Broken
	c.Late += b.Late
	c.Unknown += b.Unknown
}

// Report is the error budget report on all services. It is encoded as JSON.
type Report struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Objectives is the source of the objectives, fleet or builtin.
	Objectives string          `json:"objectives"`
	Coverage   Coverage        `json:"coverage"`
	Services   []ServiceReport `json:"services"`
}

// Coverage describes which part of the counts the report includes.
type Coverage struct {
	Daemons  int `json:"daemons"`
	Answered int `json:"answered"`
	// Percent is the part of the time range for which counts are available,
	// averaged over all daemons.
	Percent     float64           `json:"percent"`
	Unreachable []Unreachable     `json:"unreachable"`
	Partial     []PartialCoverage `json:"partial"`
	// Duplicates are daemons given under more than one address.
	Duplicates []Duplicate `json:"duplicates"`
	// SilentTargets are the targets of the fleet document for which no daemon
	// reported counts, as service/target.
	SilentTargets []string `json:"silent_targets"`
}

// IsComplete reports whether no counts are missing.
func (c Coverage) IsComplete() bool {
	return len(c.Unreachable)+len(c.Partial)+len(c.SilentTargets) == 0
}

// Unreachable is a daemon that did not answer.
type Unreachable struct {
	Daemon string `json:"daemon"`
	Error  string `json:"error"`
}

// Duplicate is a daemon whose process already answered at another address.
type Duplicate struct {
	Daemon  string `json:"daemon"`
	Process string `json:"process"`
}

// PartialCoverage is a daemon whose counts begin within the time range.
type PartialCoverage struct {
	Daemon      string    `json:"daemon"`
	Process     string    `json:"process"`
	CountsSince time.Time `json:"counts_since"`
}

// ServiceReport is the part of the report on one service.
type ServiceReport struct {
	Service            string `json:"service"`
	ObjectivePermille  int64  `json:"objective_permille"`
	ObjectiveLatencyMs int64  `json:"objective_latency_ms"`
	Counts             Counts `json:"counts"`
	// BudgetPercent is the percentage of the time range's error budget that was
	// spent. At 100 or more, the objective is missed.
	BudgetPercent float64        `json:"budget_percent"`
	Alerts        []Alert        `json:"alerts"`
	Hours         []Hour         `json:"hours"`
	Targets       []TargetReport `json:"targets"`
	Events        []EventGroup   `json:"events"`
	// EventsOmitted is the number of event groups that are not listed.
	EventsOmitted int `json:"events_omitted"`
}

// Alert is a multi-window burn rate alert, evaluated at the end of the report's
// time range.
type Alert struct {
	Name      string  `json:"name"`
	Threshold float64 `json:"threshold"`
	Short     Window  `json:"short"`
	Long      Window  `json:"long"`
	// Firing is true if both windows are at or above the threshold.
	Firing bool `json:"firing"`
	// Above lists the periods in which the long window was at or above the
	// threshold, with a resolution of one hour.
	Above []Period `json:"above"`
}

// Window is a time interval that ends with the report's time range.
type Window struct {
	Seconds  int64   `json:"seconds"`
	Counts   Counts  `json:"counts"`
	BurnRate float64 `json:"burn_rate"`
	// Coarse is true if the window includes a bucket that starts before it,
	// such as an hour bucket.
	Coarse bool `json:"coarse"`
}

// Length returns the duration of the window.
func (w Window) Length() time.Duration { return time.Duration(w.Seconds) * time.Second }

// Period is a time interval.
type Period struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// Hour holds the counts and the burn rate of one hour.
type Hour struct {
	Start    time.Time `json:"start"`
	Counts   Counts    `json:"counts"`
	BurnRate float64   `json:"burn_rate"`
}

// TargetReport is the part of a service's counts that belongs to one target.
type TargetReport struct {
	Target string `json:"target"`
	Counts Counts `json:"counts"`
	// SharePercent is the target's percentage of the service's bad requests.
	SharePercent float64 `json:"share_percent"`
}

// EventGroup is an event, merged over daemons and repetitions.
type EventGroup struct {
	Kind    string    `json:"kind"`
	Target  string    `json:"target,omitempty"`
	Message string    `json:"message"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	Times   int       `json:"times"`
	Daemons int       `json:"daemons"`
	// BadAfter is the number of bad requests in the buckets within 10 minutes
	// after the event. Requests may be counted for several events.
	BadAfter int64 `json:"bad_after"`
}
