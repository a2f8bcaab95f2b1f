// Package signaller exchanges beacons (heartbeats that carry state) and flow
// hints between processes, in one UDP datagram each. It keeps the last beacon of
// every process: which agents are alive, the load of their targets and the
// revisions of the tables of other processes.
//
// Every process sends a beacon to each agent of its table in turn and asks for
// one in return, so that agents learn of balancers and of each other. A lost
// datagram or a restart delays this by one beacon interval.
//
// Signals are not authenticated. What a beacon or a hint says about a target is
// believed only if it comes from the address that the table lists for the target's
// agent.
//
// # Usage
//
//	s, err := signaller.NewSignaller(ctx, signaller.Options{Address: address, BuildBeacon: build})
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
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

const (
	// beaconInterval is the time between two beacons to the same agent. It is
	// longer if there are more agents than maxBeaconsPerSecond allows.
	beaconInterval = 250 * time.Millisecond
	// maxBeaconsPerSecond keeps a process near its budget of 23 KB/s for control
	// traffic: a beacon and its answer take up to 158 bytes with their headers, and
	// 162 with the digest of evacuated zones in the answer.
	maxBeaconsPerSecond = 140
	// unansweredAfter, probeInterval and probeLimit mark an agent as down 550 ms
	// after the first beacon that it does not answer.
	unansweredAfter = 250 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	probeLimit      = 3
	downInterval    = 500 * time.Millisecond
	// maxUnlistedPeers bounds the memory for processes that the table does not
	// list: balancers, and senders of forged beacons. A peer takes about 200 bytes.
	maxUnlistedPeers = 4096
	// peerTimeout is the time without a beacon after which a process is removed.
	peerTimeout = 10 * time.Second
	// maxDatagramBytes exceeds the size of every signal.
	maxDatagramBytes = 1500
)

var (
	agentsLost   = metrics.GetOrCreateCounter("kingcupvalve_signaller_agents_lost_total")
	peersRefused = metrics.GetOrCreateCounter("kingcupvalve_signaller_peers_refused_total")
)

// Bits of the condition of a target in a beacon.
const (
	// ConditionSuspect is set when the target is an outlier by its response times or
	// lost an open flow.
	ConditionSuspect = 1 << iota
	// ConditionCold is set while the opening packets at the target are bounded.
	ConditionCold
)

// Options configures a Signaller.
type Options struct {
	// Address is the UDP address to bind. All processes use the same port.
	Address netip.AddrPort
	// BuildBeacon returns the beacon of this process.
	BuildBeacon func(now time.Time) *wirepb.Beacon
	// HandleHint handles a received flow hint. If it is nil, hints are ignored.
	HandleHint func(flow uint64, target uint32)
	// HandleSearchEnd handles a received end of a search. If it is nil, these are
	// ignored.
	HandleSearchEnd func(flow uint64)
	// HandleReport handles the state of a target that its agent reported. If it is nil,
	// reports are only kept.
	HandleReport func(target uint32, p Peer)
	// BuildForecast returns the forecast of the own target, which goes to balancers. If
	// it is nil, none is sent.
	BuildForecast func(now time.Time) *wirepb.Forecast
	// HandleForecast handles the forecast that the agent of a target sent. If it is
	// nil, forecasts are ignored.
	HandleForecast func(target uint32, forecast *wirepb.Forecast, now time.Time)
	Logger         zerolog.Logger
}

// Peer is the content of the last beacon of a process.
type Peer struct {
	Address netip.Addr
	Target  uint32
	// Position is that of the routing table, and Version that of its configuration.
	router.Position
	Version uint64
	// EvacuationDigest tells sets of evacuated zones apart; it is 0 if the position does.
	EvacuationDigest uint32
	ConfirmedAt      time.Time
	Running          int
	Slots            int
	Flows            int
	ServiceTime      time.Duration
	IsLeaving        bool
	IsSilent         bool
	IsSuspect        bool
	IsCold           bool
	HeardAt          time.Time
}

