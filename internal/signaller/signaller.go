// Package signaller exchanges beacons and flow hints between processes, one
// datagram each, and keeps what the beacons say: which agents live, how loaded
// their targets are and how new the tables of other processes are.
//
// Every process asks one agent of its table after the other for a beacon, so
// that agents learn of balancers and of each other. Lost datagrams and lost
// state cost an interval.
//
// # Usage
//
//	s, err := signaller.NewSignaller(ctx, signaller.Options{Address: address, Describe: describe})
//	go s.Receive()
//	s.SetAgents(agents)
//	s.Tick(now) // from the goroutine of the control state
package signaller

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/detector"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

const (
	// beaconInterval is the time between two beacons to one agent while there are
	// no more agents than maxBeacons allows.
	beaconInterval = 250 * time.Millisecond
	// maxBeacons bounds the beacons a second. With its answer, one takes about
	// 160 bytes, so the bound is the control budget of 23 KB/s of a process.
	maxBeacons = 140
	// unansweredAfter, probeInterval and probeLimit take an agent down 550 ms
	// after the first beacon that it leaves unanswered.
	unansweredAfter = 250 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	probeLimit      = 3
	downInterval    = 500 * time.Millisecond
	// peerTimeout forgets processes that are silent.
	peerTimeout = 10 * time.Second
	// maxDatagram is above the size of every signal in bytes.
	maxDatagram = 1500
)

var agentsLost = metrics.GetOrCreateCounter("kingcupvalve_signaller_agents_lost_total")

// Options configures a Signaller.
type Options struct {
	// Address is the UDP address to bind. All processes use its port.
	Address netip.AddrPort
	// Describe returns the beacon of this process.
	Describe func(now time.Time) *wirepb.Beacon
	// Hint takes a flow hint; nil ignores hints.
	Hint   func(flow uint64, target uint32)
	Logger zerolog.Logger
}

// Peer is what the last beacon of a process said.
type Peer struct {
	Address     netip.Addr
	Process     string
	Incarnation uint64
	Target      uint32
	Revision    uint64
	ConfirmedAt time.Time
	Running     int
	Slots       int
	Flows       int
	IsLeaving   bool
	IsSilent    bool
	IsSuspect   bool
	HeardAt     time.Time
}

// Signaller holds the socket and the peers. Peer, IsDown and SendHint are safe
// for concurrent use; SetAgents, Tick and IsIsolated belong to one goroutine.
type Signaller struct {
	options  Options
	conn     *net.UDPConn
	detector *detector.Detector
	agents   map[uint32]netip.Addr
	// order has the agents in the order of beacons; the next one is at cursor.
	order  []uint32
	cursor int
	// downSince has the agents that did not answer at the last tick.
	downSince map[uint32]time.Time
	lastSent  time.Time
	lock      sync.RWMutex
	peers     map[netip.Addr]Peer
	targets   map[uint32]Peer
}

// NewSignaller binds the socket.
func NewSignaller(ctx context.Context, options Options) (*Signaller, error) {
	config := net.ListenConfig{}
	packet, err := config.ListenPacket(ctx, "udp4", options.Address.String())
	if err != nil {
		return nil, merry.Prepend(err, "bind signal socket")
	}
	return &Signaller{
		options: options, conn: packet.(*net.UDPConn),
		detector: detector.NewDetector(detector.Options{
			Epoch: time.Now(), UnansweredAfter: unansweredAfter, ProbeInterval: probeInterval, ProbeLimit: probeLimit,
			DownInterval: downInterval,
		}),
		downSince: make(map[uint32]time.Time), peers: make(map[netip.Addr]Peer), targets: make(map[uint32]Peer),
	}, nil
}

// Close ends Receive.
func (s *Signaller) Close() error { return s.conn.Close() }

