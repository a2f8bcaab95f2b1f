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

// Row is a figure of a role at the design size, with its budget if it has one.
// Its extrapolation is the design size over the largest measured size, or 1.
type Row struct {
	role          string
	figure        string
	unit          string
	value         float64
	budget        float64
	mechanism     string
	extrapolation float64
}

// Fits reports whether the value is within its budget. It is true without a
// budget.
func (r Row) Fits() bool { return r.budget == 0 || r.value <= r.budget }

// baseProcessBytes is the resident memory of a process before it loads a
// configuration: Go runtime, TLS and QUIC code.
const baseProcessBytes = 20e6

// revisionsInMemory is 2, as a process holds both the old and the new revision
// while it applies a change.
const revisionsInMemory = 2

// formulas computes the figures of the roles from the design size and the slopes.
type formulas struct {
	size   DesignSize
	slopes map[string]Slope
}

func (f formulas) valueAt(name string, size float64) float64 { return f.slopes[name].At(size) }

// treePosition describes the sessions of a process in the watch tree.
type treePosition struct {
	name string
	// openedSessions are the sessions with processes that send it updates,
	// acceptedSessions those with processes to which it sends them. It is the first
	// parent of primaryChildren of the latter.
	openedSessions, acceptedSessions, primaryChildren float64
	watchesPlatform                                   bool
}

var (
	leafPosition  = treePosition{name: "as leaf of the tree", openedSessions: 2}
	innerPosition = treePosition{name: "as inner node of the tree", openedSessions: 2, acceptedSessions: 2 * ranker.DefaultFanOut, primaryChildren: ranker.DefaultFanOut}
	rootPosition  = treePosition{
		name: "as watching process (12 of 12,500)", openedSessions: rootOpenedSessions,
		acceptedSessions: 2*ranker.DefaultFanOut + rootAcceptedSessions, primaryChildren: ranker.DefaultFanOut, watchesPlatform: true,
	}
)

// treeBytesPerSec returns the traffic of the watch tree, sent and received. Both
// parents of a process send heads and host changes; only one sends a section.
func (f formulas) treeBytesPerSec(p treePosition) float64 {
	sessions := p.openedSessions + p.acceptedSessions
	changes := f.size.configChangesPerSec()
	sections := f.valueAt(SlopeSectionBytes, f.size.agents) + 2*messageOverheadBytes
	total := changes * (f.valueAt(SlopeHeadBytes, f.size.agents) + messageOverheadBytes) * sessions
	total += changes * sections * p.primaryChildren
	if p.watchesPlatform {
		head := float64(len(newExampleHead().Encode()))
		section := f.valueAt(SlopeTableBytes, f.size.agents) / cataloger.SectionCount
		total += changes * (head + section)
		total += head / (watcher.HeadWatchTimeout + 2*watcher.MinCallInterval).Seconds() // one plain read after each watch
	} else {
		total += changes * sections
	}
	total += f.size.hostChangesPerSec() * (f.valueAt(SlopeHostBytes, 1) + messageOverheadBytes) * sessions
	total += sessions * (heartbeatBytes + messageOverheadBytes) / watcher.HeartbeatInterval.Seconds()
	return total + sessions*keepaliveBytes/messenger.DefaultKeepaliveInterval.Seconds()
}

