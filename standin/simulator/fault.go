package simulator

import (
	"time"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// scheduleFault draws the figures of a fault and schedules it.
func (w *world) scheduleFault(f Fault) {
	at, length := w.warmUp+f.At.drawMs(w.random), f.For.drawMs(w.random)
	share, factor := f.Share.draw(w.random), f.Factor.draw(w.random)
	w.result.faults = append(w.result.faults, span{from: at - w.warmUp, to: at - w.warmUp + length})
	w.after(at, func() { w.inject(f, length, share, factor) })
}

func (w *world) inject(fault Fault, length time.Duration, share, factor float64) {
	switch fault.Kind {
	case faultPowerLoss:
		for _, a := range w.agents {
			w.crashTarget(a.target, length)
		}
		w.killProcesses(w.processes, length)
	case faultProcessKill:
		w.killProcesses(pickOf(w, w.processes, share), length)
	case faultBalancerKill:
		var killed []*process
		for _, b := range pickOf(w, w.balancers, share) {
			killed = append(killed, &b.process)
		}
		w.killProcesses(killed, length)
	case faultAgentKill:
		var killed []*process
		for _, a := range pickOf(w, w.agents, share) {
			killed = append(killed, &a.process)
		}
		w.killProcesses(killed, length)
	case faultTargetCrash:
		for _, a := range pickOf(w, w.agents, share) {
			w.crashTarget(a.target, length)
		}
	case faultTargetSlow:
		for _, a := range pickOf(w, w.agents, share) {
			a.target.slow = factor
			w.after(length, func() { a.target.slow = 1 })
		}
	case faultTargetReset:
		for _, a := range pickOf(w, w.agents, share) {
			a.target.resetShare = factor
			w.after(length, func() { a.target.resetShare = 0 })
		}
	case faultTargetReplace:
		for _, a := range pickOf(w, w.agents, share) {
			w.replaceTarget(a.target)
		}
	case faultBurst:
		w.setRate(fault.Of, factor)
		w.after(length, func() { w.setRate(fault.Of, 1) })
	case faultBusyCaller:
		w.setRate(fault.Of, factor)
		w.busyShare, w.busyKind = share, fault.Of
		w.after(length, func() {
			w.setRate(fault.Of, 1)
			w.busyShare = 0
		})
	case faultScaleOut:
		for _, a := range pickOf(w, w.agents, share) {
			w.copyTarget(a.target)
		}
	case faultEvacuation:
		for _, zone := range w.pick(w.zones, share) {
			w.evacuate(zoneName(zone), length)
		}
	}
}

// evacuationDeadline is the time after which no new flow may reach a target in a zone
// whose evacuation was requested.
const evacuationDeadline = 5 * time.Second

// evacuate requests the evacuation of a zone and withdraws it after a time. Its targets
// are cold then.
func (w *world) evacuate(zone string, length time.Duration) {
	key := "evacuations/" + zone
	w.evacuatedAt[zone] = w.now
	w.publish(registrar.Change{Key: key, IsEvacuation: true, Evacuation: &registrar.Evacuation{Zone: zone}})
	w.after(length, func() {
		for _, a := range w.agents {
			if zoneName(a.target.zone) == zone {
				a.target.coldUntil = w.now.Add(w.coldTime)
			}
		}
		delete(w.evacuatedAt, zone)
		w.publish(registrar.Change{Key: key, IsEvacuation: true})
	})
}

// recordOpening records a new flow at a target, and whether it is in a zone whose
// evacuation was requested.
func (w *world) recordOpening(t *target) {
	if w.observeOpening != nil {
		w.observeOpening(t)
	}
	at, isRequested := w.evacuatedAt[zoneName(t.zone)]
	if !isRequested {
		return
	}
	w.result.evacuated++
	if w.now.Sub(at) > evacuationDeadline {
		w.result.evacuatedLate++
	}
}

// setRate sets the factor of the arrival rate of a kind, or of all for an empty name.
func (w *world) setRate(name string, factor float64) {
	for _, k := range w.kinds {
		if name == "" || k.name == name {
			k.rate = factor
		}
	}
}

func pickOf[T any](w *world, all []T, share float64) []T {
	var picked []T
	for _, i := range w.pick(len(all), share) {
		picked = append(picked, all[i])
	}
	return picked
}

// killProcesses ends processes. Each starts again some time after the fault.
func (w *world) killProcesses(killed []*process, length time.Duration) {
	for _, p := range killed {
		p.stop()
		w.after(length+w.drawDuration(restartSpread), p.start)
	}
}

// crashTarget ends a target, which starts cold and under another id after the
// fault. Its earlier entry is removed after its lifetime.
func (w *world) crashTarget(t *target, length time.Duration) {
	t.stop()
	old := t.id
	w.after(lifetime, func() { w.publish(registrar.Change{Key: "targets/" + old}) })
	w.after(length, func() {
		t.start(w.coldTime)
		w.after(w.drawDuration(entryDelay), func() {
			t.id = w.newTargetID()
			w.publishTarget(t, router.Serving)
		})
	})
}

// replaceTarget drains a target and starts another one.
func (w *world) replaceTarget(old *target) {
	w.publishTarget(old, router.Draining)
	w.copyTarget(old)
	w.after(drainTime, func() {
		old.stop()
		old.agent.stop()
		w.publish(registrar.Change{Key: "targets/" + old.id})
	})
}

// copyTarget starts a cold target like another one.
func (w *world) copyTarget(t *target) {
	fresh := *t
	fresh.slow, fresh.resetShare = 1, 0
	w.addTarget(&fresh, w.coldTime)
	fresh.agent.start()
}
