package simulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// warmUp is the default time without traffic in which processes find each other.
	warmUp = 2 * time.Second
	// lifetime is the time after which the entry of a silent target is removed.
	lifetime = 3600 * time.Millisecond
	// entryDelay is the longest time until a started target has written its entry.
	entryDelay = 800 * time.Millisecond
	// restartSpread is the time over which processes start again after a fault.
	restartSpread = 500 * time.Millisecond
	// drainTime is the time that a leaving target serves on.
	drainTime = 3500 * time.Millisecond
)

// kind is a kind of request of one run.
type kind struct {
	name                   string
	published              netip.AddrPort
	perSecond              float64
	work, target, deadline time.Duration
	tailEvery, tailFactor  float64
	worth, lateWorth       float64
	isIdempotent           bool
	users                  [][]*user // by zone
	flowLife               time.Duration
	rate                   float64 // factor of a burst
	priority               *int
	callers                int
}

// store is the platform's store.
type store struct {
	revision uint64
	history  []registrar.Change
	// writtenAt has the time of each revision.
	writtenAt []time.Time
}

func (s *store) write(c registrar.Change, now time.Time) {
	s.revision++
	s.writtenAt = append(s.writtenAt, now)
	c.Revision = s.revision
	if c.Target != nil {
		c.Target.Revision = s.revision
	}
	s.history = append(s.history, c)
}

func (s *store) position() router.Position { return router.Position{Revision: s.revision} }

// positionAt returns the position that the store had at a time.
func (s *store) positionAt(at time.Time) router.Position {
	count := sort.Search(len(s.writtenAt), func(i int) bool { return s.writtenAt[i].After(at) })
	return router.Position{Revision: uint64(count)}
}

// after returns the changes after a position.
func (s *store) after(p router.Position) []registrar.Change { return s.history[p.Revision:] }

func (s *store) items() []registrar.Change {
	latest := map[string]registrar.Change{}
	for _, c := range s.history {
		latest[c.Key] = c
	}
	var items []registrar.Change
	for _, c := range s.history {
		if l, ok := latest[c.Key]; ok && !l.IsGone() {
			items = append(items, l)
			delete(latest, c.Key)
		}
	}
	return items
}

// world is the state of one run.
type world struct {
	clock
	variant Variant
	// arrivals draws what callers ask for, and random the rest, so that two variants
	// with the same seed play the same requests.
	arrivals    *rand.Rand
	random      *rand.Rand
	zones       int
	crossZone   time.Duration
	callerDelay time.Duration
	lossRate    float64
	store       store
	kinds       []*kind
	rotations   [][]*rotation // by zone
	balancers   []*balancer
	agents      []*agent
	processes   []*process
	agentAt     map[netip.Addr]*agent
	balancerAt  map[netip.Addr]*balancer
	coldTime    time.Duration
	warmUp      time.Duration
	// evacuatedAt has the zones whose evacuation is requested.
	evacuatedAt map[string]time.Time
	// beaconInterval is the time between two beacons of an agent to the same process.
	beaconInterval time.Duration
	result         *Result
	loadRate       float64
	busyShare      float64 // share of the requests of busyKind that busy callers send
	busyKind       string
	hops           int
	forwarded      int
	crossed        int
	lastRequest    uint64
	lastPort       uint32
	lastHost       uint32
	lastTarget     int
	// observeOpening is called when a target takes an opening packet. It may be nil.
	observeOpening func(t *target)
	// observeReset is called when the system resets a flow, before its caller knows. It
	// may be nil.
	observeReset func(f *flow)
}

// Play runs a load against a variant and returns what the callers got.
func Play(l Load, v Variant, seed uint64) *Result {
	w := newWorld(v, seed)
	d := l.Deployment
	if d.WarmUp.high > 0 {
		w.warmUp = d.WarmUp.drawMs(w.random)
	}
	start := w.now.Add(w.warmUp)
	w.loadRate = cmp.Or(l.Rate, 1)
	w.zones, w.crossZone, w.callerDelay = d.Zones.drawInt(w.random), d.CrossZone.drawMs(w.random), d.CallerDelay.drawMs(w.random)
	length := d.Length.drawMs(w.random)
	w.result = newResult(start, length)
	w.build(d)
	for _, f := range l.Faults {
		w.scheduleFault(f)
	}
	for _, k := range w.kinds {
		w.startCallers(k, start, length, d.Swing.draw(w.random), d.Period.drawMs(w.random))
	}
	longest := time.Duration(0)
	for _, k := range w.kinds {
		longest = max(longest, k.deadline)
	}
	w.runUntil(start.Add(length + longest))
	w.result.hops = w.hops
	w.result.crossed = float64(w.crossed) / float64(max(1, w.forwarded))
	return w.result
}

