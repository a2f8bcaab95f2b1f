package simulator

import (
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
)

// Range is a number that each seed draws uniformly between two bounds. In YAML it
// is a number or a list of both bounds.
type Range struct {
	low, high float64
	isSet     bool // the file has the number
}

// UnmarshalYAML accepts a number or a list of two numbers in ascending order.
func (r *Range) UnmarshalYAML(unmarshal func(any) error) error {
	r.isSet = true
	if err := unmarshal(&r.low); err == nil {
		r.high = r.low
		return nil
	}
	var bounds []float64
	if err := unmarshal(&bounds); err != nil {
		return err
	}
	if len(bounds) != 2 || bounds[0] > bounds[1] {
		return merry.Errorf("%v is neither a number nor two numbers in ascending order", bounds)
	}
	r.low, r.high = bounds[0], bounds[1]
	return nil
}

func (r Range) draw(random *rand.Rand) float64 { return r.low + random.Float64()*(r.high-r.low) }

func (r Range) drawInt(random *rand.Rand) int {
	return int(r.low) + random.IntN(int(r.high)-int(r.low)+1)
}

func (r Range) drawMs(random *rand.Rand) time.Duration {
	return time.Duration(r.draw(random) * float64(time.Millisecond))
}

// drawIfSet draws a number that a load may leave out. A load without it draws the
// same other numbers as before the number existed.
func drawIfSet[T int | time.Duration](r Range, random *rand.Rand, draw func(Range, *rand.Rand) T) T {
	if !r.isSet {
		return 0
	}
	return draw(r, random)
}

// Load is a deployment with its callers and faults.
type Load struct {
	Name       string
	Deployment Deployment
	Faults     []Fault
	// Rate is the factor of the arrival rate of every kind; 0 means 1.
	Rate float64
}

// loadFile is a file of loads: one deployment, and the faults of each load.
type loadFile struct {
	Deployment Deployment `yaml:"deployment"`
	Loads      []struct {
		Name   string  `yaml:"name"`
		Rate   float64 `yaml:"rate"`
		Faults []Fault `yaml:"faults"`
		// Services and Kinds replace those of the deployment.
		Services []Service `yaml:"services"`
		Kinds    []Kind    `yaml:"kinds"`
	} `yaml:"loads"`
}

// Deployment is the hosts, services and callers of a load.
type Deployment struct {
	Length Range `yaml:"length_ms"`
	// WarmUp is the time before the first request, 2000 by default.
	WarmUp Range `yaml:"warm_up_ms"`
	Zones  Range `yaml:"zones"`
	// CrossZone is the delay between availability zones, CallerDelay that to callers,
	// one way, in ms.
	CrossZone   Range `yaml:"cross_zone_ms"`
	CallerDelay Range `yaml:"caller_delay_ms"`
	// Balancers is the number in each availability zone.
	Balancers Range `yaml:"balancers"`
	// Swing is the relative amplitude of the arrival rate, Period its period.
	Swing    Range     `yaml:"swing"`
	Period   Range     `yaml:"period_ms"`
	Services []Service `yaml:"services"`
	Kinds    []Kind    `yaml:"kinds"`
}

// Service is a set of targets.
type Service struct {
	Name    string `yaml:"name"`
	Targets Range  `yaml:"targets"`
	Slots   Range  `yaml:"slots"`
	// Queue is the number of requests that a target queues beyond its slots.
	Queue Range `yaml:"queue"`
	// Speeds are assigned to the targets in turn.
	Speeds []Range `yaml:"speeds"`
	// Cold is the time after a start in which requests take ColdFactor times as
	// long.
	Cold       Range `yaml:"cold_ms"`
	ColdFactor Range `yaml:"cold_factor"`
	// ColdRate is the number of opening packets in a second that the configuration
	// states for cold targets. If it is 0, it states none.
	ColdRate Range `yaml:"cold_rate"`
}

// Kind is a kind of request.
type Kind struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// Busy is the mean share of the service's slots that this kind occupies.
	Busy Range `yaml:"busy"`
	// Work is the mean time on a target of speed 1. Every TailEvery-th request
	// takes TailFactor times as long.
	Work       Range `yaml:"work_ms"`
	TailEvery  Range `yaml:"tail_every"`
	TailFactor Range `yaml:"tail_factor"`
	// Target is the latency target, Deadline the time after which the caller gives
	// up, both from the first attempt.
	Target   Range `yaml:"latency_target_ms"`
	Deadline Range `yaml:"deadline_ms"`
	// Worth is earned within the latency target, LateWorth until the deadline.
	Worth     float64 `yaml:"worth"`
	LateWorth float64 `yaml:"late_worth"`
	// Users is the number of callers in each availability zone that keep a flow for
	// many requests. If it is 0, each request opens a flow.
	Users Range `yaml:"users"`
	// FlowLife is the age at which a kept flow is closed; 0 means never.
	FlowLife Range `yaml:"flow_life_ms"`
	// IsIdempotent is set if callers repeat a request that may have run.
	IsIdempotent bool `yaml:"idempotent"`
	// Priority is that of the route, which states none if it is not set.
	Priority *int `yaml:"priority"`
	// Callers is the number of source addresses in each availability zone. If it is 0,
	// all requests of a zone share an address.
	Callers Range `yaml:"callers"`
}

