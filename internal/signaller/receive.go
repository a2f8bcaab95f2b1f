package signaller

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/internal/recoverer"
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
	if hint := signal.GetFlowHint(); hint != nil && s.options.HandleHint != nil {
		s.options.HandleHint(hint.GetFlow(), hint.GetTarget())
	}
	beacon := signal.GetBeacon()
	if beacon == nil {
		return
	}
	s.detector.RecordReceived(beacon.GetTarget(), now)
	peer := Peer{
		Address: from, Process: beacon.GetProcess(), Incarnation: beacon.GetIncarnation(), Target: beacon.GetTarget(), Revision: beacon.GetRevision(),
		ConfirmedAt: now.Add(-time.Duration(beacon.GetConfirmedAgeMs()) * time.Millisecond),
		Running:     int(beacon.GetRunning()), Slots: int(beacon.GetSlots()), Flows: int(beacon.GetFlows()), IsLeaving: beacon.GetLeaving(),
		IsSilent: beacon.GetSilent(), IsSuspect: beacon.GetSuspect(), HeardAt: now,
	}
	s.lock.Lock()
	s.peers[from] = peer
	if peer.Target != 0 {
		s.targets[peer.Target] = peer
	}
	s.lock.Unlock()
	if beacon.GetAnswerWanted() {
		s.send(s.encodeBeacon(now, false), from)
	}
}
