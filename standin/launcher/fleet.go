// Package launcher starts a complete data path as separate processes on
// loopback, for the demo and for tests with real processes.
//
// It writes settings, keys and certificates of a run into a directory and
// starts the platform, fabric and backend server stand-ins, agents of two
// services and two balancers. It also acts as the operators, who publish
// configurations and replace processes.
//
// # Usage
//
//	fleet, err := launcher.NewFleet(dir, "bin")
//	defer fleet.StopAll()
//	err = fleet.Start(ctx)
//	err = fleet.RetireBalancer(ctx, fleet.Balancers()[0])
package launcher

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/standin/backend"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

// StopTimeout is the longest time that a graceful stop of one process may take.
const StopTimeout = 20 * time.Second

// Node is a kingcupvalved process, an agent or a balancer, with its addresses.
type Node struct {
	*Process
	name             string
	tunnelAddress    string
	controlAddress   string
	operatorAddress  string
	availabilityZone string
	// bindAddresses maps published addresses to local ones. It is nil for an
	// agent.
	bindAddresses map[string]string
	// targetNumber is the number of the agent's target, 0 for a balancer.
	targetNumber uint32
	// backendURL is the base URL of the agent's backend server.
	backendURL string
}

// Name returns the name of the process.
func (n *Node) Name() string { return n.name }

// Fleet is the set of processes of one run.
type Fleet struct {
	dir       string
	binDir    string
	authority *issuer.Authority
	client    *http.Client
	feedEpoch time.Time

	platformURL   string
	platformAdmin string
	fabricURL     string
	fleetSpec     cataloger.FleetSpec
	hosts         []cataloger.HostSpec

	platform       *Process
	fabric         *Process
	backends       map[uint32]*Process
	agents         []*Node
	balancers      []*Node
	nodeCount      int
	records        []backend.Record
	operatorClient *http.Client
}

// NewFleet prepares a run: it creates the certificate authority and the shared
// secret in dir. binDir is the directory of the programs kingcupvalved,
// kingcupvalvectl and standin. No process is started before Start.
func NewFleet(dir, binDir string) (*Fleet, error) {
	absolute, err := filepath.Abs(binDir)
	if err != nil {
		return nil, fmt.Errorf("resolve program directory: %w", err)
	}
	a, err := issuer.NewAuthority()
	if err != nil {
		return nil, err
	}
	if err := a.WriteCA(filepath.Join(dir, caFile)); err != nil {
		return nil, err
	}
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("generate shared secret: %w", err)
	}
	encoded := base64.StdEncoding.EncodeToString(secret)
	if err := os.WriteFile(filepath.Join(dir, "ring.key"), []byte(encoded), 0o600); err != nil {
		return nil, fmt.Errorf("write shared secret: %w", err)
	}
	f := &Fleet{
		dir: dir, binDir: absolute, authority: a, client: &http.Client{Timeout: 5 * time.Second}, feedEpoch: time.Now(),
		backends: map[uint32]*Process{},
	}
	if f.operatorClient, err = f.newOperatorClient(); err != nil {
		return nil, err
	}
	return f, nil
}

// Services returns the published services. The caller must not change them.
func (f *Fleet) Services() []cataloger.ServiceSpec { return f.fleetSpec.Services }

// Agents returns the agents, ordered by target number.
func (f *Fleet) Agents() []*Node { return f.agents }

// Balancers returns all balancers of the run, including exited ones.
func (f *Fleet) Balancers() []*Node { return f.balancers }

// Records returns the backend servers' records of the requests that they ran,
// as far as they have been collected.
func (f *Fleet) Records() []backend.Record { return f.records }

// caFile is the name of the authority's certificate file.
const caFile = "ca.pem"

func (f *Fleet) caFile() string { return filepath.Join(f.dir, caFile) }

// issueCertificate writes a certificate for the names and its key, and returns
// the paths of the two files.
func (f *Fleet) issueCertificate(base string, names ...string) (certFile, keyFile string, err error) {
	pair, err := f.authority.Issue(names...)
	if err != nil {
		return "", "", err
	}
	certFile, keyFile = filepath.Join(f.dir, base+".pem"), filepath.Join(f.dir, base+".key")
	return certFile, keyFile, issuer.WritePair(certFile, keyFile, pair)
}

func (f *Fleet) programPath(name string) string { return filepath.Join(f.binDir, name) }

// Start starts all processes and waits until they serve.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.planServices(); err != nil {
		return err
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startBackends(ctx); err != nil {
		return err
	}
	for range 2 {
		if _, err := f.ReserveBalancer(); err != nil {
			return err
		}
	}
	f.RebuildHosts()
	if err := f.Publish(ctx); err != nil {
		return err
	}
	if err := f.startFabric(ctx); err != nil {
		return err
	}
	for _, n := range slices.Concat(f.agents, f.balancers) {
		if err := f.StartNode(n); err != nil {
			return err
		}
	}
	for _, n := range slices.Concat(f.agents, f.balancers) {
		if err := f.WaitServing(ctx, n); err != nil {
			return err
		}
	}
	return f.SetFabricBalancers(ctx, nil)
}

