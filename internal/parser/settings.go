package parser

import (
	"net/netip"
	"path/filepath"
	"time"
)

// Default values of optional settings.
const (
	// DefaultTunnelMTU is the default maximum size of a tunnel datagram in bytes.
	DefaultTunnelMTU = 1500
	// DefaultDrainDeadline is the default maximum duration of a balancer's
	// graceful shutdown. An agent uses the drain deadline of its service's
	// policy unless the file sets one.
	DefaultDrainDeadline = 30 * time.Second
	// DefaultAnnounceGrace is the default time for which a process keeps
	// accepting work after announcing its shutdown. Agents hear from a balancer
	// every 500 ms and drop one that is silent for 1.2 s, so 3 s covers both.
	DefaultAnnounceGrace = 3 * time.Second
	// DefaultCloseGrace is the default time between the announcement of an
	// agent's drain and GOAWAY. It is also the idle time after which a
	// connection without requests is closed, which lets the last
	// acknowledgements arrive.
	DefaultCloseGrace = 500 * time.Millisecond
	// DefaultPeerName is the default DNS name in the certificates of peers.
	DefaultPeerName = "kingcupvalved"
)

type settingsDocument struct {
	Role             string           `yaml:"role"`
	Process          string           `yaml:"process"`
	AvailabilityZone string           `yaml:"availability_zone"`
	Region           string           `yaml:"region"`
	TunnelAddress    string           `yaml:"tunnel_address"`
	ControlAddress   string           `yaml:"control_address"`
	OperatorAddress  string           `yaml:"operator_address"`
	PlatformURL      string           `yaml:"platform_url"`
	Seeds            []string         `yaml:"seeds"`
	StartSpread      time.Duration    `yaml:"start_spread"`
	KeyRing          []secretDocument `yaml:"key_ring"`
	TLS              tlsDocument      `yaml:"tls"`
	Log              logDocument      `yaml:"log"`
	Drain            drainDocument    `yaml:"drain"`
	TunnelMTU        int              `yaml:"tunnel_mtu"`
	Balancer         balancerDocument `yaml:"balancer"`
	Agent            agentDocument    `yaml:"agent"`
	Packets          packetsDocument  `yaml:"packets"`
}

type secretDocument struct {
	ID    uint8  `yaml:"id"`
	File  string `yaml:"file"`
	Value string `yaml:"value" secret:"true"`
}

type tlsDocument struct {
	Callers   tlsFilesDocument `yaml:"callers"`
	Peers     tlsFilesDocument `yaml:"peers"`
	Operators tlsFilesDocument `yaml:"operators"`
}

type tlsFilesDocument struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	CA          string `yaml:"ca"`
	Name        string `yaml:"name"`
}

type logDocument struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

type drainDocument struct {
	Deadline      time.Duration `yaml:"deadline"`
	AnnounceGrace time.Duration `yaml:"announce_grace"`
	CloseGrace    time.Duration `yaml:"close_grace"`
}

type balancerDocument struct {
	BindAddresses map[string]string `yaml:"bind_addresses"`
}

type agentDocument struct {
	Target     uint32 `yaml:"target"`
	BackendURL string `yaml:"backend_url"`
}

// Settings are the settings of one process. Values that don't parse are
// returned as zero values; validator.ValidateSettings reports them.
type Settings struct {
	document  settingsDocument
	positions *Positions
	directory string
	path      string
	content   []byte
}

// ParseSettings reads a settings file. Paths in it are relative to its
// directory. It returns an error if the file can't be read or isn't valid YAML;
// validator.ValidateSettings reports all other errors.
func ParseSettings(path string) (*Settings, error) {
	content, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettingsContent(path, content)
}

// ParseSettingsContent parses the content of a settings file. Relative paths in
// it are resolved against the directory of path, which need not exist.
func ParseSettingsContent(path string, content []byte) (*Settings, error) {
	s := &Settings{directory: filepath.Dir(path), path: path, content: content}
	var err error
	if s.positions, err = decode(path, content, &s.document); err != nil {
		return nil, err
	}
	return s, nil
}

// Path returns the path of the settings file.
func (s *Settings) Path() string { return s.path }

