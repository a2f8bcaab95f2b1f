package sizer

import (
	"time"

	"kingcupvalve.example/kingcupvalve/internal/balancer"
	"kingcupvalve.example/kingcupvalve/internal/listener"
)

// DesignSize is the size that the system is designed for, with its budgets.
type DesignSize struct {
	balancers           float64
	agents              float64
	addresses           float64
	flows               float64
	newFlowsPerSec      float64
	availabilityZones   float64
	changesPerDay       float64
	restartsPerDay      float64
	failuresPerDay      float64
	inForceSeconds      float64
	coreShare           float64
	memoryBytes         float64
	controlBytesPerSec  float64
	platformReadsPerSec float64
}

// NewDesignSize returns the design size of docs/design.md, section 3.
func NewDesignSize() DesignSize {
	return DesignSize{
		balancers: 1500, agents: 11_000, addresses: 5800, flows: 13e6, newFlowsPerSec: 150_000,
		availabilityZones: 4, changesPerDay: 2200, restartsPerDay: 2300, failuresPerDay: 67,
		inForceSeconds: 6, coreShare: 0.041, memoryBytes: 128e6, controlBytesPerSec: 23e3, platformReadsPerSec: 2000,
	}
}

func (d DesignSize) processes() float64 { return d.balancers + d.agents }

func (d DesignSize) processesPerZone() float64 { return d.processes() / d.availabilityZones }

// hostChangesPerSec returns the rate of host list changes. A restart is two
// changes, a leave and a join, and so is a failure.
func (d DesignSize) hostChangesPerSec() float64 {
	return 2 * (d.restartsPerDay + d.failuresPerDay) / secondsPerDay
}

func (d DesignSize) configChangesPerSec() float64 { return d.changesPerDay / secondsPerDay }

func (d DesignSize) flowsPerAgent() float64 { return d.flows / d.agents }

func (d DesignSize) newFlowsPerSecPerAgent() float64 { return d.newFlowsPerSec / d.agents }

// agentsPerBalancer returns the number of agents that probe one balancer in the
// absence of traffic.
func (d DesignSize) agentsPerBalancer() float64 {
	return d.agents * listener.MinRecentBalancers / d.balancers
}

const (
	secondsPerDay = 86_400
	// tcpIPHeaderBytes is the size of the IPv4 and TCP headers with timestamps.
	tcpIPHeaderBytes = 20 + 20 + 12
	// tlsRecordBytes is the overhead of a TLS 1.3 record (RFC 8446, 5.2).
	tlsRecordBytes = 22
	// yamuxFrameBytes is the size of a yamux frame header. A ping has no payload.
	yamuxFrameBytes = 12
	// messageOverheadBytes is the overhead of one message on a peer session, with
	// the TCP acknowledgement.
	messageOverheadBytes = yamuxFrameBytes + tlsRecordBytes + 2*tcpIPHeaderBytes
	// keepaliveBytes is a ping, its answer and one TCP acknowledgement without data.
	keepaliveBytes = 2*(yamuxFrameBytes+tlsRecordBytes+tcpIPHeaderBytes) + tcpIPHeaderBytes
	// heartbeatBytes is an envelope with a Hello that carries a revision only.
	heartbeatBytes = 10
	// ipUDPBytes is the size of the IPv4 and UDP headers.
	ipUDPBytes = 28
	// rootOpenedSessions and rootAcceptedSessions are the numbers of sessions that a
	// watching process opens and accepts, with other zones and with neighbours in its
	// own zone.
	rootOpenedSessions, rootAcceptedSessions = 7, 5
	// balancerProbesPerSec is the maximum probe rate of a balancer while targets wait
	// for a probe.
	balancerProbesPerSec = float64(balancer.DefaultProbesPerTick) * float64(time.Second) / float64(balancer.DefaultTickInterval)
)
