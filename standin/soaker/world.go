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
	"kingcupvalve.example/kingcupvalve/platform/standin"
	"kingcupvalve.example/kingcupvalve/standin/launcher"
)

const (
	zone = "zone-a"
	// settleTime is the time after the last fault from which all promises hold:
	// detection of a dead agent, expiry of a lapsed entry and a caller's retry.
	settleTime = 5 * time.Second
	// lapseTime is the age at which the store drops the entry of a dead target.
	lapseTime = 3600 * time.Millisecond
	// drainBound and configBound are the bounds of the platform's rules.
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// probeInterval is the time between two readiness checks; a second miss takes
	// a balancer out of rotation.
	probeInterval = 500 * time.Millisecond
)

// process is one program of the system.
type process struct {
	name    string
	address netip.Addr
	role    string
	gate    *standin.Endpoint
	file    string
	lock    sync.Mutex
	running *launcher.Process
	// killed is the program that was killed last.
	killed atomic.Pointer[launcher.Process]
	// isReady and misses belong to the router.
	isReady atomic.Bool
	misses  int
	target  *target
	service string
}

// world is the surroundings of the processes.
type world struct {
	options   Options
	store     *standin.Store
	report    *Report
	port      uint16 // of packets, the same at every process
	control   uint16
	ready     uint16
	app       uint16
	outbound  uint16
	balancers []*process
	agents    []*process
	ids       atomic.Int64
	lock      sync.Mutex
	config    standin.Config
	// changedAt tells when a published address came or went.
	changedAt map[netip.AddrPort]time.Time
}

// processes returns the balancers and the agents.
func (w *world) processes() []*process { return slices.Concat(w.balancers, w.agents) }

func (w *world) nextID() int64 { return w.ids.Add(1) }

// choosePorts sets ports that are free on the first loopback address of the
// soak. All listeners stay open until the last port is chosen, since the kernel
// gives a closed port again.
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

func published(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443)
}

func (w *world) host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + w.options.Seed%100), byte(w.options.Seed / 100 % 200), byte(i + 1)})
}

// allows reports whether an address ever belonged to a service.
func (w *world) allows(to netip.AddrPort, service string) bool {
	return to == published(0) && service == "feeds" || to == published(1) && service == "bundles" || to == published(2) && service == "feeds"
}

// checkOpening checks a flow that a target accepts.
func (w *world) checkOpening(t *target, p framer.Packet) {
	now := time.Now()
	if !w.report.wasCalm(now) {
		return
	}
	if !t.draining.IsZero() && now.Sub(t.draining) > drainBound {
		w.report.violate("target %s got a new flow %v after its drain was published", t.id, now.Sub(t.draining))
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	changed := w.changedAt[p.Destination]
	if !w.isPublished(p.Destination) && now.Sub(changed) > configBound {
		w.report.violate("a flow of %s opened %v after its route was removed", p.Destination, now.Sub(changed))
	}
}

func (w *world) isPublished(to netip.AddrPort) bool {
	for _, r := range w.config.Routes {
		if r.Host == to.Addr().String() {
			return true
		}
	}
	return false
}

// configure publishes the next version, with or without the third address.
func (w *world) configure(withThird bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	count := 2
	if withThird {
		count = 3
	}
	services := []string{"feeds", "bundles", "feeds"}
	config := standin.Config{
		Version: w.config.Version + 2, Services: []standin.Service{{Name: "feeds"}, {Name: "bundles"}},
		Limits: map[string]int64{"idleTimeoutMs": 15_000},
	}
	for i := range count {
		config.Routes = append(config.Routes, standin.Route{
			Name: fmt.Sprint("r-", i), Host: published(i).Addr().String(), Prefix: "/443/", Kind: "safe", Service: services[i],
		})
	}
	w.config = config
	w.changedAt[published(2)] = time.Now()
	w.store.Put(standin.ConfigKey, config)
}

// route returns the balancer that gets a packet, as the platform's routers
// hash it.
func (w *world) route(p framer.Packet) (netip.AddrPort, bool) {
	var ready []*process
	for _, b := range w.balancers {
		if b.isReady.Load() {
			ready = append(ready, b)
		}
	}
	if len(ready) == 0 {
		ready = w.balancers
	}
	b := ready[p.Key()%uint64(len(ready))]
	return netip.AddrPortFrom(b.address, w.port), true
}

// probe keeps the rotation until the context ends.
func (w *world) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		for _, b := range w.balancers {
			response, err := client.Get("http://" + netip.AddrPortFrom(b.address, w.ready).String() + standin.ReadyPath)
			isReady := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			if isReady {
				b.misses = 0
				b.isReady.Store(true)
			} else if b.misses++; b.misses >= 2 {
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

func (w *world) newProcess(role, service string, i int) (*process, error) {
	p := &process{name: fmt.Sprint(role, "-", i), address: w.host(i), role: role, service: service}
	var err error
	if p.gate, err = w.store.Listen(netip.AddrPortFrom(p.address, 0).String()); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("role: %s\nprocess: %s\navailability_zone: %s\nregion: region-a\ncontrol_address: %s:%d\nplatform_url: %s\n"+
		"seeds: [\"%s:%d\"]\ndrain:\n  deadline: 3s\npackets:\n  address: %s:%d\n  ready_address: %s:%d\n",
		role, p.name, zone, p.address, w.control, p.gate.URL(), w.host(0), w.control, p.address, w.port, p.address, w.ready)
	if role == "agent" {
		text += fmt.Sprintf("  outbound_address: %s:%d\n  backend_address: %s:%d\n  service: %s\n", p.address, w.outbound, p.address, w.app, service)
	}
	p.file = filepath.Join(w.options.Dir, p.name+".yaml")
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return p, w.start(p)
}

// start starts a process unless it runs.
func (w *world) start(p *process) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.running != nil && !p.running.HasExited() {
		return nil
	}
	var err error
	p.running, err = launcher.StartProcess(w.options.Dir, fmt.Sprint(p.name, ".", w.nextID()), w.options.Program, "--settings", p.file)
	return err
}

func (p *process) signal(s syscall.Signal) { p.current().Signal(s) }

// current returns the program that was started last.
func (p *process) current() *launcher.Process {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.running
}

// terminate sends SIGTERM and waits for the exit. It has to end the program
// with status 0, unless another fault ended it, or the signal came before
// the program had control: the first thing that it does after it listens to
// signals is to write a log line.
func (p *process) terminate() error {
	running := p.current()
	if running.HasExited() {
		return nil
	}
	if err := running.Terminate(stopLimit); running.HasWritten() && p.killed.Load() != running {
		return err
	}
	return nil
}

func (p *process) kill() {
	running := p.current()
	p.killed.Store(running)
	running.Kill()
}

func (w *world) startTarget(p *process) error {
	t, err := w.newTarget(p.service, netip.AddrPortFrom(p.address, w.app), netip.AddrPortFrom(p.address, w.outbound))
	if err == nil {
		p.target = t
	}
	return err
}
