package conductor

import (
	"context"
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/follower"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// readers is the number of agents that watch the platform. Three survive the
// loss of two, and the others notice a stale table when all are lost.
const readers = 3

// describe returns the beacon of the process.
func (c *Conductor) describe(now time.Time) *wirepb.Beacon {
	b := &wirepb.Beacon{
		Process: c.settings.Process(), Incarnation: c.incarnation, Revision: c.follower.Revision(),
		ConfirmedAgeMs: uint32(max(0, c.follower.Age(now).Milliseconds())), Leaving: c.isLeaving.Load(),
	}
	if c.deliverer == nil {
		return b
	}
	b.Target = c.self.Load()
	load := c.tracker.Load(now)
	b.Running, b.Flows, b.Silent, b.Suspect = uint32(max(0, load.Running)), uint32(load.Flows), load.IsSilent, load.IsSuspect
	b.Slots = uint32(c.slots())
	return b
}

// slots returns the slots of the own target, 0 while they are not known.
func (c *Conductor) slots() int {
	if t, ok := c.follower.Table().FindTarget(c.self.Load()); ok {
		return t.Slots
	}
	return 0
}

func (c *Conductor) takeHint(flow uint64, target uint32) {
	if c.steerer != nil {
		c.steerer.AddHint(flow, target)
	}
}

func (c *Conductor) report(target uint32) (chooser.Report, bool) {
	p, ok := c.signaller.Target(target)
	return chooser.Report{
		Running: p.Running, Slots: p.Slots, IsLeaving: p.IsLeaving, IsSilent: p.IsSilent, IsSuspect: p.IsSuspect,
	}, ok
}

func (c *Conductor) peers() []follower.Peer {
	var peers []follower.Peer
	for _, p := range c.signaller.Peers() {
		peers = append(peers, follower.Peer{Address: p.Address, Revision: p.Revision, ConfirmedAt: p.ConfirmedAt})
	}
	return peers
}

func (c *Conductor) pull(ctx context.Context, peer netip.Addr, after uint64) (follower.Batch, error) {
	return follower.PullFrom(ctx, c.messenger, netip.AddrPortFrom(peer, c.settings.ControlAddress().Port()), after)
}

// isReader reports whether the own target is among the live serving targets
// with the smallest numbers, which are hashes of their names.
func (c *Conductor) isReader(t *router.Table) bool {
	own := c.self.Load()
	if c.deliverer == nil || own == 0 {
		return false
	}
	before := 0
	t.VisitTargets(func(n uint32, target *router.Target) {
		if n < own && target.State == router.Serving && !c.signaller.IsDown(n) {
			before++
		}
	})
	return before < readers
}
