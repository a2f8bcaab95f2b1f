package balancer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/caller"
	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/balancer"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/listener"
	"kingcupvalve.example/kingcupvalve/standin/fabric"
)

const pathTimeout = 30 * time.Second

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// testAgent is an agent reduced to its listener and an HTTP/3 handler.
type testAgent struct {
	listener    *listener.Listener
	drainNotice chan struct{}
	served      atomic.Int64

	mutex   sync.Mutex
	servers []*http3.Server
}

// dataPath runs a caller, the fabric, balancers and agents in one process.
type dataPath struct {
	t               *testing.T
	ring            *deriver.KeyRing
	fabric          *fabric.Fabric
	snapshot        atomic.Pointer[cataloger.Snapshot]
	agents          []*testAgent
	workers         sync.WaitGroup
	ctx             context.Context
	fabricBalancers map[string]fabric.Balancer
	client          *caller.Client
}

func newDataPath(t *testing.T, faults fabric.Options, balancers ...string) *dataPath {
	t.Helper()
	p := &dataPath{t: t, fabricBalancers: make(map[string]fabric.Balancer)}
	secret := must(deriver.NewSecret(1, bytes.Repeat([]byte{3}, deriver.MinSecretSize)))
	p.ring = must(deriver.NewKeyRing(secret))
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx = ctx
	t.Cleanup(func() {
		cancel()
		p.workers.Wait()
	})
	faults.Addresses = []netip.AddrPort{anyPort}
	p.fabric = must(fabric.NewFabric(faults))
	p.workers.Go(func() { _ = p.fabric.Run(ctx) })
	p.snapshot.Store(cataloger.NewEmptySnapshot())
	server, client := newTLS()
	for i := range 2 {
		p.addAgent(uint32(i+1), server)
	}
	p.publish()
	for _, name := range balancers {
		p.addBalancer(name)
	}
	p.spray(balancers...)
	dialing, stop := context.WithTimeout(ctx, pathTimeout)
	defer stop()
	p.client = must(caller.Dial(dialing, caller.Options{
		Address: p.fabric.Addresses()[0].String(), TLS: client,
		IdleTimeout: pathTimeout, // long, so that a caller detects a killed agent only by a stateless reset
	}))
	t.Cleanup(func() { _ = p.client.Close() })
	return p
}

func newTLS() (server, client *tls.Config) {
	s := httptest.NewTLSServer(nil)
	defer s.Close()
	client = s.Client().Transport.(*http.Transport).TLSClientConfig
	return http3.ConfigureTLSConfig(&tls.Config{Certificates: s.TLS.Certificates}),
		&tls.Config{RootCAs: client.RootCAs, ServerName: "example.com"}
}

func (p *dataPath) addAgent(number uint32, config *tls.Config) {
	a := &testAgent{drainNotice: make(chan struct{})}
	a.listener = must(listener.NewListener(listener.Options{
		Address: anyPort, Target: number, Incarnation: 100, Service: 7, Ring: p.ring,
		Snapshot: p.snapshot.Load, Logger: zerolog.Nop(),
	}))
	p.t.Cleanup(func() { _ = a.listener.Close() })
	accept := must(a.listener.Listen(config, &quic.Config{MaxIdleTimeout: pathTimeout}))
	p.workers.Go(func() { _ = a.listener.Run(p.ctx) })
	mux := http.NewServeMux()
	mux.HandleFunc("/sequence", a.serveSequence)
	mux.HandleFunc(caller.DrainPath, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-a.drainNotice:
		case <-r.Context().Done():
		}
	})
	p.workers.Go(func() {
		for {
			conn, err := accept.Accept(p.ctx)
			if err != nil {
				return
			}
			server := &http3.Server{Handler: mux}
			a.mutex.Lock()
			a.servers = append(a.servers, server)
			a.mutex.Unlock()
			p.workers.Go(func() { _ = server.ServeQUICConn(conn) })
		}
	})
	p.agents = append(p.agents, a)
}

// serveSequence sends an event every 2 ms, continuing after the Last-Event-ID of
// the request.
func (a *testAgent) serveSequence(w http.ResponseWriter, r *http.Request) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; r.Context().Err() == nil; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: cut %d\n\n", i, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		a.served.Add(1)
		select {
		case <-ticker.C:
		case <-r.Context().Done():
		}
	}
}

// publish installs a snapshot with the current agents.
func (p *dataPath) publish() {
	service := cataloger.ServiceSpec{
		Name: "cutlist-svc", Number: 7, Names: []string{"example.com"},
		Addresses: []string{p.fabric.Addresses()[0].String()},
	}
	for i, a := range p.agents {
		service.Targets = append(service.Targets, cataloger.TargetSpec{
			Name: "t", Number: uint32(i + 1), TunnelAddress: a.listener.Address().String(), ControlAddress: "127.0.0.1:1",
		})
	}
	spec := cataloger.FleetSpec{Revision: p.snapshot.Load().Revision() + 1, Services: []cataloger.ServiceSpec{service}}
	p.snapshot.Store(must(cataloger.NewSnapshot(spec, nil)))
}

