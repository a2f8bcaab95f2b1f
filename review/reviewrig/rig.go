package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// probeInterval is the time between two checks of a balancer's readiness; two
	// misses take it out of rotation.
	probeInterval = 500 * time.Millisecond
	// restartDelay is the time until the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 6 * time.Second
	// Bounds of a small deployment.
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
)

// machine runs one process of the system.
type machine struct {
	name, role, service string
	address             netip.Addr
	endpoint            *endpoint
	settings            string
	lock                sync.Mutex
	command             *exec.Cmd
	ended               chan struct{}
	target              *target
	isReady             atomic.Bool
	misses              int
}

// rig holds the machines, the store and the record of one run.
type rig struct {
	program, dir              string
	store                     *store
	network                   byte
	packetPort, controlPort   uint16
	readyPort, metricsPort    uint16
	backendPort, outboundPort uint16
	balancers, agents         []*machine
	lock                      sync.Mutex
	begin                     time.Time
	recordFile                *os.File
	recorded                  *bufio.Writer
	sequence                  atomic.Uint32
	opened                    openFunc
	slots                     int
	workTime                  time.Duration
	calls                     callCount
	requestNumber             atomic.Uint64
	seeds                     string
}

func newRig(program, dir, record string) (*rig, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{
		program: program, dir: dir, store: newStore(), begin: time.Now(), recordFile: file, recorded: bufio.NewWriterSize(file, 1<<20), network: byte(16 + os.Getpid()%200),
		opened: func(*target, flowID, time.Time) {}, slots: 8, workTime: 10 * time.Millisecond,
	}
	r.sequence.Store(uint32(time.Now().UnixNano()))
	return r, r.choosePorts()
}

func (r *rig) nextSequence() uint32 { return r.sequence.Add(100_003) }

func (r *rig) host(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, r.network, 0, byte(i)}) }

func (r *rig) choosePorts() error {
	for _, port := range []*uint16{&r.packetPort, &r.controlPort, &r.readyPort, &r.metricsPort, &r.backendPort, &r.outboundPort} {
		l, err := net.Listen("tcp", netip.AddrPortFrom(r.host(1), 0).String())
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*port = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return nil
}

// record writes a line of what was sent, answered or run.
func (r *rig) record(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.recorded, "%9.4f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, values...))
}

func (r *rig) addMachine(role, service string, number int) (*machine, error) {
	m := &machine{name: fmt.Sprintf("%s-%d", role, number), role: role, service: service, address: r.host(number)}
	var err error
	if m.endpoint, err = r.store.listen(m.address.String(), func(revision uint64) {
		r.record("store tells %s the changes up to %d", m.name, revision)
	}); err != nil {
		return nil, err
	}
	at := func(port uint16) string { return netip.AddrPortFrom(m.address, port).String() }
	var b strings.Builder
	fmt.Fprintf(&b, "role: %s\nprocess: %s\navailability_zone: zone-a\nregion: region-a\ncontrol_address: %s\nplatform_url: %s\nseeds: [%s]\n",
		role, m.name, at(r.controlPort), m.endpoint.url, r.seeds)
	fmt.Fprintf(&b, "log:\n  level: info\ndrain:\n  deadline: %v\npackets:\n  address: %s\n  ready_address: %s\n  metrics_address: %s\n",
		stopGrace, at(r.packetPort), at(r.readyPort), at(r.metricsPort))
	if role == "agent" {
		fmt.Fprintf(&b, "  outbound_address: %s\n  backend_address: %s\n  service: %s\n", at(r.outboundPort), at(r.backendPort), service)
	}
	fmt.Fprintf(&b, "  config_deadline: %v\n  target_deadline: %v\n  flow_lifetime: 60s\n", configBound, drainBound)
	if role == "balancer" {
		fmt.Fprintf(&b, "  link_mbps: 1000\n")
	}
	m.settings = filepath.Join(r.dir, m.name+".yaml")
	return m, os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// build makes balancers and agents, the agents of the services in turn.
func (r *rig) build(balancers int, services ...string) error {
	var seeds []string
	for i := range min(3, balancers) {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(r.host(i+1), r.controlPort)))
	}
	r.seeds = strings.Join(seeds, ", ")
	for i := range balancers {
		m, err := r.addMachine("balancer", "", i+1)
		if err != nil {
			return err
		}
		r.balancers = append(r.balancers, m)
	}
	for i, service := range services {
		m, err := r.addMachine("agent", service, balancers+i+1)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, m)
	}
	return nil
}

