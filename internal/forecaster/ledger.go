package forecaster

import (
	"math"
	"sync"
	"time"
)

const (
	// staleAge is the age from which a forecast counts half, and unknownAge the age
	// from which it does not count.
	staleAge   = time.Second
	unknownAge = 3 * time.Second
	// settleTime is the time that a placed flow takes to appear in a forecast that
	// arrives: one way to the agent and one way back, of at most 1.4 ms each, and the
	// times for which both processes are busy.
	settleTime = 5 * time.Millisecond
	// backlogMemory is the age of a report in service times at which 1/e of the
	// difference between the reported backlog and the usual one is left.
	backlogMemory = 2
	// maxPlaced bounds the flows that are kept for each target since its last forecast.
	maxPlaced = 1024
	// meanWeight is the weight of a new forecast in the means over all targets.
	meanWeight = 0.05
	// maxBacklog, maxServiceTime and maxReportedLoad bound what is believed of a peer.
	maxBacklog      = 10 * time.Second
	maxServiceTime  = time.Minute
	maxReportedLoad = 10
	maxRate         = 1000
	// maxKnownRoutes bounds the memory for routes that peers name.
	maxKnownRoutes = 4096
)

// Basis is what the comparison of targets by expected work rests on.
type Basis uint8

// Bases of a comparison.
const (
	// Unknown targets have no forecast, or one that is too old.
	Unknown Basis = iota
	// Stale forecasts count half.
	Stale
	// Fresh forecasts count in full.
	Fresh
)

// placedFlow is a flow that was placed at a target.
type placedFlow struct {
	at   time.Time
	work float64 // seconds that its first request occupies a slot
	load float64 // slots that its further requests occupy
}

// account is what is known of a target.
type account struct {
	forecast Forecast
	at       time.Time
	placed   []placedFlow
	// speed is the mean service time of all targets relative to that of this one, over
	// the routes that its forecast has.
	speed float64
}

// routeMean is the mean of a route over the targets.
type routeMean struct {
	serviceTime float64 // seconds
	rate        float64 // requests after the first one per second on an open flow
	count       int
}

// Ledger holds the last forecasts of the targets and the flows that were placed
// since. It is safe for concurrent use.
type Ledger struct {
	lock    sync.Mutex
	targets map[uint32]*account
	routes  map[RouteID]*routeMean
	// backlog is the mean over the forecasts of all targets, in seconds.
	backlog float64
	count   int
}

// NewLedger returns a ledger without forecasts.
func NewLedger() *Ledger {
	return &Ledger{targets: make(map[uint32]*account), routes: make(map[RouteID]*routeMean)}
}

// Update stores the forecast of a target that arrived now. Values out of range are
// bounded, and routes with values that are no numbers are dropped.
func (l *Ledger) Update(target uint32, forecast Forecast, now time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	forecast = bound(forecast)
	a := l.targets[target]
	if a == nil {
		a = &account{speed: 1}
		l.targets[target] = a
	}
	kept := a.placed[:0]
	for _, p := range a.placed {
		if now.Sub(p.at) < settleTime {
			kept = append(kept, p)
		}
	}
	a.forecast, a.at, a.placed = forecast, now, kept
	l.count++
	weight := max(meanWeight, 1/float64(l.count))
	l.backlog += weight * (forecast.Backlog.Seconds() - l.backlog)
	sum, count := 0.0, 0
	for _, r := range forecast.Routes {
		m := l.routes[r.Route]
		if m == nil {
			if len(l.routes) >= maxKnownRoutes {
				continue
			}
			m = &routeMean{}
			l.routes[r.Route] = m
		}
		m.count++
		weight := max(meanWeight, 1/float64(m.count))
		m.serviceTime += weight * (r.ServiceTime.Seconds() - m.serviceTime)
		m.rate += weight * (r.Rate - m.rate)
		sum, count = sum+math.Log(m.serviceTime/r.ServiceTime.Seconds()), count+1
	}
	a.speed = 1
	if count > 0 {
		a.speed = math.Exp(sum / float64(count))
	}
}

