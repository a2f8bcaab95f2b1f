package fabric

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// listener receives datagrams sent to one published address.
type listener struct {
	fabric    *Fabric
	conn      *net.UDPConn
	published netip.AddrPort
	mutex     sync.Mutex
	callers   map[netip.AddrPort]*caller
	closed    bool
}

// caller is the socket that represents one caller to the balancers.
type caller struct {
	listener *listener
	address  netip.AddrPort
	conn     *net.UDPConn
	lastUsed atomic.Int64

	toBalancer reorderer
	toCaller   reorderer
}

// run receives the datagrams of all callers until the socket is closed.
func (l *listener) run() {
	b := make([]byte, datagramSize)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		c := l.openCaller(unmap(from))
		if c == nil {
			l.fabric.dropped.Add(1)
			continue
		}
		c.lastUsed.Store(time.Now().UnixNano())
		c.spray(b[:n])
	}
}

// openCaller returns the socket of a caller and opens it with the caller's first
// datagram. It returns nil above Options.MaxCallers or if the socket can't be
// opened.
func (l *listener) openCaller(address netip.AddrPort) *caller {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c := l.callers[address]; c != nil {
		return c
	}
	if l.closed || len(l.callers) >= l.fabric.options.MaxCallers {
		return nil
	}
	local := netip.IPv6Loopback()
	if l.published.Addr().Is4() {
		local = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return nil
	}
	_ = conn.SetReadBuffer(socketBuffer)
	c := &caller{listener: l, address: address, conn: conn}
	c.toBalancer.fabric, c.toCaller.fabric = l.fabric, l.fabric
	l.callers[address] = c
	l.fabric.workers.Go(c.run)
	return c
}

// closeIdle closes the sockets that were unused for Options.IdleTimeout.
func (l *listener) closeIdle(now time.Time) {
	limit := now.Add(-l.fabric.options.IdleTimeout).UnixNano()
	l.closeCallers(func(c *caller) bool { return c.lastUsed.Load() < limit })
}

func (l *listener) closeCallers(where func(*caller) bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = l.closed || l.fabric.isStopped()
	for a, c := range l.callers {
		if where(c) {
			_ = c.conn.Close()
			delete(l.callers, a)
		}
	}
}

// spray sends a datagram and its copies, each to a random balancer.
func (c *caller) spray(b []byte) {
	f := c.listener.fabric
	copies := 1
	for i := 0; i < copies; i++ {
		balancer, ok := f.pickBalancer()
		var to netip.AddrPort
		if ok {
			to, ok = balancer.bound(c.listener.published)
		}
		if !ok {
			f.dropped.Add(1)
			return
		}
		link := Link{caller: c.address, published: c.listener.published, balancer: balancer.name}
		if i == 0 && f.options.Duplicate != nil {
			extra := f.options.Duplicate(link)
			copies += extra
			f.duplicated.Add(uint64(extra))
		}
		f.transmit(link, b, func(b []byte) {
			c.toBalancer.send(link, b, func(b []byte) {
				if _, err := c.conn.WriteToUDPAddrPort(b, to); err == nil {
					f.sprayed.Add(1)
				}
			})
		})
	}
}

// run forwards what balancers send to the caller until the socket is closed.
func (c *caller) run() {
	f := c.listener.fabric
	b := make([]byte, datagramSize)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		c.lastUsed.Store(time.Now().UnixNano())
		link := Link{
			caller: c.address, published: c.listener.published,
			balancer: f.findBalancerName(c.listener.published, unmap(from)), towardCaller: true,
		}
		copies := 1
		if f.options.Duplicate != nil {
			extra := f.options.Duplicate(link)
			copies += extra
			f.duplicated.Add(uint64(extra))
		}
		for range copies {
			f.transmit(link, b[:n], func(b []byte) {
				c.toCaller.send(link, b, func(b []byte) {
					if _, err := c.listener.conn.WriteToUDPAddrPort(b, c.address); err == nil {
						f.returned.Add(1)
					}
				})
			})
		}
	}
}

// reorderer holds back at most one datagram, so that the next one is sent before
// it.
type reorderer struct {
	fabric *Fabric
	mutex  sync.Mutex
	held   func()
}

// send sends a datagram, or holds it back until the next one has been sent or
// Options.ReorderWait has passed.
func (r *reorderer) send(l Link, b []byte, send func([]byte)) {
	reorder := r.fabric.options.Reorder
	if reorder == nil {
		send(b)
		return
	}
	if r.isEmpty() && reorder(l) {
		r.hold(b, send)
		return
	}
	send(b)
	r.release()
}

func (r *reorderer) isEmpty() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.held == nil
}

func (r *reorderer) hold(b []byte, send func([]byte)) {
	r.fabric.reordered.Add(1)
	held := append([]byte(nil), b...)
	var once sync.Once
	release := func() { once.Do(func() { send(held) }) }
	r.mutex.Lock()
	r.held = release
	r.mutex.Unlock()
	r.fabric.sendLater(r.fabric.options.ReorderWait, nil, func([]byte) {
		r.mutex.Lock()
		r.held = nil
		r.mutex.Unlock()
		release()
	})
}

func (r *reorderer) release() {
	r.mutex.Lock()
	held := r.held
	r.held = nil
	r.mutex.Unlock()
	if held != nil {
		held()
	}
}
