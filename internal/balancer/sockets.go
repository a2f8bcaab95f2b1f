package balancer

import (
	"context"
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// Intervals at which the table is rebuilt without a new snapshot: the shorter one
// after an address could not be bound, the longer one to remove retired targets
// whose lifetime has passed.
const (
	bindRetryInterval = time.Second
	rebuildInterval   = time.Minute
)

// applySnapshot binds the new addresses of a snapshot, publishes the new table and
// closes the sockets of addresses that were removed.
func (b *Balancer) applySnapshot(s *cataloger.Snapshot, now time.Time) {
	t := b.buildTable(s, now)
	b.current, b.rebuildAt = s, now.Add(rebuildInterval)
	var opened []netip.AddrPort
	for p, a := range t.addresses {
		if b.publishedConns[p] == nil {
			if b.bindPublished(p, len(t.addresses)) {
				opened = append(opened, p)
			} else {
				b.rebuildAt = now.Add(bindRetryInterval)
			}
		}
		a.conns = b.publishedConns[p]
	}
	b.table.Store(t)
	if b.started.Load() {
		for _, p := range opened {
			b.startForwarders(p, b.publishedConns[p])
		}
	}
	for p, conns := range b.publishedConns {
		if t.addresses[p] == nil {
			closeAll(conns)
			delete(b.publishedConns, p)
			b.options.Logger.Info().Stringer("published_address", p).Msg("address removed")
		}
	}
}

// bindPublished opens the sockets of a published address and reports whether all
// of them were bound. The caller retries after bindRetryInterval.
func (b *Balancer) bindPublished(published netip.AddrPort, addresses int) bool {
	local := b.options.BindAddress(published)
	var conns []*batcher.Conn
	for range b.options.socketsFor(addresses) {
		conn, err := batcher.Listen(context.Background(), local)
		if err != nil {
			closeAll(conns)
			b.options.Logger.Error().Err(err).Stringer("published_address", published).
				Stringer("address", local).Msg("failed to bind address")
			return false
		}
		local = conn.LocalAddrPort()
		conns = append(conns, conn)
	}
	b.publishedConns[published] = conns
	b.options.Logger.Info().Stringer("published_address", published).Stringer("address", local).Msg("address bound")
	return true
}

// startForwarders starts one goroutine for each socket of an address.
func (b *Balancer) startForwarders(published netip.AddrPort, conns []*batcher.Conn) {
	for i, c := range conns {
		tunnel := b.tunnelConns[i%len(b.tunnelConns)]
		b.workers.Go(func() { b.newForwarder(published, tunnel).run(c) })
	}
}
