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
	// warmUp is the time that processes get to become ready before traffic
	// starts.
	warmUp = 2 * time.Second
	// callersPerHost is the number of concurrent callers at each caller address.
	callersPerHost = 8
	callerHosts    = 3
	// thinkTime is the mean pause of a caller between two requests; pauses are
	// uniformly distributed between 0 and twice this value.
	thinkTime = 40 * time.Millisecond
)

// Options configures a Soak.
type Options struct {
	// Program is the path of the kingcupvalved binary.
	Program string
	// Seed determines the fault schedule and the behaviour of callers.
	Seed uint64
	// Length is the time during which faults are injected.
	Length time.Duration
	// Dir is an existing directory for settings files and logs.
	Dir string
	// Balancers, Feeds and Bundles are the numbers of balancers and of agents of
	// each service. The defaults 2, 4 and 2 apply when Balancers is 0.
	Balancers, Feeds, Bundles int
	// HasRestores adds returns of the store from an older copy to the faults, which
	// are otherwise those of the seed without it.
	HasRestores bool
	// HasOddEntries adds entries of other writers to the store.
	HasOddEntries bool
	// HasEvacuations puts the processes into two availability zones and adds
	// evacuations of them.
	HasEvacuations bool
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

// Soak is one run of the fault soak.
type Soak struct {
	environment *environment
	random      *rand.Rand
	lastRequest atomic.Uint64
}

// NewSoak prepares a run: it applies the defaults and chooses free ports. No
// process is started before Run.
func NewSoak(options Options) (*Soak, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, fmt.Errorf("prepare soak: %w", err)
	}
	e := &environment{options: options, store: standin.NewStore(), report: newReport(), changedAt: map[netip.AddrPort]time.Time{}}
	if err := choosePorts(e.hostAddress(0), &e.packetPort, &e.controlPort, &e.readyPort, &e.backendPort, &e.outboundPort); err != nil {
		return nil, fmt.Errorf("prepare soak: %w", err)
	}
	return &Soak{environment: e, random: rand.New(rand.NewPCG(options.Seed, 1))}, nil
}

// Run starts the processes, injects faults for Options.Length and returns the
// report. It stops all processes before it returns. An error means that the run
// could not be set up; violated guarantees are part of the report.
func (s *Soak) Run(ctx context.Context) (*Report, error) {
	e := s.environment
	e.publishConfig(true)
	defer s.stopProcesses()
	if err := s.startProcesses(); err != nil {
		return nil, fmt.Errorf("start soak processes: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { e.probeReadiness(ctx) })
	time.Sleep(warmUp)
	e.report.recordEvent(true, "traffic starts")
	for i := range callerHosts {
		host, err := e.newCallerHost(netip.AddrFrom4([4]byte{127, 200, byte(i), byte(e.options.Seed%250 + 1)}))
		if err != nil {
			return nil, fmt.Errorf("start callers: %w", err)
		}
		for c := range callersPerHost {
			random := rand.New(rand.NewPCG(e.options.Seed, uint64(100*i+c+2)))
			group.Go(func() { s.runCaller(ctx, host, random) })
		}
	}
	host, err := e.newCallerHost(netip.AddrFrom4([4]byte{127, 200, callerHosts, byte(e.options.Seed%250 + 1)}))
	if err != nil {
		return nil, fmt.Errorf("start route probe: %w", err)
	}
	group.Go(func() { s.probeRoute(ctx, host) })
	if e.options.HasOddEntries {
		group.Go(func() { s.writeOddEntries(ctx) })
	}
	s.injectFaults(ctx)
	// Run on without faults so that steady-state guarantees are checked after
	// recovery.
	sleep(ctx, recoveryTime+4*time.Second)
	cancel()
	group.Wait()
	return e.report, nil
}

func (s *Soak) startProcesses() error {
	e := s.environment
	index := 0
	add := func(role, service string, count int) error {
		for range count {
			p, err := e.newProcess(role, service, index)
			index++
			if err != nil {
				return err
			}
			if role == "balancer" {
				e.balancers = append(e.balancers, p)
				continue
			}
			e.agents = append(e.agents, p)
			if err := e.startTarget(p); err != nil {
				return err
			}
		}
		return nil
	}
	if err := add("balancer", "", e.options.Balancers); err != nil {
		return err
	}
	if err := add("agent", "feeds", e.options.Feeds); err != nil {
		return err
	}
	return add("agent", "bundles", e.options.Bundles)
}

// stopProcesses kills the processes of this soak and closes their targets.
func (s *Soak) stopProcesses() {
	for _, p := range s.environment.processes() {
		p.kill()
		if p.target != nil {
			p.target.close()
		}
	}
}

// runCaller opens flows one after the other until the context ends. A flow
// carries a single request, idempotent or not, or 20 idempotent ones.
func (s *Soak) runCaller(ctx context.Context, host *callerHost, random *rand.Rand) {
	for ctx.Err() == nil {
		i := 0
		if random.IntN(4) == 0 {
			i = 1
		}
		kind, requests := byte(0), 1
		if random.IntN(3) == 0 {
			kind = kindNonIdempotent
		} else if random.IntN(2) == 0 {
			requests = 20
		}
		s.runFlow(ctx, host, publishedAddress(i), kind, requests, random)
	}
}

func (s *Soak) runFlow(ctx context.Context, host *callerHost, to netip.AddrPort, kind byte, requests int, random *rand.Rand) {
	start := time.Now()
	f := host.newFlow(to)
	defer f.close()
	r := s.environment.report
	if !f.open() {
		isSteady := r.wasSteady(start)
		r.countResult(f.source, false, isSteady)
		if isSteady && !(s.environment.options.HasEvacuations && s.environment.mayLackTargets(start)) {
			r.recordViolation("the flow of %s to %s did not open", f.source, to)
		}
		return
	}
	for range requests {
		if ctx.Err() != nil {
			return
		}
		start := time.Now()
		number := s.lastRequest.Add(1)
		ok, isReset := f.request(number, kind)
		isSteady := r.wasSteady(start)
		r.countResult(f.source, ok, isSteady)
		if isReset && s.environment.isHeld(f) {
			r.countLiveReset(f.source)
		}
		if !ok {
			if isSteady {
				r.recordViolation("request %d on the flow of %s to %s had no answer (reset: %t)", number, f.source, to, isReset)
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
