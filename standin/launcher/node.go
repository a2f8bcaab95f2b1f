package launcher

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// StartNode writes the settings file of a node and starts its process.
func (f *Fleet) StartNode(n *Node) error {
	if err := f.writeSettings(n); err != nil {
		return err
	}
	p, err := StartProcess(f.dir, n.name, f.programPath("kingcupvalved"), "--settings", n.name+".yaml")
	if err != nil {
		return err
	}
	n.Process = p
	return nil
}

func (f *Fleet) writeSettings(n *Node) error {
	ip, _, err := net.SplitHostPort(n.controlAddress)
	if err != nil {
		return fmt.Errorf("split control address: %w", err)
	}
	peerCert, peerKey, err := f.issueCertificate(n.name+"-peer", "kingcupvalved", ip)
	if err != nil {
		return err
	}
	var b strings.Builder
	role := cataloger.RoleAgent
	if n.bindAddresses != nil {
		role = cataloger.RoleBalancer
	}
	fmt.Fprintf(&b, "role: %s\nprocess: %s\navailability_zone: %s\nregion: bengal-south\n", role, n.name, n.availabilityZone)
	fmt.Fprintf(&b, "tunnel_address: %s\ncontrol_address: %s\noperator_address: %s\n", n.tunnelAddress, n.controlAddress, n.operatorAddress)
	fmt.Fprintf(&b, "platform_url: %s\nkey_ring:\n  - {id: 1, file: ring.key}\n", f.platformURL)
	fmt.Fprintf(&b, "seeds: ['%s', '%s']\n", f.agents[0].controlAddress, f.agents[1].controlAddress)
	fmt.Fprintf(&b, "log: {level: info, format: json}\ndrain: {deadline: 10s, announce_grace: 2s, close_grace: 500ms}\n")
	fmt.Fprintf(&b, "tls:\n  peers: {certificate: %s, key: %s, ca: %s}\n", peerCert, peerKey, f.caFile())
	if role == cataloger.RoleBalancer {
		fmt.Fprintf(&b, "balancer:\n  bind_addresses:\n")
		for published, local := range n.bindAddresses {
			fmt.Fprintf(&b, "    '%s': '%s'\n", published, local)
		}
	} else {
		certificate, key, err := f.issueCertificate(n.name+"-caller", f.serverName(n))
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "  callers: {certificate: %s, key: %s}\n", certificate, key)
		fmt.Fprintf(&b, "agent: {target: %d, backend_url: '%s'}\n", n.targetNumber, n.backendURL)
	}
	if err := os.WriteFile(filepath.Join(f.dir, n.name+".yaml"), []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", n.name, err)
	}
	return nil
}

func (f *Fleet) serverName(n *Node) string {
	for _, l := range serviceLayouts {
		if l.name == f.serviceName(n) {
			return l.domain
		}
	}
	return ""
}

// newOperatorClient returns an HTTP client with an operator certificate.
func (f *Fleet) newOperatorClient() (*http.Client, error) {
	certFile, keyFile, err := f.issueCertificate("operator", "operator")
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("load operator certificate: %w", err)
	}
	// A node may restart at the same address, so connections are not reused.
	return &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		TLSClientConfig: &tls.Config{
			MinVersion: tls.VersionTLS13, RootCAs: f.RootPool(), ServerName: "kingcupvalved",
			Certificates: []tls.Certificate{certificate},
		},
	}}, nil
}

// RootPool returns a pool with the certificate authority of the run.
func (f *Fleet) RootPool() *x509.CertPool {
	return f.authority.Pool()
}

// NodeStatus is the subset of the operator API's status that the demo and the
// scenarios read.
type NodeStatus struct {
	State    string           `json:"state"`
	Revision uint64           `json:"revision"`
	Counters map[string]int64 `json:"counters"`
	// Incarnation changes with each start of the process.
	Incarnation string `json:"incarnation"`
	// ConfigState is the state of the configuration, such as in_force.
	ConfigState string `json:"config_state"`
}

// Status reads the status of a node from its operator API (/v1/status).
func (f *Fleet) Status(ctx context.Context, n *Node) (NodeStatus, error) {
	var s NodeStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+n.operatorAddress+"/v1/status", nil)
	if err != nil {
		return s, fmt.Errorf("create status request: %w", err)
	}
	response, err := f.operatorClient.Do(request)
	if err != nil {
		return s, fmt.Errorf("read status of %s: %w", n.name, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("decode status of %s: %w", n.name, err)
	}
	return s, nil
}

// WaitServing waits until a node serves the current revision, for 15 seconds at
// most. It fails at once if the process has exited.
func (f *Fleet) WaitServing(ctx context.Context, n *Node) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		s, err := f.Status(ctx, n)
		if err == nil && s.State == "serving" && s.Revision >= f.fleetSpec.Revision {
			return nil
		}
		if n.HasExited() {
			return fmt.Errorf("wait for %s: process exited: %v", n.name, n.Process.err)
		}
		if ctx.Err() != nil {
			return fmt.Errorf("wait for %s: state %q, revision %d: %w", n.name, s.State, s.Revision, err)
		}
		if err := Sleep(ctx, 50*time.Millisecond); err != nil {
			continue
		}
	}
}

// BurnReport runs kingcupvalvectl report burn over all running nodes, writes
// the HTML report to the file page and returns the output of the command.
func (f *Fleet) BurnReport(ctx context.Context, page string) (string, error) {
	absolute, err := filepath.Abs(page)
	if err != nil {
		return "", fmt.Errorf("resolve path of %s: %w", page, err)
	}
	args := []string{
		"report", "burn", "--since", "10m", "--html", absolute, "--ca", f.caFile(),
		"--certificate", filepath.Join(f.dir, "operator.pem"), "--key", filepath.Join(f.dir, "operator.key"),
	}
	for _, n := range f.RunningNodes() {
		args = append(args, "--daemon", n.operatorAddress)
	}
	out, err := exec.CommandContext(ctx, f.programPath("kingcupvalvectl"), args...).CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("report burn: %w", err)
	}
	return string(out), nil
}