// Signaller sends and receives signals and keeps the peers. Peers, PeerOfTarget,
// IsDown and SendHint are safe for concurrent use; SetAgents, Tick and IsIsolated
// must be called from one goroutine.
type Signaller struct {
	options  Options
	conn     *net.UDPConn
	detector *detector.Detector
	// agents has the addresses of the agents by target. The goroutine of Tick
	// replaces the map under the lock.
	agents map[uint32]netip.Addr
	// hosts has the targets that the platform lists, by the addresses of their agents.
	hosts map[netip.Addr]uint32
	// order lists the agents in the order in which they get beacons; cursor is the
	// index of the last one that was due.
	order  []uint32
	cursor int
	// downSince has the agents that were down at the last tick, with the time when
	// they were found down.
	downSince map[uint32]time.Time
	lastSent  time.Time
	lock      sync.RWMutex
	peers     map[netip.Addr]Peer
}

// NewSignaller binds the UDP socket. It fails if the address can't be bound.
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
		downSince: make(map[uint32]time.Time), peers: make(map[netip.Addr]Peer),
	}, nil
}

// Close closes the socket, which ends Receive.
func (s *Signaller) Close() error { return s.conn.Close() }

// SetAgents replaces the addresses of the agents that get beacons, keyed by the
// numbers of their targets.
func (s *Signaller) SetAgents(agents map[uint32]netip.Addr) {
	numbers := make([]uint32, 0, len(agents))
	for n := range agents {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	s.lock.Lock()
	s.agents = agents
	s.lock.Unlock()
	s.order = numbers
	s.detector.SetTargets(numbers)
}

// SetHosts replaces the targets whose agents count as alive by any beacon from their
// host, by address. Targets that have departed are left out: a search visits them last,
// and would end there when their agents stop.
func (s *Signaller) SetHosts(hosts map[netip.Addr]uint32) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.hosts = hosts
}

// IsIsolated reports whether there are agents and all of them are down. It must
// be called from the goroutine of Tick.
func (s *Signaller) IsIsolated() bool {
	for _, n := range s.order {
		if !s.detector.IsDown(n) {
			return false
		}
	}
	return len(s.order) > 0
}

// IsDown reports whether the agent of a target does not respond.
func (s *Signaller) IsDown(target uint32) bool { return s.detector.IsDown(target) }

// PeerOfTarget returns the last beacon of the agent of a target. The beacon may name
// a target that is not listed yet, because the target has started again.
func (s *Signaller) PeerOfTarget(number uint32) (Peer, bool) {
	s.lock.RLock()
	defer s.lock.RUnlock()
	address, isListed := s.agents[number]
	p, ok := s.peers[address]
	if !isListed || !ok || p.Target == 0 {
		return Peer{}, false
	}
	_, isOther := s.agents[p.Target]
	if p.Target != number && (isOther || s.hosts[address] != number) {
		return Peer{}, false
	}
	return p, true
}

// Peers returns the last beacons of all processes, in no particular order.
func (s *Signaller) Peers() []Peer {
	s.lock.RLock()
	defer s.lock.RUnlock()
	peers := make([]Peer, 0, len(s.peers))
	for _, p := range s.peers {
		peers = append(peers, p)
	}
	return peers
}

// Tick sends the beacons and probes that are due, logs agents that went down or
// came back, and removes processes that send no beacons.
func (s *Signaller) Tick(now time.Time) {
	s.sendBeacons(now)
	probes := s.detector.Tick(now)
	s.logLiveness(now)
	if len(probes) == 0 {
		return
	}
	beacon := s.encodeBeacon(now, true)
	for _, p := range probes {
		s.send(beacon, s.agents[p.Target()])
	}
}

