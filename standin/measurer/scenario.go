package measurer

import (
	"math"
	"time"
)

// fault changes the simulation at an offset from its start.
type fault struct {
	at    time.Duration
	apply func(*simulation)
}

// scenario describes the load and the faults of one run.
type scenario struct {
	name         string
	duration     time.Duration
	load         func(time.Duration) float64 // offered work over total capacity, by time since the start
	faults       []fault
	setup        func(*simulation)
	shortOnly    bool
	jobScale     float64       // factor on job sizes and deadlines [1]
	bucketWidth  time.Duration // width of the statistics buckets
	tickPeriod   time.Duration
	digestPeriod time.Duration
}

func (sc scenario) longShare() float64 {
	if sc.shortOnly {
		return 0
	}
	return longShare
}

func (sc scenario) effectiveJobScale() float64 { return max(1, sc.jobScale) }

func (sc scenario) bucketWidthOr(d time.Duration) time.Duration { return max(sc.bucketWidth, d) }

func (sc scenario) tickPeriodOr(d time.Duration) time.Duration { return max(sc.tickPeriod, d) }

func (sc scenario) digestPeriodOr(d time.Duration) time.Duration { return max(sc.digestPeriod, d) }

func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

const warmup = 30 * time.Second

// The demand peak is 60 s of normal load, a ramp of 2 s and 60 s at three times
// the capacity.
const (
	peakStart   = 60 * time.Second
	peakReached = peakStart + 2*time.Second
	peakEnd     = peakReached + 60*time.Second
)

func peakLoad(t time.Duration) float64 {
	switch {
	case t < peakStart || t >= peakEnd:
		return 0.5
	case t < peakReached:
		return 0.5 + 2.5*(t-peakStart).Seconds()/2
	default:
		return 3
	}
}

func newPeak() scenario {
	return scenario{name: "peak", duration: peakEnd + 60*time.Second, load: peakLoad}
}

// newSteady returns constant load at 70% of capacity, optionally without
// requests declared long.
func newSteady(shortOnly bool) scenario {
	return scenario{name: "steady", duration: 4*time.Minute + warmup, load: constantLoad(0.7), shortOnly: shortOnly}
}

const (
	faultStart = 60 * time.Second
	faultEnd   = 180 * time.Second
)

// faultyTarget is the index of the target that single-target faults hit. Its
// speed depends on the seed.
const faultyTarget = 0

func newSingleTargetFault(name string, load float64, start, end func(*node)) scenario {
	sc := scenario{name: name, duration: faultEnd + 60*time.Second, load: constantLoad(load)}
	sc.faults = []fault{
		{faultStart, func(sm *simulation) { sm.nodes[faultyTarget].change(start) }},
		{faultEnd, func(sm *simulation) { sm.nodes[faultyTarget].change(end) }},
	}
	return sc
}

func newGrayFailure() scenario {
	return newSingleTargetFault("gray", 0.4, func(n *node) { n.slowdown = 10 }, func(n *node) { n.slowdown = 1 })
}

func newBlackHole() scenario {
	return newSingleTargetFault("black_hole", 0.4, func(n *node) { n.errorRate = 1 }, func(n *node) { n.errorRate = 0 })
}

func newFalseAlarm() scenario {
	return newSingleTargetFault("false_alarm", 0.7, func(n *node) { n.healthy = false }, func(n *node) { n.healthy = true })
}

func newShedding() scenario {
	half := func(n *node) { n.slots = max(1, n.simulation.service.slots/2) }
	return newSingleTargetFault("shedding", 0.5, half, func(n *node) { n.slots = n.simulation.service.slots })
}

// newAllAlarm returns a scenario in which every health endpoint reports failure
// while all targets serve normally.
func newAllAlarm() scenario {
	sc := scenario{name: "all_alarm", duration: faultEnd, load: constantLoad(0.7)}
	sc.faults = []fault{{0, func(sm *simulation) {
		for _, n := range sm.nodes {
			n.healthy = false
		}
	}}}
	return sc
}

// newBrownout returns a scenario in which all targets but one fail most of their
// requests, as when a dependency of the service is down.
func newBrownout() scenario {
	sc := scenario{name: "brownout", duration: faultEnd, load: constantLoad(0.4)}
	sc.faults = []fault{{faultStart, func(sm *simulation) {
		for _, n := range sm.nodes[1:] {
			n.errorRate = 0.6
		}
	}}}
	return sc
}

func newColdStart() scenario {
	sc := scenario{name: "cold_start", duration: 150 * time.Second, load: constantLoad(0.5)}
	sc.faults = []fault{
		{faultStart, func(sm *simulation) { sm.nodes[faultyTarget].stop() }},
		{faultStart + 5*time.Second, func(sm *simulation) { sm.nodes[faultyTarget].restart(10 * time.Second) }},
	}
	return sc
}

const (
	partitionStart = 2 * time.Minute
	partitionEnd   = partitionStart + time.Hour
)

// newPartition returns a scenario in which one availability zone is isolated for
// an hour. Callers reach only agents on their side of the partition.
func newPartition() scenario {
	return scenario{
		name: "partition", duration: partitionEnd + 2*time.Minute, load: constantLoad(0.6),
		faults: []fault{
			{partitionStart, func(sm *simulation) { sm.isolatedZone = int(sm.nodes[0].zone) }},
			{partitionEnd, func(sm *simulation) { sm.isolatedZone = -1 }},
		},
	}
}

// newWeekend returns 62 hours without operator action: load with a daily cycle,
// drifting target speeds, restarts and gray failures. Jobs are 40 times larger to
// keep the run short.
func newWeekend() scenario {
	sc := scenario{
		name: "weekend", duration: 62 * time.Hour, jobScale: 40,
		bucketWidth: time.Hour, tickPeriod: time.Second, digestPeriod: time.Second,
		load: func(t time.Duration) float64 {
			return 0.45 + 0.25*math.Sin(2*math.Pi*t.Hours()/24)
		},
	}
	sc.setup = func(sm *simulation) {
		for _, n := range sm.nodes {
			sm.every(time.Hour, func() { n.change(driftSpeed) })
			sm.every(12*time.Hour, func() {
				n.stop()
				sm.after(time.Minute, func() { n.restart(2 * time.Minute) })
			})
			sm.every(24*time.Hour, func() {
				n.change(func(n *node) { n.slowdown = 10 })
				sm.after(10*time.Minute, func() { n.change(func(n *node) { n.slowdown = 1 }) })
			})
		}
	}
	return sc
}

func driftSpeed(n *node) {
	factor := 0.8 + 0.45*n.simulation.random.Float64()
	n.speed = min(maxSpeed, max(minSpeed, n.speed*factor))
}

// stop terminates the agent and its backend server; queued and running jobs are
// lost.
func (n *node) stop() {
	n.recordCapacity()
	n.up, n.running, n.fifo = false, 0, nil
	n.incarnation++
	n.queued = map[uint64]*job{}
}

// restart starts the agent and its backend server, which is slow for the warm-up
// time.
func (n *node) restart(warmUp time.Duration) {
	n.recordCapacity()
	n.up, n.coldUntil = true, n.simulation.now.Add(warmUp)
	n.startAgent()
	n.simulation.after(warmUp, n.recordCapacity)
}
