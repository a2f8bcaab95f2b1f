package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/platform/standin"
	"kingcupvalve.example/kingcupvalve/standin/launcher"
)

const (
	// recoveryTime is the time after the last unplanned fault from which all
	// guarantees hold. It covers detection of a dead agent, expiry of a dead
	// target's store entry and a caller's retry.
	recoveryTime = 5 * time.Second
	// entryExpiry is the age at which the store drops the entry of a dead target.
	entryExpiry = 3600 * time.Millisecond
	// maxDrainDelay and maxConfigDelay are the platform's limits for the time
	// until a drain and a configuration change take effect.
	maxDrainDelay  = 3 * time.Second
	maxConfigDelay = 3 * time.Second
	// probeInterval is the time between two readiness probes; two failed probes
	// in a row take a balancer out of rotation.
	probeInterval = 500 * time.Millisecond
)

// process is a balancer or an agent that is started, stopped and restarted under
// the same name, address and settings.
type process struct {
	name         string
	address      netip.Addr
	role         string
	endpoint     *standin.Endpoint
	settingsFile string
	lock         sync.Mutex
	running      *launcher.Process
	// lastKilled is the program instance that most recently got SIGKILL.
	lastKilled atomic.Pointer[launcher.Process]
	// isReady and failedProbes are the readiness of a balancer and its failed
	// probes in a row, kept by probeReadiness.
	isReady      atomic.Bool
	failedProbes int
	target       *target
	service      string
	zone         string
}

// environment holds the processes of a run, the store, the ports, the published
// configuration and the report.
type environment struct {
	options      Options
	store        *standin.Store
	report       *Report
	packetPort   uint16 // receives packets; the same at every process
	controlPort  uint16
	readyPort    uint16
	backendPort  uint16
	outboundPort uint16
	balancers    []*process
	agents       []*process
	lastID       atomic.Int64
	lock         sync.Mutex
	config       standin.Config
	// changedAt is the time at which a published address was last added or
	// removed.
	changedAt   map[netip.AddrPort]time.Time
	evacuations evacuations
	// killedAllAt is when all processes were last killed together, in ns since the Unix
	// epoch; 0 if they never were.
	killedAllAt atomic.Int64
}

// lacksRouteHistory reports whether no process may know which services a route had: all
// were killed together within the lifetime of a flow. Packets of open flows are then
// offered to the targets of every service, which return them.
func (e *environment) lacksRouteHistory() bool {
	at := e.killedAllAt.Load()
	return at > 0 && time.Since(time.Unix(0, at)) < registrar.DefaultFlowLifetime
}

// processes returns the balancers and the agents.
func (e *environment) processes() []*process { return slices.Concat(e.balancers, e.agents) }

func (e *environment) nextID() int64 { return e.lastID.Add(1) }

// choosePorts sets ports that are free on the first loopback address of the
// soak. All listeners stay open until the last port is chosen, since the kernel
// may assign a closed port again.
func choosePorts(host netip.Addr, ports ...*uint16) error {
	for _, port := range ports {
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return nil
}

func publishedAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443)
}

func (e *environment) hostAddress(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + e.options.Seed%100), byte(e.options.Seed / 100 % 200), byte(i + 1)})
}

// isAddressOf reports whether an address was published for a service at any time
// of the run.
func (e *environment) isAddressOf(to netip.AddrPort, service string) bool {
	return to == publishedAddress(0) && service == "feeds" || to == publishedAddress(1) && service == "bundles" || to == publishedAddress(2) && service == "feeds"
}

// checkNewFlow checks, in the steady state, that a target which accepts a flow
// has not been draining for longer than maxDrainDelay and that the flow's route
// was not removed more than maxConfigDelay ago.
func (e *environment) checkNewFlow(t *target, p framer.Packet) {
	now := time.Now()
	e.checkEvacuation(t)
	if !e.report.wasSteady(now) {
		return
	}
	if !t.draining.IsZero() && now.Sub(t.draining) > maxDrainDelay {
		e.report.recordViolation("target %s got a new flow %v after its drain was published", t.id, now.Sub(t.draining))
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	changed := e.changedAt[p.Destination]
	if !e.isPublished(p.Destination) && now.Sub(changed) > maxConfigDelay {
		e.report.recordViolation("a flow of %s opened %v after its route was removed", p.Destination, now.Sub(changed))
	}
}

func (e *environment) isPublished(to netip.AddrPort) bool {
	for _, r := range e.config.Routes {
		if r.Host == to.Addr().String() {
			return true
		}
	}
	return false
}

// publishConfig publishes the next configuration version, with or without the
// third address.
func (e *environment) publishConfig(withThird bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	count := 2
	if withThird {
		count = 3
	}
	services := []string{"feeds", "bundles", "feeds"}
	config := standin.Config{
		Version: e.config.Version + 2, Services: []standin.Service{{Name: "feeds"}, {Name: "bundles"}},
		Limits: map[string]int64{"idleTimeoutMs": 15_000},
	}
	for i := range count {
		config.Routes = append(config.Routes, standin.Route{
			Name: fmt.Sprint("r-", i), Host: publishedAddress(i).Addr().String(), Prefix: "/443/", Kind: "safe", Service: services[i],
		})
	}
	e.config = config
	e.changedAt[publishedAddress(2)] = time.Now()
	e.store.Put(standin.ConfigKey, config)
}

// isHeld reports whether a living target holds a flow of a caller.
func (e *environment) isHeld(f *flow) bool {
	return slices.ContainsFunc(e.agents, func(p *process) bool {
		p.lock.Lock()
		defer p.lock.Unlock()
		return p.target != nil && p.target.holds(f)
	})
}

// rewriteConfig writes the last configuration again.
func (e *environment) rewriteConfig() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.store.Put(standin.ConfigKey, e.config)
}

