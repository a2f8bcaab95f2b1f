package measurer

import (
	"math"
	"time"
)

// figure is one measured value. The bound is NaN if the figure has no objective.
type figure struct {
	name         string
	value        float64
	bound        float64
	isLowerBound bool // the objective is a minimum
}

func (f figure) isMissed() bool {
	if math.IsNaN(f.bound) {
		return false
	}
	if f.isLowerBound {
		return !(f.value >= f.bound)
	}
	return !(f.value <= f.bound)
}

func info(name string, value float64) figure {
	return figure{name: name, value: value, bound: math.NaN()}
}

func atMost(name string, value, bound float64) figure {
	return figure{name: name, value: value, bound: bound}
}

func atLeast(name string, value, bound float64) figure {
	return figure{name: name, value: value, bound: bound, isLowerBound: true}
}

// runner runs scenarios for a service, variant and seed.
type runner struct {
	service service
	variant variant
	seed    uint64
}

func (r runner) run(sc scenario) *stats { return newSimulation(r.service, r.variant, sc, r.seed).run() }

func (r runner) withVariant(v variant) runner {
	r.variant = v
	return r
}

// measurement computes the figures of one scenario.
type measurement struct {
	name    string
	measure func(runner) []figure
	slow    bool // skipped by Options.Quick
}

func measurements() []measurement {
	return []measurement{
		{"steady", measureSteady, false},
		{"peak", measurePeak, false},
		{"gray", measureGray, false},
		{"black_hole", measureBlackHole, false},
		{"false_alarm", measureFalseAlarm, false},
		{"all_alarm", measureAllAlarm, false},
		{"brownout", measureBrownout, false},
		{"shedding", measureShedding, false},
		{"cold_start", measureColdStart, false},
		{"partition", measurePartition, true},
		{"weekend", measureWeekend, true},
	}
}

func measureSteady(r runner) []figure {
	sc := newSteady(false)
	with := r.run(sc).sum(warmup, sc.duration)
	figures := []figure{
		atMost("imbalance", with.imbalance(), 1.15),
		info("short_p50_ms", 1000*with.quantile(0.5)),
		info("short_p99_ms", 1000*with.quantile(0.99)),
		info("short_p999_ms", 1000*with.quantile(0.999)),
		info("refused_share", ratio(with.refused, with.offered)),
		info("late_share", ratio(with.late, with.finished)),
		info("local_share", ratio(with.local, with.local+with.remote)),
	}
	without := r.run(newSteady(true)).sum(warmup, sc.duration)
	figures = append(figures, atMost("short_p99_ratio", with.quantile(0.99)/without.quantile(0.99), 1.5))
	if r.variant.name == "policy" {
		base := r.withVariant(variant{name: "least_connections", baseline: "least_connections"}).run(sc).sum(warmup, sc.duration)
		figures = append(figures, atLeast("bundle_throughput_ratio", with.longWork/base.longWork, 0.8))
	}
	return figures
}

func measurePeak(r runner) []figure {
	sc := newPeak()
	s := r.run(sc)
	plateau := s.sum(peakReached, peakEnd)
	before := s.sum(warmup, peakStart)
	return []figure{
		atLeast("goodput", plateau.goodWork/plateau.totalCapacity(), 0.95),
		atMost("late_share", ratio(plateau.late, plateau.finished), 0.01),
		atMost("recovery_s", measureRecovery(s, before, sc.duration), 10),
		info("long_share_of_good", plateau.longWork/plateau.goodWork),
		info("short_p99_ms", 1000*plateau.quantile(0.99)),
		info("failed_share", ratio(plateau.failed, plateau.offered)),
		info("refused_before", ratio(before.refused, before.offered)),
		info("return_admitted", ratio(s.returnsAdmitted, s.returns)),
	}
}

// measureRecovery returns the time in seconds from the end of the peak until ten
// consecutive seconds are normal: at most 1% refusals and failures in each second,
// and a median latency over five seconds of at most 1.5 times the earlier one. The
// smallest service has about 90 requests a second, too few for a median: with a
// window of one second, 6% of the seconds at constant normal load would fail.
func measureRecovery(s *stats, before bucket, length time.Duration) float64 {
	normal := 0
	for t := peakEnd; t < length-5*time.Second; t += time.Second {
		second, window := s.sum(t, t+time.Second), s.sum(t, t+5*time.Second)
		normal++
		if ratio(second.refused+second.failed, second.offered) > 0.01 || window.quantile(0.5) > 1.5*before.quantile(0.5) {
			normal = 0
		}
		if normal == 10 {
			return (t - 9*time.Second - peakEnd).Seconds()
		}
	}
	return (length - peakEnd).Seconds()
}

func measureCapacities(r runner) []float64 {
	sm := newSimulation(r.service, r.variant, scenario{duration: time.Second, load: constantLoad(0)}, r.seed)
	c := make([]float64, 0, len(sm.nodes))
	for _, n := range sm.nodes {
		c = append(c, n.capacity())
	}
	return c
}

