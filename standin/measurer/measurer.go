// Package measurer evaluates the policy of target selection and admission
// control by discrete-event simulation. It runs the production decision packages
// against simulated backend servers in virtual time, in one goroutine, and
// compares the policy with common load-balancing algorithms (baselines) and with
// itself when one of its mechanisms is changed or switched off (ablations).
//
// The simulation consists of requests, slots and load digests that arrive with a
// delay. Packets, processes and configuration are not simulated.
//
// # Usage
//
//	results := measurer.Run(measurer.Options{Seeds: 5})
//	err := measurer.WriteLines(file, results)
//	missed, err := measurer.WriteTable(os.Stdout, results)
package measurer

import (
	"regexp"
	"runtime"
	"sync"
)

// Options selects what is measured. A nil expression selects everything.
type Options struct {
	Seeds     int  // number of seeds; runs use the seeds 1 to Seeds [5]
	Workers   int  // concurrent runs [a third of GOMAXPROCS, at least 1]
	Quick     bool // skip the slow scenarios
	Scenarios *regexp.Regexp
	Services  *regexp.Regexp
	Variants  *regexp.Regexp
	Emit      func([]Result) // called with the results of each run as it ends, never concurrently
}

// Result is one figure of one run. Bound is the objective, nil when there is none.
type Result struct {
	Scenario     string   `json:"scenario"`
	Service      string   `json:"service"`
	Variant      string   `json:"variant"`
	Seed         uint64   `json:"seed"`
	Figure       string   `json:"figure"`
	Value        float64  `json:"value"`
	Bound        *float64 `json:"bound,omitempty"`
	IsLowerBound bool     `json:"least,omitempty"`
	Missed       bool     `json:"missed,omitempty"`
}

func isSelected(e *regexp.Regexp, name string) bool { return e == nil || e.MatchString(name) }

// Run runs the selected simulations and returns their results in an order that
// doesn't depend on Workers.
func Run(o Options) []Result {
	if o.Seeds == 0 {
		o.Seeds = 5
	}
	if o.Workers == 0 {
		o.Workers = max(1, runtime.GOMAXPROCS(0)/3)
	}
	var tasks []func() []Result
	for _, m := range measurements() {
		if !isSelected(o.Scenarios, m.name) || o.Quick && m.slow {
			continue
		}
		for _, s := range services {
			for _, v := range variants() {
				if m.slow && v.isAblation() {
					continue
				}
				if !isSelected(o.Services, s.name) || !isSelected(o.Variants, v.name) {
					continue
				}
				for seed := range o.Seeds {
					r := runner{service: s, variant: v, seed: uint64(seed + 1)}
					tasks = append(tasks, func() []Result { return r.results(m) })
				}
			}
		}
	}
	return runAll(tasks, o)
}

func runAll(tasks []func() []Result, o Options) []Result {
	done := make([][]Result, len(tasks))
	next := make(chan int)
	var group sync.WaitGroup
	var emitting sync.Mutex
	for range o.Workers {
		group.Go(func() {
			for i := range next {
				done[i] = tasks[i]()
				if o.Emit != nil {
					emitting.Lock()
					o.Emit(done[i])
					emitting.Unlock()
				}
			}
		})
	}
	for i := range tasks {
		next <- i
	}
	close(next)
	group.Wait()
	var all []Result
	for _, d := range done {
		all = append(all, d...)
	}
	return all
}

func (r runner) results(m measurement) []Result {
	var all []Result
	for _, f := range m.measure(r) {
		x := Result{
			Scenario: m.name, Service: r.service.name, Variant: r.variant.name, Seed: r.seed,
			Figure: f.name, Value: f.value, Missed: f.isMissed(), IsLowerBound: f.isLowerBound,
		}
		if f.bound == f.bound { // not NaN
			x.Bound = &f.bound
		}
		all = append(all, x)
	}
	return all
}
