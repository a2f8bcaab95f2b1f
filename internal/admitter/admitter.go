package admitter

import (
	"sync"
	"time"
)

// copyAges has the age of an attempt by the copy number of its opening packet. A
// caller repeats an opening packet 200 and 600 ms after the first one and gives up
// after 1,400 ms.
var copyAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// handshakeTime is the time from an opening packet to the first request of its flow:
// two round trips to the caller, with a one-way delay of up to 3 ms, less the way of
// the opening packet.
const handshakeTime = 10 * time.Millisecond

// Verdict is the decision about an opening packet.
type Verdict uint8

// Verdicts.
const (
	// Accepted means that a slot is free, or that the slots are not known.
	Accepted Verdict = iota
	// Waiting means that the request waits in the queue of the target.
	Waiting
	// Full means that the target has no room for any request of this age.
	Full
	// Reserved means that the room is reserved for more urgent requests.
	Reserved
	// CallerShare means that the caller already has its share of the target.
	CallerShare
)

// String returns the verdict as metrics and logs show it.
func (v Verdict) String() string {
	return [...]string{"accepted", "waiting", "full", "reserved", "caller_share"}[v]
}

// IsAccepted reports whether the target gets the packet.
func (v Verdict) IsAccepted() bool { return v <= Waiting }

// Opening is an opening packet.
type Opening struct {
	Priority      int // 0 is the most urgent
	LatencyTarget time.Duration
	// Copy is the number of copies that the caller sent before.
	Copy         uint32
	IsSecondPass bool
}

// age returns the time since the caller sent the first copy.
func (o Opening) age() time.Duration { return copyAges[min(int(o.Copy), len(copyAges)-1)] }

// Class is a priority of the routes to the target's service. LatencyTarget is the
// shortest of its routes, or 0 if none states one.
type Class struct {
	Priority      int
	LatencyTarget time.Duration
}

// State is the load of the target as an opening packet sees it.
type State struct {
	// Slots is 0 while the slots of the target are not known.
	Slots int
	// Pending is the number of requests that run, wait or are expected.
	Pending int
	// ByPriority is how many of them have each priority.
	ByPriority map[int]int
	// OfCaller is how many of them are from the packet's caller.
	OfCaller int
	// ServiceTime is the mean time that a request occupies a slot, 0 if not known.
	ServiceTime time.Duration
	// IsSuspect is set if the target counts as full, see package assessor.
	IsSuspect bool
}

func (s State) hasFreeSlot() bool { return !s.IsSuspect && s.Pending < s.Slots }

// Policy is the thresholds of an admitter, which experiments replace.
type Policy struct {
	// PlacesPerSlot is the largest number of requests that wait for each slot. Targets
	// reject requests beyond their own queue, which holds 4 to 10 for each slot.
	PlacesPerSlot float64
	// WaitMargin is the factor by which a wait may exceed its estimate.
	WaitMargin float64
	// LeastShare is the share of the slots and places that the priorities keep for which
	// a more urgent one leaves free slots only. It is at least one request.
	LeastShare float64
	// CallerShare is the share of the slots and places that one caller may occupy while
	// the target has requests of others.
	CallerShare float64
	// ReserveTime is the time after no target accepted a more urgent packet in which a
	// less urgent one gets free slots only.
	ReserveTime time.Duration
	// RefusesFrom is the copy number from which on a refusal is sent.
	RefusesFrom uint32
}

// DefaultPolicy returns the thresholds of the product.
func DefaultPolicy() Policy {
	return Policy{PlacesPerSlot: 4, WaitMargin: 1, LeastShare: 0.1, CallerShare: 0.25, ReserveTime: time.Second}
}

// Admitter decides about opening packets at one target. It is safe for concurrent
// use.
type Admitter struct {
	policy Policy
	lock   sync.Mutex
	// turnedAway has the last time at which no target accepted a packet of a priority.
	turnedAway map[int]time.Time
}

// NewAdmitter returns an admitter.
func NewAdmitter(policy Policy) *Admitter {
	return &Admitter{policy: policy, turnedAway: make(map[int]time.Time)}
}

