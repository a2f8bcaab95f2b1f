package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
)

// candidate is one target during a single Pick.
type candidate struct {
	target         *targetState
	fresh          bool
	usable         bool
	busyConfidence float64 // weight of its busy share, rising from 0 to 1 after its return
	weight         float64
}

// Pick chooses a target. It returns false when no target may be used.
func (p *Picker) Pick(now time.Time, w Work, random *rand.Rand) (Choice, bool) {
	if w.Kind != estimator.Long {
		w.Kind = estimator.Short
	}
	all := p.listCandidates(now, w)
	if len(all) == 0 {
		return Choice{}, false
	}
	reason := Measured
	chosen := filter(all, func(c candidate) bool { return c.usable })
	reachable := filter(all, func(c candidate) bool { return !c.target.disconnected })
	if len(reachable) == 0 {
		reachable = all
	}
	mean := computeMeans(all, w.Kind)
	due := filter(all, func(c candidate) bool {
		return (!c.usable || isStarved(c, w.Kind, mean)) && now.Sub(c.target.probedAt) >= p.options.ProbeInterval
	})
	switch {
	case w.Probe && len(due) > 0 && random.Float64() < p.options.ProbeShare:
		chosen, reason = due, Probe
	case float64(len(chosen)) < p.options.PanicThreshold*float64(len(reachable)) || len(chosen) == 0:
		chosen, reason = reachable, Panic
	}
	if !slices.ContainsFunc(chosen, func(c candidate) bool { return c.fresh }) && reason != Probe {
		reason = Published
	}
	setWeights(chosen, w.Kind)
	best := p.selectBest(p.drawCandidates(chosen, random), chosen, w.Kind)
	best.target.pending[w.Kind]++
	if reason == Probe {
		best.target.probedAt = now
	}
	wait := p.estimateWait(best, w.Kind)
	maxQueueWait := wait + time.Duration(p.options.ExtraQueueWait*mean.cost*float64(time.Second))
	return Choice{
		Target: best.target.ID,
		Local:  best.target.ID == p.options.Self,
		Wait:   wait,
		Reason: reason,

		MaxQueueWait: max(time.Millisecond, maxQueueWait),
	}, true
}

// starvedCostRatio is the ratio of a target's cost to the mean above which the
// target may get no requests because of its cost alone.
const starvedCostRatio = 2

// isStarved reports whether a target has no work of this kind because its cost
// estimate is high. The estimate may date from a slow phase that is over, and
// without requests it would never be corrected.
func isStarved(c candidate, kind estimator.Kind, mean means) bool {
	d := c.target.digest
	return c.fresh && d.Running[kind]+d.Queued[kind]+c.target.pending[kind] == 0 &&
		d.Cost[kind].Seconds() > starvedCostRatio*mean.cost
}

func (p *Picker) listCandidates(now time.Time, w Work) []candidate {
	all := make([]candidate, 0, len(p.targets))
	for _, s := range p.targets {
		if s.Weight == 0 || slices.Contains(w.Exclude, s.ID) || w.LocalOnly && s.ID != p.options.Self {
			continue
		}
		fresh := s.hasDigest && now.Sub(s.observedAt) <= max(p.options.MaxDigestAge, s.digest.Interval*5/2)
		if fresh && s.digest.Phase == estimator.Draining {
			continue
		}
		// A target whose digests stopped is paused or unreachable. One that
		// never sent a digest may only be new to this agent.
		silent := s.disconnected || s.hasDigest && !fresh
		usable := !silent && !p.options.IsEjected(s.ID) && !(fresh && s.digest.Phase == estimator.Failing)
		busyConfidence := min(1, now.Sub(s.returnedAt).Seconds()/p.options.SettleTime.Seconds())
		all = append(all, candidate{target: s, fresh: fresh, usable: usable, busyConfidence: busyConfidence})
	}
	return all
}

func filter(all []candidate, accept func(candidate) bool) []candidate {
	filtered := make([]candidate, 0, len(all))
	for _, c := range all {
		if accept(c) {
			filtered = append(filtered, c)
		}
	}
	return filtered
}

// setWeights sets the weight of candidates with a fresh digest to their
// measured capacity in requests per second, and that of the others to their
// published weight, scaled to the same unit.
func setWeights(candidates []candidate, kind estimator.Kind) {
	var measured, published float64
	for i, c := range candidates {
		if c.fresh {
			candidates[i].weight = c.target.digest.Capacity / max(1e-6, c.target.digest.Cost[kind].Seconds())
			measured += candidates[i].weight
			published += float64(c.target.Weight)
		}
	}
	scale := 1.0
	if published > 0 && measured > 0 {
		scale = measured / published
	}
	for i, c := range candidates {
		if !c.fresh {
			candidates[i].weight = scale * float64(c.target.Weight)
		}
	}
}

