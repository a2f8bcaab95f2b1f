package parser

import (
	"encoding/base64"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const agentSettings = `role: agent
process: howrah-saw-3
availability_zone: howrah
region: bengal-south
tunnel_address: 127.0.0.1:7001
control_address: 127.0.0.1:7002
operator_address: 127.0.0.1:7003
platform_url: http://127.0.0.1:7004
key_ring:
  - {id: 2, file: current.key}
  - id: 1
    value: MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=
tls:
  callers: {certificate: caller.pem, key: caller.key}
  peers: {certificate: peer.pem, key: peer.key, ca: ca.pem}
log: {level: debug}
drain: {deadline: 45s}
agent:
  target: 17
  backend_url: http://127.0.0.1:9000
`

func parseText(t *testing.T, text string) *Settings {
	t.Helper()
	s, err := ParseSettingsContent("settings.yaml", []byte(text))
	is.New(t).NoErr(err)
	return s
}

func TestParseSettings(t *testing.T) {
	t.Run("every accessor returns the value in the file", func(t *testing.T) {
		is := is.New(t)
		dir := t.TempDir()
		path := filepath.Join(dir, "settings.yaml")
		is.NoErr(os.WriteFile(path, []byte(agentSettings), 0o600))
		secret := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))
		is.NoErr(os.WriteFile(filepath.Join(dir, "current.key"), []byte(secret+"\n"), 0o600))
		s, err := ParseSettings(path)
		is.NoErr(err)
		is.Equal(len(s.Positions().Problems()), 0)
		is.Equal(s.Role(), "agent")
		is.Equal(s.TunnelAddress(), netip.MustParseAddrPort("127.0.0.1:7001"))
		is.Equal(s.DrainDeadline(), 45*time.Second)
		is.Equal(s.AnnounceGrace(), DefaultAnnounceGrace)
		is.Equal(s.TunnelMTU(), DefaultTunnelMTU)
		is.Equal(s.LogFormat(), "json")
		is.Equal(s.TargetNumber(), uint32(17))
		is.Equal(s.PeerTLS().CA(), filepath.Join(dir, "ca.pem"))
		is.Equal(s.OperatorTLS(), s.PeerTLS())
		ring, err := s.KeyRing()
		is.NoErr(err)
		keys, err := ring.Derive("test", 16)
		is.NoErr(err)
		is.Equal(keys[0].ID(), uint8(2))
	})
	t.Run("a published address without a bind address is bound itself", func(t *testing.T) {
		is := is.New(t)
		s := parseText(t, "balancer: {bind_addresses: {'192.0.2.1:443': '127.0.0.1:8443'}}")
		is.Equal(s.BindAddress(netip.MustParseAddrPort("192.0.2.1:443")).String(), "127.0.0.1:8443")
		is.Equal(s.BindAddress(netip.MustParseAddrPort("192.0.2.2:443")).String(), "192.0.2.2:443")
	})
}

// TestShape guards against structural errors that are missed, or reported at
// another key or line.
func TestShape(t *testing.T) {
	for _, c := range []struct {
		name, text, key, fault, accepted string
		line                             int
	}{
		{"unknown key", "role: agent\nporcess: a\n", "porcess", FaultUnknownKey, "did you mean process?", 2},
		{"unknown nested key", "log:\n  levl: info\n", "log.levl", FaultUnknownKey, "did you mean level?", 2},
		{"duplicate key", "role: agent\nrole: balancer\n", "role", FaultDuplicate, "each key once", 2},
		{"text for a number", "agent:\n  target: many\n", "agent.target", FaultBadValue, "4294967295", 2},
		{"negative number", "agent:\n  target: -1\n", "agent.target", FaultBadValue, "4294967295", 2},
		{"number too large", "agent:\n  target: 4294967296\n", "agent.target", FaultBadValue, "4294967295", 2},
		{"duration without unit", "drain:\n  deadline: 30\n", "drain.deadline", FaultBadValue, "30s", 2},
		{"list for a mapping", "tls: [a]\n", "tls", FaultBadValue, "callers", 1},
		{"anchor", "role: &a agent\n", "role", FaultBadValue, "anchors", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			problems := parseText(t, c.text).Positions().Problems()
			is.Equal(len(problems), 1)
			is.Equal(problems[0].Key(), c.key)
			is.Equal(problems[0].Fault(), c.fault)
			is.Equal(problems[0].Line(), c.line)
			is.True(strings.Contains(problems[0].Accepted(), c.accepted))
		})
	}
	t.Run("a secret never appears in a problem or an error", func(t *testing.T) {
		is := is.New(t)
		s := parseText(t, "key_ring:\n  - {id: 1, value: c2VjcmV0}\n  - {id: 1, value: [hidden]}\n")
		for _, p := range s.Positions().Problems() {
			is.True(!strings.Contains(p.String(), "hidden"))
		}
		s = parseText(t, "key_ring:\n  - {id: 1, value: c2VjcmV0}\n")
		err := s.CheckSecret(0)
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "c2VjcmV0"))
		is.Equal(s.Positions().Find("key_ring[0].value").Value(), "")
	})
}

// TestSyntaxError guards against secrets in parse errors: the YAML library quotes
// the source in its error texts.
func TestSyntaxError(t *testing.T) {
	t.Run("the error has file and line and quotes no source", func(t *testing.T) {
		is := is.New(t)
		_, err := ParseSettingsContent("s.yaml", []byte("key_ring:\n  - {id: 1, value: hidden}\nrole: [agent\n"))
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "hidden"))
		is.True(strings.Contains(err.Error(), "s.yaml:3: "))
	})
}

// TestParseFails guards against malformed input that is accepted, and against
// excessively nested input that exhausts the memory in the YAML parser.
func TestParseFails(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"broken YAML", "role: [agent\n"},
		{"two documents", "role: agent\n---\nrole: agent\n"},
		{"deep nesting", strings.Repeat("[", 5000)},
		{"deep nesting over lines", strings.Repeat("{a:\n", 200_000)},
		{"list marks in a row", strings.Repeat("- ", 200_000)},
		{"key marks in a row", strings.Repeat("? ", 200_000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseSettingsContent("settings.yaml", []byte(c.text))
			is.New(t).True(err != nil)
		})
	}
}