func measureGray(r runner) []figure {
	s, c := r.run(newGrayFailure()), measureCapacities(r)
	reached := 60.0
	for t := faultStart; t < faultEnd; t += time.Second {
		if s.sum(t, t+time.Second).relativeShare(faultyTarget, c) < 0.2 {
			reached = (t + time.Second - faultStart).Seconds()
			break
		}
	}
	return []figure{
		atMost("seconds_to_fifth", reached, 5),
		atMost("share_after_5_s", s.sum(faultStart+5*time.Second, faultEnd).relativeShare(faultyTarget, c), 0.2),
		atMost("seconds_to_restore", measureRestore(s, c), 30),
		info("share_before", s.sum(warmup, faultStart).relativeShare(faultyTarget, c)),
		info("short_p99_ms", 1000*s.sum(faultStart+5*time.Second, faultEnd).quantile(0.99)),
	}
}

// measureRestore returns the time in seconds from the end of the fault until the
// target receives at least 80% of its earlier share over five seconds.
func measureRestore(s *stats, c []float64) float64 {
	before := s.sum(warmup, faultStart).relativeShare(faultyTarget, c)
	for t := faultEnd; t < faultEnd+55*time.Second; t += time.Second {
		if s.sum(t, t+5*time.Second).relativeShare(faultyTarget, c) >= 0.8*before {
			return (t + 5*time.Second - faultEnd).Seconds()
		}
	}
	return 60
}

func measureBlackHole(r runner) []figure {
	s, c := r.run(newBlackHole()), measureCapacities(r)
	b := s.sum(faultStart, faultEnd)
	return []figure{
		info("failed_share", ratio(b.failed, b.offered)),
		info("share_after_5_s", s.sum(faultStart+5*time.Second, faultEnd).relativeShare(faultyTarget, c)),
		info("seconds_to_restore", measureRestore(s, c)),
	}
}

func measureFalseAlarm(r runner) []figure {
	s, c := r.run(newFalseAlarm()), measureCapacities(r)
	b := s.sum(faultStart+5*time.Second, faultEnd)
	before := s.sum(warmup, faultStart).relativeShare(faultyTarget, c)
	return []figure{
		info("share_kept", b.relativeShare(faultyTarget, c)/before),
		info("refused_share", ratio(b.refused, b.offered)),
	}
}

func measureAllAlarm(r runner) []figure {
	b := r.run(newAllAlarm()).sum(0, faultEnd)
	return []figure{
		info("refused_share", ratio(b.refused, b.offered)),
		info("imbalance", b.imbalance()),
		info("short_p99_ms", 1000*b.quantile(0.99)),
	}
}

func measureBrownout(r runner) []figure {
	b := r.run(newBrownout()).sum(faultStart+5*time.Second, faultEnd)
	return []figure{
		info("good_share", b.goodWork/(0.4*b.totalCapacity())),
		info("refused_share", ratio(b.refused, b.offered)),
		info("failed_share", ratio(b.failed, b.offered)),
	}
}

func measureShedding(r runner) []figure {
	s := r.run(newShedding())
	b := s.sum(faultStart, faultEnd)
	return []figure{
		info("shed_share", ratio(b.backendRefused, b.offered)),
		info("refused_share", ratio(b.refused, b.offered)),
		info("short_p99_ms", 1000*b.quantile(0.99)),
	}
}

func measureColdStart(r runner) []figure {
	s := r.run(newColdStart())
	b := s.sum(faultStart+5*time.Second, faultStart+20*time.Second)
	return []figure{
		info("short_p99_ms", 1000*b.quantile(0.99)),
		info("refused_share", ratio(b.refused, b.offered)),
		info("late_share", ratio(b.late, b.finished)),
		info("broken", float64(s.lostJobs)),
	}
}

func measurePartition(r runner) []figure {
	if r.variant.baseline != "" {
		return nil // baselines have no agents that a partition could isolate
	}
	s, c := r.run(newPartition()), measureCapacities(r)
	var highest float64
	for t := partitionEnd; t < partitionEnd+time.Minute; t += 10 * time.Second {
		b := s.sum(t, t+10*time.Second)
		for i := range c {
			highest = max(highest, b.relativeShare(i, c))
		}
	}
	cut := s.sum(partitionStart, partitionEnd)
	return []figure{
		atMost("executed_twice", float64(s.executedTwice), 0),
		atMost("load_on_heal", highest, 1.5),
		info("refused_share", ratio(cut.refused, cut.offered)),
	}
}

func measureWeekend(r runner) []figure {
	sc := newWeekend()
	s := r.run(sc)
	b := s.sum(0, sc.duration)
	var worst float64
	for t := time.Hour; t < sc.duration; t += time.Hour {
		worst = max(worst, s.sum(t, t+time.Hour).imbalance())
	}
	return []figure{
		atMost("imbalance", b.imbalance(), 1.25),
		info("worst_hour", worst),
		info("refused_share", ratio(b.refused, b.offered)),
		info("late_share", ratio(b.late, b.finished)),
		info("failed_share", ratio(b.failed, b.offered)),
	}
}
