package balancer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"

	"kingcupvalve.example/kingcupvalve/detector"
	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

// Balancer forwards datagrams between callers and agents.
type Balancer struct {
	options        Options
	marker         *marker.Marker
	codec          *tunneler.Codec
	pool           *batcher.Pool
	detector       *detector.Detector
	counters       counters
	suspectLimiter *rate.Limiter
	table          atomic.Pointer[table]
	leaving        atomic.Bool
	tunnelConns    []*batcher.Conn

	// pendingSnapshot is the newest snapshot that Run has not applied yet.
	pendingSnapshot atomic.Pointer[cataloger.Snapshot]
	snapshotChanged chan struct{}
	stop            chan struct{}
	stopOnce        sync.Once
	started         atomic.Bool
	done            chan struct{}
	workers         sync.WaitGroup

	// The fields below are accessed only by the goroutine of Run.
	targetStates   map[uint32]*targetState
	publishedConns map[netip.AddrPort][]*batcher.Conn
	current        *cataloger.Snapshot
	rebuildAt      time.Time
}

// NewBalancer binds the tunnel address and the published addresses of the
// current snapshot. Run must be called to forward packets and, when it returns,
// to close the sockets.
func NewBalancer(options Options) (*Balancer, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	marks, err := marker.NewMarker(options.Ring)
	if err != nil {
		return nil, err
	}
	codec, err := tunneler.NewCodec(options.Ring)
	if err != nil {
		return nil, err
	}
	options.Detector.Epoch = time.Now()
	b := &Balancer{
		options: options, marker: marks, codec: codec,
		pool:            batcher.NewPool(batchSize, options.MTU+1, tunneler.MaxHeaderSize),
		detector:        detector.NewDetector(options.Detector),
		snapshotChanged: make(chan struct{}, 1),
		stop:            make(chan struct{}),
		suspectLimiter:  rate.NewLimiter(rate.Every(suspectInterval), suspectBurst),
		done:            make(chan struct{}),
		targetStates:    make(map[uint32]*targetState),
		publishedConns:  make(map[netip.AddrPort][]*batcher.Conn),
	}
	b.table.Store(&table{})
	snapshot := options.Snapshot()
	if err := b.openTunnelConns(); err != nil {
		return nil, err
	}
	b.applySnapshot(snapshot, time.Now())
	return b, nil
}

// openTunnelConns opens the sockets for traffic with agents. They share one
// address by SO_REUSEPORT.
func (b *Balancer) openTunnelConns() error {
	local := b.options.TunnelAddress
	for range b.options.socketsFor(0) {
		conn, err := batcher.Listen(context.Background(), local)
		if err != nil {
			b.closeTunnelConns()
			return merry.Prepend(err, "bind tunnel address")
		}
		if err := conn.EnableICMPErrors(); err != nil {
			b.options.Logger.Warn().Err(err).Msg("failed to enable reporting of icmp errors")
		}
		local = conn.LocalAddrPort()
		b.tunnelConns = append(b.tunnelConns, conn)
	}
	return nil
}

func (b *Balancer) closeTunnelConns() {
	for _, c := range b.tunnelConns {
		_ = c.Close()
	}
}

// TunnelAddress returns the bound address for agents.
func (b *Balancer) TunnelAddress() netip.AddrPort { return b.tunnelConns[0].LocalAddrPort() }

// BoundAddress returns the local address that a published address is bound to,
// or false if it is not bound.
func (b *Balancer) BoundAddress(published netip.AddrPort) (netip.AddrPort, bool) {
	a := b.table.Load().addresses[published]
	if a == nil || len(a.conns) == 0 {
		return netip.AddrPort{}, false
	}
	return a.conns[0].LocalAddrPort(), true
}

// Run forwards packets until the context is cancelled or the grace period of
// Shutdown has passed. It may be called only once.
func (b *Balancer) Run(ctx context.Context) error {
	if !b.started.CompareAndSwap(false, true) {
		return merry.New("run balancer: already started")
	}
	defer close(b.done)
	for i, c := range b.tunnelConns {
		b.workers.Go(func() { b.newReturner(i).run(c) })
	}
	for p, conns := range b.publishedConns {
		b.startForwarders(p, conns)
	}
	if b.options.Subscribe != nil {
		b.options.Subscribe(b.enqueueSnapshot)
		b.enqueueSnapshot(b.options.Snapshot())
	}
	b.options.Logger.Info().Stringer("tunnel_address", b.TunnelAddress()).Msg("balancer started")
	b.runControlLoop(ctx)
	for _, conns := range b.publishedConns {
		closeAll(conns)
	}
	b.closeTunnelConns()
	b.workers.Wait()
	b.options.Logger.Info().Msg("balancer stopped")
	return nil
}

// runControlLoop applies new snapshots and, on each tick, sends the probes that
// are due and rebuilds the table if it is time to.
func (b *Balancer) runControlLoop(ctx context.Context) {
	ticker := time.NewTicker(b.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.stop:
			return
		case <-b.snapshotChanged:
			if s := b.pendingSnapshot.Swap(nil); s != nil {
				b.applySnapshot(s, time.Now())
			}
		case now := <-ticker.C:
			b.sendProbes(now)
			if !now.Before(b.rebuildAt) {
				b.applySnapshot(b.current, now)
			}
		}
	}
}

// enqueueSnapshot passes a snapshot to the control goroutine. It replaces a
// pending one that has not been applied yet.
func (b *Balancer) enqueueSnapshot(s *cataloger.Snapshot) {
	if s == nil {
		return
	}
	b.pendingSnapshot.Store(s)
	select {
	case b.snapshotChanged <- struct{}{}:
	default:
	}
}

// commonFlags returns the flags that are set in every header this balancer
// sends.
func (b *Balancer) commonFlags() tunneler.Flags {
	if b.leaving.Load() {
		return tunneler.FlagBalancerLeaving
	}
	return 0
}

func (b *Balancer) logReadError(conn *batcher.Conn, err error) {
	if errors.Is(err, net.ErrClosed) {
		return
	}
	b.options.Logger.Error().Err(err).Stringer("address", conn.LocalAddrPort()).Msg("failed to read from socket")
}

func closeAll(conns []*batcher.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
