package reporter

import (
	"fmt"
	"strings"
	"time"
)

// Verdicts on a service.
const (
	VerdictMet    = "met"
	VerdictAtRisk = "at risk"
	VerdictMissed = "missed"
	VerdictNoData = "no data"
)

// atRiskPercent is the percentage of the budget spent from which the verdict is
// VerdictAtRisk.
const atRiskPercent = 50

// Verdict returns the verdict on the service in the report's time range.
func (s ServiceReport) Verdict() string {
	switch {
	case s.Counts.Total() == 0:
		return VerdictNoData
	case s.BudgetPercent >= 100:
		return VerdictMissed
	case s.BudgetPercent >= atRiskPercent:
		return VerdictAtRisk
	}
	return VerdictMet
}

// Cause is the number of bad requests with one outcome.
type Cause struct {
	Outcome string
	Count   int64
	Percent float64
}

// Causes returns the bad outcomes with their counts and their percentages of all
// bad requests.
func (c Counts) Causes() []Cause {
	causes := []Cause{
		{Outcome: "refused", Count: c.Refused},
		{Outcome: "broken", Count: c.Broken},
		{Outcome: "late", Count: c.Late},
		{Outcome: "unknown", Count: c.Unknown},
	}
	if bad := c.Bad(); bad > 0 {
		for i := range causes {
			causes[i].Percent = round(100 * float64(causes[i].Count) / float64(bad))
		}
	}
	return causes
}

// Summary describes in a few sentences how many requests were bad, and the main
// outcome, target and event.
func (s ServiceReport) Summary() string {
	if s.Counts.Total() == 0 {
		return "No requests were counted."
	}
	bad := s.Counts.Bad()
	if bad == 0 {
		return fmt.Sprintf("All %d requests were answered well.", s.Counts.Total())
	}
	largest := Cause{}
	for _, c := range s.Counts.Causes() {
		if c.Count > largest.Count {
			largest = c
		}
	}
	text := fmt.Sprintf("%d of %d requests went wrong, which is %.0f%% of the error budget; %.0f%% of them were %s.",
		bad, s.Counts.Total(), s.BudgetPercent, largest.Percent, outcomeText(largest.Outcome))
	if len(s.Targets) > 1 {
		text += fmt.Sprintf(" Target %s had %.0f%% of them.", s.Targets[0].Target, s.Targets[0].SharePercent)
	}
	if len(s.Events) > 0 {
		e := s.Events[0]
		text += fmt.Sprintf(" %d of them came within 10 minutes after this event: %s.", e.BadAfter, e.label())
	}
	return text
}

// label describes an event as part of a sentence.
func (e EventGroup) label() string {
	text := strings.ReplaceAll(e.Kind, "_", " ")
	if e.Target != "" {
		text += " of " + e.Target
	}
	return text + " (" + e.Message + ")"
}

func outcomeText(outcome string) string {
	switch outcome {
	case "refused":
		return "refused without being run"
	case "broken":
		return "broken off or answered with an error"
	case "late":
		return "answered too late"
	}
	return "of unknown outcome"
}

// Lines describes the coverage and each gap in it, one sentence per line.
func (c Coverage) Lines(location *time.Location) []string {
	lines := []string{fmt.Sprintf("%d of %d daemons answered; the report covers %.1f%% of their time in the window.", c.Answered, c.Daemons, c.Percent)}
	for _, u := range c.Unreachable {
		lines = append(lines, fmt.Sprintf("Daemon %s did not answer: %s", u.Daemon, u.Error))
	}
	for _, p := range c.Partial {
		lines = append(lines, fmt.Sprintf("Process %s (%s) has counts since %s only; earlier ones are lost.", p.Process, p.Daemon, formatTime(p.CountsSince, location)))
	}
	for _, d := range c.Duplicates {
		lines = append(lines, fmt.Sprintf("Daemon %s is process %s, which answered at another address, too; it was counted once.", d.Daemon, d.Process))
	}
	if len(c.SilentTargets) > 0 {
		lines = append(lines, "No daemon reported for the targets "+strings.Join(c.SilentTargets, ", ")+".")
	}
	return lines
}

func formatTime(t time.Time, location *time.Location) string {
	return t.In(location).Format("Mon 2 Jan 15:04")
}

// formatZone returns the name of a location and its offset from UTC at time t.
func formatZone(t time.Time, location *time.Location) string {
	if location == time.UTC {
		return "UTC"
	}
	name := location.String()
	if location == time.Local {
		name = "local time"
	}
	return name + t.In(location).Format(", UTC-07:00")
}

func formatPeriods(periods []Period, location *time.Location) string {
	texts := make([]string, len(periods))
	for i, p := range periods {
		texts[i] = formatTime(p.From, location) + " to " + formatTime(p.To, location)
	}
	return strings.Join(texts, "; ")
}

func formatLength(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%d h", d/time.Hour)
	}
	return fmt.Sprintf("%d min", d/time.Minute)
}
