package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	socketBuffer = 4 << 20
	datagramSize = 65536
)

// Fabric distributes each datagram to a random balancer.
type Fabric struct {
	options   Options
	listeners []*listener
	balancers atomic.Pointer[[]Balancer]
	delayed   atomic.Int64
	stop      chan struct{}
	workers   sync.WaitGroup
	timers    sync.WaitGroup

	randomMutex sync.Mutex
	random      *rand.Rand

	sprayed, returned, lost, duplicated, reordered, dropped atomic.Uint64
}

// NewFabric binds the published addresses. Run must be called to forward
// datagrams and to close the sockets.
func NewFabric(options Options) (*Fabric, error) {
	f := &Fabric{
		options: options.withDefaults(), random: rand.New(rand.NewPCG(options.Seed, 0)), stop: make(chan struct{}),
	}
	f.balancers.Store(&[]Balancer{})
	for _, a := range options.Addresses {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
		if err != nil {
			f.close()
			return nil, merry.Prependf(err, "bind published address %s", a)
		}
		_ = conn.SetReadBuffer(socketBuffer)
		_ = conn.SetWriteBuffer(socketBuffer)
		f.listeners = append(f.listeners, &listener{
			fabric: f, conn: conn, published: localAddress(conn), callers: make(map[netip.AddrPort]*caller),
		})
	}
	return f, nil
}

// Addresses returns the published addresses in the order of the options.
func (f *Fabric) Addresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, l := range f.listeners {
		addresses = append(addresses, l.published)
	}
	return addresses
}

// SetBalancers replaces the list of balancers. It may be called while the fabric
// runs.
func (f *Fabric) SetBalancers(balancers []Balancer) {
	list := append([]Balancer(nil), balancers...)
	f.balancers.Store(&list)
}

// Run forwards datagrams until the context ends, and closes the sockets then.
func (f *Fabric) Run(ctx context.Context) error {
	for _, l := range f.listeners {
		f.workers.Go(l.run)
	}
	sweep := time.NewTicker(f.options.IdleTimeout / 2)
	defer sweep.Stop()
	for {
		select {
		case now := <-sweep.C:
			for _, l := range f.listeners {
				l.closeIdle(now)
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	close(f.stop)
	f.close()
	f.workers.Wait()
	f.timers.Wait()
	return nil
}

func (f *Fabric) close() {
	for _, l := range f.listeners {
		_ = l.conn.Close()
		l.closeCallers(func(*caller) bool { return true })
	}
}

// Counters returns the counts since the start.
func (f *Fabric) Counters() Counters {
	return Counters{
		Sprayed: f.sprayed.Load(), Returned: f.returned.Load(), Lost: f.lost.Load(),
		Duplicated: f.duplicated.Load(), Reordered: f.reordered.Load(), Dropped: f.dropped.Load(),
	}
}

// pickBalancer returns a random balancer of the list.
func (f *Fabric) pickBalancer() (Balancer, bool) {
	list := *f.balancers.Load()
	if len(list) == 0 {
		return Balancer{}, false
	}
	f.randomMutex.Lock()
	defer f.randomMutex.Unlock()
	return list[f.random.IntN(len(list))], true
}

// findBalancerName returns the name of the balancer that has bound an address
// for a published one, or an empty string.
func (f *Fabric) findBalancerName(published, bound netip.AddrPort) string {
	for _, b := range *f.balancers.Load() {
		if a, ok := b.bound(published); ok && a == bound {
			return b.name
		}
	}
	return ""
}

// transmit applies loss and delay of a link to a datagram and passes it to send.
// A delayed datagram is copied, so the buffer may be reused.
func (f *Fabric) transmit(l Link, b []byte, send func([]byte)) {
	if f.options.Lose != nil && f.options.Lose(l) {
		f.lost.Add(1)
		return
	}
	wait := time.Duration(0)
	if f.options.Delay != nil {
		wait = f.options.Delay(l)
	}
	if wait <= 0 {
		send(b)
		return
	}
	f.sendLater(wait, b, send)
}

// sendLater passes a copy of a datagram to send after a delay. Datagrams that
// still wait when the fabric stops are discarded.
func (f *Fabric) sendLater(wait time.Duration, b []byte, send func([]byte)) {
	if f.delayed.Add(1) > int64(f.options.MaxDelayed) {
		f.delayed.Add(-1)
		f.dropped.Add(1)
		return
	}
	held := append([]byte(nil), b...)
	f.timers.Go(func() {
		defer f.delayed.Add(-1)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
			send(held)
		case <-f.stop:
		}
	})
}

func (f *Fabric) isStopped() bool {
	select {
	case <-f.stop:
		return true
	default:
		return false
	}
}

func localAddress(conn *net.UDPConn) netip.AddrPort {
	a := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
