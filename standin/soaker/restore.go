package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// maxRestoreInterval, maxRestoreOutage, maxRestoreAge and maxRewriteDelay bound
	// the time between two returns of the store from an older copy, the outage before,
	// the age of the copy, and the time until the last writes are written again.
	maxRestoreInterval = 6 * time.Second
	maxRestoreOutage   = 2 * time.Second
	maxRestoreAge      = 9 * time.Second
	maxRewriteDelay    = 2 * time.Second
)

// injectRestores makes the store come back from an older copy now and then. It
// draws from a source of its own, so that the other faults of a seed stay the same.
func (s *Soak) injectRestores(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.environment.options.Seed, 0))
	draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for end := time.Now().Add(s.environment.options.Length); ; {
		sleep(ctx, 2*time.Second+draw(maxRestoreInterval))
		if !time.Now().Before(end) || ctx.Err() != nil {
			return
		}
		outage, age := draw(maxRestoreOutage), draw(maxRestoreAge)
		s.environment.report.recordEvent(true, "store comes back from a copy (%v, %v old)", outage, age)
		s.restoreStore(outage, age, draw(maxRewriteDelay), random.IntN(2) == 0)
		s.environment.report.recordEvent(true, "end of: store comes back from a copy")
	}
}

// restoreStore makes the store come back after an outage from a copy of an age.
// After a delay the operator and the targets write again what they wrote last, and
// the operator publishes the next version; entries of other targets expire.
func (s *Soak) restoreStore(outage, age, delay time.Duration, withThird bool) {
	e := s.environment
	e.recordStoreFault(true)
	defer e.recordStoreFault(false)
	s.injectStoreFault(standin.FaultReset, outage)
	listed := e.store.Restore(age)
	var targets []*target
	for _, p := range e.agents {
		p.lock.Lock()
		if p.target != nil {
			targets = append(targets, p.target)
		}
		p.lock.Unlock()
	}
	time.Sleep(delay)
	e.rewriteConfig()
	e.publishConfig(withThird)
	for _, t := range targets {
		t.publish()
		if t.isAlive() {
			listed = slices.DeleteFunc(listed, func(key string) bool { return key == standin.EntryKey(t.id) })
		}
	}
	time.Sleep(entryExpiry - delay)
	for _, key := range listed {
		if strings.HasPrefix(key, standin.EntryKey("")) {
			e.store.Remove(key)
		}
	}
	// Before every process has read the restored store, a request can't be told from
	// those of the copy.
	e.rewriteEvacuations()
}
