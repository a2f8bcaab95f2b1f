package tracker

import (
	"time"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
)

const (
	// deathTimeout is the time without any packet from the target, after an opening
	// packet, from which on the target counts as dead. A running target answers an
	// opening packet within about 1 ms, also when it has no room.
	deathTimeout = time.Second
	// minUnanswered is the number of packets that a dead target leaves unanswered.
	minUnanswered = 3
)

// recordUnanswered records a caller's packet that a running target answers. It must
// be called before the packet changes the state of its flow.
func (t *Tracker) recordUnanswered(p framer.Packet, now time.Time) {
	if !p.SYN && (p.Length == 0 || t.unansweredSince.IsZero()) {
		return
	}
	if t.unansweredSince.IsZero() {
		t.unansweredSince, t.unansweredCount = now, 0
	}
	t.unansweredCount++
}

// TakeDeadFlows returns the last packets of callers of the flows that died with the
// target, each flow once, so that their callers can be told. The agent has run
// without a pause since the given time: after a pause, packets of the target may wait
// unread.
func (t *Tracker) TakeDeadFlows(runningSince, now time.Time) []framer.Packet {
	t.lock.Lock()
	defer t.lock.Unlock()
	since := t.unansweredSince
	if since.Before(runningSince) {
		since = runningSince
	}
	diedBy := now // flows that were opened before
	switch {
	case !t.unansweredSince.IsZero() && now.Sub(since) >= deathTimeout && t.unansweredCount >= minUnanswered:
	case t.knowledge.hasRestarted:
		diedBy = t.knowledge.restartedAt
	default:
		return nil
	}
	t.knowledge.hasRestarted = false
	var packets []framer.Packet
	for key, f := range t.flows {
		if f.isEstablished && !f.hasEnded && f.openedAt.Before(diedBy) {
			packets = append(packets, framer.Packet{Source: f.caller, Destination: f.published, AckNumber: f.ackNumber})
			t.finishRequest(f, recorder.OutcomeBroken, now)
			t.removeFlow(key, f, now)
		}
	}
	return packets
}
