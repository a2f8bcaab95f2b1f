package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	zone = "zone-a"
	// probeInterval is the time between two readiness checks of a balancer; two
	// failed ones in a row take it out of rotation.
	probeInterval = 500 * time.Millisecond
)

// Names of the roles in the folder of the deploy file.
const (
	roleBalancer = "balancer"
	roleAgent    = "agent"
	// roleOther is the role of a balancer of another zone.
	roleOther = "other"
)

// nextCore counts the programs that were started.
var nextCore atomic.Int64

// lockedRandom is a source of random numbers for several goroutines.
type lockedRandom struct {
	lock sync.Mutex
	r    *rand.Rand
}

// Uint32 returns a random number.
func (l *lockedRandom) Uint32() uint32 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.r.Uint32()
}

// process is a program under review.
type process struct {
	name     string
	address  netip.Addr
	settings string
	command  *exec.Cmd
	exited   chan struct{}
	// isInRotation is set while routers send packets to a balancer.
	isInRotation bool
	misses       int
	// impairedAt is the last time at which the process was started, stopped, killed or
	// frozen.
	impairedAt time.Time
	isFrozen   bool
}

// fleet is a small deployment with its stand-ins.
type fleet struct {
	options      options
	record       *record
	names        names
	random       *lockedRandom
	folder       string
	base         [2]byte // of the loopback addresses
	store        *store
	storeAddress netip.AddrPort
	packetPort   uint16
	readyPort    uint16
	firstPort    uint16
	secondPort   uint16
	appPort      uint16
	outboundPort uint16
	bounds       map[string]string
	lock         sync.Mutex
	balancers    []*process
	agents       []*process
	// others are machines whose balancers serve the callers of other zones.
	others []*process
	runs   map[uint64]int
	lastID uint64
	forged int
}

func newFleet(o options, r *record) (*fleet, error) {
	f := &fleet{options: o, record: r, random: &lockedRandom{r: rand.New(rand.NewSource(time.Now().UnixNano()))}, runs: make(map[uint64]int)}
	var err error
	if f.names, err = readNames(o.root); err != nil {
		return nil, err
	}
	if f.folder, err = os.MkdirTemp("", "flowstand-"); err != nil {
		return nil, err
	}
	f.base = [2]byte{byte(10 + f.random.Uint32()%200), byte(1 + f.random.Uint32()%250)}
	first := f.addressOf(1)
	for _, port := range []*uint16{&f.packetPort, &f.readyPort, &f.firstPort, &f.secondPort, &f.appPort, &f.outboundPort} {
		if *port, err = f.freePort(first); err != nil {
			return nil, err
		}
	}
	f.storeAddress = netip.AddrPortFrom(f.addressOf(250), f.readyPort)
	f.store, err = newStore(f.names, f.storeAddress.String())
	// The bounds of a small deployment of the users.
	f.bounds = map[string]string{
		"bounds.graceS": "6", "bounds.configApplyMs": "3000", "bounds.drainMs": "3000", "bounds.flowLifetimeS": "60", "limits.linkMbps": "1000.0",
	}
	return f, err
}

// addressOf returns a loopback address of the fleet.
func (f *fleet) addressOf(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.base[0], f.base[1], byte(i)})
}

// freePort returns a port that nobody uses and that the fleet has not chosen yet. The
// ports of outgoing connections are left out.
func (f *fleet) freePort(address netip.Addr) (uint16, error) {
	used := []uint16{f.packetPort, f.readyPort, f.firstPort, f.secondPort, f.appPort, f.outboundPort}
	for range 200 {
		port := uint16(12_000 + f.random.Uint32()%15_000)
		isUsed := false
		for _, u := range used {
			isUsed = isUsed || u == port
		}
		l, err := net.Listen("tcp4", netip.AddrPortFrom(address, port).String())
		if isUsed || err != nil {
			continue
		}
		_ = l.Close()
		return port, nil
	}
	return 0, fmt.Errorf("no free port")
}