// RebuildHosts rebuilds the host list from all planned nodes; exited ones are
// listed as removed.
func (f *Fleet) RebuildHosts() {
	f.hosts = nil
	add := func(n *Node, role string) {
		state := cataloger.HostLive
		if n.Process != nil && n.HasExited() {
			state = cataloger.HostRemoved
		}
		f.hosts = append(f.hosts, cataloger.HostSpec{
			Name: n.name, Role: role, AvailabilityZone: n.availabilityZone, State: state,
			ControlAddress: n.controlAddress, TunnelAddress: n.tunnelAddress,
		})
	}
	for _, n := range f.agents {
		add(n, cataloger.RoleAgent)
	}
	for _, n := range f.balancers {
		add(n, cataloger.RoleBalancer)
	}
}

// Publish writes the fleet document and the host list to the platform stand-in.
func (f *Fleet) Publish(ctx context.Context) error {
	if err := f.putJSON(ctx, f.platformAdmin+"/adminz/fleet", f.fleetSpec); err != nil {
		return err
	}
	return f.putJSON(ctx, f.platformAdmin+"/adminz/hosts", f.hosts)
}

func (f *Fleet) putJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode body for %s: %w", url, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request for %s: %w", url, err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("put %s: %w", url, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("put %s: status %d", url, response.StatusCode)
	}
	return nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := reserveTCP("127.20.0.1")
	if err != nil {
		return err
	}
	admin, err := reserveTCP("127.20.0.1")
	if err != nil {
		return err
	}
	f.platformURL, f.platformAdmin = "http://"+address, "http://"+admin
	f.platform, err = StartProcess(f.dir, "platform", f.programPath("standin"), "platform", "--listen", address, "--admin", admin)
	if err != nil {
		return err
	}
	return waitHTTP(ctx, f.client, f.platformAdmin+"/adminz/ready", f.platform)
}

func (f *Fleet) startFabric(ctx context.Context) error {
	address, err := reserveTCP("127.20.0.2")
	if err != nil {
		return err
	}
	f.fabricURL = "http://" + address
	args := []string{"fabric", "--admin", address}
	for _, s := range f.fleetSpec.Services {
		args = append(args, "--address", s.Addresses[0])
	}
	if f.fabric, err = StartProcess(f.dir, "fabric", f.programPath("standin"), args...); err != nil {
		return err
	}
	return waitHTTP(ctx, f.client, f.fabricURL+"/adminz/ready", f.fabric)
}

// fabricBalancer is an entry of the fabric's list of balancers.
type fabricBalancer struct {
	Name  string            `json:"name"`
	Binds map[string]string `json:"binds"`
}

// SetFabricBalancers sets the balancers over which the fabric distributes
// packets: all that are running except leaving, which may be nil.
func (f *Fleet) SetFabricBalancers(ctx context.Context, leaving *Node) error {
	var entries []fabricBalancer
	for _, n := range f.balancers {
		if n != leaving && n.Process != nil && !n.HasExited() {
			entries = append(entries, fabricBalancer{Name: n.name, Binds: n.bindAddresses})
		}
	}
	return f.putJSON(ctx, f.fabricURL+"/adminz/balancers", entries)
}

func (f *Fleet) startBackends(ctx context.Context) error {
	for i, n := range f.agents {
		if err := f.StartBackend(n, 1+float64(i%3)); err != nil {
			return err
		}
	}
	for _, n := range f.agents {
		if err := waitHTTP(ctx, f.client, n.backendURL+"/loadz", f.backends[n.targetNumber]); err != nil {
			return err
		}
	}
	return nil
}

// StartBackend starts the backend server of an agent with a speed factor; 1 is
// normal speed.
func (f *Fleet) StartBackend(n *Node, speed float64) error {
	service := f.serviceName(n)
	p, err := StartProcess(f.dir, "backend-"+n.name, f.programPath("standin"), "backend",
		"--listen", n.backendURL[len("http://"):], "--service", service, "--name", n.name,
		"--speed", fmt.Sprint(speed), "--feed-epoch-ms", fmt.Sprint(f.feedEpoch.UnixMilli()))
	if err != nil {
		return err
	}
	f.backends[n.targetNumber] = p
	return nil
}

func (f *Fleet) serviceName(n *Node) string {
	for _, s := range f.fleetSpec.Services {
		if slices.ContainsFunc(s.Targets, func(t cataloger.TargetSpec) bool { return t.Number == n.targetNumber }) {
			return s.Name
		}
	}
	return ""
}

// StopAll kills all processes that are still running, balancers and agents
// first.
func (f *Fleet) StopAll() {
	for _, n := range slices.Concat(f.balancers, f.agents) {
		if n.Process != nil {
			n.Kill()
		}
	}
	for _, p := range f.backends {
		p.Kill()
	}
	for _, p := range []*Process{f.fabric, f.platform} {
		if p != nil {
			p.Kill()
		}
	}
}