// SetAgents replaces the agents that beacons go to, by target number.
func (s *Signaller) SetAgents(agents map[uint32]netip.Addr) {
	numbers := make([]uint32, 0, len(agents))
	for n := range agents {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	s.agents, s.order = agents, numbers
	s.detector.SetTargets(numbers)
}

// IsIsolated reports whether no agent answers, although there are some. It
// belongs to the goroutine of Tick.
func (s *Signaller) IsIsolated() bool {
	for _, n := range s.order {
		if !s.detector.IsDown(n) {
			return false
		}
	}
	return len(s.order) > 0
}

// IsDown reports whether the agent of a target does not answer.
func (s *Signaller) IsDown(target uint32) bool { return s.detector.IsDown(target) }

// Target returns the last beacon of the agent of a target.
func (s *Signaller) Target(number uint32) (Peer, bool) {
	s.lock.RLock()
	defer s.lock.RUnlock()
	p, ok := s.targets[number]
	return p, ok
}

// Peers returns what is known of all processes, in no particular order.
func (s *Signaller) Peers() []Peer {
	s.lock.RLock()
	defer s.lock.RUnlock()
	peers := make([]Peer, 0, len(s.peers))
	for _, p := range s.peers {
		peers = append(peers, p)
	}
	return peers
}

// Tick sends the beacons and probes that are due and forgets silent processes.
func (s *Signaller) Tick(now time.Time) {
	s.sendBeacons(now)
	probes := s.detector.Tick(now)
	s.noteLiveness(now)
	if len(probes) == 0 {
		return
	}
	beacon := s.encodeBeacon(now, true)
	for _, p := range probes {
		s.send(beacon, s.agents[p.Target()])
	}
}

// sendBeacons sends the beacons that are due since the last tick, to one agent
// after the other.
func (s *Signaller) sendBeacons(now time.Time) {
	if len(s.order) == 0 {
		return
	}
	interval := max(beaconInterval, time.Duration(len(s.order))*time.Second/maxBeacons)
	due := int(min(now.Sub(s.lastSent), interval) * time.Duration(len(s.order)) / interval)
	if due == 0 {
		return
	}
	s.lastSent = now
	beacon := s.encodeBeacon(now, true)
	for range due {
		s.cursor = (s.cursor + 1) % len(s.order)
		if n := s.order[s.cursor]; !s.detector.IsDown(n) {
			s.detector.RecordForwarded(n, now)
			s.send(beacon, s.agents[n])
		}
	}
	s.forgetSilent(now)
}

// noteLiveness writes a line for each agent that stopped or began to answer.
func (s *Signaller) noteLiveness(now time.Time) {
	for n, address := range s.agents {
		since, wasDown := s.downSince[n]
		switch isDown := s.detector.IsDown(n); {
		case isDown && !wasDown:
			s.downSince[n] = now
			agentsLost.Inc()
			s.options.Logger.Warn().Uint32("target", n).Stringer("address", address).Msg("agent does not answer")
		case !isDown && wasDown:
			delete(s.downSince, n)
			s.options.Logger.Info().Uint32("target", n).Stringer("address", address).Dur("duration_ms", now.Sub(since)).
				Msg("agent answers again")
		}
	}
	for n := range s.downSince {
		if _, ok := s.agents[n]; !ok {
			delete(s.downSince, n)
		}
	}
}

func (s *Signaller) forgetSilent(now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for address, p := range s.peers {
		if now.Sub(p.HeardAt) > peerTimeout {
			delete(s.peers, address)
			delete(s.targets, p.Target)
		}
	}
}

func (s *Signaller) encodeBeacon(now time.Time, answerWanted bool) []byte {
	beacon := s.options.Describe(now)
	beacon.AnswerWanted = answerWanted
	return s.encode(&wirepb.Signal{Body: &wirepb.Signal_Beacon{Beacon: beacon}})
}

// encode returns nil, which is not sent, for a signal that can't be encoded.
func (s *Signaller) encode(signal *wirepb.Signal) []byte {
	b, err := proto.Marshal(signal)
	if err != nil {
		s.options.Logger.Error().Err(err).Msg("signal not encoded")
		return nil
	}
	return b
}

// SendHint tells a process which target holds a flow.
func (s *Signaller) SendHint(to netip.Addr, flow uint64, target uint32) {
	s.send(s.encode(&wirepb.Signal{Body: &wirepb.Signal_FlowHint{FlowHint: &wirepb.FlowHint{Flow: flow, Target: target}}}), to)
}

// send writes one datagram. Losing it costs an interval or a search, and an
// unreachable process shows in the missing answers.
func (s *Signaller) send(b []byte, to netip.Addr) {
	if b == nil {
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to, s.options.Address.Port())); err != nil {
		s.options.Logger.Debug().Err(err).Stringer("address", to).Msg("signal not sent")
	}
}
