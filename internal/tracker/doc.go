// Package tracker follows the flows of one target from the headers of their
// packets, for the load of the target and for the hints that spare later
// packets a search. All of it is soft state: a tracker that starts anew knows
// nothing, and no flow depends on it.
//
// A request is taken as running from the first new byte that the caller sends
// until the target sends data. An opened flow counts as a running request for
// a short time, because its first request follows at once as a rule.
//
// # Usage
//
//	t := tracker.NewTracker(tracker.Options{Slots: 2})
//	t.Delivered(key, packet, now) // toward the target
//	via, number, ok := t.Answered(key, packet, now)
//	load := t.Load(now)
package tracker