// newExampleHead returns a head with as many sections as that of a published
// fleet.
func newExampleHead() keeper.Head {
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

// probeExchangeBytes returns the size of a probe and its answer with IP and UDP
// headers.
func probeExchangeBytes() float64 { return 2 * float64(tunneler.Header{}.Size()+ipUDPBytes) }

// balancerProbeBytesPerSec returns the larger of two rates: agents probe a balancer
// that has no traffic; a balancer with traffic probes targets up to its limit.
func (f formulas) balancerProbeBytesPerSec() float64 {
	idle := f.size.agentsPerBalancer() / listener.ProbeInterval.Seconds()
	return max(idle, balancerProbesPerSec) * probeExchangeBytes()
}

// agentProbeBytesPerSec returns the larger of two rates: the agent's own probes
// without traffic, and its share of the balancers' probes.
func (f formulas) agentProbeBytesPerSec() float64 {
	probed := f.size.balancers * balancerProbesPerSec / f.size.agents
	return max(listener.MinRecentBalancers/listener.ProbeInterval.Seconds(), probed) * probeExchangeBytes()
}

func digestsPerSec(peers int) float64 {
	return float64(peers) / dispatcher.DigestPeriod(peers).Seconds()
}

// digestBytesPerSec returns the traffic of digests, sent and received. Digests are
// more frequent than keepalive pings and replace them, so only the pings that a
// session sends for lack of answers are added.
func (f formulas) digestBytesPerSec(peers int) float64 {
	pings := float64(peers) * keepaliveBytes / messenger.UnansweredPingInterval().Seconds()
	return 2 * (digestsPerSec(peers)*(f.valueAt(SlopeDigestBytes, 1)+messageOverheadBytes) + pings)
}

// controlCPUMicrosPerSec returns the processor time for changes of configuration
// and host list, in µs/s.
func (f formulas) controlCPUMicrosPerSec() float64 {
	perChange := f.valueAt(SlopeChangeApplyCPU, f.size.agents) + f.valueAt(SlopeSelectionTablesCPU, f.size.agents)
	perHostChange := f.valueAt(SlopeTreePositionCPU, f.size.processesPerZone())
	return f.size.configChangesPerSec()*perChange + f.size.hostChangesPerSec()*perHostChange
}

func (f formulas) digestCPUMicrosPerSec() float64 {
	return 2 * digestsPerSec(dispatcher.MaxDigestPeers) * f.valueAt(SlopeDigestCPU, digestSizes[len(digestSizes)-1]) / digestSizes[len(digestSizes)-1]
}

// controlMemoryBytes returns the memory of the process, its configuration and its
// peer sessions. The value of a session is that at 64 sessions, halved because
// the measurement covers both ends.
func (f formulas) controlMemoryBytes(sessions float64) float64 {
	return baseProcessBytes + revisionsInMemory*f.valueAt(SlopeSnapshotBytes, f.size.agents) +
		revisionsInMemory*f.valueAt(SlopeTableBytes, f.size.agents) +
		revisionsInMemory*cataloger.SectionCount*f.valueAt(SlopeSectionBytes, f.size.agents) + sessions*f.valueAt(SlopeSessionBytes, 64)/64/2
}

// BuildRows returns the figures of all roles and of the platform. It fails if a
// slope is missing, including those of platform reads, which Measure doesn't
// return.
func BuildRows(d DesignSize, slopes []Slope) ([]Row, error) {
	f := formulas{size: d, slopes: map[string]Slope{}}
	for _, s := range slopes {
		f.slopes[s.name] = s
	}
	for _, name := range []string{
		SlopeSnapshotCPU, SlopeSnapshotBytes, SlopeSelectCPU, SlopeSelectionTablesCPU, SlopeHeadBytes, SlopeSectionBytes, SlopeTableBytes, SlopeChangeApplyCPU, SlopeTreePositionCPU,
		"steady_reads_per_second", "change_reads_in_6_seconds", "change_peak_reads_per_second",
		"zone_return_peak_reads_per_second", "start_reads", "start_peak_reads_per_second",
		SlopeDigestCPU, SlopeDigestBytes, SlopeHostBytes, SlopeSessionBytes, SlopeFlowBytes, SlopeHandshakeCPU,
	} {
		if _, ok := f.slopes[name]; !ok {
			return nil, merry.Errorf("build rows: slope %s is missing", name)
		}
	}
	fleetExtrapolation := d.agents / targetSizes[len(targetSizes)-1]
	corePercent := func(micros float64) float64 { return 100 * micros / 1e6 }
	var rows []Row
	for _, p := range []treePosition{innerPosition, leafPosition, rootPosition} {
		rows = append(rows, Row{
			"balancer", "control traffic, " + p.name, "bytes/s", f.treeBytesPerSec(p) + f.balancerProbeBytesPerSec(),
			d.controlBytesPerSec, "watch tree; probes of targets at their bound of 60/s", fleetExtrapolation,
		})
	}
	for _, p := range []treePosition{innerPosition, leafPosition, rootPosition} {
		for _, peers := range []int{dispatcher.MaxDigestPeers, 1} {
			rows = append(rows, Row{
				"agent", fmt.Sprintf("control traffic, %s, digest peers: %d", p.name, peers), "bytes/s",
				f.treeBytesPerSec(p) + f.agentProbeBytesPerSec() + f.digestBytesPerSec(peers),
				d.controlBytesPerSec, "watch tree, digests, probes", fleetExtrapolation,
			})
		}
	}
	rows = append(rows, []Row{
		{"balancer", "control processor time", "% of a core", corePercent(f.controlCPUMicrosPerSec()), 100 * d.coreShare, "one rebuild for each change", fleetExtrapolation},
		{"balancer", "memory for control", "bytes", f.controlMemoryBytes(innerPosition.openedSessions + innerPosition.acceptedSessions), d.memoryBytes, "two snapshots, section texts, peer sessions", fleetExtrapolation},
		{"balancer", "memory for flows", "bytes", 0, 0, "no state for a flow; marks in connection IDs", 1},
		{"balancer", "new flows", "1/s", d.newFlowsPerSec / d.balancers, 0, "rendezvous choice for each Initial", 1},
		{
			"balancer", "processor time for choices", "% of a core",
			corePercent(d.newFlowsPerSec / d.balancers * 2 * f.valueAt(SlopeSelectCPU, targetsPerService)), 0, "two Initials for each handshake", 1,
		},
		{"agent", "control processor time", "% of a core", corePercent(f.controlCPUMicrosPerSec() + f.digestCPUMicrosPerSec()), 100 * d.coreShare, "one rebuild for each change, digests", fleetExtrapolation},
		{"agent", "memory for control", "bytes", f.controlMemoryBytes(innerPosition.openedSessions + innerPosition.acceptedSessions + 2*dispatcher.MaxDigestPeers), d.memoryBytes, "two snapshots, section texts, peer sessions", fleetExtrapolation},
		{"agent", "flows", "", d.flowsPerAgent(), 0, "13 million flows over 11,000 agents", 1},
		{"agent", "memory for flows (both ends measured)", "bytes", f.valueAt(SlopeFlowBytes, d.flowsPerAgent()), 0, "QUIC connections", f.slopes[SlopeFlowBytes].Extrapolation(d.flowsPerAgent())},
		{
			"agent", "processor time for handshakes (both ends measured)", "% of a core",
			corePercent(d.newFlowsPerSecPerAgent() * f.valueAt(SlopeHandshakeCPU, 400) / 400), 0, "13.6 new flows/s for each agent", 1,
		},
	}...)
	reads := func(figure, slope, mechanism string, budget float64) {
		rows = append(rows, Row{"platform", figure, "reads", f.valueAt(slope, d.processes()), budget, mechanism, f.slopes[slope].Extrapolation(d.processes())})
	}
	reads("reads a second in steady state", "steady_reads_per_second", "3 watching processes in each availability zone, and a read of every process about each 5 minutes", d.platformReadsPerSec)
	reads("reads in 6 s at a change", "change_reads_in_6_seconds", "head and section for each watching process", d.platformReadsPerSec*d.inForceSeconds)
	reads("highest reads a second at a change", "change_peak_reads_per_second", "the same", d.platformReadsPerSec)
	reads("highest reads a second at a zone's return", "zone_return_peak_reads_per_second", "first reads spread over 30 s (start_spread)", d.platformReadsPerSec)
	reads("reads at a fleet start", "start_reads", "two first reads of each process", 0)
	reads("highest reads a second at a fleet start", "start_peak_reads_per_second", "first reads spread over 30 s (start_spread)", d.platformReadsPerSec)
	return rows, nil
}
