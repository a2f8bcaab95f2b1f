package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// warmUp lets the first flows be placed before the checks begin.
	warmUp = 2 * time.Second
	// callersPerHost run beside each other at each caller address.
	callersPerHost = 8
	callerHosts    = 3
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 40 * time.Millisecond
)

// Options configures a Soak.
type Options struct {
	// Program is the daemon to run.
	Program string
	Seed    uint64
	// Length is the time during which faults are injected.
	Length time.Duration
	// Dir takes settings and logs.
	Dir string
	// Balancers, Feeds and Bundles are numbers of processes [2, 4, 2].
	Balancers, Feeds, Bundles int
}

func (o Options) withDefaults() (Options, error) {
	var err error
	if o.Program, err = filepath.Abs(o.Program); err != nil {
		return o, err
	}
	if o.Balancers == 0 {
		o.Balancers, o.Feeds, o.Bundles = 2, 4, 2
	}
	return o, nil
}

// Soak is one run.
type Soak struct {
	world  *world
	random *rand.Rand
	number atomic.Uint64
}

// NewSoak prepares a run.
func NewSoak(options Options) (*Soak, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, fmt.Errorf("prepare soak: %w", err)
	}
	w := &world{options: options, store: standin.NewStore(), report: newReport(), changedAt: map[netip.AddrPort]time.Time{}}
	if err := choosePorts(w.host(0), &w.port, &w.control, &w.ready, &w.app, &w.outbound); err != nil {
		return nil, fmt.Errorf("prepare soak: %w", err)
	}
	return &Soak{world: w, random: rand.New(rand.NewPCG(options.Seed, 1))}, nil
}

// Run starts the processes, injects faults and returns what was seen.
func (s *Soak) Run(ctx context.Context) (*Report, error) {
	w := s.world
	w.configure(true)
	defer s.end()
	if err := s.build(); err != nil {
		return nil, fmt.Errorf("build soak: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { w.probe(ctx) })
	time.Sleep(warmUp)
	w.report.note(true, "traffic starts")
	for i := range callerHosts {
		host, err := w.newCallerHost(netip.AddrFrom4([4]byte{127, 200, byte(i), byte(w.options.Seed%250 + 1)}))
		if err != nil {
			return nil, fmt.Errorf("start callers: %w", err)
		}
		for c := range callersPerHost {
			random := rand.New(rand.NewPCG(w.options.Seed, uint64(100*i+c+2)))
			group.Go(func() { s.call(ctx, host, random) })
		}
	}
	s.injectFaults(ctx)
	// The last part is calm, so that recovery itself is checked.
	sleep(ctx, settleTime+4*time.Second)
	cancel()
	group.Wait()
	return w.report, nil
}

func (s *Soak) build() error {
	w := s.world
	index := 0
	add := func(role, service string, count int) error {
		for range count {
			p, err := w.newProcess(role, service, index)
			index++
			if err != nil {
				return err
			}
			if role == "balancer" {
				w.balancers = append(w.balancers, p)
				continue
			}
			w.agents = append(w.agents, p)
			if err := w.startTarget(p); err != nil {
				return err
			}
		}
		return nil
	}
	if err := add("balancer", "", w.options.Balancers); err != nil {
		return err
	}
	if err := add("agent", "feeds", w.options.Feeds); err != nil {
		return err
	}
	return add("agent", "bundles", w.options.Bundles)
}

// end ends the processes of this soak and no others.
func (s *Soak) end() {
	for _, p := range s.world.processes() {
		p.kill()
		if p.target != nil {
			p.target.close()
		}
	}
}

// call runs one caller: flows with several requests, or one request each.
func (s *Soak) call(ctx context.Context, host *callerHost, random *rand.Rand) {
	for ctx.Err() == nil {
		i := 0
		if random.IntN(4) == 0 {
			i = 1
		}
		kind, requests := byte(0), 1
		if random.IntN(3) == 0 {
			kind = kindUnsafe
		} else if random.IntN(2) == 0 {
			requests = 20
		}
		s.useFlow(ctx, host, published(i), kind, requests, random)
	}
}

func (s *Soak) useFlow(ctx context.Context, host *callerHost, to netip.AddrPort, kind byte, requests int, random *rand.Rand) {
	start := time.Now()
	f := host.newFlow(to)
	defer f.close()
	r := s.world.report
	if !f.open() {
		isCalm := r.wasCalm(start)
		r.finished(f.source, false, isCalm)
		if isCalm {
			r.violate("the flow of %s to %s did not open", f.source, to)
		}
		return
	}
	for range requests {
		if ctx.Err() != nil {
			return
		}
		start := time.Now()
		number := s.number.Add(1)
		ok, isReset := f.request(number, kind)
		isCalm := r.wasCalm(start)
		r.finished(f.source, ok, isCalm)
		if !ok {
			if isCalm {
				r.violate("request %d on the flow of %s to %s had no answer (reset: %t)", number, f.source, to, isReset)
			}
			return
		}
		sleep(ctx, time.Duration(random.Int64N(int64(2*thinkTime))))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
