package measurer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"kingcupvalve.example/kingcupvalve/estimator"
)

// service is the size of a simulated service: its targets and the slots of each.
type service struct {
	name    string
	targets int
	slots   int
}

// services are the current services of both users of the load balancer.
var services = []service{
	{"cutlist-svc", 7, 2},
	{"drawing-archive", 3, 2},
	{"poster-live", 7, 4},
	{"poster-pdf", 4, 4},
}

// Job sizes are in seconds at speed 1. Short work follows a bounded Pareto
// distribution whose largest jobs run 30 times longer than its smallest. Long work
// is log-normal and runs 30 times longer than the mean of short work. A few long
// jobs are declared short. Speeds are relative to the slowest target.
const (
	shortMinSeconds  = 0.020
	shortMaxSeconds  = 0.600
	shortParetoShape = 1.5
	shortMeanSeconds = 0.049
	longMeanSeconds  = 30 * shortMeanSeconds
	longSigma        = 0.3
	longShare        = 0.02
	undeclaredShare  = 0.001
	shortTimeout     = 3 * time.Second
	longTimeout      = 30 * time.Second
	minSpeed         = 1.0
	maxSpeed         = 4.0
	zoneCount        = 3
	forwardLatency   = 500 * time.Microsecond
)

var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// job is a request of a caller.
type job struct {
	id           uint64
	kind         estimator.Kind // as declared by the caller
	undeclared   bool           // long work declared short
	work         float64        // in seconds at speed 1
	arrived      time.Time
	deadline     time.Time
	zone         int
	ingress      *node
	exclude      []uint32
	attempts     int
	offers       int // times the caller sent it
	executions   int // times a backend server executed it
	idempotent   bool
	rerouted     bool // returned once by a target for another choice
	maxQueueWait time.Duration
}

// simulation is one run of a service. All events run in the goroutine of run.
type simulation struct {
	service      service
	variant      variant
	scenario     scenario
	random       *rand.Rand
	now          time.Time
	events       eventQueue
	seq          int
	jobs         uint64
	nodes        []*node
	isolatedZone int     // zone cut off from the others; -1 for none
	roundRobin   []int   // baselines: position of each balancer
	inFlight     [][]int // baselines: requests in flight by balancer and target
	preferFast   bool    // switch_*: whether the weights favour fast targets
	stats        *stats
}

func newSimulation(s service, v variant, sc scenario, seed uint64) *simulation {
	sm := &simulation{
		service: s, variant: v, scenario: sc, now: epoch, isolatedZone: -1, preferFast: true,
		random: rand.New(rand.NewPCG(seed, 0x5eed)),
	}
	order := sm.random.Perm(s.targets)
	for i := range s.targets {
		speed := minSpeed + (maxSpeed-minSpeed)*float64(order[i])/float64(s.targets-1)
		sm.nodes = append(sm.nodes, newNode(sm, uint32(i+1), speed))
	}
	for _, n := range sm.nodes {
		n.startAgent()
	}
	sm.roundRobin = make([]int, balancerCount)
	for range balancerCount {
		sm.inFlight = append(sm.inFlight, make([]int, s.targets))
	}
	sm.stats = newStats(sc, s.targets)
	return sm
}

func (sm *simulation) at(t time.Time, do func()) {
	sm.seq++
	heap.Push(&sm.events, event{t, sm.seq, do})
}

func (sm *simulation) after(d time.Duration, do func()) { sm.at(sm.now.Add(d), do) }

// every runs do periodically until the end, the first time after a random part
// of the period.
func (sm *simulation) every(period time.Duration, do func()) {
	var step func()
	step = func() {
		do()
		sm.after(period, step)
	}
	sm.after(time.Duration(sm.random.Float64()*float64(period)), step)
}

func (sm *simulation) elapsed() time.Duration { return sm.now.Sub(epoch) }

// capacity returns the work per second that the service can do when healthy.
func (sm *simulation) capacity() float64 {
	var c float64
	for _, n := range sm.nodes {
		c += n.capacity()
	}
	return c
}