func newWorld(v Variant, seed uint64) *world {
	w := &world{
		variant: v, lossRate: lossRate, warmUp: warmUp,
		arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)),
		agentAt: make(map[netip.Addr]*agent), balancerAt: make(map[netip.Addr]*balancer),
		evacuatedAt: make(map[string]time.Time),
	}
	w.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return w
}

func (w *world) newAddress() netip.Addr {
	w.lastHost++
	return netip.AddrFrom4([4]byte{10, 0, byte(w.lastHost >> 8), byte(w.lastHost)})
}

func (w *world) drawDuration(most time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(most))
}

// build starts the processes and targets and publishes the configuration.
func (w *world) build(d Deployment) {
	config := &router.Config{Version: 1}
	capacity := map[string]float64{}
	for i := range d.Services {
		config.Services = append(config.Services, d.Services[i].Name)
		capacity[d.Services[i].Name] = w.buildService(&d.Services[i])
		// A draw without need would change the runs of loads without a rate.
		if rate := d.Services[i].ColdRate; rate.high > 0 {
			if config.ColdLimits == nil {
				config.ColdLimits = make(map[string]router.ColdLimit)
			}
			config.ColdLimits[d.Services[i].Name] = router.ColdLimit{Period: w.coldTime, Rate: rate.draw(w.random)}
		}
	}
	for i, k := range d.Kinds {
		work := k.Work.draw(w.random)
		tailEvery, tailFactor := k.TailEvery.draw(w.random), k.TailFactor.draw(w.random)
		mean := work * (1 + (tailFactor-1)/tailEvery) / 1000
		built := &kind{
			name: k.Name, published: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443),
			perSecond: k.Busy.draw(w.random) * capacity[k.Service] / mean,
			work:      time.Duration(work * float64(time.Millisecond)), target: k.Target.drawMs(w.random), deadline: k.Deadline.drawMs(w.random),
			tailEvery: tailEvery, tailFactor: tailFactor, worth: k.Worth, lateWorth: k.LateWorth,
			isIdempotent: k.IsIdempotent, rate: 1, priority: k.Priority, flowLife: drawIfSet(k.FlowLife, w.random, Range.drawMs), callers: drawIfSet(k.Callers, w.random, Range.drawInt),
		}
		for range w.zones {
			users := make([]*user, 0)
			for range k.Users.drawInt(w.random) {
				users = append(users, &user{})
			}
			built.users = append(built.users, users)
		}
		w.kinds = append(w.kinds, built)
		route := router.Route{
			Name: k.Name, Address: built.published, Shares: []router.Share{{Service: k.Service, Weight: 1}},
			LatencyTarget: built.target, Deadline: built.deadline, IsIdempotent: k.IsIdempotent,
		}
		if k.Priority != nil {
			route.HasPriority, route.Priority = true, *k.Priority
		}
		config.Routes = append(config.Routes, route)
	}
	w.store.write(registrar.Change{Key: "config", Config: config, IsFirstConfig: true}, w.now)
	for zone := range w.zones {
		w.rotations = append(w.rotations, nil)
		for range d.Balancers.drawInt(w.random) {
			b := w.newBalancer(zone)
			w.balancers, w.processes = append(w.balancers, b), append(w.processes, &b.process)
			w.balancerAt[b.address] = b
			w.rotations[zone] = append(w.rotations[zone], &rotation{balancer: b})
		}
	}
	for _, p := range w.processes {
		p.start()
		w.every(w.drawDuration(tickInterval), tickInterval, p.tick)
	}
	w.startRouters()
}