// Kinds of faults. Those of targets and processes hit a share of them.
const (
	faultPowerLoss     = "power_loss"     // every process and target
	faultProcessKill   = "process_kill"   // balancers and agents
	faultBalancerKill  = "balancer_kill"  // balancers
	faultAgentKill     = "agent_kill"     // agents
	faultTargetCrash   = "target_crash"   // targets, which start again as new ones
	faultTargetSlow    = "target_slow"    // targets, by a factor
	faultTargetReset   = "target_reset"   // targets, which reset a share of their requests
	faultTargetReplace = "target_replace" // targets drain, and others start
	faultBurst         = "burst"          // the arrival rate, by a factor, of one kind if it is stated
	faultBusyCaller    = "busy_caller"    // one source address sends a share of the requests, which are a factor more
	faultScaleOut      = "scale_out"      // more targets start, a share of those that run
	// A share of the availability zones, which operators evacuate. Their targets are cold
	// afterwards.
	faultEvacuation = "evacuation"
)

var faultKinds = []string{
	faultPowerLoss, faultProcessKill, faultBalancerKill, faultAgentKill, faultTargetCrash, faultTargetSlow, faultTargetReset, faultTargetReplace, faultBurst, faultBusyCaller,
	faultScaleOut, faultEvacuation,
}

// Fault is a fault or planned change during a run.
type Fault struct {
	Kind   string `yaml:"kind"`
	At     Range  `yaml:"at_ms"`
	For    Range  `yaml:"for_ms"`
	Share  Range  `yaml:"share"`
	Factor Range  `yaml:"factor"`
	// Of is the kind of request that a burst is of, or the empty string for all.
	Of string `yaml:"of"`
}

// ReadLoads reads a file of loads. Errors name the file, the line and the key.
func ReadLoads(path string) ([]Load, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read loads")
	}
	var file loadFile
	if err := yaml.UnmarshalWithOptions(text, &file, yaml.Strict()); err != nil {
		return nil, merry.Prependf(err, "read loads from %s", path)
	}
	if err := file.Deployment.check(); err != nil {
		return nil, merry.Prependf(err, "check deployment of %s", path)
	}
	var loads []Load
	for _, l := range file.Loads {
		for _, f := range l.Faults {
			if !slices.Contains(faultKinds, f.Kind) {
				return nil, merry.Errorf("check load %q of %s: fault kind is %q, want one of %q", l.Name, path, f.Kind, faultKinds)
			}
		}
		d := file.Deployment
		if len(l.Services) > 0 {
			d.Services = l.Services
		}
		if len(l.Kinds) > 0 {
			d.Kinds = l.Kinds
		}
		if err := d.check(); err != nil {
			return nil, merry.Prependf(err, "check load %q of %s", l.Name, path)
		}
		loads = append(loads, Load{Name: l.Name, Deployment: d, Faults: l.Faults, Rate: l.Rate})
	}
	return loads, nil
}

func (d *Deployment) check() error {
	for _, r := range []struct {
		key   string
		value Range
		least float64
	}{{"length_ms", d.Length, 1000}, {"zones", d.Zones, 1}, {"balancers", d.Balancers, 1}} {
		if r.value.low < r.least {
			return merry.Errorf("%s is %v, want at least %v", r.key, r.value.low, r.least)
		}
	}
	names := make([]string, 0, len(d.Services))
	for _, s := range d.Services {
		if s.Targets.low < 1 || s.Slots.low < 1 || len(s.Speeds) == 0 {
			return merry.Errorf("service %q: targets, slots and speeds are required", s.Name)
		}
		names = append(names, s.Name)
	}
	for _, k := range d.Kinds {
		if !slices.Contains(names, k.Service) {
			return merry.Errorf("kind %q: service is %q, want one of %q", k.Name, k.Service, names)
		}
		if k.Work.low <= 0 || k.Target.low <= 0 || k.Deadline.low < k.Target.low {
			return merry.Errorf("kind %q: work_ms, latency_target_ms and a deadline_ms above it are required", k.Name)
		}
	}
	return nil
}
