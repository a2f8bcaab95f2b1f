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

// node is the transport of an agent with a handler instead of the agent role.
type node struct {
	listener *listener.Listener
	notice   chan struct{}
	served   atomic.Int64

	mutex   sync.Mutex
	servers []*http3.Server
}

// path is the whole data path in one process.
type path struct {
	t        *testing.T
	ring     *deriver.KeyRing
	fabric   *fabric.Fabric
	snapshot atomic.Pointer[cataloger.Snapshot]
	nodes    []*node
	workers  sync.WaitGroup
	ctx      context.Context
	entries  map[string]fabric.Balancer
	client   *caller.Client
}

func newPath(t *testing.T, faults fabric.Options, balancers ...string) *path {
	t.Helper()
	p := &path{t: t, entries: make(map[string]fabric.Balancer)}
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
		p.addNode(uint32(i+1), server)
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
		IdleTimeout: pathTimeout, // a killed agent's caller must learn of it by a stateless reset
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

func (p *path) addNode(number uint32, config *tls.Config) {
	n := &node{notice: make(chan struct{})}
	n.listener = must(listener.NewListener(listener.Options{
		Address: anyPort, Target: number, Incarnation: 100, Service: 7, Ring: p.ring,
		Snapshot: p.snapshot.Load, Logger: zerolog.Nop(),
	}))
	p.t.Cleanup(func() { _ = n.listener.Close() })
	accept := must(n.listener.Listen(config, &quic.Config{MaxIdleTimeout: pathTimeout}))
	p.workers.Go(func() { _ = n.listener.Run(p.ctx) })
	mux := http.NewServeMux()
	mux.HandleFunc("/sequence", n.serveSequence)
	mux.HandleFunc(caller.DrainPath, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-n.notice:
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
			n.mutex.Lock()
			n.servers = append(n.servers, server)
			n.mutex.Unlock()
			p.workers.Go(func() { _ = server.ServeQUICConn(conn) })
		}
	})
	p.nodes = append(p.nodes, n)
}

// serveSequence sends events every 2 ms after the last one that the caller has.
func (n *node) serveSequence(w http.ResponseWriter, r *http.Request) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; r.Context().Err() == nil; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: cut %d\n\n", i, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		n.served.Add(1)
		select {
		case <-ticker.C:
		case <-r.Context().Done():
		}
	}
}

// publish installs a snapshot with the nodes and balancers of now.
func (p *path) publish() {
	service := cataloger.ServiceSpec{
		Name: "cutlist-svc", Number: 7, Names: []string{"example.com"},
		Addresses: []string{p.fabric.Addresses()[0].String()},
	}
	for i, n := range p.nodes {
		service.Targets = append(service.Targets, cataloger.TargetSpec{
			Name: "t", Number: uint32(i + 1), TunnelAddress: n.listener.Address().String(), ControlAddress: "127.0.0.1:1",
		})
	}
	spec := cataloger.FleetSpec{Revision: p.snapshot.Load().Revision() + 1, Services: []cataloger.ServiceSpec{service}}
	p.snapshot.Store(must(cataloger.NewSnapshot(spec, nil)))
}

func (p *path) addBalancer(name string) *balancer.Balancer {
	b := must(balancer.NewBalancer(balancer.Options{
		Ring: p.ring, Snapshot: p.snapshot.Load, TunnelAddress: anyPort, Incarnation: 1, Grace: 50 * time.Millisecond,
		BindAddress: func(netip.AddrPort) netip.AddrPort { return anyPort }, Logger: zerolog.Nop(),
	}))
	p.workers.Go(func() { _ = b.Run(p.ctx) })
	p.entries[name] = fabric.NewBalancer(name, b.BoundAddress)
	return b
}

func (p *path) spray(names ...string) {
	var list []fabric.Balancer
	for _, n := range names {
		list = append(list, p.entries[n])
	}
	p.fabric.SetBalancers(list)
}

// read takes the next events of a feed, which must be complete and in order.
func (p *path) read(f *caller.Feed, from, count int) int {
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

// follow reads a feed until it is served by another node than the given one,
// and returns that node.
func (p *path) follow(f *caller.Feed, next int, old *node) (*node, int) {
	for {
		before := []int64{p.nodes[0].served.Load(), p.nodes[1].served.Load()}
		next = p.read(f, next, 20)
		for i, n := range p.nodes {
			if n != old && n.served.Load() > before[i] {
				return n, next
			}
		}
	}
}

func TestDataPath(t *testing.T) {
	t.Run("a feed survives the replacement of every balancer", func(t *testing.T) {
		p := newPath(t, fabric.Options{Seed: 1}, "a", "b", "c")
		f := must(p.client.Feed(p.ctx, "/sequence", ""))
		first, next := p.follow(f, 1, nil)
		p.addBalancer("d")
		p.addBalancer("e")
		for _, names := range [][]string{{"b", "c", "d"}, {"c", "d", "e"}, {"d", "e"}, {"e"}} {
			p.spray(names...)
			next = p.read(f, next, 100)
		}
		last, _ := p.follow(f, next, nil)
		is.New(t).Equal(last, first) // the flow itself survived, not only the feed
	})
	t.Run("a feed survives loss, duplication and reordering", func(t *testing.T) {
		var count atomic.Int64
		every := func(n int64) func(fabric.Link) bool { return func(fabric.Link) bool { return count.Add(1)%n == 0 } }
		p := newPath(t, fabric.Options{
			Seed: 2, Cut: every(50), Reorder: every(20),
			Duplicate: func(fabric.Link) int { return int(count.Add(1) % 10 / 9) },
		}, "a", "b")
		p.read(must(p.client.Feed(p.ctx, "/sequence", "")), 1, 1000)
	})
	t.Run("a feed leaves a draining agent without a gap", func(t *testing.T) {
		p := newPath(t, fabric.Options{Seed: 3}, "a", "b")
		f := must(p.client.Feed(p.ctx, "/sequence", ""))
		old, next := p.follow(f, 1, nil)
		old.listener.SetDraining(true)
		close(old.notice)
		_, next = p.follow(f, next, old)
		p.read(f, next, 500)
	})
	t.Run("the caller of a killed agent is told and goes on elsewhere", func(t *testing.T) {
		p := newPath(t, fabric.Options{Seed: 4}, "a", "b")
		f := must(p.client.Feed(p.ctx, "/sequence", ""))
		old, next := p.follow(f, 1, nil)
		start := time.Now()
		if err := old.listener.Close(); err != nil {
			t.Fatal(err)
		}
		_, next = p.follow(f, next, old)
		t.Logf("the feed went on elsewhere after %v", time.Since(start).Round(time.Millisecond))
		p.read(f, next, 100)
	})
}
