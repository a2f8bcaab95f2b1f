package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
)

// announceInterval is the time between two announcements of a shutdown. Three of
// them fit into the 1.2 s after which an agent considers a silent balancer down.
const announceInterval = 400 * time.Millisecond

// Rate limit of the announcements of targets that are down. One announcement
// costs 150 KB with 1,500 balancers, so a balancer that has lost its connection
// to many targets sends 15 KB/s on average. When an announcement is withheld, the
// other balancers detect the failure from their own traffic and from ICMP errors.
const (
	suspectInterval = 10 * time.Second
	suspectBurst    = 4
)

// sendLocal sends a LOCAL header, which has no addresses and no payload.
func (b *Balancer) sendLocal(conn *batcher.Conn, to netip.AddrPort, flags tunneler.Flags) error {
	return b.sendHeader(conn, to, tunneler.Header{Flags: flags})
}

func (b *Balancer) sendHeader(conn *batcher.Conn, to netip.AddrPort, header tunneler.Header) error {
	header.Flags |= b.commonFlags()
	header.Incarnation, header.Revision = b.options.Incarnation, b.table.Load().revision
	message := b.codec.Encode(nil, header, nil)
	_, err := conn.WriteToUDPAddrPort(message, to)
	if err != nil {
		// The kernel may have reported a pending ICMP error of an earlier
		// datagram, so retry once.
		_, err = conn.WriteToUDPAddrPort(message, to)
	}
	if err != nil {
		return merry.Prepend(err, "send tunnel message")
	}
	return nil
}

// sendProbes sends the probes that are due and announces the targets that went
// down because they left this balancer's own traffic unanswered.
func (b *Balancer) sendProbes(now time.Time) {
	t := b.table.Load()
	for _, p := range b.detector.Tick(now) {
		row := t.targets[p.Target()]
		if row == nil {
			continue
		}
		if err := b.sendLocal(b.tunnelConns[0], row.address, tunneler.FlagProbe); err != nil {
			b.counters.count(dropSendFailed, 1)
			continue
		}
		b.counters.count(probeSent, 1)
	}
	for _, n := range b.detector.TakeNewlyDown() {
		b.announceSuspect(t, n)
	}
}

// announceSuspect tells the other balancers that a target does not answer. With
// thousands of targets, each balancer probes any one target rarely, so the first
// balancer to detect a failure has the others probe the target immediately. A
// balancer that finds a target down after an announcement doesn't announce it
// again.
func (b *Balancer) announceSuspect(t *table, number uint32) {
	if !b.suspectLimiter.Allow() {
		b.counters.count(suspectWithheld, 1)
		return
	}
	for _, to := range t.balancers {
		header := tunneler.Header{Flags: tunneler.FlagSuspect, Target: number}
		if err := b.sendHeader(b.tunnelConns[0], to, header); err != nil {
			b.counters.count(dropSendFailed, 1)
			continue
		}
		b.counters.count(suspectSent, 1)
	}
}

// probeSuspectedTarget schedules an immediate probe of a target.
func (b *Balancer) probeSuspectedTarget(number uint32) {
	if row := b.table.Load().targets[number]; row != nil {
		row.state.peer.Suspect()
	}
}

// probeUnreachableAddress schedules an immediate probe of a target after an ICMP
// error about its tunnel address, which usually means that its agent was killed.
func (b *Balancer) probeUnreachableAddress(address netip.AddrPort) {
	b.counters.count(unreachableReported, 1)
	if row := b.table.Load().sources[address]; row != nil {
		row.state.peer.Suspect()
	}
}

// Shutdown announces to all agents that the balancer is shutting down, keeps
// forwarding for the grace period, so that the fabric and the agents can switch
// to other balancers, and stops. It returns early with the context's error if the
// context is cancelled.
func (b *Balancer) Shutdown(ctx context.Context) error {
	b.leaving.Store(true)
	b.options.Logger.Info().Dur("grace_ms", b.options.GracePeriod).Msg("balancer shutting down")
	defer b.stopOnce.Do(func() { close(b.stop) })
	grace := time.NewTimer(b.options.GracePeriod)
	defer grace.Stop()
	announce := time.NewTicker(announceInterval)
	defer announce.Stop()
	for {
		b.announceLeaving()
		select {
		case <-grace.C:
			return b.stopAndWait(ctx)
		case <-b.done:
			return nil
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "shut down balancer")
		case <-announce.C:
		}
	}
}

// stopAndWait makes Run return and waits for it, unless Run was never called.
func (b *Balancer) stopAndWait(ctx context.Context) error {
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
		if err := b.sendLocal(b.tunnelConns[0], row.address, 0); err != nil {
			b.counters.count(dropSendFailed, 1)
		}
	}
}
