package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	zone    = "zone-a"
	service = "pressboard"
	// stabilityWindow is the time without trouble after which a machine is in touch.
	stabilityWindow = 4 * time.Second
	// checkInterval is the time between two readiness checks of a router.
	checkInterval = 500 * time.Millisecond
)

type ports struct{ packet, control, metrics, ready, backend, outbound uint16 }

// process is a balancer or an agent on a machine of its own.
type process struct {
	name     string
	role     string
	address  netip.Addr
	settings string
	target   *target
	lock     sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	// troubles are the times in which something was done to the process.
	troubles []span
	inTurn   bool
	misses   int
}

type span struct{ from, to time.Time }

// fleet is a deployment: its processes, the store and the routers in front.
type fleet struct {
	program   string
	dir       string
	base      netip.Addr
	record    *record
	store     *store
	ports     ports
	published netip.AddrPort
	lock      sync.Mutex
	balancers []*process
	agents    []*process
	lastHost  byte
	commands  chan startRequest
}

func newFleet(program, dir string, n names, r *record) (*fleet, error) {
	f := &fleet{program: program, dir: dir, record: r, store: newStore(n, r), commands: make(chan startRequest)}
	go serveStarts(f.commands)
	id := os.Getpid()
	f.base = netip.AddrFrom4([4]byte{127, byte(70 + id%50), byte(id / 50 % 250), 0})
	f.published = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 250, 0, 1}), 443)
	for _, port := range []*uint16{&f.ports.packet, &f.ports.control, &f.ports.metrics, &f.ports.ready, &f.ports.backend, &f.ports.outbound} {
		l, err := net.Listen("tcp", netip.AddrPortFrom(f.host(250), 0).String())
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		*port = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	f.publish(1)
	go func() {
		for {
			f.store.expire()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return f, nil
}

func (f *fleet) host(n byte) netip.Addr {
	b := f.base.As4()
	b[3] = n
	return netip.AddrFrom4(b)
}

// publish writes a configuration with one route.
func (f *fleet) publish(version int) {
	value, _ := json.Marshal(map[string]any{
		"configVersion": version, "services": []any{map[string]any{"name": service, "healthPath": "/health"}},
		"routes": []any{map[string]any{
			"name": "r-1", "host": f.published.Addr().String(), "prefix": fmt.Sprintf("/%d/", f.published.Port()), "service": service,
			"routeType": "safe", "timeoutMs": 3000, "aimMs": 200, "priority": 2, "maxAttempts": 1,
		}},
		"limits": map[string]any{"idleTimeoutMs": 15_000},
	})
	f.store.put(f.store.names.ConfigKey, value, false)
}

// add prepares a machine and starts its process.
func (f *fleet) add(role string) (*process, error) {
	f.lastHost++
	p := &process{name: fmt.Sprintf("%s-%d", role, f.lastHost), role: role, address: f.host(f.lastHost)}
	url, err := f.store.serve(netip.AddrPortFrom(p.address, 0).String())
	if err != nil {
		return nil, err
	}
	p.settings = filepath.Join(f.dir, p.name+".yaml")
	seed := f.host(1)
	text := fmt.Sprintf("role: %s\nprocess: %s\navailability_zone: %s\nregion: region-a\ncontrol_address: %s:%d\nplatform_url: %s\nseeds: [\"%s:%d\"]\n"+
		"log:\n  level: info\ndrain:\n  deadline: 6s\npackets:\n  address: %s:%d\n  ready_address: %s:%d\n  metrics_address: %s:%d\n",
		role, p.name, zone, p.address, f.ports.control, url, seed, f.ports.control,
		p.address, f.ports.packet, p.address, f.ports.ready, p.address, f.ports.metrics)
	if role == "agent" {
		text += fmt.Sprintf("  outbound_address: %s:%d\n  backend_address: %s:%d\n  service: %s\n", p.address, f.ports.outbound, p.address, f.ports.backend, service)
	}
	text += "  config_deadline: 3000ms\n  target_deadline: 3000ms\n"
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.lock.Lock()
	if role == "agent" {
		f.agents = append(f.agents, p)
	} else {
		f.balancers = append(f.balancers, p)
	}
	f.lock.Unlock()
	return p, f.start(p)
}

// addNew adds a machine to a running fleet.
func (f *fleet) addNew(role string) error {
	p, err := f.add(role)
	if err != nil {
		return err
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.troubles = append(p.troubles, span{f.record.start, time.Now()})
	return nil
}

// addTarget starts the target of an agent. It is listed once it reports.
func (f *fleet) addTarget(p *process) error {
	t, err := startTarget(f.store, f.record, "i-"+p.name+fmt.Sprintf("-%x", time.Now().UnixNano()), service,
		netip.AddrPortFrom(p.address, f.ports.backend), netip.AddrPortFrom(p.address, f.ports.outbound))
	p.target = t
	return err
}

func (f *fleet) start(p *process) error {
	output, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(f.program, "--settings", p.settings)
	command.Stdout, command.Stderr = output, output
	// The kernel ends the process if this one ends without stop.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.startCommand(command); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}()
	p.lock.Lock()
	p.command, p.exited = command, exited
	p.lock.Unlock()
	f.record.add("process %s starts", p.name)
	return nil
}

// startCommand starts a command from one thread, which lives as long as this process:
// the kernel takes the end of that thread for the end of the parent.
func (f *fleet) startCommand(command *exec.Cmd) error {
	reply := make(chan error)
	f.commands <- startRequest{command, reply}
	return <-reply
}

type startRequest struct {
	command *exec.Cmd
	reply   chan error
}

func serveStarts(requests chan startRequest) {
	runtime.LockOSThread()
	for r := range requests {
		r.reply <- r.command.Start()
	}
}

func (p *process) signal(s syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	_ = p.command.Process.Signal(s)
}

// isInTouch reports whether nothing was done to a process in the stability window
// before a time.
func (p *process) isInTouch(at time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, s := range p.troubles {
		if at.After(s.from) && at.Before(s.to.Add(stabilityWindow)) {
			return false
		}
	}
	return true
}

func (f *fleet) find(name string) *process {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, p := range slices.Concat(f.balancers, f.agents) {
		if p.name == name || p.address.String() == name || p.target != nil && p.target.id == name {
			return p
		}
	}
	return nil
}

// route returns the balancer that a router hands a flow's packet to: by a hash over
// those in rotation, or over all if fewer than half are.
func (f *fleet) route(key flowKey) *process {
	f.lock.Lock()
	defer f.lock.Unlock()
	var inTurn []*process
	for _, b := range f.balancers {
		if b.inTurn {
			inTurn = append(inTurn, b)
		}
	}
	if 2*len(inTurn) < len(f.balancers) {
		inTurn = f.balancers
	}
	h := fnv.New64a()
	caller, published := key.caller.Addr().As4(), key.published.Addr().As4()
	_, _ = h.Write(caller[:])
	_, _ = h.Write(binary.BigEndian.AppendUint16(nil, key.caller.Port()))
	_, _ = h.Write(published[:])
	return inTurn[h.Sum64()%uint64(len(inTurn))]
}

// checkReadiness keeps the rotation as the routers do.
func (f *fleet) checkReadiness(ctx context.Context) {
	client := &http.Client{Timeout: checkInterval - 50*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	check := func(b *process) {
		response, err := client.Get("http://" + netip.AddrPortFrom(b.address, f.ports.ready).String() + f.store.names.ReadyPath)
		isReady := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		f.lock.Lock()
		defer f.lock.Unlock()
		before := b.inTurn
		if isReady {
			b.misses, b.inTurn = 0, true
		} else if b.misses++; b.misses >= 2 {
			b.inTurn = false
		}
		if before != b.inTurn {
			f.record.add("router: %s in rotation: %t", b.name, b.inTurn)
		}
	}
	for ctx.Err() == nil {
		f.lock.Lock()
		balancers := slices.Clone(f.balancers)
		f.lock.Unlock()
		for _, b := range balancers {
			go check(b)
		}
		sleep(ctx, checkInterval)
	}
}

// noteReset records a reset that a process of the system sent for an open flow that
// a living target holds.
func (f *fleet) noteReset(key flowKey, from netip.Addr) {
	r := f.record
	r.lock.Lock()
	holder := r.holders[key]
	r.lock.Unlock()
	if holder == nil || !holder.holds(key) {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.resets = append(r.resets, resetSeen{time.Now(), key, from.String()})
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, p := range slices.Concat(f.balancers, f.agents) {
		p.signal(syscall.SIGKILL)
		p.signal(syscall.SIGCONT)
		<-p.exited
	}
}
