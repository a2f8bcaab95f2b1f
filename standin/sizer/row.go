package sizer

import (
	"fmt"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/dispatcher"
	"kingcupvalve.example/kingcupvalve/internal/listener"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/internal/watcher"
	"kingcupvalve.example/kingcupvalve/keeper"
	"kingcupvalve.example/kingcupvalve/ranker"
)

// Row is one figure of one role at the target size.
type Row struct {
	role        string
	figure      string
	unit        string
	value       float64
	budget      float64
	mechanism   string
	extrapolate float64
}

// Fits reports whether the value is within its budget; a row without a budget
// fits.
func (r Row) Fits() bool { return r.budget == 0 || r.value <= r.budget }

// processBytes is the resident memory of a process that has loaded no
// configuration: Go runtime, TLS and QUIC code.
const processBytes = 20e6

// sectionCopies are the revisions in memory while one is replaced by another.
const sectionCopies = 2

// formulas evaluates the figures of the roles.
type formulas struct {
	target Target
	slopes map[string]Slope
}

func (f formulas) at(name string, size float64) float64 { return f.slopes[name].At(size) }

// place is where a process stands in the watch tree.
type place struct {
	name string
	// opened are sessions with processes that it learns from, accepted those
	// with processes that learn from it, first those of them as first parent.
	opened, accepted, first float64
	watching                bool
}

var (
	leaf  = place{name: "as leaf of the tree", opened: 2}
	inner = place{name: "as inner node of the tree", opened: 2, accepted: 2 * ranker.DefaultFanOut, first: ranker.DefaultFanOut}
	root  = place{
		name: "as watching process (12 of 12,500)", opened: openedByRoots,
		accepted: 2*ranker.DefaultFanOut + acceptedByRoots, first: ranker.DefaultFanOut, watching: true,
	}
)

// treeBytesPerSec is the traffic of the watch tree, sent and received. Both
// parents send heads and host changes, a section comes from one of them.
func (f formulas) treeBytesPerSec(p place) float64 {
	sessions := p.opened + p.accepted
	changes := f.target.configChangesPerSec()
	sections := f.at(SlopeSectionBytes, f.target.agents) + 2*streamBytes
	total := changes * (f.at(SlopeHeadBytes, f.target.agents) + streamBytes) * sessions
	total += changes * sections * p.first
	if p.watching {
		head := float64(len(exampleHead().Encode()))
		section := f.at(SlopeTableBytes, f.target.agents) / cataloger.SectionCount
		total += changes * (head + section)
		total += head / (watcher.HeadWatchTimeout + 2*watcher.MinCallInterval).Seconds() // a plain read after each watch
	} else {
		total += changes * sections
	}
	total += f.target.hostChangesPerSec() * (f.at(SlopeHostBytes, 1) + streamBytes) * sessions
	total += sessions * (heartbeatBytes + streamBytes) / watcher.HeartbeatInterval.Seconds()
	return total + sessions*keepaliveBytes/messenger.DefaultKeepaliveInterval.Seconds()
}

// exampleHead has as many sections as a published fleet.
func exampleHead() keeper.Head {
	refs := make([]keeper.SectionRef, cataloger.SectionCount+1)
	for i := range refs {
		refs[i] = keeper.ComputeRef(fmt.Sprintf("services-%02d", i), []byte{byte(i)})
	}
	head, err := keeper.NewHead(1, refs)
	if err != nil {
		panic(err)
	}
	return head
}

// probePairBytes is a probe and its answer with IP and UDP headers.
func probePairBytes() float64 { return 2 * float64(tunneler.Header{}.Size()+ipUDPBytes) }

// balancerProbeBytesPerSec is the larger of two: without traffic the agents
// probe the balancer, with traffic it probes targets up to its bound.
func (f formulas) balancerProbeBytesPerSec() float64 {
	idle := f.target.agentsPerBalancer() / listener.ProbeInterval.Seconds()
	return max(idle, balancerProbesPerSec) * probePairBytes()
}

// agentProbeBytesPerSec is the larger of the agent's own probes without
// traffic and its part of the balancers' probes.
func (f formulas) agentProbeBytesPerSec() float64 {
	probed := f.target.balancers * balancerProbesPerSec / f.target.agents
	return max(listener.MinRecentBalancers/listener.ProbeInterval.Seconds(), probed) * probePairBytes()
}

func digestsPerSec(peers int) float64 {
	return float64(peers) / dispatcher.DigestPeriod(peers).Seconds()
}

// digestBytesPerSec counts digests sent and received. Digests come closer
// together than pings, so that only a ping for lack of answers is added.
func (f formulas) digestBytesPerSec(peers int) float64 {
	pings := float64(peers) * keepaliveBytes / messenger.UnansweredPingInterval().Seconds()
	return 2 * (digestsPerSec(peers)*(f.at(SlopeDigestBytes, 1)+streamBytes) + pings)
}

// controlCPU is the processor time of configuration and host list, in µs/s.
func (f formulas) controlCPU() float64 {
	perChange := f.at(SlopeApplyCPU, f.target.agents) + f.at(SlopeTablesCPU, f.target.agents)
	perHostChange := f.at(SlopePositionCPU, f.target.processesPerZone())
	return f.target.configChangesPerSec()*perChange + f.target.hostChangesPerSec()*perHostChange
}

