package runner

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/follower"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/signaller"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// platformReaders is the number of agents that watch the platform. With three, two
// may fail; if all fail, the other processes notice that their tables are stale.
const platformReaders = 3

// buildBeacon returns the beacon of this process.
func (r *Runner) buildBeacon(now time.Time) *wirepb.Beacon {
	// The version is read first: if it is from an earlier table than the position, it
	// only delays a fetch.
	version, position := r.follower.Table().Version(), r.follower.Position()
	b := &wirepb.Beacon{
		Epoch: position.Epoch, Revision: position.Revision, ConfigVersion: version,
		EvacuationDigest: r.follower.EvacuationDigest(),
		ConfirmedAgeMs:   uint32(max(0, r.follower.TableAge(now).Milliseconds())), Leaving: r.isStopping.Load(),
	}
	if r.deliverer == nil {
		return b
	}
	b.Target = r.ownTarget.Load()
	load := r.tracker.Load(now)
	b.Running, b.Flows, b.Silent = uint32(max(0, load.Running)), uint32(load.Flows), load.IsSilent
	if load.IsSuspect {
		b.Condition |= signaller.ConditionSuspect
	}
	if r.pacer.State(now).IsCold {
		b.Condition |= signaller.ConditionCold
	}
	b.Slots, b.ServiceTimeUs = uint32(r.slots()), uint32(min(load.LeastServiceTime.Microseconds(), math.MaxUint32))
	return b
}

// slots returns the slots of the agent's target, or 0 while they are not known.
func (r *Runner) slots() int {
	if t, ok := r.follower.Table().FindTarget(r.ownTarget.Load()); ok {
		return t.Slots
	}
	return 0
}

func (r *Runner) addHint(flow uint64, target uint32) {
	if r.forwarder != nil {
		r.forwarder.AddHint(flow, target)
	}
}

func (r *Runner) endSearch(flow uint64) {
	if r.forwarder != nil {
		r.forwarder.EndSearch(flow)
	}
}

func (r *Runner) handleReport(target uint32, p signaller.Peer) {
	if r.forwarder != nil {
		r.forwarder.ObserveReport(target, p.IsSilent)
	}
}

func (r *Runner) agentReport(target uint32) (chooser.Report, bool) {
	p, ok := r.signaller.PeerOfTarget(target)
	return chooser.Report{
		Running: p.Running, Slots: p.Slots, ServiceTime: p.ServiceTime, IsLeaving: p.IsLeaving, IsSilent: p.IsSilent, IsSuspect: p.IsSuspect,
		IsCold: p.IsCold,
	}, ok
}

// followerPeers returns the processes whose tables this process may take over:
// the agents that its table lists and the seeds. Beacons are not authenticated, so
// those of other senders are no proof. A process without a table knows no agents
// yet and asks any sender.
func (r *Runner) followerPeers() []follower.Peer {
	var peers []follower.Peer
	hosts, seeds := r.listedHosts.Load(), r.seeds()
	for _, p := range r.signaller.Peers() {
		if hosts != nil && len(*hosts) > 0 && !slices.Contains(seeds, p.Address) {
			if _, isListed := (*hosts)[p.Address]; !isListed {
				continue
			}
		}
		peers = append(peers, follower.Peer{Address: p.Address, Position: p.Position, Version: p.Version, EvacuationDigest: p.EvacuationDigest, ConfirmedAt: p.ConfirmedAt})
	}
	return peers
}

func (r *Runner) fetchChanges(ctx context.Context, peer netip.Addr, after router.Position) (follower.Batch, error) {
	return follower.FetchChanges(ctx, r.messenger, netip.AddrPortFrom(peer, r.settings.ControlAddress().Port()), after)
}

func (r *Runner) fetchDepartures(ctx context.Context, peer netip.Addr, known router.Position) (follower.Batch, error) {
	return follower.FetchDepartures(ctx, r.messenger, netip.AddrPortFrom(peer, r.settings.ControlAddress().Port()), known)
}

// isTargetInUse reports whether the agent of a target answers and says that the
// target holds flows and serves them.
func (r *Runner) isTargetInUse(target uint32) bool {
	if r.deliverer != nil && target == r.ownTarget.Load() {
		load := r.tracker.Load(time.Now())
		return load.Flows > 0 && !load.IsSilent
	}
	p, ok := r.signaller.PeerOfTarget(target)
	return ok && p.Flows > 0 && !p.IsSilent && !r.signaller.IsDown(target)
}

// isPlatformReader reports whether this agent is one of those that watch the
// platform: its target is one of the platformReaders live serving targets with
// the smallest numbers, which are hashes of the target names.
func (r *Runner) isPlatformReader(t *router.Table) bool {
	own := r.ownTarget.Load()
	if r.deliverer == nil || own == 0 {
		return false
	}
	before := 0
	t.VisitTargets(func(n uint32, target *router.Target) {
		if n < own && target.State == router.Serving && !r.signaller.IsDown(n) {
			before++
		}
	})
	return before < platformReaders
}