// drawCandidates draws the configured number of distinct candidates at random,
// in proportion to their weights.
func (p *Picker) drawCandidates(all []candidate, random *rand.Rand) []candidate {
	pool := slices.Clone(all)
	drawn := make([]candidate, 0, p.options.Choices)
	for len(drawn) < p.options.Choices && len(pool) > 0 {
		var total float64
		for _, c := range pool {
			total += c.weight
		}
		point, i := random.Float64()*total, 0
		for ; i < len(pool)-1 && point >= pool[i].weight; i++ {
			point -= pool[i].weight
		}
		drawn = append(drawn, pool[i])
		pool = slices.Delete(pool, i, i+1)
	}
	return drawn
}

// selectBest returns the drawn candidate with the lowest score, or the local
// target when its score exceeds the lowest by at most the margin.
func (p *Picker) selectBest(drawn, all []candidate, kind estimator.Kind) candidate {
	mean := computeMeans(all, kind)
	best := drawn[0]
	for _, c := range drawn[1:] {
		if p.isBetter(c, best, kind, mean) {
			best = c
		}
	}
	i := slices.IndexFunc(all, func(c candidate) bool { return c.target.ID == p.options.Self })
	if i < 0 || !all[i].fresh || !all[i].usable {
		return best
	}
	if p.score(all[i], kind, mean) <= p.score(best, kind, mean)+p.options.LocalMargin*mean.cost {
		return all[i]
	}
	return best
}

func (p *Picker) isBetter(a, b candidate, kind estimator.Kind, mean means) bool {
	if sa, sb := p.score(a, kind, mean), p.score(b, kind, mean); sa != sb {
		return sa < sb
	}
	return a.target.Zone == p.options.Zone && b.target.Zone != p.options.Zone
}

// score returns the expected time to the end of the request in seconds plus a
// penalty for the busy share. The penalty keeps the work in proportion to
// capacity: without it fast targets would be busier than slow ones, because
// requests end earlier there. The busy share is clamped to a range around the
// mean, so that a target that was idle for long, such as one behind a healed
// partition, is not flooded before its average has caught up.
func (p *Picker) score(c candidate, kind estimator.Kind, mean means) float64 {
	if !c.fresh {
		return mean.cost
	}
	d := c.target.digest
	bound := p.options.MaxBusyDeviation * c.busyConfidence
	busy := max(mean.busy-bound, min(mean.busy+bound, d.Busy))
	return p.estimateWait(c, kind).Seconds() + d.Cost[kind].Seconds() + p.options.BusyPenalty*mean.cost*busy
}

// means are the averages over the candidates with a fresh digest.
type means struct {
	cost float64 // seconds
	busy float64 // busy share, 0 to 1
}

func computeMeans(all []candidate, kind estimator.Kind) means {
	var m means
	var fresh float64
	for _, c := range all {
		if !c.fresh {
			continue
		}
		m.cost += c.target.digest.Cost[kind].Seconds()
		m.busy += c.target.digest.Busy
		fresh++
	}
	return means{m.cost / max(1, fresh), m.busy / max(1, fresh)}
}

// blockedExtraJobs is the extra wait for short work, in short jobs, when long
// work holds every slot: a request that ran for four times the expected cost
// without being declared long runs on average about as long again.
const blockedExtraJobs = 5

// estimateWait returns the expected time until a request of this kind gets a
// slot: zero while this kind may use a free slot, otherwise the work of the same
// kind ahead of it divided by the slots that this kind gets.
func (p *Picker) estimateWait(c candidate, kind estimator.Kind) time.Duration {
	if !c.fresh {
		return 0
	}
	d := c.target.digest
	slots := max(1, d.Capacity)
	ahead := d.Queued[kind] + c.target.pending[kind]
	total := d.Running[0] + d.Running[1] + d.Queued[0] + d.Queued[1] + c.target.pending[0] + c.target.pending[1]
	longSlots := max(1, slots*p.options.LongShare)
	kindSlots := longSlots
	if kind == estimator.Short {
		kindSlots = max(1, slots-min(longSlots, float64(d.Running[estimator.Long])))
	}
	if float64(total) < slots && (kind == estimator.Short || float64(ahead+d.Running[kind]) < longSlots) {
		return 0
	}
	jobs := float64(ahead+1) / kindSlots
	if kind == estimator.Short && float64(d.Running[estimator.Long]) >= slots {
		jobs += blockedExtraJobs
	}
	return time.Duration(jobs * d.Cost[kind].Seconds() * float64(time.Second))
}
