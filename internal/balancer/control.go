package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
)

// announceInterval is the time between two announcements of leaving. Three of
// them fit into the 1.2 s after which an agent gives up on a silent balancer.
const announceInterval = 400 * time.Millisecond

// Bounds of the announcements of targets that are down. One of them costs
// 150 KB with 1,500 balancers, so that a balancer that is cut off from many
// targets sends 15 KB/s on average. Without announcements the others learn of
// a target from their own traffic and from ICMP.
const (
	suspectInterval = 10 * time.Second
	suspectBurst    = 4
)

// sendLocal sends a header without addresses and payload.
func (b *Balancer) sendLocal(conn *batcher.Conn, to netip.AddrPort, flags tunneler.Flags) error {
	return b.sendHeader(conn, to, tunneler.Header{Flags: flags})
}

func (b *Balancer) sendHeader(conn *batcher.Conn, to netip.AddrPort, header tunneler.Header) error {
	header.Flags |= b.announcement()
	header.Incarnation, header.Revision = b.options.Incarnation, b.table.Load().revision
	message := b.codec.Encode(nil, header, nil)
	_, err := conn.WriteToUDPAddrPort(message, to)
	if err != nil {
		// The error may be left over from an ICMP error of another datagram.
		_, err = conn.WriteToUDPAddrPort(message, to)
	}
	if err != nil {
		return merry.Prepend(err, "send tunnel message")
	}
	return nil
}

// sendProbes sends the probes that are due.
func (b *Balancer) sendProbes(now time.Time) {
	t := b.table.Load()
	for _, p := range b.detector.Tick(now) {
		row := t.targets[p.Target()]
		if row == nil {
			continue
		}
		if err := b.sendLocal(b.tunnels[0], row.address, tunneler.FlagProbe); err != nil {
			b.counters.count(dropSendFailed, 1)
			continue
		}
		b.counters.count(probeSent, 1)
	}
	for _, n := range b.detector.TakeNewlyDown() {
		b.announceSuspect(t, n)
	}
}

// announceSuspect tells the other balancers that a target does not answer.
// With thousands of targets each balancer probes any one of them only now and
// then, so the first one to notice lets the others look at once. What they
// learn this way they don't pass on.
func (b *Balancer) announceSuspect(t *table, number uint32) {
	if !b.suspects.Allow() {
		b.counters.count(suspectWithheld, 1)
		return
	}
	for _, to := range t.balancers {
		header := tunneler.Header{Flags: tunneler.FlagSuspect, Target: number}
		if err := b.sendHeader(b.tunnels[0], to, header); err != nil {
			b.counters.count(dropSendFailed, 1)
			continue
		}
		b.counters.count(suspectSent, 1)
	}
}

// suspectTarget has a target probed at once.
func (b *Balancer) suspectTarget(number uint32) {
	if row := b.table.Load().targets[number]; row != nil {
		row.state.peer.Suspect()
	}
}

// suspectAddress has a target probed at once after an ICMP error about its
// tunnel address, which usually means that its agent was killed.
func (b *Balancer) suspectAddress(address netip.AddrPort) {
	b.counters.count(unreachableReported, 1)
	if row := b.table.Load().sources[address]; row != nil {
		row.state.peer.Suspect()
	}
}

// Shutdown announces to all agents that the balancer leaves, keeps forwarding
// for the grace time, so that the fabric and the agents can move on, and stops.
// It returns early with the context's error when the context ends.
func (b *Balancer) Shutdown(ctx context.Context) error {
	b.leaving.Store(true)
	b.options.Logger.Info().Dur("grace_ms", b.options.Grace).Msg("balancer leaving")
	defer b.stopOnce.Do(func() { close(b.stop) })
	grace := time.NewTimer(b.options.Grace)
	defer grace.Stop()
	announce := time.NewTicker(announceInterval)
	defer announce.Stop()
	for {
		b.announceLeaving()
		select {
		case <-grace.C:
			return b.awaitStop(ctx)
		case <-b.done:
			return nil
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "shut down balancer")
		case <-announce.C:
		}
	}
}

// awaitStop ends Run and waits for it. Without Run there is nothing to wait for.
func (b *Balancer) awaitStop(ctx context.Context) error {
	b.stopOnce.Do(func() { close(b.stop) })
	if !b.started.Load() {
		return nil
	}
	select {
	case <-b.done:
		return nil
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "shut down balancer")
	}
}

func (b *Balancer) announceLeaving() {
	for _, row := range b.table.Load().targets {
		if err := b.sendLocal(b.tunnels[0], row.address, 0); err != nil {
			b.counters.count(dropSendFailed, 1)
		}
	}
}
