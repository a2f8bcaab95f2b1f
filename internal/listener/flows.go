package listener

import "time"

const (
	// flowLifetime is the time for which the target of a new flow is kept. A
	// caller gives up a handshake that takes longer.
	flowLifetime = 15 * time.Second
	// flowLimit bounds each generation of the table under a flood of new flows.
	flowLimit = 1 << 14
	maxIDSize = 20
)

// flowKey is the connection ID that a caller chose for its first packets.
type flowKey struct {
	size  uint8
	bytes [maxIDSize]byte
}

func newFlowKey(id []byte) flowKey {
	k := flowKey{size: uint8(len(id))}
	copy(k.bytes[:], id)
	return k
}

// flowTable maps new flows to their targets, so that every datagram of a
// handshake goes to the same target even if the agent starts to drain or its
// table changes in between. Two generations bound age and size. It is used by
// the reading goroutine only.
type flowTable struct {
	current  map[flowKey]uint32
	previous map[flowKey]uint32
	rotated  time.Time
}

// find returns the target of a flow.
func (t *flowTable) find(k flowKey, now time.Time) (uint32, bool) {
	t.rotate(now)
	if target, ok := t.current[k]; ok {
		return target, true
	}
	target, ok := t.previous[k]
	return target, ok
}

// add stores the target of a flow.
func (t *flowTable) add(k flowKey, target uint32, now time.Time) {
	t.rotate(now)
	t.current[k] = target
}

func (t *flowTable) rotate(now time.Time) {
	if t.current != nil && len(t.current) < flowLimit && now.Sub(t.rotated) < flowLifetime {
		return
	}
	t.previous, t.current, t.rotated = t.current, make(map[flowKey]uint32), now
}
