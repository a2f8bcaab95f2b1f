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
	// senderCount senders are enough to saturate one core of a forwarder.
	senderCount = 3
	// keepAliveInterval is the time between two keep-alive messages of each
	// target.
	keepAliveInterval = 50 * time.Millisecond
	warmUp            = 300 * time.Millisecond
)

// loadGenerator sends packets to a forwarder and receives those that it
// forwards.
type loadGenerator struct {
	seed          uint64
	packetBytes   int
	connectionIDs []byte
	codec         *tunneler.Codec
	targets       []*sink
	cancel        context.CancelFunc
	workers       sync.WaitGroup
}

func newLoadGenerator(seed uint64, flows, size int) (*loadGenerator, error) {
	ring, err := newKeyRing()
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
	l := &loadGenerator{seed: seed, packetBytes: max(size, 1+marker.Size), codec: codec, connectionIDs: make([]byte, 0, flows*marker.Size)}
	for i := range flows {
		l.connectionIDs = marks.Encode(l.connectionIDs, marker.NewMark(uint32(1+i%targetCount), 1, serviceNumber, uint32(i)))
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

func (l *loadGenerator) close() {
	l.cancel()
	l.workers.Wait()
	for _, t := range l.targets {
		t.close()
	}
}

func (l *loadGenerator) received() (sum uint64) {
	for _, t := range l.targets {
		sum += t.received.Load()
	}
	return sum
}

// run starts a forwarder, puts load on it for runTime and returns its result.
func (l *loadGenerator) run(ctx context.Context, kind string, runTime time.Duration) (result, error) {
	var addresses []string
	for _, t := range l.targets {
		addresses = append(addresses, t.address.String())
	}
	program, err := os.Executable()
	if err != nil {
		return result{}, err
	}
	child := exec.CommandContext(ctx, program, childArgument, "-kind", kind, "-targets", strings.Join(addresses, ","))
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	if err != nil {
		return result{}, err
	}
	out, err := child.StdoutPipe()
	if err != nil {
		return result{}, err
	}
	if err := child.Start(); err != nil {
		return result{}, err
	}
	r, err := l.measureUsage(ctx, in, json.NewDecoder(bufio.NewReader(out)), runTime)
	_ = in.Close()
	if failure := child.Wait(); err == nil {
		err = failure
	}
	r.Kind = kind
	return r, err
}

// measureUsage sends packets to a forwarder and returns the difference of its
// usage before and after runTime.
func (l *loadGenerator) measureUsage(ctx context.Context, in io.Writer, out *json.Decoder, runTime time.Duration) (result, error) {
	var addresses listenAddresses
	if err := out.Decode(&addresses); err != nil {
		return result{}, fmt.Errorf("start forwarder: %w", err)
	}
	to, tunnel := netip.MustParseAddrPort(addresses.Address), netip.MustParseAddrPort(addresses.Tunnel)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var senders sync.WaitGroup
	defer senders.Wait()
	defer cancel()
	for i := range senderCount {
		conn, err := batcher.Listen(ctx, loopback)
		if err != nil {
			return result{}, err
		}
		senders.Go(func() {
			defer func() { _ = conn.Close() }()
			l.send(ctx, conn, to, uint64(i))
		})
	}
	senders.Go(func() { l.keepAlive(ctx, tunnel) })
	time.Sleep(warmUp)
	before, err := readUsage(in, out)
	if err != nil {
		return result{}, err
	}
	receivedBefore := l.received()
	time.Sleep(runTime)
	after, err := readUsage(in, out)
	if err != nil {
		return result{}, err
	}
	r := result{
		Packets: after.Packets - before.Packets, CPUSeconds: after.CPUSeconds - before.CPUSeconds,
		Received: l.received() - receivedBefore, HeapBytes: after.HeapBytes, Mallocs: after.Mallocs - before.Mallocs,
	}
	r.PacketsPerCore = float64(r.Packets) / r.CPUSeconds
	return r, nil
}

func readUsage(in io.Writer, out *json.Decoder) (usage, error) {
	var u usage
	if _, err := fmt.Fprintln(in, "usage"); err != nil {
		return u, err
	}
	err := out.Decode(&u)
	return u, err
}

// send sends short-header QUIC packets of random flows as fast as possible.
func (l *loadGenerator) send(ctx context.Context, conn *batcher.Conn, to netip.AddrPort, stream uint64) {
	random := rand.New(rand.NewPCG(l.seed, stream))
	destination, writer := batcher.NewSockaddr(to), batcher.NewWriter(batchSize)
	buffer := make([]byte, batchSize*l.packetBytes)
	flows := len(l.connectionIDs) / marker.Size
	for ctx.Err() == nil {
		for i := range batchSize {
			packet := buffer[i*l.packetBytes : (i+1)*l.packetBytes]
			n := random.IntN(flows) * marker.Size
			packet[0] = 0x40
			copy(packet[1:], l.connectionIDs[n:n+marker.Size])
			writer.Add(packet, &destination)
		}
		writer.Flush(conn)
	}
}

// keepAlive sends probe answers of all targets to the balancer, which otherwise
// considers the targets down.
func (l *loadGenerator) keepAlive(ctx context.Context, tunnel netip.AddrPort) {
	ticker := time.NewTicker(keepAliveInterval)
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