// newProcess writes the settings of a process from the template of its role and starts
// it. Seeds are the first balancers.
func (f *fleet) newProcess(role, name string, number int, service string) (*process, error) {
	address := f.addressOf(number)
	at := func(port uint16) string { return netip.AddrPortFrom(address, port).String() }
	s := f.names.Settings
	values := map[string]string{
		"node": name, "zone": zone, "region": "region-a", "ip": address.String(), s["store"]: f.storeAddress.String(),
		s["packets"]: at(f.packetPort), s["ready"]: at(f.readyPort), s["outbound"]: at(f.outboundPort), s["app"]: at(f.appPort), "service": service,
		s["first_port"]: fmt.Sprint(f.firstPort), s["second_port"]: fmt.Sprint(f.secondPort),
	}
	for key, value := range f.bounds {
		values[key] = value
	}
	file := role
	if role == roleOther {
		file = roleBalancer
	}
	template, err := os.ReadFile(filepath.Join(f.options.root, "deploy", file+".yaml"))
	if err != nil {
		return nil, err
	}
	seeds := []string{netip.AddrPortFrom(f.addressOf(1), f.firstPort).String(), netip.AddrPortFrom(f.addressOf(2), f.firstPort).String()}
	p := &process{name: name, address: address, settings: filepath.Join(f.folder, name+".yaml")}
	text := render(string(template), values, map[string][]string{s["seeds"]: seeds})
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.lock.Lock()
	switch role {
	case roleBalancer:
		f.balancers = append(f.balancers, p)
	case roleOther:
		f.others = append(f.others, p)
	default:
		f.agents = append(f.agents, p)
	}
	f.lock.Unlock()
	return p, f.start(p)
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(f.logFolder(), p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(f.options.program, "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(command); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	f.lock.Lock()
	defer f.lock.Unlock()
	p.command, p.exited, p.impairedAt = command, exited, time.Now()
	f.record.write("process %s starts at %v", p.name, p.address)
	return nil
}

// startOnOneCore starts a program on one core, as machines of the users have.
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	core := nextCore.Add(1) % int64(all.Count())
	for cpu := range len(all) * 64 {
		if !all.IsSet(cpu) {
			continue
		}
		if core == 0 {
			one.Set(cpu)
		}
		core--
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &all) }()
	return command.Start()
}

func (f *fleet) logFolder() string {
	if f.options.keepLogs != "" {
		return f.options.keepLogs
	}
	return f.folder
}

// signal sends a signal to a process that the fleet has started.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.lock.Lock()
	defer f.lock.Unlock()
	p.impairedAt, p.isFrozen = time.Now(), s == syscall.SIGSTOP
	f.record.write("process %s gets signal %v", p.name, s)
	_ = p.command.Process.Signal(s)
}

// isInTouch reports whether a process has run without a pause, a start or a signal for
// a time.
func (f *fleet) isInTouch(p *process, window time.Duration) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return !p.isFrozen && time.Since(p.impairedAt) >= window
}

// processAt returns the process at an address.
func (f *fleet) processAt(address netip.Addr) *process {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, p := range slices.Concat(f.balancers, f.others, f.agents) {
		if p.address == address {
			return p
		}
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	f.lock.Lock()
	all := slices.Concat(f.balancers, f.others, f.agents)
	f.lock.Unlock()
	for _, p := range all {
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	_ = os.RemoveAll(f.folder)
}

// probe checks the readiness of the balancers as the platform's routers do.
func (f *fleet) probe() {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	f.lock.Lock()
	balancers := append([]*process{}, f.balancers...)
	f.lock.Unlock()
	var wait sync.WaitGroup
	for _, p := range balancers {
		wait.Go(func() {
			response, err := client.Get("http://" + netip.AddrPortFrom(p.address, f.readyPort).String() + f.names.ReadyPath)
			isReady := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			f.observeProbe(p, isReady)
		})
	}
	wait.Wait()
}

func (f *fleet) observeProbe(p *process, isReady bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	before := p.isInRotation
	if isReady {
		p.misses, p.isInRotation = 0, true
	} else if p.misses++; p.misses >= 2 {
		p.isInRotation = false
	}
	if p.isInRotation != before {
		f.record.write("balancer %s is in rotation: %v", p.name, p.isInRotation)
	}
}

// selectBalancer returns the balancer that gets the packets of a flow, chosen by its
// hash over those in rotation, or over all if fewer than half are.
func (f *fleet) selectBalancer(p packet) *process {
	f.lock.Lock()
	defer f.lock.Unlock()
	var ready []*process
	for _, b := range f.balancers {
		if b.isInRotation {
			ready = append(ready, b)
		}
	}
	if 2*len(ready) < len(f.balancers) {
		ready = f.balancers
	}
	hash := xxhash.Sum64String(p.from.String() + p.to.String())
	return ready[hash%uint64(len(ready))]
}

// route sends a caller's packet to a balancer.
func (f *fleet) route(conn *net.UDPConn, p packet) {
	_, _ = conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(f.selectBalancer(p).address, f.packetPort))
}

func (f *fleet) nextID() uint64 {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.lastID++
	return f.lastID
}

func (f *fleet) countRun(id uint64, target string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.runs[id]++
	f.record.write("request %d runs at %s, for the %d. time", id, target, f.runs[id])
}

func (f *fleet) recordForged(format string, args ...any) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.forged++
	f.record.write(format, args...)
}
