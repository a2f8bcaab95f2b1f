package soaker

import (
	"context"
	"sync"
	"syscall"
	"time"

	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// stopLimit is the grace that the platform gives a planned stop.
	stopLimit = 6 * time.Second
	// restartPause is the time until the platform starts a process again.
	restartPause = 300 * time.Millisecond
)

// fault is one kind of event; planned ones must not be noticed by callers.
type fault struct {
	name    string
	planned bool
	strike  func(s *Soak, pick int, length time.Duration)
}

var faults = []fault{
	{"kill a balancer", false, func(s *Soak, pick int, _ time.Duration) { s.restart(s.balancer(pick), false) }},
	{"kill an agent", false, func(s *Soak, pick int, _ time.Duration) { s.restart(s.agent(pick), false) }},
	{"pause a balancer", false, func(s *Soak, pick int, d time.Duration) { s.pause(s.balancer(pick), d) }},
	{"pause an agent", false, func(s *Soak, pick int, d time.Duration) { s.pause(s.agent(pick), d) }},
	{"store busy", false, func(s *Soak, _ int, d time.Duration) { s.hinderStore(standin.FaultBusy, d) }},
	{"store silent", false, func(s *Soak, _ int, d time.Duration) { s.hinderStore(standin.FaultSilent, d) }},
	{"store slow", false, func(s *Soak, _ int, d time.Duration) { s.hinderStore(standin.FaultSlow, d) }},
	{"store turns one away", false, func(s *Soak, pick int, d time.Duration) {
		p := s.any(pick)
		p.gate.SetFault(standin.FaultReset)
		time.Sleep(d)
		p.gate.SetFault(standin.FaultNone)
	}},
	{"store forgets its history", true, func(s *Soak, _ int, _ time.Duration) { s.world.store.Compact() }},
	{"crash a target", false, func(s *Soak, pick int, d time.Duration) { s.crashTarget(s.agent(pick), d) }},
	{"kill everything", false, func(s *Soak, _ int, _ time.Duration) { s.killAll() }},
	{"stop a balancer", true, func(s *Soak, pick int, _ time.Duration) { s.restart(s.balancer(pick), true) }},
	{"reload a process", true, func(s *Soak, pick int, _ time.Duration) { s.any(pick).signal(syscall.SIGHUP) }},
	{"replace a target", true, func(s *Soak, pick int, _ time.Duration) { s.replaceTarget(s.agent(pick)) }},
	{"change the configuration", true, func(s *Soak, pick int, _ time.Duration) { s.world.configure(pick%2 == 0) }},
}

// injectFaults strikes at random moments, overlapping, and waits for the last.
func (s *Soak) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	busy := map[int]*sync.Mutex{}
	for i := range faults {
		busy[i] = &sync.Mutex{}
	}
	for end := time.Now().Add(s.world.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(s.random.Int64N(int64(2500*time.Millisecond))))
		kind, pick := s.random.IntN(len(faults)), s.random.IntN(1000)
		length := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Second)))
		f := faults[kind]
		s.world.report.note(!f.planned, "%s (%d, %v)", f.name, pick, length)
		group.Go(func() {
			busy[kind].Lock()
			defer busy[kind].Unlock()
			f.strike(s, pick, length)
			s.world.report.note(!f.planned, "end of: %s (%d)", f.name, pick)
		})
	}
}

func (s *Soak) balancer(pick int) *process { return s.world.balancers[pick%len(s.world.balancers)] }

func (s *Soak) agent(pick int) *process { return s.world.agents[pick%len(s.world.agents)] }

func (s *Soak) any(pick int) *process {
	all := s.world.processes()
	return all[pick%len(all)]
}

func (s *Soak) restart(p *process, isPlanned bool) {
	if !isPlanned {
		p.kill()
	} else if err := p.terminate(); err != nil {
		s.world.report.violate("%s did not stop: %v", p.name, err)
	}
	time.Sleep(restartPause)
	s.start(p)
}

func (s *Soak) start(p *process) {
	if err := s.world.start(p); err != nil {
		s.world.report.violate("%s did not start: %v", p.name, err)
	}
}

func (s *Soak) pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (s *Soak) hinderStore(f standin.Fault, d time.Duration) {
	all := s.world.processes()
	for _, p := range all {
		p.gate.SetFault(f)
	}
	time.Sleep(d)
	for _, p := range all {
		p.gate.SetFault(standin.FaultNone)
	}
}

func (s *Soak) killAll() {
	all := s.world.processes()
	for _, p := range all {
		p.kill()
	}
	time.Sleep(restartPause)
	for _, p := range all {
		s.start(p)
	}
}

// crashTarget ends a target without notice; the store drops its entry later.
func (s *Soak) crashTarget(p *process, d time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	crashed := p.target
	if crashed == nil {
		return
	}
	crashed.close()
	time.AfterFunc(lapseTime, func() { s.world.store.Remove(standin.EntryKey(crashed.id)) })
	time.Sleep(d)
	s.begin(p)
}

// replaceTarget drains a target and starts another one in its place, at least
// one other target of the service staying.
func (s *Soak) replaceTarget(p *process) {
	p.lock.Lock()
	leaving := p.target
	p.lock.Unlock()
	if leaving == nil || !leaving.isAlive() {
		return
	}
	leaving.drain()
	time.Sleep(drainBound + drainExtra)
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.target != leaving || !leaving.isAlive() {
		return
	}
	leaving.close()
	s.world.store.Remove(standin.EntryKey(leaving.id))
	s.begin(p)
}

// drainExtra lets requests finish that were sent within the bound.
const drainExtra = deadline

func (s *Soak) begin(p *process) {
	if err := s.world.startTarget(p); err != nil {
		s.world.report.violate("target of %s did not start: %v", p.name, err)
	}
}