// sendBeacons sends the beacons that became due since the last ones were sent, to
// the agents in turn.
func (s *Signaller) sendBeacons(now time.Time) {
	if len(s.order) == 0 {
		return
	}
	interval := max(beaconInterval, time.Duration(len(s.order))*time.Second/maxBeaconsPerSecond)
	elapsed := min(now.Sub(s.lastSent), interval)
	due := int(elapsed * time.Duration(len(s.order)) / interval)
	if due == 0 {
		return
	}
	// The rest of the time counts for the next beacons. Ticks come at any moment, and
	// dropping it would cost one beacon of seven.
	rest := elapsed - time.Duration(due)*interval/time.Duration(len(s.order))
	s.lastSent = now.Add(-rest)
	beacon := s.encodeBeacon(now, true)
	for range due {
		s.cursor = (s.cursor + 1) % len(s.order)
		if n := s.order[s.cursor]; !s.detector.IsDown(n) {
			s.detector.RecordForwarded(n, now)
			s.send(beacon, s.agents[n])
		}
	}
	s.removeSilentPeers(now)
}

// logLiveness logs each agent that went down or came back.
func (s *Signaller) logLiveness(now time.Time) {
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

func (s *Signaller) removeSilentPeers(now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for address, p := range s.peers {
		if now.Sub(p.HeardAt) > peerTimeout {
			delete(s.peers, address)
		}
	}
}

func (s *Signaller) encodeBeacon(now time.Time, answerWanted bool) []byte {
	beacon := s.options.BuildBeacon(now)
	beacon.AnswerWanted = answerWanted
	if answerWanted {
		// With a digest in both directions, maxBeaconsPerSecond would exceed the budget.
		beacon.EvacuationDigest = 0
	}
	return s.encode(&wirepb.Signal{Body: &wirepb.Signal_Beacon{Beacon: beacon}})
}

// encodeAnswer returns the answer to a beacon. Only balancers, whose beacons name no
// target, place flows and get a forecast.
func (s *Signaller) encodeAnswer(to *wirepb.Beacon, now time.Time) []byte {
	beacon := s.options.BuildBeacon(now)
	if to.GetTarget() == 0 && beacon.GetTarget() != 0 {
		beacon.Forecast = s.buildForecast(now)
	}
	return s.encode(&wirepb.Signal{Body: &wirepb.Signal_Beacon{Beacon: beacon}})
}

func (s *Signaller) buildForecast(now time.Time) *wirepb.Forecast {
	if s.options.BuildForecast == nil {
		return nil
	}
	return s.options.BuildForecast(now)
}

// encode returns the wire form of a signal, or nil if it can't be encoded; send
// ignores nil.
func (s *Signaller) encode(signal *wirepb.Signal) []byte {
	b, err := proto.Marshal(signal)
	if err != nil {
		s.options.Logger.Error().Err(err).Msg("failed to encode signal")
		return nil
	}
	return b
}

// SendHint tells the process at an address which target holds a flow.
func (s *Signaller) SendHint(to netip.Addr, flow uint64, target uint32) {
	s.send(s.encode(&wirepb.Signal{Body: &wirepb.Signal_FlowHint{FlowHint: &wirepb.FlowHint{Flow: flow, Target: target, Forecast: s.buildForecast(time.Now())}}}), to)
}

// SendSearchEnd tells the process at an address that no target holds a flow. The
// target is the own one.
func (s *Signaller) SendSearchEnd(to netip.Addr, flow uint64, target uint32) {
	s.send(s.encode(&wirepb.Signal{Body: &wirepb.Signal_SearchEnd{SearchEnd: &wirepb.SearchEnd{Flow: flow, Target: target, Forecast: s.buildForecast(time.Now())}}}), to)
}

// send writes one datagram. Errors are only logged at debug level: a lost
// datagram costs one beacon interval or one search, and the detector notices an
// unreachable process by its missing answers.
func (s *Signaller) send(b []byte, to netip.Addr) {
	if b == nil {
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to, s.options.Address.Port())); err != nil {
		s.options.Logger.Debug().Err(err).Stringer("address", to).Msg("failed to send signal")
	}
}