func (r *rig) machines() []*machine { return slices.Concat(r.balancers, r.agents) }

// start starts the process of a machine.
func (r *rig) start(m *machine) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	log, err := os.OpenFile(filepath.Join(r.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.command = exec.Command(r.program, "--settings", m.settings)
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), m.command
	m.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// stop sends SIGTERM, and SIGKILL after the grace, and waits for the end.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(stopGrace):
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
}

// roll stops a process and starts it again.
func (r *rig) roll(m *machine) {
	r.record("SIGTERM to %s", m.name)
	m.stop()
	r.record("%s has ended", m.name)
	time.Sleep(restartDelay)
	if err := r.start(m); err != nil {
		r.record("%s did not start: %v", m.name, err)
	}
	r.record("%s starts again", m.name)
}

// close ends every process that this run started.
func (r *rig) close() {
	for _, m := range r.machines() {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range r.machines() {
		if m.ended != nil {
			<-m.ended
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	_ = r.recorded.Flush()
	_ = r.recordFile.Close()
}

func (r *rig) probe(client *http.Client, m *machine) {
	response, err := client.Get("http://" + netip.AddrPortFrom(m.address, r.readyPort).String() + names.ReadyPath)
	if err == nil {
		_ = response.Body.Close()
	}
	if err == nil && response.StatusCode == http.StatusOK {
		m.misses = 0
		if !m.isReady.Swap(true) {
			r.record("%s comes into rotation", m.name)
		}
		return
	}
	if m.misses++; m.misses >= 2 && m.isReady.Swap(false) {
		r.record("%s is taken out of rotation", m.name)
	}
}

// checkReadiness checks the balancers until the context ends.
func (r *rig) checkReadiness(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range r.balancers {
		go func() {
			ticker := time.NewTicker(probeInterval)
			defer ticker.Stop()
			for {
				r.probe(client, m)
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
			}
		}()
	}
}

// route returns the balancer that the routers choose for a flow.
func (r *rig) route(id flowID) *machine {
	ready := slices.DeleteFunc(slices.Clone(r.balancers), func(m *machine) bool { return !m.isReady.Load() })
	if 2*len(ready) < len(r.balancers) {
		ready = r.balancers
	}
	return ready[id.hash()%uint64(len(ready))]
}

// startAll starts the targets and the processes, and waits until every balancer is
// ready.
func (r *rig) startAll(ctx context.Context, c config) error {
	r.store.put(names.ConfigKey, c)
	for i, m := range r.agents {
		if _, err := r.startTarget(m, fmt.Sprintf("t%d-%d", i, time.Now().UnixNano()%1_000_000), time.Now()); err != nil {
			return err
		}
	}
	for _, m := range r.machines() {
		if err := r.start(m); err != nil {
			return err
		}
	}
	r.checkReadiness(ctx)
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(r.balancers, func(m *machine) bool { return !m.isReady.Load() }) {
			return nil
		}
	}
	return errors.New("not every balancer became ready")
}

// readers returns the agents that watch the store.
func (r *rig) readers() []*machine {
	seen := map[*machine]int{}
	const looks = 20
	for range looks {
		for _, m := range r.agents {
			if m.endpoint.watching.Load() > 0 {
				seen[m]++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	var readers []*machine
	for _, m := range r.agents {
		if seen[m] > looks/2 {
			readers = append(readers, m)
		}
	}
	return readers
}

func published(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 250, byte(i / 200), byte(1 + i%200)}), 443)
}

func newRoute(i int, service string) routeConfig {
	return routeConfig{Name: fmt.Sprintf("route-%d", i), Host: published(i).Addr().String(), Prefix: "/443/", Service: service, Kind: "unsafe"}
}

func newConfig(version uint64, routes []routeConfig, services ...string) config {
	c := config{Version: version, Routes: slices.Clone(routes), Limits: map[string]int64{names.IdleTimeout: 15_000}}
	for _, s := range services {
		c.Services = append(c.Services, serviceConfig{Name: s})
	}
	return c
}

// callCount counts the requests of short flows.
type callCount struct{ sent, served int }

func (r *rig) countCall(isServed bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.calls.sent++
	if isServed {
		r.calls.served++
	}
}

// takeCalls returns the requests that ended since the last call.
func (r *rig) takeCalls() callCount {
	r.lock.Lock()
	defer r.lock.Unlock()
	calls := r.calls
	r.calls = callCount{}
	return calls
}
