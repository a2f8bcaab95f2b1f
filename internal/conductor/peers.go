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

// platformReaders is the number of agents that watch the platform. With three, two
// may fail; if all fail, the other processes notice that their tables are stale.
const platformReaders = 3

// buildBeacon returns the beacon of this process.
func (c *Conductor) buildBeacon(now time.Time) *wirepb.Beacon {
	b := &wirepb.Beacon{
		Process: c.settings.Process(), Incarnation: c.incarnation, Revision: c.follower.Revision(),
		ConfirmedAgeMs: uint32(max(0, c.follower.TableAge(now).Milliseconds())), Leaving: c.isStopping.Load(),
	}
	if c.deliverer == nil {
		return b
	}
	b.Target = c.ownTarget.Load()
	load := c.tracker.Load(now)
	b.Running, b.Flows, b.Silent, b.Suspect = uint32(max(0, load.Running)), uint32(load.Flows), load.IsSilent, load.IsSuspect
	b.Slots = uint32(c.slots())
	return b
}

// slots returns the slots of the agent's target, or 0 while they are not known.
func (c *Conductor) slots() int {
	if t, ok := c.follower.Table().FindTarget(c.ownTarget.Load()); ok {
		return t.Slots
	}
	return 0
}

func (c *Conductor) addHint(flow uint64, target uint32) {
	if c.forwarder != nil {
		c.forwarder.AddHint(flow, target)
	}
}

func (c *Conductor) agentReport(target uint32) (chooser.Report, bool) {
	p, ok := c.signaller.PeerOfTarget(target)
	return chooser.Report{
		Running: p.Running, Slots: p.Slots, IsLeaving: p.IsLeaving, IsSilent: p.IsSilent, IsSuspect: p.IsSuspect,
	}, ok
}

func (c *Conductor) followerPeers() []follower.Peer {
	var peers []follower.Peer
	for _, p := range c.signaller.Peers() {
		peers = append(peers, follower.Peer{Address: p.Address, Revision: p.Revision, ConfirmedAt: p.ConfirmedAt})
	}
	return peers
}

func (c *Conductor) fetchChanges(ctx context.Context, peer netip.Addr, after uint64) (follower.Batch, error) {
	return follower.FetchChanges(ctx, c.messenger, netip.AddrPortFrom(peer, c.settings.ControlAddress().Port()), after)
}

// isPlatformReader reports whether this agent is one of those that watch the
// platform: its target is one of the platformReaders live serving targets with
// the smallest numbers, which are hashes of the target names.
func (c *Conductor) isPlatformReader(t *router.Table) bool {
	own := c.ownTarget.Load()
	if c.deliverer == nil || own == 0 {
		return false
	}
	before := 0
	t.VisitTargets(func(n uint32, target *router.Target) {
		if n < own && target.State == router.Serving && !c.signaller.IsDown(n) {
			before++
		}
	})
	return before < platformReaders
}
