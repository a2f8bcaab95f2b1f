package sizer

import (
	"time"

	"kingcupvalve.example/kingcupvalve/internal/balancer"
	"kingcupvalve.example/kingcupvalve/internal/listener"
)

// Target is the size that the system is designed for.
type Target struct {
	balancers          float64
	agents             float64
	addresses          float64
	flows              float64
	newFlows           float64
	availabilityZones  float64
	changesPerDay      float64
	restartsPerDay     float64
	failuresPerDay     float64
	forceSeconds       float64
	coreShare          float64
	memoryBytes        float64
	controlBytesPerSec float64
	platformReads      float64
}

// NewTarget returns the target size of docs/design.md, section 3.
func NewTarget() Target {
	return Target{
		balancers: 1500, agents: 11_000, addresses: 5800, flows: 13e6, newFlows: 150_000,
		availabilityZones: 4, changesPerDay: 2200, restartsPerDay: 2300, failuresPerDay: 67,
		forceSeconds: 6, coreShare: 0.041, memoryBytes: 128e6, controlBytesPerSec: 23e3, platformReads: 2000,
	}
}

func (t Target) processes() float64 { return t.balancers + t.agents }

func (t Target) processesPerZone() float64 { return t.processes() / t.availabilityZones }

// hostChangesPerSec counts a restart as a leave and a join, a failure likewise.
func (t Target) hostChangesPerSec() float64 {
	return 2 * (t.restartsPerDay + t.failuresPerDay) / secondsPerDay
}

func (t Target) configChangesPerSec() float64 { return t.changesPerDay / secondsPerDay }

func (t Target) flowsPerAgent() float64 { return t.flows / t.agents }

func (t Target) newFlowsPerAgent() float64 { return t.newFlows / t.agents }

// agentsPerBalancer is the number of agents that probe a balancer when there
// is no traffic.
func (t Target) agentsPerBalancer() float64 {
	return t.agents * listener.MinRecentBalancers / t.balancers
}

const (
	secondsPerDay = 86_400
	// tcpBytes are the headers of a TCP segment over IPv4 with timestamps.
	tcpBytes = 20 + 20 + 12
	// recordBytes is the overhead of a TLS 1.3 record (RFC 8446, 5.2).
	recordBytes = 22
	// frameBytes is the header of a yamux frame, which is also a whole ping.
	frameBytes = 12
	// streamBytes is the overhead of one message on a peer session with the
	// acknowledgement of its segment.
	streamBytes = frameBytes + recordBytes + 2*tcpBytes
	// keepaliveBytes is a ping, its answer and one bare acknowledgement.
	keepaliveBytes = 2*(frameBytes+recordBytes+tcpBytes) + tcpBytes
	// heartbeatBytes is an envelope with a Hello that has only a revision.
	heartbeatBytes = 10
	// ipUDPBytes are the headers of a UDP datagram over IPv4.
	ipUDPBytes = 28
	// openedByRoots and acceptedByRoots are the sessions of a watching process with other zones and
	// with neighbours of its own zone, as opened and as accepted ones.
	openedByRoots, acceptedByRoots = 7, 5
	// balancerProbesPerSec bounds the probes of a balancer while targets wait.
	balancerProbesPerSec = float64(balancer.DefaultProbesPerTick) * float64(time.Second) / float64(balancer.DefaultTickInterval)
)
