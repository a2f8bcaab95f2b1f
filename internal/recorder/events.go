package recorder

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	// EventRevision is a configuration revision that came into force or was
	// refused.
	EventRevision EventKind = iota
	// EventTargetDown is a target that this process considers down.
	EventTargetDown
	// EventTargetUp is a target that responds again.
	EventTargetUp
	// EventTargetEjected is a target that is ejected as an outlier.
	EventTargetEjected
	// EventDrain is a drain of this process or of a target.
	EventDrain
	// EventPlatform is a platform that became stale, unreachable or reachable.
	EventPlatform
	eventKindCount
)

var eventNames = [eventKindCount]string{"revision", "target_down", "target_up", "target_ejected", "drain", "platform"}

// eventLimits bounds the list of each kind separately, so that a flapping target
// can't evict the revisions. At 2,200 revisions a day, 6,000 cover a weekend of
// 64 hours.
var eventLimits = [eventKindCount]int{6000, 1000, 1000, 1000, 1000, 1000}

// maxMessageBytes is the maximum length of an event's message.
const maxMessageBytes = 200

// String returns the name of the kind in the operator API.
func (k EventKind) String() string {
	if k >= eventKindCount {
		return "invalid"
	}
	return eventNames[k]
}

// Event is a change that may explain why error budget was spent.
type Event struct {
	kind    EventKind
	service string
	target  string
	message string
	at      time.Time
}

// NewEvent returns an event. Service and target may be empty. The message is
// truncated to 200 bytes. It should be the same in every process that records
// the same event, because the report merges equal events.
func NewEvent(kind EventKind, service, target, message string) Event {
	return Event{kind: kind, service: service, target: target, message: message[:min(len(message), maxMessageBytes)]}
}

// Kind returns the kind.
func (e Event) Kind() EventKind { return e.kind }

// Service returns the name of the service, or an empty string.
func (e Event) Service() string { return e.service }

// Target returns the name of the target, or an empty string.
func (e Event) Target() string { return e.target }

// Message returns the message.
func (e Event) Message() string { return e.message }

// At returns the time at which the event was added.
func (e Event) At() time.Time { return e.at }

var droppedEvents = metrics.GetOrCreateCounter("kingcupvalve_events_dropped_total")

// AddEvent records an event with the time now. It drops the oldest event of the
// kind when the list is full, and ignores an event of an invalid kind.
func (r *Recorder) AddEvent(e Event, now time.Time) {
	if e.kind >= eventKindCount {
		return
	}
	e.at = now
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := append(r.events[e.kind], e)
	if len(list) > eventLimits[e.kind] {
		droppedEvents.Inc()
		list = list[1:]
	}
	r.events[e.kind] = list
}

// Events returns the events at or after since, sorted by time.
func (r *Recorder) Events(since time.Time) []Event {
	r.mutex.Lock()
	var events []Event
	for _, list := range r.events {
		for _, e := range list {
			if !e.at.Before(since) {
				events = append(events, e)
			}
		}
	}
	r.mutex.Unlock()
	slices.SortStableFunc(events, func(a, b Event) int { return a.at.Compare(b.at) })
	return events
}