// bound returns a forecast with values in the ranges that are believed.
func bound(f Forecast) Forecast {
	f.Backlog = min(max(0, f.Backlog), maxBacklog)
	if !(f.Load >= 0) {
		f.Load = 0
	}
	f.Load, f.Slots = min(f.Load, maxReportedLoad), max(0, f.Slots)
	routes := make([]RouteForecast, 0, min(len(f.Routes), MaxReportedRoutes))
	for _, r := range f.Routes {
		if r.ServiceTime <= 0 || !(r.Rate >= 0) || len(routes) == MaxReportedRoutes {
			continue
		}
		r.ServiceTime, r.Rate = min(r.ServiceTime, maxServiceTime), min(r.Rate, maxRate)
		routes = append(routes, r)
	}
	f.Routes = routes
	return f
}

// RecordPlaced records that a flow of a route was sent to a target.
func (l *Ledger) RecordPlaced(target uint32, route RouteID, now time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	a := l.targets[target]
	if a == nil || len(a.placed) >= maxPlaced {
		return
	}
	s, m, ok := l.expect(a, route)
	if !ok {
		return
	}
	slots := float64(max(1, a.forecast.Slots))
	a.placed = append(a.placed, placedFlow{at: now, work: s / slots, load: min(1, s*m.rate) / slots})
}

// Forget removes the targets for which keep returns false.
func (l *Ledger) Forget(keep func(target uint32) bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for n := range l.targets {
		if !keep(n) {
			delete(l.targets, n)
		}
	}
}

// expect returns the service time of a route at a target, in seconds, and the means
// of the route. A route that the target has not reported takes
// the mean time of all targets at the target's speed.
func (l *Ledger) expect(a *account, route RouteID) (serviceTime float64, m *routeMean, ok bool) {
	m = l.routes[route]
	if m == nil {
		return 0, nil, false
	}
	for _, r := range a.forecast.Routes {
		if r.Route == route {
			return r.ServiceTime.Seconds(), m, true
		}
	}
	return m.serviceTime / a.speed, m, true
}

// Cost returns the expected time to an answer of a new flow of a route at a target,
// 0 if it is Unknown, and what it rests on. It returns false if nothing is known of
// the route at any target.
func (l *Ledger) Cost(target uint32, route RouteID, now time.Time) (time.Duration, Basis, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	m := l.routes[route]
	if m == nil {
		return 0, Unknown, false
	}
	a := l.targets[target]
	if a == nil {
		return 0, Unknown, true
	}
	age := max(0, now.Sub(a.at))
	if age > unknownAge {
		return 0, Unknown, true
	}
	s, _, _ := l.expect(a, route)
	backlog, load := 0.0, a.forecast.Load
	for _, p := range a.placed {
		backlog += max(0, p.work-max(0, now.Sub(p.at)).Seconds())
		load += p.load
	}
	// What ran when the target was reported ends, and what replaces it depends on the
	// load alone.
	kept := math.Exp(-age.Seconds() / (backlogMemory * s))
	backlog += kept*a.forecast.Backlog.Seconds() + (1-kept)*s*WaitFactor(load, a.forecast.Slots)
	cost := seconds(backlog + s)
	if age > staleAge {
		average := seconds(l.backlog + m.serviceTime)
		return (cost + average) / 2, Stale, true
	}
	return cost, Fresh, true
}

// IsKnown reports whether a target has a forecast that is not too old to count.
func (l *Ledger) IsKnown(target uint32, now time.Time) bool {
	age, ok := l.Age(target, now)
	return ok && age <= unknownAge
}

// Backlog returns the backlog that the last forecast of a target states, or false if it
// is too old to count.
func (l *Ledger) Backlog(target uint32, now time.Time) (time.Duration, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	a := l.targets[target]
	if a == nil || now.Sub(a.at) > unknownAge {
		return 0, false
	}
	return a.forecast.Backlog, true
}

// Age returns the age of the forecast of a target, or false if it has none.
func (l *Ledger) Age(target uint32, now time.Time) (time.Duration, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	a := l.targets[target]
	if a == nil {
		return 0, false
	}
	return max(0, now.Sub(a.at)), true
}
