package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/marker"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
	"kingcupvalve.example/kingcupvalve/standin/relayer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	authority   = "cutlist.example"
	testService = 3
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// member is one agent with its backend server.
type member struct {
	*Agent
	messenger *messenger.Messenger
	backend   *httptest.Server
	stop      func()
	done      chan error
}

// cluster is a service of agents behind one relayer. A marked packet goes to
// its target, unless that is lostTarget; any other one goes to newFlowTarget.
type cluster struct {
	relayer       *relayer.Relayer
	newFlowTarget atomic.Uint32
	lostTarget    atomic.Uint32
	ring          *deriver.KeyRing
	members       []*member
	snapshot      atomic.Pointer[cataloger.Snapshot]
	spec          cataloger.FleetSpec
	hosts         []cataloger.HostSpec
	tls           *tls.Config
}

func (c *cluster) route(m marker.Mark, isMarked bool) (netip.AddrPort, tunneler.Flags) {
	target, flags := c.newFlowTarget.Load(), tunneler.Flags(0)
	if isMarked {
		if target = m.Target(); target == c.lostTarget.Load() {
			target, flags = c.newFlowTarget.Load(), tunneler.FlagReset
		}
	}
	return c.members[target-1].TunnelAddress(), flags
}

func (c *cluster) publish(t *testing.T) {
	t.Helper()
	c.spec.Revision++
	s, err := cataloger.NewSnapshot(c.spec, c.hosts)
	if err != nil {
		t.Fatal(err)
	}
	c.snapshot.Store(s)
}

// newCluster starts count agents. Every backend server answers with the given
// handler.
func newCluster(t *testing.T, count int, handler http.Handler) *cluster {
	t.Helper()
	c := &cluster{}
	c.newFlowTarget.Store(1)
	var err error
	if c.ring, err = issuer.NewKeyRing(1); err != nil {
		t.Fatal(err)
	}
	if c.tls, err = issuer.NewTLS(authority); err != nil {
		t.Fatal(err)
	}
	if c.relayer, err = relayer.NewRelayer(relayer.Options{
		Ring: c.ring, Service: testService, Route: c.route,
		Revision: func() uint64 { return c.snapshot.Load().Revision() },
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.relayer.Close)
	service := cataloger.ServiceSpec{
		Name: "cutlist", Number: testService, Names: []string{authority}, Addresses: []string{c.relayer.Address().String()},
	}
	for i := range count {
		m := &member{done: make(chan error, 1)}
		m.messenger, err = messenger.NewMessenger(messenger.Options{
			Address: anyPort, TLS: c.tls, Logger: zerolog.Nop(),
			Hello: func() *wirepb.Hello { return &wirepb.Hello{Process: fmt.Sprint("agent ", i+1)} },
		})
		if err != nil {
			t.Fatal(err)
		}
		m.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/healthz":
				w.Header().Set("Content-Type", "application/json")
				_, _ = io.WriteString(w, `{"state":"serving"}`)
			case "/loadz":
				w.WriteHeader(http.StatusNotFound)
			default:
				w.Header().Set("Backend", fmt.Sprint(i+1))
				handler.ServeHTTP(w, r)
			}
		}))
		t.Cleanup(m.backend.Close)
		c.members = append(c.members, m)
		service.Targets = append(service.Targets, cataloger.TargetSpec{
			Name: fmt.Sprint("t", i+1), Number: uint32(i + 1),
			TunnelAddress: "127.0.0.1:1", ControlAddress: m.messenger.Address().String(),
		})
	}
	c.spec.Services = []cataloger.ServiceSpec{service}
	c.hosts = []cataloger.HostSpec{{
		Name: "b", Role: cataloger.RoleBalancer, State: cataloger.HostLive, ControlAddress: "127.0.0.1:1",
		TunnelAddress: c.relayer.TunnelAddress().String(),
	}}
	c.publish(t)
	for i, m := range c.members {
		c.start(t, m, i)
	}
	c.publish(t) // with the tunnel addresses that the kernel chose
	c.relayer.Run()
	return c
}

func (c *cluster) start(t *testing.T, m *member, i int) {
	t.Helper()
	var err error
	m.Agent, err = NewAgent(Options{
		Target: uint32(i + 1), Incarnation: uint64(100 + i), Ring: c.ring, Snapshot: c.snapshot.Load,
		TunnelAddress: anyPort, BackendURL: m.backend.URL, TLS: c.tls, Messenger: m.messenger,
		Linger: 100 * time.Millisecond, Logger: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	m.messenger.Handle(messenger.LaneControl, m.ServeControl)
	c.spec.Services[0].Targets[i].TunnelAddress = m.TunnelAddress().String()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = m.messenger.Run(ctx) })
	wait.Go(func() { m.done <- m.Run(ctx) })
	m.stop = sync.OnceFunc(func() {
		cancel()
		wait.Wait()
	})
	t.Cleanup(m.stop)
}

// newClient returns a caller with a connection of its own.
func (c *cluster) newClient(t *testing.T) *http3.Transport {
	t.Helper()
	var dialed sync.Map
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: c.tls.RootCAs, ServerName: authority},
		QUICConfig:      &quic.Config{KeepAlivePeriod: 200 * time.Millisecond, MaxIdleTimeout: 5 * time.Second},
		Dial: func(ctx context.Context, _ string, config *tls.Config, q *quic.Config) (*quic.Conn, error) {
			conn, err := quic.DialAddr(ctx, c.relayer.Address().String(), config, q)
			if err == nil {
				dialed.Store(conn, true)
			}
			return conn, err
		},
	}
	t.Cleanup(func() {
		_ = transport.Close()
		// The transport drops its reference to connections that are draining.
		dialed.Range(func(conn, _ any) bool {
			_ = conn.(*quic.Conn).CloseWithError(0, "")
			return true
		})
	})
	return transport
}

func newRequest(t *testing.T, method, path, content string, fields ...string) *http.Request {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, method, "https://"+authority+path, strings.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	return r
}

// do sends a request and reads its response.
func do(client *http3.Transport, r *http.Request) (*http.Response, string, error) {
	response, err := client.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return response, string(b), err
}