// Admit decides about an opening packet. The classes are those of all routes to the
// target's service.
func (a *Admitter) Admit(o Opening, s State, classes []Class, now time.Time) Verdict {
	switch {
	case s.Slots == 0 || s.hasFreeSlot():
		return Accepted
	case !o.IsSecondPass:
		// Another target may have a free slot.
		return Full
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.judge(o, s, classes, now)
}

// judge decides about a packet that finds no free slot.
func (a *Admitter) judge(o Opening, s State, classes []Class, now time.Time) Verdict {
	places := a.countPlaces(o, s, classes)
	waiting := float64(max(0, s.Pending-s.Slots))
	switch {
	case waiting+1 > places:
		if o.Copy > 0 {
			// No target accepted the first copy.
			a.turnedAway[o.Priority] = now
		}
		return Full
	case s.OfCaller < s.Pending && float64(s.OfCaller) >= max(1, a.policy.CallerShare*(float64(s.Slots)+places)):
		return CallerShare
	}
	if reserving, ok := a.findReserving(o, now); ok && !a.lacksLeastShare(reserving, s, places) {
		return Reserved
	}
	return Waiting
}

// RecordTurnedAway records that no target accepted an opening packet.
func (a *Admitter) RecordTurnedAway(o Opening, now time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.turnedAway[o.Priority] = now
}

// findReserving returns the most urgent priority above the packet's of which no target
// accepted a packet recently.
func (a *Admitter) findReserving(o Opening, now time.Time) (int, bool) {
	reserving, isFound := o.Priority, false
	for priority, at := range a.turnedAway {
		if priority < reserving && now.Sub(at) < a.policy.ReserveTime {
			reserving, isFound = priority, true
		}
	}
	return reserving, isFound
}

// lacksLeastShare reports whether the requests that are less urgent than the reserving
// priority have less than their least share of the target. They include further
// requests of open flows. The priorities below it have the share in common, because
// the lowest would otherwise be accepted where one between them is not.
func (a *Admitter) lacksLeastShare(reserving int, s State, places float64) bool {
	pending := 0
	for priority, n := range s.ByPriority {
		if priority > reserving {
			pending += n
		}
	}
	return a.policy.LeastShare > 0 && float64(pending) < max(1, a.policy.LeastShare*(float64(s.Slots)+places))
}

// countPlaces returns how many requests may wait, including the one of the packet, if
// it and every more urgent one that comes later is to finish within its latency
// target. The number never rises with falling urgency.
func (a *Admitter) countPlaces(o Opening, s State, classes []Class) float64 {
	most := a.policy.PlacesPerSlot * float64(s.Slots)
	places := min(most, a.countInTime(o.LatencyTarget, o.age(), s, most))
	for _, c := range classes {
		if c.Priority < o.Priority {
			places = min(places, a.countInTime(c.LatencyTarget, o.age(), s, most))
		}
	}
	return places
}

// countInTime returns how many requests may wait so that the last one finishes within
// a latency target, for an attempt of an age. Without a latency target or a service
// time, only the first copy may wait, as with admission by slots.
func (a *Admitter) countInTime(latencyTarget, age time.Duration, s State, most float64) float64 {
	if latencyTarget == 0 || s.ServiceTime == 0 {
		if age > 0 {
			return 0
		}
		return most
	}
	left := latencyTarget - age - handshakeTime - s.ServiceTime
	return max(0, float64(left)*float64(s.Slots)/(float64(s.ServiceTime)*a.policy.WaitMargin))
}

// Refuses reports whether the last agent of a search resets the flow of an opening
// packet that no target accepted: a later copy can't be served within the latency
// target, even if it finds a free slot. A caller whose flow is reset tries again from
// another port, at most twice, so a refusal that is not certain would cost it a try.
func (a *Admitter) Refuses(o Opening, s State) bool {
	if o.LatencyTarget == 0 || o.Copy < a.policy.RefusesFrom {
		return false
	}
	next := int(o.Copy) + 1
	return next >= len(copyAges) || copyAges[next]+handshakeTime+s.ServiceTime > o.LatencyTarget
}
