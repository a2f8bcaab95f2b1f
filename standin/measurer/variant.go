package measurer

import (
	"time"

	"kingcupvalve.example/kingcupvalve/ejector"
	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/limiter"
	"kingcupvalve.example/kingcupvalve/picker"
)

// variant is the policy, an ablation of it or a baseline algorithm. Its functions
// modify the options of the decision packages.
type variant struct {
	name            string
	baseline        string // algorithm that balances without agents; empty for the policy and its ablations
	estimator       func(*estimator.Options)
	limiter         func(*limiter.Options)
	picker          func(*picker.Options)
	ejector         func(*ejector.Options)
	digest          func(*picker.Digest)
	oneQueue        bool
	noDeadline      bool
	noRetry         bool
	noAdaptiveLimit bool
	noReroute       bool
}

func (v variant) apply(e *estimator.Options, l *limiter.Options, p *picker.Options, j *ejector.Options) {
	if v.estimator != nil {
		v.estimator(e)
	}
	if v.limiter != nil {
		v.limiter(l)
	}
	if v.picker != nil {
		v.picker(p)
	}
	if v.ejector != nil {
		v.ejector(j)
	}
}

func (v variant) adjustDigest(d *picker.Digest) {
	if v.digest != nil {
		v.digest(d)
	}
}

func (v variant) queueKind(k estimator.Kind) estimator.Kind {
	if v.oneQueue {
		return estimator.Short
	}
	return k
}

// isAblation reports whether the variant is the policy with one mechanism changed.
// Ablations skip the slow scenarios.
func (v variant) isAblation() bool { return v.baseline == "" && v.name != "policy" }

// negligible stands in for 0, which the options replace by their default.
const negligible = 1e-9

// variants returns the policy, the baselines and the ablations, in this order.
func variants() []variant {
	return []variant{
		{name: "policy"},
		{name: "random", baseline: "random"},
		{name: "round_robin", baseline: "round_robin"},
		{name: "least_connections", baseline: "least_connections"},
		{name: "switch_uniform", baseline: "switch_uniform"},
		{name: "switch_capacity", baseline: "switch_capacity"},
		{name: "one_choice", picker: func(o *picker.Options) { o.Choices = 1 }},
		{name: "all_choices", picker: func(o *picker.Options) { o.Choices = 100 }},
		{name: "no_measured_cost", digest: func(d *picker.Digest) {
			d.Cost = [2]time.Duration{50 * time.Millisecond, 1500 * time.Millisecond}
		}},
		{name: "no_local_preference", picker: func(o *picker.Options) { o.LocalMargin = -1000 }},
		{name: "one_queue", oneQueue: true},
		{name: "no_long_bound", limiter: func(o *limiter.Options) { o.LongShare = 1 }},
		{name: "no_deadline", noDeadline: true},
		{name: "no_adaptive_limit", noAdaptiveLimit: true},
		{name: "no_retry", noRetry: true},
		{name: "no_ejector", ejector: func(o *ejector.Options) { o.MaxEjectedShare = negligible }},
		{name: "no_panic", picker: func(o *picker.Options) { o.PanicThreshold = negligible }},
		{name: "no_ramp", estimator: func(o *estimator.Options) { o.RampFloor = 1 }},
		{name: "no_move", noReroute: true},
		{name: "no_busy_price", picker: func(o *picker.Options) { o.BusyPenalty = negligible }},
		{name: "no_undeclared", limiter: func(o *limiter.Options) { o.ReclassifyFactor = 1e6 }},
		{name: "no_standing_bound", limiter: func(o *limiter.Options) { o.MaxStandingWait = time.Hour }},
		{name: "no_probe", picker: func(o *picker.Options) { o.ProbeShare = negligible }},
	}
}
