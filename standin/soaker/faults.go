package soaker

import (
	"context"
	"sync"
	"syscall"
	"time"

	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// stopTimeout is the time that the platform allows for a graceful stop.
	stopTimeout = 6 * time.Second
	// restartPause is the time until the platform restarts an exited process.
	restartPause = 300 * time.Millisecond
)

// fault is one kind of fault or change. Planned ones, such as a graceful stop,
// must not be visible to callers.
type fault struct {
	name    string
	planned bool
	inject  func(s *Soak, pick int, length time.Duration)
}

var faults = []fault{
	{"kill a balancer", false, func(s *Soak, pick int, _ time.Duration) { s.restart(s.pickBalancer(pick), false) }},
	{"kill an agent", false, func(s *Soak, pick int, _ time.Duration) { s.restart(s.pickAgent(pick), false) }},
	{"pause a balancer", false, func(s *Soak, pick int, d time.Duration) { s.pause(s.pickBalancer(pick), d) }},
	{"pause an agent", false, func(s *Soak, pick int, d time.Duration) { s.pause(s.pickAgent(pick), d) }},
	{"store busy", false, func(s *Soak, _ int, d time.Duration) { s.injectWholeStoreFault(standin.FaultBusy, d) }},
	{"store silent", false, func(s *Soak, _ int, d time.Duration) { s.injectWholeStoreFault(standin.FaultSilent, d) }},
	{"store slow", false, func(s *Soak, _ int, d time.Duration) { s.injectWholeStoreFault(standin.FaultSlow, d) }},
	{"store turns one away", false, func(s *Soak, pick int, d time.Duration) {
		p := s.any(pick)
		p.endpoint.SetFault(standin.FaultReset)
		time.Sleep(d)
		p.endpoint.SetFault(standin.FaultNone)
	}},
	{"store forgets its history", true, func(s *Soak, _ int, _ time.Duration) { s.environment.store.Compact() }},
	{"crash a target", false, func(s *Soak, pick int, d time.Duration) { s.crashTarget(s.pickAgent(pick), d) }},
	{"kill everything", false, func(s *Soak, _ int, _ time.Duration) { s.killAll() }},
	{"stop a balancer", true, func(s *Soak, pick int, _ time.Duration) { s.restart(s.pickBalancer(pick), true) }},
	{"stop an agent", true, func(s *Soak, pick int, _ time.Duration) { s.restart(s.pickAgent(pick), true) }},
	{"malformed messages", true, func(s *Soak, pick int, d time.Duration) { s.sendMalformed(s.any(pick), d) }},
	{"reload a process", true, func(s *Soak, pick int, _ time.Duration) { s.any(pick).signal(syscall.SIGHUP) }},
	{"replace a target", true, func(s *Soak, pick int, _ time.Duration) { s.replaceTarget(s.pickAgent(pick)) }},
	{"change the configuration", true, func(s *Soak, pick int, _ time.Duration) { s.environment.publishConfig(pick%2 == 0) }},
}

// injectFaults injects random faults at random intervals for Options.Length and
// waits until the last has ended. Faults of different kinds may overlap; those
// of the same kind run one after the other.
func (s *Soak) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	if s.environment.options.HasRestores {
		group.Go(func() { s.injectRestores(ctx) })
	}
	if s.environment.options.HasEvacuations {
		group.Go(func() { s.injectEvacuations(ctx) })
	}
	busy := map[int]*sync.Mutex{}
	for i := range faults {
		busy[i] = &sync.Mutex{}
	}
	for end := time.Now().Add(s.environment.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(s.random.Int64N(int64(2500*time.Millisecond))))
		kind, pick := s.random.IntN(len(faults)), s.random.IntN(1000)
		length := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Second)))
		f := faults[kind]
		s.environment.report.recordEvent(!f.planned, "%s (%d, %v)", f.name, pick, length)
		group.Go(func() {
			busy[kind].Lock()
			defer busy[kind].Unlock()
			f.inject(s, pick, length)
			s.environment.report.recordEvent(!f.planned, "end of: %s (%d)", f.name, pick)
		})
	}
}

func (s *Soak) pickBalancer(pick int) *process {
	return s.environment.balancers[pick%len(s.environment.balancers)]
}

func (s *Soak) pickAgent(pick int) *process {
	return s.environment.agents[pick%len(s.environment.agents)]
}

// any returns a balancer or an agent.
func (s *Soak) any(pick int) *process {
	all := s.environment.processes()
	return all[pick%len(all)]
}

func (s *Soak) restart(p *process, isPlanned bool) {
	if !isPlanned {
		p.kill()
	} else if err := p.terminate(); err != nil {
		s.environment.report.recordViolation("%s did not stop: %v", p.name, err)
	}
	time.Sleep(restartPause)
	s.start(p)
}

func (s *Soak) start(p *process) {
	if err := s.environment.start(p); err != nil {
		s.environment.report.recordViolation("%s did not start: %v", p.name, err)
	}
}

func (s *Soak) pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (s *Soak) injectStoreFault(f standin.Fault, d time.Duration) {
	all := s.environment.processes()
	for _, p := range all {
		p.endpoint.SetFault(f)
	}
	time.Sleep(d)
	for _, p := range all {
		p.endpoint.SetFault(standin.FaultNone)
	}
}

func (s *Soak) killAll() {
	all := s.environment.processes()
	s.environment.killedAllAt.Store(time.Now().UnixNano())
	for _, p := range all {
		p.kill()
	}
	time.Sleep(restartPause)
	for _, p := range all {
		s.start(p)
	}
}

// crashTarget closes a target without a drain and starts another one in its
// place. The store drops the entry of the crashed target after entryExpiry.
func (s *Soak) crashTarget(p *process, d time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	crashed := p.target
	if crashed == nil {
		return
	}
	crashed.close()
	time.AfterFunc(entryExpiry, func() { s.environment.store.Remove(standin.EntryKey(crashed.id)) })
	time.Sleep(d)
	s.startTarget(p)
}

// replaceTarget drains a target and starts another one in its place.
// injectFaults drains one target at a time, so that at least one other target of
// the service stays.
func (s *Soak) replaceTarget(p *process) {
	p.lock.Lock()
	leaving := p.target
	p.lock.Unlock()
	if leaving == nil || !leaving.isAlive() {
		return
	}
	leaving.drain()
	time.Sleep(maxDrainDelay + drainMargin)
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.target != leaving || !leaving.isAlive() {
		return
	}
	leaving.close()
	s.environment.store.Remove(standin.EntryKey(leaving.id))
	s.startTarget(p)
}

// drainMargin is the time in which requests finish that were sent just before
// maxDrainDelay.
const drainMargin = requestTimeout

func (s *Soak) startTarget(p *process) {
	if err := s.environment.startTarget(p); err != nil {
		s.environment.report.recordViolation("target of %s did not start: %v", p.name, err)
	}
}
