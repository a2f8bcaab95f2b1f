package reporter

import (
	"cmp"
	"slices"
	"time"
)

// processRun identifies a run of a process, which a restart ends.
type processRun struct {
	process   string
	startedAt int64
}

// coverageSum accumulates the coverage of the responses.
type coverageSum struct {
	coverage Coverage
	covered  time.Duration
	runs     map[processRun]bool
	// reported holds the targets in buckets, as service/target, and the names
	// of the agents' own targets.
	reported map[string]bool
}

func newCoverageSum() coverageSum {
	return coverageSum{
		coverage: Coverage{Unreachable: []Unreachable{}, Partial: []PartialCoverage{}, Duplicates: []Duplicate{}, SilentTargets: []string{}},
		runs:     make(map[processRun]bool), reported: make(map[string]bool),
	}
}

// add records a response, and reports whether its counts are to be added.
func (c *coverageSum) add(o Options, s Source) bool {
	if s.Burn == nil {
		text := "no answer"
		if s.Err != nil {
			text = s.Err.Error()
		}
		c.coverage.Daemons++
		c.coverage.Unreachable = append(c.coverage.Unreachable, Unreachable{Daemon: s.Daemon, Error: text})
		return false
	}
	run := processRun{s.Burn.Process, s.Burn.StartedAt.UnixNano()}
	if c.runs[run] {
		c.coverage.Duplicates = append(c.coverage.Duplicates, Duplicate{Daemon: s.Daemon, Process: s.Burn.Process})
		return false
	}
	c.runs[run] = true
	c.coverage.Daemons++
	c.coverage.Answered++
	since := s.Burn.StartedAt.UTC()
	if oldest := o.now().Add(-Retention); since.Before(oldest) {
		since = oldest.UTC()
	}
	if since.After(o.From) {
		c.coverage.Partial = append(c.coverage.Partial, PartialCoverage{Daemon: s.Daemon, Process: s.Burn.Process, CountsSince: since})
		c.covered += max(o.To.Sub(since), 0)
	} else {
		c.covered += o.To.Sub(o.From)
	}
	if target, ok := s.Burn.Target.Get(); ok {
		c.reported[target] = true
	}
	for _, b := range s.Burn.Buckets {
		c.reported[b.Service+"/"+b.Target] = true
	}
	return true
}

// report returns the coverage with sorted lists, so that the order of the
// responses has no effect.
func (c *coverageSum) report(o Options) Coverage {
	r := c.coverage
	r.Unreachable = slices.SortedFunc(slices.Values(r.Unreachable), func(x, y Unreachable) int { return cmp.Compare(x.Daemon, y.Daemon) })
	r.Partial = slices.SortedFunc(slices.Values(r.Partial), func(x, y PartialCoverage) int { return cmp.Compare(x.Daemon, y.Daemon) })
	r.Duplicates = slices.SortedFunc(slices.Values(r.Duplicates), func(x, y Duplicate) int { return cmp.Compare(x.Daemon, y.Daemon) })
	if length := o.To.Sub(o.From); length > 0 && r.Daemons > 0 {
		r.Percent = round(100 * float64(c.covered) / (float64(length) * float64(r.Daemons)))
	}
	r.SilentTargets = c.silentTargets(o)
	return r.withoutNilLists()
}

// withoutNilLists replaces nil lists, which would be null in JSON.
func (c Coverage) withoutNilLists() Coverage {
	c.Unreachable = append([]Unreachable{}, c.Unreachable...)
	c.Partial = append([]PartialCoverage{}, c.Partial...)
	c.Duplicates = append([]Duplicate{}, c.Duplicates...)
	c.SilentTargets = append([]string{}, c.SilentTargets...)
	return c
}

// silentTargets returns the targets of the fleet document for which no daemon
// reported counts.
func (c *coverageSum) silentTargets(o Options) []string {
	if o.Fleet == nil {
		return nil
	}
	var silent []string
	for _, service := range o.Fleet.Services {
		if o.Service != "" && o.Service != service.Name {
			continue
		}
		for _, target := range service.Targets {
			if name := service.Name + "/" + target.Name; !c.reported[target.Name] && !c.reported[name] {
				silent = append(silent, name)
			}
		}
	}
	return silent
}
