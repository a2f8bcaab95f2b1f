package forecaster

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRoutes bounds the memory of a forecaster, about 2.5 KB a route.
	maxRoutes = 256
	// MaxReportedRoutes is the number of routes in a forecast, those with the most
	// requests. Each takes up to 10 bytes of a beacon.
	MaxReportedRoutes = 3
	// rateLifetime is the time constant of the request rates.
	rateLifetime = 10 * time.Second
)

// RouteID identifies a route in messages by a hash of its published address.
type RouteID uint32

// NewRouteID returns the identifier of the route with a published address.
func NewRouteID(address netip.AddrPort) RouteID {
	b, _ := address.MarshalBinary() // never fails
	return RouteID(xxhash.Sum64(b))
}

// Running is a request that occupies a slot.
type Running struct {
	Route   netip.AddrPort
	Elapsed time.Duration
}

// Load is what runs and waits at a target. Slots is 0 if they are not known.
type Load struct {
	Slots   int
	Running []Running
	Waiting []netip.AddrPort
}

// RouteForecast is what a target's agent expects of the requests of a route.
type RouteForecast struct {
	Route RouteID
	// ServiceTime is the expected time that a request occupies a slot.
	ServiceTime time.Duration
	// Rate is the number of requests after the first one per second on an open flow.
	Rate float64
}

// Forecast is the expected work of a target.
type Forecast struct {
	// Backlog is the expected time until a new request would start.
	Backlog time.Duration
	// Load is the share of the slots that the requests of the open flows and of new
	// flows are expected to occupy in the long run. It is above 1 at an overloaded
	// target.
	Load   float64
	Slots  int
	Routes []RouteForecast
}

// routeState is what is known of the requests of a route at a target.
type routeState struct {
	address netip.AddrPort
	id      RouteID
	work    *work
	open    int
	// flowSeconds, opened and followUps are weighted sums, in which old
	// observations fade.
	flowSeconds float64
	opened      float64
	followUps   float64
	fadedAt     time.Time
}