// Content returns the unparsed content of the settings file. The caller must not
// modify it.
func (s *Settings) Content() []byte { return s.content }

// Positions returns the positions of the keys and the structural errors.
func (s *Settings) Positions() *Positions { return s.positions }

// Role returns the role of the process, balancer or agent.
func (s *Settings) Role() string { return s.document.Role }

// Process returns the name of the process, which is unique in the fleet.
func (s *Settings) Process() string { return s.document.Process }

// AvailabilityZone returns the availability zone of the host.
func (s *Settings) AvailabilityZone() string { return s.document.AvailabilityZone }

// Region returns the region of the host.
func (s *Settings) Region() string { return s.document.Region }

// TunnelAddress returns the UDP address of the tunnel.
func (s *Settings) TunnelAddress() netip.AddrPort { return parseAddress(s.document.TunnelAddress) }

// ControlAddress returns the TCP address of the peer sessions.
func (s *Settings) ControlAddress() netip.AddrPort { return parseAddress(s.document.ControlAddress) }

// OperatorAddress returns the TCP address of the operator API.
func (s *Settings) OperatorAddress() netip.AddrPort { return parseAddress(s.document.OperatorAddress) }

// PlatformURL returns the base URL of the platform.
func (s *Settings) PlatformURL() string { return s.document.PlatformURL }

// Seeds returns the control addresses of some other processes, which allow a
// process to start while the platform is down. The list may be empty.
func (s *Settings) Seeds() []netip.AddrPort {
	seeds := make([]netip.AddrPort, len(s.document.Seeds))
	for i, text := range s.document.Seeds {
		seeds[i] = parseAddress(text)
	}
	return seeds
}

// LogLevel returns debug, info, warn or error. The default is info.
func (s *Settings) LogLevel() string { return withDefault(s.document.Log.Level, "info") }

// LogFormat returns json or console. The default is json.
func (s *Settings) LogFormat() string { return withDefault(s.document.Log.Format, "json") }

// HasDrainDeadline reports whether the file sets the drain deadline. Otherwise
// an agent uses the drain deadline of its service's policy.
func (s *Settings) HasDrainDeadline() bool { return s.document.Drain.Deadline != 0 }

// DrainDeadline returns the maximum duration of a graceful shutdown.
func (s *Settings) DrainDeadline() time.Duration {
	return withDefault(s.document.Drain.Deadline, DefaultDrainDeadline)
}

// StartSpread returns the period over which processes that start together
// spread their first reads of the platform. With 0 they read immediately.
func (s *Settings) StartSpread() time.Duration { return s.document.StartSpread }

// AnnounceGrace returns the time for which a process keeps accepting work after
// announcing its shutdown.
func (s *Settings) AnnounceGrace() time.Duration {
	return withDefault(s.document.Drain.AnnounceGrace, DefaultAnnounceGrace)
}

// CloseGrace returns the time between the end of the last flow and the closing
// of the sockets. See DefaultCloseGrace for its other uses.
func (s *Settings) CloseGrace() time.Duration {
	return withDefault(s.document.Drain.CloseGrace, DefaultCloseGrace)
}

// TunnelMTU returns the maximum size of a tunnel datagram in bytes.
func (s *Settings) TunnelMTU() int { return withDefault(s.document.TunnelMTU, DefaultTunnelMTU) }

// BindAddress returns the local address that a balancer binds for a published
// address: its entry in balancer.bind_addresses, or else the published address
// itself.
func (s *Settings) BindAddress(published netip.AddrPort) netip.AddrPort {
	if text, ok := s.document.Balancer.BindAddresses[published.String()]; ok {
		return parseAddress(text)
	}
	return published
}

// BindAddresses returns balancer.bind_addresses as written, a map from published
// to local addresses. The caller must not modify it.
func (s *Settings) BindAddresses() map[string]string { return s.document.Balancer.BindAddresses }

// TargetNumber returns the number of the agent's target.
func (s *Settings) TargetNumber() uint32 { return s.document.Agent.Target }

// BackendURL returns the base URL of the agent's backend server.
func (s *Settings) BackendURL() string { return s.document.Agent.BackendURL }

func parseAddress(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// withDefault returns value, or fallback if value is the zero value.
func withDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
