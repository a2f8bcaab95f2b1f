package prover

import (
	"encoding/json"
	"fmt"
	"io"

	"kingcupvalve.example/kingcupvalve/standin/loader"
)

// verdictLine is the JSON encoding of a verdict.
type verdictLine struct {
	Scenario  string `json:"scenario"`
	Guarantee string `json:"promise"`
	Seed      uint64 `json:"seed"`
	Requests  int    `json:"requests"`
	Complete  int    `json:"answered_whole"`
	NotRun    int    `json:"not_run"`
	Unknown   int    `json:"unknown"`
	Failed    int    `json:"truncated_or_failed"`
	Events    int    `json:"feed_events"`
	GapMs     int64  `json:"longest_gap_ms"`
	InForceMs int64  `json:"in_force_ms"`
	// Burst is the result of the peak's callers, nil for other scenarios.
	Burst      *loader.BurstResult `json:"burst,omitempty"`
	Faults     map[string]int      `json:"faults"`
	Violations int                 `json:"violations"`
}

// Write writes a line for each violation, then the verdict as one JSON line.
func (v Verdict) Write(w io.Writer) error {
	for _, text := range v.violations {
		fmt.Fprintf(w, "violation in %s: %s\n", v.scenario.name, text)
	}
	t := v.report.Tally()
	line := verdictLine{
		Scenario: v.scenario.name, Guarantee: v.scenario.guarantee, Seed: v.seed, Requests: t.Requests, Complete: t.Complete,
		NotRun: t.NotRun, Unknown: t.Unknown, Failed: t.Truncated + t.Failed, Events: t.Events,
		GapMs: t.LongestGap.Milliseconds(), InForceMs: v.inForceDelay.Milliseconds(), Faults: v.faults, Violations: len(v.violations),
	}
	if v.burst.Sent > 0 {
		line.Burst = &v.burst
	}
	if err := json.NewEncoder(w).Encode(line); err != nil {
		return fmt.Errorf("write verdict: %w", err)
	}
	return nil
}
