package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/journaler"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
	"kingcupvalve.example/kingcupvalve/standin/origin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const authority = "cutlist.example"

func newBackend(t *testing.T) *origin.Server {
	t.Helper()
	b := origin.NewServer(HeaderTicket)
	t.Cleanup(b.Close)
	return b
}

func refuseRequest(w http.ResponseWriter, _ *http.Request, _ func()) {
	w.Header().Set(HeaderOutcome, journaler.NotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// node is one agent without its QUIC listener.
type node struct {
	*Dispatcher
	backend   *origin.Server
	messenger *messenger.Messenger
	draining  atomic.Bool
	stop      func()
}

// newNodes starts agents of one service, for the targets 1 to count. If change is
// not nil, it modifies the options of each.
func newNodes(t *testing.T, count int, change func(*Options)) []*node {
	t.Helper()
	ring, err := issuer.NewKeyRing(1)
	if err != nil {
		t.Fatal(err)
	}
	config, err := issuer.NewTLS()
	if err != nil {
		t.Fatal(err)
	}
	var snapshot atomic.Pointer[cataloger.Snapshot]
	service := cataloger.ServiceSpec{Name: "cutlist", Number: 3, Names: []string{authority}, Addresses: []string{"127.0.0.1:443"}}
	nodes := make([]*node, count)
	for i := range nodes {
		m, err := messenger.NewMessenger(messenger.Options{
			Address: netip.MustParseAddrPort("127.0.0.1:0"), TLS: config, Logger: zerolog.Nop(),
			Hello: func() *wirepb.Hello { return &wirepb.Hello{Process: fmt.Sprint("agent ", i+1)} },
		})
		if err != nil {
			t.Fatal(err)
		}
		nodes[i] = &node{backend: newBackend(t), messenger: m}
		service.Targets = append(service.Targets, cataloger.TargetSpec{
			Name: fmt.Sprint("t", i+1), Number: uint32(i + 1),
			TunnelAddress: "127.0.0.1:1", ControlAddress: m.Address().String(),
		})
	}
	s, err := cataloger.NewSnapshot(cataloger.FleetSpec{Revision: 1, Services: []cataloger.ServiceSpec{service}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	snapshot.Store(s)
	for i, n := range nodes {
		o := Options{
			Target: uint32(i + 1), Incarnation: 1, Service: 3, Ring: ring, Snapshot: snapshot.Load,
			BackendURL: n.backend.URL, OpenStream: n.messenger.Open, IsDraining: n.draining.Load, Logger: zerolog.Nop(),
		}
		if change != nil {
			change(&o)
		}
		if n.Dispatcher, err = NewDispatcher(o); err != nil {
			t.Fatal(err)
		}
		n.run(t)
	}
	return nodes
}

func (n *node) run(t *testing.T) {
	t.Helper()
	n.messenger.Handle(messenger.LaneShort, n.ServePeer)
	n.messenger.Handle(messenger.LaneBulk, n.ServePeer)
	n.messenger.Handle(messenger.LaneControl, func(_ context.Context, s *messenger.Stream) {
		if first, err := s.Receive(); err == nil {
			n.ServeDigests(s, first)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = n.messenger.Run(ctx) })
	wait.Go(func() { _ = n.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		wait.Wait()
	})
	t.Cleanup(n.stop)
}

// callerResult is the response that a caller received.
type callerResult struct {
	status  int
	header  http.Header
	body    string
	aborted bool
}

func (r callerResult) outcome() string { return r.header.Get(HeaderOutcome) }

// send sends a caller's request to an agent and returns the response. The fields
// are pairs of names and values of header fields.
func send(ctx context.Context, n *node, method, path, content, ticket string, fields ...string) callerResult {
	r := httptest.NewRequestWithContext(ctx, method, "https://"+authority+path, strings.NewReader(content))
	if content == "" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	if ticket != "" {
		r.Header.Set(HeaderTicket, ticket)
	}
	for i := 0; i < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	w := httptest.NewRecorder()
	got := callerResult{}
	func() {
		defer func() {
			if p := recover(); p == http.ErrAbortHandler {
				got.aborted = true
			} else if p != nil {
				panic(p)
			}
		}()
		n.ServeHTTP(w, r)
	}()
	got.status, got.header, got.body = w.Code, w.Header(), w.Body.String()
	return got
}
