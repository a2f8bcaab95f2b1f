package balancer

import (
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
)

// forwarder forwards datagrams from one socket of a published address to the
// agents. It must be used by one goroutine only.
type forwarder struct {
	balancer  *Balancer
	published netip.AddrPort
	router    router
	tunnel    *batcher.Conn
	tally     tally
}

func (b *Balancer) newForwarder(published netip.AddrPort, tunnel *batcher.Conn) *forwarder {
	return &forwarder{
		balancer: b, published: published, router: router{decoder: b.marker.NewDecoder()},
		tunnel: tunnel,
	}
}

// run forwards datagrams until the socket is closed.
func (f *forwarder) run(conn *batcher.Conn) {
	reader := conn.NewReader(f.balancer.pool)
	for {
		batch, err := reader.Read()
		if err != nil {
			f.balancer.logReadError(conn, err)
			return
		}
		f.processBatch(batch, time.Now())
		f.tally.addFlush(batch.Writer().Flush(f.tunnel))
		f.balancer.counters.add(&f.tally)
		f.balancer.pool.Put(batch)
	}
}

// processBatch selects the target of each datagram of a batch, prepends the
// tunnel header and adds the result to the batch's writer.
func (f *forwarder) processBatch(batch *batcher.Batch, now time.Time) {
	t := f.balancer.table.Load()
	a := t.addresses[f.published]
	if a == nil {
		f.tally[dropUnknownAddress] += uint64(batch.Len())
		return
	}
	header := tunneler.Header{
		Destination: f.published, Revision: t.revision,
		Incarnation: f.balancer.options.Incarnation,
	}
	common := f.balancer.commonFlags()
	for i := range batch.Len() {
		if batch.IsTruncated(i) {
			f.tally[dropTooLarge]++
			continue
		}
		packet := batch.Payload(i)
		to, flags, result := f.router.route(t, a, packet)
		if to == nil {
			f.tally[result]++
			continue
		}
		header.Source, header.Service, header.Flags = batch.Source(i), to.service, flags|common
		size := header.Size()
		if tunneler.PacketSize(to.address.Addr(), size+len(packet)) > f.balancer.options.MTU {
			f.tally[dropTooLarge]++
			continue
		}
		datagram := batch.WithHeadroom(i, size)
		f.balancer.codec.AppendHeader(datagram[:0], header)
		batch.Writer().Add(datagram, &to.sockaddr)
		to.state.peer.RecordForwarded(now)
		f.tally[result]++
	}
}

// returner forwards datagrams from one tunnel socket to the callers and answers
// probes. It must be used by one goroutine only.
type returner struct {
	balancer *Balancer
	index    int
	writer   *batcher.Writer // of the current batch
	// conn is the socket that the datagrams in the writer are sent from.
	conn  *batcher.Conn
	tally tally
}

func (b *Balancer) newReturner(index int) *returner {
	return &returner{balancer: b, index: index}
}

// run forwards datagrams until the socket is closed.
func (r *returner) run(tunnel *batcher.Conn) {
	reader := tunnel.NewReader(r.balancer.pool)
	reader.OnUnreachable(r.balancer.probeUnreachableAddress)
	for {
		batch, err := reader.Read()
		if err != nil {
			r.balancer.logReadError(tunnel, err)
			return
		}
		r.processBatch(batch, tunnel, time.Now())
		r.flush()
		r.balancer.counters.add(&r.tally)
		r.balancer.pool.Put(batch)
	}
}

// processBatch decodes the datagrams of a batch, updates the state of the targets
// that sent them, handles control messages and adds the datagrams for callers to
// the batch's writer.
func (r *returner) processBatch(batch *batcher.Batch, tunnel *batcher.Conn, now time.Time) {
	t := r.balancer.table.Load()
	r.writer = batch.Writer()
	for i := range batch.Len() {
		if batch.IsTruncated(i) {
			r.tally[dropTruncated]++
			continue
		}
		header, payload, err := r.balancer.codec.Decode(batch.Payload(i))
		if err != nil {
			r.tally[dropTunnelInvalid]++
			continue
		}
		from := t.sources[batch.Source(i)]
		if from != nil {
			from.state.recordHeader(now, header.Incarnation, header.Flags.Has(tunneler.FlagDraining))
		}
		if header.IsLocal() {
			r.handleLocal(header, batch.Source(i), tunnel)
			continue
		}
		r.addReturn(t, from, header, payload)
	}
}

// addReturn adds one datagram for a caller. A known target may only send for its
// own service, but also from a published address that was moved to another
// service after the flow was opened. A target that is not in the table yet may
// only use the addresses of its service.
func (r *returner) addReturn(t *table, from *target, header tunneler.Header, payload []byte) {
	if !header.Flags.Has(tunneler.FlagTowardCaller) {
		r.tally[dropTunnelDirection]++
		return
	}
	a := t.addresses[header.Destination]
	if a == nil || len(a.conns) == 0 {
		r.tally[dropUnknownAddress]++
		return
	}
	owner := a.service.number
	if from != nil {
		owner = from.service
	}
	if header.Service != owner {
		r.tally[dropReturnService]++
		return
	}
	if len(payload) == 0 {
		r.tally[dropEmpty]++
		return
	}
	conn := a.conns[r.index%len(a.conns)]
	if r.conn != conn {
		r.flush()
		r.conn = conn
	}
	to := batcher.NewSockaddr(header.Source)
	r.writer.Add(payload, &to)
	r.tally[returned]++
}

func (r *returner) flush() {
	if r.writer.Len() > 0 {
		r.tally.addFlush(r.writer.Flush(r.conn))
	}
}

// handleLocal answers a probe of an agent, counts answers to this balancer's
// probes and probes a target that another balancer suspects to be down.
func (r *returner) handleLocal(header tunneler.Header, from netip.AddrPort, tunnel *batcher.Conn) {
	switch {
	case header.Flags.Has(tunneler.FlagProbeAnswer):
		r.tally[probeConfirmed]++
		return
	case header.Flags.Has(tunneler.FlagSuspect):
		r.tally[suspectReceived]++
		r.balancer.probeSuspectedTarget(header.Target)
		return
	case !header.Flags.Has(tunneler.FlagProbe):
		return
	}
	if err := r.balancer.sendLocal(tunnel, from, tunneler.FlagProbeAnswer); err != nil {
		r.tally[dropSendFailed]++
		return
	}
	r.tally[probeAnswered]++
}