// buildService starts the targets of a service and returns their capacity, in
// seconds of work at speed 1 per second.
func (w *world) buildService(s *Service) float64 {
	count, slots, queue := s.Targets.drawInt(w.random), s.Slots.drawInt(w.random), s.Queue.drawInt(w.random)
	coldFactor := s.ColdFactor.draw(w.random)
	w.beaconInterval = max(minBeaconInterval, time.Duration(count)*time.Second/maxBeaconsPerSecond)
	w.coldTime = s.Cold.drawMs(w.random)
	speeds := make([]float64, len(s.Speeds))
	for i, r := range s.Speeds {
		speeds[i] = r.draw(w.random)
	}
	capacity := 0.0
	for i := range count {
		t := &target{
			world: w, service: s.Name, zone: i % w.zones, slots: slots, queue: queue, speed: speeds[i%len(speeds)], slow: 1, coldFactor: coldFactor,
		}
		w.addTarget(t, 0)
		capacity += t.speed * float64(slots)
	}
	return capacity
}

// addTarget starts a target with its agent on a host of its own.
func (w *world) addTarget(t *target, cold time.Duration) {
	t.id, t.address = w.newTargetID(), netip.AddrPortFrom(w.newAddress(), 9000)
	a := w.newAgent(t)
	t.agent = a
	w.agents, w.processes = append(w.agents, a), append(w.processes, &a.process)
	w.agentAt[a.address] = a
	t.start(cold)
	w.publishTarget(t, router.Serving)
	w.every(w.drawDuration(tickInterval), tickInterval, a.tick)
	w.every(w.drawDuration(w.beaconInterval), w.beaconInterval, a.sendBeacons)
}

func (w *world) newTargetID() string {
	w.lastTarget++
	return fmt.Sprintf("t-%d", w.lastTarget)
}

func (w *world) publishTarget(t *target, state router.State) {
	w.publish(registrar.Change{Key: "targets/" + t.id, Target: &router.Target{
		ID: t.id, Service: t.service, Zone: zoneName(t.zone), Address: t.address, Slots: t.slots, State: state,
		ColdFor: max(0, t.coldUntil.Sub(w.now)),
	}})
}

// publish writes an item, of which each process learns later.
func (w *world) publish(c registrar.Change) {
	w.store.write(c, w.now)
	for _, p := range w.processes {
		w.after(w.drawDuration(changeDelay), p.learn)
	}
}

func (w *world) sendToAgent(zone int, address netip.Addr, p packet) {
	if a, ok := w.agentAt[address]; ok {
		w.send(w.delay(zone, a.zone), func() { a.receive(p) })
	}
}

// signal has a balancer handle a signal from a process in a zone.
func (w *world) signal(zone int, via netip.Addr, handle func(b *balancer)) {
	b, ok := w.balancerAt[via]
	if !ok {
		return
	}
	w.send(w.delay(zone, b.zone), func() {
		if b.isUp {
			handle(b)
		}
	})
}

// startCallers starts the arrivals of a kind, a Poisson process whose rate follows
// a wave.
func (w *world) startCallers(k *kind, start time.Time, length time.Duration, swing float64, period time.Duration) {
	highest := k.perSecond * w.loadRate * (1 + swing)
	var next func()
	next = func() {
		elapsed := w.now.Sub(start)
		if elapsed >= length {
			return
		}
		wave := 1 + swing*math.Sin(2*math.Pi*elapsed.Seconds()/max(period.Seconds(), 1))
		if w.arrivals.Float64() < wave/(1+swing) {
			w.begin(k, w.arrivals.IntN(w.zones))
		}
		w.after(time.Duration(w.arrivals.ExpFloat64()/(highest*k.rate)*float64(time.Second)), next)
	}
	w.after(start.Sub(w.now), next)
}

// drawWork draws the time that a request takes on a target of speed 1. The median
// is below the mean, since the distribution is log-normal.
func (w *world) drawWork(k *kind) time.Duration {
	const spread = 0.5
	factor := math.Exp(spread*w.arrivals.NormFloat64() - spread*spread/2)
	if w.arrivals.Float64() < 1/k.tailEvery {
		factor *= k.tailFactor
	}
	return time.Duration(float64(k.work) * factor)
}

func (w *world) pick(count int, share float64) []int {
	picked := w.random.Perm(count)[:max(1, int(math.Round(share*float64(count))))]
	slices.Sort(picked)
	return picked
}
