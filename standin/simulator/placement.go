package simulator

import (
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/forecaster"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// expectFunc returns what a balancer expects of a target.
type expectFunc func(b *balancer, target uint32, route *router.Route) (time.Duration, bool)

// expectations are the comparisons of targets by variant. Variants that are not
// listed compare service times.
var expectations = map[string]expectFunc{
	"least_running":     (*balancer).expectRunning,
	"two_choices":       (*balancer).expectWork,
	"expected_work":     (*balancer).expectWork,
	"eight_choices":     (*balancer).expectWork,
	"reported_full_out": (*balancer).expectWork,
	"no_backlog":        (*balancer).expectWork,
	"no_own_flows":      (*balancer).expectWork,
	"oracle":            (*balancer).expectTrue,
}

func (v Variant) expect() expectFunc { return expectations[v.name] }

// maxFollowUps bounds the weight of the requests after the first one.
const maxFollowUps = 100

// oracleCandidates exceeds the targets of every load.
const oracleCandidates = 64

// Placements returns the policy, first, and other comparisons of the targets of new
// flows: rivals of expected work, expected work with a term or rule left out, and a
// bound that no process can reach.
func Placements() []Variant {
	with := func(candidates int) func(p *chooser.Policy) {
		return func(p *chooser.Policy) { p.Candidates, p.VisitsFull = candidates, func(uint32) bool { return true } }
	}
	usual := with(chooser.DefaultPolicy().Candidates)
	return []Variant{
		Policy(),
		{name: "service_time_full", change: usual},
		{name: "least_running", change: usual},
		{name: "two_choices", change: with(2)},
		{name: "expected_work", change: usual},
		{name: "eight_choices", change: with(8)},
		{name: "reported_full_out", change: func(*chooser.Policy) {}},
		{name: "no_backlog", change: usual},
		{name: "no_own_flows", change: usual},
		{name: "oracle", change: func(p *chooser.Policy) { p.Candidates = oracleCandidates }},
	}
}

// adapt returns a forecast without the term that the variant leaves out.
func (v Variant) adapt(f forecaster.Forecast) forecaster.Forecast {
	if v.name == "no_backlog" {
		f.Backlog = 0
	}
	return f
}

func (b *balancer) expectWork(target uint32, route *router.Route) (time.Duration, bool) {
	cost, _, ok := b.ledger.Cost(target, forecaster.NewRouteID(route.Address), b.world.now)
	return cost, ok
}

// expectRunning returns the running requests, one of which counts as a millisecond.
func (b *balancer) expectRunning(target uint32, _ *router.Route) (time.Duration, bool) {
	r, ok := b.report(target)
	if !ok {
		return 0, true
	}
	return time.Duration(r.Running+1) * time.Millisecond, true
}

// expectTrue returns the mean time to an answer over the requests of a flow, by what no process can know: the work of the request
// and of those at the target, its speed, and the rate and work of its open flows.
func (b *balancer) expectTrue(number uint32, _ *router.Route) (time.Duration, bool) {
	entry, ok := b.table.FindTarget(number)
	if !ok {
		return 0, true
	}
	a, ok := b.world.agentAt[entry.Address.Addr()]
	if !ok || b.placing == nil {
		return 0, true
	}
	t, k := a.target, b.placing.kind
	work, followUps := t.scale(b.placing.work), min(k.followUpsPerFlow(), maxFollowUps)
	first, later := t.trueBacklog()+work, float64(work)*(1+forecaster.WaitFactor(t.trueLoad(), t.slots))
	return time.Duration((float64(first) + followUps*later) / (1 + followUps)), true
}

// trueReport returns the report of a target with the requests that it has now.
func (b *balancer) trueReport(number uint32) (chooser.Report, bool) {
	r, ok := b.report(number)
	if entry, isListed := b.table.FindTarget(number); ok && isListed {
		if a, hasAgent := b.world.agentAt[entry.Address.Addr()]; hasAgent {
			r.Running = a.target.running + len(a.target.waiting)
		}
	}
	return r, ok
}

// scale returns the time that work takes on the target now.
func (t *target) scale(work time.Duration) time.Duration {
	factor := t.slow / t.speed
	if t.world.now.Before(t.coldUntil) {
		factor *= t.coldFactor
	}
	return time.Duration(float64(work) * factor)
}

// trueBacklog returns the time until a new request starts.
func (t *target) trueBacklog() time.Duration {
	ends := make([]time.Duration, t.slots)
	for i, r := range t.active {
		ends[i] = max(0, r.endsAt.Sub(t.world.now))
	}
	for _, r := range t.waiting {
		i := slices.Index(ends, slices.Min(ends))
		ends[i] += t.scale(r.work)
	}
	return slices.Min(ends)
}

// trueLoad returns the share of the slots that the open flows occupy in the long run.
func (t *target) trueLoad() float64 {
	load := 0.0
	for _, k := range t.world.kinds {
		load += float64(t.openFlows[k]) * k.ratePerFlow() * t.scale(k.meanWork()).Seconds()
	}
	return load / float64(t.slots)
}

func (k *kind) meanWork() time.Duration {
	return time.Duration(float64(k.work) * (1 + (k.tailFactor-1)/k.tailEvery))
}

// ratePerFlow returns the requests per second of an open flow, 0 if each request
// opens a flow.
func (k *kind) ratePerFlow() float64 {
	users := 0
	for _, u := range k.users {
		users += len(u)
	}
	if users == 0 {
		return 0
	}
	return k.perSecond / float64(users)
}

func (k *kind) followUpsPerFlow() float64 {
	if k.flowLife == 0 {
		return k.ratePerFlow() * 60
	}
	return k.ratePerFlow() * k.flowLife.Seconds()
}
