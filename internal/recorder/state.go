package recorder

import (
	"context"
	"fmt"
	"time"
)

// stateInterval is the interval at which RecordChanges reads the state.
const stateInterval = 500 * time.Millisecond

// State is the part of a process's state whose changes are recorded as events.
type State struct {
	revision      uint64
	isUnreachable bool
	isStale       bool
	targets       map[uint32]stateTarget
}

type stateTarget struct {
	service string
	name    string
	isDown  bool
}

// NewState returns a state without targets. The flags describe the platform as
// the process sees it.
func NewState(revision uint64, isUnreachable, isStale bool) *State {
	return &State{revision: revision, isUnreachable: isUnreachable, isStale: isStale, targets: make(map[uint32]stateTarget)}
}

// AddTarget adds a target that the process knows.
func (s *State) AddTarget(number uint32, service, name string, isDown bool) {
	s.targets[number] = stateTarget{service: service, name: name, isDown: isDown}
}

// changes returns the events for the differences between s and next. A target
// that next does not contain yields no event.
func (s *State) changes(next *State) []Event {
	var events []Event
	add := func(kind EventKind, service, target, message string) {
		events = append(events, NewEvent(kind, service, target, message))
	}
	if next.revision != s.revision {
		add(EventRevision, "", "", fmt.Sprintf("revision %d in force", next.revision))
	}
	if next.isUnreachable != s.isUnreachable {
		add(EventPlatform, "", "", selectText(next.isUnreachable, "platform is unreachable", "platform is reachable"))
	}
	if next.isStale != s.isStale {
		add(EventPlatform, "", "", selectText(next.isStale, "platform is stale", "platform is current"))
	}
	for number, t := range next.targets {
		if t.isDown == s.targets[number].isDown {
			continue
		}
		kind := EventTargetUp
		if t.isDown {
			kind = EventTargetDown
		}
		add(kind, t.service, t.name, t.name+selectText(t.isDown, " is down", " is up"))
	}
	return events
}

func selectText(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// RecordChanges records the changes of a state as events until ctx ends. It calls
// state every 500 ms.
func (r *Recorder) RecordChanges(ctx context.Context, state func(now time.Time) *State) {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	last := NewState(0, false, false)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			next := state(now)
			for _, e := range last.changes(next) {
				r.AddEvent(e, now)
			}
			last = next
		}
	}
}
