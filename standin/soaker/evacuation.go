package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// evacuationDeadline is the platform's limit for the time until a confirmed request
	// to evacuate a zone takes effect.
	evacuationDeadline = 5 * time.Second
	// maxEvacuationPause and maxEvacuation bound the time between two requests and that
	// until a request is withdrawn. The longest ones outlast the deadline.
	maxEvacuationPause = 2 * time.Second
	maxEvacuation      = 9 * time.Second
)

// zones are those of the processes. No process is in the last one.
var zones = []string{"zone-a", "zone-b", "zone-nowhere"}

// evacuations are the operators' requests of a run.
type evacuations struct {
	lock sync.Mutex
	// requestedAt has the zones whose evacuation is requested.
	requestedAt map[string]time.Time
	// lastInForce is when a request was last in force.
	lastInForce time.Time
	// storeFaults is the number of faults of the whole store that last, and
	// storeAnsweredAt the end of the last one. No request is confirmed while one lasts.
	storeFaults     int
	storeAnsweredAt time.Time
}

func evacuationKey(zone string) string { return "op/evacuate/" + zone }

// zoneOf returns the availability zone of the process with an index.
func (e *environment) zoneOf(i int) string {
	if !e.options.HasEvacuations {
		return zones[0]
	}
	return zones[i%2]
}

func (e *environment) requestEvacuation(zone string) {
	e.evacuations.lock.Lock()
	defer e.evacuations.lock.Unlock()
	e.store.Put(evacuationKey(zone), "")
	if e.evacuations.requestedAt == nil {
		e.evacuations.requestedAt = map[string]time.Time{}
	}
	e.evacuations.requestedAt[zone] = time.Now()
}

func (e *environment) withdrawEvacuation(zone string) {
	e.evacuations.lock.Lock()
	defer e.evacuations.lock.Unlock()
	e.store.Remove(evacuationKey(zone))
	delete(e.evacuations.requestedAt, zone)
	e.evacuations.lastInForce = time.Now()
}

// rewriteEvacuations writes again what a restored store may have lost.
func (e *environment) rewriteEvacuations() {
	if !e.options.HasEvacuations {
		return
	}
	e.evacuations.lock.Lock()
	defer e.evacuations.lock.Unlock()
	for _, zone := range zones {
		e.store.Put(evacuationKey(zone), "")
		if _, isRequested := e.evacuations.requestedAt[zone]; !isRequested {
			e.store.Remove(evacuationKey(zone))
		}
	}
	e.evacuations.lastInForce = time.Now()
}

// recordStoreFault records the beginning or the end of a fault of the whole store.
func (e *environment) recordStoreFault(begins bool) {
	e.evacuations.lock.Lock()
	defer e.evacuations.lock.Unlock()
	if begins {
		e.evacuations.storeFaults++
		return
	}
	e.evacuations.storeFaults--
	e.evacuations.storeAnsweredAt = time.Now()
}

// checkEvacuation checks that a target which accepts a flow is not in a zone whose
// evacuation was requested longer than evacuationDeadline ago, also while processes are
// paused, killed and started.
func (e *environment) checkEvacuation(t *target) {
	e.evacuations.lock.Lock()
	defer e.evacuations.lock.Unlock()
	at, isRequested := e.evacuations.requestedAt[t.zone]
	if at.Before(e.evacuations.storeAnsweredAt) {
		at = e.evacuations.storeAnsweredAt
	}
	if late := time.Since(at); isRequested && e.evacuations.storeFaults == 0 && late > evacuationDeadline {
		e.report.recordViolation("target %s got a new flow %v after the evacuation of %s", t.id, late, t.zone)
	}
	if isRequested {
		e.report.countEvacuated()
	}
}

// mayLackTargets reports whether a zone was evacuated at any time since a start or
// within the deadline before it. With the other zone's targets stopped or drained, a
// service may then have none.
func (e *environment) mayLackTargets(start time.Time) bool {
	e.evacuations.lock.Lock()
	defer e.evacuations.lock.Unlock()
	return len(e.evacuations.requestedAt) > 0 || start.Sub(e.evacuations.lastInForce) < evacuationDeadline
}

// injectEvacuations requests and withdraws evacuations of one zone or of several. Some
// are made again at once. It draws from a source of its own, so that the faults of a
// seed stay the same.
func (s *Soak) injectEvacuations(ctx context.Context) {
	e := s.environment
	random := rand.New(rand.NewPCG(e.options.Seed, 3))
	draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for end := time.Now().Add(e.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, draw(maxEvacuationPause))
		picked := slices.Clone(zones)
		random.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
		picked = picked[:1+random.IntN(2)]
		e.report.recordEvent(false, "evacuation of %v", picked)
		for _, zone := range picked {
			e.requestEvacuation(zone)
			if random.IntN(4) == 0 {
				e.withdrawEvacuation(zone)
				e.requestEvacuation(zone)
			}
			sleep(ctx, draw(maxEvacuation/2))
		}
		sleep(ctx, draw(maxEvacuation))
		for _, zone := range picked {
			e.withdrawEvacuation(zone)
		}
		e.report.recordEvent(false, "end of: evacuation of %v", picked)
	}
}

// injectWholeStoreFault injects a fault at all endpoints for a time.
func (s *Soak) injectWholeStoreFault(f standin.Fault, d time.Duration) {
	s.environment.recordStoreFault(true)
	s.injectStoreFault(f, d)
	s.environment.recordStoreFault(false)
}