func (p *dataPath) addBalancer(name string) *balancer.Balancer {
	b := must(balancer.NewBalancer(balancer.Options{
		Ring: p.ring, Snapshot: p.snapshot.Load, TunnelAddress: anyPort, Incarnation: 1, GracePeriod: 50 * time.Millisecond,
		BindAddress: func(netip.AddrPort) netip.AddrPort { return anyPort }, Logger: zerolog.Nop(),
	}))
	p.workers.Go(func() { _ = b.Run(p.ctx) })
	p.fabricBalancers[name] = fabric.NewBalancer(name, b.BoundAddress)
	return b
}

func (p *dataPath) spray(names ...string) {
	var list []fabric.Balancer
	for _, n := range names {
		list = append(list, p.fabricBalancers[n])
	}
	p.fabric.SetBalancers(list)
}

// read reads the next count events of a feed and fails the test unless they are
// complete and in order.
func (p *dataPath) read(f *caller.Feed, from, count int) int {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.ctx, pathTimeout)
	defer cancel()
	for i := from; i < from+count; i++ {
		e, err := f.Next(ctx)
		if err != nil {
			p.t.Fatal(err)
		}
		if e.ID() != strconv.Itoa(i) {
			p.t.Fatalf("event %s, want %d", e.ID(), i)
		}
	}
	return from + count
}

// readUntilMoved reads a feed until an agent other than old serves it, and returns
// that agent.
func (p *dataPath) readUntilMoved(f *caller.Feed, next int, old *testAgent) (*testAgent, int) {
	for {
		before := []int64{p.agents[0].served.Load(), p.agents[1].served.Load()}
		next = p.read(f, next, 20)
		for i, a := range p.agents {
			if a != old && a.served.Load() > before[i] {
				return a, next
			}
		}
	}
}

// TestDataPath guards against feeds with gaps or repeated events when balancers
// are replaced, when the network loses, duplicates or reorders datagrams, and when
// the agent of the feed drains or is killed.
func TestDataPath(t *testing.T) {
	t.Run("a feed survives the replacement of every balancer", func(t *testing.T) {
		p := newDataPath(t, fabric.Options{Seed: 1}, "a", "b", "c")
		f := must(p.client.Feed(p.ctx, "/sequence", ""))
		first, next := p.readUntilMoved(f, 1, nil)
		p.addBalancer("d")
		p.addBalancer("e")
		for _, names := range [][]string{{"b", "c", "d"}, {"c", "d", "e"}, {"d", "e"}, {"e"}} {
			p.spray(names...)
			next = p.read(f, next, 100)
		}
		last, _ := p.readUntilMoved(f, next, nil)
		is.New(t).Equal(last, first) // the same agent still serves the feed, so the flow was kept
	})
	t.Run("a feed survives loss, duplication and reordering", func(t *testing.T) {
		var count atomic.Int64
		every := func(n int64) func(fabric.Link) bool { return func(fabric.Link) bool { return count.Add(1)%n == 0 } }
		p := newDataPath(t, fabric.Options{
			Seed: 2, Lose: every(50), Reorder: every(20),
			Duplicate: func(fabric.Link) int { return int(count.Add(1) % 10 / 9) },
		}, "a", "b")
		p.read(must(p.client.Feed(p.ctx, "/sequence", "")), 1, 1000)
	})
	t.Run("a feed moves away from a draining agent without a gap", func(t *testing.T) {
		p := newDataPath(t, fabric.Options{Seed: 3}, "a", "b")
		f := must(p.client.Feed(p.ctx, "/sequence", ""))
		old, next := p.readUntilMoved(f, 1, nil)
		old.listener.SetDraining(true)
		close(old.drainNotice)
		_, next = p.readUntilMoved(f, next, old)
		p.read(f, next, 500)
	})
	t.Run("a feed of a killed agent is reset and continues at another agent", func(t *testing.T) {
		p := newDataPath(t, fabric.Options{Seed: 4}, "a", "b")
		f := must(p.client.Feed(p.ctx, "/sequence", ""))
		old, next := p.readUntilMoved(f, 1, nil)
		start := time.Now()
		if err := old.listener.Close(); err != nil {
			t.Fatal(err)
		}
		_, next = p.readUntilMoved(f, next, old)
		t.Logf("the feed continued at another agent after %v", time.Since(start).Round(time.Millisecond))
		p.read(f, next, 100)
	})
}
