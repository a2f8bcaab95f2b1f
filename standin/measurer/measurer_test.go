package measurer_test

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/standin/measurer"
)

func options(scenario, service string) measurer.Options {
	return measurer.Options{
		Seeds: 1, Workers: 2,
		Scenarios: regexp.MustCompile("^(" + scenario + ")$"),
		Services:  regexp.MustCompile("^(" + service + ")$"),
		Variants:  regexp.MustCompile("^policy$"),
	}
}

// TestObjectives guards against a policy change that misses an objective at the
// demand peak of the smallest service.
func TestObjectives(t *testing.T) {
	is := is.New(t)
	results := measurer.Run(options("peak", "drawing-archive"))
	is.True(len(results) > 0)
	for _, r := range results {
		if r.Missed {
			t.Errorf("%s of %s with seed %d: %s is %v, objective %v", r.Scenario, r.Service, r.Seed, r.Figure, r.Value, *r.Bound)
		}
	}
}

// TestSeed guards against a source of randomness outside the seed: the same seed
// must reproduce the same figures.
func TestSeed(t *testing.T) {
	is := is.New(t)
	o := options("cold_start", "drawing-archive")
	is.Equal(measurer.Run(o), measurer.Run(o))
}

// TestReport guards against a table that doesn't show or count a missed objective.
func TestReport(t *testing.T) {
	is := is.New(t)
	bound := 1.0
	results := []measurer.Result{
		{Scenario: "s", Variant: "policy", Seed: 1, Figure: "f", Value: 0.5, Bound: &bound},
		{Scenario: "s", Variant: "policy", Seed: 2, Figure: "f", Value: 2, Bound: &bound, Missed: true},
		{Scenario: "s", Variant: "random", Seed: 1, Figure: "f", Value: 2, Bound: &bound, Missed: true},
	}
	var out bytes.Buffer
	missed, err := measurer.WriteTable(&out, results)
	is.NoErr(err)
	is.Equal(missed, 1)
	is.Equal(strings.Count(out.String(), "missed"), 2)
	out.Reset()
	is.NoErr(measurer.WriteLines(&out, results))
	is.Equal(strings.Count(out.String(), "\n"), 3)
}
