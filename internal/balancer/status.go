package balancer

import (
	"cmp"
	"slices"
	"time"
)

// States of a target as observed by a balancer.
const (
	StateUp       = "up"
	StateDown     = "down"
	StateDraining = "draining"
	StateLeaving  = "leaving"
	StateRetired  = "retired"
)

// TargetStatus is the state of one target as observed by this balancer.
type TargetStatus struct {
	number    uint32
	name      string
	service   uint16
	state     string
	lastHeard time.Time
}

// Number returns the number of the target.
func (s TargetStatus) Number() uint32 { return s.number }

// Name returns the name of the target within its service.
func (s TargetStatus) Name() string { return s.name }

// Service returns the number of the target's service.
func (s TargetStatus) Service() uint16 { return s.service }

// State returns up, down, draining, leaving or retired.
func (s TargetStatus) State() string { return s.state }

// LastHeard returns the time at which the last datagram was received from the
// target, or the zero time if there was none.
func (s TargetStatus) LastHeard() time.Time { return s.lastHeard }

// Targets returns the state of all targets, sorted by number.
func (b *Balancer) Targets() []TargetStatus {
	var list []TargetStatus
	for _, t := range b.table.Load().targets {
		s := TargetStatus{number: t.number, name: t.name, service: t.service, state: t.stateName()}
		if heard, ok := t.state.peer.LastHeard(); ok {
			s.lastHeard = heard
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b TargetStatus) int { return cmp.Compare(a.number, b.number) })
	return list
}

func (t *target) stateName() string {
	switch {
	case !t.isUp():
		return StateDown
	case t.retired:
		return StateRetired
	case t.leaving:
		return StateLeaving
	case t.state.draining.Load():
		return StateDraining
	}
	return StateUp
}
