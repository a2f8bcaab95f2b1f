package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/balancer"
	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
)

const (
	kindBare     = "bare"
	kindBalancer = "balancer"

	serviceNumber = 7
	batchSize     = 64
)

var (
	loopback  = netip.MustParseAddrPort("127.0.0.1:0")
	published = netip.MustParseAddrPort("198.18.0.1:443")
)

// ready tells the parent where the forwarder listens.
type ready struct {
	Address string `json:"address"`
	Tunnel  string `json:"tunnel"`
}

// usage tells the parent what the forwarder did between two of its requests.
type usage struct {
	Packets    uint64  `json:"packets"`
	CPUSeconds float64 `json:"cpu_seconds"`
	HeapBytes  uint64  `json:"heap_bytes"`
	Mallocs    uint64  `json:"mallocs"`
}

// forwarder is one kind of the comparison.
type forwarder struct {
	ready   ready
	packets func() uint64
	stop    func()
}

// runForwarder is the child process: it forwards, reports its usage for each
// line that it reads and stops at the end of the input.
func runForwarder(arguments []string, in io.Reader, out io.Writer) error {
	flags := flag.NewFlagSet(childArgument, flag.ContinueOnError)
	kind := flags.String("kind", kindBare, "bare or balancer")
	list := flags.String("targets", "", "addresses of the targets")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	var targets []netip.AddrPort
	for _, text := range strings.Split(*list, ",") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		targets = append(targets, address)
	}
	start := startBare
	if *kind == kindBalancer {
		start = startBalancer
	}
	f, err := start(targets)
	if err != nil {
		return err
	}
	defer f.stop()
	encoder := json.NewEncoder(out)
	if err := encoder.Encode(f.ready); err != nil {
		return err
	}
	var line string
	for {
		if _, err := fmt.Fscanln(in, &line); err != nil {
			return nil
		}
		if err := encoder.Encode(f.usage()); err != nil {
			return err
		}
	}
}

func (f *forwarder) usage() usage {
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		Packets: f.packets(), HeapBytes: m.HeapAlloc, Mallocs: m.Mallocs,
		CPUSeconds: float64(r.Utime.Nano()+r.Stime.Nano()) / 1e9,
	}
}

// bare forwards without looking at the packets: those of callers to the targets
// in turn, and those of targets to the caller that spoke last. It waits at the
// same sockets as the balancer, because Go's poller charges a process for
// events at a busy socket as soon as a goroutine waits at another one.
type bare struct {
	from, to *batcher.Conn
	pool     *batcher.Pool
	targets  []batcher.Sockaddr
	caller   atomic.Pointer[batcher.Sockaddr]
	packets  atomic.Uint64
	workers  sync.WaitGroup
}

func startBare(targets []netip.AddrPort) (*forwarder, error) {
	b := &bare{pool: batcher.NewPool(batchSize, balancer.DefaultMTU+1, tunneler.MaxHeaderSize)}
	for _, t := range targets {
		b.targets = append(b.targets, batcher.NewSockaddr(t))
	}
	var err error
	if b.from, err = batcher.Listen(context.Background(), loopback); err != nil {
		return nil, err
	}
	if b.to, err = batcher.Listen(context.Background(), loopback); err != nil {
		return nil, err
	}
	b.workers.Go(b.forward)
	b.workers.Go(b.giveBack)
	return &forwarder{
		ready:   ready{Address: b.from.LocalAddrPort().String(), Tunnel: b.to.LocalAddrPort().String()},
		packets: b.packets.Load,
		stop: func() {
			_ = b.from.Close()
			_ = b.to.Close()
			b.workers.Wait()
		},
	}, nil
}

func (b *bare) forward() {
	reader := b.from.NewReader(b.pool)
	for n := 0; ; {
		batch, err := reader.Read()
		if err != nil {
			return
		}
		writer := batch.Writer()
		if b.caller.Load() == nil {
			caller := batcher.NewSockaddr(batch.Source(0))
			b.caller.Store(&caller)
		}
		for i := range batch.Len() {
			writer.Add(batch.Payload(i), &b.targets[n%len(b.targets)])
			n++
		}
		sent := writer.Len()
		failed, excess := writer.Flush(b.to)
		b.packets.Add(uint64(sent - failed - excess))
		b.pool.Put(batch)
	}
}

func (b *bare) giveBack() {
	reader := b.to.NewReader(b.pool)
	for {
		batch, err := reader.Read()
		if err != nil {
			return
		}
		writer := batch.Writer()
		if caller := b.caller.Load(); caller != nil {
			for i := range batch.Len() {
				writer.Add(batch.Payload(i), caller)
			}
			writer.Flush(b.from)
		}
		b.pool.Put(batch)
	}
}

// startBalancer runs the product's balancer with one worker.
func startBalancer(targets []netip.AddrPort) (*forwarder, error) {
	ring, err := newRing()
	if err != nil {
		return nil, err
	}
	service := cataloger.ServiceSpec{Name: "measured", Number: serviceNumber, Addresses: []string{published.String()}}
	for i, t := range targets {
		service.Targets = append(service.Targets, cataloger.TargetSpec{
			Name: fmt.Sprint(i), Number: uint32(i + 1), TunnelAddress: t.String(), ControlAddress: t.String(),
		})
	}
	snapshot, err := cataloger.NewSnapshot(cataloger.FleetSpec{Revision: 1, Services: []cataloger.ServiceSpec{service}}, nil)
	if err != nil {
		return nil, err
	}
	b, err := balancer.NewBalancer(balancer.Options{
		Ring: ring, Snapshot: func() *cataloger.Snapshot { return snapshot },
		BindAddress:   func(netip.AddrPort) netip.AddrPort { return loopback },
		TunnelAddress: loopback, Incarnation: 1, SocketsPerAddress: 1, Logger: zerolog.Nop(),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var worker sync.WaitGroup
	worker.Go(func() { _ = b.Run(ctx) })
	bound, ok := b.BoundAddress(published)
	if !ok {
		cancel()
		worker.Wait()
		return nil, fmt.Errorf("bind published address %s", published)
	}
	return &forwarder{
		ready: ready{Address: bound.String(), Tunnel: b.TunnelAddress().String()},
		packets: func() uint64 {
			c := b.Counters()
			return c["forwarded_marked"] + c["forwarded_new"] - c["drop_send_failed"] - c["drop_send_excess"]
		},
		stop: func() {
			cancel()
			worker.Wait()
		},
	}, nil
}

// newRing returns the key ring of the measurement, which is no secret.
func newRing() (*deriver.KeyRing, error) {
	secret, err := deriver.NewSecret(1, make([]byte, deriver.MinSecretSize))
	if err != nil {
		return nil, err
	}
	return deriver.NewKeyRing(secret)
}