func (sm *simulation) run() *stats {
	sm.scheduleArrival()
	for _, f := range sm.scenario.faults {
		sm.at(epoch.Add(f.at), func() { f.apply(sm) })
	}
	if sm.scenario.setup != nil {
		sm.scenario.setup(sm)
	}
	end := epoch.Add(sm.scenario.duration)
	for len(sm.events) > 0 {
		e := heap.Pop(&sm.events).(event)
		if e.at.After(end) {
			break
		}
		sm.now = e.at
		e.do()
	}
	sm.now = end
	for _, n := range sm.nodes {
		n.recordCapacity()
	}
	return sm.stats
}

// scheduleArrival schedules the next request of a Poisson process whose rate
// follows the load of the scenario.
func (sm *simulation) scheduleArrival() {
	mean := shortMeanSeconds + undeclaredShare*longMeanSeconds
	share := sm.scenario.longShare()
	mean = ((1-share)*mean + share*longMeanSeconds) * sm.scenario.effectiveJobScale()
	rate := max(1e-3, sm.scenario.load(sm.elapsed())*sm.capacity()/mean)
	if sm.scenario.shortOnly {
		// Keep the rate of short requests the same as with long ones.
		full := (1-longShare)*(shortMeanSeconds+undeclaredShare*longMeanSeconds) + longShare*longMeanSeconds
		rate *= (1 - longShare) * mean / full / sm.scenario.effectiveJobScale()
	}
	sm.after(time.Duration(sm.random.ExpFloat64()/rate*float64(time.Second)), func() {
		sm.offer(sm.newJob())
		sm.scheduleArrival()
	})
}

func (sm *simulation) newJob() *job {
	sm.jobs++
	j := &job{id: sm.jobs, arrived: sm.now, zone: sm.random.IntN(zoneCount), idempotent: sm.random.IntN(2) == 0}
	timeout := shortTimeout
	long := math.Exp(sm.random.NormFloat64()*longSigma-longSigma*longSigma/2) * longMeanSeconds
	switch {
	case sm.random.Float64() < sm.scenario.longShare():
		j.kind, j.work, timeout = estimator.Long, long, longTimeout
	case sm.random.Float64() < undeclaredShare:
		j.work, j.undeclared = long, true
	default:
		u := sm.random.Float64()
		ratio := math.Pow(shortMinSeconds/shortMaxSeconds, shortParetoShape)
		j.work = shortMinSeconds * math.Pow(1-u*(1-ratio), -1/shortParetoShape)
	}
	j.work *= sm.scenario.effectiveJobScale()
	j.deadline = sm.now.Add(time.Duration(float64(timeout) * sm.scenario.effectiveJobScale()))
	return j
}

func (sm *simulation) offer(j *job) {
	j.offers++
	j.attempts, j.exclude, j.rerouted = 0, nil, false
	sm.stats.recordOffer(sm, j)
	if sm.variant.baseline != "" {
		sm.offerBaseline(j)
		return
	}
	j.ingress = sm.ingress(j)
	if j.ingress == nil {
		sm.stats.recordRefusal(sm, j, 0)
		return
	}
	j.ingress.place(j)
}

// ingress returns the agent that accepts the caller's connection, chosen uniformly
// from those that the caller can reach.
func (sm *simulation) ingress(j *job) *node {
	reachable := make([]*node, 0, len(sm.nodes))
	for _, n := range sm.nodes {
		if n.up && (sm.isolatedZone < 0 || (n.zone == sm.isolatedZone) == (j.zone == sm.isolatedZone)) {
			reachable = append(reachable, n)
		}
	}
	if len(reachable) == 0 {
		return nil
	}
	return reachable[sm.random.IntN(len(reachable))]
}

// refuse answers a caller whose request was not run. If retryAfter is above 0, the
// caller repeats the request once after that time.
func (sm *simulation) refuse(j *job, retryAfter time.Duration) {
	sm.stats.recordRefusal(sm, j, retryAfter)
	if j.offers == 1 && retryAfter > 0 {
		timeout := j.deadline.Sub(j.arrived)
		sm.after(retryAfter, func() {
			j.arrived, j.deadline = sm.now, sm.now.Add(timeout)
			sm.offer(j)
		})
	}
}
