package reporter

import (
	"cmp"
	"slices"
	"sort"
	"time"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
)

const (
	// eventWindow is the time after an event in which bad requests are
	// attributed to it.
	eventWindow = 10 * time.Minute
	// maxEventGroups is the maximum number of event groups listed per service.
	maxEventGroups = 20
)

type eventKey struct {
	kind    string
	service string
	target  string
	message string
}

// eventSum merges the occurrences of an event over daemons and time.
type eventSum struct {
	first   time.Time
	last    time.Time
	times   int
	daemons map[string]struct{}
	// minutes holds the minutes in which the event occurred, in Unix seconds.
	minutes map[int64]struct{}
}

func (b *Builder) addEvent(daemon string, e api.BurnEvent) {
	at := time.Unix(e.AtUnixSeconds, 0).UTC()
	service := e.Service.Or("")
	if at.Before(b.options.From) || !at.Before(b.options.To) || (b.options.Service != "" && service != "" && service != b.options.Service) {
		return
	}
	key := eventKey{string(e.Kind), service, e.Target.Or(""), e.Message}
	sum := b.events[key]
	if sum == nil {
		sum = &eventSum{first: at, last: at, daemons: make(map[string]struct{}), minutes: make(map[int64]struct{})}
		b.events[key] = sum
	}
	sum.times++
	sum.daemons[daemon] = struct{}{}
	sum.minutes[at.Truncate(time.Minute).Unix()] = struct{}{}
	if at.Before(sum.first) {
		sum.first = at
	}
	if at.After(sum.last) {
		sum.last = at
	}
}

// newEventGroups returns the events of a service or the whole fleet that were
// followed by bad requests of the service, those with the most bad requests
// first. It also returns the number of groups beyond maxEventGroups.
func (b *Builder) newEventGroups(service string, buckets []bucket) ([]EventGroup, int) {
	bad := slices.DeleteFunc(slices.Clone(buckets), func(x bucket) bool { return x.counts.Bad() == 0 })
	list := []EventGroup{}
	for key, sum := range b.events {
		if len(bad) == 0 || (key.service != "" && key.service != service) {
			continue
		}
		near := make(map[int]struct{})
		for minute := range sum.minutes {
			for _, i := range bucketsNear(bad, time.Unix(minute, 0)) {
				near[i] = struct{}{}
			}
		}
		if len(near) == 0 {
			continue
		}
		g := EventGroup{
			Kind: key.kind, Target: key.target, Message: key.message, First: sum.first, Last: sum.last,
			Times: sum.times, Daemons: len(sum.daemons),
		}
		for i := range near {
			g.BadAfter += bad[i].counts.Bad()
		}
		list = append(list, g)
	}
	slices.SortFunc(list, func(x, y EventGroup) int {
		return cmp.Or(cmp.Compare(y.BadAfter, x.BadAfter), x.First.Compare(y.First),
			cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Target, y.Target), cmp.Compare(x.Message, y.Message))
	})
	kept := min(len(list), maxEventGroups)
	return list[:kept:kept], len(list) - kept
}

// bucketsNear returns the indexes of the buckets that overlap the eventWindow
// after a time. The buckets must be sorted by start.
func bucketsNear(buckets []bucket, at time.Time) []int {
	// Buckets are at most an hour wide, so none that starts earlier overlaps.
	first := sort.Search(len(buckets), func(i int) bool { return buckets[i].start.After(at.Add(-time.Hour - time.Second)) })
	var near []int
	for i := first; i < len(buckets) && buckets[i].start.Before(at.Add(eventWindow)); i++ {
		if buckets[i].end().After(at) {
			near = append(near, i)
		}
	}
	return near
}