// selectBalancer returns the address of the balancer that receives a packet. It
// hashes the flow over the ready balancers as the platform's routers do, and
// over all of them if none is ready.
func (e *environment) selectBalancer(p framer.Packet) (netip.AddrPort, bool) {
	var ready []*process
	for _, b := range e.balancers {
		if b.isReady.Load() {
			ready = append(ready, b)
		}
	}
	if len(ready) == 0 {
		ready = e.balancers
	}
	b := ready[p.Key()%uint64(len(ready))]
	return netip.AddrPortFrom(b.address, e.packetPort), true
}

// probeReadiness updates the set of balancers in rotation until the context
// ends.
func (e *environment) probeReadiness(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		for _, b := range e.balancers {
			response, err := client.Get("http://" + netip.AddrPortFrom(b.address, e.readyPort).String() + standin.ReadyPath)
			isReady := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			if isReady {
				b.failedProbes = 0
				b.isReady.Store(true)
			} else if b.failedProbes++; b.failedProbes >= 2 {
				b.isReady.Store(false)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *environment) newProcess(role, service string, i int) (*process, error) {
	p := &process{name: fmt.Sprint(role, "-", i), address: e.hostAddress(i), role: role, service: service, zone: e.zoneOf(i)}
	var err error
	if p.endpoint, err = e.store.Listen(netip.AddrPortFrom(p.address, 0).String()); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("role: %s\nprocess: %s\navailability_zone: %s\nregion: region-a\ncontrol_address: %s:%d\nplatform_url: %s\n"+
		"seeds: [\"%s:%d\"]\ndrain:\n  deadline: 3s\npackets:\n  address: %s:%d\n  ready_address: %s:%d\n",
		role, p.name, p.zone, p.address, e.controlPort, p.endpoint.URL(), e.hostAddress(0), e.controlPort, p.address, e.packetPort, p.address, e.readyPort)
	if role == "agent" {
		text += fmt.Sprintf("  outbound_address: %s:%d\n  backend_address: %s:%d\n  service: %s\n", p.address, e.outboundPort, p.address, e.backendPort, service)
	}
	p.settingsFile = filepath.Join(e.options.Dir, p.name+".yaml")
	if err := os.WriteFile(p.settingsFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return p, e.start(p)
}

// start starts a process unless it is running.
func (e *environment) start(p *process) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.running != nil && !p.running.HasExited() {
		return nil
	}
	var err error
	p.running, err = launcher.StartProcess(e.options.Dir, fmt.Sprint(p.name, ".", e.nextID()), e.options.Program, "--settings", p.settingsFile)
	return err
}

func (p *process) signal(s syscall.Signal) { p.current().Signal(s) }

// current returns the program instance that was started last.
func (p *process) current() *launcher.Process {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.running
}

// terminate sends SIGTERM and waits for the exit. It returns an error if the
// exit status is not 0 or the exit takes longer than stopTimeout, except in two
// cases: another fault killed the program, or the signal arrived before the
// program had installed its signal handlers. The program writes its first log
// line right after that, so an empty log indicates the latter.
func (p *process) terminate() error {
	running := p.current()
	if running.HasExited() {
		return nil
	}
	if err := running.Terminate(stopTimeout); running.HasOutput() && p.lastKilled.Load() != running {
		return err
	}
	return nil
}

func (p *process) kill() {
	running := p.current()
	p.lastKilled.Store(running)
	running.Kill()
}

func (e *environment) startTarget(p *process) error {
	t, err := e.newTarget(p.service, p.zone, netip.AddrPortFrom(p.address, e.backendPort), netip.AddrPortFrom(p.address, e.outboundPort))
	if err == nil {
		p.target = t
	}
	return err
}