func (f formulas) digestCPU() float64 {
	return 2 * digestsPerSec(dispatcher.MaxDigestPeers) * f.at(SlopeDigestCPU, digestSizes[len(digestSizes)-1]) / digestSizes[len(digestSizes)-1]
}

func (f formulas) memory(sessions float64) float64 {
	return processBytes + sectionCopies*f.at(SlopeSnapshotBytes, f.target.agents) +
		sectionCopies*f.at(SlopeTableBytes, f.target.agents) +
		sectionCopies*cataloger.SectionCount*f.at(SlopeSectionBytes, f.target.agents) + sessions*f.at(SlopeSessionBytes, 64)/64/2
}

// BuildRows returns the figures of every role. It fails when a slope is missing.
func BuildRows(t Target, slopes []Slope) ([]Row, error) {
	f := formulas{target: t, slopes: map[string]Slope{}}
	for _, s := range slopes {
		f.slopes[s.name] = s
	}
	for _, name := range []string{
		SlopeSnapshotCPU, SlopeSnapshotBytes, SlopeSelectCPU, SlopeTablesCPU, SlopeHeadBytes, SlopeSectionBytes, SlopeTableBytes, SlopeApplyCPU, SlopePositionCPU,
		"steady_reads_per_second", "change_reads_in_6_seconds", "change_peak_reads_per_second",
		"zone_return_peak_reads_per_second", "start_reads", "start_peak_reads_per_second",
		SlopeDigestCPU, SlopeDigestBytes, SlopeHostBytes, SlopeSessionBytes, SlopeFlowBytes, SlopeHandshakeCPU,
	} {
		if _, ok := f.slopes[name]; !ok {
			return nil, merry.Errorf("build rows: slope %s is missing", name)
		}
	}
	far := t.agents / targetSizes[len(targetSizes)-1]
	core := func(micros float64) float64 { return 100 * micros / 1e6 }
	var rows []Row
	for _, p := range []place{inner, leaf, root} {
		rows = append(rows, Row{
			"balancer", "control traffic, " + p.name, "bytes/s", f.treeBytesPerSec(p) + f.balancerProbeBytesPerSec(),
			t.controlBytesPerSec, "watch tree; probes of targets at their bound of 60/s", far,
		})
	}
	for _, p := range []place{inner, leaf, root} {
		for _, peers := range []int{dispatcher.MaxDigestPeers, 1} {
			rows = append(rows, Row{
				"agent", fmt.Sprintf("control traffic, %s, digest peers: %d", p.name, peers), "bytes/s",
				f.treeBytesPerSec(p) + f.agentProbeBytesPerSec() + f.digestBytesPerSec(peers),
				t.controlBytesPerSec, "watch tree, digests, probes", far,
			})
		}
	}
	rows = append(rows, []Row{
		{"balancer", "control processor time", "% of a core", core(f.controlCPU()), 100 * t.coreShare, "one rebuild for each change", far},
		{"balancer", "memory for control", "bytes", f.memory(inner.opened + inner.accepted), t.memoryBytes, "two snapshots, section texts, peer sessions", far},
		{"balancer", "memory for flows", "bytes", 0, 0, "no state for a flow; marks in connection IDs", 1},
		{"balancer", "new flows", "1/s", t.newFlows / t.balancers, 0, "rendezvous choice for each Initial", 1},
		{
			"balancer", "processor time for choices", "% of a core",
			core(t.newFlows / t.balancers * 2 * f.at(SlopeSelectCPU, targetsPerService)), 0, "two Initials for each handshake", 1,
		},
		{"agent", "control processor time", "% of a core", core(f.controlCPU() + f.digestCPU()), 100 * t.coreShare, "one rebuild for each change, digests", far},
		{"agent", "memory for control", "bytes", f.memory(inner.opened + inner.accepted + 2*dispatcher.MaxDigestPeers), t.memoryBytes, "two snapshots, section texts, peer sessions", far},
		{"agent", "flows", "", t.flowsPerAgent(), 0, "13 million flows over 11,000 agents", 1},
		{"agent", "memory for flows (both ends measured)", "bytes", f.at(SlopeFlowBytes, t.flowsPerAgent()), 0, "QUIC connections", f.slopes[SlopeFlowBytes].Extrapolation(t.flowsPerAgent())},
		{
			"agent", "processor time for handshakes (both ends measured)", "% of a core",
			core(t.newFlowsPerAgent() * f.at(SlopeHandshakeCPU, 400) / 400), 0, "13.6 new flows/s for each agent", 1,
		},
	}...)
	reads := func(figure, slope, mechanism string, budget float64) {
		rows = append(rows, Row{"platform", figure, "reads", f.at(slope, t.processes()), budget, mechanism, f.slopes[slope].Extrapolation(t.processes())})
	}
	reads("reads a second in steady state", "steady_reads_per_second", "3 watching processes in each availability zone, and a read of every process about each 5 minutes", t.platformReads)
	reads("reads in 6 s at a change", "change_reads_in_6_seconds", "head and section for each watching process", t.platformReads*t.forceSeconds)
	reads("highest reads a second at a change", "change_peak_reads_per_second", "the same", t.platformReads)
	reads("highest reads a second at a zone's return", "zone_return_peak_reads_per_second", "first reads spread over 30 s (start_spread)", t.platformReads)
	reads("reads at a fleet start", "start_reads", "two first reads of each process", 0)
	reads("highest reads a second at a fleet start", "start_peak_reads_per_second", "first reads spread over 30 s (start_spread)", t.platformReads)
	return rows, nil
}
