// Package assessor judges a target by the times of its answers, because the
// bytes of packet flows can't be read.
//
// A target that fails answers much sooner than one that works, and by being
// idle all the time it would attract every new flow. One that is overloaded or
// broken inside answers much later than before. Both are judged against the
// target's own past for the same route, so targets of different speeds are
// not compared with each other. A suspicion ends after a time that doubles
// when it comes back soon.
//
// # Usage
//
//	a := assessor.NewAssessor()
//	a.Observe(route, took, isQueued, now)
//	if a.IsSuspect(now) { ... }
package assessor

import (
	"math"
	"net/netip"
	"time"
)

const (
	// factor is how much sooner or later than usual an answer must come to
	// count. Times of one kind of work spread by a factor of e^0.5, so 0.3% of
	// sound answers are that fast; 3% are long work.
	factor = 4
	// window is the number of the last answers that are judged.
	window = 16
	// fastLimit and slowLimit are numbers of such answers in the window. Sound
	// targets reach them in one of a million windows.
	fastLimit = 4
	slowLimit = 8
	// learnFirst is the number of answers of a route before any is judged.
	learnFirst = 20
	// learnRate is the weight of an answer in the usual time.
	learnRate = 0.05
	// firstHold and lastHold bound the time of a suspicion; it starts anew at
	// firstHold after calmTime without one.
	firstHold = 2 * time.Second
	lastHold  = 16 * time.Second
	calmTime  = 20 * time.Second
	// maxRoutes bounds the memory.
	maxRoutes = 1024
)

type usual struct {
	logarithm float64 // of the time in s
	answers   int
}

// verdict is what an answer looked like.
type verdict uint8

const (
	sound verdict = iota
	fast
	slow
)

// Assessor holds the past of one target. It belongs to one goroutine.
type Assessor struct {
	routes map[netip.AddrPort]*usual
	recent [window]verdict
	next   int
	until  time.Time
	hold   time.Duration
}

// NewAssessor returns an assessor without a past.
func NewAssessor() *Assessor { return &Assessor{routes: make(map[netip.AddrPort]*usual)} }

// IsSuspect reports whether the target should get no new work while others can
// do it.
func (a *Assessor) IsSuspect(now time.Time) bool { return now.Before(a.until) }

// Observe records the time of an answer. The wait for a slot makes late
// answers of queued requests no evidence.
func (a *Assessor) Observe(route netip.AddrPort, took time.Duration, isQueued bool, now time.Time) {
	u := a.routes[route]
	if u == nil {
		if len(a.routes) >= maxRoutes {
			return
		}
		u = &usual{}
		a.routes[route] = u
	}
	logarithm := math.Log(max(took, time.Microsecond).Seconds())
	v := u.judge(logarithm, isQueued)
	if v == sound {
		u.learn(logarithm, isQueued)
	}
	a.recent[a.next%window] = v
	a.next++
	if !a.IsSuspect(now) && (a.count(fast) >= fastLimit || a.count(slow) >= slowLimit) {
		a.suspect(now)
	}
}

// ObserveLoss records that the target returned a packet of a flow that it held:
// it has crashed and started again, and may do so soon.
func (a *Assessor) ObserveLoss(now time.Time) {
	if !a.IsSuspect(now) {
		a.suspect(now)
	}
}

func (u *usual) judge(logarithm float64, isQueued bool) verdict {
	switch difference := logarithm - u.logarithm; {
	case u.answers < learnFirst:
		return sound
	case difference < -math.Log(factor):
		return fast
	case difference > math.Log(factor) && !isQueued:
		return slow
	}
	return sound
}

func (u *usual) learn(logarithm float64, isQueued bool) {
	if isQueued {
		return
	}
	u.answers++
	rate := max(learnRate, 1/float64(u.answers))
	u.logarithm += rate * (logarithm - u.logarithm)
}

func (a *Assessor) count(v verdict) int {
	n := 0
	for _, r := range a.recent {
		if r == v {
			n++
		}
	}
	return n
}

func (a *Assessor) suspect(now time.Time) {
	if a.hold == 0 || now.Sub(a.until) > calmTime {
		a.hold = firstHold
	} else {
		a.hold = min(2*a.hold, lastHold)
	}
	a.until = now.Add(a.hold)
	a.recent = [window]verdict{}
}
