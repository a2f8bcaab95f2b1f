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

// listenAddresses is the first message to the parent process: the addresses on
// which the forwarder listens.
type listenAddresses struct {
	Address string `json:"address"`
	Tunnel  string `json:"tunnel"`
}

// usage is the answer to a request of the parent process: the resources used
// and packets forwarded since the start of the forwarder.
type usage struct {
	Packets    uint64  `json:"packets"`
	CPUSeconds float64 `json:"cpu_seconds"`
	HeapBytes  uint64  `json:"heap_bytes"`
	Mallocs    uint64  `json:"mallocs"`
}

// forwarder is a running forwarder of either kind.
type forwarder struct {
	addresses listenAddresses
	packets   func() uint64
	stop      func()
}

// runForwarder runs the child process: it forwards packets, writes its usage
// for each line that it reads and stops at the end of the input.
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
	if err := encoder.Encode(f.addresses); err != nil {
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

// bareForwarder forwards packets without parsing them: those of callers to the
// targets in round-robin order, and those of targets to the first caller. It
// reads from the same sockets as the balancer, because Go's network poller
// charges a process for events at a busy socket as soon as a goroutine waits at
// another one.
type bareForwarder struct {
	callerConn, tunnelConn *batcher.Conn
	pool                   *batcher.Pool
	targets                []batcher.Sockaddr
	caller                 atomic.Pointer[batcher.Sockaddr]
	packets                atomic.Uint64
	workers                sync.WaitGroup
}

func startBare(targets []netip.AddrPort) (*forwarder, error) {
	b := &bareForwarder{pool: batcher.NewPool(batchSize, balancer.DefaultMTU+1, tunneler.MaxHeaderSize)}
	for _, t := range targets {
		b.targets = append(b.targets, batcher.NewSockaddr(t))
	}
	var err error
	if b.callerConn, err = batcher.Listen(context.Background(), loopback); err != nil {
		return nil, err
	}
	if b.tunnelConn, err = batcher.Listen(context.Background(), loopback); err != nil {
		return nil, err
	}
	b.workers.Go(b.forward)
	b.workers.Go(b.returnPackets)
	return &forwarder{
		addresses: listenAddresses{Address: b.callerConn.LocalAddrPort().String(), Tunnel: b.tunnelConn.LocalAddrPort().String()},
		packets:   b.packets.Load,
		stop: func() {
			_ = b.callerConn.Close()
			_ = b.tunnelConn.Close()
			b.workers.Wait()
		},
	}, nil
}

func (b *bareForwarder) forward() {
	reader := b.callerConn.NewReader(b.pool)
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
		failed, excess := writer.Flush(b.tunnelConn)
		b.packets.Add(uint64(sent - failed - excess))
		b.pool.Put(batch)
	}
}

func (b *bareForwarder) returnPackets() {
	reader := b.tunnelConn.NewReader(b.pool)
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
			writer.Flush(b.callerConn)
		}
		b.pool.Put(batch)
	}
}

// startBalancer runs a real balancer with one socket per address.
func startBalancer(targets []netip.AddrPort) (*forwarder, error) {
	ring, err := newKeyRing()
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
		addresses: listenAddresses{Address: bound.String(), Tunnel: b.TunnelAddress().String()},
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

// newKeyRing returns a key ring with an all-zero secret, which is shared by both
// processes.
func newKeyRing() (*deriver.KeyRing, error) {
	secret, err := deriver.NewSecret(1, make([]byte, deriver.MinSecretSize))
	if err != nil {
		return nil, err
	}
	return deriver.NewKeyRing(secret)
}
