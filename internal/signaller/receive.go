package signaller

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// Receive handles signals until the socket is closed.
func (s *Signaller) Receive() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.options.Logger.Debug().Err(err).Msg("signal not received")
			continue
		}
		var signal wirepb.Signal
		if err := proto.Unmarshal(buffer[:n], &signal); err != nil {
			s.options.Logger.Warn().Err(err).Stringer("address", from.Addr()).Msg("signal not decoded")
			continue
		}
		s.handle(&signal, from.Addr().Unmap(), time.Now())
	}
}

func (s *Signaller) handle(signal *wirepb.Signal, from netip.Addr, now time.Time) {
	if hint := signal.GetFlowHint(); hint != nil && s.options.Hint != nil {
		s.options.Hint(hint.GetFlow(), hint.GetTarget())
	}
	b := signal.GetBeacon()
	if b == nil {
		return
	}
	s.detector.RecordReceived(b.GetTarget(), now)
	p := Peer{
		Address: from, Process: b.GetProcess(), Incarnation: b.GetIncarnation(), Target: b.GetTarget(), Revision: b.GetRevision(),
		ConfirmedAt: now.Add(-time.Duration(b.GetConfirmedAgeMs()) * time.Millisecond),
		Running:     int(b.GetRunning()), Slots: int(b.GetSlots()), Flows: int(b.GetFlows()), IsLeaving: b.GetLeaving(),
		IsSilent: b.GetSilent(), IsSuspect: b.GetSuspect(), HeardAt: now,
	}
	s.lock.Lock()
	s.peers[from] = p
	if p.Target != 0 {
		s.targets[p.Target] = p
	}
	s.lock.Unlock()
	if b.GetAnswerWanted() {
		s.send(s.encodeBeacon(now, false), from)
	}
}
