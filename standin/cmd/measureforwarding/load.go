package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

const (
	targetCount = 7
	// senderCount is enough to keep one core of a forwarder busy.
	senderCount = 3
	// aliveInterval is the time between two signs of life of each target.
	aliveInterval = 50 * time.Millisecond
	warmUp        = 300 * time.Millisecond
)

// load is the sender and the receiver around a forwarder.
type load struct {
	seed    uint64
	size    int
	ids     []byte
	codec   *tunneler.Codec
	targets []*sink
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

func newLoad(seed uint64, flows, size int) (*load, error) {
	ring, err := newRing()
	if err != nil {
		return nil, err
	}
	marks, err := marker.NewMarker(ring)
	if err != nil {
		return nil, err
	}
	codec, err := tunneler.NewCodec(ring)
	if err != nil {
		return nil, err
	}
	l := &load{seed: seed, size: max(size, 1+marker.Size), codec: codec, ids: make([]byte, 0, flows*marker.Size)}
	for i := range flows {
		l.ids = marks.Encode(l.ids, marker.NewMark(uint32(1+i%targetCount), 1, serviceNumber, uint32(i)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for range targetCount {
		target, err := newSink()
		if err != nil {
			l.close()
			return nil, err
		}
		l.targets = append(l.targets, target)
		l.workers.Go(func() { target.run(ctx) })
	}
	return l, nil
}

func (l *load) close() {
	l.cancel()
	l.workers.Wait()
	for _, t := range l.targets {
		t.close()
	}
}

func (l *load) received() (sum uint64) {
	for _, t := range l.targets {
		sum += t.received.Load()
	}
	return sum
}

// run starts a forwarder, loads it for a time and returns what it did.
func (l *load) run(ctx context.Context, kind string, runTime time.Duration) (run, error) {
	var addresses []string
	for _, t := range l.targets {
		addresses = append(addresses, t.address.String())
	}
	program, err := os.Executable()
	if err != nil {
		return run{}, err
	}
	child := exec.CommandContext(ctx, program, childArgument, "-kind", kind, "-targets", strings.Join(addresses, ","))
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	if err != nil {
		return run{}, err
	}
	out, err := child.StdoutPipe()
	if err != nil {
		return run{}, err
	}
	if err := child.Start(); err != nil {
		return run{}, err
	}
	r, err := l.drive(ctx, in, json.NewDecoder(bufio.NewReader(out)), runTime)
	_ = in.Close()
	if failure := child.Wait(); err == nil {
		err = failure
	}
	r.Kind = kind
	return r, err
}

// drive sends packets and asks the forwarder for its usage before and after.
func (l *load) drive(ctx context.Context, in io.Writer, out *json.Decoder, runTime time.Duration) (run, error) {
	var where ready
	if err := out.Decode(&where); err != nil {
		return run{}, fmt.Errorf("start forwarder: %w", err)
	}
	to, tunnel := netip.MustParseAddrPort(where.Address), netip.MustParseAddrPort(where.Tunnel)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var senders sync.WaitGroup
	defer senders.Wait()
	defer cancel()
	for i := range senderCount {
		conn, err := batcher.Listen(ctx, loopback)
		if err != nil {
			return run{}, err
		}
		senders.Go(func() {
			defer func() { _ = conn.Close() }()
			l.send(ctx, conn, to, uint64(i))
		})
	}
	senders.Go(func() { l.keepAlive(ctx, tunnel) })
	time.Sleep(warmUp)
	before, err := ask(in, out)
	if err != nil {
		return run{}, err
	}
	receivedBefore := l.received()
	time.Sleep(runTime)
	after, err := ask(in, out)
	if err != nil {
		return run{}, err
	}
	r := run{
		Packets: after.Packets - before.Packets, CPUSeconds: after.CPUSeconds - before.CPUSeconds,
		Received: l.received() - receivedBefore, HeapBytes: after.HeapBytes, Mallocs: after.Mallocs - before.Mallocs,
	}
	r.PacketsPerCore = float64(r.Packets) / r.CPUSeconds
	return r, nil
}

func ask(in io.Writer, out *json.Decoder) (usage, error) {
	var u usage
	if _, err := fmt.Fprintln(in, "usage"); err != nil {
		return u, err
	}
	err := out.Decode(&u)
	return u, err
}

// send sends short-header packets of random flows as fast as it can.
func (l *load) send(ctx context.Context, conn *batcher.Conn, to netip.AddrPort, stream uint64) {
	random := rand.New(rand.NewPCG(l.seed, stream))
	destination, writer := batcher.NewSockaddr(to), batcher.NewWriter(batchSize)
	buffer := make([]byte, batchSize*l.size)
	flows := len(l.ids) / marker.Size
	for ctx.Err() == nil {
		for i := range batchSize {
			packet := buffer[i*l.size : (i+1)*l.size]
			n := random.IntN(flows) * marker.Size
			packet[0] = 0x40
			copy(packet[1:], l.ids[n:n+marker.Size])
			writer.Add(packet, &destination)
		}
		writer.Flush(conn)
	}
}

// keepAlive lets the targets speak to the balancer, which would take them as
// down otherwise.
func (l *load) keepAlive(ctx context.Context, tunnel netip.AddrPort) {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	message := l.codec.Encode(nil, tunneler.Header{Flags: tunneler.FlagProbeAnswer, Incarnation: 1}, nil)
	for {
		for _, t := range l.targets {
			t.send(message, tunnel)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
