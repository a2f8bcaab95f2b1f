package signaller

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/internal/recoverer"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// receiveRetryDelay is the pause after a failed receive, so that a lasting fault
// does not occupy a processor.
const receiveRetryDelay = 10 * time.Millisecond

// Receive handles incoming signals until Close is called.
func (s *Signaller) Receive() error {
	buffer := make([]byte, maxDatagramBytes)
	messages := recoverer.NewRecoverer(s.options.Logger, "signal")
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.options.Logger.Debug().Err(err).Msg("failed to receive signal")
			time.Sleep(receiveRetryDelay)
			continue
		}
		var signal wirepb.Signal
		if err := proto.Unmarshal(buffer[:n], &signal); err != nil {
			s.options.Logger.Warn().Err(err).Stringer("address", from.Addr()).Msg("failed to decode signal")
			continue
		}
		messages.Handle(func() { s.handle(&signal, from.Addr().Unmap(), time.Now()) })
	}
}

func (s *Signaller) handle(signal *wirepb.Signal, from netip.Addr, now time.Time) {
	if hint := signal.GetFlowHint(); hint != nil && s.options.HandleHint != nil && s.isAgentOf(hint.GetTarget(), from) {
		s.handleForecast(hint.GetTarget(), hint.GetForecast(), now)
		s.options.HandleHint(hint.GetFlow(), hint.GetTarget())
	}
	if end := signal.GetSearchEnd(); end != nil && s.options.HandleSearchEnd != nil && s.isAgentOf(end.GetTarget(), from) {
		s.handleForecast(end.GetTarget(), end.GetForecast(), now)
		s.options.HandleSearchEnd(end.GetFlow())
	}
	beacon := signal.GetBeacon()
	if beacon == nil {
		return
	}
	number, isAgent := s.targetOfAgent(beacon.GetTarget(), from)
	if isAgent {
		s.detector.RecordReceived(number, now)
		s.handleForecast(number, beacon.GetForecast(), now)
	}
	peer := Peer{
		Address: from, Target: beacon.GetTarget(),
		Position: router.Position{Epoch: beacon.GetEpoch(), Revision: beacon.GetRevision()}, Version: beacon.GetConfigVersion(),
		EvacuationDigest: beacon.GetEvacuationDigest(),
		ConfirmedAt:      now.Add(-time.Duration(beacon.GetConfirmedAgeMs()) * time.Millisecond),
		Running:          int(beacon.GetRunning()), Slots: int(beacon.GetSlots()), Flows: int(beacon.GetFlows()), IsLeaving: beacon.GetLeaving(),
		IsSilent: beacon.GetSilent(), IsSuspect: beacon.GetCondition()&ConditionSuspect != 0, IsCold: beacon.GetCondition()&ConditionCold != 0, HeardAt: now,
		ServiceTime: time.Duration(beacon.GetServiceTimeUs()) * time.Microsecond,
	}
	if !s.keepPeer(peer) {
		peersRefused.Inc()
		return
	}
	if isAgent && s.options.HandleReport != nil {
		s.options.HandleReport(number, peer)
	}
	if beacon.GetAnswerWanted() {
		s.send(s.encodeAnswer(beacon, now), from)
	}
}

func (s *Signaller) handleForecast(target uint32, forecast *wirepb.Forecast, now time.Time) {
	if forecast != nil && s.options.HandleForecast != nil {
		s.options.HandleForecast(target, forecast, now)
	}
}

// isAgentOf reports whether the table lists an address for the agent of a target.
func (s *Signaller) isAgentOf(target uint32, from netip.Addr) bool {
	s.lock.RLock()
	defer s.lock.RUnlock()
	address, ok := s.agents[target]
	return ok && address == from
}

// targetOfAgent returns the number of the listed target that a beacon with a target
// from an address is about. A target that has started again gets a new name, which
// its agent may know before this process; the agent's host then shows that the agent
// lives.
func (s *Signaller) targetOfAgent(target uint32, from netip.Addr) (uint32, bool) {
	s.lock.RLock()
	defer s.lock.RUnlock()
	if address, isListed := s.agents[target]; isListed {
		return target, address == from
	}
	number, ok := s.hosts[from]
	return number, ok && target != 0
}

// keepPeer stores the state of a peer, and reports false if there are too many.
func (s *Signaller) keepPeer(p Peer) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	known, isKnown := s.peers[p.Address]
	if !isKnown && s.agents[p.Target] != p.Address && len(s.peers) >= len(s.agents)+maxUnlistedPeers {
		return false
	}
	if p.EvacuationDigest == 0 && p.Epoch == known.Epoch {
		p.EvacuationDigest = known.EvacuationDigest // only answers have it
	}
	s.peers[p.Address] = p
	return true
}