// fade moves the sums to a time.
func (r *routeState) fade(now time.Time) {
	elapsed := now.Sub(r.fadedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	tau := rateLifetime.Seconds()
	factor := math.Exp(-elapsed / tau)
	// The flows were open all the while: the integral of the faded time.
	r.flowSeconds = r.flowSeconds*factor + float64(r.open)*tau*(1-factor)
	r.opened *= factor
	r.followUps *= factor
	r.fadedAt = now
}

// followUpRate returns the follow-up requests per second of an open flow.
func (r *routeState) followUpRate() float64 {
	if r.flowSeconds <= 0 {
		return 0
	}
	return r.followUps / max(r.flowSeconds, 0.1)
}

// Forecaster learns the work of one target. Its methods may be called on nil, and
// then do nothing. It is not safe for concurrent use.
type Forecaster struct {
	routes map[netip.AddrPort]*routeState
	order  []*routeState // in the order of their first request, for repeatable sums
	target uint32
}

// NewForecaster returns a forecaster without observations.
func NewForecaster() *Forecaster {
	return &Forecaster{routes: make(map[netip.AddrPort]*routeState)}
}

// SetTarget sets the number of the target, which changes with its ID. What was
// learned of another release is dropped; open flows are still counted.
func (f *Forecaster) SetTarget(number uint32, now time.Time) {
	if f == nil || number == f.target || number == 0 {
		return
	}
	isFirst := f.target == 0
	f.target = number
	if isFirst {
		return
	}
	for _, r := range f.order {
		r.opened, r.followUps, r.flowSeconds, r.fadedAt = 0, 0, 0, now
		if w, err := newWork(now); err == nil {
			r.work = w
		}
	}
}

// find returns the state of a route, or nil if there are too many.
func (f *Forecaster) find(route netip.AddrPort, now time.Time) *routeState {
	if r := f.routes[route]; r != nil {
		r.fade(now)
		return r
	}
	if len(f.order) >= maxRoutes {
		return nil
	}
	w, err := newWork(now)
	if err != nil {
		return nil
	}
	r := &routeState{address: route, id: NewRouteID(route), work: w, fadedAt: now}
	f.routes[route], f.order = r, append(f.order, r)
	return r
}

// OpenFlow records that the target answered a flow.
func (f *Forecaster) OpenFlow(route netip.AddrPort, now time.Time) {
	if f == nil {
		return
	}
	if r := f.find(route, now); r != nil {
		r.open++
	}
}

// CloseFlow records the end of a flow for which OpenFlow was called.
func (f *Forecaster) CloseFlow(route netip.AddrPort, now time.Time) {
	if f == nil {
		return
	}
	if r := f.find(route, now); r != nil {
		r.open = max(0, r.open-1)
	}
}

// ObserveRequest records the start of a request. A follow-up is not the first
// request of its flow.
func (f *Forecaster) ObserveRequest(route netip.AddrPort, isFollowUp bool, now time.Time) {
	if f == nil {
		return
	}
	r := f.find(route, now)
	switch {
	case r == nil:
	case isFollowUp:
		r.followUps++
	default:
		r.opened++
	}
}

// ObserveWork records the time that an answered request occupied a slot.
func (f *Forecaster) ObserveWork(route netip.AddrPort, elapsed time.Duration, now time.Time) {
	if f == nil {
		return
	}
	if r := f.find(route, now); r != nil {
		r.work.observe(elapsed, now)
	}
}

// expected returns the expected work of a request of a route, or the mean of all
// routes if it is not known, or 0.
func (f *Forecaster) expected(route netip.AddrPort, now time.Time) time.Duration {
	if r := f.routes[route]; r != nil && r.work.isKnown(now) {
		return r.work.mean()
	}
	sum, count := 0.0, 0.0
	for _, r := range f.order {
		if r.work.isKnown(now) {
			weight := r.work.weight(now)
			sum, count = sum+weight*r.work.mean().Seconds(), count+weight
		}
	}
	if count == 0 {
		return 0
	}
	return seconds(sum / count)
}

func (f *Forecaster) remainder(r Running, now time.Time) time.Duration {
	if s := f.routes[r.Route]; s != nil && s.work.isKnown(now) {
		return s.work.remainder(r.Elapsed)
	}
	return f.expected(r.Route, now)
}

// Forecast returns the expected work of the target.
func (f *Forecaster) Forecast(l Load, now time.Time) Forecast {
	if f == nil {
		return Forecast{Slots: l.Slots}
	}
	forecast := Forecast{Slots: l.Slots, Backlog: f.backlog(l, now)}
	byRequests := slices.Clone(f.order)
	demand := 0.0 // slots
	for _, r := range byRequests {
		r.fade(now)
		work := f.expected(r.address, now).Seconds()
		demand += work * (r.followUpRate()*float64(r.open) + r.opened/rateLifetime.Seconds())
	}
	forecast.Load = demand / float64(max(1, l.Slots))
	slices.SortStableFunc(byRequests, func(a, b *routeState) int {
		return cmp.Compare(b.opened+b.followUps, a.opened+a.followUps)
	})
	for _, r := range byRequests {
		if r.work.isKnown(now) && len(forecast.Routes) < MaxReportedRoutes {
			forecast.Routes = append(forecast.Routes, RouteForecast{Route: r.id, ServiceTime: r.work.mean(), Rate: r.followUpRate()})
		}
	}
	return forecast
}

// backlog returns the expected time until a new request would start. The slots
// become free at the sum of the rates at which the running requests end, and the
// waiting requests share the slots.
func (f *Forecaster) backlog(l Load, now time.Time) time.Duration {
	if l.Slots == 0 || len(l.Running)+len(l.Waiting) < l.Slots {
		return 0
	}
	rate, backlog := 0.0, 0.0
	for _, r := range l.Running {
		if s := f.remainder(r, now).Seconds(); s > 0 {
			rate += 1 / s
		}
	}
	if rate > 0 {
		backlog = 1 / rate
	}
	for _, route := range l.Waiting {
		backlog += f.expected(route, now).Seconds() / float64(l.Slots)
	}
	return seconds(backlog)
}
