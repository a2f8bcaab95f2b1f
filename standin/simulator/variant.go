package simulator

import (
	"kingcupvalve.example/kingcupvalve/internal/admitter"
	"kingcupvalve.example/kingcupvalve/internal/chooser"
)

// Variant is a version of the decisions that a run plays.
type Variant struct {
	name   string
	change func(p *chooser.Policy)
	// admit changes the admission by priority. If it is nil, slots decide.
	admit func(p *admitter.Policy)
}

// Name returns the name of the variant.
func (v Variant) Name() string { return v.name }

func (v Variant) newChooser(isDown func(target uint32) bool, report func(target uint32) (chooser.Report, bool)) *chooser.Chooser {
	p := chooser.DefaultPolicy()
	v.change(&p)
	return chooser.NewChooser(isDown, report).WithPolicy(p)
}

// newAdmitter returns the admitter of an agent, or nil if slots decide.
func (v Variant) newAdmitter() *admitter.Admitter {
	if v.admit == nil {
		return nil
	}
	p := admitter.DefaultPolicy()
	v.admit(&p)
	return admitter.NewAdmitter(p)
}

// Policy returns the decisions of the product.
func Policy() Variant { return Variant{name: "policy", change: func(*chooser.Policy) {}} }

// Variants returns the policy, first, and the policy with one rule off or replaced.
func Variants() []Variant {
	return []Variant{
		Policy(),
		{name: "first_target", change: func(p *chooser.Policy) { p.Candidates = 1 }},
		{name: "two_targets", change: func(p *chooser.Policy) { p.Candidates = 2 }},
		{name: "eight_targets", change: func(p *chooser.Policy) { p.Candidates = 8 }},
		{name: "any_zone", change: func(p *chooser.Policy) { p.LocalMargin = 1 }},
		{name: "own_zone", change: func(p *chooser.Policy) { p.LocalMargin = 4 }},
		{name: "lowest_time", change: func(p *chooser.Policy) { p.NoiseMargin = 1 }},
		{name: "quarter_longer_alike", change: func(p *chooser.Policy) { p.NoiseMargin = 1.25 }},
		{name: "unreported_alike", change: func(p *chooser.Policy) { p.PrefersReported = false }},
		{name: "retransmissions_last", change: func(p *chooser.Policy) {
			room := p.HasQueueRoom
			p.HasQueueRoom = func(r chooser.Report, isRetransmission bool) bool { return !isRetransmission && room(r, false) }
		}},
		{name: "retransmissions_alike", change: func(p *chooser.Policy) {
			room := p.HasQueueRoom
			p.HasQueueRoom = func(r chooser.Report, _ bool) bool { return room(r, false) }
		}},
		{name: "cold_targets_alike", change: func(p *chooser.Policy) { p.SharesCold = false }},
		{name: "queue_of_half", change: withQueue(1.5)},
		{name: "queue_of_two", change: withQueue(3)},
		{name: "queue_unbounded", change: withQueue(1000)},
	}
}

// withQueue returns a change that lets targets accept new flows up to a multiple
// of their slots.
func withQueue(factor float64) func(p *chooser.Policy) {
	return func(p *chooser.Policy) {
		room := p.HasQueueRoom
		p.HasQueueRoom = func(r chooser.Report, isRetransmission bool) bool {
			if isRetransmission {
				return room(r, true)
			}
			return r.Slots == 0 || float64(r.Running) < factor*float64(r.Slots)
		}
	}
}

// AdmissionVariants returns admission by slots, first, and by priority, with one
// threshold changed.
func AdmissionVariants() []Variant {
	variants := []Variant{{name: "slots", change: func(*chooser.Policy) {}}}
	for _, v := range []struct {
		name  string
		admit func(p *admitter.Policy)
	}{
		{"priority", func(*admitter.Policy) {}},
		{"no_refusals", func(p *admitter.Policy) { p.RefusesFrom = 3 }},
		{"refusals_from_1", func(p *admitter.Policy) { p.RefusesFrom = 1 }},
		{"refusals_from_2", func(p *admitter.Policy) { p.RefusesFrom = 2 }},
		{"one_place", func(p *admitter.Policy) { p.PlacesPerSlot = 1 }},
		{"two_places", func(p *admitter.Policy) { p.PlacesPerSlot = 2 }},
		{"no_least_share", func(p *admitter.Policy) { p.LeastShare = 0 }},
		{"no_caller_share", func(p *admitter.Policy) { p.CallerShare = 1000 }},
		{"double_least_share", func(p *admitter.Policy) { p.LeastShare = 0.2 }},
		{"half_reserve_time", func(p *admitter.Policy) { p.ReserveTime /= 2 }},
		{"caller_half", func(p *admitter.Policy) { p.CallerShare = 0.5 }},
		{"caller_tenth", func(p *admitter.Policy) { p.CallerShare = 0.1 }},
		{"no_reserve_time", func(p *admitter.Policy) { p.ReserveTime = 0 }},
		{"double_margin", func(p *admitter.Policy) { p.WaitMargin = 2 }},
	} {
		variants = append(variants, Variant{name: v.name, change: func(*chooser.Policy) {}, admit: v.admit})
	}
	return variants
}
